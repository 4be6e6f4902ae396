//! Requests start at small models and escalate while there is time and allowance.

use route::relay::ladder::{
    MIN_CONFIDENCE, MIN_CONFIDENCE_IF_LATE, Outlook, RelativeTime, Remaining, Step, Urgency, first_model, next_step,
};

const REMAINING: Remaining = Remaining { attempts: 2, allowance: true };

const IN_TIME: [Outlook; 3] = [Outlook::InTime; 3];
const LATE_BY_LENGTH: [Outlook; 3] = [Outlook::LateByLength; 3];
const LATE_BY_QUEUES: [Outlook; 3] = [Outlook::LateByQueues; 3];
const TOO_LATE: [Outlook; 3] = [Outlook::TooLate; 3];

macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident: $index:expr, $confidence:expr, $remaining:expr, $outlooks:expr => $step:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(next_step($index, $confidence, Urgency::Usual, $remaining, &$outlooks), $step);
        }
    )*};
}

steps! {
    confident_answer_is_kept: 0, Some(MIN_CONFIDENCE), REMAINING, IN_TIME => Step::Keep;
    unsure_answer_escalates_to_the_largest: 0, Some(MIN_CONFIDENCE - 1), REMAINING, IN_TIME => Step::Escalate(2);
    answer_of_the_largest_is_kept: 2, Some(0), REMAINING, IN_TIME => Step::Keep;
    answer_without_confidence_is_kept: 0, None, REMAINING, IN_TIME => Step::Keep;
    answer_is_kept_without_an_attempt_left: 0, Some(0), Remaining { attempts: 0, ..REMAINING }, IN_TIME => Step::Keep;
    answer_is_kept_without_allowance_left: 0, Some(0), Remaining { allowance: false, ..REMAINING }, IN_TIME => Step::Keep;
    // The prompt is so long that a larger model would be late. The small model's answer is
    // kept unless it is likely wrong.
    late_largest_keeps_fairly_confident_answer: 0, Some(MIN_CONFIDENCE_IF_LATE), REMAINING, LATE_BY_LENGTH => Step::Keep;
    late_largest_replaces_likely_wrong_answer: 0, Some(MIN_CONFIDENCE_IF_LATE - 1), REMAINING, LATE_BY_LENGTH => Step::Escalate(2);
    // Half of the endpoints are lost or many callers arrive at once. An escalation would be
    // late and delay all others.
    overload_keeps_any_answer: 0, Some(0), REMAINING, LATE_BY_QUEUES => Step::Keep;
    overload_escalates_to_middle_model_in_time:
        0, Some(0), REMAINING, [Outlook::InTime, Outlook::InTime, Outlook::LateByQueues] => Step::Escalate(1);
    answer_is_kept_if_all_others_are_too_late: 0, Some(0), REMAINING, TOO_LATE => Step::Keep;
    // A prompt of 30,000 tokens: the largest model would be late, the middle one in time.
    middle_model_replaces_unsure_answer_in_time:
        0, Some(MIN_CONFIDENCE_IF_LATE), REMAINING, [Outlook::InTime, Outlook::InTime, Outlook::LateByLength] => Step::Escalate(1);
    middle_model_replaces_wrong_answer_if_largest_is_too_late:
        0, Some(0), REMAINING, [Outlook::InTime, Outlook::InTime, Outlook::TooLate] => Step::Escalate(1);
    wrong_answer_escalates_to_the_late_largest:
        0, Some(MIN_CONFIDENCE_IF_LATE - 1), REMAINING, [Outlook::InTime, Outlook::InTime, Outlook::LateByLength] => Step::Escalate(2);
    answer_of_the_middle_model_is_kept_if_fairly_confident: 1, Some(MIN_CONFIDENCE_IF_LATE), REMAINING, LATE_BY_LENGTH => Step::Keep;
}

macro_rules! urgencies {
    ($($(#[$doc:meta])* $name:ident: $rank:expr, $ranks:expr, $confidence:expr => $step:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let urgency = Urgency::of($rank, $ranks);
            assert_eq!(next_step(0, Some($confidence), urgency, REMAINING, &IN_TIME), $step);
        }
    )*};
}

urgencies! {
    // Most requests are checks on the least urgent route and have long prompts. If they
    // escalated as readily as others, they would delay those at the largest model.
    least_urgent_route_keeps_fairly_confident_answer: 2, 0..=2, MIN_CONFIDENCE - 20 => Step::Keep;
    least_urgent_route_replaces_unsure_answer: 2, 0..=2, MIN_CONFIDENCE - 21 => Step::Escalate(2);
    most_urgent_route_replaces_doubtful_answer: 0, 0..=2, MIN_CONFIDENCE + 9 => Step::Escalate(2);
    most_urgent_route_keeps_very_confident_answer: 0, 0..=2, MIN_CONFIDENCE + 10 => Step::Keep;
    route_in_between_is_not_adjusted: 1, 0..=2, MIN_CONFIDENCE => Step::Keep;
    // There is no difference in urgency.
    equally_urgent_routes_are_not_adjusted: 2, 2..=2, MIN_CONFIDENCE - 1 => Step::Escalate(2);
}

/// Relative times of three models at idle endpoints, and with an additional `wait` now.
fn times(idle: [f64; 3], wait: f64) -> [RelativeTime; 3] {
    idle.map(|idle| RelativeTime { idle, now: idle + wait })
}

macro_rules! starts {
    ($($(#[$doc:meta])* $name:ident: $remaining:expr, $idle:expr, $wait:expr => $model:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(first_model($remaining, &times($idle, $wait)), $model);
        }
    )*};
}

const SHORT: [f64; 3] = [0.05, 0.08, 0.2];
const LONG: [f64; 3] = [0.15, 0.3, 0.8];
const LONGEST: [f64; 3] = [0.2, 0.45, 1.4];

starts! {
    short_prompt_starts_small: REMAINING, SHORT, 0.0 => 0;
    // No further attempt could replace the small model's answer.
    single_attempt_starts_large: Remaining { attempts: 1, ..REMAINING }, SHORT, 0.0 => 2;
    spent_allowance_starts_large: Remaining { allowance: false, ..REMAINING }, SHORT, 0.0 => 2;
    // A prompt of 40,000 tokens takes the large model most of the goal. If it were asked
    // after the small one, half of the answers would be late.
    long_prompt_starts_large: REMAINING, LONG, 0.0 => 2;
    long_prompt_starts_small_if_the_large_model_has_a_queue: REMAINING, LONG, 0.1 => 0;
    // For even longer prompts the middle model is in time, and right more often than the
    // small one.
    longest_prompt_starts_at_the_largest_model_in_time: REMAINING, LONGEST, 0.0 => 1;
    longest_prompt_starts_small_if_the_middle_model_has_a_queue: REMAINING, LONGEST, 0.5 => 0;
    // Half of the endpoints are lost and callers wait for a second. If all requests were
    // treated as long prompts, they would go to the large model and prolong the overload:
    // of 6,600 short checks under heavy load, 1,900 did.
    overload_starts_small: REMAINING, SHORT, 0.6 => 0;
    overload_starts_small_without_allowance_too: Remaining { allowance: false, ..REMAINING }, SHORT, 0.8 => 0;
}
