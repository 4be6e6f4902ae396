//! Learns how often and how fast versions give answers that pass their rating,
//! per customer and request class.
//!
//! Ratings arrive late, are missing, or stop for an hour, so every pass rate
//! comes with its uncertainty. The model is hierarchical, with shrinkage from each
//! level to the next: a version in general, a version in a class, and a version in
//! a class for one customer. A class that is new to a customer therefore starts
//! from the ratings of other customers. A class without any ratings starts with a
//! wide deviation, which makes the choice cautious.
//!
//! One [`Account`] per customer and class counts the passes ahead of or behind the
//! target. It makes the target hold for the answers actually given, even where the
//! estimated rates are wrong.

mod account;
mod pending_answers;
mod speed;

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
};

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp, contract::Customer, hash, model::Version, request::Class};

pub use account::{Account, Pending};
pub use pending_answers::{Answer, LAPSE_MS, PendingAnswers};
pub use speed::Speed;

/// Deterministic hasher, sufficient for keys that are already hashes.
type Hasher = BuildHasherDefault<DefaultHasher>;

/// Maximum number of stored rating counts, and of stored speeds. The counts that were
/// not updated recently are evicted first; of the speeds, all are dropped.
const MAX_ENTRIES: usize = 65_536;
/// Maximum number of classes learned per customer; further classes share one cell.
const MAX_CLASSES: usize = 64;
/// Number of ratings at which the older ratings counted under a key start to decay, so
/// that a regression of a version shows within some hundreds of answers.
const DECAY_RATINGS: f64 = 1_000.0;
/// Maximum weight of a parent level in its child, in ratings.
const MAX_PARENT_WEIGHT: f64 = 30.0;
/// Number of ratings at which a parent has half of [`MAX_PARENT_WEIGHT`].
const PARENT_HALF_WEIGHT_RATINGS: f64 = 30.0;
/// Weight of the prior without ratings, in ratings.
const PRIOR_WEIGHT: f64 = 2.0;
/// Factor from the pass rate of first answers to that of escalated answers without
/// ratings: requests whose first answer failed are harder than average.
const ESCALATED_RATE_FACTOR: f64 = 0.7;

/// Position in the ladder at which an answer was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// First answer to the request.
    First,
    /// Answer of a later step, given after the answer of the previous step failed its
    /// rating.
    Escalated,
}

/// One request class of one customer; the finest level at which ratings are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Cell {
    customer: u64,
    class: u64,
}

impl Cell {
    /// Selects the estimates of a version in general, for no particular customer and
    /// class.
    pub const ANY: Self = Self { customer: 0, class: 0 };

    /// Returns the cell of a customer's class.
    #[must_use]
    pub fn new(customer: &Customer, class: &Class) -> Self {
        Self { customer: hash::stable(customer.as_str().as_bytes()), class: hash::stable(class.as_str().as_bytes()) }
    }

    fn key(self) -> u64 {
        combine(self.customer, self.class)
    }
}

/// Estimate of a pass rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Expected share of answers that pass, from 0 to 1.
    pub mean: f64,
    /// Standard deviation of the share.
    pub deviation: f64,
}

impl Estimate {
    /// Returns the rate `z` standard deviations below the mean, clamped to 0 to 1.
    #[must_use]
    pub fn lower_bound(&self, z: f64) -> f64 {
        z.mul_add(-self.deviation, self.mean).clamp(0.0, 1.0)
    }
}

/// Estimated quality and speed of a version in a customer's class.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Pass rate of first answers.
    pub first: Estimate,
    /// Pass rate of answers given after another version's answer failed its rating.
    pub escalated: Estimate,
    /// Duration of its runs.
    pub speed: Speed,
}

/// Prior of a version's pass rate while it has no ratings.
#[derive(Debug, Clone, Copy)]
pub struct Prior<'a> {
    /// Version that a roll-out replaces by this one; its pass rate is the prior.
    pub parent: Option<&'a Version>,
    /// Pass rate to assume if there are no ratings at all.
    pub fallback_rate: f64,
}

/// Learned quality and speed of versions, and the accounts of customers.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    counts: HashMap<u64, Counts, Hasher>,
    accounts: HashMap<u64, Account, Hasher>,
    classes: HashMap<u64, Vec<u64>, Hasher>,
    speeds: HashMap<u64, Speed, Hasher>,
    updates: u64,
}

impl Estimates {
    /// Records a rating.
    pub fn record_rating(&mut self, cell: Cell, version: &Version, stage: Stage, pass: bool) {
        let cell = self.register_class(cell);
        let version = stage_key(version_key(version), stage);
        for key in [version, combine(version, cell.class), combine(version, cell.key())] {
            self.count(key, pass);
        }
    }

    /// Returns the estimated quality and speed of a version in a customer's class.
    ///
    /// `prior` applies while there are no ratings.
    #[must_use]
    pub fn profile(&self, cell: Cell, version: &Version, prior: Prior<'_>, now: Timestamp) -> Profile {
        let cell = self.resolve(cell);
        let default_prior = Belief { rate: prior.fallback_rate, weight: PRIOR_WEIGHT };
        let key = version_key(version);
        let parent = prior.parent.map_or(default_prior, |parent| {
            let old = self.posterior(cell, stage_key(version_key(parent), Stage::First), default_prior);
            Belief { rate: old.rate, weight: PRIOR_WEIGHT }
        });
        let first = self.posterior(cell, stage_key(key, Stage::First), parent);
        let escalated_prior = Belief { rate: first.rate * ESCALATED_RATE_FACTOR, weight: PRIOR_WEIGHT };
        let escalated = self.posterior(cell, stage_key(key, Stage::Escalated), escalated_prior);
        let speed = self.speeds.get(&combine(key, cell.class)).or_else(|| self.speeds.get(&key));
        let speed = speed.copied().unwrap_or_default().decayed(now);
        Profile { first: first.estimate(), escalated: escalated.estimate(), speed }
    }

    /// Returns the account of a customer's class, or an empty one.
    #[must_use]
    pub fn account(&self, cell: Cell) -> Account {
        self.accounts.get(&self.resolve(cell).key()).copied().unwrap_or_default()
    }

    /// Adds a request that is about to run and is expected to pass at `rate`.
    ///
    /// It is added at the choice instead of at the answer, so that each of many
    /// concurrent requests takes into account what earlier ones may still cost.
    pub fn add_pending(&mut self, cell: Cell, rate: f64, target: f64) -> Pending {
        self.account_mut(cell).add_pending(rate, target)
    }

    /// Records that a request has escalated and is now expected to pass at `rate`.
    ///
    /// Requests that reach a later step are harder than average. If they kept the
    /// rate of the whole ladder, the unrated ones would count as better than they
    /// are, and the class would end below its target.
    pub fn update_pending(&mut self, cell: Cell, pending: Pending, rate: f64) -> Pending {
        self.account_mut(cell).update_pending(pending, rate)
    }

    /// Records the rating of a request's final answer.
    pub fn record_final_rating(&mut self, cell: Cell, pending: Pending, pass: bool) {
        self.account_mut(cell).record_rating(pending, pass);
    }

    /// Records that the rating of an answer is no longer expected.
    pub fn lapse(&mut self, cell: Cell, pending: Pending) {
        self.account_mut(cell).lapse(pending);
    }

    /// Removes a request that produced no answer.
    pub fn remove_pending(&mut self, cell: Cell, pending: Pending) {
        self.account_mut(cell).remove_pending(pending);
    }

    fn account_mut(&mut self, cell: Cell) -> &mut Account {
        let cell = self.register_class(cell);
        self.accounts.entry(cell.key()).or_default()
    }

    /// Returns the duration of a version's runs in a class, or in general if the
    /// class has none.
    #[must_use]
    pub fn speed(&self, cell: Cell, version: &Version, now: Timestamp) -> Speed {
        let general = version_key(version);
        let class = combine(general, self.resolve(cell).class);
        let learned = self.speeds.get(&class).or_else(|| self.speeds.get(&general));
        learned.copied().unwrap_or_default().decayed(now)
    }

    /// Records a finished run.
    pub fn record_run(&mut self, cell: Cell, version: &Version, millis: Millis, output_tokens: u32, now: Timestamp) {
        let general = version_key(version);
        let class = combine(general, self.register_class(cell).class);
        if self.speeds.len() >= MAX_ENTRIES {
            self.speeds.clear();
        }
        for key in [general, class] {
            self.speeds.entry(key).or_default().observe(millis, output_tokens, now);
        }
    }

    fn posterior(&self, cell: Cell, version: u64, prior: Belief) -> Belief {
        let general = prior.updated(self.counts.get(&version));
        let class = general.as_child_prior().updated(self.counts.get(&combine(version, cell.class)));
        class.as_child_prior().updated(self.counts.get(&combine(version, cell.key())))
    }

    fn count(&mut self, key: u64, pass: bool) {
        self.updates += 1;
        let updates = self.updates;
        if self.counts.len() >= MAX_ENTRIES && !self.counts.contains_key(&key) {
            self.evict();
        }
        self.counts.entry(key).or_default().add(pass, updates);
    }

    /// Evicts the counts that were not updated within the last [`MAX_ENTRIES`] updates,
    /// or all counts if none are that old. Takes linear time, but runs rarely.
    fn evict(&mut self) {
        let horizon = self.updates.saturating_sub(MAX_ENTRIES as u64);
        self.counts.retain(|_, counts| counts.last_update > horizon);
        if self.counts.len() >= MAX_ENTRIES {
            self.counts.clear();
        }
    }

    /// Returns the cell that `cell` is counted in, and registers its class.
    ///
    /// Callers choose the names of classes. A caller that puts a number into the
    /// name would create a cell per rating, so beyond [`MAX_CLASSES`] all further
    /// classes of a customer are counted in one cell.
    fn register_class(&mut self, cell: Cell) -> Cell {
        let classes = self.classes.entry(cell.customer).or_default();
        if classes.contains(&cell.class) {
            return cell;
        }
        if classes.len() < MAX_CLASSES {
            classes.push(cell.class);
            return cell;
        }
        Cell { class: 0, ..cell }
    }

    fn resolve(&self, cell: Cell) -> Cell {
        match self.classes.get(&cell.customer) {
            Some(classes) if classes.len() >= MAX_CLASSES && !classes.contains(&cell.class) => {
                Cell { class: 0, ..cell }
            }
            _ => cell,
        }
    }
}

/// Ratings counted under one key.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    pass: f64,
    fail: f64,
    last_update: u64,
}

impl Counts {
    fn add(&mut self, pass: bool, updates: u64) {
        let total = self.pass + self.fail;
        if total >= DECAY_RATINGS {
            let keep = (DECAY_RATINGS - 1.0) / total;
            self.pass *= keep;
            self.fail *= keep;
        }
        if pass {
            self.pass += 1.0;
        } else {
            self.fail += 1.0;
        }
        self.last_update = updates;
    }
}

/// A pass rate that counts as much as `weight` ratings.
#[derive(Debug, Clone, Copy)]
struct Belief {
    rate: f64,
    weight: f64,
}

impl Belief {
    fn updated(self, counts: Option<&Counts>) -> Self {
        let Some(counts) = counts else { return self };
        let weight = self.weight + counts.pass + counts.fail;
        Self { rate: self.rate.mul_add(self.weight, counts.pass) / weight, weight }
    }

    /// Returns the prior for the next lower level: the same rate with a bounded weight.
    fn as_child_prior(self) -> Self {
        let ratings = (self.weight - PRIOR_WEIGHT).max(0.0);
        Self {
            rate: self.rate,
            weight: PRIOR_WEIGHT + MAX_PARENT_WEIGHT * ratings / (ratings + PARENT_HALF_WEIGHT_RATINGS),
        }
    }

    fn estimate(self) -> Estimate {
        let variance = self.rate * (1.0 - self.rate) / (self.weight + 1.0);
        Estimate { mean: self.rate, deviation: variance.sqrt() }
    }
}

fn version_key(version: &Version) -> u64 {
    let number = hash::stable(version.number.as_str().as_bytes());
    hash::rendezvous(number, version.model.as_str().as_bytes())
}

fn stage_key(version: u64, stage: Stage) -> u64 {
    combine(version, stage as u64 + 1)
}

/// Combines two hashes. A collision would merge the ratings of two cells; with 64
/// bits its probability is negligible.
fn combine(a: u64, b: u64) -> u64 {
    hash::rendezvous(a, &b.to_le_bytes())
}
