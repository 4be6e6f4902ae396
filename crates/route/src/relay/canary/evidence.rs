//! Outcomes of the runs of a roll-out's versions.

use std::{collections::BTreeMap, fmt};

/// Ratio of an answer's time to the usual time of its route above which the answer counts as
/// bad. Answers of bad versions take several times as long. The usual spread of the times on a
/// slow server in a small pool seldom exceeds this.
const SLOW_RATIO: f64 = 3.5;

/// Minimum number of answers from which a route's usual time is known.
const MIN_BASELINE_RUNS: u32 = 5;

/// Minimum weight of an answer in the usual time, which thus follows changes of the load
/// within some twenty answers.
const BASELINE_WEIGHT: f64 = 0.05;

/// Lower bound of the estimated variance of the logarithms. The times of a handful of runs
/// may agree by chance.
const MIN_VARIANCE: f64 = 0.1;

/// Outcome counts of a version's runs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Number of requests sent, with and without an outcome yet.
    pub sent: u32,
    /// Number of answers and failures.
    pub runs: u32,
    /// Number of failures.
    pub failed: u32,
    /// Number of other answers that took several times as long as usual.
    pub slow: u32,
    /// Statistics of the time of answers.
    pub lateness: Lateness,
}

/// Shows the numbers of requests sent, runs, failed and slow ones.
impl fmt::Display for Tally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}/{}", self.sent, self.runs, self.failed, self.slow)
    }
}

/// Outcome counts of both versions of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tallies {
    /// Counts of the new version.
    pub new: Tally,
    /// Counts of the old version.
    pub old: Tally,
}

impl Tallies {
    /// Returns the sum of two pairs of tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }
}

/// Outcome counts of both versions by route.
///
/// A version may be bad on one route only, and a route may fail often on any version. Sums over all
/// routes would hide the one and suggest the other.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTallies {
    routes: BTreeMap<u32, Tallies>,
}

impl RouteTallies {
    /// Adds the counts of a route, given by the hash of its name.
    pub fn add(&mut self, route: u32, tallies: Tallies) {
        let sum = self.routes.entry(route).or_default();
        *sum = sum.plus(tallies);
    }

    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        for (route, tallies) in &other.routes {
            self.add(*route, *tallies);
        }
    }

    /// Returns the new version's counts since `earlier`, and all of the old version's.
    #[must_use]
    pub fn new_since(&self, earlier: &Self) -> Self {
        let since = |(route, tallies): (&u32, &Tallies)| {
            (*route, Tallies { new: tallies.new.since(earlier.of(*route).new), old: tallies.old })
        };
        Self { routes: self.routes.iter().map(since).collect() }
    }

    /// Returns the counts of a route.
    #[must_use]
    pub fn of(&self, route: u32) -> Tallies {
        self.routes.get(&route).copied().unwrap_or_default()
    }

    /// Returns the counts of each route.
    pub fn iter(&self) -> impl Iterator<Item = (u32, Tallies)> {
        self.routes.iter().map(|(route, tallies)| (*route, *tallies))
    }

    /// Returns the sum over all routes.
    #[must_use]
    pub fn sum(&self) -> Tallies {
        self.routes.values().fold(Tallies::default(), |sum, tallies| sum.plus(*tallies))
    }
}

/// Statistics of the logarithm of the ratio of an answer's time to the usual time.
///
/// Logarithms are used because times vary by factors.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lateness {
    /// Number of samples.
    pub runs: u32,
    /// Sum of the logarithms.
    pub sum: f64,
    /// Sum of the squared logarithms.
    pub squares: f64,
}

impl Lateness {
    /// Creates the statistics of a single run from the ratio of its actual to its expected
    /// time.
    #[must_use]
    pub fn from_ratio(ratio: f64) -> Self {
        let log = ratio.max(f64::MIN_POSITIVE).ln();
        Self { runs: 1, sum: log, squares: log * log }
    }

    /// Returns the typical ratio.
    #[must_use]
    pub fn typical_ratio(self) -> f64 {
        self.mean().exp()
    }

    pub(super) fn mean(self) -> f64 {
        self.sum / f64::from(self.runs.max(1))
    }

    /// Returns the variance of the mean.
    pub(super) fn variance_of_mean(self) -> f64 {
        let runs = f64::from(self.runs.max(2));
        let variance = (self.squares - runs * self.mean().powi(2)) / (runs - 1.0);
        variance.max(MIN_VARIANCE) / runs
    }
}

/// Usual time of the old version's answers on a route, as the mean logarithm of the ratio of
/// actual to expected time.
///
/// Routes differ in how well their times are expected. With one mean for all routes of a
/// service, the quick answers of one route would hide the slow answers of another.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    runs: u32,
    mean: f64,
}

impl Baseline {
    /// Adds the ratio of an answer's actual to its expected time.
    pub fn observe(&mut self, ratio: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = f64::from(self.runs).recip().max(BASELINE_WEIGHT);
        self.mean += weight * (ratio.max(f64::MIN_POSITIVE).ln() - self.mean);
    }

    /// Returns the ratio of an answer's time to the usual time, or `None` if the usual time is
    /// not known yet. `ratio` relates the answer's actual to its expected time.
    #[must_use]
    pub fn relative(self, ratio: f64) -> Option<f64> {
        (self.runs >= MIN_BASELINE_RUNS).then(|| ratio / self.mean.exp())
    }
}

/// Returns whether an answer counts as bad because of its time, given as a ratio to the usual
/// time.
#[must_use]
pub fn is_slow(ratio: f64) -> bool {
    ratio > SLOW_RATIO
}

impl Tally {
    /// Returns the sum of two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent.saturating_add(other.sent),
            runs: self.runs.saturating_add(other.runs),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
            lateness: Lateness {
                runs: self.lateness.runs.saturating_add(other.lateness.runs),
                sum: self.lateness.sum + other.lateness.sum,
                squares: self.lateness.squares + other.lateness.squares,
            },
        }
    }

    /// Returns the tally of the runs that were counted since an earlier tally.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            runs: self.runs.saturating_sub(earlier.runs),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            lateness: Lateness {
                runs: self.lateness.runs.saturating_sub(earlier.lateness.runs),
                sum: self.lateness.sum - earlier.lateness.sum,
                squares: (self.lateness.squares - earlier.lateness.squares).max(0.0),
            },
        }
    }

    /// Returns the number of runs that failed or were slow.
    #[must_use]
    pub fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// Returns the share of runs that were bad.
    #[must_use]
    pub fn rate(self) -> f64 {
        if self.runs == 0 { 0.0 } else { f64::from(self.bad()) / f64::from(self.runs) }
    }
}
