//! A plain service: every call that changes something is an effect, and a
//! repeated call is a second effect; it knows no idempotency itself.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use world::{Millis, Timestamp};

use crate::{
    fault::{self, Dice, Odds},
    server::{self, Answer, Broken, Call, Server, header, json, later},
};

/// Hint of a refusal.
const BUSY_RETRY: Duration = Duration::from_millis(50);

/// A plain service as a type to `bind`.
#[derive(Debug, Clone, Copy)]
pub struct Service;

/// A fault to turn on; they add up until `up`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// Ends every fault.
    Up,
    /// Answers 503: certainly not run.
    Refuse(Odds),
    /// Answers late.
    Slow {
        /// By this, in milliseconds.
        ms: Millis,
    },
    /// Breaks the connection before the effect.
    BreakBefore(Odds),
    /// Breaks the connection after the effect.
    BreakAfter(Odds),
}

/// Something that was done, once for each call that came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// `Idempotency-Key` of the call, if any.
    pub key: String,
    /// `Arbutuslug-Attempt` of the call, if any.
    pub attempt: String,
    /// What was sent.
    pub body: String,
    /// When it came.
    pub received: Timestamp,
}

/// A running plain service.
#[derive(Debug, Clone)]
pub struct Handle {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    dice: Dice,
    effects: Vec<Effect>,
    reads: u64,
    refuse: Odds,
    slow: Millis,
    break_before: Odds,
    break_after: Odds,
}

impl Service {
    /// Starts a plain service; the seed is of its faults by chance.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn bind(addr: SocketAddr, seed: u64) -> io::Result<Handle> {
        let state = State {
            dice: Dice::new(seed),
            effects: Vec::new(),
            reads: 0,
            refuse: Odds::NEVER,
            slow: 0,
            break_before: Odds::NEVER,
            break_after: Odds::NEVER,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state) });
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

    /// Everything done, in order.
    #[must_use]
    pub fn effects(&self) -> Vec<Effect> {
        self.shared.lock().effects.clone()
    }

    /// Calls that change nothing.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
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
                state.refuse = Odds::NEVER;
                state.slow = 0;
                state.break_before = Odds::NEVER;
                state.break_after = Odds::NEVER;
            }
            Switch::Refuse(odds) => state.refuse = odds,
            Switch::Slow { ms } => state.slow = ms,
            Switch::BreakBefore(odds) => state.break_before = odds,
            Switch::BreakAfter(odds) => state.break_after = odds,
        }
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Answer {
    if call.uri().path() == "/switch" {
        return Ok(server::switch(&call, |switch| shared.switch(switch)));
    }
    let slow = shared.lock().slow;
    fault::pause(slow).await;
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.dice.strikes(&mut state.refuse) {
        return Ok(later(StatusCode::SERVICE_UNAVAILABLE, "the service is busy", BUSY_RETRY));
    }
    if state.dice.strikes(&mut state.break_before) {
        return Err(Broken);
    }
    let number = state.take(&call);
    if state.dice.strikes(&mut state.break_after) {
        return Err(Broken);
    }
    let path = call.uri().path();
    let key = header(&call, "idempotency-key");
    Ok(json(StatusCode::OK, &json!({ "effect": number, "path": path, "key": key })))
}

impl State {
    /// Does what a call asks; the number of its effect, if it has one.
    fn take(&mut self, call: &Call) -> Option<usize> {
        if matches!(*call.method(), Method::GET | Method::HEAD) {
            self.reads += 1;
            return None;
        }
        self.effects.push(Effect {
            method: call.method().to_string(),
            path: call.uri().path_and_query().map(ToString::to_string).unwrap_or_default(),
            key: header(call, "idempotency-key").into(),
            attempt: header(call, "arbutuslug-attempt").into(),
            body: String::from_utf8_lossy(call.body()).into_owned(),
            received: fault::wall_clock(),
        });
        Some(self.effects.len())
    }
}
