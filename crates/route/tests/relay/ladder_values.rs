//! Larger models are used where they are expected to gain more than they cost.
//!
//! Prices are those of a ladder whose smallest model costs a tenth and whose middle one a third of
//! the largest.

use route::relay::ladder::{
    Outlook, RelativeTime, Remaining, Step,
    value::{Answer, Decision, Reason, Start, Worth, first_model, next_step, of_rank},
};

const PRICES: [f64; 3] = [0.1, 0.33, 1.0];
const REMAINING: Remaining = Remaining { attempts: 2, allowance: true };

/// A deadline far beyond the target time.
const FAR: f64 = 10.0;

const IN_TIME: [Outlook; 3] = [Outlook::InTime; 3];
const LATE_BY_LENGTH: [Outlook; 3] = [Outlook::InTime, Outlook::InTime, Outlook::LateByLength];
const LATE_BY_QUEUES: [Outlook; 3] = [Outlook::LateByQueues; 3];
const TOO_LATE: [Outlook; 3] = [Outlook::InTime, Outlook::TooLate, Outlook::TooLate];

/// Values of ranks 0 to 2 in these tests.
const DEAR: f64 = 20.0;
const USUAL: f64 = 5.0;
const CHEAP: f64 = 0.9;

fn worth(right_answer: f64, pressure: f64) -> Worth<'static> {
    Worth { right_answer, prices: &PRICES, pressure }
}

fn answer(confidence: u32) -> Answer {
    Answer { index: 0, confidence: Some(confidence), is_late: false }
}

/// Returns what is done with an answer of the smallest model.
fn decide(right_answer: f64, pressure: f64, confidence: u32, outlooks: [Outlook; 3]) -> Decision {
    next_step(answer(confidence), REMAINING, &outlooks, &worth(right_answer, pressure))
}

/// Returns the lowest confidence at which the small model's answer is kept, in a ladder of two.
fn break_even(right_answer: f64, pressure: f64, largest: Outlook) -> u32 {
    let worth = Worth { prices: &[0.1, 1.0], ..worth(right_answer, pressure) };
    let outlooks = [Outlook::InTime, largest];
    let is_kept = |confidence| next_step(answer(confidence), REMAINING, &outlooks, &worth).step == Step::Keep;
    let first = (0..=100).find(|confidence| is_kept(*confidence)).unwrap_or(101);
    assert!((first..=100).all(is_kept), "a higher confidence must not escalate where a lower one does not");
    first
}

macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident: $value:expr, $pressure:expr, $confidence:expr, $outlooks:expr => $step:expr, $reason:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let decision = decide($value, $pressure, $confidence, $outlooks);
            assert_eq!((decision.step, decision.reason), ($step, $reason), "{decision:?}");
        }
    )*};
}

steps! {
    // The most frequent requests are short checks. Half of them would occupy the largest model,
    // each for more than its answer is worth.
    cheap_request_is_never_escalated_to_the_largest: CHEAP, 0.0, 0, IN_TIME => Step::Keep, Reason::TooDear;
    worthless_request_is_kept: 0.0, 0.0, 0, IN_TIME => Step::Keep, Reason::TooDear;
    usual_request_with_a_wrong_answer_is_escalated: USUAL, 0.0, 20, IN_TIME => Step::Escalate(2), Reason::Gain;
    usual_request_with_a_right_answer_is_kept: USUAL, 0.0, 80, IN_TIME => Step::Keep, Reason::TooDear;
    dear_request_with_a_doubtful_answer_is_escalated: DEAR, 0.0, 60, IN_TIME => Step::Escalate(2), Reason::Gain;
    // A prompt of 30,000 tokens: the largest model is late, and a late answer is worth a third.
    doubtful_answer_to_a_long_prompt_goes_to_the_middle_model: DEAR, 0.0, 45, LATE_BY_LENGTH => Step::Escalate(1), Reason::Gain;
    fair_answer_to_a_long_prompt_is_kept: USUAL, 0.0, 70, LATE_BY_LENGTH => Step::Keep, Reason::TooDear;
    wrong_answer_to_a_long_valuable_prompt_goes_to_the_late_largest: DEAR, 0.0, 0, LATE_BY_LENGTH => Step::Escalate(2), Reason::Gain;
    // Half of the endpoints are lost or many callers arrive at once. Escalations would be late and
    // prolong the overload, whatever the request is worth.
    late_escalation_is_not_made_in_an_overload: 1_000.0, 0.0, 0, LATE_BY_QUEUES => Step::Keep, Reason::TooDear;
    escalation_that_would_miss_the_deadline_is_not_made: 1_000.0, 0.0, 0, TOO_LATE => Step::Keep, Reason::TooDear;
    // Demand has reached the capacity: each run of the largest model makes other callers wait.
    usual_request_is_kept_at_full_pressure: USUAL, 1.0, 60, IN_TIME => Step::Keep, Reason::Pressure;
    dear_request_is_escalated_at_full_pressure: DEAR, 1.0, 40, IN_TIME => Step::Escalate(2), Reason::Gain;
    // Twice the capacity, as when a class of requests doubles and others grow by half.
    dear_request_is_kept_at_twice_the_capacity: DEAR, 2.0, 0, IN_TIME => Step::Keep, Reason::Pressure;
    cheap_request_is_not_shed_by_pressure: CHEAP, 1.0, 0, IN_TIME => Step::Keep, Reason::TooDear;
}

/// A valuable request is escalated at confidences up to its break-even, where the loss by wrong
/// answers equals the price: 1 of 20 answers wrong at a value of 20, 1 of 5 at a value of 5.
#[test]
fn break_even_follows_the_value() {
    assert_eq!(break_even(DEAR, 0.0, Outlook::InTime), 74);
    assert_eq!(break_even(USUAL, 0.0, Outlook::InTime), 62);
    assert_eq!(break_even(CHEAP, 0.0, Outlook::InTime), 0);
}

/// A sudden switch would make all instances shed at the same moment, and return at the same moment.
#[test]
fn pressure_lowers_the_break_even_step_by_step() {
    for value in [USUAL, DEAR, 200.0] {
        let at = |hundredths: u32| break_even(value, f64::from(hundredths) / 100.0, Outlook::InTime);
        let all: Vec<u32> = (0..=200).map(at).collect();
        assert!(all[..=70].iter().all(|confidence| *confidence == all[0]), "no one is shed while there is room");
        assert!(all.is_sorted_by(|before, after| before >= after), "{all:?}");
        assert!(all[100] < all[0], "quality is shed before callers wait");
    }
}

/// Cheap ranks give up their larger models first.
#[test]
fn pressure_sheds_cheap_ranks_first() {
    let gives_up = |value: f64| (0..=200).find(|p| break_even(value, f64::from(*p) / 100.0, Outlook::InTime) == 0);
    let (usual, dear) = (gives_up(USUAL), gives_up(DEAR));
    assert!(usual < dear && usual.is_some(), "{usual:?} {dear:?}");
}

#[test]
fn late_largest_model_is_asked_at_lower_confidences_only() {
    let in_time = break_even(DEAR, 0.0, Outlook::InTime);
    assert!(break_even(DEAR, 0.0, Outlook::LateByLength) < in_time - 20);
}

macro_rules! kept {
    ($($(#[$doc:meta])* $name:ident: $answer:expr, $remaining:expr => $reason:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let decision = next_step($answer, $remaining, &IN_TIME, &worth(1_000.0, 0.0));
            assert_eq!((decision.step, decision.reason), (Step::Keep, $reason));
        }
    )*};
}

kept! {
    answer_of_the_largest_model: Answer { index: 2, ..answer(0) }, REMAINING => Reason::Largest;
    answer_without_confidence: Answer { confidence: None, ..answer(0) }, REMAINING => Reason::NoConfidence;
    answer_without_an_attempt_left: answer(0), Remaining { attempts: 0, ..REMAINING } => Reason::NoRunLeft;
    answer_without_allowance_left: answer(0), Remaining { allowance: false, ..REMAINING } => Reason::NoRunLeft;
}

/// A middle model that gains something at a small price takes the place of the largest one first.
#[test]
fn pressure_replaces_the_largest_model_by_the_middle_one() {
    let decision = decide(USUAL, 1.0, 45, IN_TIME);
    assert_eq!((decision.step, decision.is_shed), (Step::Escalate(1), true), "{decision:?}");
    assert!(!decide(USUAL, 0.0, 45, IN_TIME).is_shed);
}

/// The middle model's confidence is not as high as the price of the largest requires.
#[test]
fn answer_of_the_middle_model_is_escalated_once_more() {
    let middle = Answer { index: 1, ..answer(40) };
    assert_eq!(next_step(middle, REMAINING, &IN_TIME, &worth(USUAL, 0.0)).step, Step::Escalate(2));
}

/// An answer that is late already loses less by a further run, but a further run is late as well.
#[test]
fn late_answer_of_a_short_prompt_is_kept() {
    let late = Answer { is_late: true, ..answer(0) };
    let decision = next_step(late, REMAINING, &LATE_BY_QUEUES, &worth(DEAR, 0.0));
    assert_eq!(decision.step, Step::Keep);
}

/// Relative times of three models at idle endpoints, and with an additional `wait` now.
fn times(idle: [f64; 3], wait: f64) -> [RelativeTime; 3] {
    idle.map(|idle| RelativeTime { idle, now: idle + wait })
}

const SHORT: [f64; 3] = [0.05, 0.08, 0.2];
const LONG: [f64; 3] = [0.15, 0.3, 0.8];
const LONGEST: [f64; 3] = [0.2, 0.45, 1.4];

macro_rules! starts {
    ($($(#[$doc:meta])* $name:ident: $value:expr, $pressure:expr, $remaining:expr, $idle:expr, $wait:expr => $model:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let start = first_model($remaining, &times($idle, $wait), FAR, &worth($value, $pressure));
            assert_eq!(start.model, $model);
        }
    )*};
}

const SINGLE: Remaining = Remaining { attempts: 1, ..REMAINING };
const SPENT: Remaining = Remaining { allowance: false, ..REMAINING };

starts! {
    short_prompt_starts_small: USUAL, 0.0, REMAINING, SHORT, 0.0 => 0;
    // Even the most valuable request costs less if half of the answers need no second run.
    short_valuable_prompt_starts_small: DEAR, 0.0, REMAINING, SHORT, 0.0 => 0;
    // No further attempt could replace the small model's answer.
    single_attempt_of_a_valuable_request_starts_large: USUAL, 0.0, SINGLE, SHORT, 0.0 => 2;
    single_attempt_of_a_cheap_request_starts_small: CHEAP, 0.0, SINGLE, SHORT, 0.0 => 0;
    spent_allowance_starts_large: USUAL, 0.0, SPENT, SHORT, 0.0 => 2;
    // A prompt of 40,000 tokens takes the large model most of the goal. If it were asked after the
    // small one, its answers would be late.
    long_prompt_starts_large: USUAL, 0.0, REMAINING, LONG, 0.0 => 2;
    long_prompt_of_a_cheap_request_starts_small: CHEAP, 0.0, REMAINING, LONG, 0.0 => 0;
    long_prompt_does_not_start_large_with_a_queue: USUAL, 0.0, REMAINING, LONG, 0.1 => 0;
    // For even longer prompts the largest model is late; the middle one can still follow the small.
    longest_prompt_starts_small: DEAR, 0.0, REMAINING, LONGEST, 0.0 => 0;
    single_attempt_at_the_longest_prompt_starts_at_the_largest_model_in_time: USUAL, 0.0, SINGLE, LONGEST, 0.0 => 1;
    // Half of the endpoints are lost and callers wait for a second. If all requests were treated as
    // long prompts, they would go to the large model and prolong the overload.
    overload_starts_small: DEAR, 0.0, REMAINING, SHORT, 0.6 => 0;
    overload_in_which_all_models_are_late_starts_small: DEAR, 0.0, REMAINING, SHORT, 2.0 => 0;
    overload_without_allowance_starts_small: CHEAP, 0.0, SPENT, SHORT, 0.8 => 0;
    // At full pressure a long prompt's time at the largest model is worth more to other callers.
    pressure_starts_long_prompts_smaller: USUAL, 1.0, REMAINING, LONG, 0.0 => 0;
    worthless_request_starts_small: 0.0, 0.0, REMAINING, SHORT, 0.0 => 0;
}

/// A start at a smaller model because of pressure is counted, one for any other reason is not.
#[test]
fn shed_start_is_reported() {
    let start = |value, pressure| first_model(REMAINING, &times(LONG, 0.0), FAR, &worth(value, pressure));
    assert_eq!(start(USUAL, 1.0), Start { model: 0, is_shed: true });
    assert_eq!(start(USUAL, 0.0), Start { model: 2, is_shed: false });
    assert_eq!(start(CHEAP, 1.0), Start { model: 0, is_shed: false });
}

/// Nothing can be gained from a model whose answer misses the deadline.
#[test]
fn model_that_misses_the_deadline_is_not_started() {
    let start = first_model(SINGLE, &times(LONGEST, 0.0), 1.0, &worth(DEAR, 0.0));
    assert_eq!(start.model, 1);
}

/// A caller may allow less than the target time. An answer in time for the target is then worth nothing.
#[test]
fn deadline_before_the_target_time_counts() {
    let times = [0.1, 0.3, 0.6].map(|time| RelativeTime { idle: time, now: time });
    let start = |deadline| first_model(SINGLE, &times, deadline, &worth(DEAR, 0.0)).model;
    assert_eq!(start(FAR), 2);
    assert_eq!(start(0.5), 1);
}

/// A request whose prices are unknown or zero must still get an answer.
#[test]
fn free_models_are_escalated_at_any_doubt() {
    let free = Worth { right_answer: 1.0, prices: &[0.0; 3], pressure: 0.0 };
    assert_eq!(next_step(answer(90), REMAINING, &IN_TIME, &free).step, Step::Escalate(2));
}

#[test]
fn last_value_applies_to_all_further_ranks() {
    let values = [20.0, 5.0, 0.9];
    let of = |rank| of_rank(&values, rank).to_bits();
    assert_eq!([of(0), of(1), of(2), of(3), of(255)], [20.0, 5.0, 0.9, 0.9, 0.9].map(f64::to_bits));
    assert_eq!(of_rank(&[], 0).to_bits(), 0.0_f64.to_bits());
}
