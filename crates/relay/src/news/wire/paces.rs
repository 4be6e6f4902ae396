//! Serialized observations of endpoints' paces.

use route::relay::pace::{BANDS, Observations, Sum};
use serde::{Deserialize, Serialize};

use super::clamp_to_u16;
use crate::dispatcher::fleet;

/// Units of a serialized count in one observation.
const COUNT_UNITS: f64 = 100.0;

/// Units of a serialized mean in a logarithm of 1.
const MEAN_UNITS: f64 = 1_000.0;

/// Units of a serialized count of a band in one observation.
const BAND_COUNT_UNITS: f64 = 2.0;

/// Units of a serialized mean of a band in a logarithm of 1.
const BAND_MEAN_UNITS: f64 = 64.0;

/// Smallest number of observations in a band that is sent.
const MIN_BAND_COUNT: f64 = 0.25;

/// Serialized form of [`fleet::PaceReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(in crate::news) struct PaceReport {
    /// Hash of the endpoint's name and start.
    start: u32,
    pace: PackedSum,
    /// The bands with observations.
    bands: Vec<Band>,
}

/// Serialized observations of a band, as small as possible: there are up to four for each endpoint.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Band {
    index: u8,
    /// Number of observations in halves.
    count: u8,
    /// Mean of their logarithms in 64ths.
    mean: i8,
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

impl Band {
    fn new(index: u8, sum: Sum) -> Self {
        let mean = (sum.mean() * BAND_MEAN_UNITS).round().clamp(f64::from(i8::MIN), f64::from(i8::MAX));
        let count = (sum.count * BAND_COUNT_UNITS).round().clamp(0.0, f64::from(u8::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the types' ranges")]
        let (count, mean) = (count as u8, mean as i8);
        Self { index, count, mean }
    }
}

impl From<Band> for Sum {
    fn from(band: Band) -> Self {
        let count = f64::from(band.count) / BAND_COUNT_UNITS;
        Self { count, log_sum: count * f64::from(band.mean) / BAND_MEAN_UNITS }
    }
}

impl From<fleet::PaceReport> for PaceReport {
    fn from(fleet::PaceReport { start, observations }: fleet::PaceReport) -> Self {
        let sent = (0_u8..).zip(observations.bands).filter(|(_, sum)| sum.count >= MIN_BAND_COUNT);
        let bands = sent.map(|(index, sum)| Band::new(index, sum)).collect();
        Self { start, pace: observations.pace.into(), bands }
    }
}

impl From<PaceReport> for fleet::PaceReport {
    fn from(report: PaceReport) -> Self {
        let mut bands = [Sum::default(); BANDS];
        for sent in report.bands {
            if let Some(band) = bands.get_mut(usize::from(sent.index)) {
                *band = sent.into();
            }
        }
        let observations = Observations { pace: report.pace.into(), bands, ..Observations::default() };
        Self { start: report.start, observations }
    }
}
