//! Learned pass rates: how often a version's answers pass their rating, per
//! customer and request class.
//!
//! Ratings come late, are missing, or stop for an hour, so every figure comes
//! with its uncertainty. Three levels shrink towards each other: a version in
//! general, a version in a class, and a version in a class for one customer.
//! A new class therefore starts from what other customers saw, and a class
//! that nobody has seen starts with a wide spread, which the choice reads as
//! "not safe yet".
//!
//! Beside the rates stands one [`Account`] per customer and class: passes
//! ahead of or behind the target. It is what makes the target hold for the
//! answers really given, not only for the rates believed.

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

/// Keys are hashes already; this one only has to be quick and the same always.
type Hasher = BuildHasherDefault<DefaultHasher>;

/// Cells kept at each level; the one longest unused goes first.
const MAX_CELLS: usize = 65_536;
/// Classes learned per customer; further ones share one cell.
const MAX_CLASSES: usize = 64;
/// Ratings a cell remembers; older ones fade, so that a version that turns
/// bad shows within some hundreds of answers.
const MEMORY: f64 = 1_000.0;
/// Most ratings a parent level counts for in its child.
const PARENT_WEIGHT: f64 = 30.0;
/// Ratings at which a parent counts for half of that.
const PARENT_HALF: f64 = 30.0;
/// Ratings the blank prior counts for.
const BLANK_WEIGHT: f64 = 2.0;
/// Factor on the first-stage rate where an earlier step has failed and no
/// rating tells better: what fails once is harder than the rest.
const HARDER: f64 = 0.7;

/// Where in a cascade an answer was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// First answer to its request.
    First,
    /// After an earlier step's answer had failed its rating.
    Escalated,
}

/// Whose answers: one customer's in one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Cell {
    customer: u64,
    class: u64,
}

impl Cell {
    /// Nobody's: what holds in general.
    pub const ANY: Self = Self { customer: 0, class: 0 };

    /// The cell of a customer's class.
    #[must_use]
    pub fn new(customer: &Customer, class: &Class) -> Self {
        Self { customer: hash::stable(customer.as_str().as_bytes()), class: hash::stable(class.as_str().as_bytes()) }
    }

    fn key(self) -> u64 {
        mix(self.customer, self.class)
    }
}

/// A pass rate and how sure it is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Expected share that passes, 0 to 1.
    pub mean: f64,
    /// Standard deviation of that share.
    pub deviation: f64,
}

impl Estimate {
    /// The rate that holds with `z` standard deviations to spare.
    #[must_use]
    pub fn lower(&self, z: f64) -> f64 {
        z.mul_add(-self.deviation, self.mean).clamp(0.0, 1.0)
    }
}

/// What is known of a version in a customer's class.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Pass rate as the first answer.
    pub first: Estimate,
    /// Pass rate after another answer has failed.
    pub escalated: Estimate,
    /// How long its runs take.
    pub speed: Speed,
}

/// What a version's rate is taken for while it has no ratings.
#[derive(Debug, Clone, Copy)]
pub struct Guess<'a> {
    /// The version that a roll-out replaces by it.
    pub parent: Option<&'a Version>,
    /// The rate where nothing at all is known.
    pub blank: f64,
}

/// Everything learned about quality and speed.
#[derive(Debug, Clone, Default)]
pub struct Book {
    counts: HashMap<u64, Counts, Hasher>,
    accounts: HashMap<u64, Account, Hasher>,
    classes: HashMap<u64, Vec<u64>, Hasher>,
    speeds: HashMap<u64, Speed, Hasher>,
    clock: u64,
}

impl Book {
    /// Takes in one rating.
    pub fn rate(&mut self, cell: Cell, version: &Version, stage: Stage, pass: bool) {
        let cell = self.known(cell);
        let version = staged(version_key(version), stage);
        for key in [version, mix(version, cell.class), mix(version, cell.key())] {
            self.count(key, pass);
        }
    }

    /// What is known of a version in a customer's class.
    ///
    /// `guess` stands in for ratings while there are none.
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

    /// The account of a customer's class; empty when nothing is known.
    #[must_use]
    pub fn account(&self, cell: Cell) -> Account {
        self.accounts.get(&self.lookup(cell).key()).copied().unwrap_or_default()
    }

    /// Enters a request that is about to run, expected to pass at `rate`.
    ///
    /// Entered at the choice and not at the answer: of many requests at a time
    /// each must see what the ones before it may still cost the account.
    pub fn open(&mut self, cell: Cell, rate: f64, target: f64) -> Pending {
        self.account_mut(cell).open(rate, target)
    }

    /// Enters that a request has escalated and is now expected to pass at `rate`.
    ///
    /// Those that reach a later step are the harder ones. Left at the whole
    /// ladder's rate, the unrated among them would count as better than they
    /// are, and the class would end below its target.
    pub fn escalated(&mut self, cell: Cell, pending: Pending, rate: f64) -> Pending {
        self.account_mut(cell).reopen(pending, rate)
    }

    /// Enters the rating of a request's final answer.
    pub fn close(&mut self, cell: Cell, pending: Pending, pass: bool) {
        self.account_mut(cell).close(pending, pass);
    }

    /// Enters that an answer's rating will not come.
    pub fn lapse(&mut self, cell: Cell, pending: Pending) {
        self.account_mut(cell).lapse(pending);
    }

    /// Takes out a request that has given no answer.
    pub fn void(&mut self, cell: Cell, pending: Pending) {
        self.account_mut(cell).void(pending);
    }

    fn account_mut(&mut self, cell: Cell) -> &mut Account {
        let cell = self.known(cell);
        self.accounts.entry(cell.key()).or_default()
    }

    /// How long a version's runs take in a class, or else in general.
    #[must_use]
    pub fn speed(&self, cell: Cell, version: &Version, now: Timestamp) -> Speed {
        let general = version_key(version);
        let class = mix(general, self.lookup(cell).class);
        let known = self.speeds.get(&class).or_else(|| self.speeds.get(&general));
        known.copied().unwrap_or_default().aged(now)
    }

    /// Takes in one finished run.
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

    /// Drops the older half of the cells: rare, and linear only then.
    fn forget(&mut self) {
        let horizon = self.clock.saturating_sub(MAX_CELLS as u64);
        self.counts.retain(|_, counts| counts.touched > horizon);
        if self.counts.len() >= MAX_CELLS {
            self.counts.clear();
        }
    }

    /// The cell that is learned for `cell`.
    ///
    /// Callers name classes freely. One that put a number into the name would
    /// fill the book with cells of one rating each; past the limit a customer's
    /// further classes are learned as one.
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

/// Ratings of one cell at one level.
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

/// A rate worth `weight` ratings.
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

    /// What the next level down takes over: the rate, at a bounded weight.
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

/// One hash of two; a collision would mix two cells' ratings and is as
/// unlikely as any of 64 bits.
fn mix(a: u64, b: u64) -> u64 {
    hash::rendezvous(a, &b.to_le_bytes())
}
