//! What callers get for what runs cost, with models chosen by value and by fixed thresholds.
//!
//! Requests of all difficulties and readings with all degrees of noise are played once each, so that
//! the figures are exact and need no seed. `--nocapture` prints them.

use route::relay::ladder::{
    Outlook, Remaining, Step, Urgency, next_step,
    value::{self, Answer, Worth},
};

const QUALITIES: [f64; 3] = [0.54, 0.64, 1.0];
const PRICES: [f64; 3] = [0.1, 0.33, 1.0];
const OUTLOOKS: [Outlook; 3] = [Outlook::InTime; 3];
const DIFFICULTIES: u32 = 200;
const NOISES: u32 = 40;

/// Attempts that are left after the first answer.
const ATTEMPTS: u32 = 2;

/// How models answer.
#[derive(Clone, Copy)]
struct World {
    /// Confidence at which an answer is right in half of the cases.
    midpoint: f64,
    /// Noise of a confidence, in points.
    width: f64,
}

/// The world that the calibration expects.
const EXPECTED: World = World { midpoint: 50.0, width: 8.0 };

impl World {
    /// Returns the confidence of a model; `noise` is a quantile.
    fn confidence(self, model: usize, difficulty: f64, noise: f64) -> u32 {
        let noise = self.width * (noise / (1.0 - noise)).ln();
        let reading = self.midpoint + 100.0 * (QUALITIES[model] - difficulty) + noise;
        (0..=100).rev().find(|whole| f64::from(*whole) <= reading.max(0.0)).unwrap_or(0)
    }
}

/// What one policy has gained.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    right: f64,
    price: f64,
}

impl Outcome {
    fn net(self, value: f64) -> f64 {
        value * self.right - self.price
    }
}

/// Plays all requests from the smallest model on, with a decision after each answer.
fn play(world: World, decide: impl Fn(usize, u32, Remaining) -> Step) -> Outcome {
    let mut sum = Outcome::default();
    for (d, n) in (0..DIFFICULTIES).flat_map(|d| (0..NOISES).map(move |n| (d, n))) {
        let difficulty = (f64::from(d) + 0.5) / f64::from(DIFFICULTIES);
        let (mut model, mut attempts) = (0, ATTEMPTS);
        loop {
            sum.price += PRICES[model];
            // Another model's noise is its own.
            let noise = (f64::from((n * 17 + u32::try_from(model).unwrap() * 11) % NOISES) + 0.5) / f64::from(NOISES);
            let confidence = world.confidence(model, difficulty, noise);
            match decide(model, confidence, Remaining { attempts, allowance: true }) {
                Step::Escalate(next) => (model, attempts) = (next, attempts - 1),
                Step::Keep => break,
            }
        }
        sum.right += f64::from(u8::from(QUALITIES[model] > difficulty));
    }
    let requests = f64::from(DIFFICULTIES * NOISES);
    Outcome { right: sum.right / requests, price: sum.price / requests }
}

fn by_value(world: World, value: f64) -> Outcome {
    let worth = Worth { right_answer: value, prices: &PRICES, pressure: 0.0 };
    play(world, |index, confidence, remaining| {
        let answer = Answer { index, confidence: Some(confidence), is_late: false };
        value::next_step(answer, remaining, &OUTLOOKS, &worth).step
    })
}

fn by_threshold(world: World, urgency: Urgency) -> Outcome {
    play(world, |index, confidence, remaining| next_step(index, Some(confidence), urgency, remaining, &OUTLOOKS))
}

/// Plays the ranks that the fixed thresholds know and prints what each policy gains.
fn compare(name: &str, world: World) -> Vec<(f64, f64)> {
    let ranks = [(Urgency::First, 20.0), (Urgency::Usual, 5.0), (Urgency::Last, 0.9)];
    let compared = ranks.map(|(urgency, value)| {
        let (fixed, valued) = (by_threshold(world, urgency), by_value(world, value));
        println!(
            "{name}, value {value}: fixed {:.3} right for {:.3}, net {:.3}; by value {:.3} right for {:.3}, net {:.3}",
            fixed.right,
            fixed.price,
            fixed.net(value),
            valued.right,
            valued.price,
            valued.net(value)
        );
        (fixed.net(value), valued.net(value))
    });
    compared.into()
}

/// Every rank gains by it where confidences are as the calibration expects.
#[test]
fn choice_by_value_gains_more_than_fixed_thresholds() {
    for (fixed, valued) in compare("as expected", EXPECTED) {
        assert!(valued >= fixed, "{valued} {fixed}");
    }
}

/// Nobody tells the relay how far off its calibration is. Where the fixed thresholds happen to suit
/// the models better, the choice by value must lose no more than a hundredth of a request's value.
#[test]
fn choice_by_value_tolerates_a_calibration_that_is_off() {
    for (name, world) in [
        ("midpoint 20", World { midpoint: 20.0, ..EXPECTED }),
        ("midpoint 42", World { midpoint: 42.0, ..EXPECTED }),
        ("midpoint 58", World { midpoint: 58.0, ..EXPECTED }),
        ("midpoint 80", World { midpoint: 80.0, ..EXPECTED }),
        ("width 4", World { width: 4.0, ..EXPECTED }),
        ("width 14", World { width: 14.0, ..EXPECTED }),
    ] {
        for (value, (fixed, valued)) in [20.0, 5.0, 0.9].into_iter().zip(compare(name, world)) {
            assert!(valued >= fixed - 0.01 * value, "{name}: {valued} {fixed}");
        }
    }
}
