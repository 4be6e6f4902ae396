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
mod ledger;
mod speed;

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
};

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp, contract::Customer, hash, model::Version, request::Class};

pub use account::{Account, Pending};
pub use ledger::{Answer, LAPSE_MS, Ledger};
pub use speed::Speed;

/// Hasher of keys that are already hashes: fast and deterministic.
type Hasher = BuildHasherDefault<DefaultHasher>;

/// Maximum number of cells; those updated least recently are evicted first.
const MAX_CELLS: usize = 65_536;
/// Maximum number of classes learned per customer; further classes share one cell.
const MAX_CLASSES: usize = 64;
/// Number of ratings at which the older ratings of a cell start to decay, so that
/// a regression of a version shows within some hundreds of answers.
const MEMORY: f64 = 1_000.0;
/// Maximum weight of a parent level in its child, in ratings.
const PARENT_WEIGHT: f64 = 30.0;
/// Number of ratings at which a parent has half of [`PARENT_WEIGHT`].
const PARENT_HALF: f64 = 30.0;
/// Weight of the prior without ratings, in ratings.
const BLANK_WEIGHT: f64 = 2.0;
/// Factor from the pass rate of first answers to that of escalated answers without
/// ratings: requests whose first answer failed are harder than average.
const HARDER: f64 = 0.7;

/// Position in the ladder at which an answer was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// First answer to the request.
    First,
    /// Answer after that of an earlier step failed its rating.
    Escalated,
}

/// One request class of one customer; the finest level at which ratings are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Cell {
    customer: u64,
    class: u64,
}

impl Cell {
    /// No particular customer and class: selects the figures of a version in general.
    pub const ANY: Self = Self { customer: 0, class: 0 };

    /// Returns the cell of a customer's class.
    #[must_use]
    pub fn new(customer: &Customer, class: &Class) -> Self {
        Self { customer: hash::stable(customer.as_str().as_bytes()), class: hash::stable(class.as_str().as_bytes()) }
    }

    fn key(self) -> u64 {
        mix(self.customer, self.class)
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
    pub fn lower(&self, z: f64) -> f64 {
        z.mul_add(-self.deviation, self.mean).clamp(0.0, 1.0)
    }
}

/// Estimated quality and speed of a version in a customer's class.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Pass rate of first answers.
    pub first: Estimate,
    /// Pass rate of answers after another version's answer failed.
    pub escalated: Estimate,
    /// Duration of its runs.
    pub speed: Speed,
}

/// Prior of a version's pass rate while it has no ratings.
#[derive(Debug, Clone, Copy)]
pub struct Guess<'a> {
    /// Version that a roll-out replaces by this one; its pass rate is the prior.
    pub parent: Option<&'a Version>,
    /// Pass rate to assume if there are no ratings at all.
    pub blank: f64,
}

/// Learned quality and speed of versions, and the accounts of customers.
#[derive(Debug, Clone, Default)]
pub struct Book {
    counts: HashMap<u64, Counts, Hasher>,
    accounts: HashMap<u64, Account, Hasher>,
    classes: HashMap<u64, Vec<u64>, Hasher>,
    speeds: HashMap<u64, Speed, Hasher>,
    clock: u64,
}

impl Book {
    /// Records a rating.
    pub fn rate(&mut self, cell: Cell, version: &Version, stage: Stage, pass: bool) {
        let cell = self.known(cell);
        let version = staged(version_key(version), stage);
        for key in [version, mix(version, cell.class), mix(version, cell.key())] {
            self.count(key, pass);
        }
    }

    /// Returns the estimated quality and speed of a version in a customer's class.
    ///
    /// `guess` is the prior while there are no ratings.
    #[must_use]
    pub fn profile(&self, cell: Cell, version: &Version, guess: Guess<'_>, now: Timestamp) -> Profile {
        let cell = self.lookup(cell);
        let unknown = Belief { rate: guess.blank, weight: BLANK_WEIGHT };
        let key = version_key(version);
        let parent = guess.parent.map_or(unknown, |parent| {
            let old = self.posterior(cell, staged(version_key(parent), Stage::First), unknown);
            Belief { rate: old.rate, weight: BLANK_WEIGHT }
        });
        let first = self.posterior(cell, staged(key, Stage::First), parent);
        let harder = Belief { rate: first.rate * HARDER, weight: BLANK_WEIGHT };
        let escalated = self.posterior(cell, staged(key, Stage::Escalated), harder);
        let speed = self.speeds.get(&mix(key, cell.class)).or_else(|| self.speeds.get(&key));
        let speed = speed.copied().unwrap_or_default().aged(now);
        Profile { first: first.estimate(), escalated: escalated.estimate(), speed }
    }

    /// Returns the account of a customer's class, or an empty one.
    #[must_use]
    pub fn account(&self, cell: Cell) -> Account {
        self.accounts.get(&self.lookup(cell).key()).copied().unwrap_or_default()
    }

    /// Adds a request that is about to run and is expected to pass at `rate`.
    ///
    /// It is added at the choice instead of at the answer, so that each of many
    /// concurrent requests takes into account what earlier ones may still cost.
    pub fn open(&mut self, cell: Cell, rate: f64, target: f64) -> Pending {
        self.account_mut(cell).open(rate, target)
    }

    /// Records that a request has escalated and is now expected to pass at `rate`.
    ///
    /// Requests that reach a later step are harder than average. If they kept the
    /// rate of the whole ladder, the unrated ones would count as better than they
    /// are, and the class would end below its target.
    pub fn escalated(&mut self, cell: Cell, pending: Pending, rate: f64) -> Pending {
        self.account_mut(cell).reopen(pending, rate)
    }

    /// Records the rating of a request's final answer.
    pub fn close(&mut self, cell: Cell, pending: Pending, pass: bool) {
        self.account_mut(cell).close(pending, pass);
    }

    /// Records that the rating of an answer is no longer expected.
    pub fn lapse(&mut self, cell: Cell, pending: Pending) {
        self.account_mut(cell).lapse(pending);
    }

    /// Removes a request that produced no answer.
    pub fn void(&mut self, cell: Cell, pending: Pending) {
        self.account_mut(cell).void(pending);
    }

    fn account_mut(&mut self, cell: Cell) -> &mut Account {
        let cell = self.known(cell);
        self.accounts.entry(cell.key()).or_default()
    }

    /// Returns the duration of a version's runs in a class, or in general if the
    /// class has none.
    #[must_use]
    pub fn speed(&self, cell: Cell, version: &Version, now: Timestamp) -> Speed {
        let general = version_key(version);
        let class = mix(general, self.lookup(cell).class);
        let known = self.speeds.get(&class).or_else(|| self.speeds.get(&general));
        known.copied().unwrap_or_default().aged(now)
    }

    /// Records a finished run.
    pub fn ran(&mut self, cell: Cell, version: &Version, millis: Millis, output_tokens: u32, now: Timestamp) {
        let general = version_key(version);
        let class = mix(general, self.known(cell).class);
        if self.speeds.len() >= MAX_CELLS {
            self.speeds.clear();
        }
        for key in [general, class] {
            self.speeds.entry(key).or_default().observe(millis, output_tokens, now);
        }
    }

    fn posterior(&self, cell: Cell, version: u64, blank: Belief) -> Belief {
        let general = blank.updated(self.counts.get(&version));
        let class = general.as_parent().updated(self.counts.get(&mix(version, cell.class)));
        class.as_parent().updated(self.counts.get(&mix(version, cell.key())))
    }

    fn count(&mut self, key: u64, pass: bool) {
        self.clock += 1;
        let clock = self.clock;
        if self.counts.len() >= MAX_CELLS && !self.counts.contains_key(&key) {
            self.forget();
        }
        self.counts.entry(key).or_default().add(pass, clock);
    }

    /// Evicts the cells that were not updated within the last [`MAX_CELLS`] updates,
    /// or all cells if none are that old. Takes linear time, but runs rarely.
    fn forget(&mut self) {
        let horizon = self.clock.saturating_sub(MAX_CELLS as u64);
        self.counts.retain(|_, counts| counts.touched > horizon);
        if self.counts.len() >= MAX_CELLS {
            self.counts.clear();
        }
    }

    /// Returns the cell that `cell` is counted in, and registers its class.
    ///
    /// Callers choose the names of classes. A caller that puts a number into the
    /// name would create a cell per rating, so beyond [`MAX_CLASSES`] all further
    /// classes of a customer are counted in one cell.
    fn known(&mut self, cell: Cell) -> Cell {
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

    fn lookup(&self, cell: Cell) -> Cell {
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
    touched: u64,
}

impl Counts {
    fn add(&mut self, pass: bool, clock: u64) {
        let total = self.pass + self.fail;
        if total >= MEMORY {
            let keep = (MEMORY - 1.0) / total;
            self.pass *= keep;
            self.fail *= keep;
        }
        if pass {
            self.pass += 1.0;
        } else {
            self.fail += 1.0;
        }
        self.touched = clock;
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
    fn as_parent(self) -> Self {
        let seen = (self.weight - BLANK_WEIGHT).max(0.0);
        Self { rate: self.rate, weight: BLANK_WEIGHT + PARENT_WEIGHT * seen / (seen + PARENT_HALF) }
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

fn staged(version: u64, stage: Stage) -> u64 {
    mix(version, stage as u64 + 1)
}

/// Combines two hashes. A collision would merge the ratings of two cells; with 64
/// bits its probability is negligible.
fn mix(a: u64, b: u64) -> u64 {
    hash::rendezvous(a, &b.to_le_bytes())
}
