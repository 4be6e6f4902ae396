//! Models whose output would end after the deadline are not asked. Times are in milliseconds, and models
//! are those of a ladder of three that take 3, 6 and 25 ms for a token.

use std::time::Duration;

use route::relay::{
    answer_length::{
        Ending, Limit, START_SHARE, TokenTimes, ends_in_time, expected_tokens, limit, limit_outlooks,
        models::{Model, ModelTimes},
        output_times,
        progress::{Progress, is_cut_off},
    },
    ladder::{
        Outlook, RelativeTime, Remaining, Step, Urgency, first_model, next_step,
        value::{self, Worth},
    },
};

const REMAINING: Remaining = Remaining { attempts: 2, allowance: true };
const SINGLE: Remaining = Remaining { attempts: 1, allowance: true };
const DEADLINE: f64 = 20_000.0;

/// Times to the first event: 1,500 ms are the target.
const IDLE: [f64; 3] = [80.0, 150.0, 300.0];
const TARGET: f64 = 1_500.0;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn times(wait: f64) -> Vec<RelativeTime> {
    IDLE.iter().map(|idle| RelativeTime { idle: idle / TARGET, now: (idle + wait) / TARGET }).collect()
}

fn outputs(tokens: f64) -> Vec<Option<f64>> {
    [3.0, 6.0, 25.0].iter().map(|token_ms| Some(token_ms * tokens / TARGET)).collect()
}

/// Returns the start by fixed thresholds, and by value at 20 times the price.
fn starts(remaining: Remaining, wait: f64, tokens: f64) -> [usize; 2] {
    let times = times(wait);
    let worth = Worth { right_answer: 20.0, prices: &[0.1, 0.33, 1.0], pressure: 0.0 };
    let choose = |times: &[RelativeTime]| {
        [first_model(remaining, times), value::first_model(remaining, times, DEADLINE / TARGET, &worth).model]
    };
    match limit(&times, &outputs(tokens), DEADLINE / TARGET) {
        Limit::None => choose(&times),
        Limit::Times(limited) => choose(&limited),
        Limit::FirstToEnd(model) => [model; 2],
    }
}

macro_rules! starts {
    ($($(#[$doc:meta])* $name:ident: $remaining:expr, $wait:expr, $tokens:expr => $starts:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(starts($remaining, $wait, $tokens), $starts);
        }
    )*};
}

starts! {
    short_streams_start_as_without_a_length: REMAINING, 0.0, 100.0 => [0, 0];
    short_streams_of_a_single_attempt_start_at_the_largest: SINGLE, 0.0, 100.0 => [2, 2];
    // 110 events of eight tokens take the largest model 22 s.
    long_streams_of_a_single_attempt_start_at_the_largest_that_ends_in_time: SINGLE, 0.0, 880.0 => [1, 1];
    // By value, the middle model is better at once than after an answer that is nearly always dropped.
    long_streams_start_below_the_largest: REMAINING, 0.0, 880.0 => [0, 1];
    // 785 tokens end in 19.9 s on the largest model, and in 20.0 s if it is asked after the smallest.
    streams_that_end_in_time_only_at_once_start_at_the_largest: REMAINING, 0.0, 785.0 => [2, 2];
    // An overload must not send requests to the largest model at once.
    streams_in_an_overload_start_small: REMAINING, 3_000.0, 700.0 => [0, 0];
    streams_that_no_model_ends_in_time_start_at_the_first_to_end: REMAINING, 0.0, 9_000.0 => [0, 0];
    streams_of_four_billion_tokens_are_not_refused: SINGLE, 0.0, 4e9 => [0, 0];
}

/// The smallest model is too slow for the stream, and the queues of the others are long: the request must not
/// go to the one that is known to cut it off.
#[test]
fn smallest_model_that_ends_too_late_is_no_fallback() {
    let later = |idle: f64| RelativeTime { idle, now: 1.0 };
    let cases = [[RelativeTime::NEVER, later(0.1), later(0.2)], [RelativeTime::NEVER, later(0.1), later(1.0)]];
    let worth = Worth { right_answer: 0.0, prices: &[0.1, 0.33, 1.0], pressure: 0.0 };
    for times in cases {
        assert_eq!(first_model(REMAINING, &times), 1);
        assert_eq!(value::first_model(REMAINING, &times, DEADLINE / TARGET, &worth).model, 1);
    }
}

/// A model without observations must not look faster than a smaller one that is too slow.
#[test]
fn unknown_larger_models_are_no_faster_than_known_smaller_ones() {
    assert_eq!(output_times(&[None, Some(3.0), None, Some(2.0)]), [None, Some(3.0), Some(3.0), Some(2.0)]);
    let outputs = output_times(&[Some(14.0), None, None]);
    assert_eq!(limit(&times(0.0), &outputs, DEADLINE / TARGET), Limit::FirstToEnd(0));
}

#[test]
fn unknown_times_limit_nothing() {
    assert_eq!(limit(&times(0.0), &[None; 3], 0.0), Limit::None);
    assert_eq!(limit(&[], &[], 1.0), Limit::None);
}

/// While endpoints pause, the time to the first event is unknown, but a request may still be placed.
#[test]
fn models_without_an_endpoint_at_the_moment_are_judged_by_idle_ones() {
    let times: Vec<RelativeTime> = times(f64::INFINITY);
    assert_eq!(limit(&times, &outputs(100.0), DEADLINE / TARGET), Limit::None);
}

/// An answer of low confidence is better than one that is cut off.
#[test]
fn low_confidence_is_kept_if_no_larger_model_ends_in_time() {
    let step = |left: f64, tokens: f64| {
        let ends = |model: usize| ends_in_time(IDLE[model], Some([3.0, 6.0, 25.0][model] * tokens), left);
        let outlooks = limit_outlooks(&[Outlook::InTime; 3], ends);
        let worth = Worth { right_answer: 20.0, prices: &[0.1, 0.33, 1.0], pressure: 0.0 };
        let answer = value::Answer { index: 0, confidence: Some(45), is_late: false };
        let fixed = next_step(0, Some(45), Urgency::Usual, REMAINING, &outlooks);
        [fixed, value::next_step(answer, REMAINING, &outlooks, &worth).step]
    };
    assert_eq!(step(19_000.0, 100.0), [Step::Escalate(2); 2], "short streams reach the largest model");
    assert_eq!(step(19_000.0, 880.0), [Step::Escalate(1); 2], "a model in between ends in time");
    assert_eq!(step(4_000.0, 880.0), [Step::Keep; 2]);
}

#[test]
fn hint_is_capped_at_the_maximum_output() {
    assert_eq!(expected_tokens(Some(300), 1_000), Some(300));
    assert_eq!(expected_tokens(Some(u32::MAX), 1_000), Some(1_000));
    assert_eq!(expected_tokens(None, 1_000), None);
    assert_eq!(expected_tokens(Some(0), 1_000), None);
    assert_eq!(expected_tokens(Some(300), 0), None);
}

/// Returns what is learned from streams of 100 expected tokens that take the given times per token.
fn learned(token_ms: &[f64], ending: Ending) -> TokenTimes {
    let mut times = TokenTimes::default();
    for token_ms in token_ms {
        times.observe(100, token_ms * 100.0, ending, at(0));
    }
    times
}

fn token_ms(times: &TokenTimes) -> Option<f64> {
    times.token_ms(START_SHARE, at(10))
}

#[test]
fn few_streams_teach_nothing() {
    assert_eq!(token_ms(&learned(&[25.0; 5], Ending::Whole)), None);
    assert_eq!(token_ms(&learned(&[25.0; 6], Ending::Whole)), Some(25.0));
}

/// Hints are often off by a factor of two and at times by a thousand.
#[test]
fn hints_that_are_far_off_move_the_time_little() {
    let times = learned(&[0.02, 10.0, 12.0, 20.0, 25.0, 25.0, 30.0, 40.0, 60.0, 25_000.0], Ending::Whole);
    assert_eq!(token_ms(&times), Some(25.0));
}

/// All observations come from one caller with wrong hints.
#[test]
fn wrong_hints_of_one_caller_are_bounded() {
    assert_eq!(token_ms(&learned(&[1e-6; 64], Ending::Whole)), Some(0.1));
    assert_eq!(token_ms(&learned(&[1e9; 64], Ending::Whole)), Some(1_000.0));
    assert_eq!(token_ms(&learned(&[f64::INFINITY; 64], Ending::Whole)), None);
}

/// Adds streams that a model of 25 ms per token could not end within the deadline, and of which the callers
/// close the connection a little before.
fn cut_off(times: &mut TokenTimes, hints: impl IntoIterator<Item = u32>, early_ms: f64) {
    for hint in hints {
        times.observe(hint, DEADLINE - early_ms - IDLE[2], Ending::CutOff, at(0));
    }
}

/// Returns whether a stream is expected to end in time on the largest model.
fn is_asked(times: &TokenTimes, tokens: u32) -> bool {
    let output = token_ms(times).map(|token_ms| f64::from(tokens) * token_ms);
    ends_in_time(IDLE[2], output, DEADLINE)
}

macro_rules! cut_off {
    ($($(#[$doc:meta])* $name:ident: $hints:expr, $early_ms:expr => $too_long:expr, $short:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut times = TokenTimes::default();
            cut_off(&mut times, $hints, $early_ms);
            assert!(!is_asked(&times, $too_long), "{:?}", token_ms(&times));
            assert!(is_asked(&times, $short), "{:?}", token_ms(&times));
        }
    )*};
}

cut_off! {
    /// All streams of a service are equally long, and each of them is cut off.
    streams_as_long_as_those_cut_off_are_too_late: [1_000; 8], 0.0 => 1_000, 800;
    /// Callers close their connections by their own clocks, and the bound seems to fit the deadline.
    streams_closed_before_the_deadline_are_too_late: [1_000; 8], 100.0 => 1_000, 800;
    /// The bounds of longer hints are lower, and must not admit the shorter ones that were cut off as well.
    streams_of_mixed_lengths_that_are_cut_off_are_too_late: (880..=2_000).step_by(70), 100.0 => 880, 700;
    /// The first event of the cut-off streams came late.
    streams_whose_queues_are_gone_are_too_late: [1_000; 8], 2_000.0 => 1_000, 800;
}

/// Few streams ended, and many with too long a hint were cut off at a time that the model does not reach.
#[test]
fn streams_that_are_cut_off_do_not_outvote_few_that_ended() {
    let mut times = learned(&[25.0; 5], Ending::Whole);
    cut_off(&mut times, [5_000; 40], 0.0);
    assert_eq!(token_ms(&times), Some(25.0));
}

/// One stream with too short a hint must not keep the others from a model that ends its streams.
#[test]
fn one_stream_that_is_cut_off_moves_the_time_little() {
    let mut times = learned(&[5.0; 5], Ending::Whole);
    cut_off(&mut times, [100], 0.0);
    assert_eq!(token_ms(&times), Some(5.0));
}

/// The largest model of a service is too slow for all streams that it gets.
#[test]
fn streams_that_are_all_cut_off_teach_a_bound() {
    assert_eq!(token_ms(&learned(&[20.0; 8], Ending::CutOff)), Some(24.0));
    assert_eq!(token_ms(&learned(&[20.0; 5], Ending::CutOff)), None);
    assert_eq!(token_ms(&learned(&[1e9; 8], Ending::CutOff)), Some(1_000.0));
}

/// A stream with too long a hint is cut off at a low time per token, which the model does not reach.
#[test]
fn streams_that_are_cut_off_never_lower_the_time() {
    let mut times = learned(&[25.0; 8], Ending::Whole);
    (0..40).for_each(|_| times.observe(5_000, 20_000.0, Ending::CutOff, at(1)));
    assert_eq!(token_ms(&times), Some(25.0));
    (0..40).for_each(|_| times.observe(500, 20_000.0, Ending::CutOff, at(1)));
    assert_eq!(token_ms(&times), Some(48.0));
}

/// A load that is over must not keep requests from the largest model.
#[test]
fn observations_are_forgotten() {
    let mut times = learned(&[80.0; 10], Ending::Whole);
    assert_eq!(times.token_ms(START_SHARE, at(44)), Some(80.0));
    assert_eq!(times.token_ms(START_SHARE, at(45)), None);
    (0..64).for_each(|_| times.observe(100, 2_500.0, Ending::Whole, at(11)));
    assert_eq!(times.token_ms(START_SHARE, at(12)), Some(25.0));
}

/// Checks of a few tokens end with their first event, and would make every model look fast.
#[test]
fn streams_of_a_few_tokens_teach_nothing() {
    let mut times = TokenTimes::default();
    (0..64).for_each(|_| times.observe(8, 1.0, Ending::Whole, at(0)));
    assert_eq!(token_ms(&times), None);
}

/// Returns whether a stream of ten seconds is held up, whose reader takes the given milliseconds for its first
/// event; `None` if it takes nothing more.
fn is_held_up(reader_ms: Option<u64>) -> bool {
    let mut progress = Progress::default();
    progress.hold(at(1));
    if let Some(reader_ms) = reader_ms {
        progress.release(at(1) + Duration::from_millis(reader_ms));
    }
    assert_eq!(progress.took(at(11)), Some(at(10)));
    progress.is_held_up(at(11))
}

/// The time of a stream that waits for its reader must not make the model look slow, nor count as one that the
/// model could not end.
#[test]
fn streams_that_their_reader_holds_up_are_told_apart() {
    assert!(!is_held_up(Some(500)));
    assert!(is_held_up(Some(501)));
    assert!(is_held_up(None), "a reader that stops for good never takes its event");
}

#[test]
fn streams_without_an_event_are_not_held_up() {
    assert_eq!(Progress::default().took(at(1)), None);
    assert!(!Progress::default().is_held_up(at(1)));
}

macro_rules! cut_off_at {
    ($($(#[$doc:meta])* $name:ident: $deadline_ms:expr, $early_ms:expr => $is_cut_off:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let limit = at(1) + Duration::from_millis($deadline_ms);
            assert_eq!(is_cut_off(limit - Duration::from_millis($early_ms), at(1), limit), $is_cut_off);
        }
    )*};
}

cut_off_at! {
    caller_that_closes_at_the_deadline_by_its_own_clock: 20_000, 150 => true;
    caller_that_gives_up_before_the_deadline: 20_000, 151 => false;
    caller_of_a_short_request_that_closes_at_the_deadline: 400, 40 => true;
    /// A caller that gives up in the middle of a short deadline must not count as cut off.
    caller_that_gives_up_a_short_request: 300, 150 => false;
    caller_that_gives_up_shortly_before_a_short_deadline: 400, 41 => false;
}

/// The length is not looked at for an answer that is kept without it, so it must never cause an escalation.
#[test]
fn answers_that_are_kept_without_a_length_are_kept_with_it() {
    let all = [Outlook::InTime, Outlook::LateByLength, Outlook::LateByQueues, Outlook::TooLate];
    let steps = |confidence: u32, outlooks: &[Outlook]| {
        let answer = value::Answer { index: 0, confidence: Some(confidence), is_late: false };
        let worth = Worth { right_answer: 20.0, prices: &[0.1, 0.33, 1.0], pressure: 0.9 };
        let fixed = next_step(0, Some(confidence), Urgency::Usual, REMAINING, outlooks);
        [fixed, value::next_step(answer, REMAINING, outlooks, &worth).step]
    };
    for (middle, largest) in all.iter().flat_map(|middle| all.iter().map(move |largest| (*middle, *largest))) {
        let outlooks = [Outlook::InTime, middle, largest];
        for (confidence, late) in (0..=100).flat_map(|confidence| (0..8_u32).map(move |late| (confidence, late))) {
            let limited = limit_outlooks(&outlooks, |model| late >> model & 1 == 0);
            let (without, with) = (steps(confidence, &outlooks), steps(confidence, &limited));
            assert!(without.iter().zip(&with).all(|(without, with)| *without != Step::Keep || *with == Step::Keep));
        }
    }
}

/// Two ladders of a service have other models at the same place, and a new catalog removes one of them.
#[test]
fn models_of_one_service_are_told_apart_by_name() {
    let model = |name: &str| Model { service: "chat".to_owned(), name: name.to_owned() };
    let mut times = ModelTimes::default();
    (0..8).for_each(|_| times.observe(&model("large"), 100, 2_500.0, Ending::Whole, at(0)));
    (0..8).for_each(|_| times.observe(&model("small"), 100, 300.0, Ending::Whole, at(0)));
    assert_eq!(times.token_ms(&model("large"), START_SHARE, at(1)), Some(25.0));
    assert_eq!(times.token_ms(&model("small"), START_SHARE, at(1)), Some(3.0));
    assert_eq!(times.token_ms(&model("other"), START_SHARE, at(1)), None);
    times.retain(|model| model.name == "small");
    assert_eq!(times.token_ms(&model("large"), START_SHARE, at(1)), None);
    assert_eq!(times.token_ms(&model("small"), START_SHARE, at(1)), Some(3.0));
}
