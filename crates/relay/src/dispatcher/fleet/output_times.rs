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

/// Expected length of a stream, and the share of recent streams whose time per token it is judged by.
#[derive(Debug, Clone, Copy)]
pub struct Length {
    /// Number of output tokens.
    pub tokens: u32,
    /// Share, from 0 to 1.
    pub share: f64,
}

/// Expected times of a run at one endpoint, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedTimes {
    /// Time to the first event; `None` if no endpoint may run the job now.
    pub first_event_ms: Option<f64>,
    /// Time from there to the end; `None` if the length is not considered or too few streams were observed.
    pub output_ms: Option<f64>,
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

    /// Returns the expected times of a job at the endpoint that would be selected now.
    #[must_use]
    pub fn expected_times(&self, job: &Job<'_>, length: Option<Length>) -> ExpectedTimes {
        let now = clock::now();
        let mut state = self.lock();
        self.update_shares(&mut state, now);
        state.fleet.refresh_pool(job.service, &self.settings.domain, now);
        let selection = state.select_endpoint(job, now, &self.settings);
        let pace = || state.fleet.servers.get(selection.as_ref()?.key)?.learned.pace;
        let output_ms = |Length { tokens, share }| {
            let key = LatencyKey { service: job.service.to_owned(), model: job.model };
            let token_ms = state.fleet.output_times.get(&key)?.token_ms(share, now)?;
            let pace = if state.fleet.learns_capacity() { pace().unwrap_or(1.0) } else { 1.0 };
            Some(f64::from(tokens) * token_ms * pace)
        };
        let output_ms = length.and_then(output_ms);
        ExpectedTimes { first_event_ms: selection.map(|selection| selection.expected_ms()), output_ms }
    }
}
