//! What this instance and its peers have seen of versions under roll-out.
//!
//! Each instance keeps sums of its own and the last sums heard from each run
//! of each peer; evidence is the sum over them. A peer that was lost keeps its
//! say until the step ends.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use route::{
    guard::{Evidence, Signal, Tally, Window},
    rollout::{self as exposure, Arm, Unit},
};
use tokio::time::{Duration, Instant};
use world::{
    Catalog, Millis, instance,
    model::Version,
    rollout::{self, Rollout, State},
};

use crate::observation::{Observation, Outcome};

/// Length of a window.
const WINDOW: Duration = Duration::from_mins(5);

/// The predecessor's quantile above which an answer is slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Answers of the predecessor before its quantile is taken for known.
const BASELINE_ANSWERS: u64 = 200;

/// Longest latency told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// Bad sessions remembered, so that each counts once; then all are forgotten.
const BAD_SESSIONS: usize = 100_000;

/// One step of one roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Step {
    pub rollout: rollout::Id,
    pub version: Version,
    pub number: usize,
}

/// Which run of which instance.
pub(crate) type Source = (instance::Id, instance::Incarnation);

/// A session's signal in a roll-out.
type BadSession = (rollout::Id, Unit, Signal);

/// The fleet's evidence of one roll-out.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Fleet {
    /// By step, up to the present one.
    pub steps: Vec<Evidence>,
    /// The present step's latest window.
    pub window: Window,
}

/// One instance's sums at one step.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Sums {
    pub step: Evidence,
    pub window: Window,
}

/// All sums at this instance.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    own: BTreeMap<Step, Own>,
    others: HashMap<Source, BTreeMap<Step, Sums>>,
    baselines: HashMap<Version, Baseline>,
    bad: HashMap<BadSession, u32>,
}

#[derive(Debug)]
struct Own {
    sums: Sums,
    since: Instant,
}

/// The predecessor's latencies before the roll-out met traffic.
#[derive(Debug)]
struct Baseline {
    seen: Histogram<u32>,
    slow_ms: Option<Millis>,
}

impl Ledger {
    /// Takes in what a request told; true when it was bad news of a new version.
    pub fn observe(&mut self, catalog: &Catalog, observation: &Observation) -> bool {
        let mut bad_news = false;
        for (id, rollout) in running(catalog) {
            let Some(arm) = arm(catalog, rollout, observation) else { continue };
            let slow = self.slow(rollout, observation);
            let step = step_of(id, rollout);
            let own = self.own.entry(step.clone()).or_insert_with(Own::new);
            own.turn_window();
            let window = own.sums.window.number;
            for (signal, bad) in seen(observation.outcome, slow) {
                let (first, first_in_window) = if bad {
                    first_bad(&mut self.bad, (id.clone(), observation.unit, signal), window)
                } else {
                    (true, true)
                };
                if first {
                    count(&mut own.sums.step, arm, signal, bad);
                }
                if first_in_window {
                    count(&mut own.sums.window.evidence, arm, signal, bad);
                }
                bad_news |= first && bad && arm == Arm::New;
            }
        }
        bad_news
    }

    /// Takes in a peer's sums; they replace its earlier ones.
    pub fn hear(&mut self, source: Source, sums: BTreeMap<Step, Sums>) {
        self.others.insert(source, sums);
    }

    /// This instance's sums, for its peers.
    pub fn own(&self) -> impl Iterator<Item = (&Step, &Sums)> {
        self.own.iter().map(|(step, own)| (step, &own.sums))
    }

    /// Instances that have told of a running step.
    pub fn sources(&self) -> usize {
        self.others.values().filter(|steps| !steps.is_empty()).count()
    }

    /// The fleet's evidence of a roll-out.
    pub fn fleet(&self, id: &rollout::Id, rollout: &Rollout) -> Fleet {
        let mut step = step_of(id, rollout);
        let mut fleet = Fleet::default();
        for number in 0..=rollout.step {
            step.number = number;
            let total = self.total(&step);
            fleet.steps.push(total.step);
            fleet.window = total.window;
        }
        fleet
    }

    fn total(&self, step: &Step) -> Sums {
        let own = self.own.get(step).map(|own| own.sums);
        let heard = self.others.values().filter_map(|steps| steps.get(step).copied());
        let parts: Vec<_> = own.into_iter().chain(heard).collect();
        let mut total = Sums::default();
        // Instances turn their windows by their own clocks. One that lags adds
        // its older window only to the step, never to another window.
        total.window.number = parts.iter().map(|sums| sums.window.number).max().unwrap_or(0);
        for part in parts {
            total.step += part.step;
            if part.window.number == total.window.number {
                total.window.evidence += part.window.evidence;
            }
        }
        total
    }

    /// Forgets what belongs to no running roll-out.
    pub fn settle(&mut self, catalog: &Catalog) {
        let keep = |step: &Step| {
            let rollout = catalog.rollouts().get(&step.rollout);
            rollout.is_some_and(|r| is_running(r) && r.version == step.version)
        };
        self.own.retain(|step, _| keep(step));
        self.bad.retain(|(id, ..), _| catalog.rollouts().get(id).is_some_and(is_running));
        self.others.values_mut().for_each(|steps| steps.retain(|step, _| keep(step)));
        self.others.retain(|_, steps| !steps.is_empty());
        let watched: Vec<_> = running(catalog).map(|(_, rollout)| predecessor(rollout)).collect();
        self.baselines.retain(|version, _| watched.contains(version));
    }

    /// Whether an answer is slow; nothing when that cannot be told.
    fn slow(&mut self, rollout: &Rollout, observation: &Observation) -> Option<bool> {
        let Outcome::Answered { latency_ms } = observation.outcome else { return None };
        let predecessor = predecessor(rollout);
        let of_predecessor = observation.version == predecessor;
        let baseline = self.baselines.entry(predecessor).or_insert_with(Baseline::new);
        if let Some(slow_ms) = baseline.slow_ms {
            return Some(latency_ms > slow_ms);
        }
        // Fixed once and for all: answers that shape the limit must not be
        // counted against it.
        if of_predecessor {
            baseline.take(latency_ms);
        }
        None
    }
}

impl Own {
    fn new() -> Self {
        Self { sums: Sums::default(), since: Instant::now() }
    }

    fn turn_window(&mut self) {
        let windows = self.since.elapsed().as_secs() / WINDOW.as_secs();
        let number = u32::try_from(windows).unwrap_or(u32::MAX);
        if number > self.sums.window.number {
            self.sums.window = Window { number, evidence: Evidence::default() };
        }
    }
}

impl Baseline {
    fn new() -> Self {
        let mut seen = Histogram::new_with_max(LONGEST_MS, 2).expect("bounds are constants that fit");
        seen.auto(false);
        Self { seen, slow_ms: None }
    }

    fn take(&mut self, latency_ms: Millis) {
        self.seen.saturating_record(latency_ms.clamp(1, LONGEST_MS));
        if self.seen.len() >= BASELINE_ANSWERS {
            self.slow_ms = Some(self.seen.value_at_quantile(SLOW_QUANTILE));
        }
    }
}

/// Roll-outs whose version may meet traffic.
pub(crate) fn running(catalog: &Catalog) -> impl Iterator<Item = (&rollout::Id, &Rollout)> {
    catalog.rollouts().iter().filter(|(_, rollout)| is_running(rollout))
}

fn is_running(rollout: &Rollout) -> bool {
    matches!(rollout.state, State::Loading | State::Exposing | State::Paused)
}

fn step_of(id: &rollout::Id, rollout: &Rollout) -> Step {
    Step { rollout: id.clone(), version: rollout.version.clone(), number: rollout.step }
}

fn predecessor(rollout: &Rollout) -> Version {
    Version { model: rollout.version.model.clone(), number: rollout.predecessor.clone() }
}

/// The arm an observation counts for in a roll-out, if any.
fn arm(catalog: &Catalog, rollout: &Rollout, observation: &Observation) -> Option<Arm> {
    if observation.version == rollout.version {
        return Some(Arm::New);
    }
    if observation.version != predecessor(rollout) {
        return None;
    }
    let contract = catalog.contract(&observation.customer)?;
    let share = rollout.steps.get(rollout.step).copied().unwrap_or(0.0);
    let arm = exposure::arm(share, contract, &rollout.version, observation.unit);
    (arm == Arm::Control).then_some(arm)
}

/// What an outcome says of each signal.
fn seen(outcome: Outcome, slow: Option<bool>) -> impl Iterator<Item = (Signal, bool)> {
    let (first, second) = match outcome {
        Outcome::Answered { .. } => (Some((Signal::Errors, false)), slow.map(|slow| (Signal::Latency, slow))),
        Outcome::Failed => (Some((Signal::Errors, true)), None),
        Outcome::Rated { pass } => (Some((Signal::Ratings, !pass)), None),
    };
    first.into_iter().chain(second)
}

/// Whether a session's bad thing is its first in the roll-out, and in the window.
///
/// A session that fails once often fails again, with the same hard task. Each
/// session is dealt to an arm once; counting its failures one by one would
/// take one unlucky session for many.
fn first_bad(known: &mut HashMap<BadSession, u32>, session: BadSession, window: u32) -> (bool, bool) {
    if known.len() >= BAD_SESSIONS {
        // A guard that counts some twice is better than one that is blind.
        known.clear();
    }
    match known.insert(session, window) {
        None => (true, true),
        Some(before) => (false, before != window),
    }
}

fn count(evidence: &mut Evidence, arm: Arm, signal: Signal, bad: bool) {
    let tally: &mut Tally = if arm == Arm::New { &mut evidence.new } else { &mut evidence.control };
    tally.count_mut(signal).add(bad);
}
