//! This instance's share of the platform's rate limits.
//!
//! There are two token buckets, for writes and for reads. When one is empty, calls wait in
//! the order of their [`Priority`], and among equal ones in the order of arrival.
//!
//! With strict priority alone, a flood of claims would delay a withdrawal or the renewal of
//! a lease for as long as it lasts. So each class is guaranteed some of the tokens
//! ([`TURNS`]), and a turn that its class does not need goes by priority. The guarantee is
//! not given to the oldest waiting call instead: a change would still wait behind all claims
//! that arrived before it.

use std::{collections::BTreeMap, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

/// Class to which each token is offered first, repeated cyclically.
pub const TURNS: [Class; 16] = {
    use Class::{Bill, Change, Claim, Rest};
    [Claim, Claim, Bill, Claim, Change, Claim, Claim, Bill, Claim, Claim, Bill, Claim, Change, Claim, Claim, Rest]
};
/// Time for which an idle bucket accumulates tokens, in seconds.
const BURST_S: f64 = 0.5;

/// Purpose of a call, in the order in which calls are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Priority {
    /// Claims, for which requests wait before they run.
    Claim,
    /// Bills, for which the last frames of answers may wait.
    Bill,
    /// Configuration.
    Config,
    /// Leases and orders.
    Lease,
    /// Statistics, which may be dropped.
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

    /// Returns the class of the call; configuration and leases share one.
    fn class(self) -> Class {
        match self {
            Self::Claim => Class::Claim,
            Self::Bill => Class::Bill,
            Self::Config | Self::Lease => Class::Change,
            Self::Statistics => Class::Rest,
        }
    }
}

/// Class of calls that wait in one queue, in the order in which classes are served.
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

/// A token bucket whose tokens are granted by priority. Its task ends when the last handle is
/// dropped.
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
    /// Starts a bucket that gets `per_s` tokens per second.
    #[must_use]
    pub fn spawn(per_s: f64) -> Self {
        let (asks, inbox) = mpsc::unbounded_channel();
        tokio::spawn(Task::new(per_s).run(inbox));
        Self { asks }
    }

    /// Waits for a token. Dropping the future gives up the place in the queue.
    pub async fn take(&self, priority: Priority) {
        let (grant, granted) = oneshot::channel();
        // If the task is gone, the runtime is shutting down, and the call may proceed.
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

/// Class and number of arrival of a waiting call.
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
            // A call that was given up takes no token.
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
        // Slightly longer, so that rounding never ends the wait before the token is there.
        let wait = Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::from_hours(1));
        Instant::now() + wait + Duration::from_micros(10)
    }
}
