//! What the choice of the model to start with is based on.

use super::Exchange;

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
        /// Whether a second run is allowed.
        may_escalate: bool,
    },
    /// The value of a right answer, compared with the models' prices.
    Values {
        /// Value of a right answer in time, as a multiple of the largest model's price.
        right_answer: f64,
        /// Demand for the service over its capacity.
        pressure: f64,
        /// Whether a second run is allowed.
        may_escalate: bool,
    },
}

/// The model to start with, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Start {
    /// Index of the model; `None` if the route has no models or the caller chose one.
    pub model: Option<usize>,
    /// Rule that selects it.
    pub basis: Basis,
    /// Whether the expected length of the response excludes models.
    pub is_limited: bool,
}

impl Start {
    pub(super) fn new(model: Option<usize>, basis: Basis) -> Self {
        Self { model, basis, is_limited: false }
    }
}

impl Exchange {
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
