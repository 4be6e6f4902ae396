//! Time per output token, learned for each service and model from the streams that this instance serves.

use std::collections::HashMap;

use route::relay::answer_length::{Ending, TokenTimes};

use super::{Job, LatencyKey, Run};
use crate::{clock, dispatcher::Dispatcher};

/// Time per output token, by service and model.
pub(super) type OutputTimes = HashMap<LatencyKey, TokenTimes>;

/// What the time of a stream's output depends on besides its length.
#[derive(Debug, Clone)]
pub struct OutputKind {
    key: LatencyKey,
    /// Learned pace of the endpoint.
    pace: f64,
}

impl Run {
    /// Returns what the time of the run's output depends on.
    #[must_use]
    pub fn output_kind(&self) -> OutputKind {
        OutputKind { key: self.latency_key.clone(), pace: self.pace.pace }
    }
}

impl Dispatcher {
    /// Adds a stream of which `tokens` were expected and that took `took_ms` milliseconds after its first
    /// event.
    pub fn observe_output(&self, kind: &OutputKind, tokens: u32, took_ms: f64, ending: Ending) {
        let now = clock::now();
        // The estimate is that of an average endpoint.
        let took_on_average = took_ms / kind.pace;
        let mut state = self.lock();
        state.fleet.output_times.entry(kind.key.clone()).or_default().observe(tokens, took_on_average, ending, now);
    }

    /// Returns the time within which a share of recent streams of the job's model would have generated
    /// `tokens` tokens, at the endpoint that would be selected now, in milliseconds; `None` if too few
    /// streams were observed.
    #[must_use]
    pub fn output_ms(&self, job: &Job<'_>, tokens: u32, share: f64) -> Option<f64> {
        let now = clock::now();
        let state = self.lock();
        let key = LatencyKey { service: job.service.to_owned(), model: job.model };
        let token_ms = state.fleet.output_times.get(&key)?.token_ms(share, now)?;
        let pace = || {
            let server = state.fleet.servers.get(state.select_endpoint(job, now, &self.settings)?.key)?;
            server.learned.pace
        };
        let pace = if state.fleet.learns_capacity() { pace().unwrap_or(1.0) } else { 1.0 };
        Some(f64::from(tokens) * token_ms * pace)
    }
}
