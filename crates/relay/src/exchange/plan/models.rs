//! What the choice of the model to start with is based on.

use route::relay::allowance::Purpose;

use super::Exchange;
use crate::settings::Ladder;

/// A model of the route's ladder, and the time that its first event is expected to take.
#[derive(Debug, Clone, PartialEq)]
pub struct Expected {
    /// Name.
    pub name: String,
    /// Price relative to that of the largest model.
    pub price: f64,
    /// Expected time to the first event now, in milliseconds; `None` if no endpoint takes the request.
    pub now_ms: Option<f64>,
    /// Expected time to the first event at an idle endpoint, in milliseconds.
    pub idle_ms: f64,
}

/// The rule that selects the model to start with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Basis {
    /// The route has no models to choose from.
    NoLadder,
    /// The caller names the model.
    Caller,
    /// The caller resumes a stream whose prompt this model has processed.
    Resumption,
    /// The request may have crashed an endpoint, so the largest model is asked at once.
    Suspect,
    /// The expected times of the models, compared with the target time.
    Times {
        /// Whether the allowance permits a second run.
        may_escalate: bool,
    },
    /// The value of a right answer, compared with the models' prices.
    Values {
        /// Value of a right answer in time, as a multiple of the largest model's price.
        right_answer: f64,
        /// Demand for the service over its capacity.
        pressure: f64,
        /// Whether the allowance permits a second run.
        may_escalate: bool,
    },
}

impl Exchange {
    /// Returns the rule that [`Exchange::start_model`] follows for this request.
    pub(in crate::exchange) fn model_basis(&self) -> Basis {
        let models = self.admission.route.models.len();
        if models == 0 {
            return Basis::NoLadder;
        }
        if !self.params.any_model {
            return Basis::Caller;
        }
        if self.resumed_model(models).is_some() {
            return Basis::Resumption;
        }
        if self.dispatcher.is_suspect(&self.work) {
            return Basis::Suspect;
        }
        let service = self.admission.route.target(self.target_draw).unwrap_or_default();
        let may_escalate = self.dispatcher.allows_extra_dispatch(service, Purpose::Escalation);
        match (&self.dispatcher.settings.policies.ladder, self.right_answer_value()) {
            (Ladder::ExpectedValue { .. }, Some(right_answer)) => {
                Basis::Values { right_answer, pressure: self.pressure(service), may_escalate }
            }
            _ => Basis::Times { may_escalate },
        }
    }

    /// Returns what is expected of each model of the ladder; nothing if this instance does not choose.
    pub(in crate::exchange) fn expected_models(&self) -> Vec<Expected> {
        if !self.params.any_model {
            return Vec::new();
        }
        let service = self.admission.route.target(self.target_draw).unwrap_or_default();
        let expect = |(index, model): (usize, &crate::catalog::Model)| {
            let job = self.job_at(service, Some(index));
            Expected {
                name: model.name.clone(),
                price: self.relative_cost(Some(index)),
                now_ms: self.dispatcher.expected_ms(&job),
                idle_ms: self.dispatcher.expected_idle_ms(&job),
            }
        };
        self.admission.route.models.iter().enumerate().map(expect).collect()
    }
}
