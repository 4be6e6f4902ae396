//! Selects models by the value that callers are expected to get, less the price of the runs.
//!
//! All values and prices of a request are multiples of the price of one run of the largest model
//! for it. A right answer in time has a value that the operator sets by rank, a late one a part of
//! it, and a wrong one or one past the deadline none. A smaller model's answer is dropped if a
//! larger one is expected to gain more than its run costs.
//!
//! When the service has little capacity left, a larger model takes time from other callers, which
//! its price does not contain. The price therefore rises with the pressure: answers of lower
//! confidence are kept, cheap ranks first, before callers have to wait.

use super::{
    MAX_IN_TIME, Outlook, RelativeTime, Remaining, Step,
    calibration::{self, Reading, Size},
};

/// Value of a late answer as a part of the value of one in time.
const LATE_VALUE: f64 = 0.3;

/// Part of the time until the deadline that a run may be expected to take to its first byte; what
/// is expected later often misses the deadline.
const MAX_OF_DEADLINE: f64 = 0.5;

/// Demand over capacity up to which larger models cost no more than their price. Traffic varies by
/// half within seconds, and up to here such a rise still finds room.
const FREE_PRESSURE: f64 = 0.7;

/// Rise of the pressure that doubles the price of larger models. It is four times as high when
/// demand reaches the capacity, so that answers which are probably right are kept just before
/// callers have to wait.
const DOUBLING_PRESSURE: f64 = 0.15;

/// Pressure above which the price rises no further: it is 400 times as high, and only the most
/// valuable requests are escalated.
const MAX_PRESSURE: f64 = 2.0;

/// What a request is worth, and what its runs cost.
#[derive(Debug, Clone, Copy)]
pub struct Worth<'a> {
    /// Value of a right answer in time.
    pub right_answer: f64,
    /// Price of a run of each model, smallest first.
    pub prices: &'a [f64],
    /// Demand for the service over its capacity; 0 if unknown.
    pub pressure: f64,
}

impl Worth<'_> {
    /// Returns the price of a run; no model is smaller than the smallest, so its price is fixed.
    fn price(&self, index: usize) -> f64 {
        let price = self.prices.get(index).copied().unwrap_or_default();
        let excess = (self.pressure.min(MAX_PRESSURE) - FREE_PRESSURE).max(0.0);
        if index == 0 { price } else { price * (excess / DOUBLING_PRESSURE).exp2() }
    }

    /// Returns the worth of the same request at a service that has capacity to spare.
    fn without_pressure(&self) -> Self {
        Self { pressure: 0.0, ..*self }
    }
}

/// Returns the value of a right answer to a request of a rank; `values` is ordered by rank, and the
/// last one applies to all further ranks.
#[must_use]
pub fn of_rank(values: &[f64], rank: u8) -> f64 {
    values.get(usize::from(rank)).or(values.last()).copied().unwrap_or_default()
}

/// Model to start with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Index of the model.
    pub model: usize,
    /// Whether it would be a larger one without pressure.
    pub is_shed: bool,
}

/// An answer of a model whose first event has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Index of the model.
    pub index: usize,
    /// The model's confidence, if it gave one.
    pub confidence: Option<u32>,
    /// Whether the target time has passed.
    pub is_late: bool,
}

/// Why an answer is kept or dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No model is larger.
    Largest,
    /// The model gave no confidence.
    NoConfidence,
    /// No attempt or no allowance is left.
    NoRunLeft,
    /// No larger model is expected to gain more than its run costs.
    TooDear,
    /// A larger model would be worth its price if the service had capacity to spare.
    Pressure,
    /// A larger model is expected to gain more than its run costs.
    Gain,
}

/// What to do with an answer, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// What to do.
    pub step: Step,
    /// Why.
    pub reason: Reason,
    /// Whether a larger model would be asked without pressure.
    pub is_shed: bool,
    /// Expected gain of the best larger model over the answer, less its price; `None` if it was not
    /// compared.
    pub gain: Option<f64>,
}

impl Decision {
    fn keep(reason: Reason) -> Self {
        Self { step: Step::Keep, reason, is_shed: false, gain: None }
    }
}

/// Selects the model whose course has the highest expected value: its answer is kept, or a larger
/// model is asked after it. `times` is ordered from the smallest model, and `deadline` is the time
/// left for the caller on the same scale.
#[must_use]
pub fn first_model(remaining: Remaining, times: &[RelativeTime], deadline: f64, worth: &Worth<'_>) -> Start {
    let model = best_start(remaining, times, deadline, worth);
    let is_shed =
        worth.pressure > FREE_PRESSURE && model < best_start(remaining, times, deadline, &worth.without_pressure());
    Start { model, is_shed }
}

/// Returns the index of the model whose course has the highest expected value, and the smallest of
/// equal ones. Models whose answers would end too late are left out unless all of them are.
fn best_start(remaining: Remaining, times: &[RelativeTime], deadline: f64, worth: &Worth<'_>) -> usize {
    let value = |index| course_value(index, remaining, times, deadline, worth);
    let better = |best: (usize, f64), next: (usize, f64)| if next.1 > best.1 { next } else { best };
    let in_time = (0..times.len()).filter(|index| times[*index] != RelativeTime::NEVER);
    in_time.map(|index| (index, value(index))).reduce(better).map_or(0, |(index, _)| index)
}

/// Returns the expected value of a request that starts at the model at `index`.
///
/// The time of a further run is taken from an idle endpoint. Queues make all models late and must
/// not look like long prompts, which go to a large model at once: that would prolong an overload.
fn course_value(index: usize, remaining: Remaining, times: &[RelativeTime], deadline: f64, worth: &Worth<'_>) -> f64 {
    let size = |index| Size::of(index, times.len());
    let own = time_value(times[index].now, deadline);
    let after = |next: usize| own.min(time_value(times[index].idle + times[next].idle, deadline));
    let may_escalate = remaining.attempts > 1 && remaining.allowance;
    let further = if may_escalate { index + 1..times.len() } else { 0..0 };
    let best = |reading: Reading| {
        let kept = worth.right_answer * own * reading.probability(size(index));
        let gained = |next| worth.right_answer * after(next) * reading.probability(size(next)) - worth.price(next);
        further.clone().map(gained).fold(kept, f64::max)
    };
    calibration::mean(size(index), best) - worth.price(index)
}

/// Returns the part of its value that an answer at a relative time has.
fn time_value(time: f64, deadline: f64) -> f64 {
    if time >= deadline {
        // A deadline may end before the target time.
        0.0
    } else if time <= MAX_IN_TIME {
        1.0
    } else if time <= MAX_OF_DEADLINE * deadline {
        LATE_VALUE
    } else {
        0.0
    }
}

/// Decides whether an answer is kept or a larger model is asked. `outlooks` holds the expected time
/// of each model, smallest first.
#[must_use]
pub fn next_step(answer: Answer, remaining: Remaining, outlooks: &[Outlook], worth: &Worth<'_>) -> Decision {
    if answer.index + 1 >= outlooks.len() {
        return Decision::keep(Reason::Largest);
    }
    let Some(confidence) = answer.confidence else { return Decision::keep(Reason::NoConfidence) };
    if remaining.attempts == 0 || !remaining.allowance {
        return Decision::keep(Reason::NoRunLeft);
    }
    let size = |index| Size::of(index, outlooks.len());
    let reading = Reading { size: size(answer.index), confidence: f64::from(confidence.min(100)) };
    let kept = worth.right_answer * if answer.is_late { LATE_VALUE } else { 1.0 } * reading.probability(reading.size);
    let best_gain = |worth: &Worth<'_>| {
        let value = |next: usize| worth.right_answer * outlook_value(outlooks[next]) * reading.probability(size(next));
        let gain = |next| (next, value(next) - worth.price(next) - kept);
        let larger = (answer.index + 1..outlooks.len()).map(gain);
        larger.reduce(|best, next| if next.1 > best.1 { next } else { best }).unwrap_or((answer.index, 0.0))
    };
    let chosen = |(next, gain): (usize, f64)| if gain > 0.0 { next } else { answer.index };
    let (next, gain) = best_gain(worth);
    let is_shed = worth.pressure > FREE_PRESSURE && chosen((next, gain)) < chosen(best_gain(&worth.without_pressure()));
    let (step, reason) = match gain {
        gain if gain > 0.0 => (Step::Escalate(next), Reason::Gain),
        _ if is_shed => (Step::Keep, Reason::Pressure),
        _ => (Step::Keep, Reason::TooDear),
    };
    Decision { step, reason, is_shed, gain: Some(gain) }
}

/// Returns the part of its value that an answer of a further run has.
///
/// One that would be late because of the queues has none: half of the answers are likely wrong, and
/// escalating them would make all requests wait longer.
fn outlook_value(outlook: Outlook) -> f64 {
    match outlook {
        Outlook::InTime => 1.0,
        Outlook::LateByLength => LATE_VALUE,
        Outlook::LateByQueues | Outlook::TooLate => 0.0,
    }
}
