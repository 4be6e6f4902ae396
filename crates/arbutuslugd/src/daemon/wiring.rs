//! Carries messages between the tasks for as long as the daemon runs.

use bytes::Bytes;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};
use world::{endpoint, instance::Instance};

use super::Parts;
use crate::{
    list,
    members::{self, Followers},
    meter,
    operators::{Duty, Handles},
    outage,
    pump::{self, Owners},
    registry,
};

/// Ends of channels at which the tasks' messages come out or go in.
pub(super) struct Outlets {
    /// What other instances sent.
    pub(super) inbound: mpsc::Receiver<peer::Inbound>,
    /// What `config` tells the other instances.
    pub(super) config: mpsc::Receiver<config::Outbound>,
    /// What `journal` tells the other instances.
    pub(super) journal: mpsc::Receiver<journal::Outbound>,
    /// What `control` tells the other instances.
    pub(super) control: mpsc::Receiver<Bytes>,
    /// Tells `entry` which endpoints are leaving.
    pub(super) leaving: watch::Sender<Vec<endpoint::Id>>,
}

/// What the wiring needs besides the tasks.
pub(super) struct Site<'a> {
    pub(super) me: &'a Instance,
    /// Whether the registry has this run already.
    pub(super) entered: bool,
    /// Answers other instances' operators.
    pub(super) operators: Handles,
    pub(super) duty: &'a watch::Sender<Duty>,
}

/// Starts one task per flow of messages; they end with the set.
pub(super) fn spawn(parts: &Parts, outlets: Outlets, site: Site<'_>) -> JoinSet<()> {
    let Parts { platform, config, journal, peers, control, entry, recorder, .. } = parts;
    let Site { me, entered, operators, duty } = site;
    let (reader, reader_known) = watch::channel(me.id.clone());
    let latest = list::Latest::default();
    let owners = Owners {
        config: config.clone(),
        journal: journal.clone(),
        list: latest.clone(),
        entry: entry.clone(),
        control: control.clone(),
        operators,
    };
    let followers = Followers { journal: journal.clone(), config: config.clone(), reader, recorder: recorder.clone() };
    let lister = list::Reader {
        platform: platform.clone(),
        peers: peers.clone(),
        asked: reader_known,
        me: me.id.clone(),
        latest,
    };
    let mut wiring = JoinSet::new();
    wiring.spawn(meter::gather(meter::handle()));
    wiring.spawn(outage::record(platform.reachable(), recorder.clone()));
    wiring.spawn(pump::inbound(outlets.inbound, owners));
    wiring.spawn(pump::configuration(outlets.config, config.clone(), peers.clone()));
    wiring.spawn(pump::journal(outlets.journal, peers.clone()));
    wiring.spawn(pump::control(outlets.control, peers.clone()));
    wiring.spawn(meter::count(entry.watch_in_flight(), duty.clone()));
    wiring.spawn(members::follow(peers.members(), followers));
    wiring.spawn(lister.run(outlets.leaving));
    wiring.spawn(registry::keep(platform.clone(), me.clone(), entered, peers.clone()));
    wiring
}
