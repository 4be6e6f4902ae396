//! Waiting requests and recent usage of one customer.

use std::collections::{BTreeSet, VecDeque};

use world::Timestamp;

use super::{Key, order::Fit};

/// Time in which past usage decays to 1/e, about a third, in milliseconds.
const USAGE_DECAY_MS: f64 = 5_000.0;

/// Number of turns of a customer after which the request that has waited longest goes next,
/// whatever its rank and size. Low ranks and large requests thus get at least a seventeenth of
/// the turns, and higher ranks lose no more than that.
const MAX_PASSES: u32 = 16;

/// Place of a request among those of its customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub rank: u8,
    pub deadline: Timestamp,
    pub size: u64,
    pub key: Key,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Flow {
    weight: u32,
    start: f64,
    usage_ms: f64,
    usage_updated_at: Timestamp,
    places: BTreeSet<Place>,
    /// Requests by arrival, if the time for which they may be passed over is bounded.
    arrivals: VecDeque<Key>,
    /// Number of turns since the request that has waited longest had one.
    passes: u32,
}

impl Flow {
    pub fn push(&mut self, place: Place, weight: u32, virtual_time: f64, is_bounded: bool) {
        self.weight = weight.max(1);
        // A customer that was idle starts at the current virtual time: it neither
        // accumulates turns for a later burst nor pays for turns that no other
        // customer wanted.
        if self.places.is_empty() {
            self.start = self.start.max(virtual_time);
        }
        self.places.insert(place);
        if is_bounded {
            self.arrivals.push_back(place.key);
        }
    }

    /// Returns the request that goes next: of the first rank that has any, the first that can
    /// meet its target time, or else the first that can meet its deadline. With `is_bounded`,
    /// the request that has waited longest goes next after [`MAX_PASSES`] others.
    pub fn next(&self, fit: impl Fn(Key) -> Fit, is_bounded: bool) -> Option<Key> {
        if is_bounded && self.passes >= MAX_PASSES {
            let oldest = self.arrivals.iter().copied().find(|key| fit(*key) != Fit::Never);
            if oldest.is_some() {
                return oldest;
            }
        }
        let mut first: Option<&Place> = None;
        for place in &self.places {
            if first.is_some_and(|first| place.rank > first.rank) {
                break;
            }
            match fit(place.key) {
                Fit::Target => return Some(place.key),
                Fit::Deadline => first = first.or(Some(place)),
                Fit::Never => {}
            }
        }
        first.map(|place| place.key)
    }

    /// Counts a turn of `key`, which is still among the waiting requests.
    pub fn count_passes(&mut self, key: Key) {
        let is_oldest = self.arrivals.front() == Some(&key);
        self.passes = if is_oldest || self.passes >= MAX_PASSES { 0 } else { self.passes + 1 };
    }

    pub fn remove(&mut self, place: Place) {
        self.places.remove(&place);
        if let Some(index) = self.arrivals.iter().position(|key| *key == place.key) {
            self.arrivals.remove(index);
        }
    }

    /// Records a run that starts now: advances the virtual time of the next turn by its
    /// duration or cost divided by the weight, and adds it to the usage.
    pub fn charge(&mut self, amount: f64, from: f64, now: Timestamp) {
        self.start = from + amount / f64::from(self.weight.max(1));
        self.usage_ms = self.recent_usage_ms(now) + amount;
        self.usage_updated_at = now;
    }

    /// Returns the recent usage in milliseconds of run time, decayed to `now`.
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 milliseconds")]
    pub fn recent_usage_ms(&self, now: Timestamp) -> f64 {
        self.usage_ms * (-(now.since(self.usage_updated_at) as f64) / USAGE_DECAY_MS).exp()
    }

    /// Returns the virtual time of the next turn.
    pub fn start(&self) -> f64 {
        self.start
    }

    pub fn weight(&self) -> u32 {
        self.weight
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of requests that run before a new one with this deadline.
    pub fn count_ahead(&self, deadline: Timestamp) -> u64 {
        self.places.iter().take_while(|place| place.deadline <= deadline).count() as u64
    }

    /// Returns the cost of the requests that go before a new one at this place.
    pub fn cost_ahead(&self, new: Place, cost: impl Fn(Key) -> f64) -> f64 {
        let order = |place: &Place| (place.rank, place.deadline, place.size);
        self.places.iter().take_while(|place| order(place) <= order(&new)).map(|place| cost(place.key)).sum()
    }

    /// Returns the cost of the waiting requests of a rank.
    pub fn cost_of_rank(&self, rank: u8, cost: impl Fn(Key) -> f64) -> f64 {
        self.places.iter().filter(|place| place.rank == rank).map(|place| cost(place.key)).sum()
    }
}
