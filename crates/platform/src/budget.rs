//! This instance's share of the platform's rates.
//!
//! Two token buckets, for writes and for reads. When one is empty, calls wait
//! in the order of their [`Priority`], oldest first within one.
//!
//! Strict priority alone would let a flood of claims hold back a withdrawal
//! or a lease's renewal for as long as it lasts, so one token in
//! [`AGED_EVERY`] goes to whoever has waited longest, whatever its priority.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

/// One token in this many goes to the oldest waiter.
pub const AGED_EVERY: u64 = 8;
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

    /// Place in the queue; configuration and leases share one.
    fn rank(self) -> u8 {
        match self {
            Self::Claim => 0,
            Self::Bill => 1,
            Self::Config | Self::Lease => 2,
            Self::Statistics => 3,
        }
    }
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
    grants: u64,
}

/// Rank, then arrival.
type Place = (u8, u64);

impl Task {
    fn new(per_s: f64) -> Self {
        let per_s = per_s.max(f64::MIN_POSITIVE);
        let burst = (per_s * BURST_S).max(1.0);
        let filled = Instant::now();
        Self { per_s, burst, tokens: burst, filled, waiting: BTreeMap::new(), arrivals: 0, grants: 0 }
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
        self.waiting.insert((ask.priority.rank(), self.arrivals), ask.grant);
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
                self.grants += 1;
            }
        }
    }

    fn next_place(&self) -> Option<Place> {
        if self.grants % AGED_EVERY == AGED_EVERY - 1 {
            return self.waiting.keys().copied().max_by_key(|(_, arrival)| Reverse(*arrival));
        }
        self.waiting.keys().next().copied()
    }

    fn next_token(&self) -> Instant {
        let missing = (1.0 - self.tokens).max(0.0);
        // A hair more, so that rounding never wakes us just short of a token.
        let wait = Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::from_hours(1));
        Instant::now() + wait + Duration::from_micros(10)
    }
}
