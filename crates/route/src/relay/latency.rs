//! Estimates how long an idle endpoint takes until the first byte of a job, which is one
//! run of a request.
//!
//! Most prompts are short, and a few are hundreds of times longer. An estimate per token
//! alone would be learned from the short ones, whose time is nearly all overhead, and would
//! make a long prompt look like a queue of seconds. So a fixed part is learned from short
//! jobs, and the time per unit of prompt processing from long ones. Waits in queues only
//! ever add time, so both estimates follow faster observations more closely.

/// Weight of an observation that is below the estimate.
const WEIGHT_BELOW: f64 = 0.1;

/// Weight of an observation that is above the estimate. It is small because slow endpoints
/// and queues must not raise the estimate for the work itself.
const WEIGHT_ABOVE: f64 = 0.01;

/// Upper bound of a single observation, as a multiple of the estimate.
const MAX_OBSERVATION_FACTOR: f64 = 4.0;

/// Latency estimate for one kind of job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Fixed part, in milliseconds.
    base_ms: f64,
    /// Time per unit of prompt processing, in milliseconds. Callers define the unit, such
    /// as a token weighted by the size of the model.
    unit_ms: f64,
}

impl Estimate {
    /// Creates an estimate from initial values for the fixed part and for the time per
    /// unit, both in milliseconds.
    #[must_use]
    pub fn new(base_ms: f64, unit_ms: f64) -> Self {
        Self { base_ms, unit_ms }
    }

    /// Returns the expected time to the first byte of a job of `units`, in milliseconds.
    #[must_use]
    pub fn first_byte_ms(&self, units: f64) -> f64 {
        self.base_ms + self.processing_ms(units)
    }

    /// Returns the time to process the prompt of a job of `units`, in milliseconds. Other
    /// jobs have to wait during it.
    #[must_use]
    pub fn processing_ms(&self, units: f64) -> f64 {
        self.unit_ms * units
    }

    /// Updates the estimate with a job that took `took_ms` milliseconds.
    pub fn learn(&mut self, units: f64, took_ms: f64) {
        if self.processing_ms(units) > self.base_ms {
            let observed = ((took_ms - self.base_ms) / units).max(0.0);
            self.unit_ms = move_toward(self.unit_ms, observed);
        } else {
            let observed = (took_ms - self.processing_ms(units)).max(0.0);
            self.base_ms = move_toward(self.base_ms, observed);
        }
    }
}

/// Moves an estimate toward an observation.
fn move_toward(estimate: f64, observed: f64) -> f64 {
    let weight = if observed < estimate { WEIGHT_BELOW } else { WEIGHT_ABOVE };
    estimate + weight * (observed.min(MAX_OBSERVATION_FACTOR * estimate) - estimate)
}
