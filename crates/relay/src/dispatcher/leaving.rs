//! Shutdown of the instance: which requests it still takes, and when those without an answer are refused.
//!
//! The grace period may be changed at any time, so it is read wherever it is needed.

use std::{sync::atomic::Ordering, time::Duration};

use super::Dispatcher;
use crate::clock;

/// Share of the grace period, from its start, in which callers may not know yet that the
/// instance leaves.
const UNNOTICED_SHARE: f64 = 0.3;

/// Time after which callers that were told to keep a list of addresses for two seconds have another one.
const MAX_UNNOTICED: Duration = Duration::from_secs(3);

/// Share of the grace period by which requests must have ended; the rest is for the process to
/// exit.
const SERVING_SHARE: f64 = 0.9;

/// Part of the grace period that is reserved for ending the process.
const EXIT_TIME: Duration = Duration::from_millis(600);

impl Dispatcher {
    /// Whether this instance is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.lock().draining_since.is_some()
    }

    /// Whether this instance is leaving and may be gone before a request that
    /// takes `time` could end.
    ///
    /// A run that is cut off at the end is wasted, while another instance would
    /// serve it at once. In the first part of the grace period requests are
    /// accepted regardless: most take far less than their maximum time, and
    /// callers cannot know yet that the instance leaves.
    #[must_use]
    pub fn leaves_within(&self, time: Duration) -> bool {
        let Some(since) = self.lock().draining_since else { return false };
        let grace = self.grace();
        let passed = clock::now().saturating_sub(since);
        let is_noticed = passed > grace.mul_f64(UNNOTICED_SHARE).min(MAX_UNNOTICED);
        is_noticed && passed + time > grace.mul_f64(SERVING_SHARE).min(self.serving_time())
    }

    /// Starts leaving: the instance is no longer ready, and connections close after their answers.
    pub fn start_draining(&self) {
        self.lock().draining_since.get_or_insert_with(clock::now);
        self.urgent_news.notify_one();
    }

    /// Returns the time after the start of the shutdown at which requests without an answer are refused.
    #[must_use]
    pub fn serving_time(&self) -> Duration {
        self.grace().saturating_sub(EXIT_TIME)
    }

    /// Ends serving: requests that have no answer yet get a refusal.
    pub fn end_serving(&self) {
        self.serving_ended.cancel();
    }

    /// Waits until requests get no more answers.
    pub async fn wait_until_serving_ends(&self) {
        self.serving_ended.cancelled().await;
    }

    fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms.load(Ordering::Relaxed))
    }
}
