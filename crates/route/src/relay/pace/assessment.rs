//! Paces of a service's endpoints, and whether they differ by more than noise.

use super::{
    Observations,
    room::{first_useless, is_observed_from, room},
};

/// Number of observations of an average endpoint that are added to those of each endpoint, so
/// that few observations move its pace only slightly from 1.
const PRIOR_COUNT: f64 = 4.0;

/// Slowest pace. An endpoint that is slower still gets almost no requests.
const MAX_PACE: f64 = 4.0;

/// Fastest pace. An endpoint that looks faster would attract requests of all instances, which
/// an incorrect report must not cause.
const MIN_PACE: f64 = 0.4;

/// Standard deviations by which the differences between endpoints must exceed those that
/// noise explains before paces take effect.
const BEGIN_DEVIATIONS: f64 = 4.0;

/// Standard deviations below which paces no longer take effect. With a single threshold they
/// would go in and out of effect where the differences are close to it.
const END_DEVIATIONS: f64 = 1.0;

/// Root mean square of the logarithms of paces from which they take effect: about a sixth.
/// Slow periods of less than a second, which end before others hear of them, cause
/// differences of about a tenth among endpoints that are alike.
const BEGIN_SPREAD: f64 = 0.15;

/// Root mean square below which paces no longer take effect.
const END_SPREAD: f64 = 0.1;

/// Logarithm of the pace of a single endpoint from which paces take effect: a factor of 1.5.
/// One slow endpoint among 60 hardly changes the root mean square.
const BEGIN_OUTLIER: f64 = 0.405;

/// Logarithm of the pace of a single endpoint below which it counts as ordinary.
const END_OUTLIER: f64 = 0.26;

/// Standard errors by which a single endpoint must be off.
const OUTLIER_ERRORS: f64 = 5.0;

/// An endpoint of a service.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Pooled observations.
    pub observations: Observations,
    /// Declared slots.
    pub slots: u32,
}

/// What was learned about an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Learned {
    /// Logarithm of its pace by all observations, whether or not it takes effect.
    pub log: f64,
    /// Its pace: the time that it takes relative to the service's endpoints on average.
    /// `None` if the endpoints do not differ by more than noise.
    pub pace: Option<f64>,
    /// Number of runs above which further ones only make all of them slower; `None` if that
    /// is not below its declared slots.
    pub room: Option<u32>,
}

/// What was learned about a service's endpoints.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Assessment {
    /// Whether they differ in their paces by more than noise.
    pub differs: bool,
    /// The endpoints, in the order of the input.
    pub learned: Vec<Learned>,
}

/// Assesses the endpoints of a service. `variance` is that of an observation, and `differed`
/// tells whether the endpoints differed by the previous assessment.
#[must_use]
pub fn assess(members: &[Member], variance: f64, differed: bool) -> Assessment {
    let weight = |member: &Member| {
        let count = member.observations.pace.count;
        count / (count + PRIOR_COUNT)
    };
    let mean = |member: &Member| member.observations.pace.mean();
    let weights: f64 = members.iter().map(weight).sum();
    let center =
        members.iter().map(|member| weight(member) * mean(member)).sum::<f64>() / weights.max(f64::MIN_POSITIVE);
    let logs: Vec<f64> = members
        .iter()
        .map(|member| (weight(member) * (mean(member) - center)).clamp(MIN_PACE.ln(), MAX_PACE.ln()))
        .collect();
    let differs = differ(members, &logs, center, variance, differed);
    let rooms = rooms(members, variance);
    let learned = |(log, room): (f64, Option<u32>)| Learned { log, pace: differs.then(|| log.exp()), room };
    Assessment { differs, learned: logs.into_iter().zip(rooms).map(learned).collect() }
}

/// Whether endpoints differ by more than noise.
fn differ(members: &[Member], logs: &[f64], center: f64, variance: f64, differed: bool) -> bool {
    let (deviations, spread, outlier) = if differed {
        (END_DEVIATIONS, END_SPREAD, END_OUTLIER)
    } else {
        (BEGIN_DEVIATIONS, BEGIN_SPREAD, BEGIN_OUTLIER)
    };
    let (mut observed, mut squares, mut excess) = (0.0, 0.0, 0.0);
    let mut has_outlier = false;
    for (member, log) in members.iter().zip(logs) {
        let pace = member.observations.pace;
        let deviation = pace.mean() - center;
        if pace.count > 0.0 {
            observed += 1.0;
            squares += log * log;
            excess += pace.count * deviation * deviation / variance;
        }
        let errors = deviation.abs() * (pace.count / variance).sqrt();
        has_outlier |= log.abs() > outlier && errors > OUTLIER_ERRORS;
    }
    if observed < 2.0 {
        return false;
    }
    let freedom: f64 = observed - 1.0;
    let is_significant = excess > freedom + deviations * (2.0 * freedom).sqrt();
    let is_spread = (squares / observed).sqrt() > spread;
    has_outlier || (is_significant && is_spread)
}

/// Returns the endpoints' rooms where they are below the declared slots. Where half of the
/// endpoints have less room than they declare, they are alike in that, and it is not used:
/// a request would only wait here for the same time as it would wait there. Endpoints that were
/// never so busy do not count: they may have as little room.
fn rooms(members: &[Member], variance: f64) -> Vec<Option<u32>> {
    let reduced = |member: &Member| {
        Some(room(&member.observations.bands, variance, member.slots)).filter(|room| *room < member.slots)
    };
    let rooms: Vec<Option<u32>> = members.iter().map(reduced).collect();
    let of_reduced = members.iter().zip(&rooms).filter(|(_, room)| room.is_some());
    let reduced_from = of_reduced.filter_map(|(member, _)| first_useless(&member.observations.bands, variance)).min();
    let Some(band) = reduced_from else { return rooms };
    let compared = members.iter().filter(|member| is_observed_from(&member.observations.bands, band)).count();
    if 2 * rooms.iter().flatten().count() >= compared { vec![None; members.len()] } else { rooms }
}

/// Returns the number of runs that an endpoint serves in the time in which an average one of
/// the service would, each with one run at a time: its room, or its declared slots, by pace.
#[must_use]
pub fn effective_slots(slots: u32, pace: Option<f64>, room: Option<u32>) -> f64 {
    f64::from(room.unwrap_or(slots).min(slots)) / pace.unwrap_or(1.0).clamp(MIN_PACE, MAX_PACE)
}
