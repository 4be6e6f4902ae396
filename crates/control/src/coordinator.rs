//! Advances roll-outs while this instance holds the lease.
//!
//! The whole state of a roll-out is in its object: state, step and reason. The
//! coordinator reads it, plans the next transition ([`route::rollout::plan`])
//! and writes it on the condition that the object has not changed meanwhile.
//! If the coordinator is lost between two transitions, the next lease holder
//! reads the same object and continues. It has to determine again what is not
//! stored, namely how long a step has lasted and which versions engines hold; at
//! worst this makes a step last longer.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use config::{Edit, Expected};
use route::{
    guard::Verdict,
    rollout::{self as exposure, Plan, Progress},
};
use timeline::{Event, Phase, Recorder, Wanted};
use tokio::{
    sync::{mpsc, watch},
    time::{Duration, Instant, MissedTickBehavior, interval},
};
use world::{
    Catalog,
    endpoint::Endpoint,
    model::Version,
    object::{Key, Kind, Object},
    rollout::{Id, Rollout, State},
    time::millis,
};

use crate::{Settings, guard::Verdicts, lease::Term, loads::Loads, order::Call};

/// Interval at which all roll-outs are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time from a withdrawal until engines are ordered to drop the version.
/// Running requests end meanwhile; unloading at once would cut off their
/// answers.
const DRAIN_TIME: Duration = Duration::from_mins(2);

/// Upper bound on the share of a version's endpoints that must have loaded it
/// before the next step, however large that step is; the rest may be down.
const MAX_REQUIRED_SHARE: f64 = 0.9;

/// Fewest endpoints that must have loaded the version before it takes any
/// traffic, if it has as many: a single one would be slow, and the guard would
/// stop the version for that.
const MIN_LOADED_ENDPOINTS: usize = 2;

/// The coordinator task.
pub(crate) struct Coordinator {
    pub settings: Arc<Settings>,
    pub config: config::Handle,
    pub recorder: Recorder,
    pub terms: watch::Receiver<Option<Term>>,
    pub verdicts: watch::Receiver<Arc<Verdicts>>,
    pub calls: mpsc::Sender<Call>,
}

/// State that is not stored in the objects; kept for one lease term.
struct TermState {
    epoch: u64,
    loads: Loads,
    /// When each roll-out was first seen in its present state and step.
    step_starts: HashMap<Id, StepStart>,
}

/// A roll-out's state and step, and when they were first seen.
struct StepStart {
    state: State,
    step: usize,
    at: Instant,
}

impl Coordinator {
    pub async fn run(mut self) {
        let mut tick = interval(CHECK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut term_state: Option<TermState> = None;
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                changed = self.terms.changed() => if changed.is_err() { return },
            }
            let Some(term) = self.term() else {
                term_state = None;
                continue;
            };
            let mut active =
                term_state.take().filter(|state| state.epoch == term.epoch).unwrap_or_else(|| self.begin_term(term));
            self.advance_rollouts(&mut active, term).await;
            term_state = Some(active);
        }
    }

    /// Returns the lease term in force, if this instance holds the lease.
    fn term(&self) -> Option<Term> {
        self.terms.borrow().filter(|term| !term.remaining().is_zero())
    }

    /// Returns the state for a new lease term.
    fn begin_term(&self, term: Term) -> TermState {
        let loads = Loads::new(self.calls.clone(), self.settings.max_concurrent_loads);
        TermState { epoch: term.epoch, loads, step_starts: HashMap::new() }
    }

    /// Updates the orders to engines and carries out the next transition of each roll-out.
    async fn advance_rollouts(&self, term_state: &mut TermState, term: Term) {
        let catalog = self.config.current();
        term_state.track_steps(&catalog);
        term_state.loads.set_wanted(&term_state.wanted(&catalog));
        term_state.loads.advance(term, &self.recorder).await;
        for (id, rollout) in catalog.rollouts() {
            let verdict = self.verdict(id, rollout);
            let plan = exposure::plan(rollout, &verdict, &term_state.progress(&catalog, id, rollout));
            if let Some(next) = apply_plan(rollout, &plan) {
                self.write(id, rollout, next).await;
            }
        }
    }

    /// Returns the guard's verdict on the step in force; a verdict on another
    /// step is ignored.
    fn verdict(&self, id: &Id, rollout: &Rollout) -> Verdict {
        let verdicts = self.verdicts.borrow();
        match verdicts.get(id) {
            Some((step, verdict)) if *step == rollout.step => verdict.clone(),
            _ => Verdict::Continue,
        }
    }

    /// Writes the next state of a roll-out if it has not changed since the plan was made.
    async fn write(&self, id: &Id, old: &Rollout, next: Rollout) {
        let key = Key { kind: Kind::Rollout, name: id.to_string() };
        let Some(revision) = self.config.revision(&key) else { return };
        // The plan was made from the catalog as read before. If the object has changed since,
        // for example because an operator paused it, the plan is void.
        if self.config.current().rollouts().get(id) != Some(old) {
            return;
        }
        let phase = phase(&next);
        let (version, reason) = (next.version.clone(), next.reason.clone().unwrap_or_default());
        let edit = Edit::Put(Object::Rollout(id.clone(), next), Expected::At(revision.generation));
        match self.config.apply(&self.settings.author(), vec![edit]).await {
            Ok(applied) if applied.changed => {
                self.recorder.record(Event::Rollout { rollout: id.clone(), version, phase, reason });
            }
            Ok(_) => {}
            Err(error) => tracing::warn!(rollout = %id, %error, "roll-out transition not written, will retry"),
        }
    }
}

impl TermState {
    /// Records the time at which each roll-out entered its state and step.
    fn track_steps(&mut self, catalog: &Catalog) {
        self.step_starts.retain(|id, _| catalog.rollouts().contains_key(id));
        for (id, rollout) in catalog.rollouts() {
            let fresh = StepStart { state: rollout.state, step: rollout.step, at: Instant::now() };
            let start = self.step_starts.entry(id.clone()).or_insert(StepStart { ..fresh });
            if start.state != rollout.state || start.step != rollout.step {
                *start = fresh;
            }
        }
    }

    /// Returns how long a roll-out has been at its state and step.
    fn time_at_step(&self, id: &Id) -> Duration {
        self.step_starts.get(id).map_or(Duration::ZERO, |start| start.at.elapsed())
    }

    /// Returns, for each version, what its endpoints are to hold: versions
    /// under roll-out are loaded, those withdrawn longer than the drain time
    /// ago are dropped.
    fn wanted(&self, catalog: &Catalog) -> BTreeMap<Version, (Wanted, Vec<Endpoint>)> {
        let mut wanted = BTreeMap::new();
        for (id, rollout) in catalog.rollouts() {
            let want = match rollout.state {
                State::Loading | State::Exposing | State::Paused => Wanted::Loaded,
                State::Withdrawn if self.time_at_step(id) >= DRAIN_TIME => Wanted::Dropped,
                State::Withdrawn | State::Promoted => continue,
            };
            wanted.insert(rollout.version.clone(), (want, catalog.endpoints(&rollout.version).to_vec()));
        }
        wanted
    }

    /// Returns the progress of a roll-out's present step.
    fn progress(&self, catalog: &Catalog, id: &Id, rollout: &Rollout) -> Progress {
        let endpoints = catalog.endpoints(&rollout.version).len();
        let at_step_ms = millis(self.time_at_step(id));
        Progress {
            at_step_ms,
            loaded: self.loads.loaded(&rollout.version),
            wanted: required_endpoints(endpoints, rollout),
        }
    }
}

/// Returns the number of endpoints that must hold the version before the next
/// step.
fn required_endpoints(endpoints: usize, rollout: &Rollout) -> usize {
    let next = if rollout.state == State::Loading { rollout.step } else { rollout.step + 1 };
    let share = rollout.steps.get(next).copied().unwrap_or(1.0).min(MAX_REQUIRED_SHARE);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most some ten thousand endpoints, times a share from 0 to 1"
    )]
    let required = (endpoints as f64 * share).floor() as usize;
    // At least one, so a version without endpoints never takes traffic.
    required.max(MIN_LOADED_ENDPOINTS.min(endpoints)).max(1)
}

/// Applies a plan to a roll-out; `None` if the plan is to wait.
fn apply_plan(rollout: &Rollout, plan: &Plan) -> Option<Rollout> {
    let next = rollout.clone();
    Some(match plan {
        Plan::Wait(_) => return None,
        Plan::Expose => Rollout { state: State::Exposing, reason: Some("endpoints have loaded it".into()), ..next },
        Plan::Step(step) => Rollout { step: *step, reason: Some("no worse than its predecessor".into()), ..next },
        Plan::Promote => {
            let reason = Some("no worse than its predecessor at every step".into());
            Rollout { state: State::Promoted, reason, ..next }
        }
        Plan::Withdraw(reason) => Rollout { state: State::Withdrawn, reason: Some(reason.to_string()), ..next },
    })
}

/// Returns the phase that the timeline records for a roll-out's state.
fn phase(rollout: &Rollout) -> Phase {
    match rollout.state {
        State::Loading => Phase::Loading,
        State::Exposing => Phase::Exposing { share: rollout.steps.get(rollout.step).copied().unwrap_or(0.0) },
        State::Paused => Phase::Paused,
        State::Promoted => Phase::Promoted,
        State::Withdrawn => Phase::Withdrawn,
    }
}
