//! Small models first; larger ones while there is room.

use route::relay::ladder::{CUT, LATE_CUT, Outlook, Room, Step, Times, start, step};

const ROOM: Room = Room { attempts: 2, allowance: true, outlook: Outlook::InTime };

macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident: $index:expr, $opinion:expr, $room:expr => $step:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(step($index, 3, $opinion, $room), $step);
        }
    )*};
}

steps! {
    sure_answer_is_kept: 0, Some(CUT), ROOM => Step::Keep;
    unsure_answer_goes_to_the_largest: 0, Some(CUT - 1), ROOM => Step::Escalate(2);
    largest_is_kept: 2, Some(0), ROOM => Step::Keep;
    answer_without_opinion_is_kept: 0, None, ROOM => Step::Keep;
    no_attempt_left: 0, Some(0), Room { attempts: 0, ..ROOM } => Step::Keep;
    no_allowance_left: 0, Some(0), Room { allowance: false, ..ROOM } => Step::Keep;
    // Endpoints are overloaded: an escalation would come late and make every
    // other one later. The small answer is kept unless likely wrong.
    overloaded_keeps_the_fairly_sure: 0, Some(LATE_CUT), Room { outlook: Outlook::Late, ..ROOM } => Step::Keep;
    overloaded_replaces_the_wrong:
        0, Some(LATE_CUT - 1), Room { outlook: Outlook::Late, ..ROOM } => Step::Escalate(2);
    hopeless_keeps_any: 0, Some(0), Room { outlook: Outlook::Never, ..ROOM } => Step::Keep;
}

#[test]
fn start_is_small_only_where_it_may_be_corrected() {
    let short = Times { small: 0.05, large: 0.2 };
    assert_eq!(start(3, ROOM, short), 0);
    assert_eq!(start(3, Room { attempts: 1, ..ROOM }, short), 2);
    assert_eq!(start(3, Room { allowance: false, ..ROOM }, short), 2);
}

/// A prompt of 40,000 tokens takes the large model most of the goal. Asked
/// after the small one it would begin late for every second caller.
#[test]
fn long_prompt_goes_to_the_large_model_at_once_while_that_is_in_time() {
    assert_eq!(start(3, ROOM, Times { small: 0.15, large: 0.8 }), 2);
    // Longer still, or while endpoints are busy, only the small one is in time.
    assert_eq!(start(3, ROOM, Times { small: 0.2, large: 1.4 }), 0);
}
