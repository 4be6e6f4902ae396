//! Requests start at small models and escalate while there is time and allowance.

use route::relay::ladder::{CUT, LATE_CUT, Outlook, Room, Step, Time, Urgency, start, step};

const ROOM: Room = Room { attempts: 2, allowance: true };

const SOON: [Outlook; 3] = [Outlook::InTime; 3];
const LATE: [Outlook; 3] = [Outlook::Late; 3];
const CROWDED: [Outlook; 3] = [Outlook::Crowded; 3];
const NEVER: [Outlook; 3] = [Outlook::Never; 3];

macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident: $index:expr, $opinion:expr, $room:expr, $outlooks:expr => $step:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(step($index, $opinion, Urgency::Usual, $room, &$outlooks), $step);
        }
    )*};
}

steps! {
    sure_answer_is_kept: 0, Some(CUT), ROOM, SOON => Step::Keep;
    unsure_answer_goes_to_the_largest: 0, Some(CUT - 1), ROOM, SOON => Step::Escalate(2);
    largest_is_kept: 2, Some(0), ROOM, SOON => Step::Keep;
    answer_without_opinion_is_kept: 0, None, ROOM, SOON => Step::Keep;
    no_attempt_left: 0, Some(0), Room { attempts: 0, ..ROOM }, SOON => Step::Keep;
    no_allowance_left: 0, Some(0), Room { allowance: false, ..ROOM }, SOON => Step::Keep;
    // The prompt is so long that a larger model would be late. The small model's answer is
    // kept unless it is likely wrong.
    long_prompt_keeps_the_fairly_sure: 0, Some(LATE_CUT), ROOM, LATE => Step::Keep;
    long_prompt_replaces_the_wrong: 0, Some(LATE_CUT - 1), ROOM, LATE => Step::Escalate(2);
    // Half of the endpoints are lost or many callers arrive at once. An escalation would be
    // late and delay all others.
    crowd_keeps_any: 0, Some(0), ROOM, CROWDED => Step::Keep;
    crowd_asks_the_middle_one_in_time:
        0, Some(0), ROOM, [Outlook::InTime, Outlook::InTime, Outlook::Crowded] => Step::Escalate(1);
    hopeless_keeps_any: 0, Some(0), ROOM, NEVER => Step::Keep;
    // A prompt of 30,000 tokens: the largest model would be late, the middle one in time.
    middle_one_replaces_the_unsure_in_time:
        0, Some(LATE_CUT), ROOM, [Outlook::InTime, Outlook::InTime, Outlook::Late] => Step::Escalate(1);
    middle_one_replaces_the_wrong_where_the_largest_never_comes:
        0, Some(0), ROOM, [Outlook::InTime, Outlook::InTime, Outlook::Never] => Step::Escalate(1);
    wrong_answer_goes_to_the_largest_though_late:
        0, Some(LATE_CUT - 1), ROOM, [Outlook::InTime, Outlook::InTime, Outlook::Late] => Step::Escalate(2);
    middle_ones_answer_goes_on_or_stays: 1, Some(LATE_CUT), ROOM, LATE => Step::Keep;
}

macro_rules! urgencies {
    ($($(#[$doc:meta])* $name:ident: $rank:expr, $ranks:expr, $opinion:expr => $step:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let urgency = Urgency::of($rank, $ranks);
            assert_eq!(step(0, Some($opinion), urgency, ROOM, &SOON), $step);
        }
    )*};
}

urgencies! {
    // Most requests are checks on the least urgent route and have long prompts. If they
    // escalated as readily as others, they would delay those at the largest model.
    last_route_keeps_the_fairly_sure: 2, 0..=2, CUT - 20 => Step::Keep;
    last_route_replaces_the_unsure: 2, 0..=2, CUT - 21 => Step::Escalate(2);
    first_route_keeps_only_the_very_sure: 0, 0..=2, CUT + 9 => Step::Escalate(2);
    first_route_keeps_the_very_sure: 0, 0..=2, CUT + 10 => Step::Keep;
    route_between_is_as_it_was: 1, 0..=2, CUT => Step::Keep;
    // There is no difference in urgency.
    routes_of_one_rank_are_alike: 2, 2..=2, CUT - 1 => Step::Escalate(2);
}

/// Relative times of three models at idle endpoints, and with an additional `wait` now.
fn times(idle: [f64; 3], wait: f64) -> [Time; 3] {
    idle.map(|idle| Time { idle, now: idle + wait })
}

macro_rules! starts {
    ($($(#[$doc:meta])* $name:ident: $room:expr, $idle:expr, $wait:expr => $model:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(start($room, &times($idle, $wait)), $model);
        }
    )*};
}

const SHORT: [f64; 3] = [0.05, 0.08, 0.2];
const LONG: [f64; 3] = [0.15, 0.3, 0.8];
const LONGEST: [f64; 3] = [0.2, 0.45, 1.4];

starts! {
    short_prompt_starts_small: ROOM, SHORT, 0.0 => 0;
    // No further attempt could replace the small model's answer.
    single_attempt_starts_large: Room { attempts: 1, ..ROOM }, SHORT, 0.0 => 2;
    spent_allowance_starts_large: Room { allowance: false, ..ROOM }, SHORT, 0.0 => 2;
    // A prompt of 40,000 tokens takes the large model most of the goal. If it were asked
    // after the small one, half of the answers would be late.
    long_prompt_goes_to_the_large_model_at_once: ROOM, LONG, 0.0 => 2;
    long_prompt_starts_small_where_the_large_one_waits: ROOM, LONG, 0.1 => 0;
    // For even longer prompts the middle model is in time, and right more often than the
    // small one.
    longest_prompt_goes_to_the_largest_in_time: ROOM, LONGEST, 0.0 => 1;
    longest_prompt_starts_small_where_the_middle_one_waits: ROOM, LONGEST, 0.5 => 0;
    // Half of the endpoints are lost and callers wait for a second. If all requests were
    // treated as long prompts, they would go to the large model and prolong the overload:
    // of 6,600 short checks under heavy load, 1,900 did.
    crowd_starts_small: ROOM, SHORT, 0.6 => 0;
    crowd_starts_small_without_allowance_too: Room { allowance: false, ..ROOM }, SHORT, 0.8 => 0;
}
