//! Membership and failure detection: a state machine without sockets or clocks.
//!
//! Time is an argument, in milliseconds of the caller's own monotonic clock,
//! so clocks of different instances are never compared. The task reports
//! received frames and entries ([`record_frame`](Membership::record_frame),
//! [`merge`](Membership::merge)) and calls [`tick`](Membership::tick) at least
//! once per heartbeat interval; the results are [`Action`]s and [`Change`]s.
//!
//! A watched member that falls silent is suspected, and the suspicion is
//! gossiped. The member refutes it with a new version of its entry (a higher
//! refutation). Each instance waits for the refutation itself before it turns
//! `Suspect` into `Gone`: a removal reported by another instance counts as a
//! suspicion only. Otherwise, after a partition heals, stale reports would make
//! each side remove the other's members, and journal shards would move to other
//! home instances without need.

mod list;
mod silence;

#[cfg(test)]
mod tests;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use world::{
    Millis,
    instance::{Id, Instance, State},
};

pub use list::{Listed, ListedState};

use crate::{
    member::{Doubt, Member, Members},
    settings::Timing,
};

/// An action that the task has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Probe the member directly and through other peers, then call
    /// `record_probe_success` or `record_probe_failure`.
    Probe(Member),
    /// Notify the member that its entry is doubted, so that it can refute it.
    Notify(Member),
}

/// A changed entry, to be sent on all links except the one it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the member whose entry changed.
    pub id: Id,
    /// Peer that sent the change; `None` if it arose on this instance.
    pub from: Option<Id>,
}

/// One instance's view of all members.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    timing: Timing,
    others: BTreeMap<Id, Entry>,
    watched: BTreeSet<Id>,
    list: list::List,
    superseded: bool,
    last_tick: Millis,
    /// Incremented with every change of the view.
    revision: u64,
    /// Cached hash of the view; `None` after a change until it is next needed.
    view: Cell<Option<u64>>,
    actions: Vec<Action>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Time from which silence is measured: the last frame, newer entry or
    /// successful probe, or the start of monitoring.
    last_heard: Millis,
    /// Time of the last frame on a direct link; `None` if there is no working link.
    last_direct: Option<Millis>,
    /// Time of a doubt from others that was deferred because the member had
    /// just been heard directly.
    deferred_doubt: Option<Millis>,
    reachability: Reachability,
    /// Time of the last change of entry or doubt.
    changed_at: Millis,
    probe_state: ProbeState,
}

/// Result of the last connection attempt; `Reachable` again once the member is heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    Reachable,
    /// No connection could be made.
    Unreachable,
    /// The connection was refused: no process listens at the address.
    ConnectionRefused,
}

/// State of probing a silent member, directly and through other peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    Idle,
    /// Being probed, and already suspected.
    ProbingSuspect,
    /// Being probed without a suspicion, because an earlier probe reached it.
    ProbingUnsuspected,
    /// Not being probed, but a probe has reached it since its last direct frame.
    Reached,
}

impl Membership {
    /// Creates a view that contains only `me`.
    #[must_use]
    pub fn new(me: Instance, timing: Timing, now: Millis) -> Self {
        Self {
            me: Member::new(me),
            timing,
            others: BTreeMap::new(),
            watched: BTreeSet::new(),
            list: list::List::default(),
            superseded: false,
            last_tick: now,
            revision: 0,
            view: Cell::new(None),
            actions: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Returns this instance's own entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the entry of an instance, including one recently gone.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Member> {
        if *id == self.me.instance.id { Some(&self.me) } else { self.others.get(id).map(|e| &e.member) }
    }

    /// Iterates over the entries of other instances, including those recently gone.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|e| &e.member)
    }

    /// Returns the snapshot published to the rest of the process.
    #[must_use]
    pub fn members(&self) -> Members {
        let others = self.others.iter().map(|(id, entry)| (id.clone(), entry.member.to_instance())).collect();
        Members { me: self.me.to_instance(), others, unknown_listed: self.unknown_listed() }
    }

    /// Returns a hash over the current members; equal views have equal hashes.
    #[must_use]
    pub fn view(&self) -> u64 {
        if let Some(view) = self.view.get() {
            return view;
        }
        let present = self.others().chain([&self.me]).filter(|m| m.is_present());
        let view = present.fold(0, |sum, member| sum ^ member.view_hash());
        self.view.set(Some(view));
        view
    }

    /// Returns a number that changes whenever the view does. Times of last
    /// contact do not count.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Must be called after every change of the view.
    fn bump_revision(&mut self) {
        self.revision += 1;
        self.view.set(None);
    }

    /// Records a changed entry to be sent to other instances.
    fn record_change(&mut self, id: &Id, from: Option<&Id>) {
        self.changes.push(Change { id: id.clone(), from: from.cloned() });
        self.bump_revision();
    }

    /// Returns whether a later run under this name is known, so this run must end.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Ends this run because a later run under its name is known.
    pub fn supersede(&mut self) {
        self.superseded = true;
        self.me.instance.state = State::Gone;
        self.bump_revision();
    }

    /// Takes the actions that became due since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Merges entries received from `from`.
    pub fn merge(&mut self, received: Vec<Member>, from: &Id, now: Millis) {
        for member in received {
            self.merge_entry(member, Some(from), now);
        }
    }

    /// Announces that this instance takes no new work.
    pub fn leave(&mut self) {
        self.set_own_state(State::Leaving);
    }

    /// Announces that this run has ended.
    pub fn end(&mut self) {
        self.set_own_state(State::Gone);
    }

    fn set_own_state(&mut self, state: State) {
        if self.me.instance.state == State::Gone || self.me.instance.state == state {
            return;
        }
        self.me.instance.state = state;
        self.renew_own_entry();
    }

    /// Publishes a new version of this instance's own entry, which clears every
    /// doubt about the previous one.
    fn renew_own_entry(&mut self) {
        self.me.refutation += 1;
        let id = self.me.instance.id.clone();
        self.record_change(&id, None);
    }

    fn merge_entry(&mut self, received: Member, from: Option<&Id>, now: Millis) {
        if received.instance.id == self.me.instance.id {
            return self.merge_own_entry(&received);
        }
        let id = received.instance.id.clone();
        let Some(entry) = self.others.get_mut(&id) else {
            return self.insert(received, from, now);
        };
        // Ignore an outdated entry, such as one of an earlier run.
        if received.version() < entry.member.version() {
            return;
        }
        let doubted = received.doubt != Doubt::None;
        if received.version() > entry.member.version() {
            entry.replace(received, now);
            self.record_change(&id, from);
        }
        if doubted {
            self.apply_doubt(&id, from, now);
        }
    }

    /// Merges another instance's entry about this instance, refuting a doubt.
    fn merge_own_entry(&mut self, received: &Member) {
        if received.instance.incarnation > self.me.instance.incarnation {
            // Two runs under one name would both act as the home instance of the
            // same journal shards. The later run is the intended one.
            return self.supersede();
        }
        let same_run = received.instance.incarnation == self.me.instance.incarnation;
        let doubted = received.doubt != Doubt::None && received.refutation >= self.me.refutation;
        if same_run && (doubted || received.refutation > self.me.refutation) {
            self.me.refutation = received.refutation;
            self.renew_own_entry();
        }
    }

    fn insert(&mut self, received: Member, from: Option<&Id>, now: Millis) {
        // An unknown member that is gone has been forgotten already and must
        // not be added again.
        if !received.is_present() {
            return;
        }
        let id = received.instance.id.clone();
        self.others.insert(id.clone(), Entry::new(received, now));
        self.record_change(&id, from);
    }

    fn apply_doubt(&mut self, id: &Id, from: Option<&Id>, now: Millis) {
        let validity = self.direct_validity();
        let Some(entry) = self.others.get_mut(id) else { return };
        if entry.member.doubt != Doubt::None || entry.member.instance.state == State::Gone {
            return;
        }
        // The member was just heard directly, so the doubt is probably wrong;
        // only the member can clear it elsewhere. The doubt is sent only once,
        // so keep it until the member is heard again: it may have crashed since.
        if entry.last_direct.is_some_and(|at| now.saturating_sub(at) <= validity) {
            entry.deferred_doubt = Some(now);
            return self.notify(id);
        }
        entry.mark_suspect(now);
        self.record_change(id, from);
    }

    /// Returns how long a direct frame from a member overrides doubts of others.
    fn direct_validity(&self) -> Millis {
        2 * self.timing.heartbeat
    }

    /// Queues a notification to a member that its entry is doubted.
    fn notify(&mut self, id: &Id) {
        let Some(entry) = self.others.get(id) else { return };
        let doubt = entry.member.doubt.max(Doubt::Suspect);
        self.actions.push(Action::Notify(Member { doubt, ..entry.member.clone() }));
    }
}

impl Entry {
    fn new(member: Member, now: Millis) -> Self {
        Self {
            member,
            last_heard: now,
            last_direct: None,
            deferred_doubt: None,
            reachability: Reachability::Reachable,
            changed_at: now,
            probe_state: ProbeState::Idle,
        }
    }

    /// Replaces the entry with a newer version and clears doubts.
    fn replace(&mut self, received: Member, now: Millis) {
        if received.instance.incarnation > self.member.instance.incarnation {
            self.last_direct = None;
        }
        self.member = Member { doubt: Doubt::None, ..received };
        self.last_heard = now;
        self.changed_at = now;
        self.deferred_doubt = None;
        self.reachability = Reachability::Reachable;
        if self.probe_state == ProbeState::ProbingSuspect {
            self.probe_state = ProbeState::Reached;
        }
    }

    fn mark_suspect(&mut self, now: Millis) {
        self.member.doubt = Doubt::Suspect;
        self.deferred_doubt = None;
        self.changed_at = now;
    }
}
