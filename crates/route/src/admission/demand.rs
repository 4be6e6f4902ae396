//! Measures what callers demand of a service.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Time in which a past request's weight falls to 1/e, in milliseconds. The measurement then
/// covers about the last second.
pub const DECAY_MS: f64 = 500.0;

/// Demand below which a class is forgotten, as a fraction of the service.
const FORGOTTEN: f64 = 1e-6;

/// Maximum number of teams whose demands are told to other instances.
pub const MAX_TOLD_TEAMS: usize = 32;

/// Requests of one team and one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// Short hash of the team's name.
    pub team: u32,
    /// Rank of the requests.
    pub rank: u8,
}

/// Shortest time over which a demand is measured, in milliseconds. A single request is no rate.
const MIN_MEASURED_MS: f64 = 100.0;

/// The same, and the time in which a request's weight falls to 1/e, in usual costs.
const MIN_MEASURED_COSTS: f64 = 2.0;
const MIN_DECAY_COSTS: f64 = 4.0;

/// Weight of a request in the usual cost.
const USUAL_COST_WEIGHT: f64 = 0.1;

/// Rate of cost over about the last second, or since the first request if that is less.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    sum: f64,
    /// Cost of a usual request.
    usual_cost: f64,
    /// Time in which the weight of the sum falls to 1/e, in milliseconds.
    decay_ms: f64,
    /// Shortest time over which the sum is measured, in milliseconds.
    least_ms: f64,
    started_at: Duration,
    updated_at: Duration,
}

impl Meter {
    /// Starts a measurement.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            sum: 0.0,
            usual_cost: 0.0,
            decay_ms: DECAY_MS,
            least_ms: MIN_MEASURED_MS,
            started_at: now,
            updated_at: now,
        }
    }

    /// Adds a cost in milliseconds of the whole service.
    pub fn add(&mut self, cost: f64, now: Duration) {
        let weight = if self.usual_cost > 0.0 { USUAL_COST_WEIGHT } else { 1.0 };
        let before = self.decayed(now);
        self.sum = before + cost;
        self.usual_cost += weight * (cost - self.usual_cost);
        // It is longer where a request costs more than a small part of a second of the whole service: a
        // single long run at a service with few slots would otherwise look like an overload. A long run
        // keeps its time when short ones follow; counted over a shorter time, it would look like many.
        let decay_ms = DECAY_MS.max(MIN_DECAY_COSTS * self.usual_cost);
        let least_ms = MIN_MEASURED_MS.max(MIN_MEASURED_COSTS * self.usual_cost);
        let part = cost / self.sum.max(f64::MIN_POSITIVE);
        self.decay_ms += part * (decay_ms - self.decay_ms);
        self.least_ms += part * (least_ms - self.least_ms);
        self.updated_at = now;
    }

    /// Returns the rate as a fraction of the service.
    #[must_use]
    pub fn rate(&self, now: Duration) -> f64 {
        // An overload that begins would otherwise be recognized only after half a second.
        let measured_ms = millis(now.saturating_sub(self.started_at)).max(self.least_ms);
        let decay_ms = self.decay_ms;
        self.decayed(now) / (decay_ms * (1.0 - (-measured_ms / decay_ms).exp()))
    }

    fn decayed(&self, now: Duration) -> f64 {
        self.sum * (-millis(now.saturating_sub(self.updated_at)) / self.decay_ms).exp()
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Demands of an instance's own callers at a service.
#[derive(Debug, Clone, Default)]
pub struct Demands {
    meters: HashMap<Class, Meter>,
}

impl Demands {
    /// Records a request of a cost.
    pub fn record(&mut self, class: Class, cost: f64, now: Duration) {
        self.meters.entry(class).or_insert_with(|| Meter::new(now)).add(cost, now);
    }

    /// Returns the demand of each class as a fraction of the service, and forgets those without
    /// recent requests.
    pub fn current(&mut self, now: Duration) -> BTreeMap<Class, f64> {
        self.meters.retain(|_, meter| meter.rate(now) > FORGOTTEN);
        self.meters.iter().map(|(class, meter)| (*class, meter.rate(now))).collect()
    }
}

/// Time over which the demand of all instances is smoothed, in milliseconds. What a team asks for in
/// a second varies by a tenth or two; one that asks for just its share would be limited half of the
/// time.
const SMOOTHING_MS: f64 = 3_000.0;

/// Ratio of a demand to the smoothed one, or the reverse, from which on it has changed.
const CHANGED: f64 = 1.4;

/// Demands of all instances, smoothed while they do not change.
#[derive(Debug, Clone, Default)]
pub struct Smoothed {
    demands: HashMap<Class, f64>,
    updated_at: Duration,
}

impl Smoothed {
    /// Replaces each demand by its smoothed value. `total` and `scale` read and change one.
    pub fn apply<T>(
        &mut self,
        demands: &mut BTreeMap<Class, T>,
        now: Duration,
        total: impl Fn(&T) -> f64,
        scale: impl Fn(&mut T, f64),
    ) {
        let weight = 1.0 - (-millis(now.saturating_sub(self.updated_at)) / SMOOTHING_MS).exp();
        self.updated_at = now;
        self.demands.retain(|class, _| demands.contains_key(class));
        for (class, demand) in demands {
            let current = total(demand);
            let smoothed = self.demands.entry(*class).or_insert(current);
            let has_changed = current > *smoothed * CHANGED || current * CHANGED < *smoothed;
            *smoothed += if has_changed { 1.0 } else { weight } * (current - *smoothed);
            if current > 0.0 {
                scale(demand, *smoothed / current);
            }
        }
    }
}

/// Demands as an instance tells them to others: those of its largest teams, and what remains.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    /// Demands of the largest teams, as fractions of the service.
    pub classes: Vec<(Class, f64)>,
    /// Number of the other teams.
    pub other_teams: u32,
    /// Sum of their demands.
    pub other_demand: f64,
}

impl Summary {
    /// Summarizes the demands of an instance's callers.
    #[must_use]
    pub fn new(demands: &BTreeMap<Class, f64>) -> Self {
        let mut teams: BTreeMap<u32, f64> = BTreeMap::new();
        for (class, demand) in demands {
            *teams.entry(class.team).or_default() += demand;
        }
        let mut by_size: Vec<(u32, f64)> = teams.into_iter().collect();
        by_size.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let others = by_size.split_off(by_size.len().min(MAX_TOLD_TEAMS));
        let is_told = |team: u32| by_size.iter().any(|(told, _)| *told == team);
        Self {
            classes: demands.iter().filter(|(class, _)| is_told(class.team)).map(|(c, d)| (*c, *d)).collect(),
            other_teams: u32::try_from(others.len()).unwrap_or(u32::MAX),
            other_demand: others.iter().map(|(_, demand)| demand).sum(),
        }
    }

    /// Returns the sum of all demands.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.classes.iter().map(|(_, demand)| demand).sum::<f64>() + self.other_demand
    }
}
