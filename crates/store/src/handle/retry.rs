//! A try of a call, and the wait before the next one.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Handle;
use crate::{
    Priority,
    api::{Answer, Call, Fault},
    backoff::Backoff,
    budget::Bucket,
};

/// Minimum time before the deadline for a further try.
const LAST_TRY: Duration = Duration::from_millis(10);

/// Maximum number of times that the wait for an answer is doubled.
const MOST_DOUBLINGS: u32 = 4;

impl Handle {
    /// Makes one call without retries, and records its outcome in the metrics.
    pub(super) async fn call(&self, call: Call, longest: Duration) -> Result<Answer, Fault> {
        let name = call.name();
        let started = Instant::now();
        let result = match timeout(longest, self.shared.store.call(call)).await {
            Ok(result) => result,
            Err(_) => Err(Fault::Lost { cause: format!("no answer within {longest:?}") }),
        };
        self.shared.reach.note(!matches!(result, Err(Fault::Down { .. } | Fault::Lost { .. })));
        let outcome = result.as_ref().map_or_else(Fault::name, |_| "ok");
        metrics::counter!("platform_calls_total", "call" => name, "outcome" => outcome).increment(1);
        metrics::histogram!("platform_call_seconds", "call" => name).record(started.elapsed().as_secs_f64());
        result
    }

    /// Waits for the budget; returns `false` if the deadline passes first.
    pub(super) async fn take(&self, until: Instant, bucket: &Bucket, priority: Priority) -> bool {
        let started = Instant::now();
        let taken = tokio::time::timeout_at(until, bucket.take(priority)).await.is_ok();
        let waited = started.elapsed().as_secs_f64();
        metrics::histogram!("platform_budget_wait_seconds", "priority" => priority.as_str()).record(waited);
        taken
    }

    /// Waits for the backoff; returns `false` if there is no time left for a further try.
    pub(super) async fn pause_until(&self, until: Instant, backoff: &mut Backoff, fault: &Fault) -> bool {
        let least = match fault {
            Fault::Busy { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        let left = until.saturating_duration_since(Instant::now());
        if left < LAST_TRY || left < least {
            return false;
        }
        // A wait until the deadline would waste the remaining time, in which another read
        // may still show the outcome of a write.
        let wait = self.with_rng(|rng| backoff.next(least, rng)).min(left / 2).max(least);
        sleep(wait).await;
        true
    }

    /// Returns the time to wait for an answer; it doubles with each lost one. Otherwise every
    /// write would end as unknown while the platform answers more slowly than the first wait.
    pub(super) fn patience(&self, until: Instant, misses: u32) -> Duration {
        let longest = self.shared.settings.call_timeout * 2_u32.saturating_pow(misses.min(MOST_DOUBLINGS));
        until.saturating_duration_since(Instant::now()).min(longest)
    }
}
