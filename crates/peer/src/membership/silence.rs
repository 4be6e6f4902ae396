//! Detection of silent members: suspicion, probing and removal.

use world::{Millis, instance::Id, instance::State};

use super::{Action, Asking, Membership, Reach};
use crate::member::{Doubt, Member};

/// Heartbeats between two ticks above which this instance assumes that it was
/// paused itself.
const OWN_PAUSE: Millis = 3;

impl Membership {
    /// Sets the members that this instance monitors: those that it has or
    /// wants a link with.
    pub fn watch(&mut self, ids: impl IntoIterator<Item = Id>, now: Millis) {
        let wanted = ids.into_iter().collect();
        let before = std::mem::replace(&mut self.watched, wanted);
        for id in self.watched.difference(&before) {
            if let Some(entry) = self.others.get_mut(id) {
                entry.heard = now;
            }
        }
    }

    /// Records that a frame arrived on a direct link with the member.
    pub fn heard(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.heard = now;
        entry.direct = Some(now);
        entry.accused = None;
        entry.reach = Reach::Fine;
        entry.asking = Asking::No;
        if entry.member.doubt != Doubt::None {
            self.tell(id);
        }
    }

    /// Records that the direct link with the member has closed, so that doubts
    /// of others count again.
    pub fn unlinked(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.direct = None;
        self.settle_accusation(id, now);
    }

    /// Applies a deferred doubt if the member has not been heard again.
    fn settle_accusation(&mut self, id: &Id, now: Millis) {
        let fresh = self.fresh();
        let Some(entry) = self.others.get_mut(id) else { return };
        let Some(accused) = entry.accused else { return };
        if entry.direct.is_none() || now.saturating_sub(accused) > fresh {
            entry.doubt(now);
            self.tell_change(id, None);
        }
    }

    /// Records that connecting to the member failed; it now counts as silent.
    pub fn unreachable(&mut self, id: &Id) {
        self.not_reached(id, Reach::Unreachable);
    }

    /// Records that no process listens at the member's address. Its process has
    /// most likely ended rather than paused, so the wait for a refutation is
    /// shorter.
    pub fn nobody_there(&mut self, id: &Id) {
        self.not_reached(id, Reach::NobodyThere);
    }

    fn not_reached(&mut self, id: &Id, reach: Reach) {
        if let Some(entry) = self.others.get_mut(id) {
            entry.direct = None;
            entry.reach = reach;
        }
    }

    /// Records that a probe reached the member and returned its entry.
    pub fn vouched(&mut self, word: Member, now: Millis) {
        let id = word.instance.id.clone();
        self.merge_one(word, None, now);
        if let Some(entry) = self.others.get_mut(&id) {
            entry.heard = now;
            entry.reach = Reach::Fine;
            entry.asking = Asking::Vouched;
        }
    }

    /// Records that neither this instance nor the probed peers reached the member.
    pub fn unvouched(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        let quietly = entry.asking == Asking::Quietly;
        entry.asking = Asking::No;
        if quietly {
            self.suspect(id, now);
        }
    }

    /// Advances the time; called once per heartbeat interval.
    pub fn tick(&mut self, now: Millis) {
        self.forgive_own_pause(now);
        let ids: Vec<_> = self.others.keys().cloned().collect();
        for id in ids {
            self.tick_one(&id, now);
        }
    }

    /// Extends all timers by a pause of this instance itself. Without this, an
    /// instance that resumes after a pause would suspect the whole fleet at once.
    fn forgive_own_pause(&mut self, now: Millis) {
        let pause = now.saturating_sub(self.ticked);
        self.ticked = now;
        if pause <= OWN_PAUSE * self.timing.heartbeat {
            return;
        }
        for entry in self.others.values_mut() {
            entry.heard = now;
            entry.reach = Reach::Fine;
            // A doubt received after the pause but before this tick must not
            // get a time in the future.
            entry.since = (entry.since + pause).min(now);
        }
    }

    fn tick_one(&mut self, id: &Id, now: Millis) {
        self.settle_accusation(id, now);
        let Some(entry) = self.others.get(id) else { return };
        let stood = now.saturating_sub(entry.since);
        if !entry.member.is_counted() {
            if stood > self.timing.forget {
                self.others.remove(id);
                self.changed();
            }
            return;
        }
        if entry.member.doubt == Doubt::Suspect {
            if stood >= self.patience(id) {
                self.remove(id, now);
            }
            return;
        }
        let silent = entry.reach != Reach::Fine || now.saturating_sub(entry.heard) > self.timing.silence;
        if silent && self.watched.contains(id) {
            self.miss(id, now);
        }
    }

    fn miss(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        match entry.asking {
            Asking::No | Asking::Doubted => self.suspect(id, now),
            // Only the direct path is broken: other peers reach the member.
            // Suspecting it at each silence would make it refute forever.
            Asking::Vouched => {
                entry.asking = Asking::Quietly;
                self.actions.push(Action::Probe(entry.member.clone()));
            }
            Asking::Quietly => {}
        }
    }

    fn suspect(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        if entry.member.doubt != Doubt::None || entry.member.instance.state == State::Gone {
            return;
        }
        entry.doubt(now);
        entry.asking = Asking::Doubted;
        self.actions.push(Action::Probe(entry.member.clone()));
        self.tell_change(id, None);
    }

    fn remove(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.member.doubt = Doubt::Gone;
        entry.since = now;
        entry.asking = Asking::No;
        entry.direct = None;
        self.tell_change(id, None);
    }
}
