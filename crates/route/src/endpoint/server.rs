//! One endpoint's load as this instance knows it.

use std::collections::VecDeque;

use world::{Millis, Timestamp, endpoint::Endpoint};

use super::{Report, health::Health};

/// Own runs are remembered this long, to tell what an old report counted.
const HISTORY_MS: Millis = 5_000;
/// Own runs are remembered at this grain.
const GRAIN_MS: Millis = 50;
/// Most runs that each other instance is thought to send for one of ours.
const MAX_RATIO: f64 = 2.0;
/// Least age of a report, in runs.
const LEAST_AGE: f64 = 0.01;

#[derive(Debug)]
pub(super) struct Server {
    pub endpoint: Endpoint,
    pub health: Health,
    pub leaving: bool,
    own: u32,
    sent: u32,
    own_then: f64,
    sent_then: u32,
    history: VecDeque<Sample>,
    others: f64,
    as_of: Timestamp,
}

/// An endpoint's load as far as it is known.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    /// This instance's runs.
    pub own: f64,
    /// This instance's runs at the last report.
    pub own_then: f64,
    /// The others' runs at the last report.
    pub others: f64,
    /// Runs this instance has sent since the last report.
    pub sent: f64,
    /// When the last report held.
    pub as_of: Timestamp,
    /// Runs it batches.
    pub slots: f64,
}

/// What the endpoints weighed together have in common.
#[derive(Debug, Clone, Copy)]
pub(super) struct Field {
    /// Others' runs for one of ours, as of the reports.
    ratio: f64,
    /// Time of a run in a batch, in milliseconds.
    run_ms: f64,
}

impl Field {
    pub fn of<'a>(seen: impl Iterator<Item = &'a Seen>, run_ms: f64, instances: usize) -> Self {
        let (mut others, mut own) = (0.0, 0.0);
        for server in seen {
            others += server.others;
            own += server.own_then;
        }
        let peers = f64::from(u32::try_from(instances.saturating_sub(1)).unwrap_or(u32::MAX));
        Self { ratio: (others / f64::max(own, 1.0)).min(MAX_RATIO * peers), run_ms }
    }
}

impl Seen {
    /// The others' runs by now.
    ///
    /// Of the runs in the report some have ended, at the pace of the batch.
    /// Of those that others have sent since, nothing is heard yet; but they
    /// decide as we do, with the same reports and the same preferred
    /// endpoints, so they have sent in proportion to what we have sent. Without
    /// that every instance sees the same idle endpoint for the two seconds that
    /// a report is old, and all of them fill it.
    pub fn others_now(&self, field: &Field, now: Timestamp) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "an age is far below 2^52 milliseconds")]
        let age_ms = now.since(self.as_of) as f64;
        let runs = (age_ms / field.run_ms).max(LEAST_AGE);
        let faded = (-runs).exp();
        let then = self.own_then + self.others;
        let came = field.ratio * self.sent;
        if then <= self.slots {
            return self.others * faded + came * (1.0 - faded) / runs;
        }
        let left = ((then - self.slots * runs) / then).max(faded);
        self.others * left + came
    }
}

/// Own runs under way, and sent so far, from a moment on.
#[derive(Debug, Clone, Copy)]
struct Sample {
    from: Timestamp,
    own: u32,
    sent: u32,
}

impl Server {
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            health: Health::default(),
            leaving: false,
            own: 0,
            sent: 0,
            own_then: 0.0,
            sent_then: 0,
            history: VecDeque::new(),
            others: 0.0,
            as_of: Timestamp(0),
        }
    }

    pub fn dispatched(&mut self, now: Timestamp) {
        self.own += 1;
        self.sent = self.sent.wrapping_add(1);
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
        let then = self.at(report.as_of);
        self.own_then = f64::from(then.own);
        self.sent_then = then.sent;
        self.others = f64::from(total.saturating_sub(then.own));
        if report.slots > 0 {
            self.endpoint.slots = report.slots;
        }
    }

    /// All that a choice looks at.
    pub fn seen(&self) -> Seen {
        Seen {
            own: f64::from(self.own),
            own_then: self.own_then,
            others: self.others,
            sent: f64::from(self.sent.wrapping_sub(self.sent_then)),
            as_of: self.as_of,
            slots: f64::from(self.endpoint.slots.max(1)),
        }
    }

    fn at(&self, time: Timestamp) -> Sample {
        let held = self.history.iter().rev().find(|sample| sample.from <= time).or(self.history.front());
        held.copied().unwrap_or(Sample { from: time, own: self.own, sent: self.sent })
    }

    fn remember(&mut self, now: Timestamp) {
        match self.history.back_mut() {
            Some(last) if now.since(last.from) < GRAIN_MS => (last.own, last.sent) = (self.own, self.sent),
            _ => self.history.push_back(Sample { from: now, own: self.own, sent: self.sent }),
        }
        // The oldest sample kept is the one that holds at the horizon.
        while self.history.get(1).is_some_and(|second| now.since(second.from) > HISTORY_MS) {
            self.history.pop_front();
        }
    }
}
