//! Prepares a request's next try: the model, the time limit and the headers.

mod models;

use std::time::Duration;

use http::Request;
use route::relay::{
    allowance::Purpose,
    answer_length::{self, Limit},
    first_byte_timeout::first_byte_timeout,
    ladder::{
        self, Outlook, RelativeTime, Remaining, Step,
        value::{self, Worth},
    },
};
use world::hash;

use super::tries::Exchange;
use crate::{
    admission::Permit,
    clock,
    dispatcher::fleet::{ExpectedTimes, Job, Run, affinity},
    payload::Payload,
    request_params,
    settings::Ladder,
    upstream::Answer,
};

pub use models::{Basis, Expected, Start};

/// Fraction of the route's goal up to which processing a prompt at an idle endpoint counts
/// as short. If a short prompt misses the goal, it is because of queueing.
const SHORT_PROMPT_FRACTION: f64 = 0.25;

/// A larger model to ask instead of accepting an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Escalation {
    /// Index of the model.
    pub to: usize,
    /// Why the answer is dropped.
    pub reason: &'static str,
    /// Expected gain less the price of the run, as a multiple of the largest model's price; `None`
    /// if the answer was dropped by a fixed threshold.
    pub gain: Option<f64>,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy)]
struct Weighed {
    escalation: Option<Escalation>,
    /// Decision by expected value; `None` if a fixed threshold decided.
    decision: Option<value::Decision>,
}

impl Exchange {
    /// Returns the job to place, for a model, at the request's service.
    pub(super) fn job(&self, model: Option<usize>) -> Job<'_> {
        self.job_at(&self.service, model)
    }

    fn job_at<'a>(&'a self, service: &'a str, model: Option<usize>) -> Job<'a> {
        let shared = self.params.shared();
        let session = self.params.session.unwrap_or_else(|| hash::stable(self.params.id.as_bytes()));
        Job {
            route: &self.admission.route.name,
            service,
            model: model.or_else(|| self.params.tokens.map(|_| 0)),
            size: self.relative_cost(model),
            affinity: shared.map(|part| affinity(part.id, model)),
            whole: self.prompt_key(model),
            shared_tokens: shared.map_or(0, |part| part.tokens),
            own_tokens: self.params.own_tokens(),
            output_tokens: self.params.tokens.map_or(0, |tokens| tokens.output),
            session,
            in_session: self.params.session.is_some(),
            tried: &self.tried,
            barred: if self.avoids_tried { &self.tried } else { &self.silent_at },
            version: self.version.as_deref(),
        }
    }

    /// Returns the request's rank: that of its team, or else that of its route.
    pub(super) fn rank(&self) -> u8 {
        self.admission.customer.as_ref().and_then(|customer| customer.rank).unwrap_or(self.admission.route.rank)
    }

    /// Returns a hash of the whole prompt and the model that processes it.
    fn prompt_key(&self, model: Option<usize>) -> Option<u64> {
        Some(affinity(self.params.parts.last()?.id, model))
    }

    /// Returns the model's cost relative to that of the largest model.
    fn relative_cost(&self, model: Option<usize>) -> f64 {
        let models = &self.admission.route.models;
        let largest = models.last().map_or(1.0, |model| model.cost.max(f64::MIN_POSITIVE));
        model.and_then(|index| models.get(index)).map_or(1.0, |model| model.cost / largest)
    }

    /// Returns the index of the model to ask first; `None` if the route has no models or the
    /// caller chose one.
    pub(super) fn start_model(&self) -> Option<usize> {
        self.start().model
    }

    /// Selects the model to ask first.
    pub(super) fn start(&self) -> Start {
        let models = self.admission.route.models.len();
        if models == 0 {
            return Start::new(None, Basis::NoLadder);
        }
        if !self.params.any_model {
            return Start::new(None, Basis::Caller);
        }
        if let Some(model) = self.resumed_model(models) {
            return Start::new(Some(model), Basis::Resumption);
        }
        if self.dispatcher.is_suspect(&self.work) {
            // Trying a smaller model first adds a run, which may crash one more endpoint.
            return Start::new(Some(models - 1), Basis::Suspect);
        }
        let service = self.admission.route.target(self.target_draw).unwrap_or_default();
        let remaining = Remaining {
            attempts: if self.admission.route.kind.repeatable() { self.admission.route.attempts } else { 1 },
            allowance: self.dispatcher.allows_extra_dispatch(service, Purpose::Escalation),
        };
        let goal_ms = clock::millis(self.admission.route.target_time).max(1.0);
        let time = |model| {
            let job = self.job_at(service, Some(model));
            let expected = self.dispatcher.expected_times(&job, self.length(model, answer_length::START_SHARE));
            let now_ms = expected.first_event_ms.unwrap_or(f64::INFINITY);
            let idle_ms = self.dispatcher.expected_idle_ms(&job);
            (RelativeTime { idle: idle_ms / goal_ms, now: now_ms / goal_ms }, expected)
        };
        let (times, expected): (Vec<RelativeTime>, Vec<ExpectedTimes>) = (0..models).map(time).unzip();
        let choose = |times: &[RelativeTime]| self.first_model(service, remaining, times, goal_ms);
        let limit = self.limit_start(&times, &expected, goal_ms);
        let (model, is_shed) = match &limit {
            Limit::None => choose(&times),
            Limit::Times(limited) => choose(limited),
            Limit::FirstToEnd(model) => (*model, false),
        };
        if limit != Limit::None {
            let (without, _) = choose(&times);
            if model != without {
                self.record_length_choice("start", service, without, model);
            }
        }
        if is_shed {
            self.count_shed_quality("start");
        }
        let may_escalate = remaining.allowance && remaining.attempts > 1;
        let basis = match self.right_answer_value() {
            None => Basis::Times { may_escalate },
            Some(right_answer) => Basis::Values { right_answer, pressure: self.pressure(service), may_escalate },
        };
        Start { is_limited: limit != Limit::None, ..Start::new(Some(model), basis) }
    }

    /// Returns the index of the model to ask first, given the times to the first event of all as multiples of
    /// `goal_ms`, and whether it is a smaller one because of pressure.
    fn first_model(&self, service: &str, remaining: Remaining, times: &[RelativeTime], goal_ms: f64) -> (usize, bool) {
        let Some(right_answer) = self.right_answer_value() else {
            return (ladder::first_model(remaining, times), false);
        };
        let prices = self.prices();
        let worth = Worth { right_answer, prices: &prices, pressure: self.pressure(service) };
        let start = value::first_model(remaining, times, clock::millis(self.left()) / goal_ms, &worth);
        (start.model, start.is_shed)
    }

    /// Returns the value of a right answer in time as a multiple of the largest model's price;
    /// `None` if fixed thresholds decide.
    fn right_answer_value(&self) -> Option<f64> {
        match &self.dispatcher.settings.policies.ladder {
            Ladder::Fixed => None,
            Ladder::ExpectedValue { values } => Some(value::of_rank(values, self.rank())),
        }
    }

    /// Returns the price of a run of each model, relative to that of the largest.
    fn prices(&self) -> Vec<f64> {
        (0..self.admission.route.models.len()).map(|model| self.relative_cost(Some(model))).collect()
    }

    /// Returns the demand for a service over its capacity; 0 without admission control.
    fn pressure(&self, service: &str) -> f64 {
        self.dispatcher.gate.as_ref().map_or(0.0, |gate| gate.pressure(service))
    }

    /// Counts a request that gets a smaller model because of pressure.
    fn count_shed_quality(&self, at: &'static str) {
        metrics::counter!("relay_quality_shed_total", "at" => at, "rank" => self.rank().min(9).to_string())
            .increment(1);
    }

    /// Returns the largest model that has processed the prompt of a stream that the caller
    /// resumes.
    ///
    /// That model wrote the beginning of the stream, or was asked to and failed. It is asked
    /// at once: smaller models were already rejected for their low confidence and are not
    /// asked again.
    fn resumed_model(&self, models: usize) -> Option<usize> {
        self.params.last_event?;
        self.dispatcher.largest_caching_model(|model| self.prompt_key(Some(model)), models)
    }

    /// Returns the model with which to go on with a stream whose model another instance chose.
    pub(super) fn model_for_resumption(&self) -> Option<usize> {
        let models = self.admission.route.models.len();
        if models == 0 || !self.params.any_model {
            return None;
        }
        let cached = self.dispatcher.largest_caching_model(|model| self.prompt_key(Some(model)), models);
        Some(cached.unwrap_or(models - 1))
    }

    /// Whether the request may be sent to another endpoint after the current try.
    pub(super) fn may_send_again(&self) -> bool {
        let route = &self.admission.route;
        route.kind.repeatable()
            && self.sent < route.attempts
            && self.dispatcher.allows_extra_dispatch(&self.service, Purpose::Retry)
    }

    /// Returns the time limit for the first byte of a run's answer.
    pub(super) fn first_byte_timeout(&self, run: &Run) -> Duration {
        if !self.may_send_again() {
            return self.left();
        }
        first_byte_timeout(run.expected_ms(), self.admission.route.target_time)
    }

    /// Builds the request to send to the endpoint of a run.
    pub(super) fn request(
        &self,
        run: &Run,
        model: Option<usize>,
        last_event: Option<u64>,
        left: Duration,
    ) -> Request<Payload> {
        let names = &self.dispatcher.dialect.names;
        let mut headers = self.headers.clone();
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline.clone(), request_params::value(&left.to_string()));
        headers.insert(names.expect_endpoint.clone(), request_params::value(&run.endpoint.id));
        if let Some(customer) = &self.admission.customer {
            headers.insert(names.customer.clone(), request_params::value(&customer.name));
        }
        if let Some(model) = model.and_then(|index| self.admission.route.models.get(index)) {
            headers.insert(names.model.clone(), request_params::value(&model.name));
        }
        if self.params.tokens.is_some() {
            let priority = self.permit.as_ref().and_then(Permit::priority).unwrap_or_else(|| self.rank());
            headers.insert(names.rank.clone(), request_params::value(&priority.min(9).to_string()));
        }
        if let Some(source) = run.source {
            headers.insert(names.copy_from.clone(), request_params::value(&source.to_string()));
        }
        if let Some(last) = last_event {
            headers.insert(names.last_event.clone(), request_params::value(&last.to_string()));
        }
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path.parse().unwrap_or_else(|_| self.uri.clone());
        *request.headers_mut() = headers;
        request
    }

    /// Returns the larger model to ask instead of accepting an answer, if any.
    pub(super) fn escalation(&self, answer: &Answer, model: Option<usize>) -> Option<Escalation> {
        let index = model?;
        let confidence = self.confidence(answer);
        let models = self.admission.route.models.len();
        if let (Some(confidence), Some(model)) = (confidence, self.admission.route.models.get(index)) {
            metrics::histogram!("relay_confidence", "model" => model.name.clone()).record(f64::from(confidence));
        }
        if self.resumed_model(models) == Some(index) {
            return None;
        }
        let remaining = Remaining {
            attempts: self.admission.route.attempts.saturating_sub(self.sent),
            allowance: self.dispatcher.allows_extra_dispatch(&self.service, Purpose::Escalation),
        };
        let outlooks: Vec<Outlook> = (0..models).map(|model| self.outlook(model)).collect();
        let mut weighed = self.weigh(index, confidence, remaining, &outlooks);
        // An answer that is kept whatever the length is kept with it, too.
        if let Some(without) = weighed.escalation {
            let limited = self.limit_outlooks(&outlooks);
            if limited != outlooks {
                weighed = self.weigh(index, confidence, remaining, &limited);
                let asked = weighed.escalation.map_or(index, |escalation| escalation.to);
                if asked != without.to {
                    self.record_length_choice("answer", &self.service, without.to, asked);
                }
            }
        }
        if let Some(decision) = weighed.decision {
            tracing::debug!(request = self.params.id, confidence, decision = ?decision, "answer weighed");
        }
        if weighed.decision.is_some_and(|decision| decision.is_shed) {
            self.count_shed_quality("answer");
        }
        weighed.escalation
    }

    /// Returns the larger model to ask instead of accepting the answer of the model at `index`, if any.
    fn weigh(&self, index: usize, confidence: Option<u32>, remaining: Remaining, outlooks: &[Outlook]) -> Weighed {
        let Some(right_answer) = self.right_answer_value() else {
            let step = ladder::next_step(index, confidence, self.admission.urgency, remaining, outlooks);
            let escalation = Escalation::from_step(step, "confidence below the fixed threshold", None);
            return Weighed { escalation, decision: None };
        };
        let prices = self.prices();
        let worth = Worth { right_answer, prices: &prices, pressure: self.pressure(&self.service) };
        let is_late = clock::now().saturating_sub(self.started) > self.admission.route.target_time;
        let decision = value::next_step(value::Answer { index, confidence, is_late }, remaining, outlooks, &worth);
        let escalation = Escalation::from_step(decision.step, "expected gain exceeds the price", decision.gain);
        Weighed { escalation, decision: Some(decision) }
    }

    /// Returns the model's confidence in its answer.
    pub(super) fn confidence(&self, answer: &Answer) -> Option<u32> {
        let value = answer.response.headers().get(&self.dispatcher.dialect.names.confidence)?;
        value.to_str().ok()?.trim().parse().ok()
    }

    /// Predicts whether a model's first event would still come in time.
    fn outlook(&self, model: usize) -> Outlook {
        let job = self.job(Some(model));
        let Some(expected_ms) = self.dispatcher.expected_ms(&job) else { return Outlook::TooLate };
        let goal_ms = clock::millis(self.admission.route.target_time);
        let passed_ms = clock::millis(clock::now().saturating_sub(self.started));
        if passed_ms + expected_ms <= goal_ms {
            Outlook::InTime
        } else if expected_ms > 0.5 * clock::millis(self.left()) {
            Outlook::TooLate
        } else if self.dispatcher.expected_idle_ms(&job) <= SHORT_PROMPT_FRACTION * goal_ms {
            Outlook::LateByQueues
        } else {
            Outlook::LateByLength
        }
    }
}

impl Escalation {
    fn from_step(step: Step, reason: &'static str, gain: Option<f64>) -> Option<Self> {
        match step {
            Step::Keep => None,
            Step::Escalate(to) => Some(Self { to, reason, gain }),
        }
    }
}
