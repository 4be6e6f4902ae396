//! The service that rates answers: at once, or later through a feed.
//!
//! Whether an answer passes is fixed by its request, version and the seed:
//! each version passes its share of requests, fewer in a class it is bad at.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{sync::watch, time::Instant};
use world::{Millis, hash};

use crate::{
    answer,
    fault::{self, Dice, Odds},
    server::{self, Answer, Call, Server, json, later, number, problem},
};

/// Hint of an outage answer.
const DOWN_RETRY: Duration = Duration::from_millis(200);

/// The rating service as a type to `bind`.
#[derive(Debug, Clone, Copy)]
pub struct Rating;

/// How it rates.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Options {
    /// Share of answers that pass, by `model@number`; 0.95 for others.
    pub quality: BTreeMap<String, f64>,
    /// From a submission to its rating in the feed, in milliseconds.
    pub delay_ms: Millis,
    /// Of whether answers pass, and of its faults by chance.
    pub seed: u64,
}

/// A fault to turn on; they add up until `up`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// Ends every fault.
    Up,
    /// Answers 503.
    Down,
    /// Answers late.
    Slow {
        /// By this, in milliseconds.
        ms: Millis,
    },
    /// Rates submissions later.
    Delay {
        /// By this, in milliseconds.
        ms: Millis,
    },
    /// Never rates some submissions.
    Lose(Odds),
}

/// An answer to rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The sender's name for it.
    pub id: String,
    /// Whose request.
    pub customer: String,
    /// The request's class.
    pub class: String,
    /// What answered, `model@number`.
    pub version: String,
    /// What it answered.
    pub answer: String,
}

/// A rating in the feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rated {
    /// The sender's name for the answer.
    pub id: String,
    /// Whose request.
    pub customer: String,
    /// The request's class.
    pub class: String,
    /// What answered.
    pub version: String,
    /// Whether the answer passes.
    pub pass: bool,
}

/// A running rating service.
#[derive(Debug, Clone)]
pub struct Handle {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    state: Mutex<State>,
    news: watch::Sender<usize>,
}

#[derive(Debug)]
struct State {
    dice: Dice,
    down: bool,
    slow: Millis,
    delay: Millis,
    lose: Odds,
    inline: u64,
    submitted: u64,
    feed: Vec<Rated>,
}

impl Rating {
    /// Starts a rating service.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn bind(addr: SocketAddr, options: Options) -> io::Result<Handle> {
        let state = State {
            dice: Dice::new(options.seed),
            down: false,
            slow: 0,
            delay: options.delay_ms,
            lose: Odds::NEVER,
            inline: 0,
            submitted: 0,
            feed: Vec::new(),
        };
        let shared = Arc::new(Shared { options, state: Mutex::new(state), news: watch::channel(0).0 });
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

    /// Whether an answer passes.
    #[must_use]
    pub fn passes(&self, ask: &Ask) -> bool {
        self.shared.passes(ask)
    }

    /// Every rating told through the feed.
    #[must_use]
    pub fn feed(&self) -> Vec<Rated> {
        self.shared.lock().feed.clone()
    }

    /// Answers rated at once.
    #[must_use]
    pub fn inline(&self) -> u64 {
        self.shared.lock().inline
    }

    /// Answers submitted for later.
    #[must_use]
    pub fn submitted(&self) -> u64 {
        self.shared.lock().submitted
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
                state.delay = self.options.delay_ms;
                state.lose = Odds::NEVER;
            }
            Switch::Down => state.down = true,
            Switch::Slow { ms } => state.slow = ms,
            Switch::Delay { ms } => state.delay = ms,
            Switch::Lose(odds) => state.lose = odds,
        }
    }

    fn passes(&self, ask: &Ask) -> bool {
        if ask.answer.starts_with(answer::BAD) {
            return false;
        }
        passes(&self.options, ask)
    }
}

/// Share of answers that pass for a version that the options do not name.
const DEFAULT_QUALITY: f64 = 0.95;
/// Steps that chance is divided into.
const STEPS: u32 = 1 << 20;

fn passes(options: &Options, ask: &Ask) -> bool {
    let quality = options.quality.get(&ask.version).copied().unwrap_or(DEFAULT_QUALITY);
    let text = format!("{}\n{}\n{}", ask.class, ask.version, ask.answer);
    let chance = u32::try_from(hash::rendezvous(options.seed, text.as_bytes()) % u64::from(STEPS)).unwrap_or(0);
    f64::from(chance) / f64::from(STEPS) < quality
}

async fn answer(shared: Arc<Shared>, call: Call) -> Answer {
    if call.uri().path() == "/switch" {
        return Ok(server::switch(&call, |switch| shared.switch(switch)));
    }
    let (down, slow) = {
        let state = shared.lock();
        (state.down, state.slow)
    };
    if down {
        return Ok(later(StatusCode::SERVICE_UNAVAILABLE, "the rating service is down", DOWN_RETRY));
    }
    fault::pause(slow).await;
    match (call.method(), call.uri().path()) {
        (&Method::POST, "/rate") => Ok(server::parse(&call).map_or_else(|no| *no, |ask| rate(&shared, &ask))),
        (&Method::POST, "/submit") => Ok(server::parse(&call).map_or_else(|no| *no, |ask| submit(shared, ask))),
        (&Method::GET, "/ratings") => Ok(feed(&shared, &call).await),
        _ => Ok(problem(StatusCode::NOT_FOUND, "no such call; see docs/design/outside-protocols.md")),
    }
}

fn rate(shared: &Shared, ask: &Ask) -> http::Response<server::Body> {
    shared.lock().inline += 1;
    json(StatusCode::OK, &json!({ "id": ask.id, "pass": shared.passes(ask) }))
}

fn submit(shared: Arc<Shared>, ask: Ask) -> http::Response<server::Body> {
    let delay = {
        let mut guard = shared.lock();
        let state = &mut *guard;
        state.submitted += 1;
        let lost = state.dice.strikes(&mut state.lose);
        (!lost).then_some(state.delay)
    };
    if let Some(delay) = delay {
        tokio::spawn(async move {
            fault::pause(delay).await;
            let pass = shared.passes(&ask);
            let Ask { id, customer, class, version, .. } = ask;
            let mut state = shared.lock();
            state.feed.push(Rated { id, customer, class, version, pass });
            shared.news.send_replace(state.feed.len());
        });
    }
    json(StatusCode::ACCEPTED, &json!({}))
}

async fn feed(shared: &Shared, call: &Call) -> http::Response<server::Body> {
    let after = usize::try_from(number(call, "after", 0)).unwrap_or(usize::MAX);
    let deadline = Instant::now() + Duration::from_millis(number(call, "wait_ms", 0).min(60_000));
    let mut news = shared.news.subscribe();
    // Either there is a rating past `after`, or the wait is over.
    drop(tokio::time::timeout_at(deadline, news.wait_for(|length| *length > after)).await);
    let state = shared.lock();
    let ratings = state.feed.get(after..).unwrap_or_default();
    json(StatusCode::OK, &json!({ "next": state.feed.len(), "ratings": ratings }))
}
