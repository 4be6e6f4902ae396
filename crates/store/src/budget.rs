//! This instance's share of the platform's rates.
//!
//! Two token buckets, for writes and for reads. When one is empty, calls wait
//! in the order of their [`Priority`], oldest first within one.
//!
//! Strict priority alone would let a flood of claims hold back a withdrawal
//! or a lease's renewal for as long as it lasts. So of [`TURNS`] tokens each
//! class is sure of some; a turn that its class does not need goes by
//! priority. Giving one token in eight to the oldest waiter was tried before:
//! behind 64 claims at each of seven instances a change then took 1.5 s (p50)
//! to be in force, since the 64 were all older.

use std::{collections::BTreeMap, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

/// Whose turn each token is, over and over.
pub const TURNS: [Class; 16] = {
    use Class::{Bill, Change, Claim, Rest};
    [Claim, Claim, Bill, Claim, Change, Claim, Claim, Bill, Claim, Claim, Bill, Claim, Change, Claim, Claim, Rest]
};
/// Seconds of rate that an idle bucket saves up.
const BURST_S: f64 = 0.5;

/// What a call is for; the first goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Priority {
    /// Claims: a request waits for it before it runs.
    Claim,
    /// Bills: a last frame may wait for it.
    Bill,
    /// Configuration.
    Config,
    /// Leases and orders.
    Lease,
    /// Statistics: may be dropped.
    Statistics,
}

impl Priority {
    /// Name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Bill => "bill",
            Self::Config => "config",
            Self::Lease => "lease",
            Self::Statistics => "statistics",
        }
    }

    /// Configuration and leases share a class.
    fn class(self) -> Class {
        match self {
            Self::Claim => Class::Claim,
            Self::Bill => Class::Bill,
            Self::Config | Self::Lease => Class::Change,
            Self::Statistics => Class::Rest,
        }
    }
}

/// Calls that wait in one queue; the first goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Claims.
    Claim,
    /// Bills.
    Bill,
    /// Configuration, leases and orders.
    Change,
    /// Everything else.
    Rest,
}

/// A rate shared by priority. The task ends with its last handle.
#[derive(Debug, Clone)]
pub struct Bucket {
    asks: mpsc::UnboundedSender<Ask>,
}

#[derive(Debug)]
struct Ask {
    priority: Priority,
    grant: oneshot::Sender<()>,
}

impl Bucket {
    /// Starts a bucket with a rate per second.
    #[must_use]
    pub fn spawn(per_s: f64) -> Self {
        let (asks, inbox) = mpsc::unbounded_channel();
        tokio::spawn(Task::new(per_s).run(inbox));
        Self { asks }
    }

    /// Waits for one call's worth. Dropping the future gives up the place.
    pub async fn take(&self, priority: Priority) {
        let (grant, granted) = oneshot::channel();
        // A task that is gone means the runtime shuts down: let the call go.
        if self.asks.send(Ask { priority, grant }).is_ok() {
            let _ = granted.await;
        }
    }
}

struct Task {
    per_s: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
    waiting: BTreeMap<Place, oneshot::Sender<()>>,
    arrivals: u64,
    /// Index into [`TURNS`].
    turn: usize,
}

/// Class, then arrival.
type Place = (Class, u64);

impl Task {
    fn new(per_s: f64) -> Self {
        let per_s = per_s.max(f64::MIN_POSITIVE);
        let burst = (per_s * BURST_S).max(1.0);
        let filled = Instant::now();
        Self { per_s, burst, tokens: burst, filled, waiting: BTreeMap::new(), arrivals: 0, turn: 0 }
    }

    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Ask>) {
        loop {
            self.fill();
            self.grant();
            let wake = self.next_token();
            tokio::select! {
                ask = inbox.recv() => match ask {
                    Some(ask) => self.enqueue(ask),
                    None => return,
                },
                () = sleep_until(wake), if !self.waiting.is_empty() => {}
            }
        }
    }

    fn enqueue(&mut self, ask: Ask) {
        self.arrivals += 1;
        self.waiting.insert((ask.priority.class(), self.arrivals), ask.grant);
    }

    fn fill(&mut self) {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = now;
    }

    fn grant(&mut self) {
        while self.tokens >= 1.0 {
            let Some(place) = self.next_place() else { return };
            let grant = self.waiting.remove(&place).expect("place was just found");
            // Whoever has given up takes no token.
            if grant.send(()).is_ok() {
                self.tokens -= 1.0;
                self.turn = (self.turn + 1) % TURNS.len();
            }
        }
    }

    fn next_place(&self) -> Option<Place> {
        let class = TURNS[self.turn];
        let own = self.waiting.range((class, 0)..=(class, u64::MAX)).next();
        own.or_else(|| self.waiting.iter().next()).map(|(place, _)| *place)
    }

    fn next_token(&self) -> Instant {
        let missing = (1.0 - self.tokens).max(0.0);
        // A hair more, so that rounding never wakes us just short of a token.
        let wait = Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::from_hours(1));
        Instant::now() + wait + Duration::from_micros(10)
    }
}
