//! Starts the tasks, each after those that it asks.

use journal::Origin;
use settings::Settings;
use timeline::{Event, Recorder};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;
use world::instance::{Instance, State};

use super::{
    Daemon, Error, Parts, Sockets, options,
    wiring::{self, Outlets, Site},
};
use crate::{
    meter,
    operators::{self, Duty, Handles, Phase},
};

/// Messages of the journal that may wait for the links.
const JOURNAL_WAITING: usize = 1_024;

pub(super) fn start(
    settings: &Settings,
    sockets: Sockets,
    platform: store::Handle,
    me: Instance,
    entered: bool,
) -> Result<Daemon, Error> {
    let Sockets { callers, operators, peers } = sockets;
    let (parts, outlets) = spawn_parts(settings, callers, peers, platform, &me)?;
    let (duty, duty_known) = watch::channel(Duty { phase: Phase::Serving, in_flight: 0 });
    let handles = handles(settings, &parts, duty_known);
    let listener = operators::bind(operators, handles.clone()).map_err(|cause| Error::Bind {
        listener: "operators",
        address: me.operators,
        cause,
    })?;
    let site = Site { me: &me, entered, operators: handles, duty: &duty };
    let wiring = wiring::spawn(&parts, outlets, site);
    parts.recorder.record(Event::Lifecycle { state: State::Live, in_flight: 0 });
    Ok(Daemon { drain_within: options::drain_within(settings), parts, me, duty, listener, wiring })
}

fn spawn_parts(
    settings: &Settings,
    callers: TcpListener,
    peers: TcpListener,
    platform: store::Handle,
    me: &Instance,
) -> Result<(Parts, Outlets), Error> {
    let origin = Origin { instance: me.id.clone(), incarnation: me.incarnation };
    let recorder = options::recorder(settings, me);
    let (peers, inbound) = spawn_peers(settings, me, &recorder, peers)?;
    let (config, config_out) = config::spawn(options::config(settings), platform.clone(), recorder.clone());
    let (journal_sender, journal_out) = mpsc::channel(JOURNAL_WAITING);
    let journal = journal::spawn(options::journal(settings, &origin, &recorder), platform.clone(), journal_sender);
    let budget = budget::spawn(options::budget(origin, &recorder), platform.clone(), journal.clone());
    let endpoint = endpoint::open(options::endpoint(settings));
    let dependencies = control::Dependencies {
        platform: platform.clone(),
        config: config.clone(),
        engines: control::order::spawn(endpoint.clone()),
        recorder: recorder.clone(),
    };
    let (control, control_out) = control::spawn(options::control(settings, me), dependencies);
    let (leaving, leaving_known) = watch::channel(Vec::new());
    let links = entry::Links {
        config: config.clone(),
        journal: journal.clone(),
        budget: budget.clone(),
        peer: peers.clone(),
        endpoint,
        control: control.clone(),
        leaving: leaving_known,
        recorder: recorder.clone(),
    };
    let entry = spawn_entry(settings, me, callers, links)?;
    let leave = CancellationToken::new();
    let parts = Parts { platform, config, journal, budget, peers, control, entry, recorder, leave };
    Ok((parts, Outlets { inbound, config: config_out, journal: journal_out, control: control_out, leaving }))
}

fn spawn_peers(
    settings: &Settings,
    me: &Instance,
    recorder: &Recorder,
    socket: TcpListener,
) -> Result<(peer::Handle, mpsc::Receiver<peer::Inbound>), Error> {
    let address = settings.listeners.peers.bind;
    peer::spawn_on(socket, options::peer(settings, me, recorder)).map_err(|cause| Error::Bind {
        listener: "peers",
        address,
        cause,
    })
}

fn spawn_entry(
    settings: &Settings,
    me: &Instance,
    socket: TcpListener,
    links: entry::Links,
) -> Result<entry::Handle, Error> {
    entry::bind(socket, options::entry(settings)?, links).map_err(|cause| Error::Bind {
        listener: "callers",
        address: me.callers,
        cause,
    })
}

fn handles(settings: &Settings, parts: &Parts, duty: watch::Receiver<Duty>) -> Handles {
    Handles {
        config: parts.config.clone(),
        journal: parts.journal.clone(),
        peer: parts.peers.clone(),
        recorder: parts.recorder.clone(),
        duty,
        leave: parts.leave.clone(),
        metrics: meter::handle(),
        key: settings.keys.operators.clone(),
    }
}
