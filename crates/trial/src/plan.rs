//! What callers will ask: drawn from the seed, before anything runs.
//!
//! A script is one caller's asks in their order. Every ask has a tag that
//! stands in its prompt or body, so that the stand-ins' records can be held
//! against it.

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use world::{
    Catalog,
    contract::{Contract, Customer},
};

/// Share of scripts that are a session.
const SESSION_SHARE: f64 = 0.2;
/// Asks of a session, at least and at most.
const SESSION_ASKS: std::ops::RangeInclusive<usize> = 3..=6;
/// Share of asks that call a plain service.
const SERVICE_SHARE: f64 = 0.15;
/// Share of chats that must not be repeated.
const ONCE_SHARE: f64 = 0.2;
/// Share of chats that are streamed.
const STREAM_SHARE: f64 = 0.7;
/// Share of asks that are repeated at another instance.
const REPEAT_SHARE: f64 = 0.15;
/// Weight of the two large teams; the others have 1.
const LARGE_WEIGHT: u32 = 5;
/// How many teams are large.
const LARGE_TEAMS: usize = 2;
/// Request classes, as callers name them.
const CLASSES: [&str; 3] = ["short", "table", "review"];

/// One caller's asks, in their order.
#[derive(Debug, Clone)]
pub(crate) struct Script {
    pub(crate) customer: Customer,
    pub(crate) session: Session,
    pub(crate) asks: Vec<Ask>,
}

/// How a script's asks hang together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Session {
    /// They do not.
    None,
    /// By the handle that the first answer gives.
    Handle,
    /// By a name that the caller gives.
    Named(String),
}

/// One request, sent once or repeated.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// Unique in the run; 16 hex digits of its number's hash.
    pub(crate) tag: String,
    /// Random part of its idempotency key.
    pub(crate) salt: [u8; 10],
    pub(crate) kind: Kind,
    pub(crate) repeat: Repeat,
}

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Kind {
    Chat {
        model: String,
        class: &'static str,
        stream: bool,
        /// Must not run twice.
        once: bool,
        max_tokens: Option<u64>,
    },
    /// A call that must not be repeated.
    Call { service: String, path: String },
}

/// Whether the same key is sent again, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeat {
    No,
    /// At another instance after the answer.
    Later,
    /// At another instance at the same time.
    Together,
}

impl Ask {
    /// Requests it takes.
    pub(crate) fn requests(&self) -> usize {
        if self.repeat == Repeat::No { 1 } else { 2 }
    }

    /// Whether running it twice breaks a promise.
    pub(crate) fn runs_once(&self) -> bool {
        !matches!(self.kind, Kind::Chat { once: false, .. })
    }

    /// What is said in its chat.
    pub(crate) fn content(&self) -> String {
        format!("{} please go through the records of this week and sum them up", self.tag)
    }
}

/// Scripts of at least `requests` requests.
pub(crate) fn scripts(catalog: &Catalog, requests: usize, seed: u64) -> Vec<Script> {
    let mut draw = Draw { rng: ChaCha8Rng::seed_from_u64(seed), asks: 0 };
    let customers: Vec<_> = catalog.contracts().iter().collect();
    let mut scripts = Vec::new();
    let mut count = 0;
    while count < requests {
        let script = draw.script(catalog, &customers);
        count += script.asks.iter().map(Ask::requests).sum::<usize>();
        scripts.push(script);
    }
    scripts
}

struct Draw {
    rng: ChaCha8Rng,
    asks: u64,
}

impl Draw {
    fn script(&mut self, catalog: &Catalog, customers: &[(&Customer, &Contract)]) -> Script {
        let weight = |place: &usize| if *place < LARGE_TEAMS { LARGE_WEIGHT } else { 1 };
        let places: Vec<_> = (0..customers.len()).collect();
        let place = *places.choose_weighted(&mut self.rng, weight).expect("there are customers");
        let (customer, contract) = customers[place];
        if !self.rng.random_bool(SESSION_SHARE) {
            let asks = vec![self.ask(catalog, contract)];
            return Script { customer: customer.clone(), session: Session::None, asks };
        }
        let session = if self.rng.random_bool(0.5) {
            Session::Handle
        } else {
            Session::Named(format!("session-{:08x}", self.rng.random::<u32>()))
        };
        let model = self.model(contract);
        let count = self.rng.random_range(SESSION_ASKS);
        let asks = (0..count).map(|_| self.chat(model.clone())).collect();
        Script { customer: customer.clone(), session, asks }
    }

    fn ask(&mut self, catalog: &Catalog, contract: &Contract) -> Ask {
        if !self.rng.random_bool(SERVICE_SHARE) {
            let model = self.model(contract);
            return self.chat(model);
        }
        let services: Vec<_> = contract.services.iter().filter_map(|id| Some((id, catalog.service(id)?))).collect();
        let (id, service) = services.choose(&mut self.rng).expect("each contract of the examples has a service");
        let call = service.not_repeatable.choose(&mut self.rng).expect("each service has such calls");
        let kind = Kind::Call { service: id.to_string(), path: call.path_prefix.clone() };
        self.finish(kind)
    }

    fn chat(&mut self, model: String) -> Ask {
        let kind = Kind::Chat {
            model,
            class: CLASSES.choose(&mut self.rng).expect("there are classes"),
            stream: self.rng.random_bool(STREAM_SHARE),
            once: self.rng.random_bool(ONCE_SHARE),
            max_tokens: self.rng.random_bool(0.3).then(|| self.rng.random_range(2..12)),
        };
        self.finish(kind)
    }

    fn model(&mut self, contract: &Contract) -> String {
        let allowed = contract.models.choose(&mut self.rng).expect("each contract of the examples has a model");
        allowed.model.to_string()
    }

    fn finish(&mut self, kind: Kind) -> Ask {
        self.asks += 1;
        let repeat = match (self.rng.random_bool(REPEAT_SHARE), self.rng.random_bool(0.5)) {
            (false, _) => Repeat::No,
            (true, false) => Repeat::Later,
            (true, true) => Repeat::Together,
        };
        let tag = format!("{:016x}", world::hash::rendezvous(self.rng.random(), &self.asks.to_le_bytes()));
        Ask { tag, salt: self.rng.random(), kind, repeat }
    }
}
