//! How long a stream's output takes, without the time for which its reader holds it up.

use std::time::Duration;

/// Part of a stream's time that it may wait for its reader; the time of one that waits longer shows the
/// reader's pace. The minimum keeps short streams whose task was not run for a moment.
const MAX_READER_SHARE: f64 = 0.05;
const MIN_READER_WAIT: Duration = Duration::from_millis(20);

/// Time before the deadline from which a stream that ends unfinished counts as cut off by it. Callers close
/// their connections at the deadline by their own clocks, which start up to a slow connection's setup earlier.
/// The part of the whole time keeps callers who give up a short request early from counting.
const CUT_OFF_TOLERANCE: Duration = Duration::from_millis(150);
const CUT_OFF_TOLERANCE_SHARE: f64 = 0.1;

/// Whether a request that ends unfinished is cut off by its deadline. It started at `started`, and `limit` is
/// the deadline.
#[must_use]
pub fn is_cut_off(now: Duration, started: Duration, limit: Duration) -> bool {
    let share = limit.saturating_sub(started).mul_f64(CUT_OFF_TOLERANCE_SHARE);
    now + CUT_OFF_TOLERANCE.min(share) >= limit
}

/// Progress of a stream to its reader. All times are those of one clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    first_event_at: Option<Duration>,
    /// Time that the stream has waited for its reader, without the current wait.
    reader_wait: Duration,
    /// Start of the current wait for the reader.
    held_from: Option<Duration>,
}

impl Progress {
    /// Records that events were received, and that the stream waits for its reader to take them.
    pub fn hold(&mut self, now: Duration) {
        self.first_event_at.get_or_insert(now);
        self.held_from = Some(now);
    }

    /// Records that the reader has taken the events.
    pub fn release(&mut self, now: Duration) {
        self.reader_wait = self.reader_wait(now);
        self.held_from = None;
    }

    /// Returns the time since the first event.
    #[must_use]
    pub fn took(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.first_event_at?))
    }

    /// Whether the stream's time shows its reader's pace instead of the model's.
    #[must_use]
    pub fn is_held_up(&self, now: Duration) -> bool {
        let took = self.took(now).unwrap_or_default();
        self.reader_wait(now) > took.mul_f64(MAX_READER_SHARE).max(MIN_READER_WAIT)
    }

    fn reader_wait(&self, now: Duration) -> Duration {
        self.reader_wait + self.held_from.map_or(Duration::ZERO, |from| now.saturating_sub(from))
    }
}
