//! Serialized demands of an instance's callers at a service.

use std::time::Duration;

use route::admission::demand::{Class, Summary};
use serde::{Deserialize, Serialize};

use super::millis_u32;
use crate::admission::Report;

/// Largest demand that is believed, in multiples of the service's capacity.
const MAX_DEMAND: f64 = 1_000.0;

/// Serialized form of [`Report`].
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::news) struct Demands {
    /// Hash of the sender's name.
    pub(in crate::news) origin: u32,
    /// Longest time until the receiver gets the next ones.
    pause_ms: u32,
    /// Short hash of the service's name.
    service: u32,
    /// Demands of the largest teams: hash of the team's name, rank, fraction of the capacity.
    classes: Vec<(u32, u8, f32)>,
    /// Number of the other teams.
    other_teams: u32,
    /// Sum of their demands.
    other_demand: f32,
    /// Usual times of runs, in milliseconds, by the hash of their kind.
    run_times: Vec<(u32, f32)>,
}

impl Demands {
    pub(in crate::news) fn new(origin: u32, report: &Report, pause: Duration) -> Self {
        let Report { service, summary, run_times } = report;
        Self {
            origin,
            pause_ms: millis_u32(pause),
            service: *service,
            classes: summary.classes.iter().map(|(class, demand)| (class.team, class.rank, to_f32(*demand))).collect(),
            other_teams: summary.other_teams,
            other_demand: to_f32(summary.other_demand),
            run_times: run_times.iter().map(|(kind, ms)| (*kind, to_f32(*ms))).collect(),
        }
    }

    /// Returns the longest time until the receiver gets the next ones.
    pub(in crate::news) fn pause(&self) -> Duration {
        Duration::from_millis(u64::from(self.pause_ms))
    }
}

impl From<Demands> for Report {
    fn from(demands: Demands) -> Self {
        let believed = |demand: f32| if demand.is_finite() { f64::from(demand).clamp(0.0, MAX_DEMAND) } else { 0.0 };
        let class = |(team, rank, demand)| (Class { team, rank }, believed(demand));
        let summary = Summary {
            classes: demands.classes.into_iter().map(class).collect(),
            other_teams: demands.other_teams,
            other_demand: believed(demands.other_demand),
        };
        let is_time = |ms: f32| ms.is_finite() && ms > 0.0;
        let run_times = demands.run_times.into_iter().filter(|(_, ms)| is_time(*ms));
        let run_times = run_times.map(|(kind, ms)| (kind, f64::from(ms))).collect();
        Self { service: demands.service, summary, run_times }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "seven digits are more than are measured")]
fn to_f32(demand: f64) -> f32 {
    demand as f32
}
