//! How many answers a worse version gives before it is stopped.
//!
//! Seven instances serve one model while a version is rolled out. Each judges
//! the fleet's sums as it knows them: its own at once, its peers' 200 ms late.
//! Ratings come 5 s after their answers, some never.

use std::collections::HashSet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{
    guard::{self, Evidence, Signal, Verdict, Window},
    rollout::{Arm, Unit, arm},
};
use world::{
    contract::Contract,
    model::{Number, Version},
    object::Object,
    rollout,
};

use crate::table::Table;

const INSTANCES: usize = 7;
const TICKS_PER_S: usize = 10;
/// Requests at one instance in a tick: 140 a second over the fleet.
const REQUESTS: usize = 2;
const NEWS_TICKS: usize = 2;
const RATING_TICKS: usize = 50;
const RATED: f64 = 0.7;
/// Sessions that an instance's next request may go on with.
const SESSIONS: usize = 40;
const NEW_SESSION: f64 = 0.25;
const STEP_TICKS: usize = 60 * TICKS_PER_S;
/// A worse version that nobody stopped in this time is counted as it stands.
const LONGEST_TICKS: usize = 20 * STEP_TICKS;
/// What a good version does: failures, failed ratings, slow answers.
const GOOD: [f64; 3] = [0.005, 0.05, 0.05];
/// The fixed threshold: failed ratings after so many rated answers.
const FIXED: (u64, f64) = (50, 0.10);
const RUNS: u64 = 400;
const CLEAN_RUNS: u64 = 10_000;
const THREADS: usize = 4;

/// Who stops a version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Guard {
    Ours,
    Fixed,
    Nobody,
}

/// What became of a roll-out.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    requests: u64,
    answers: u64,
    bad: u64,
    stopped: bool,
    promoted: bool,
    ticks: u64,
}

/// The question's tables.
pub fn tables(seed: u64) -> Vec<Table> {
    let mut table = Table::new(
        format!("Exposure to a worse version until it is stopped ({RUNS} roll-outs each)"),
        &[
            "worse by",
            "guard",
            "stopped",
            "answers p50",
            "p95",
            "bad answers p50",
            "p95",
            "max",
            "over 50",
            "share of requests",
        ],
    );
    for worse in [0.3, 0.1, 0.03] {
        for guard in [Guard::Ours, Guard::Fixed, Guard::Nobody] {
            table.row(row(worse, guard, &runs(guard, worse, RUNS, seed)));
        }
    }
    let mut clean = Table::new(
        "Clean roll-outs that were stopped",
        &["guard", "roll-outs", "stopped", "promoted", "minutes p50", "p95"],
    );
    for guard in [Guard::Ours, Guard::Fixed] {
        let outcomes = runs(guard, 0.0, CLEAN_RUNS, seed);
        let stopped = outcomes.iter().filter(|o| o.stopped).count();
        let promoted = outcomes.iter().filter(|o| o.promoted).count();
        let ticks = sorted(&outcomes, |o| o.ticks);
        let minutes = |part| (at(&ticks, part) / 60 / TICKS_PER_S as u64).to_string();
        let counts = [outcomes.len(), stopped, promoted].map(|count| count.to_string());
        clean.row([vec![name(guard)], counts.to_vec(), vec![minutes(50), minutes(95)]].concat());
    }
    vec![table, clean]
}

fn row(worse: f64, guard: Guard, outcomes: &[Outcome]) -> Vec<String> {
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    let of =
        |wanted: fn(&&Outcome) -> bool| 100.0 * outcomes.iter().filter(wanted).count() as f64 / outcomes.len() as f64;
    let (answers, bad) = (sorted(outcomes, |o| o.answers), sorted(outcomes, |o| o.bad));
    let total = |of: fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>();
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    let share = total(|o| o.answers) as f64 / total(|o| o.requests) as f64;
    vec![
        format!("{:.0} %", worse * 100.0),
        name(guard),
        format!("{:.1} %", of(|o| o.stopped)),
        at(&answers, 50).to_string(),
        at(&answers, 95).to_string(),
        at(&bad, 50).to_string(),
        at(&bad, 95).to_string(),
        at(&bad, 100).to_string(),
        format!("{:.1} %", of(|o| o.bad > 50)),
        format!("{:.2} %", share * 100.0),
    ]
}

fn sorted(outcomes: &[Outcome], of: fn(&Outcome) -> u64) -> Vec<u64> {
    let mut values: Vec<_> = outcomes.iter().map(of).collect();
    values.sort_unstable();
    values
}

/// Value below which this part in a hundred lies.
fn at(sorted: &[u64], part: usize) -> u64 {
    sorted[(sorted.len() - 1) * part / 100]
}

fn name(guard: Guard) -> String {
    match guard {
        Guard::Ours => "ours",
        Guard::Fixed => "fixed threshold",
        Guard::Nobody => "none",
    }
    .into()
}

/// Plays roll-outs, each with a seed of its own.
fn runs(guard: Guard, worse: f64, count: u64, seed: u64) -> Vec<Outcome> {
    let part = |thread: usize| (thread as u64..count).step_by(THREADS).map(move |run| seed * 1_000_003 + run);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                scope.spawn(move || part(thread).map(|s| Run::new(guard, worse, s).play()).collect::<Vec<_>>())
            })
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a roll-out plays to its end")).collect()
    })
}

/// One thing seen of an answer, a rating under way mostly.
#[derive(Debug, Clone, Copy)]
struct Rating {
    instance: usize,
    step: usize,
    arm: Arm,
    unit: Unit,
    failed: bool,
}

/// Sums by step.
type Sums = [Evidence; 5];

/// One roll-out under way.
struct Run {
    guard: Guard,
    rates: [f64; 3],
    random: ChaCha8Rng,
    contract: Contract,
    rollout: rollout::Rollout,
    since: usize,
    /// Each instance's sums by step, by tick, for as long as news take.
    sums: Vec<Vec<Sums>>,
    /// Ratings under way, by tick of their arrival.
    ratings: Vec<Vec<Rating>>,
    sessions: Vec<Vec<(Unit, Arm)>>,
    /// Sessions that showed something bad; each counts once, as in `control`.
    bad: HashSet<(Unit, Signal)>,
    /// When each instance knows of a stop.
    stops: [usize; INSTANCES],
    outcome: Outcome,
}

impl Run {
    fn new(guard: Guard, worse: f64, seed: u64) -> Self {
        let rates = [GOOD[0], 1.0 - (1.0 - GOOD[1]) * (1.0 - worse), GOOD[2]];
        Self {
            guard,
            rates,
            random: ChaCha8Rng::seed_from_u64(seed),
            contract: contract(),
            rollout: rollout(),
            since: 0,
            sums: vec![vec![Sums::default(); INSTANCES]; NEWS_TICKS + 1],
            ratings: vec![Vec::new(); RATING_TICKS + 1],
            sessions: vec![Vec::new(); INSTANCES],
            bad: HashSet::new(),
            stops: [usize::MAX; INSTANCES],
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        for tick in 0..LONGEST_TICKS {
            let latest = self.sums[0].clone();
            self.sums.rotate_right(1);
            self.sums[0] = latest;
            for instance in 0..INSTANCES {
                (0..REQUESTS).for_each(|_| self.request(instance, tick));
            }
            for rating in std::mem::take(&mut self.ratings[tick % (RATING_TICKS + 1)]) {
                self.count(rating, Signal::Ratings);
            }
            self.judge(tick);
            self.outcome.ticks += 1;
            self.outcome.promoted = self.rollout.step == self.rollout.steps.len();
            let heard = self.stops.iter().all(|stop| *stop <= tick);
            if heard || self.outcome.promoted {
                break;
            }
        }
        self.outcome
    }

    fn request(&mut self, instance: usize, tick: usize) {
        let stopped = self.stops[instance] <= tick;
        let (unit, met) = self.session(instance, stopped);
        self.outcome.requests += 1;
        let new = met == Arm::New && !stopped;
        let counted = if new {
            Arm::New
        } else {
            arm(self.rollout.steps[self.rollout.step], &self.contract, &self.rollout.version, unit)
        };
        let rates = if new { self.rates } else { GOOD };
        let [failed, fails_rating, slow] = rates.map(|rate| self.random.random_bool(rate));
        if new {
            self.outcome.answers += 1;
            self.outcome.bad += u64::from(failed || fails_rating);
        } else if counted != Arm::Control {
            return;
        }
        let rating = Rating { instance, step: self.rollout.step, arm: counted, unit, failed };
        self.count(rating, Signal::Errors);
        self.count(Rating { failed: slow, ..rating }, Signal::Latency);
        if !failed && self.random.random_bool(RATED) {
            let arrival = (tick + RATING_TICKS) % (RATING_TICKS + 1);
            self.ratings[arrival].push(Rating { failed: fails_rating, ..rating });
        }
    }

    fn count(&mut self, seen: Rating, signal: Signal) {
        if seen.failed && !self.bad.insert((seen.unit, signal)) {
            return;
        }
        let evidence = &mut self.sums[0][seen.instance][seen.step];
        let tally = if seen.arm == Arm::New { &mut evidence.new } else { &mut evidence.control };
        tally.count_mut(signal).add(seen.failed);
    }

    /// A new session or one under way, with the arm it met at its start.
    fn session(&mut self, instance: usize, stopped: bool) -> (Unit, Arm) {
        let sessions = &mut self.sessions[instance];
        if !sessions.is_empty() && !self.random.random_bool(NEW_SESSION) {
            return sessions[self.random.random_range(0..sessions.len())];
        }
        let unit = Unit(self.random.random());
        let met = if stopped {
            Arm::Outside
        } else {
            arm(self.rollout.steps[self.rollout.step], &self.contract, &self.rollout.version, unit)
        };
        if sessions.len() == SESSIONS {
            sessions.remove(0);
        }
        sessions.push((unit, met));
        (unit, met)
    }

    fn judge(&mut self, tick: usize) {
        if self.guard == Guard::Nobody {
            return self.advance(tick, true);
        }
        let mut ready = false;
        for instance in 0..INSTANCES {
            let mut known = Sums::default();
            for peer in 0..INSTANCES {
                let age = if peer == instance { 0 } else { NEWS_TICKS };
                known.iter_mut().zip(self.sums[age][peer]).for_each(|(known, sums)| *known += sums);
            }
            match self.verdict(&known) {
                Verdict::Stop(_) => self.stop(instance, tick),
                Verdict::Advance => ready |= instance == 0,
                Verdict::Continue => {}
            }
        }
        self.advance(tick, ready);
    }

    fn verdict(&self, known: &Sums) -> Verdict {
        if self.guard == Guard::Ours {
            return guard::evaluate(&guard::Policy::default(), &self.rollout, known, &Window::default());
        }
        let (least, limit) = FIXED;
        let Evidence { new, control } = known[self.rollout.step];
        let counts = new.ratings;
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
        let worse = counts.bad as f64 > limit * counts.n as f64;
        match counts.n >= least {
            true if worse => Verdict::Stop(guard::Reason {
                signal: Signal::Ratings,
                new: counts,
                control: control.ratings,
                ln_e: 0.0,
            }),
            true => Verdict::Advance,
            false => Verdict::Continue,
        }
    }

    fn stop(&mut self, by: usize, tick: usize) {
        self.outcome.stopped = true;
        for (instance, stop) in self.stops.iter_mut().enumerate() {
            *stop = (*stop).min(if instance == by { tick } else { tick + NEWS_TICKS });
        }
    }

    fn advance(&mut self, tick: usize, ready: bool) {
        if !ready || self.outcome.stopped || tick - self.since < STEP_TICKS {
            return;
        }
        self.rollout.step += 1;
        self.since = tick;
    }
}

const CONTRACT: &str = "
kind: contract
name: c
spec: { keys: [], budget: { amount: \"1\", currency: EUR, period: day } }
";

/// The usual steps of a minute each.
fn rollout() -> rollout::Rollout {
    let version = Version::parse("m@2").expect("a version");
    rollout::Rollout::new(version, Number::parse("1").expect("a number"))
}

fn contract() -> Contract {
    match Object::parse_file(CONTRACT).expect("the text above").remove(0) {
        Object::Contract(_, contract) => contract,
        other => unreachable!("{other:?}"),
    }
}
