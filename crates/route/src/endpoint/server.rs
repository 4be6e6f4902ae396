//! Load of one endpoint as this instance knows it.

use std::collections::VecDeque;

use world::{Millis, Timestamp, endpoint::Endpoint};

use super::{Report, health::Health};

/// Time for which the number of own runs is kept, to subtract it from the total of an old
/// report.
const HISTORY_MS: Millis = 5_000;
/// Time resolution of that history.
const HISTORY_RESOLUTION_MS: Millis = 50;
/// Maximum number of runs that each other instance is assumed to send per own run.
const MAX_SENT_RATIO: f64 = 2.0;
/// Minimum age of a report, as a multiple of a run's duration. Avoids a division by zero.
const MIN_AGE_RUNS: f64 = 0.01;

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
    own_at_report: f64,
    /// Runs that this instance had sent in total at the last report.
    sent_at_report: u32,
    /// Recent history of `own` and `sent`, oldest first.
    history: VecDeque<Sample>,
    /// Active runs of other instances at the last report.
    others: f64,
    /// Time that the last report describes.
    as_of: Timestamp,
}

/// Snapshot of an endpoint's known load.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSnapshot {
    /// Active runs of this instance.
    pub own: f64,
    /// Active runs of this instance at the last report.
    pub own_at_report: f64,
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
pub(super) struct LoadEstimator {
    /// Runs of other instances per own run, at the time of the reports.
    ratio: f64,
    /// Duration of a run in a batch, in milliseconds.
    run_ms: f64,
}

impl LoadEstimator {
    pub fn new<'a>(snapshots: impl Iterator<Item = &'a LoadSnapshot>, run_ms: f64, instances: usize) -> Self {
        let (mut others, mut own) = (0.0, 0.0);
        for server in snapshots {
            others += server.others;
            own += server.own_at_report;
        }
        let peers = f64::from(u32::try_from(instances.saturating_sub(1)).unwrap_or(u32::MAX));
        Self { ratio: (others / f64::max(own, 1.0)).min(MAX_SENT_RATIO * peers), run_ms }
    }
}

impl LoadSnapshot {
    /// Estimates the current number of active runs of other instances.
    ///
    /// Some of the reported runs have ended, at the rate at which the batch completes. Runs
    /// that others sent after the report are unknown. The others decide with the same
    /// reports and the same preferred endpoints, so they are assumed to have sent runs in
    /// proportion to this instance. Without that estimate every instance would see the same
    /// idle endpoint for the two seconds that a report is old, and all of them would fill
    /// it.
    pub fn estimate_others(&self, estimator: &LoadEstimator, now: Timestamp) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "an age is far below 2^52 milliseconds")]
        let age_ms = now.since(self.as_of) as f64;
        let runs = (age_ms / estimator.run_ms).max(MIN_AGE_RUNS);
        let decayed = (-runs).exp();
        let total_at_report = self.own_at_report + self.others;
        let arrived = estimator.ratio * self.sent;
        if total_at_report <= self.slots {
            // No run was queued, so runs end independently, those sent since the report too.
            return self.others * decayed + arrived * (1.0 - decayed) / runs;
        }
        // A queue keeps the batch full, so `slots` runs end per duration of a run.
        let left = ((total_at_report - self.slots * runs) / total_at_report).max(decayed);
        self.others * left + arrived
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
            own_at_report: 0.0,
            sent_at_report: 0,
            history: VecDeque::new(),
            others: 0.0,
            as_of: Timestamp(0),
        }
    }

    pub fn record_dispatch(&mut self, now: Timestamp) {
        self.own += 1;
        self.sent = self.sent.wrapping_add(1);
        self.record_sample(now);
    }

    pub fn record_end(&mut self, now: Timestamp) {
        self.own = self.own.saturating_sub(1);
        self.record_sample(now);
    }

    /// Applies a report. All reported runs that are not own runs belong to other instances.
    ///
    /// The number of own runs is always known exactly, so only the others' part is as old
    /// as the report.
    pub fn apply_report(&mut self, report: &Report<'_>) {
        if report.as_of < self.as_of {
            return;
        }
        self.as_of = report.as_of;
        let total = report.running.saturating_add(report.queued);
        let at_report = self.sample_at(report.as_of);
        self.own_at_report = f64::from(at_report.own);
        self.sent_at_report = at_report.sent;
        self.others = f64::from(total.saturating_sub(at_report.own));
        if report.slots > 0 {
            self.endpoint.slots = report.slots;
        }
    }

    /// Returns the load data that a choice needs.
    pub fn load_snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            own: f64::from(self.own),
            own_at_report: self.own_at_report,
            others: self.others,
            sent: f64::from(self.sent.wrapping_sub(self.sent_at_report)),
            as_of: self.as_of,
            slots: f64::from(self.endpoint.slots.max(1)),
        }
    }

    /// Returns the sample that was valid at a time.
    fn sample_at(&self, time: Timestamp) -> Sample {
        let found = self.history.iter().rev().find(|sample| sample.from <= time).or(self.history.front());
        found.copied().unwrap_or(Sample { from: time, own: self.own, sent: self.sent })
    }

    /// Adds the current numbers of own runs to the history.
    fn record_sample(&mut self, now: Timestamp) {
        match self.history.back_mut() {
            Some(last) if now.since(last.from) < HISTORY_RESOLUTION_MS => (last.own, last.sent) = (self.own, self.sent),
            _ => self.history.push_back(Sample { from: now, own: self.own, sent: self.sent }),
        }
        // Keep the newest sample that is older than the horizon, since it is valid at the
        // horizon.
        while self.history.get(1).is_some_and(|second| now.since(second.from) > HISTORY_MS) {
            self.history.pop_front();
        }
    }
}
