//! Times per token of all models of all services.

use std::{collections::HashMap, time::Duration};

use super::{Ending, TokenTimes};

/// Service and name of a model. Ladders of a service may differ, and change with the catalog, so that the
/// place in one tells nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Model {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub name: String,
}

/// Times per token, by service and model.
#[derive(Debug, Clone, Default)]
pub struct ModelTimes {
    times: HashMap<Model, TokenTimes>,
}

impl ModelTimes {
    /// Adds a stream of a model; see [`TokenTimes::observe`].
    pub fn observe(&mut self, model: &Model, tokens: u32, took_ms: f64, ending: Ending, now: Duration) {
        self.times.entry(model.clone()).or_default().observe(tokens, took_ms, ending, now);
    }

    /// Returns the time per token of a model, in milliseconds; see [`TokenTimes::token_ms`].
    #[must_use]
    pub fn token_ms(&self, model: &Model, share: f64, now: Duration) -> Option<f64> {
        self.times.get(model)?.token_ms(share, now)
    }

    /// Forgets the models that are not kept.
    pub fn retain(&mut self, is_kept: impl Fn(&Model) -> bool) {
        self.times.retain(|model, _| is_kept(model));
    }
}
