//! What becomes of a member that is not heard.

use world::{Millis, instance::Id, instance::State};

use super::{Action, Asking, Membership, Reach};
use crate::member::{Doubt, Member};

/// Heartbeats that this instance may miss itself before it blames its own pause.
const OWN_PAUSE: Millis = 3;

impl Membership {
    /// Names the members that this instance is answerable for: those that it
    /// has or wants a link with.
    pub fn watch(&mut self, ids: impl IntoIterator<Item = Id>, now: Millis) {
        let wanted = ids.into_iter().collect();
        let before = std::mem::replace(&mut self.watched, wanted);
        for id in self.watched.difference(&before) {
            if let Some(entry) = self.others.get_mut(id) {
                entry.heard = now;
            }
        }
    }

    /// A frame came on our own link with the member.
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

    /// Our own link with the member has ended: what others say counts again.
    pub fn unlinked(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        entry.direct = None;
        self.settle_accusation(id, now);
    }

    /// Takes up a kept doubt if its subject was not heard again.
    fn settle_accusation(&mut self, id: &Id, now: Millis) {
        let fresh = self.fresh();
        let Some(entry) = self.others.get_mut(id) else { return };
        let Some(accused) = entry.accused else { return };
        if entry.direct.is_none() || now.saturating_sub(accused) > fresh {
            entry.doubt(now);
            self.tell_change(id, None);
        }
    }

    /// The member could not be connected to: it counts as silent already.
    pub fn unreachable(&mut self, id: &Id) {
        self.not_reached(id, Reach::Unreachable);
    }

    /// Nobody listens where the member should: a process that has ended, most
    /// likely, and no pause, so that its refutation is waited for less long.
    pub fn nobody_there(&mut self, id: &Id) {
        self.not_reached(id, Reach::NobodyThere);
    }

    fn not_reached(&mut self, id: &Id, reach: Reach) {
        if let Some(entry) = self.others.get_mut(id) {
            entry.direct = None;
            entry.reach = reach;
        }
    }

    /// Another one reached the member and brings its word.
    pub fn vouched(&mut self, word: Member, now: Millis) {
        let id = word.instance.id.clone();
        self.merge_one(word, None, now);
        if let Some(entry) = self.others.get_mut(&id) {
            entry.heard = now;
            entry.reach = Reach::Fine;
            entry.asking = Asking::Vouched;
        }
    }

    /// Nobody who was asked could reach the member.
    pub fn unvouched(&mut self, id: &Id, now: Millis) {
        let Some(entry) = self.others.get_mut(id) else { return };
        let quietly = entry.asking == Asking::Quietly;
        entry.asking = Asking::No;
        if quietly {
            self.suspect(id, now);
        }
    }

    /// Lets time pass; called once a heartbeat.
    pub fn tick(&mut self, now: Millis) {
        self.forgive_own_pause(now);
        let ids: Vec<_> = self.others.keys().cloned().collect();
        for id in ids {
            self.tick_one(&id, now);
        }
    }

    /// A paused instance that wakes hears nobody for a moment, though nobody
    /// is at fault; without this it would doubt the whole fleet at once.
    fn forgive_own_pause(&mut self, now: Millis) {
        let pause = now.saturating_sub(self.ticked);
        self.ticked = now;
        if pause <= OWN_PAUSE * self.timing.heartbeat {
            return;
        }
        for entry in self.others.values_mut() {
            entry.heard = now;
            entry.reach = Reach::Fine;
            // A doubt heard since waking, before this tick, is not that old.
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
            // A one-way cut: others hear it well. Doubting it at each silence
            // would make it refute for ever.
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
