//! Who is there: a state machine without sockets or clocks.
//!
//! Time is an argument, in milliseconds of the caller's own monotonic clock,
//! so no two instances' clocks are ever compared. The task feeds in what it
//! hears ([`heard`](Membership::heard), [`merge`](Membership::merge)) and asks
//! [`tick`](Membership::tick) on every heartbeat; what is to be done comes out
//! as [`Action`]s and changed names.
//!
//! A watched member that falls silent is doubted, and the doubt spreads. The
//! member refutes it with a new word (a higher refutation). Only a receiver's
//! own time of waiting turns `Suspect` into `Gone`: a removal told by another
//! is a doubt and no more. Otherwise a healed partition would make each side
//! remove the other's members on hearsay, and keys' homes would move for
//! nothing.

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

pub use list::{Listed, Standing};

use crate::{
    member::{Doubt, Member, Members},
    settings::Timing,
};

/// What the task has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask others after the member; answer with `vouched` or `unvouched`.
    Probe(Member),
    /// Tell the member itself what is held against it.
    Tell(Member),
}

/// A changed entry, to be passed on to all links but the one it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Whose entry.
    pub id: Id,
    /// Who told.
    pub from: Option<Id>,
}

/// One instance's knowledge of all.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    timing: Timing,
    others: BTreeMap<Id, Entry>,
    watched: BTreeSet<Id>,
    list: list::List,
    superseded: bool,
    ticked: Millis,
    /// Raised with every change that others can see.
    revision: u64,
    /// Absent after a change, until it is asked for.
    view: Cell<Option<u64>>,
    actions: Vec<Action>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Last sign of life, its own or one that another vouched for.
    heard: Millis,
    /// Last sign of life on a link of our own.
    direct: Option<Millis>,
    /// When others doubted it though we had just heard it.
    accused: Option<Millis>,
    reach: Reach,
    /// Since when the doubt or departure stands.
    since: Millis,
    asking: Asking,
}

/// What came of connecting since the last sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    Fine,
    /// No connection.
    Unreachable,
    /// Nobody listens at its address.
    NobodyThere,
}

/// Whether others are being asked after a silent member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asking {
    No,
    /// It is doubted already.
    Doubted,
    /// Others vouched before; it is not doubted while they do.
    Quietly,
    /// Not being asked now, but others have vouched since we last heard it.
    Vouched,
}

impl Membership {
    /// Knows only `me`.
    #[must_use]
    pub fn new(me: Instance, timing: Timing, now: Millis) -> Self {
        Self {
            me: Member::new(me),
            timing,
            others: BTreeMap::new(),
            watched: BTreeSet::new(),
            list: list::List::default(),
            superseded: false,
            ticked: now,
            revision: 0,
            view: Cell::new(None),
            actions: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Own entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Another's entry, lately gone ones included.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Member> {
        if *id == self.me.instance.id { Some(&self.me) } else { self.others.get(id).map(|e| &e.member) }
    }

    /// Others' entries, lately gone ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|e| &e.member)
    }

    /// What owners see.
    #[must_use]
    pub fn members(&self) -> Members {
        let others = self.others.iter().map(|(id, entry)| (id.clone(), entry.member.shown())).collect();
        Members { me: self.me.shown(), others, unmet: self.unmet() }
    }

    /// Hash over the counted members, equal where two views are.
    #[must_use]
    pub fn view(&self) -> u64 {
        if let Some(view) = self.view.get() {
            return view;
        }
        let counted = self.others().chain([&self.me]).filter(|m| m.is_counted());
        let view = counted.fold(0, |sum, member| sum ^ member.print());
        self.view.set(Some(view));
        view
    }

    /// Differs when anything else but the times of hearing does.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// To be called after every change of an entry.
    fn changed(&mut self) {
        self.revision += 1;
        self.view.set(None);
    }

    /// An entry changed, and others are to hear it.
    fn tell_change(&mut self, id: &Id, from: Option<&Id>) {
        self.changes.push(Change { id: id.clone(), from: from.cloned() });
        self.changed();
    }

    /// Whether a later run under this name was met; this one is to end.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// A later run under this name is known; this one counts no more.
    pub fn supersede(&mut self) {
        self.superseded = true;
        self.me.instance.state = State::Gone;
        self.changed();
    }

    /// What has become due since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes over what `from` tells.
    pub fn merge(&mut self, told: Vec<Member>, from: &Id, now: Millis) {
        for member in told {
            self.merge_one(member, Some(from), now);
        }
    }

    /// Says that this instance takes no new work.
    pub fn leave(&mut self) {
        self.declare(State::Leaving);
    }

    /// Says that this run has ended.
    pub fn depart(&mut self) {
        self.declare(State::Gone);
    }

    fn declare(&mut self, state: State) {
        if self.me.instance.state == State::Gone || self.me.instance.state == state {
            return;
        }
        self.me.instance.state = state;
        self.speak();
    }

    /// Gives a new word, which every doubt about the old one falls with.
    fn speak(&mut self) {
        self.me.refutation += 1;
        let id = self.me.instance.id.clone();
        self.tell_change(&id, None);
    }

    fn merge_one(&mut self, told: Member, from: Option<&Id>, now: Millis) {
        if told.instance.id == self.me.instance.id {
            return self.hear_of_me(&told);
        }
        let id = told.instance.id.clone();
        let Some(entry) = self.others.get_mut(&id) else {
            return self.insert(told, from, now);
        };
        // A message of an earlier run: it must not bring that run back.
        if told.age() < entry.member.age() {
            return;
        }
        let doubted = told.doubt != Doubt::None;
        if told.age() > entry.member.age() {
            entry.take(told, now);
            self.tell_change(&id, from);
        }
        if doubted {
            self.hear_doubt(&id, from, now);
        }
    }

    /// What others say about this instance.
    fn hear_of_me(&mut self, told: &Member) {
        if told.instance.incarnation > self.me.instance.incarnation {
            // Two runs under one name would both take its keys' homes; the
            // later start is the one that the operator meant.
            return self.supersede();
        }
        let mine = told.instance.incarnation == self.me.instance.incarnation;
        let doubted = told.doubt != Doubt::None && told.refutation >= self.me.refutation;
        if mine && (doubted || told.refutation > self.me.refutation) {
            self.me.refutation = told.refutation;
            self.speak();
        }
    }

    fn insert(&mut self, told: Member, from: Option<&Id>, now: Millis) {
        // Unknown and gone: a forgotten one, which must not come back.
        if !told.is_counted() {
            return;
        }
        let id = told.instance.id.clone();
        self.others.insert(id.clone(), Entry::new(told, now));
        self.tell_change(&id, from);
    }

    fn hear_doubt(&mut self, id: &Id, from: Option<&Id>, now: Millis) {
        let fresh = self.fresh();
        let Some(entry) = self.others.get_mut(id) else { return };
        if entry.member.doubt != Doubt::None || entry.member.instance.state == State::Gone {
            return;
        }
        // Heard just now: the doubt is wrong here, and only its subject can
        // end it elsewhere. It comes once, so it is kept until the subject is
        // heard again: it may have crashed since.
        if entry.direct.is_some_and(|at| now.saturating_sub(at) <= fresh) {
            entry.accused = Some(now);
            return self.tell(id);
        }
        entry.doubt(now);
        self.tell_change(id, from);
    }

    /// How long having heard a member outweighs what others say.
    fn fresh(&self) -> Millis {
        2 * self.timing.heartbeat
    }

    /// Tells a member that its word is doubted somewhere.
    fn tell(&mut self, id: &Id) {
        let Some(entry) = self.others.get(id) else { return };
        let doubt = entry.member.doubt.max(Doubt::Suspect);
        self.actions.push(Action::Tell(Member { doubt, ..entry.member.clone() }));
    }
}

impl Entry {
    fn new(member: Member, now: Millis) -> Self {
        Self { member, heard: now, direct: None, accused: None, reach: Reach::Fine, since: now, asking: Asking::No }
    }

    /// Takes a newer word.
    fn take(&mut self, told: Member, now: Millis) {
        if told.instance.incarnation > self.member.instance.incarnation {
            self.direct = None;
        }
        self.member = Member { doubt: Doubt::None, ..told };
        self.heard = now;
        self.since = now;
        self.accused = None;
        self.reach = Reach::Fine;
        if self.asking == Asking::Doubted {
            self.asking = Asking::Vouched;
        }
    }

    fn doubt(&mut self, now: Millis) {
        self.member.doubt = Doubt::Suspect;
        self.accused = None;
        self.since = now;
    }
}
