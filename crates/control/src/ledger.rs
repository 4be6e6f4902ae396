//! Evidence on versions under roll-out, from this instance and its peers.
//!
//! Each instance keeps its own sums and the last sums received from each run
//! of each peer; the evidence is the total of them. The sums of a lost peer
//! count until the step ends.

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

/// Length of a window of evidence.
const WINDOW_LENGTH: Duration = Duration::from_mins(5);

/// Quantile of the predecessor's latency above which an answer is slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Number of the predecessor's answers after which that quantile is fixed.
const MIN_BASELINE_ANSWERS: u64 = 200;

/// Longest latency that the histogram distinguishes, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;

/// Number of bad sessions remembered so that each counts once; beyond it, all
/// are forgotten.
const MAX_BAD_SESSIONS: usize = 100_000;

/// Identifies one step of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Step {
    pub rollout: rollout::Id,
    pub version: Version,
    pub number: usize,
}

/// Instance and incarnation that observed or sent the sums.
pub(crate) type Source = (instance::Id, instance::Incarnation);

/// A session with a bad signal in a roll-out.
type BadSession = (rollout::Id, Unit, Signal);

/// Evidence of the whole fleet on one roll-out.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Fleet {
    /// Evidence by step, up to the present one.
    pub steps: Vec<Evidence>,
    /// Latest window of the present step.
    pub window: Window,
}

/// One instance's evidence at one step: in total and in the latest window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Sums {
    pub step: Evidence,
    pub window: Window,
}

/// Sums of this instance and its peers.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// This instance's sums.
    own: BTreeMap<Step, Counter>,
    /// Last sums received from each peer.
    peers: HashMap<Source, BTreeMap<Step, Sums>>,
    /// Latencies of the predecessors.
    baselines: HashMap<Version, Baseline>,
    /// Bad sessions with the number of the last window that counted them.
    bad_sessions: HashMap<BadSession, u32>,
}

/// This instance's sums at one step, and when the step was first seen.
#[derive(Debug)]
struct Counter {
    sums: Sums,
    since: Instant,
}

/// Latencies of a predecessor, collected until the limit for slow answers is
/// fixed.
#[derive(Debug)]
struct Baseline {
    latencies: Histogram<u32>,
    /// Latency above which an answer is slow, once known.
    slow_ms: Option<Millis>,
}

impl Ledger {
    /// Counts an observation. Returns true if it is a new failure of a version
    /// under roll-out.
    pub fn observe(&mut self, catalog: &Catalog, observation: &Observation) -> bool {
        let mut is_new_failure = false;
        for (id, rollout) in running(catalog) {
            let Some(arm) = arm(catalog, rollout, observation) else { continue };
            let slow = self.is_slow(rollout, observation);
            let step = step_of(id, rollout);
            let own = self.own.entry(step.clone()).or_insert_with(Counter::new);
            own.advance_window();
            let window = own.sums.window.number;
            for (signal, bad) in signals(observation.outcome, slow) {
                let (first, first_in_window) = if bad {
                    record_bad(&mut self.bad_sessions, (id.clone(), observation.unit, signal), window)
                } else {
                    (true, true)
                };
                if first {
                    count(&mut own.sums.step, arm, signal, bad);
                }
                if first_in_window {
                    count(&mut own.sums.window.evidence, arm, signal, bad);
                }
                is_new_failure |= first && bad && arm == Arm::New;
            }
        }
        is_new_failure
    }

    /// Replaces the sums of a peer.
    pub fn set_peer_sums(&mut self, source: Source, sums: BTreeMap<Step, Sums>) {
        self.peers.insert(source, sums);
    }

    /// Returns this instance's sums, which are sent to its peers.
    pub fn own_sums(&self) -> impl Iterator<Item = (&Step, &Sums)> {
        self.own.iter().map(|(step, own)| (step, &own.sums))
    }

    /// Returns the number of peers that have sent sums of a running roll-out.
    pub fn peer_count(&self) -> usize {
        self.peers.values().filter(|steps| !steps.is_empty()).count()
    }

    /// Returns the evidence of the whole fleet on a roll-out.
    pub fn fleet(&self, id: &rollout::Id, rollout: &Rollout) -> Fleet {
        let mut step = step_of(id, rollout);
        let mut fleet = Fleet::default();
        for number in 0..=rollout.step {
            step.number = number;
            let total = self.fleet_sums(&step);
            fleet.steps.push(total.step);
            fleet.window = total.window;
        }
        fleet
    }

    /// Returns the fleet's total of one step.
    fn fleet_sums(&self, step: &Step) -> Sums {
        let own = self.own.get(step).map(|own| own.sums);
        let from_peers = self.peers.values().filter_map(|steps| steps.get(step).copied());
        let parts: Vec<_> = own.into_iter().chain(from_peers).collect();
        let mut total = Sums::default();
        // Instances begin windows by their own clocks. The older window of one that lags
        // counts only towards the step, never towards another window.
        total.window.number = parts.iter().map(|sums| sums.window.number).max().unwrap_or(0);
        for part in parts {
            total.step += part.step;
            if part.window.number == total.window.number {
                total.window.evidence += part.window.evidence;
            }
        }
        total
    }

    /// Forgets everything that belongs to no running roll-out.
    pub fn retain_running(&mut self, catalog: &Catalog) {
        let keep = |step: &Step| {
            let rollout = catalog.rollouts().get(&step.rollout);
            rollout.is_some_and(|r| is_running(r) && r.version == step.version)
        };
        self.own.retain(|step, _| keep(step));
        self.bad_sessions.retain(|(id, ..), _| catalog.rollouts().get(id).is_some_and(is_running));
        self.peers.values_mut().for_each(|steps| steps.retain(|step, _| keep(step)));
        self.peers.retain(|_, steps| !steps.is_empty());
        let watched: Vec<_> = running(catalog).map(|(_, rollout)| predecessor(rollout)).collect();
        self.baselines.retain(|version, _| watched.contains(version));
    }

    /// Returns whether an answer is slow, or `None` if the limit is not known
    /// yet.
    fn is_slow(&mut self, rollout: &Rollout, observation: &Observation) -> Option<bool> {
        let Outcome::Answered { latency_ms } = observation.outcome else { return None };
        let predecessor = predecessor(rollout);
        let is_predecessor = observation.version == predecessor;
        let baseline = self.baselines.entry(predecessor).or_insert_with(Baseline::new);
        if let Some(slow_ms) = baseline.slow_ms {
            return Some(latency_ms > slow_ms);
        }
        // The limit is fixed once: answers that determine it must not be counted against it.
        if is_predecessor {
            baseline.record(latency_ms);
        }
        None
    }
}

impl Counter {
    fn new() -> Self {
        Self { sums: Sums::default(), since: Instant::now() }
    }

    /// Begins a new window if the present one has ended.
    fn advance_window(&mut self) {
        let windows = self.since.elapsed().as_secs() / WINDOW_LENGTH.as_secs();
        let number = u32::try_from(windows).unwrap_or(u32::MAX);
        if number > self.sums.window.number {
            self.sums.window = Window { number, evidence: Evidence::default() };
        }
    }
}

impl Baseline {
    fn new() -> Self {
        let mut latencies = Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("the constant bounds are valid");
        latencies.auto(false);
        Self { latencies, slow_ms: None }
    }

    /// Adds a latency and fixes the limit once there are enough.
    fn record(&mut self, latency_ms: Millis) {
        self.latencies.saturating_record(latency_ms.clamp(1, MAX_LATENCY_MS));
        if self.latencies.len() >= MIN_BASELINE_ANSWERS {
            self.slow_ms = Some(self.latencies.value_at_quantile(SLOW_QUANTILE));
        }
    }
}

/// Returns the roll-outs whose version may receive traffic.
pub(crate) fn running(catalog: &Catalog) -> impl Iterator<Item = (&rollout::Id, &Rollout)> {
    catalog.rollouts().iter().filter(|(_, rollout)| is_running(rollout))
}

/// Returns whether a roll-out's version may receive traffic.
fn is_running(rollout: &Rollout) -> bool {
    matches!(rollout.state, State::Loading | State::Exposing | State::Paused)
}

/// Returns the present step of a roll-out.
fn step_of(id: &rollout::Id, rollout: &Rollout) -> Step {
    Step { rollout: id.clone(), version: rollout.version.clone(), number: rollout.step }
}

/// Returns the version that a roll-out replaces.
fn predecessor(rollout: &Rollout) -> Version {
    Version { model: rollout.version.model.clone(), number: rollout.predecessor.clone() }
}

/// Returns the arm for which an observation counts in a roll-out, if any.
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

/// Returns the signals that an outcome gives, and whether each is bad.
fn signals(outcome: Outcome, slow: Option<bool>) -> impl Iterator<Item = (Signal, bool)> {
    let (first, second) = match outcome {
        Outcome::Answered { .. } => (Some((Signal::Errors, false)), slow.map(|slow| (Signal::Latency, slow))),
        Outcome::Failed => (Some((Signal::Errors, true)), None),
        Outcome::Rated { pass } => (Some((Signal::Ratings, !pass)), None),
    };
    first.into_iter().chain(second)
}

/// Records a bad signal of a session. Returns whether it is the session's
/// first in the roll-out, and whether it is its first in the window.
///
/// A session that fails once often fails again on the same hard task. Each
/// session is assigned to an arm once; counting its failures one by one would
/// make one failing session look like many.
fn record_bad(known: &mut HashMap<BadSession, u32>, session: BadSession, window: u32) -> (bool, bool) {
    if known.len() >= MAX_BAD_SESSIONS {
        // Counting some sessions twice is better than ignoring all further failures.
        known.clear();
    }
    match known.insert(session, window) {
        None => (true, true),
        Some(before) => (false, before != window),
    }
}

/// Adds one result to an arm's tally of a signal.
fn count(evidence: &mut Evidence, arm: Arm, signal: Signal, bad: bool) {
    let tally: &mut Tally = if arm == Arm::New { &mut evidence.new } else { &mut evidence.control };
    tally.count_mut(signal).add(bad);
}
