//! One try of a call, and the wait before the next.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Handle;
use crate::{
    Priority,
    api::{Answer, Call, Fault},
    backoff::Backoff,
    budget::Bucket,
};

/// Least time before the deadline in which a further try makes sense.
const LAST_TRY: Duration = Duration::from_millis(10);

/// Doublings of the wait for an answer.
const MOST_DOUBLINGS: u32 = 4;

impl Handle {
    /// One call, one try, counted.
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

    /// Waits for budget; false when the deadline comes first.
    pub(super) async fn take(&self, until: Instant, bucket: &Bucket, priority: Priority) -> bool {
        let started = Instant::now();
        let taken = tokio::time::timeout_at(until, bucket.take(priority)).await.is_ok();
        let waited = started.elapsed().as_secs_f64();
        metrics::histogram!("platform_budget_wait_seconds", "priority" => priority.as_str()).record(waited);
        taken
    }

    /// Waits out the backoff; false when no time is left for a try after it.
    pub(super) async fn pause_until(&self, until: Instant, backoff: &mut Backoff, fault: &Fault) -> bool {
        let least = match fault {
            Fault::Busy { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        let left = until.saturating_duration_since(Instant::now());
        if left < LAST_TRY || left < least {
            return false;
        }
        // A wait past the deadline would give up with time in hand, and leave
        // a write's fate unread that one more read could have told.
        let wait = self.with_rng(|rng| backoff.next(least, rng)).min(left / 2).max(least);
        sleep(wait).await;
        true
    }

    /// How long to wait for an answer after so many lost ones. Each doubles
    /// it: a platform that answers, but slower than the first wait, would
    /// otherwise never be heard, and every write would end as unknown.
    pub(super) fn patience(&self, until: Instant, misses: u32) -> Duration {
        let longest = self.shared.settings.call_timeout * 2_u32.saturating_pow(misses.min(MOST_DOUBLINGS));
        until.saturating_duration_since(Instant::now()).min(longest)
    }
}
