//! Finds the number of runs above which further ones make all runs at an endpoint slower.
//!
//! The throughput at a number of runs is that number divided by the time that a run takes.
//! Where a higher band of the declared slots has no more throughput than a lower one, runs
//! in it only wait for each other inside the endpoint, and are better off elsewhere.

use super::{BANDS, Sum, band_end};

/// Smallest number of observations in each of two bands that are compared.
const MIN_COUNT: f64 = 8.0;

/// Smallest gain in throughput, as a logarithm, for which a further band of slots is used.
/// An endpoint without contention gains 0.34 from its third band to its fourth.
const MIN_GAIN: f64 = 0.1;

/// Number of standard errors by which a gain has to be below [`MIN_GAIN`].
const CONFIDENCE: f64 = 2.0;

/// Returns the number of runs that an endpoint with the given observations has room for, from
/// 1 to its declared slots. `variance` is that of an observation.
#[must_use]
pub fn room(bands: &[Sum; BANDS], variance: f64, slots: u32) -> u32 {
    let Some(first_useless) = first_useless(bands, variance) else { return slots };
    let room = (f64::from(slots) * band_end(first_useless)).ceil().max(1.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 1 and the slots")]
    let room = room as u32;
    room.min(slots)
}

/// Returns the lowest band that adds no throughput to a lower one.
pub(super) fn first_useless(bands: &[Sum; BANDS], variance: f64) -> Option<usize> {
    let lacks_gain = |higher: &usize| {
        let gains = (0..*higher).filter_map(|lower| gain_bound(bands, lower, *higher, variance));
        gains.min_by(f64::total_cmp).is_some_and(|gain| gain < MIN_GAIN)
    };
    (1..BANDS).find(lacks_gain)
}

/// Whether enough was observed in a band, or in a higher one, and in a lower one to tell whether the
/// band adds throughput.
pub(super) fn is_observed_from(bands: &[Sum; BANDS], band: usize) -> bool {
    let is_observed = |sum: &Sum| sum.count >= MIN_COUNT;
    bands[..band].iter().any(is_observed) && bands[band..].iter().any(is_observed)
}

/// Returns the upper bound of the gain in throughput from one band to a higher one, as a
/// logarithm; `None` if too little was observed.
fn gain_bound(bands: &[Sum; BANDS], lower: usize, higher: usize, variance: f64) -> Option<f64> {
    let (low, high) = (bands[lower], bands[higher]);
    if low.count < MIN_COUNT || high.count < MIN_COUNT {
        return None;
    }
    let log_throughput = |band: usize| middle(band).ln() - bands[band].mean();
    let error = (variance / low.count + variance / high.count).sqrt();
    Some(log_throughput(higher) - log_throughput(lower) + CONFIDENCE * error)
}

/// Returns the middle of a band, as a fraction of the declared slots.
fn middle(band: usize) -> f64 {
    f64::midpoint(band_end(band), band_end(band + 1))
}
