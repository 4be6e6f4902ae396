//! How long an idle endpoint takes to the first byte of a job.
//!
//! The load pattern: most prompts are short, a few are hundreds of times
//! longer. A time for each token alone would be learned from the short ones,
//! whose time is nearly all overhead, and would make a long prompt look like a
//! queue of seconds. So a fixed part is learned from short jobs and the time
//! for each unit of reading from long ones. Waits in queues only ever add, so
//! both lean to the quick observations.

/// Weight of an observation below what is believed.
const DOWN: f64 = 0.1;

/// Weight of an observation above: slow endpoints and queues must not be taken
/// for the pace of the work.
const UP: f64 = 0.01;

/// Most that one observation counts as, over what is believed.
const OUTLIER: f64 = 4.0;

/// What is believed of one kind of job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    base_ms: f64,
    unit_ms: f64,
}

impl Pace {
    /// First guesses: the fixed part, and a unit's time, in milliseconds.
    #[must_use]
    pub fn new(base_ms: f64, unit_ms: f64) -> Self {
        Self { base_ms, unit_ms }
    }

    /// Time that a job of so many units is expected to take, in milliseconds.
    #[must_use]
    pub fn job_ms(&self, units: f64) -> f64 {
        self.base_ms + self.reading_ms(units)
    }

    /// Part of that time in which other jobs have to wait, in milliseconds.
    #[must_use]
    pub fn reading_ms(&self, units: f64) -> f64 {
        self.unit_ms * units
    }

    /// Learns from a job that took so many milliseconds.
    pub fn learn(&mut self, units: f64, took_ms: f64) {
        if self.reading_ms(units) > self.base_ms {
            let seen = ((took_ms - self.base_ms) / units).max(0.0);
            self.unit_ms = lean(self.unit_ms, seen);
        } else {
            let seen = (took_ms - self.reading_ms(units)).max(0.0);
            self.base_ms = lean(self.base_ms, seen);
        }
    }
}

fn lean(believed: f64, seen: f64) -> f64 {
    let weight = if seen < believed { DOWN } else { UP };
    believed + weight * (seen.min(OUTLIER * believed) - believed)
}
