//! An ordered roll-out, its stage at this instance and the evidence for it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt::Write,
    time::Duration,
};

use route::relay::canary::{self, Bound, Evidence, Progress, RouteTallies, Stage, Tallies, Tally};

use super::{Arm, Report, Request};
use crate::{
    clock,
    dispatcher::{fleet::short_hash, peers::Told},
    rollout::Rollout,
};

/// Maximum number of routes, and of instances, whose evidence is named in a log line.
const MAX_LOGGED: usize = 24;

/// Time over which the recent rate of requests is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time over which a burst is recognized.
const BURST_WINDOW: Duration = Duration::from_millis(1_200);

/// Time before the end of a roll-out's time from which its stage is checked more often.
const LAST_CHECKS: Duration = Duration::from_secs(4);

/// Minimum time from which that rate is known.
const MIN_RATE_SPAN: Duration = Duration::from_millis(800);

/// An ordered roll-out and its progress.
#[derive(Debug, Clone)]
pub(super) struct Order {
    pub rollout: Rollout,
    stage: Stage,
    /// When this instance entered the stage.
    stage_since: Duration,
    /// When the order was first seen at any instance.
    since: Duration,
    /// This instance's own evidence.
    own: RouteTallies,
    /// Latest report of each start of another instance. Those of instances that are lost or
    /// start again remain.
    reports: BTreeMap<Teller, Received>,
    /// Sum of the evidence in `reports`, as of the last advance.
    told: RouteTallies,
    /// Start of the shift, if it has begun.
    shift: Option<Shift>,
    /// Number of requests sent to either version at the last advances, the latest last.
    sent: VecDeque<(Duration, u32)>,
}

/// A start of an instance that reports its evidence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Teller {
    instance: String,
    start: u64,
}

/// Evidence that another instance has reported.
#[derive(Debug, Clone)]
struct Received {
    stage: Stage,
    own: RouteTallies,
    at: Duration,
}

/// Start of a roll-out's shift, as seen at this instance.
#[derive(Debug, Clone)]
struct Shift {
    since: Duration,
    /// Evidence of all instances until then.
    trial: RouteTallies,
}

/// What an instance knows of a version under roll-out when it sends a request there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// Stage of the roll-out.
    pub stage: Stage,
    /// Time since this instance entered the stage.
    pub stage_age: Duration,
    /// Time since the order was first seen at any instance.
    pub elapsed: Duration,
    /// This instance's own evidence about the new version.
    pub own: Tally,
    /// Other instances' evidence about the new version.
    pub told: Tally,
    /// Number of starts of instances in `told`.
    pub told_by: usize,
    /// Age of the oldest of their reports.
    pub oldest_report: Option<Duration>,
    /// All evidence about both versions on the request's route.
    pub route: Tallies,
}

impl Order {
    pub fn new(rollout: Rollout, stage: Stage, now: Duration) -> Self {
        Self {
            rollout,
            stage,
            stage_since: now,
            since: now,
            own: RouteTallies::default(),
            reports: BTreeMap::new(),
            told: RouteTallies::default(),
            shift: None,
            sent: VecDeque::new(),
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns when the order was first seen at any instance.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns the time since the order was first seen at any instance.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Whether a request is assigned to the new version.
    pub fn takes(&self, request: Request, now: Duration) -> bool {
        let trial_share = request.bound.trial_share(self.rollout.max_duration);
        canary::uses_new_version(self.stage, self.elapsed(now), request.session, request.settled, trial_share)
    }

    /// Whether the version gets all requests, or may do so soon.
    pub fn decides_soon(&self, now: Duration) -> bool {
        let left = self.rollout.max_duration.saturating_sub(self.elapsed(now));
        self.stage == Stage::Shift || (self.stage == Stage::Trial && left < LAST_CHECKS && !left.is_zero())
    }

    /// Returns the hash that identifies the order in news.
    pub fn hash(&self) -> u32 {
        short_hash(&format!("{}/{}", self.rollout.service, self.rollout.target))
    }

    pub fn count(&mut self, route: u32, arm: Arm, tally: Tally) {
        let tallies = match arm {
            Arm::New => Tallies { new: tally, ..Tallies::default() },
            Arm::Old => Tallies { old: tally, ..Tallies::default() },
        };
        self.own.add(route, tallies);
    }

    pub fn report(&self, now: Duration) -> Report {
        Report { order: self.hash(), stage: self.stage, elapsed: self.elapsed(now), own: self.own.clone() }
    }

    /// Returns the order and its stage if the store's status does not show the stage yet.
    pub fn unreported(&self) -> Option<(Rollout, Stage)> {
        let is_reported = self.rollout.stage.map(stored_form) == Some(stored_form(self.stage));
        (!is_reported).then(|| (self.rollout.clone(), self.stage))
    }

    /// Returns what this instance knows of the new version, or `None` if the roll-out has ended.
    pub fn basis(&self, route: u32, now: Duration) -> Option<Basis> {
        if matches!(self.stage, Stage::Done | Stage::Reverted) {
            return None;
        }
        Some(Basis {
            stage: self.stage,
            stage_age: now.saturating_sub(self.stage_since),
            elapsed: self.elapsed(now),
            own: self.own.sum().new,
            told: self.told.sum().new,
            told_by: self.reports.len(),
            oldest_report: self.reports.values().map(|received| now.saturating_sub(received.at)).max(),
            route: self.own.of(route).plus(self.told.of(route)),
        })
    }

    /// Enters a stage that another source tells of, unless it is behind the present one.
    pub fn enter(&mut self, stage: Stage, told_by: &str, now: Duration) {
        if furthest(self.stage, stage) == self.stage {
            return;
        }
        tracing::info!(
            service = self.rollout.service,
            target = self.rollout.target,
            from = ?self.stage,
            to = ?stage,
            by = told_by,
            elapsed_ms = clock::millis(self.elapsed(now)),
            "roll-out stage learned"
        );
        self.set_stage(stage, now);
    }

    /// Advances the roll-out by time, evidence and the reports of other instances. Returns whether this
    /// instance has decided on a stage that no other has told of.
    pub fn advance(
        &mut self,
        told: &[Told<'_>],
        bound: Bound,
        route_names: &HashMap<u32, String>,
        now: Duration,
    ) -> bool {
        for told in told {
            self.receive(told, now);
        }
        self.told = RouteTallies::default();
        for received in self.reports.values() {
            self.told.merge(&received.own);
        }
        let mut all = self.own.clone();
        all.merge(&self.told);
        if self.stage == Stage::Shift && self.shift.is_none() {
            self.shift = Some(Shift { since: now, trial: all.clone() });
        }
        let evidence = self.evidence(&all);
        self.record_sent(evidence.sent(), now);
        let next = canary::next_stage(self.progress(now), &evidence, bound);
        let has_decided = next != self.stage;
        if has_decided {
            self.log_change(next, &all, route_names, now);
            self.set_stage(next, now);
        }
        self.publish(all.sum());
        has_decided
    }

    /// Applies a report of another instance.
    fn receive(&mut self, told: &Told<'_>, now: Duration) {
        self.since = self.since.min(now.saturating_sub(told.report.elapsed));
        self.enter(told.report.stage, told.instance, now);
        let teller = Teller { instance: told.instance.to_owned(), start: told.start };
        let received = self.reports.entry(teller).or_insert_with(|| Received {
            stage: Stage::Trial,
            own: RouteTallies::default(),
            at: told.received_at,
        });
        // Counts only grow. Smaller ones are of a start that this instance does not know of yet.
        let sent = |own: &RouteTallies| own.sum().new.sent + own.sum().old.sent;
        if sent(&told.report.own) >= sent(&received.own) {
            *received = Received { stage: told.report.stage, own: told.report.own.clone(), at: told.received_at };
        }
    }

    fn set_stage(&mut self, stage: Stage, now: Duration) {
        self.stage = stage;
        self.stage_since = now;
        metrics::counter!("relay_rollout_stages_total", "service" => self.rollout.service.clone(), "stage" => label(stage))
            .increment(1);
    }

    fn progress(&self, now: Duration) -> Progress {
        Progress {
            stage: self.stage,
            elapsed: self.elapsed(now),
            shifting: self.shift.as_ref().map_or(Duration::ZERO, |shift| now.saturating_sub(shift.since)),
            total: self.rollout.max_duration,
            recent_rate: self.rate_over(RATE_WINDOW, now),
            latest_rate: self.rate_over(BURST_WINDOW, now),
        }
    }

    /// Records the number of requests sent to either version until now.
    fn record_sent(&mut self, sent: u32, now: Duration) {
        while self.sent.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RATE_WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, sent));
    }

    /// Returns the number of requests sent in a second within the last `window`, or zero if it is not known yet.
    fn rate_over(&self, window: Duration, now: Duration) -> f64 {
        let first = self.sent.iter().find(|(at, _)| now.saturating_sub(*at) <= window);
        let (Some((first_at, first)), Some((last_at, last))) = (first, self.sent.back()) else { return 0.0 };
        let span = last_at.saturating_sub(*first_at);
        if span < MIN_RATE_SPAN { 0.0 } else { f64::from(last.saturating_sub(*first)) / span.as_secs_f64() }
    }

    /// Returns the evidence for the decision, from the sum of all instances' evidence.
    fn evidence(&self, all: &RouteTallies) -> Evidence {
        let Some(shift) = &self.shift else {
            return Evidence { all: all.clone(), trial: all.clone(), in_shift: RouteTallies::default() };
        };
        Evidence { all: all.clone(), trial: shift.trial.clone(), in_shift: all.new_since(&shift.trial) }
    }

    /// Logs a change of stage that this instance decides, with the evidence for it.
    fn log_change(&self, next: Stage, all: &RouteTallies, route_names: &HashMap<u32, String>, now: Duration) {
        let sum = all.sum();
        tracing::info!(
            service = self.rollout.service,
            target = self.rollout.target,
            from = ?self.stage,
            to = ?next,
            elapsed_ms = clock::millis(self.elapsed(now)),
            new_sent = sum.new.sent,
            new_runs = sum.new.runs,
            new_failed = sum.new.failed,
            new_slow = sum.new.slow,
            old_sent = sum.old.sent,
            old_runs = sum.old.runs,
            old_failed = sum.old.failed,
            old_slow = sum.old.slow,
            new_typical_ratio = sum.new.lateness.typical_ratio(),
            old_typical_ratio = sum.old.lateness.typical_ratio(),
            routes = describe_routes(all, route_names),
            own = %self.own.sum().new,
            told = self.describe_told(now),
            "roll-out stage changed"
        );
    }

    /// Describes the evidence about the new version that each instance told of, and its age.
    fn describe_told(&self, now: Duration) -> String {
        let mut text = String::new();
        for (teller, received) in self.reports.iter().take(MAX_LOGGED) {
            let age_ms = now.saturating_sub(received.at).as_millis();
            let evidence = received.own.sum().new;
            let _ = write!(text, "{} {:?} {evidence} {age_ms}ms, ", teller.instance, received.stage);
        }
        text
    }

    /// Shows the evidence in the metrics.
    fn publish(&self, sum: Tallies) {
        for (version, tally) in [("new", sum.new), ("old", sum.old)] {
            let counts = [("sent", tally.sent), ("ended", tally.runs), ("failed", tally.failed), ("slow", tally.slow)];
            for (outcome, count) in counts {
                metrics::gauge!(
                    "relay_rollout_runs",
                    "service" => self.rollout.service.clone(), "version" => version, "outcome" => outcome
                )
                .set(f64::from(count));
            }
        }
    }
}

/// Returns the further of two stages; a revert is the furthest.
fn furthest(a: Stage, b: Stage) -> Stage {
    let rank = |stage| match stage {
        Stage::Trial => 0,
        Stage::Shift => 1,
        Stage::Done => 2,
        Stage::Reverted => 3,
    };
    if rank(b) > rank(a) { b } else { a }
}

/// Returns the stage as the store's status represents it, which does not distinguish a trial
/// from a shift.
fn stored_form(stage: Stage) -> Stage {
    match stage {
        Stage::Trial | Stage::Shift => Stage::Trial,
        Stage::Done | Stage::Reverted => stage,
    }
}

fn label(stage: Stage) -> &'static str {
    match stage {
        Stage::Trial => "trial",
        Stage::Shift => "shift",
        Stage::Done => "done",
        Stage::Reverted => "reverted",
    }
}

/// Describes the evidence on each route, the new version's before the old one's.
fn describe_routes(all: &RouteTallies, route_names: &HashMap<u32, String>) -> String {
    let mut text = String::new();
    for (route, tallies) in all.iter().take(MAX_LOGGED) {
        let name = route_names.get(&route).map_or("?", String::as_str);
        let _ = write!(text, "{name} {} {}, ", tallies.new, tallies.old);
    }
    text
}
