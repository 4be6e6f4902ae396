//! Detection of silent members: suspicion, probing and removal.

use world::{Millis, instance::Id, instance::State};

use super::{Action, Membership, ProbeState, Reachability};
use crate::member::{Doubt, Member};

/// If two ticks are more than this many heartbeat intervals apart, this instance
/// assumes that it was paused itself.
const OWN_PAUSE_HEARTBEATS: Millis = 3;

impl Membership {
    /// Sets the members that this instance monitors: those that it has or
    /// wants a link with.
    pub fn set_watched(&mut self, ids: impl IntoIterator<Item = Id>, now: Millis) {
        let wanted = ids.into_iter().collect();
        let before = std::mem::replace(&mut self.watched, wanted);
        for id in self.watched.difference(&before) {
            if let Some(entry) = self.others.get_mut(id) {
                entry.last_heard = now;
            }
        }
    }

    /// Records that a frame arrived on a direct link with the member.
    pub fn record_frame(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.last_heard = now;
        entry.last_direct = Some(now);
        entry.deferred_doubt = None;
        entry.reachability = Reachability::Reachable;
        entry.probe_state = ProbeState::Idle;
        if entry.member.doubt != Doubt::None {
            self.notify(id);
        }
    }

    /// Records that the direct link with the member has closed, so that doubts
    /// of others count again.
    pub fn record_link_closed(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.last_direct = None;
        self.apply_deferred_doubt(id, now);
    }

    /// Applies a deferred doubt if the member has not been heard again.
    fn apply_deferred_doubt(&mut self, id: &Id, now: Millis) {
        let validity = self.direct_validity();
        let Some(entry) = self.others.get_mut(id) else { return };
        let Some(doubted_at) = entry.deferred_doubt else { return };
        if entry.last_direct.is_none() || now.saturating_sub(doubted_at) > validity {
            entry.mark_suspect(now);
            self.record_change(id, None);
        }
    }

    /// Records that connecting to the member failed; it now counts as silent.
    pub fn record_unreachable(&mut self, id: &Id) {
        self.set_reachability(id, Reachability::Unreachable);
    }

    /// Records that no process listens at the member's address. Its process has
    /// most likely ended rather than paused, so the wait for a refutation is
    /// shorter.
    pub fn record_connection_refused(&mut self, id: &Id) {
        self.set_reachability(id, Reachability::ConnectionRefused);
    }

    fn set_reachability(&mut self, id: &Id, reachability: Reachability) {
        if let Some(entry) = self.others.get_mut(id) {
            entry.last_direct = None;
            entry.reachability = reachability;
        }
    }

    /// Records that a probe reached the member and returned its entry.
    pub fn record_probe_success(&mut self, entry: Member, now: Millis) {
        let id = entry.instance.id.clone();
        self.merge_entry(entry, None, now);
        if let Some(entry) = self.others.get_mut(&id) {
            entry.last_heard = now;
            entry.reachability = Reachability::Reachable;
            entry.probe_state = ProbeState::Reached;
        }
    }

    /// Records that neither this instance nor the peers that it asked to probe the
    /// member reached it.
    pub fn record_probe_failure(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        let unsuspected = entry.probe_state == ProbeState::ProbingUnsuspected;
        entry.probe_state = ProbeState::Idle;
        if unsuspected {
            self.suspect(id, now);
        }
    }

    /// Advances the time. Called at least once per heartbeat interval, and after a
    /// failed dial.
    pub fn tick(&mut self, now: Millis) {
        self.compensate_own_pause(now);
        let ids: Vec<_> = self.others.keys().cloned().collect();
        for id in ids {
            self.check_member(&id, now);
        }
    }

    /// Extends all timers by a pause of this instance itself. Without this, an
    /// instance that resumes after a pause would suspect the whole fleet at once.
    fn compensate_own_pause(&mut self, now: Millis) {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause <= OWN_PAUSE_HEARTBEATS * self.timing.heartbeat {
            return;
        }
        for entry in self.others.values_mut() {
            entry.last_heard = now;
            entry.reachability = Reachability::Reachable;
            // If the entry changed after the pause but before this tick, the
            // sum would be in the future.
            entry.changed_at = (entry.changed_at + pause).min(now);
        }
    }

    fn check_member(&mut self, id: &Id, now: Millis) {
        self.apply_deferred_doubt(id, now);
        let Some(entry) = self.others.get(id) else { return };
        let age = now.saturating_sub(entry.changed_at);
        if !entry.member.is_present() {
            if age > self.timing.forget {
                self.others.remove(id);
                self.bump_revision();
            }
            return;
        }
        if entry.member.doubt == Doubt::Suspect {
            if age >= self.removal_delay(id) {
                self.mark_gone(id, now);
            }
            return;
        }
        let is_silent =
            entry.reachability != Reachability::Reachable || now.saturating_sub(entry.last_heard) > self.timing.silence;
        if is_silent && self.watched.contains(id) {
            self.handle_silence(id, now);
        }
    }

    fn handle_silence(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        match entry.probe_state {
            ProbeState::Idle | ProbeState::ProbingSuspect => self.suspect(id, now),
            // Only the direct path is broken: other peers reach the member.
            // Suspecting it whenever it falls silent again would make it refute
            // forever.
            ProbeState::Reached => {
                entry.probe_state = ProbeState::ProbingUnsuspected;
                self.actions.push(Action::Probe(entry.member.clone()));
            }
            ProbeState::ProbingUnsuspected => {}
        }
    }

    fn suspect(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        if entry.member.doubt != Doubt::None || entry.member.instance.state == State::Gone {
            return;
        }
        entry.mark_suspect(now);
        entry.probe_state = ProbeState::ProbingSuspect;
        self.actions.push(Action::Probe(entry.member.clone()));
        self.record_change(id, None);
    }

    fn mark_gone(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.member.doubt = Doubt::Gone;
        entry.changed_at = now;
        entry.probe_state = ProbeState::Idle;
        entry.last_direct = None;
        self.record_change(id, None);
    }
}
