//! Learns how fast each endpoint of a service is for the same work.
//!
//! With many instances, each sees few runs at any one endpoint. Each instance therefore
//! aggregates its observations of an endpoint, and all instances exchange and pool the
//! aggregates. An observation is the logarithm of the ratio between the time that a run
//! took and the time that the same work takes at the service's endpoints on average
//! ([`Usual`]). The aggregate is a number of observations and their sum ([`Sum`]), which
//! can be pooled in any order and forgotten by scaling both.
//!
//! [`assess`] turns the pooled aggregates of a service into paces, and decides whether its
//! endpoints differ by more than noise. [`mod@room`] finds the number of runs above which
//! further ones make all of them slower.

mod assessment;
pub mod room;

use std::time::Duration;

pub use self::assessment::{Assessment, Learned, Member, assess, effective_slots};

/// Number of bands into which the number of runs at an endpoint is divided, from none to
/// its declared slots.
pub const BANDS: usize = 4;

/// Largest absolute logarithm of an observation: a factor of four. A single run that took
/// much longer has met a queue or a fault, and says little about the endpoint's pace.
pub const MAX_LOG: f64 = 1.386;

/// Time in which half of the observations of a pace are forgotten. Slow periods last for
/// seconds; with 62 instances that each send an endpoint 0.3 requests per second some 50
/// observations count at any time.
const PACE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time in which half of the observations by number of runs are forgotten. Once an
/// endpoint gets no more runs than it has room for, no further observations above that
/// come in, so each loss of this knowledge costs another overload of the endpoint.
const BAND_HALF_LIFE: Duration = Duration::from_secs(8);

/// Longest time after the latest observation for which observations are kept while runs wait.
/// Near saturation all runs wait for some seconds; later the pace is likely to have changed.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// Largest number of observations that count for a pace. It bounds the time until a slow
/// period is forgotten, however many runs were seen in it.
pub const MAX_COUNT: f64 = 32.0;

/// Largest number of observations that count for a band.
const MAX_BAND_COUNT: f64 = 128.0;

/// Number of observations that a report of another instance may always contribute.
const MIN_REPORT_COUNT: f64 = 2.0;

/// Largest number of observations of a report, as a multiple of the mean number of the other
/// instances. A wrong report then counts for little where many instances observe the
/// endpoint.
const MAX_REPORT_FACTOR: f64 = 2.0;

/// Smallest rise of a pace between two assessments that explains an endpoint's slowness. Paces
/// vary by less without any cause, and each rise by noise would take part of the slowness away.
const MIN_RISE: f64 = 1.1;

/// Smallest weight of an observation in the usual ratio and in the noise.
const MIN_WEIGHT: f64 = 0.02;

/// A number of observations and the sum of their logarithms.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sum {
    /// Number of observations; fractional, since old ones count for less.
    pub count: f64,
    /// Sum of their logarithms.
    pub log_sum: f64,
}

impl Sum {
    /// Returns the mean logarithm, or 0 without observations.
    #[must_use]
    pub fn mean(&self) -> f64 {
        if self.count > 0.0 { self.log_sum / self.count } else { 0.0 }
    }

    /// Adds an observation.
    fn add(&mut self, log: f64, max_count: f64) {
        let sum = Self { count: self.count + 1.0, log_sum: self.log_sum + log };
        *self = sum.limited(max_count);
    }

    /// Returns the sum with at most `max_count` observations and the same mean.
    fn limited(self, max_count: f64) -> Self {
        if self.count > max_count { self.scaled(max_count / self.count) } else { self }
    }

    fn scaled(self, factor: f64) -> Self {
        Self { count: self.count * factor, log_sum: self.log_sum * factor }
    }

    /// Returns the sum with all values in the range that observations can have.
    fn in_bounds(self, max_count: f64) -> Self {
        if !self.count.is_finite() || !self.log_sum.is_finite() || self.count <= 0.0 {
            return Self::default();
        }
        let bound = MAX_LOG * self.count;
        Self { count: self.count, log_sum: self.log_sum.clamp(-bound, bound) }.limited(max_count)
    }

    /// Pools own observations with those of other instances.
    ///
    /// A report may contribute little more than the others do on average, so that an
    /// incorrect one cannot outvote them.
    fn pooled(own: Self, reports: impl Iterator<Item = Self> + Clone, max_count: f64) -> Self {
        let reports = reports.map(|report| report.in_bounds(max_count));
        let (mut sources, mut total) = (1.0, own.count);
        for report in reports.clone() {
            sources += 1.0;
            total += report.count;
        }
        let mut pooled = own;
        for report in reports {
            let mean_of_others = (total - report.count) / (sources - 1.0_f64).max(1.0);
            let report = report.limited((MAX_REPORT_FACTOR * mean_of_others).max(MIN_REPORT_COUNT));
            pooled.count += report.count;
            pooled.log_sum += report.log_sum;
        }
        pooled.limited(max_count)
    }
}

/// Observations of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observations {
    /// Observations of its pace.
    pub pace: Sum,
    /// The same observations by the number of runs there, in bands up to the declared slots.
    pub bands: [Sum; BANDS],
    /// Time up to which old observations have been forgotten.
    pub updated_at: Duration,
    /// Time of the latest observation of this instance.
    pub observed_at: Duration,
}

impl Observations {
    /// Adds an observation. `load` is the number of runs there, this one included, as a
    /// fraction of the declared slots.
    pub fn observe(&mut self, log: f64, load: f64, now: Duration) {
        *self = self.at(now);
        let log = log.clamp(-MAX_LOG, MAX_LOG);
        self.pace.add(log, MAX_COUNT);
        self.bands[band(load)].add(log, MAX_BAND_COUNT);
        self.observed_at = now;
    }

    /// Keeps the observations as they are, since a run waits and its time will not show the pace.
    /// Without this, paces would return to 1 when all endpoints are full, which is when they matter.
    pub fn hold(&mut self, now: Duration) {
        if now.saturating_sub(self.observed_at) <= MAX_HOLD {
            self.updated_at = now.max(self.updated_at);
        }
    }

    /// Returns the observations as they count at a time.
    #[must_use]
    pub fn at(&self, now: Duration) -> Self {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let left = |half_life: Duration| 0.5_f64.powf(age / half_life.as_secs_f64());
        let (pace, bands) = (left(PACE_HALF_LIFE), left(BAND_HALF_LIFE));
        Self {
            pace: self.pace.scaled(pace),
            bands: self.bands.map(|band| band.scaled(bands)),
            updated_at: now.max(self.updated_at),
            observed_at: self.observed_at,
        }
    }

    /// Pools own observations with those that other instances reported, as they count at a
    /// time.
    #[must_use]
    pub fn pooled(&self, reports: &[Self], now: Duration) -> Self {
        let own = self.at(now);
        let reports: Vec<Self> = reports.iter().map(|report| report.at(now)).collect();
        let mut bands = own.bands;
        for (index, band) in bands.iter_mut().enumerate() {
            *band = Sum::pooled(*band, reports.iter().map(|report| report.bands[index]), MAX_BAND_COUNT);
        }
        let pace = Sum::pooled(own.pace, reports.iter().map(|report| report.pace), MAX_COUNT);
        Self { pace, bands, ..own }
    }
}

/// Returns the band of a number of runs, given as a fraction of the declared slots.
fn band(load: f64) -> usize {
    let upper_ends = (1..BANDS).map(band_end);
    upper_ends.filter(|end| load > *end + f64::EPSILON).count()
}

/// Returns the upper end of the first `bands` bands, as a fraction of the declared slots.
#[expect(clippy::cast_precision_loss, reason = "bands are few")]
fn band_end(bands: usize) -> f64 {
    bands as f64 / BANDS as f64
}

/// Returns the part of an endpoint's slowness, as one instance has observed it, that a change of its
/// pace does not explain.
///
/// Runs are compared with the pace that is in effect when they start. What was observed before a
/// pace rises is therefore explained by it, as far as the pace has risen. What is left is slow from
/// this instance only, as by a bad path.
#[must_use]
pub fn unexplained_slowness(slowness: f64, pace_before: f64, pace: f64) -> f64 {
    let rise = pace / pace_before;
    if rise < MIN_RISE || slowness <= 1.0 { slowness } else { (slowness / rise).max(1.0) }
}

/// Usual ratio of the time that runs of one kind take to their expected time, over all
/// endpoints of a service, as one instance sees it.
///
/// Expected times are inexact: callers of one class may send more work than they declare,
/// and each instance has its own estimates. Observations relative to the usual ratio of the
/// same kind of run do not contain that error.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usual {
    log: f64,
    weight: Weight,
}

impl Usual {
    /// Adds the logarithm of a ratio at an endpoint whose pace has the logarithm `pace_log`,
    /// and returns the observation of that endpoint's pace.
    ///
    /// The usual ratio is freed from the endpoint's pace. Otherwise an instance that mostly
    /// sends to slow endpoints would take their times for the usual ones.
    pub fn observe(&mut self, ratio_log: f64, pace_log: f64) -> f64 {
        let excess = (ratio_log - pace_log - self.log).clamp(-MAX_LOG, MAX_LOG);
        self.log += if self.weight.is_first() { ratio_log - pace_log } else { self.weight.peek() * excess };
        self.weight.advance();
        ratio_log - self.log
    }
}

/// Variance of the logarithms of a service's observations around the endpoints' paces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Noise {
    variance: f64,
    weight: Weight,
}

/// Variance that is assumed before any observation: runs differ by a factor of 1.6.
const INITIAL_VARIANCE: f64 = 0.25;

/// Smallest variance. Runs at one endpoint never take exactly the same time.
const MIN_VARIANCE: f64 = 0.01;

impl Default for Noise {
    fn default() -> Self {
        Self { variance: INITIAL_VARIANCE, weight: Weight::default() }
    }
}

impl Noise {
    /// Adds an observation at an endpoint whose pace has the logarithm `pace_log`.
    pub fn observe(&mut self, log: f64, pace_log: f64) {
        let deviation = (log - pace_log).clamp(-MAX_LOG, MAX_LOG);
        self.weight.advance();
        self.variance += self.weight.peek() * (deviation * deviation - self.variance);
    }

    /// Returns the variance.
    #[must_use]
    pub fn variance(&self) -> f64 {
        self.variance.max(MIN_VARIANCE)
    }
}

/// Weight of the next observation in a running mean: the mean of all at first, then of the
/// most recent ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Weight(f64);

impl Weight {
    fn is_first(self) -> bool {
        self.0 == 0.0
    }

    fn peek(self) -> f64 {
        (1.0 / (self.0 + 1.0)).max(MIN_WEIGHT)
    }

    fn advance(&mut self) {
        self.0 = (self.0 + 1.0).min(1.0 / MIN_WEIGHT);
    }
}
