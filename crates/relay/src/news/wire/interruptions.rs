//! Serialized observations of streams that paused for too long.

use serde::{Deserialize, Serialize};

use crate::dispatcher::fleet::InterruptionReport;

/// Number of units in which one stream is counted: counts decay, so they are fractions.
const UNITS_PER_STREAM: f64 = 10.0;

/// Serialized form of [`InterruptionReport`]; counts are in tenths of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(in crate::news) struct Interruptions {
    /// Short hash of the sender's name.
    pub(in crate::news) instance: u32,
    /// Streams by the short hash of their service.
    streams: Vec<(u32, u16)>,
    /// Streams that paused for too long, by the hash of the endpoint's start.
    late: Vec<(u32, u16)>,
}

impl Interruptions {
    pub(in crate::news) fn new(instance: u32, report: &InterruptionReport) -> Self {
        Self { instance, streams: to_units(&report.streams), late: to_units(&report.late) }
    }
}

impl From<Interruptions> for InterruptionReport {
    fn from(report: Interruptions) -> Self {
        Self { streams: from_units(&report.streams), late: from_units(&report.late) }
    }
}

fn to_units(counts: &[(u32, f64)]) -> Vec<(u32, u16)> {
    counts.iter().map(|(hash, count)| (*hash, super::clamp_to_u16(count * UNITS_PER_STREAM))).collect()
}

fn from_units(counts: &[(u32, u16)]) -> Vec<(u32, f64)> {
    counts.iter().map(|(hash, units)| (*hash, f64::from(*units) / UNITS_PER_STREAM)).collect()
}
