//! How long access keys may be believed.
//!
//! A key that an operator takes away must stop working everywhere within a
//! bound, also at an instance that is cut off or was suspended. So knowing the
//! keys is a lease: an answer of the store proves what it says as of when it
//! was asked for, and requests with keys are served only while that proof is
//! young enough. The caller's clock must count suspension: with one that stops,
//! an instance that slept through the withdrawal would wake and believe its
//! keys to be fresh.

use std::time::Duration;

/// Time a watch may stay deaf to changes before it is cut, by the store's
/// description; an empty answer proves nothing younger.
const DEAF: Duration = Duration::from_secs(1);

/// Kept back for the way from the check to the endpoint: queues of a slowed
/// instance and a lost packet's repetition.
const MARGIN: Duration = Duration::from_millis(400);

/// What an answer proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A linearizable read.
    Read,
    /// A watch that ended without news.
    Quiet,
}

/// The age of what is known of keys.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Option<Duration>,
    proven: Option<Duration>,
}

impl Freshness {
    /// A lease that was never renewed; `bound` is the longest time a
    /// withdrawn key may go on working, nothing when there is none.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proven: None }
    }

    /// Takes in an answer to a question asked at `asked`.
    pub fn renew(&mut self, asked: Duration, proof: Proof) {
        let proven = match proof {
            Proof::Read => asked,
            Proof::Quiet => asked.saturating_sub(DEAF),
        };
        self.proven = self.proven.max(Some(proven));
    }

    /// Whether a request with a key may be served now.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        match (self.bound, self.proven) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(bound), Some(proven)) => now < proven + bound.saturating_sub(MARGIN),
        }
    }

    /// Age of the proof.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_sub(proven))
    }
}
