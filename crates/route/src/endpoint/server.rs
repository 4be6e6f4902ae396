//! One endpoint's load as this instance knows it.

use std::collections::VecDeque;

use world::{Millis, Timestamp, endpoint::Endpoint};

use super::{Report, health::Health};

/// Own runs are remembered this long, to tell what an old report counted.
const HISTORY_MS: Millis = 5_000;
/// Own runs are remembered at this grain.
const GRAIN_MS: Millis = 50;

#[derive(Debug)]
pub(super) struct Server {
    pub endpoint: Endpoint,
    pub health: Health,
    pub leaving: bool,
    own: u32,
    history: VecDeque<Sample>,
    others: f64,
    as_of: Timestamp,
}

/// Own runs under way from a moment on.
#[derive(Debug, Clone, Copy)]
struct Sample {
    from: Timestamp,
    own: u32,
}

impl Server {
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            health: Health::default(),
            leaving: false,
            own: 0,
            history: VecDeque::new(),
            others: 0.0,
            as_of: Timestamp(0),
        }
    }

    pub fn dispatched(&mut self, now: Timestamp) {
        self.own += 1;
        self.remember(now);
    }

    pub fn ended(&mut self, now: Timestamp) {
        self.own = self.own.saturating_sub(1);
        self.remember(now);
    }

    /// Takes in a report: what of it is not ours is the others'.
    ///
    /// Our own part is known exactly as of now, so only the others' part is as
    /// old as the report.
    pub fn report(&mut self, report: &Report<'_>) {
        if report.as_of < self.as_of {
            return;
        }
        self.as_of = report.as_of;
        let total = report.running.saturating_add(report.queued);
        self.others = f64::from(total.saturating_sub(self.own_at(report.as_of)));
        if report.slots > 0 {
            self.endpoint.slots = report.slots;
        }
    }

    /// Runs here, as a share of the slots, one more included.
    pub fn load(&self, _now: Timestamp) -> f64 {
        (f64::from(self.own) + self.others + 1.0) / f64::from(self.endpoint.slots.max(1))
    }

    /// Slots thought to be free.
    pub fn free(&self, _now: Timestamp) -> f64 {
        (f64::from(self.endpoint.slots) - f64::from(self.own) - self.others).max(0.0)
    }

    fn own_at(&self, time: Timestamp) -> u32 {
        self.history.iter().rev().find(|sample| sample.from <= time).map_or(0, |sample| sample.own)
    }

    fn remember(&mut self, now: Timestamp) {
        match self.history.back_mut() {
            Some(last) if now.since(last.from) < GRAIN_MS => last.own = self.own,
            _ => self.history.push_back(Sample { from: now, own: self.own }),
        }
        // The oldest sample kept is the one that holds at the horizon.
        while self.history.get(1).is_some_and(|second| now.since(second.from) > HISTORY_MS) {
            self.history.pop_front();
        }
    }
}
