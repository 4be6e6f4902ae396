//! Load of one endpoint as this instance knows it.

use std::collections::VecDeque;

use world::{Millis, Timestamp, endpoint::Endpoint};

use super::{Report, health::Health};

/// Time for which the number of own runs is kept, to subtract it from the total of an old
/// report.
const HISTORY_MS: Millis = 5_000;
/// Time resolution of that history.
const GRAIN_MS: Millis = 50;
/// Maximum number of runs that each other instance is assumed to send per own run.
const MAX_RATIO: f64 = 2.0;
/// Minimum age of a report, as a multiple of a run's duration.
const LEAST_AGE: f64 = 0.01;

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct Server {
    pub endpoint: Endpoint,
    pub health: Health,
    pub leaving: bool,
    /// Active runs of this instance.
    own: u32,
    /// Runs that this instance has sent in total, wrapping around.
    sent: u32,
    /// Active runs of this instance at the last report.
    own_then: f64,
    /// Runs that this instance had sent in total at the last report.
    sent_then: u32,
    /// Recent history of `own` and `sent`, oldest first.
    history: VecDeque<Sample>,
    /// Active runs of other instances at the last report.
    others: f64,
    /// Time that the last report describes.
    as_of: Timestamp,
}

/// Snapshot of an endpoint's known load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    /// Active runs of this instance.
    pub own: f64,
    /// Active runs of this instance at the last report.
    pub own_then: f64,
    /// Active runs of other instances at the last report.
    pub others: f64,
    /// Runs that this instance has sent since the last report.
    pub sent: f64,
    /// Time that the last report describes.
    pub as_of: Timestamp,
    /// Maximum number of runs in a batch.
    pub slots: f64,
}

/// Estimates over all endpoints that are considered together.
#[derive(Debug, Clone, Copy)]
pub(super) struct Field {
    /// Runs of other instances per own run, at the time of the reports.
    ratio: f64,
    /// Duration of a run in a batch, in milliseconds.
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
    /// Estimates the current number of active runs of other instances.
    ///
    /// Some of the reported runs have ended, at the rate at which the batch completes. Runs
    /// that others sent after the report are unknown. The others decide with the same
    /// reports and the same preferred endpoints, so they are assumed to have sent runs in
    /// proportion to this instance. Without that estimate every instance would see the same
    /// idle endpoint for the two seconds that a report is old, and all of them would fill
    /// it.
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

/// Number of active own runs, and of own runs sent in total, from a point in time on.
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

    /// Applies a report. All reported runs that are not own runs belong to other instances.
    ///
    /// The number of own runs is always known exactly, so only the others' part is as old
    /// as the report.
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

    /// Returns the load data that a choice needs.
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

    /// Returns the sample that was valid at a time.
    fn at(&self, time: Timestamp) -> Sample {
        let held = self.history.iter().rev().find(|sample| sample.from <= time).or(self.history.front());
        held.copied().unwrap_or(Sample { from: time, own: self.own, sent: self.sent })
    }

    /// Adds the current numbers of own runs to the history.
    fn remember(&mut self, now: Timestamp) {
        match self.history.back_mut() {
            Some(last) if now.since(last.from) < GRAIN_MS => (last.own, last.sent) = (self.own, self.sent),
            _ => self.history.push_back(Sample { from: now, own: self.own, sent: self.sent }),
        }
        // Keep the newest sample that is older than the horizon, since it is valid at the
        // horizon.
        while self.history.get(1).is_some_and(|second| now.since(second.from) > HISTORY_MS) {
            self.history.pop_front();
        }
    }
}
