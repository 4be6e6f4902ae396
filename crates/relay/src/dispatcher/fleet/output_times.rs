//! Time per output token, learned for each service and model from the streams that this instance serves.

use route::relay::answer_length::{Ending, models::Model};

use super::{Fleet, Job, Run};
use crate::{catalog::Catalog, clock, dispatcher::Dispatcher};

/// What the time of a stream's output depends on besides its length.
#[derive(Debug, Clone)]
pub struct OutputKind {
    model: Model,
    /// Learned pace of the endpoint.
    pace: f64,
}

/// Expected length of a stream, and the share of recent streams whose time per token it is judged by.
#[derive(Debug, Clone, Copy)]
pub struct Length<'a> {
    /// Name of the model.
    pub model: &'a str,
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
    /// Returns what the time of the run's output depends on, given the name of its model.
    #[must_use]
    pub fn output_kind(&self, model: &str) -> OutputKind {
        let model = Model { service: self.endpoint.service.clone(), name: model.to_owned() };
        OutputKind { model, pace: self.pace.pace }
    }
}

impl Fleet {
    /// Forgets the models that a catalog does not have.
    pub(in crate::dispatcher) fn forget_output_times(&mut self, catalog: &Catalog) {
        self.output_times.retain(|model| has(catalog, model));
    }
}

/// Whether a route of a catalog has a model in its ladder for a service.
fn has(catalog: &Catalog, model: &Model) -> bool {
    catalog.hosts.values().flatten().any(|route| {
        route.targets.iter().any(|target| target.service == model.service)
            && route.models.iter().any(|other| other.name == model.name)
    })
}

impl Dispatcher {
    /// Adds a stream of which `tokens` were expected and that took `took_ms` milliseconds after its first
    /// event.
    pub fn observe_output(&self, kind: &OutputKind, tokens: u32, took_ms: f64, ending: Ending) {
        let now = clock::now();
        // The estimate is that of an average endpoint.
        let took_on_average = took_ms / kind.pace;
        let mut state = self.lock();
        // The stream may have begun before the catalog in force.
        if state.catalog.as_ref().is_some_and(|catalog| has(catalog, &kind.model)) {
            state.fleet.output_times.observe(&kind.model, tokens, took_on_average, ending, now);
        }
    }

    /// Returns the expected times of a job at the endpoint that would be selected now.
    #[must_use]
    pub fn expected_times(&self, job: &Job<'_>, length: Option<Length<'_>>) -> ExpectedTimes {
        let now = clock::now();
        let mut state = self.lock();
        self.update_shares(&mut state, now);
        state.fleet.refresh_pool(job.service, &self.settings.domain, now);
        let selection = state.select_endpoint(job, now, &self.settings);
        let pace = || state.fleet.servers.get(selection.as_ref()?.key)?.learned.pace;
        let output_ms = |Length { model, tokens, share }: Length<'_>| {
            let model = Model { service: job.service.to_owned(), name: model.to_owned() };
            let token_ms = state.fleet.output_times.token_ms(&model, share, now)?;
            let pace = if state.fleet.learns_capacity() { pace().unwrap_or(1.0) } else { 1.0 };
            Some(f64::from(tokens) * token_ms * pace)
        };
        let output_ms = length.and_then(output_ms);
        ExpectedTimes { first_event_ms: selection.map(|selection| selection.expected_ms()), output_ms }
    }
}
