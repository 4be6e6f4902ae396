//! Estimates from a model's confidence how likely an answer is right.
//!
//! A request has a difficulty, and a model answers it correctly if the model's quality is above
//! it. A confidence is a noisy reading of how far above. The reading of one model therefore also
//! tells how likely another one is right: it is shifted by the difference of their qualities.
//!
//! The constants here are a prior that nothing corrects at run time. Nobody tells the relay
//! whether an answer was right, and the confidences that a model shows cannot replace that: low
//! confidences on a route mean either that the readings of the model are low or that the requests
//! are hard. In the first case a given confidence is more likely right than the prior says, in the
//! second it is not, and both look the same. A correction that assumed the first would keep
//! wrong answers whenever requests become harder, and one team could cause that for all others of
//! the route. The distribution of confidences is exported as a metric, so that the constants can
//! be compared with answers that were checked elsewhere.

/// Confidence at which an answer is as likely right as wrong.
const MIDPOINT: f64 = 50.0;

/// Noise of a confidence, in points: one this far above the midpoint is right in 73% of cases, one
/// three times as far in 95%.
const WIDTH: f64 = 8.0;

/// Points of confidence between the easiest request and the hardest.
const DIFFICULTY_POINTS: f64 = 100.0;

/// Share of requests that the smallest model answers correctly.
const SMALLEST_QUALITY: f64 = 0.54;

/// Share of requests that a model between the smallest and the largest answers correctly.
const MIDDLE_QUALITY: f64 = 0.64;

/// Number of difficulties over which a request's course is averaged before any answer is known.
const DIFFICULTIES: u32 = 40;

/// Place of a model in its ladder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// The smallest of several models.
    Smallest,
    /// Between the smallest and the largest.
    Middle,
    /// The largest model, or the only one. Its answers count as right: there is no better one.
    Largest,
}

impl Size {
    /// Returns the place of the model at `index` of a ladder of `models` models.
    #[must_use]
    pub fn of(index: usize, models: usize) -> Self {
        if index + 1 >= models {
            Self::Largest
        } else if index == 0 {
            Self::Smallest
        } else {
            Self::Middle
        }
    }

    /// Returns the share of requests that the model answers correctly.
    fn quality(self) -> f64 {
        match self {
            Self::Smallest => SMALLEST_QUALITY,
            Self::Middle => MIDDLE_QUALITY,
            Self::Largest => 1.0,
        }
    }
}

/// Confidence of a model in its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    /// The model that gave the answer.
    pub size: Size,
    /// The confidence, from 0 to 100.
    pub confidence: f64,
}

impl Reading {
    /// Returns the probability that a model's answer to the same request is right.
    #[must_use]
    pub fn probability(self, of: Size) -> f64 {
        if of == Size::Largest {
            return 1.0;
        }
        let lead = DIFFICULTY_POINTS * (of.quality() - self.size.quality());
        1.0 / (1.0 + ((MIDPOINT - self.confidence - lead) / WIDTH).exp())
    }
}

/// Returns the readings that a model shows of requests of all difficulties, each as likely as the
/// others.
pub fn readings(size: Size) -> impl Iterator<Item = Reading> {
    let difficulty = |n: u32| (f64::from(n) + 0.5) / f64::from(DIFFICULTIES);
    let confidence = move |difficulty| MIDPOINT + DIFFICULTY_POINTS * (size.quality() - difficulty);
    (0..DIFFICULTIES).map(move |n| Reading { size, confidence: confidence(difficulty(n)) })
}

/// Returns the mean of a quantity over the readings of a model.
pub fn mean(size: Size, quantity: impl Fn(Reading) -> f64) -> f64 {
    readings(size).map(quantity).sum::<f64>() / f64::from(DIFFICULTIES)
}
