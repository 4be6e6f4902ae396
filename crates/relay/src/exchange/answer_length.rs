//! Expected lengths of responses, and how long the output of streams takes.
//!
//! Nothing of this happens unless the operator has switched it on.

use std::{sync::Arc, time::Duration};

use route::relay::{
    answer_length::{
        self, Ending, Limit,
        progress::{self, Progress},
    },
    ladder::{Outlook, RelativeTime},
};

use super::{
    hop::Hop,
    tries::{ActiveStream, Exchange},
};
use crate::{
    catalog::Model,
    clock,
    dispatcher::{
        Dispatcher,
        fleet::{ExpectedTimes, Length, OutputKind},
    },
    settings::AnswerLength,
};

impl Exchange {
    /// Returns the number of output tokens that the caller expects; `None` if it has not stated one or the
    /// length is not considered.
    fn expected_output(&self) -> Option<u32> {
        match self.dispatcher.settings.policies.answer_length {
            AnswerLength::Ignored => None,
            AnswerLength::Expected => {
                answer_length::expected_tokens(self.params.expected_output, self.params.tokens?.output)
            }
        }
    }

    /// Returns the length by which a model is judged; `None` if it is not considered.
    pub(super) fn length(&self, model: usize, share: f64) -> Option<Length<'_>> {
        Some(Length { model: &self.admission.route.models.get(model)?.name, tokens: self.expected_output()?, share })
    }

    /// Returns the models that the request may start with. `times` are the times to the first event as
    /// multiples of `unit_ms`, and `expected` the times that they are from.
    pub(super) fn limit_start(&self, times: &[RelativeTime], expected: &[ExpectedTimes], unit_ms: f64) -> Limit {
        let outputs: Vec<Option<f64>> =
            output_times_ms(expected).iter().map(|output| output.map(|ms| ms / unit_ms)).collect();
        answer_length::limit(times, &outputs, clock::millis(self.left()) / unit_ms)
    }

    /// Returns the outlooks of the models that may follow an answer; those whose output would not end before
    /// the deadline are too late.
    pub(super) fn limit_outlooks(&self, outlooks: &[Outlook]) -> Vec<Outlook> {
        if self.expected_output().is_none() {
            return outlooks.to_vec();
        }
        let length = |model| self.length(model, answer_length::ESCALATION_SHARE);
        let expected = |model| self.dispatcher.expected_times(&self.job(Some(model)), length(model));
        let expected: Vec<ExpectedTimes> = (0..outlooks.len()).map(expected).collect();
        let outputs = output_times_ms(&expected);
        let left_ms = clock::millis(self.left());
        let ends = |model: usize| {
            let first_event_ms = expected[model].first_event_ms.unwrap_or_default();
            answer_length::ends_in_time(first_event_ms, outputs[model], left_ms)
        };
        answer_length::limit_outlooks(outlooks, ends)
    }

    /// Records that the length of the response has changed which model is asked.
    pub(super) fn record_length_choice(&self, at: &'static str, service: &str, without: usize, chosen: usize) {
        tracing::debug!(
            request = self.params.id,
            service,
            at,
            expected_tokens = self.expected_output(),
            without,
            chosen,
            "length of the response changed the model"
        );
        metrics::counter!("relay_length_choices_total", "service" => service.to_owned(), "at" => at).increment(1);
    }
}

/// Returns the times of the models' outputs, in milliseconds.
fn output_times_ms(expected: &[ExpectedTimes]) -> Vec<Option<f64>> {
    answer_length::output_times(&expected.iter().map(|times| times.output_ms).collect::<Vec<_>>())
}

/// Measures how long the output of a stream takes.
///
/// Dropping it before the stream has ended records a stream that was cut off, if its deadline has come.
#[derive(Debug)]
pub(super) struct OutputTimer {
    dispatcher: Arc<Dispatcher>,
    request: String,
    service: String,
    /// Name of the model, if it is one of the route's ladder.
    model: Option<String>,
    expected_tokens: Option<u32>,
    /// What the stream's time is an observation of; `None` if it is not one.
    kind: Option<OutputKind>,
    started: Duration,
    /// Deadline of the request.
    limit: Duration,
    progress: Progress,
    has_ended: bool,
}

impl OutputTimer {
    /// Starts to measure a stream; `None` if the length of responses is not considered, or another instance
    /// measures the stream.
    pub(super) fn start(exchange: &Exchange, active: &ActiveStream) -> Option<Self> {
        if exchange.dispatcher.settings.policies.answer_length == AnswerLength::Ignored {
            return None;
        }
        let Hop::Endpoint(run) = &active.hop else { return None };
        let models = &exchange.admission.route.models;
        let chosen = active.model.and_then(|index| models.get(index));
        // Another instance names the model that it has chosen.
        let is_named = |model: &&Model| {
            let named = exchange.headers.get(&exchange.dispatcher.dialect.names.model);
            named.is_some_and(|named| named.as_bytes() == model.name.as_bytes())
        };
        let is_whole = exchange.params.last_event.is_none();
        Some(Self {
            dispatcher: Arc::clone(&exchange.dispatcher),
            request: exchange.params.id.clone(),
            service: exchange.service.clone(),
            model: chosen.or_else(|| models.iter().find(is_named)).map(|model| model.name.clone()),
            expected_tokens: exchange.expected_output(),
            kind: chosen.filter(|_| is_whole).map(|model| run.output_kind(&model.name)),
            started: exchange.started,
            limit: exchange.limit,
            progress: Progress::default(),
            has_ended: false,
        })
    }

    /// Records that events were received, and that the stream waits for its reader to take them. A reader that
    /// stops for good never does.
    pub(super) fn record_events(&mut self) {
        self.progress.hold(clock::now());
    }

    /// Records that the reader has taken the events.
    pub(super) fn record_taken(&mut self) {
        self.progress.release(clock::now());
    }

    /// Records that the stream goes on at another endpoint, and returns the timer of the rest. Its time is no
    /// observation of either endpoint. Another instance counts a stream that is cut off there itself.
    pub(super) fn moved(mut self, active: &ActiveStream) -> Option<Self> {
        self.kind = None;
        self.has_ended = matches!(active.hop, Hop::Instance(_));
        (!self.has_ended).then_some(self)
    }

    /// Records the end of the stream.
    pub(super) fn end(&mut self) {
        self.has_ended = true;
        self.observe(Ending::Whole);
    }

    /// Adds the time of the output to the observations, unless it shows something else.
    fn observe(&self, ending: Ending) {
        let now = clock::now();
        let (Some(kind), Some(tokens), Some(took)) = (&self.kind, self.expected_tokens, self.progress.took(now)) else {
            return;
        };
        if !self.progress.is_held_up(now) {
            self.dispatcher.observe_output(kind, tokens, clock::millis(took), ending);
        }
    }
}

impl Drop for OutputTimer {
    fn drop(&mut self) {
        let now = clock::now();
        if self.has_ended || !progress::is_cut_off(now, self.started, self.limit) || self.progress.is_held_up(now) {
            return;
        }
        self.observe(Ending::CutOff);
        let model = self.model.clone().unwrap_or_else(|| "not in the ladder".to_owned());
        tracing::debug!(
            request = self.request,
            service = self.service,
            model,
            expected_tokens = self.expected_tokens,
            "stream cut off at its deadline"
        );
        let hint = if self.expected_tokens.is_some() { "yes" } else { "no" };
        metrics::counter!(
            "relay_streams_cut_off_total", "service" => self.service.clone(), "model" => model, "hint" => hint
        )
        .increment(1);
    }
}
