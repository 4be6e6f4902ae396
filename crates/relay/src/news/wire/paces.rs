//! Serialized observations of endpoints' paces.

use route::relay::pace::{BANDS, Observations, Sum};
use serde::{Deserialize, Serialize};

use super::clamp_to_u16;
use crate::dispatcher::fleet;

/// Units of a serialized count in one observation.
const COUNT_UNITS: f64 = 100.0;

/// Units of a serialized mean in a logarithm of 1.
const MEAN_UNITS: f64 = 1_000.0;

/// Smallest number of observations in a band that is sent.
const MIN_BAND_COUNT: f64 = 0.1;

/// Serialized form of [`fleet::PaceReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(in crate::news) struct PaceReport {
    /// Hash of the endpoint's name and start.
    start: u32,
    pace: PackedSum,
    /// The bands with observations.
    bands: Vec<Band>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Band {
    index: u8,
    sum: PackedSum,
}

/// Serialized form of [`Sum`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct PackedSum {
    /// Number of observations in hundredths.
    count: u16,
    /// Mean of their logarithms in thousandths.
    mean: i16,
}

impl From<Sum> for PackedSum {
    fn from(sum: Sum) -> Self {
        let mean = (sum.mean() * MEAN_UNITS).round().clamp(f64::from(i16::MIN), f64::from(i16::MAX));
        #[expect(clippy::cast_possible_truncation, reason = "clamped to the type's range")]
        let mean = mean as i16;
        Self { count: clamp_to_u16((sum.count * COUNT_UNITS).round()), mean }
    }
}

impl From<PackedSum> for Sum {
    fn from(sum: PackedSum) -> Self {
        let count = f64::from(sum.count) / COUNT_UNITS;
        Self { count, log_sum: count * f64::from(sum.mean) / MEAN_UNITS }
    }
}

impl From<fleet::PaceReport> for PaceReport {
    fn from(fleet::PaceReport { start, observations }: fleet::PaceReport) -> Self {
        let sent = (0_u8..).zip(observations.bands).filter(|(_, sum)| sum.count >= MIN_BAND_COUNT);
        let bands = sent.map(|(index, sum)| Band { index, sum: sum.into() }).collect();
        Self { start, pace: observations.pace.into(), bands }
    }
}

impl From<PaceReport> for fleet::PaceReport {
    fn from(report: PaceReport) -> Self {
        let mut bands = [Sum::default(); BANDS];
        for Band { index, sum } in report.bands {
            if let Some(band) = bands.get_mut(usize::from(index)) {
                *band = sum.into();
            }
        }
        let observations = Observations { pace: report.pace.into(), bands, ..Observations::default() };
        Self { start: report.start, observations }
    }
}
