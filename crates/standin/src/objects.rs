//! The platform's object API: versions, conditional updates, watches, the
//! lagging list of instances, limited rates of calls and outages.

mod bucket;
mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};
use world::Millis;

use crate::{
    fault::{self, Dice, Odds},
    server::{self, Answer, Body, Broken, Call, Refusal, Server, decode, header, json, later, number, problem, query},
};
use bucket::Bucket;
pub use store::Object;
use store::{Refused, Store};

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;
/// Longest wait of a watch, in milliseconds.
const MAX_WAIT: Millis = 60_000;
/// Items of a list that names no limit.
const LIST_LIMIT: u64 = 1_000;
/// Hint of an outage answer.
const DOWN_RETRY: Duration = Duration::from_millis(500);

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
    instances: Vec<Listed>,
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
            instances: Vec::new(),
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
        let server = server::bind(addr, shared.clone(), answer).await?;
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
    pub fn set_instances(&self, instances: Vec<Listed>) {
        self.shared.lock().instances = instances;
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

/// Takes a call through outage, rate and delay to its answer.
async fn answer(shared: Arc<Shared>, call: Call) -> Answer {
    if call.uri().path() == "/switch" {
        return Ok(server::switch(&call, |switch| shared.switch(switch)));
    }
    let is_write = matches!(*call.method(), Method::PUT | Method::DELETE);
    let slow = match shared.lock().admit(is_write) {
        Ok(slow) => slow,
        Err(refusal) => return Ok(*refusal),
    };
    fault::pause(slow).await;
    match (call.method(), call.uri().path()) {
        (&Method::GET, "/watch") => watch_changes(&shared, &call).await,
        (&Method::GET, "/objects") => Ok(shared.lock().list(&call)),
        (&Method::GET, "/instances") => Ok(shared.lock().list_instances()),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) if *method == Method::GET => Ok(shared.lock().get(&decode(key))),
            Some(key) if is_write => write(&shared, &call, &decode(key)),
            _ => Ok(problem(StatusCode::NOT_FOUND, "no such call; see docs/design/outside-protocols.md")),
        },
    }
}

fn write(shared: &Shared, call: &Call, key: &str) -> Answer {
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.dice.strikes(&mut state.lose_calls) {
        return Err(Broken);
    }
    let answer = state.write(call, key);
    shared.news.send_replace(state.store.revision());
    if state.dice.strikes(&mut state.lose_answers) {
        return Err(Broken);
    }
    Ok(answer)
}

async fn watch_changes(shared: &Shared, call: &Call) -> Answer {
    let prefix = query(call, "prefix").unwrap_or_default();
    let from = number(call, "from", 0);
    let wait = Duration::from_millis(number(call, "wait_ms", 0).min(MAX_WAIT));
    let deadline = Instant::now() + wait;
    let mut news = shared.news.subscribe();
    shared.lock().calls.watches += 1;
    loop {
        news.mark_unchanged();
        let waited = Instant::now() >= deadline;
        if let Some(answer) = shared.lock().changes(&prefix, from, waited) {
            return Ok(answer);
        }
        // Either there is news to look at, or the wait is over.
        drop(tokio::time::timeout_at(deadline, news.changed()).await);
    }
}

impl State {
    /// Lets a call in and tells its delay, or refuses it.
    fn admit(&mut self, is_write: bool) -> Result<Millis, Refusal> {
        if self.down {
            self.calls.down += 1;
            return Err(Box::new(later(StatusCode::SERVICE_UNAVAILABLE, "the object API is down", DOWN_RETRY)));
        }
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        if let Err(wait) = bucket.take(Instant::now()) {
            self.calls.limited += 1;
            return Err(Box::new(later(StatusCode::TOO_MANY_REQUESTS, "over the rate of calls", wait)));
        }
        Ok(self.slow)
    }

    /// A watch's answer, or none while there is nothing to tell.
    fn changes(&self, prefix: &str, from: u64, waited: bool) -> Option<Response<Body>> {
        if self.down {
            return Some(later(StatusCode::SERVICE_UNAVAILABLE, "the object API is down", DOWN_RETRY));
        }
        let changes = match self.store.changes(prefix, from) {
            Ok(changes) => changes,
            Err(oldest) => return Some(json(StatusCode::GONE, &json!({ "oldest": oldest }))),
        };
        if changes.is_empty() && !waited {
            return None;
        }
        Some(json(StatusCode::OK, &json!({ "version": self.store.revision(), "events": changes })))
    }

    fn get(&mut self, key: &str) -> Response<Body> {
        self.calls.gets += 1;
        match self.store.get(key) {
            Some(object) => json(StatusCode::OK, &object),
            None => problem(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn list_instances(&mut self) -> Response<Body> {
        self.calls.instances += 1;
        json(StatusCode::OK, &json!({ "instances": self.instances }))
    }

    fn list(&mut self, call: &Call) -> Response<Body> {
        self.calls.lists += 1;
        let prefix = query(call, "prefix").unwrap_or_default();
        let after = query(call, "after").unwrap_or_default();
        let limit = usize::try_from(number(call, "limit", LIST_LIMIT)).unwrap_or(usize::MAX);
        let (items, more) = self.store.list(&prefix, &after, limit);
        let version = self.store.revision();
        if query(call, "keys_only").as_deref() != Some("true") {
            return json(StatusCode::OK, &json!({ "version": version, "items": items, "more": more }));
        }
        let keys: Vec<_> = items.iter().map(|item| json!({ "key": item.key, "version": item.version })).collect();
        json(StatusCode::OK, &json!({ "version": version, "items": keys, "more": more }))
    }

    fn write(&mut self, call: &Call, key: &str) -> Response<Body> {
        let expected = header(call, "if-match").trim_matches('"').parse::<u64>();
        let is_create = header(call, "if-none-match") == "*";
        let result = match (call.method(), expected) {
            (&Method::PUT, _) if call.body().len() > MAX_VALUE => {
                return problem(StatusCode::PAYLOAD_TOO_LARGE, "a value has 1 MiB at most; part it");
            }
            (&Method::DELETE, Ok(version)) => {
                self.calls.deletes += 1;
                self.store.delete(key, version).map(|version| (StatusCode::OK, version))
            }
            (&Method::PUT, expected) => {
                let value = match server::parse(call) {
                    Ok(value) => value,
                    Err(refusal) => return *refusal,
                };
                match expected {
                    _ if is_create => {
                        self.calls.creates += 1;
                        self.store.create(key, value).map(|version| (StatusCode::CREATED, version))
                    }
                    Ok(version) => {
                        self.calls.updates += 1;
                        self.store.update(key, version, value).map(|version| (StatusCode::OK, version))
                    }
                    Err(_) => return unconditional(),
                }
            }
            _ => return unconditional(),
        };
        match result {
            Ok((status, version)) => json(status, &json!({ "key": key, "version": version })),
            Err(Refused::Missing) => problem(StatusCode::NOT_FOUND, "no such object"),
            Err(Refused::Version(version)) => {
                self.calls.conflicts += 1;
                json(StatusCode::PRECONDITION_FAILED, &json!({ "version": version }))
            }
        }
    }
}

fn unconditional() -> Response<Body> {
    problem(StatusCode::PRECONDITION_REQUIRED, "name a condition: If-Match with a version, or If-None-Match: *")
}
