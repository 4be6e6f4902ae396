//! Serialized evidence on roll-outs.

use std::time::Duration;

use route::relay::canary::{Lateness, RouteTallies, Tallies, Tally};
use serde::{Deserialize, Serialize};

use super::{millis_u32, stage_number, stage_of};
use crate::dispatcher::rollouts::Report;

/// Maximum number of routes of a roll-out whose evidence is sent apart; that of further ones is added up.
const MAX_ROUTES: usize = 12;

/// Stands for the routes whose evidence is not sent apart.
const OTHER_ROUTES: u32 = 0;

/// Serialized form of [`Tally`] over all routes.
#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    runs: u32,
    bad: u32,
    /// Number of runs whose lateness was measured, with its sum and sum of squares.
    timed: u32,
    sum: f64,
    squares: f64,
}

impl From<Tally> for Counts {
    fn from(tally: Tally) -> Self {
        let Lateness { runs, sum, squares } = tally.lateness;
        Self { runs: tally.runs, bad: tally.bad(), timed: runs, sum, squares }
    }
}

/// Returns a tally that does not tell failures from slow answers.
impl From<&Counts> for Tally {
    fn from(counts: &Counts) -> Self {
        let lateness = Lateness { runs: counts.timed, sum: counts.sum, squares: counts.squares };
        Self { sent: counts.runs, runs: counts.runs, failed: counts.bad, slow: 0, lateness }
    }
}

/// Serialized form of [`Tally`] on one route.
#[derive(Debug, Serialize, Deserialize)]
struct RouteCounts {
    sent: u32,
    runs: u32,
    failed: u32,
    slow: u32,
    timed: u32,
    sum: f32,
    squares: f32,
}

impl From<Tally> for RouteCounts {
    #[expect(clippy::cast_possible_truncation, reason = "sums of some thousand logarithms need no more digits")]
    fn from(tally: Tally) -> Self {
        let Lateness { runs, sum, squares } = tally.lateness;
        Self {
            sent: tally.sent,
            runs: tally.runs,
            failed: tally.failed,
            slow: tally.slow,
            timed: runs,
            sum: sum as f32,
            squares: squares as f32,
        }
    }
}

impl From<&RouteCounts> for Tally {
    fn from(counts: &RouteCounts) -> Self {
        let lateness = Lateness { runs: counts.timed, sum: counts.sum.into(), squares: counts.squares.into() };
        Self { sent: counts.sent, runs: counts.runs, failed: counts.failed, slow: counts.slow, lateness }
    }
}

/// Serialized form of [`Report`], without evidence by route.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::news) struct RolloutEvidence {
    /// Hash of the rollout's service and target version.
    hash: u32,
    stage: u8,
    elapsed_ms: u32,
    new: Counts,
    old: Counts,
}

impl From<&Report> for RolloutEvidence {
    fn from(report: &Report) -> Self {
        let sum = report.own.sum();
        Self {
            hash: report.order,
            stage: stage_number(report.stage),
            elapsed_ms: millis_u32(report.elapsed),
            new: sum.new.into(),
            old: sum.old.into(),
        }
    }
}

/// Evidence of a rollout on one route.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::news) struct RouteEvidence {
    /// Hash of the rollout's service and target version.
    order: u32,
    /// Hash of the route's name.
    route: u32,
    new: RouteCounts,
    old: RouteCounts,
}

impl RouteEvidence {
    /// Returns the evidence of roll-outs by route.
    pub(in crate::news) fn of(reports: &[Report]) -> Vec<Self> {
        let mut all = Vec::new();
        for report in reports {
            let mut routes: Vec<(u32, Tallies)> = report.own.iter().collect();
            routes.sort_unstable_by_key(|(_, tallies)| std::cmp::Reverse(tallies.new.sent + tallies.old.sent));
            let others = routes.split_off(routes.len().min(MAX_ROUTES));
            if !others.is_empty() {
                let sum = others.into_iter().fold(Tallies::default(), |sum, (_, tallies)| sum.plus(tallies));
                routes.push((OTHER_ROUTES, sum));
            }
            let order = report.order;
            all.extend(routes.into_iter().map(|(route, tallies)| Self {
                order,
                route,
                new: tallies.new.into(),
                old: tallies.old.into(),
            }));
        }
        all
    }
}

/// Returns the reports of an instance. Those of earlier builds have no evidence by route.
pub(in crate::news) fn reports(evidence: &[RolloutEvidence], routes: &[RouteEvidence]) -> Vec<Report> {
    let report = |evidence: &RolloutEvidence| {
        let mut own = RouteTallies::default();
        for route in routes.iter().filter(|route| route.order == evidence.hash) {
            own.add(route.route, Tallies { new: (&route.new).into(), old: (&route.old).into() });
        }
        if own.iter().next().is_none() {
            own.add(OTHER_ROUTES, Tallies { new: (&evidence.new).into(), old: (&evidence.old).into() });
        }
        Report {
            order: evidence.hash,
            stage: stage_of(evidence.stage),
            elapsed: Duration::from_millis(u64::from(evidence.elapsed_ms)),
            own,
        }
    };
    evidence.iter().map(report).collect()
}
