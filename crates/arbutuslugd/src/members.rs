//! Brings changes of membership to everything that depends on it.

use std::{collections::BTreeMap, sync::Arc};

use peer::Members;
use timeline::{Event, Recorder};
use tokio::sync::watch;
use world::{
    domain::Domain,
    instance::{self, Incarnation, Instance, State},
};

/// What follows the members.
#[derive(Debug)]
pub struct Followers {
    /// Deals shards over live members.
    pub journal: journal::Handle,
    /// Watches the platform when this instance is its domain's reader.
    pub config: config::Handle,
    /// Tells the list's reader whom to ask.
    pub reader: watch::Sender<instance::Id>,
    /// Records what changed.
    pub recorder: Recorder,
}

/// Follows the members until the links end.
pub async fn follow(mut members: watch::Receiver<Arc<Members>>, followers: Followers) {
    let mut seen = BTreeMap::new();
    loop {
        let now = members.borrow_and_update().clone();
        record_changes(&mut seen, &now, &followers.recorder);
        followers.journal.set_members(now.all().filter_map(journal_member).collect());
        let reader = reader(&now);
        followers.config.set_reader(reader == now.me.id).await;
        followers.reader.send_replace(reader);
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// The instance that reads the platform for this one's failure domain: the
/// first live one by name. Views may differ for a while; two readers, or none,
/// cost calls but no news, since whoever hears nothing reads by itself.
#[must_use]
pub fn reader(members: &Members) -> instance::Id {
    let live = members.live().filter(|i| i.domain == members.me.domain);
    live.map(|i| &i.id).min().unwrap_or(&members.me.id).clone()
}

/// Every failure domain that has an instance, gone ones included.
#[must_use]
pub fn domains(members: &Members) -> Vec<Domain> {
    let mut domains: Vec<_> = members.all().map(|i| i.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}

fn journal_member(instance: &Instance) -> Option<journal::Member> {
    if instance.state == State::Gone {
        return None;
    }
    Some(journal::Member {
        id: instance.id.clone(),
        incarnation: instance.incarnation,
        domain: instance.domain.clone(),
        live: matches!(instance.state, State::Live | State::Suspect),
    })
}

fn record_changes(seen: &mut BTreeMap<instance::Id, (Incarnation, State)>, members: &Members, recorder: &Recorder) {
    for instance in members.others.values() {
        let now = (instance.incarnation, instance.state);
        if seen.insert(instance.id.clone(), now) == Some(now) {
            continue;
        }
        let (incarnation, state) = now;
        recorder.record(Event::Membership { instance: instance.id.clone(), incarnation, state });
    }
}
