//! Ways to choose an endpoint by loads that are out of date.

use std::time::Duration;

use route::relay::{
    balance::{self, Pace, Turn},
    placement::{self, Candidate, Request},
};

use super::simulation::{DOMAINS, Endpoint, count};

/// Time for which an endpoint counts as full after a rejection, as in the relay.
const FULL_US: u64 = 150_000;

/// Weight of an observation in the mean response time of all endpoints, as in the relay.
const USUAL_WEIGHT: f64 = 0.02;

/// Smallest weight of an endpoint that has no free slots as far as known, as a share of its slots.
const MIN_FREE: f64 = 0.05;

/// Time after which an instance uses other endpoints, where it uses only some of them.
const SUBSET_US: u64 = 2_000_000;

/// How an instance chooses endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// At random.
    Random,
    /// As `placement: reported` does.
    Reported,
    /// The same, with loads weighted by age towards the mean of the endpoints.
    Aged,
    /// The same, where the others are assumed to have sent since then as this instance has.
    Mirrored,
    /// At random in proportion to free slots, by loads weighted by age.
    Free,
    /// At random in proportion to slots over response times.
    Feedback,
    /// The least loaded of a third of the endpoints, by loads weighted by age.
    Subset,
    /// As `placement: balanced` does: in turns, in proportion to slots over response times.
    Balanced,
    /// The shortest wait by loads that are always known.
    Perfect,
}

impl Method {
    pub const ALL: [Self; 9] = [
        Self::Random,
        Self::Reported,
        Self::Aged,
        Self::Mirrored,
        Self::Free,
        Self::Feedback,
        Self::Subset,
        Self::Balanced,
        Self::Perfect,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::Reported => "reported",
            Self::Aged => "by age",
            Self::Mirrored => "mirrored",
            Self::Free => "free slots",
            Self::Feedback => "response times",
            Self::Subset => "subset",
            Self::Balanced => "balanced",
            Self::Perfect => "perfect",
        }
    }
}

/// What an instance knows when it chooses.
pub struct View<'a> {
    pub endpoints: &'a [Endpoint],
    /// Own runs at each endpoint.
    pub own: &'a [u32],
    /// Runs of other instances at each endpoint, as reported.
    pub others: &'a [u32],
    pub age_ms: f64,
    pub now_us: u64,
    /// Endpoints that rejected the request.
    pub tried: &'a [usize],
}

/// What an instance has learned from its own requests.
pub struct Chooser {
    number: usize,
    names: Vec<String>,
    full_until_us: Vec<u64>,
    paces: Vec<Pace>,
    /// Mean response time of all endpoints, in milliseconds.
    usual_ms: f64,
    /// Sends to each endpoint since the last report.
    sends: Vec<u32>,
    /// When the first of its runs at each endpoint was sent, and the latest response came from there.
    busy_since_us: Vec<u64>,
    responded_us: Vec<u64>,
    clock: f64,
    due: Vec<Option<f64>>,
}

impl Chooser {
    pub fn new(number: usize, endpoints: &[Endpoint]) -> Self {
        let total_ms: f64 = endpoints.iter().map(|endpoint| endpoint.run_ms).sum();
        Self {
            number,
            names: (0..endpoints.len()).map(|endpoint| format!("e{endpoint}")).collect(),
            full_until_us: vec![0; endpoints.len()],
            paces: vec![Pace::default(); endpoints.len()],
            usual_ms: total_ms / f64::from(count(endpoints.len())),
            sends: vec![0; endpoints.len()],
            busy_since_us: vec![0; endpoints.len()],
            responded_us: vec![0; endpoints.len()],
            clock: 0.0,
            due: vec![None; endpoints.len()],
        }
    }

    pub fn record_rejection(&mut self, endpoint: usize, now_us: u64) {
        self.full_until_us[endpoint] = now_us + FULL_US;
    }

    pub fn record_response(&mut self, endpoint: usize, took_ms: f64, now_us: u64) {
        self.responded_us[endpoint] = now_us;
        self.paces[endpoint].observe(took_ms / self.usual_ms, Duration::from_micros(now_us));
        self.usual_ms += USUAL_WEIGHT * (took_ms - self.usual_ms);
    }

    pub fn record_report(&mut self) {
        self.sends.fill(0);
    }

    /// Chooses an endpoint by a random number.
    pub fn choose(&mut self, method: Method, view: &View<'_>, draw: u64) -> usize {
        let open: Vec<usize> = (0..view.endpoints.len()).filter(|endpoint| !view.tried.contains(endpoint)).collect();
        let chosen = match method {
            Method::Random => weighted(&open, draw, |_| 1.0),
            Method::Reported | Method::Aged | Method::Mirrored => self.least(method, view, &open, draw),
            Method::Free => {
                let free = |endpoint: usize| view.slots(endpoint) - self.runs(Method::Aged, view, endpoint);
                weighted(&open, draw, |endpoint| free(endpoint).max(MIN_FREE * view.slots(endpoint)))
            }
            Method::Feedback => weighted(&open, draw, |endpoint| {
                let is_full = self.full_until_us[endpoint] > view.now_us;
                let rate = view.slots(endpoint) / self.paces[endpoint].factor(1.0, Duration::from_micros(view.now_us));
                if is_full { rate * MIN_FREE } else { rate }
            }),
            Method::Subset => self.least_of_subset(view, &open),
            Method::Balanced => self.next_in_turn(view, &open),
            Method::Perfect => least_wait(view, &open),
        };
        if view.own[chosen] == 0 {
            self.busy_since_us[chosen] = view.now_us;
        }
        self.sends[chosen] += 1;
        chosen
    }

    /// Chooses as the relay does by reported loads, or by loads that are estimated from them.
    fn least(&self, method: Method, view: &View<'_>, open: &[usize], draw: u64) -> usize {
        let candidates = self.candidates(method, view, open);
        let choice = placement::choose(&candidates, self.request(), draw).expect("there are candidates");
        open[choice.index]
    }

    fn next_in_turn(&mut self, view: &View<'_>, open: &[usize]) -> usize {
        let candidates = self.candidates(Method::Aged, view, open);
        let now = Duration::from_micros(view.now_us);
        let turn = |endpoint: &usize| Turn {
            due: self.due[*endpoint],
            others: self.runs(Method::Balanced, view, *endpoint) - f64::from(view.own[*endpoint]),
            pace: self.paces[*endpoint].factor(1.0, now),
            is_full: self.full_until_us[*endpoint] > view.now_us,
            is_silent: self.is_silent(view, *endpoint),
        };
        let turns: Vec<Turn> = open.iter().map(turn).collect();
        let seed = u64::from(count(self.number));
        let balanced = balance::choose(&candidates, &turns, self.request(), self.clock, seed);
        let balanced = balanced.expect("there are candidates");
        let chosen = open[balanced.choice.index];
        for (index, due) in balanced.entered {
            self.due[open[index]] = Some(due);
        }
        (self.clock, self.due[chosen]) = (balanced.clock, Some(balanced.due));
        chosen
    }

    fn is_silent(&self, view: &View<'_>, endpoint: usize) -> bool {
        let since_us = self.busy_since_us[endpoint].max(self.responded_us[endpoint]);
        let silence = Duration::from_micros(view.now_us.saturating_sub(since_us));
        view.own[endpoint] > 0 && balance::is_silent(silence, Duration::from_secs_f64(self.usual_ms / 1_000.0), 0.0)
    }

    fn least_of_subset(&self, view: &View<'_>, open: &[usize]) -> usize {
        let turn = usize::try_from(view.now_us / SUBSET_US).unwrap_or_default() + self.number;
        let (count, width) = (view.endpoints.len(), view.endpoints.len().div_ceil(3));
        let is_used = |endpoint: &&usize| (**endpoint + count - turn * width % count) % count < width;
        let used: Vec<usize> = open.iter().filter(is_used).copied().collect();
        let used = if used.is_empty() { open } else { &used };
        let relative = |endpoint: usize| self.runs(Method::Aged, view, endpoint) / view.slots(endpoint);
        *used.iter().min_by(|a, b| relative(**a).total_cmp(&relative(**b))).expect("there are some")
    }

    fn candidates<'a>(&'a self, method: Method, view: &View<'_>, open: &[usize]) -> Vec<Candidate<'a>> {
        let candidate = |endpoint: &usize| Candidate {
            id: &self.names[*endpoint],
            slots: view.endpoints[*endpoint].slots,
            runs: self.runs(method, view, *endpoint),
            backlog_ms: 0.0,
            reported_backlog_ms: 0.0,
            slowness: 1.0,
            pace: 1.0,
            excess_failure_rate: 0.0,
            local: endpoint % DOMAINS == self.number % DOMAINS,
            holds_prefix: false,
            holds_prompt: false,
        };
        open.iter().map(candidate).collect()
    }

    /// Runs that are assumed to be at an endpoint.
    fn runs(&self, method: Method, view: &View<'_>, endpoint: usize) -> f64 {
        let full = if self.full_until_us[endpoint] > view.now_us { view.slots(endpoint) } else { 0.0 };
        let reported = f64::from(view.others[endpoint]);
        let total = f64::from(view.others.iter().sum::<u32>());
        let all_slots: f64 = (0..view.endpoints.len()).map(|endpoint| view.slots(endpoint)).sum();
        let age = Duration::from_secs_f64(view.age_ms / 1_000.0);
        let run = Duration::from_secs_f64(self.usual_ms / 1_000.0);
        let others = match method {
            Method::Reported => reported,
            Method::Mirrored => {
                let sent = f64::from(self.sends[endpoint]) / f64::from(self.sends.iter().sum::<u32>().max(1));
                balance::runs_now(reported, sent * total, age, run)
            }
            Method::Balanced => balance::dependable_runs(reported, total * view.slots(endpoint) / all_slots, age, run),
            _ => balance::runs_now(reported, total * view.slots(endpoint) / all_slots, age, run),
        };
        f64::from(view.own[endpoint]) + others + full
    }

    fn request(&self) -> Request {
        Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: self.usual_ms }
    }
}

impl View<'_> {
    fn slots(&self, endpoint: usize) -> f64 {
        f64::from(self.endpoints[endpoint].slots)
    }
}

/// The endpoint with the shortest wait, or of those that have free slots the one that has the most.
fn least_wait(view: &View<'_>, open: &[usize]) -> usize {
    let runs = |endpoint: usize| f64::from(view.own[endpoint] + view.others[endpoint]);
    let wait_ms = |endpoint: usize| {
        let waiting = (runs(endpoint) + 1.0 - view.slots(endpoint)).max(0.0);
        waiting / view.slots(endpoint) * view.endpoints[endpoint].run_ms
    };
    let relative = |endpoint: usize| (runs(endpoint) + 1.0) / view.slots(endpoint) * view.endpoints[endpoint].run_ms;
    let order =
        |a: &&usize, b: &&usize| wait_ms(**a).total_cmp(&wait_ms(**b)).then(relative(**a).total_cmp(&relative(**b)));
    *open.iter().min_by(order).expect("there are some")
}

/// An endpoint at random in proportion to weights.
fn weighted(open: &[usize], draw: u64, weight: impl Fn(usize) -> f64) -> usize {
    let total: f64 = open.iter().map(|endpoint| weight(*endpoint)).sum();
    let mut left = f64::from(u32::try_from(draw >> 32).unwrap_or_default()) / f64::from(u32::MAX) * total;
    let chosen = open.iter().find(|endpoint| {
        left -= weight(**endpoint);
        left <= 0.0
    });
    *chosen.unwrap_or(&open[open.len() - 1])
}
