//! A rate of calls.

use std::time::Duration;

use tokio::time::Instant;

/// Lets `rate` calls a second through, and a second's worth at once.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        Self { rate, tokens: rate.max(1.0), filled: now }
    }

    /// Takes one call, or tells how long until the next may come.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        if self.rate.is_infinite() {
            return Ok(());
        }
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate.max(1.0));
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(((1.0 - self.tokens) / self.rate).min(60.0)))
    }
}
