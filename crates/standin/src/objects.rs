//! The platform's object API: versions, conditional updates, watches, the
//! lagging list of instances, limited rates of calls and outages.

mod api;
mod bucket;
mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};
use serde_json::{
    Value,
    value::{RawValue, to_raw_value},
};
use tokio::{sync::watch, time::Instant};
use world::Millis;

use crate::{
    fault::{Dice, Odds},
    server::{self, Server},
};
use bucket::Bucket;
pub use store::Object;
use store::Store;

/// The object API as a type to `bind`.
#[derive(Debug, Clone, Copy)]
pub struct Objects;

/// Calls a second it takes, and the seed of its faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Of its faults by chance.
    pub seed: u64,
}

impl Default for Limits {
    /// The platform's rates as its users state them.
    fn default() -> Self {
        Self { writes_per_s: 400.0, reads_per_s: 2_000.0, seed: 0 }
    }
}

impl Limits {
    /// No limit at all, for tests of other things.
    #[must_use]
    pub fn none() -> Self {
        Self { writes_per_s: f64::INFINITY, reads_per_s: f64::INFINITY, seed: 0 }
    }
}

/// A fault to turn on; they add up until `up`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// Ends every fault.
    Up,
    /// Answers 503, also to waiting watches.
    Down,
    /// Answers late.
    Slow {
        /// By this, in milliseconds.
        ms: Millis,
    },
    /// Breaks the connection after a write took effect.
    LoseAnswers(Odds),
    /// Breaks the connection of a write before it takes effect.
    LoseCalls(Odds),
}

/// One instance of the lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Whether it stays.
    pub state: Standing,
}

/// What a listed instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the daemon.
    Entry,
    /// Runs an engine or a plain service.
    Endpoint,
}

/// Whether a listed instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Stays.
    Live,
    /// Is about to go.
    Leaving,
}

/// Calls taken, by kind; the platform bills each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Single reads.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Watches, each once when it starts.
    pub watches: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Writes with `If-None-Match`.
    pub creates: u64,
    /// Writes with `If-Match`.
    pub updates: u64,
    /// Deletions.
    pub deletes: u64,
    /// Writes that lost their condition.
    pub conflicts: u64,
    /// Calls refused for their rate.
    pub limited: u64,
    /// Calls refused during an outage.
    pub down: u64,
}

/// A running object API.
#[derive(Debug, Clone)]
pub struct Handle {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Store revision, sent again at every switch: wakes waiting watches.
    news: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    store: Store,
    instances: Box<RawValue>,
    calls: Calls,
    writes: Bucket,
    reads: Bucket,
    dice: Dice,
    down: bool,
    slow: Millis,
    lose_answers: Odds,
    lose_calls: Odds,
}

impl Objects {
    /// Starts an empty object API.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Handle> {
        let state = State {
            store: Store::default(),
            instances: raw::<Listed>(&[]),
            calls: Calls::default(),
            writes: Bucket::new(limits.writes_per_s, Instant::now()),
            reads: Bucket::new(limits.reads_per_s, Instant::now()),
            dice: Dice::new(limits.seed),
            down: false,
            slow: 0,
            lose_answers: Odds::NEVER,
            lose_calls: Odds::NEVER,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), news: watch::channel(0).0 });
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

    /// What the lagging list says from now on.
    pub fn set_instances(&self, instances: &[Listed]) {
        self.shared.lock().instances = raw(instances);
    }

    /// What the lagging list says from now on, out of entries of any kind.
    pub fn set_raw_instances(&self, entries: &[Box<RawValue>]) {
        self.shared.lock().instances = raw(entries);
    }

    /// Every object under a prefix, by key.
    #[must_use]
    pub fn dump(&self, prefix: &str) -> Vec<Object> {
        self.shared.lock().store.list(prefix, "", usize::MAX).0
    }

    /// Puts an object whatever its version; no call is counted.
    pub fn put(&self, key: &str, value: Value) {
        let version = self.shared.lock().store.put(key, value);
        self.shared.news.send_replace(version);
    }

    /// Forgets all changes but the last `keep`: older watches get 410.
    pub fn compact(&self, keep: usize) {
        self.shared.lock().store.compact(keep);
    }

    /// The store's revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.lock().store.revision()
    }

    /// Calls taken so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }
}

fn raw<T: Serialize>(entries: &[T]) -> Box<RawValue> {
    to_raw_value(entries).expect("entries have text keys and finite numbers")
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn switch(&self, switch: Switch) {
        let mut state = self.lock();
        match switch {
            Switch::Up => {
                state.down = false;
                state.slow = 0;
                state.lose_answers = Odds::NEVER;
                state.lose_calls = Odds::NEVER;
            }
            Switch::Down => state.down = true,
            Switch::Slow { ms } => state.slow = ms,
            Switch::LoseAnswers(odds) => state.lose_answers = odds,
            Switch::LoseCalls(odds) => state.lose_calls = odds,
        }
        self.news.send_replace(state.store.revision());
    }
}
