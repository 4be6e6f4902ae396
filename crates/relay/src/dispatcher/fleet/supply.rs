//! What the endpoints of a service can run, for admission control.

use super::{Job, selection::job_units};
use crate::{admission::Supply, clock, dispatcher::Dispatcher};

impl Dispatcher {
    /// Returns what the endpoints of a service that are in service can run.
    ///
    /// This is the only place from which admission control takes the endpoints' slots and pace.
    #[must_use]
    pub fn supply(&self, service: &str) -> Supply {
        let now = clock::now();
        let state = self.lock();
        let mut supply = Supply::default();
        for server in state.fleet.in_service(service, now) {
            supply.slots += server.effective_slots();
            supply.engines += server.effective_engines();
        }
        supply
    }

    /// Returns the expected time to process a job's prompt at an idle endpoint, in milliseconds.
    #[must_use]
    pub fn expected_prompt_ms(&self, job: &Job<'_>) -> f64 {
        self.lock().fleet.latency(job).processing_ms(job_units(job))
    }
}
