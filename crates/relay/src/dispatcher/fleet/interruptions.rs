//! Streams whose events paused for longer than their target.

use std::time::Duration;

use super::Run;

impl Run {
    /// Records the time for which a whole event was waited for, not counting the first one.
    pub fn record_event_wait(&mut self, waited: Duration, target: Duration) {
        if waited > target && !std::mem::replace(&mut self.was_interrupted, true) {
            metrics::counter!("relay_interrupted_streams_total", "service" => self.endpoint.service.clone())
                .increment(1);
        }
    }
}
