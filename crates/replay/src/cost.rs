//! Cost at the quality target.

mod oracle;

use std::{cmp::Reverse, collections::BinaryHeap};

use route::{
    model::{self, Choice, Inputs, Rater},
    quality::{Answer, Cell, Estimates, Pending, PendingAnswers, Stage},
    rollout::{Stops, Unit},
};
use world::{Millis, Timestamp, contract::Objective, hash, money::Amount, request::Repeat};

use crate::{
    table::Table,
    trace::{self, Request, TIERS, Trace},
};

/// Instances that a customer's requests come to.
const INSTANCES: u64 = 2;
/// Cells with fewer requests are not held to their target.
const MIN_REQUESTS: u32 = 200;
/// Share of answers that are never rated.
const MISSING: f64 = 0.1;
/// The hour in which no rating can be had.
const DOWN: std::ops::Range<u64> = trace::SPAN_MS / 3..trace::SPAN_MS / 2;
/// Time that a rating takes while the caller waits.
const RATING_MS: Millis = 100;
/// Time past which an answer counts as slow.
const SLOW_MS: f64 = 6_000.0;
/// Deadline of a request.
const LEFT_MS: Millis = 30_000;

/// How ratings come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ratings {
    Prompt,
    FeedLate,
    Down,
    AllLate,
}

impl Ratings {
    const ALL: [Self; 4] = [Self::Prompt, Self::FeedLate, Self::Down, Self::AllLate];

    fn title(self) -> &'static str {
        match self {
            Self::Prompt => "ratings after 5 s",
            Self::FeedLate => "learned ratings after 10 minutes, the cascade's at once",
            Self::Down => "no rating of any kind for an hour",
            Self::AllLate => "every rating after 10 minutes, so no cascade at all",
        }
    }

    fn rater(self, at: Timestamp) -> Rater {
        match self {
            Self::AllLate => Rater::Unavailable,
            Self::Down if DOWN.contains(&at.0) => Rater::Unavailable,
            Self::Prompt | Self::FeedLate | Self::Down => Rater::Available,
        }
    }

    fn rated_at(self, answered: Timestamp) -> Timestamp {
        let at = answered.plus(match self {
            Self::Prompt | Self::Down => 5_000,
            Self::FeedLate | Self::AllLate => 600_000,
        });
        if self == Self::Down && DOWN.contains(&at.0) { Timestamp(DOWN.end) } else { at }
    }
}

/// What became of a cell's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub requests: u32,
    pub passes: f64,
    pub cost: f64,
    pub millis: f64,
    pub slow: f64,
}

/// The tables of this question.
pub fn tables(seed: u64) -> Vec<Table> {
    let trace = Trace::new(seed, Objective::Cost);
    let mut tables: Vec<_> = Ratings::ALL.into_iter().map(|ratings| strategies(&trace, ratings)).collect();
    tables.push(objectives(seed));
    tables
}

fn strategies(trace: &Trace, ratings: Ratings) -> Table {
    let columns = [
        "strategy",
        "cost, of always best",
        "cost, of oracle",
        "passed",
        "targets met",
        "worst shortfall",
        "mean time, ms",
        "over 6 s",
    ];
    let mut table = Table::new(format!("Cost at the quality target: {}", ratings.title()), &columns);
    let best = fixed(trace, ratings, &[TIERS - 1]);
    let oracle = oracle::best_mix(trace, ratings);
    let rows = [
        ("ours", &ours(trace, ratings)),
        ("always best", &best),
        ("always cheapest", &fixed(trace, ratings, &[0])),
        ("fixed cascade", &fixed(trace, ratings, &[0, TIERS - 1])),
        ("oracle: best mix of ladders per class", &oracle),
        ("the same, target held with and without ratings", &oracle::best_mix_throughout(trace, ratings)),
        ("clairvoyant: knows every rating before", &oracle::clairvoyant(trace)),
    ];
    for (name, tallies) in rows {
        table.row(row(trace, name, tallies, cost(&best), cost(&oracle)));
    }
    table
}

fn objectives(seed: u64) -> Table {
    let columns = [
        "objective",
        "cost, of always best",
        "cost, of oracle",
        "passed",
        "targets met",
        "worst shortfall",
        "mean time, ms",
        "over 6 s",
    ];
    let mut table = Table::new("The contract's objective, ratings after 5 s", &columns);
    for objective in [Objective::Cost, Objective::Latency, Objective::Exposure] {
        let trace = Trace::new(seed, objective);
        let best = fixed(&trace, Ratings::Prompt, &[TIERS - 1]);
        let oracle = oracle::best_mix(&trace, Ratings::Prompt);
        let name = format!("{objective:?}").to_lowercase();
        table.row(row(&trace, &name, &ours(&trace, Ratings::Prompt), cost(&best), cost(&oracle)));
    }
    table
}

fn row(trace: &Trace, name: &str, tallies: &[Tally], best: f64, oracle: f64) -> Vec<String> {
    let requests: u32 = tallies.iter().map(|tally| tally.requests).sum();
    let total = |value: fn(&Tally) -> f64| tallies.iter().map(value).sum::<f64>();
    let large = tallies.iter().zip(&trace.cells).filter(|(tally, _)| tally.requests > MIN_REQUESTS);
    let margins: Vec<_> = large.map(|(tally, cell)| tally.passes / f64::from(tally.requests) - cell.target).collect();
    let met = margins.iter().filter(|margin| **margin >= -1e-9).count();
    let worst = margins.iter().copied().fold(f64::INFINITY, f64::min);
    vec![
        name.into(),
        format!("{:.3}", cost(tallies) / best),
        format!("{:.3}", cost(tallies) / oracle),
        format!("{:.4}", total(|t| t.passes) / f64::from(requests)),
        format!("{met} of {}", margins.len()),
        format!("{:.4}", (-worst).max(0.0)),
        format!("{:.0}", total(|t| t.millis) / f64::from(requests)),
        format!("{:.4}", total(|t| t.slow) / f64::from(requests)),
    ]
}

fn cost(tallies: &[Tally]) -> f64 {
    tallies.iter().map(|tally| tally.cost).sum()
}

/// A ladder that is the same for every request.
fn fixed(trace: &Trace, ratings: Ratings, ladder: &[usize]) -> Vec<Tally> {
    let mut tallies = vec![Tally::default(); trace.cells.len()];
    for request in &trace.requests {
        let allowed = ladder_at(trace, ratings, request, ladder);
        tallies[request.cell].add(&run(trace, request, allowed));
    }
    tallies
}

/// What of a ladder may run: its last step alone where it cannot be decided.
fn ladder_at<'a>(trace: &Trace, ratings: Ratings, request: &Request, ladder: &'a [usize]) -> &'a [usize] {
    let cascades =
        trace.cells[request.cell].repeat == Repeat::Idempotent && ratings.rater(request.at) == Rater::Available;
    if cascades { ladder } else { &ladder[ladder.len() - 1..] }
}

/// Runs a request up a ladder of tiers until an answer passes.
fn run(trace: &Trace, request: &Request, ladder: &[usize]) -> Tally {
    let mut tally = Tally { requests: 1, ..Tally::default() };
    for (step, tier) in ladder.iter().enumerate() {
        let rating = if step + 1 < ladder.len() { RATING_MS } else { 0 };
        tally.cost += trace.cost(request, *tier);
        tally.millis += as_f64(trace::run_ms(request, *tier) + rating);
        if trace.passes(request, *tier) {
            tally.passes = 1.0;
            break;
        }
    }
    tally.slow = slow(tally.millis);
    tally
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.passes += other.passes;
        self.cost += other.cost;
        self.millis += other.millis;
        self.slow += other.slow;
    }
}

/// A request under way.
struct Flight {
    request: Request,
    choice: Choice,
    step: usize,
    pending: Pending,
    tally: Tally,
}

/// What one instance has learned.
#[derive(Default)]
struct Instance {
    quality: Estimates,
    pending_answers: PendingAnswers,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Answered { request: usize },
    Rated { request: usize, pass: bool },
}

/// Our decisions in one loop over the events of a trace.
struct Ours<'a> {
    trace: &'a Trace,
    ratings: Ratings,
    instances: Vec<Instance>,
    flights: Vec<Option<Flight>>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    tallies: Vec<Tally>,
}

fn ours(trace: &Trace, ratings: Ratings) -> Vec<Tally> {
    let mut ours = Ours {
        trace,
        ratings,
        instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
        flights: trace.requests.iter().map(|_| None).collect(),
        events: BinaryHeap::new(),
        sequence: 0,
        tallies: vec![Tally::default(); trace.cells.len()],
    };
    for (index, request) in trace.requests.iter().enumerate() {
        ours.schedule(request.at, Event::Arrive(index));
    }
    while let Some(Reverse((now, _, event))) = ours.events.pop() {
        match event {
            Event::Arrive(request) => ours.arrive(request, now),
            Event::Answered { request } => ours.answered(request, now),
            Event::Rated { request, pass } => {
                let Instance { quality, pending_answers } = &mut ours.instances[instance(request)];
                pending_answers.record_rating(quality, request as u64, pass);
            }
        }
    }
    ours.tallies
}

impl Ours<'_> {
    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn arrive(&mut self, index: usize, now: Timestamp) {
        let request = self.trace.requests[index];
        let cell = &self.trace.cells[request.cell];
        let quality = &mut self.instances[instance(index)].quality;
        let choice = model::choose(&Inputs {
            catalog: &self.trace.catalog,
            customer: &cell.customer,
            model: &cell.model,
            class: &cell.class,
            session: None,
            unit: Unit(hash::stable(&request.id.to_le_bytes())),
            stops: &Stops::default(),
            repeat: cell.repeat,
            prompt_tokens: request.prompt,
            max_tokens: None,
            now,
            left_ms: LEFT_MS,
            ceiling: Amount(u64::MAX),
            rater: self.ratings.rater(now),
            quality,
        })
        .expect("every request of the trace may run");
        let pending =
            quality.add_pending(Cell::new(&cell.customer, &cell.class), choice.expected_pass_rate(0), cell.target);
        let tally = Tally { requests: 1, ..Tally::default() };
        self.flights[index] = Some(Flight { request, choice, step: 0, pending, tally });
        self.start(index, now);
    }

    fn start(&mut self, index: usize, now: Timestamp) {
        let Some(flight) = self.flights[index].as_mut() else { return };
        let tier = usize::from(flight.choice.steps()[flight.step].tier());
        let last = flight.step + 1 == flight.choice.steps().len();
        let rating = if last || self.ratings.rater(now) == Rater::Unavailable { 0 } else { RATING_MS };
        let millis = trace::run_ms(&flight.request, tier) + rating;
        flight.tally.cost += self.trace.cost(&flight.request, tier);
        flight.tally.millis += as_f64(millis);
        self.schedule(now.plus(millis), Event::Answered { request: index });
    }

    fn answered(&mut self, index: usize, now: Timestamp) {
        let Some(mut flight) = self.flights[index].take() else { return };
        let permit = &flight.choice.steps()[flight.step];
        let tier = usize::from(permit.tier());
        let pass = self.trace.passes(&flight.request, tier);
        let stage = if flight.step == 0 { Stage::First } else { Stage::Escalated };
        let truth = &self.trace.cells[flight.request.cell];
        let cell = Cell::new(&truth.customer, &truth.class);
        let Instance { quality, pending_answers } = &mut self.instances[instance(index)];
        quality.record_run(cell, permit.version(), trace::run_ms(&flight.request, tier), flight.request.output, now);

        let decides = flight.step + 1 < flight.choice.steps().len() && self.ratings.rater(now) == Rater::Available;
        if decides {
            quality.record_rating(cell, permit.version(), stage, pass);
        }
        if decides && !pass {
            flight.step += 1;
            flight.pending =
                quality.update_pending(cell, flight.pending, flight.choice.expected_pass_rate(flight.step));
            self.flights[index] = Some(flight);
            self.start(index, now);
            return;
        }
        flight.tally.passes = f64::from(u8::from(pass));
        flight.tally.slow = slow(flight.tally.millis);
        self.tallies[flight.request.cell].add(&flight.tally);
        if decides {
            quality.record_final_rating(cell, flight.pending, pass);
            return;
        }
        let answer = Answer { cell, version: permit.version(), stage, pending: flight.pending };
        pending_answers.add(quality, index as u64, &answer, now);
        if !missing(index) {
            self.schedule(self.ratings.rated_at(now), Event::Rated { request: index, pass });
        }
    }
}

fn slow(millis: f64) -> f64 {
    f64::from(u8::from(millis > SLOW_MS))
}

fn instance(request: usize) -> usize {
    usize::from(hash::stable(&request.to_le_bytes()).is_multiple_of(INSTANCES))
}

#[expect(clippy::cast_precision_loss, reason = "a share needs no more than 53 bits")]
fn missing(request: usize) -> bool {
    (hash::rendezvous(request as u64, b"missing") as f64) < MISSING * u64::MAX as f64
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 milliseconds")]
fn as_f64(millis: Millis) -> f64 {
    millis as f64
}
