//! State of one shard: a pure function of its log.
//!
//! [`State::apply`] folds a record in and is all a new home needs to rebuild
//! the state. [`State::decide`] says what a question calls for: an answer
//! from memory, a record that must be durable before its reply, or an answer
//! that is a promise and needs proof that this is still the home. No I/O, no
//! clock: the home (the home.s task) supplies both.

mod decide;

use std::collections::HashMap;

use world::{
    hash, instance,
    request::{KEY_SKEW, KEY_WINDOW, Outcome},
    session::Pin,
    time::{Millis, Timestamp},
};

use crate::{
    bill::{Bill, Holder},
    op::Known,
    placement::Placement,
    record::{Bind, Claim, Close, Digest, End, Mark, Origin, Record, Seq, Settle, Standing},
    wire,
};

/// How long a binding outlives its last use, and a closed holder its end.
pub const BINDING_WINDOW: Millis = KEY_WINDOW;
/// How long a closed holder is remembered. Bills of a longer pause would count
/// twice against a budget; an instance that was paused for a week is replaced.
pub const CLOSED_WINDOW: Millis = 7 * KEY_WINDOW;
/// How long a run that ended without an answer, or was never heard of again,
/// is remembered, so that a later refusal does not say "not run".
const ENDED_WINDOW: Millis = 10 * 60 * 1_000;
/// Most claims of one key that are remembered as dead; an asker gives up after
/// seconds, so that later ones are under way no more.
const MOST_DEAD: usize = 16;
/// How long a billed request is remembered at the least.
const BILL_WINDOW_MIN: Millis = 10 * 60 * 1_000;

pub use decide::{Context, Decision};

/// One shard.
#[derive(Debug, Default)]
pub struct State {
    marks: HashMap<Digest, Entry>,
    bindings: HashMap<Digest, Binding>,
    closed: HashMap<Holder, Timestamp>,
    running: HashMap<Digest, Running>,
    durable: Seq,
    /// When this instance took the shard over; what was registered in an
    /// earlier home's memory is not here.
    opened: Timestamp,
}

/// Bounds of a shard's memory.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most requests remembered.
    pub keys: usize,
    /// Most bindings remembered.
    pub bindings: usize,
    /// Most idempotent requests registered.
    pub running: usize,
}

impl Default for Bounds {
    /// About 20 MB for a full shard.
    fn default() -> Self {
        Self { keys: 100_000, bindings: 20_000, running: 20_000 }
    }
}

#[derive(Debug)]
struct Entry {
    standing: Standing,
    nonce: u64,
    fingerprint: u64,
    made_at: Timestamp,
    billed: u64,
    seq: Seq,
    /// Who answered it and may hold the answer still; a hint, not kept in
    /// snapshots.
    answered: Option<Origin>,
    /// Nonces of other claims of the key that were settled as not run. One that
    /// is still under way must not stand: nobody would settle it any more, and
    /// the key would count as running for as long as keys are remembered.
    dead: Vec<u64>,
}

#[derive(Debug)]
struct Binding {
    pins: Vec<Pin>,
    at: Timestamp,
    seq: Seq,
}

#[derive(Debug)]
struct Running {
    nonce: u64,
    by: Origin,
    fingerprint: u64,
    until: Timestamp,
    /// An earlier try may have run.
    again: bool,
    /// How it ended; nothing while it runs.
    end: Option<End>,
}

impl State {
    /// Folds one record of segment `seq` in.
    ///
    /// The first record wins wherever two say different things, so that every
    /// reader of the log sees the same state.
    pub fn apply(&mut self, record: &Record, seq: Seq) {
        match record {
            Record::Claim(claim) => self.apply_claim(claim, seq),
            Record::Settle(settle) => self.apply_settle(settle, seq),
            Record::Bill(bill) => self.apply_bill(bill, seq),
            Record::Bind(bind) => self.apply_bind(bind, seq),
            Record::Close(close) => {
                self.closed.entry(close.holder.clone()).or_insert(close.at);
            }
            Record::Mark(mark) => self.apply_mark(mark, seq),
        }
    }

    /// Notes when this instance became the home.
    pub fn open_at(&mut self, now: Timestamp) {
        self.opened = now;
    }

    /// Everything up to `seq` is durable.
    pub fn settle_up_to(&mut self, seq: Seq) {
        self.durable = seq;
    }

    /// Forgets what is past its window.
    ///
    /// Claims are remembered for the whole window or refused. Requests that
    /// are only billed are forgotten earlier when they take more than half of
    /// the room: a repeat may then be recorded as a second bill, which readers
    /// leave out, since bills are a set by request.
    pub fn expire(&mut self, now: Timestamp, bounds: &Bounds) {
        let durable = self.durable;
        let mut window = KEY_WINDOW;
        while self.marks.len() > bounds.keys / 2 && window > BILL_WINDOW_MIN {
            window /= 2;
            self.marks.retain(|_, e| e.nonce != 0 || e.seq > durable || now.since(e.made_at) <= window);
        }
        self.marks.retain(|_, e| e.seq > durable || now.since(e.made_at) <= KEY_WINDOW + KEY_SKEW);
        self.bindings.retain(|_, b| b.seq > durable || now.since(b.at) <= BINDING_WINDOW);
        self.closed.retain(|_, at| now.since(*at) <= CLOSED_WINDOW);
        self.running.retain(|_, r| r.until.plus(ENDED_WINDOW) > now);
    }

    /// The whole state as records, without what is registered in memory only.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let marks = self.marks.iter().map(|(digest, entry)| Record::Mark(entry.mark(*digest)));
        let closed = self.closed.iter().map(|(holder, at)| Record::Close(Close { holder: holder.clone(), at: *at }));
        let bindings = self.bindings.iter().map(|(digest, binding)| {
            Record::Bind(Bind { digest: *digest, pins: binding.pins.clone(), replaces: None, at: binding.at })
        });
        marks.chain(closed).chain(bindings).collect()
    }

    /// What is known of a claim's key from others, durable or not.
    #[must_use]
    pub fn known(&self, claim: &Claim, placement: &Placement) -> Option<Known> {
        let entry = self.marks.get(&claim.digest).filter(|entry| entry.nonce != claim.nonce)?;
        let known = entry.known(placement);
        // An outcome that is not durable could still turn out another.
        let outcome = if entry.seq > self.durable { Outcome::Unknown } else { known.outcome };
        Some(Known { outcome, at: known.at })
    }

    /// Number of requests remembered.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.marks.len()
    }

    fn apply_claim(&mut self, claim: &Claim, seq: Seq) {
        let entry = Entry {
            standing: Standing::Running(claim.by.clone()),
            nonce: claim.nonce,
            fingerprint: claim.fingerprint,
            made_at: claim.made_at,
            billed: 0,
            seq,
            answered: None,
            dead: Vec::new(),
        };
        match self.marks.get_mut(&claim.digest) {
            None => {
                self.marks.insert(claim.digest, entry);
            }
            // A claim that comes after its own settlement is dead: its origin
            // gave up on it and told the caller "not run".
            Some(old) if old.standing == Standing::NotRun && !old.is_dead(claim.nonce) && old.billed == 0 => {
                let mut dead = std::mem::take(&mut old.dead);
                bury(&mut dead, old.nonce);
                *old = Entry { dead, ..entry };
            }
            Some(_) => {}
        }
    }

    fn apply_settle(&mut self, settle: &Settle, seq: Seq) {
        let standing = match settle.end {
            End::Answered => Standing::Answered,
            End::NotRun => Standing::NotRun,
            End::Unknown => Standing::Unknown,
        };
        match self.marks.get_mut(&settle.digest) {
            None => {
                let Settle { nonce, made_at, .. } = *settle;
                let (answered, dead) = (None, Vec::new());
                let entry = Entry { standing, nonce, fingerprint: 0, made_at, billed: 0, seq, answered, dead };
                self.marks.insert(settle.digest, entry);
            }
            Some(old) if old.nonce == settle.nonce && old.open() => {
                old.answer(&standing);
                old.standing = standing;
                old.seq = seq;
            }
            Some(old)
                if old.nonce != settle.nonce && settle.end == End::NotRun && old.standing != Standing::Answered =>
            {
                bury(&mut old.dead, settle.nonce);
                old.seq = seq;
            }
            Some(_) => {}
        }
    }

    fn apply_bill(&mut self, bill: &Bill, seq: Seq) {
        if bill.grant.as_ref().is_some_and(|grant| self.closed.contains_key(&grant.holder)) {
            return;
        }
        let digest = Digest::request(&bill.id);
        let entry = self.marks.entry(digest).or_insert(Entry {
            standing: Standing::Answered,
            nonce: 0,
            fingerprint: 0,
            made_at: bill.at,
            billed: 0,
            seq,
            answered: None,
            dead: Vec::new(),
        });
        if entry.billed == 0 {
            entry.answer(&Standing::Answered);
            if let (None, Some(grant)) = (&entry.answered, &bill.grant) {
                let Holder { instance, incarnation, .. } = grant.holder.clone();
                entry.answered = Some(Origin { instance, incarnation });
            }
            entry.billed = bill_hash(bill);
            entry.standing = Standing::Answered;
            entry.seq = seq;
        }
        // Its holder may be known from its registration alone.
        if let Some(running) = self.running.remove(&digest) {
            entry.answered.get_or_insert(running.by);
        }
    }

    fn apply_bind(&mut self, bind: &Bind, seq: Seq) {
        let binding = Binding { pins: bind.pins.clone(), at: bind.at, seq };
        match self.bindings.get_mut(&bind.digest) {
            None => {
                self.bindings.insert(bind.digest, binding);
            }
            Some(old) if old.pins == bind.pins || bind.replaces.as_ref() == Some(&old.pins) => *old = binding,
            Some(_) => {}
        }
    }

    fn apply_mark(&mut self, mark: &Mark, seq: Seq) {
        let Mark { digest, standing, nonce, fingerprint, made_at, billed, dead } = mark.clone();
        self.marks.insert(digest, Entry { standing, nonce, fingerprint, made_at, billed, seq, answered: None, dead });
    }
}

impl Entry {
    fn open(&self) -> bool {
        matches!(self.standing, Standing::Running(_) | Standing::Unknown)
    }

    /// Whether a claim was settled as not run.
    fn is_dead(&self, nonce: u64) -> bool {
        let is_own = self.nonce == nonce && self.standing == Standing::NotRun;
        is_own || self.dead.contains(&nonce)
    }

    /// Notes who answers before the standing forgets who ran it.
    fn answer(&mut self, next: &Standing) {
        if let (Standing::Running(by), Standing::Answered) = (&self.standing, next) {
            self.answered = Some(by.clone());
        }
    }

    fn known(&self, placement: &Placement) -> Known {
        let (outcome, at): (_, Option<instance::Id>) = match &self.standing {
            Standing::Running(by) if placement.knows(by) => (Outcome::Running, Some(by.instance.clone())),
            // The instance that ran it is gone: nobody can tell any more.
            Standing::Running(_) | Standing::Unknown => (Outcome::Unknown, None),
            // A repeat asks there for the answer that its first caller got.
            Standing::Answered => {
                let holder = self.answered.as_ref().filter(|by| placement.knows(by));
                (Outcome::Answered, holder.map(|by| by.instance.clone()))
            }
            Standing::NotRun => (Outcome::NotRun, None),
        };
        Known { outcome, at }
    }

    fn mark(&self, digest: Digest) -> Mark {
        Mark {
            digest,
            standing: self.standing.clone(),
            nonce: self.nonce,
            fingerprint: self.fingerprint,
            made_at: self.made_at,
            billed: self.billed,
            dead: self.dead.clone(),
        }
    }
}

/// Notes a dead claim, and forgets the oldest if there are many. A nonce of 0 is
/// no claim's.
fn bury(dead: &mut Vec<u64>, nonce: u64) {
    if nonce == 0 || dead.contains(&nonce) {
        return;
    }
    if dead.len() >= MOST_DEAD {
        dead.remove(0);
    }
    dead.push(nonce);
}

/// Tells a repeat of a bill from another bill of the same request; never 0.
fn bill_hash(bill: &Bill) -> u64 {
    hash::stable(&wire::encode_bill(bill)).max(1)
}
