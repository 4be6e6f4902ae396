//! A model engine: slots with a queue by priority, streams that resume and
//! cancel, lagging load reports, late cache events with gaps, orders with or
//! without a fencing check, and its own record of every attempt.

mod api;
mod attempt;
mod cache;
mod load;
mod slots;
mod stream;

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};
use world::Millis;

use crate::{
    fault::{Dice, Odds},
    server::{self, Server},
};
use attempt::Attempt;
pub use attempt::{End, Record};
use cache::Cache;
use load::Load;
use slots::Slots;

/// The engine as a type to `bind`.
#[derive(Debug, Clone, Copy)]
pub struct Engine;

/// What an engine is like.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Versions it starts with, `model@number`.
    pub versions: BTreeSet<String>,
    /// Runs it batches at a time.
    pub slots: usize,
    /// Runs that may wait for a slot; more are refused.
    pub queue: usize,
    /// From the start of a run to its first token, in milliseconds.
    pub first_token_ms: Millis,
    /// Between tokens, in milliseconds.
    pub per_token_ms: Millis,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// From an order to load a version to its first run, in milliseconds.
    pub load_ms: Millis,
    /// Age of its load reports and cache events, in milliseconds.
    pub lag_ms: Millis,
    /// Prefixes its cache holds.
    pub cached_prefixes: usize,
    /// Share of cache events that are never told.
    pub lost_events: f64,
    /// Ended attempts it remembers.
    pub remembered: usize,
    /// Of its faults by chance.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            versions: BTreeSet::new(),
            slots: 16,
            queue: 64,
            first_token_ms: 0,
            per_token_ms: 0,
            checks_fence: true,
            load_ms: 0,
            lag_ms: 0,
            cached_prefixes: 256,
            lost_events: 0.0,
            remembered: 200_000,
            seed: 0,
        }
    }
}

/// A fault to turn on; they add up until `up`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// Ends every fault.
    Up,
    /// Refuses runs with 503: certainly not run.
    Refuse(Odds),
    /// Takes the run, and never answers.
    Hang(Odds),
    /// Takes the run, and breaks the connection without an answer.
    LoseAnswers(Odds),
    /// Breaks a stream once this event was sent; the run goes on.
    BreakStreams {
        /// Events sent first.
        after: u64,
        /// Of the streams, resumed ones included.
        odds: Odds,
    },
    /// Falls silent once this event was sent; the run goes on.
    Stall {
        /// Events sent first.
        after: u64,
        /// Of the streams, resumed ones included.
        odds: Odds,
    },
    /// Forgets an attempt when its stream breaks: it cannot be resumed.
    Forget(Odds),
    /// Sends an event twice.
    Duplicate(Odds),
    /// Sends an event of another attempt amid a stream.
    Foreign(Odds),
    /// Makes a version bad.
    Bad {
        /// Which, `model@number`.
        version: String,
        /// In what way.
        fault: Fault,
        /// How many of its runs.
        odds: Odds,
    },
}

/// In what way a version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Answers 500.
    Errors,
    /// Answers that do not pass rating.
    Answers,
    /// Takes this many milliseconds more to its first token.
    Slow(Millis),
}

/// An order received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The sender's fencing number.
    pub fence: u64,
    /// Versions to have.
    #[serde(default)]
    pub load: BTreeSet<String>,
    /// Versions not to have.
    #[serde(default)]
    pub unload: BTreeSet<String>,
}

/// A running engine.
#[derive(Debug, Clone)]
pub struct Handle {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    dice: Dice,
    faults: Faults,
    versions: BTreeSet<String>,
    fence: u64,
    orders: Vec<Order>,
    attempts: HashMap<String, Arc<Attempt>>,
    /// Attempts in the order of their coming; the oldest are forgotten.
    order: VecDeque<String>,
    slots: Slots,
    load: Load,
    cache: Cache,
}

#[derive(Debug, Default)]
struct Faults {
    refuse: Odds,
    hang: Odds,
    lose_answers: Odds,
    break_after: u64,
    break_streams: Odds,
    stall_after: u64,
    stall: Odds,
    forget: Odds,
    duplicate: Odds,
    foreign: Odds,
    bad: HashMap<String, (Fault, Odds)>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn bind(addr: SocketAddr, options: Options) -> io::Result<Handle> {
        let state = State {
            dice: Dice::new(options.seed),
            faults: Faults::default(),
            versions: options.versions.clone(),
            fence: 0,
            orders: Vec::new(),
            attempts: HashMap::new(),
            order: VecDeque::new(),
            slots: Slots::new(options.slots, options.queue),
            load: Load::default(),
            cache: Cache::new(options.cached_prefixes),
        };
        let shared = Arc::new(Shared { options, state: Mutex::new(state) });
        let server = server::bind(addr, shared.clone(), api::answer).await?;
        Ok(Handle { server: Arc::new(server), shared })
    }
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Turns a fault on, or all off.
    pub fn switch(&self, switch: Switch) {
        self.shared.switch(switch);
    }

    /// Every attempt it took, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let state = self.shared.lock();
        state.order.iter().filter_map(|id| state.attempts.get(id)).map(|attempt| attempt.record()).collect()
    }

    /// Every order it followed, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Versions it has.
    #[must_use]
    pub fn versions(&self) -> BTreeSet<String> {
        self.shared.lock().versions.clone()
    }

    /// Runs now in a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.lock().slots.running()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn switch(&self, switch: Switch) {
        let faults = &mut self.lock().faults;
        match switch {
            Switch::Up => *faults = Faults::default(),
            Switch::Refuse(odds) => faults.refuse = odds,
            Switch::Hang(odds) => faults.hang = odds,
            Switch::LoseAnswers(odds) => faults.lose_answers = odds,
            Switch::BreakStreams { after, odds } => (faults.break_after, faults.break_streams) = (after, odds),
            Switch::Stall { after, odds } => (faults.stall_after, faults.stall) = (after, odds),
            Switch::Forget(odds) => faults.forget = odds,
            Switch::Duplicate(odds) => faults.duplicate = odds,
            Switch::Foreign(odds) => faults.foreign = odds,
            Switch::Bad { version, fault, odds } => drop(faults.bad.insert(version, (fault, odds))),
        }
    }
}
