//! Tests of the request state machine: tables of event sequences, and its guarantees
//! under random events.

use entry::machine::{Command, Event, Machine, Ran, State};
use proptest::prelude::*;
use world::request::Repeat::{self, Idempotent, Never};

/// A refusal before any byte of the dispatch was sent.
const REFUSED_UNSENT: Event = Event::Refused { arrived: false };
/// A refusal by an endpoint that may have received bytes of the dispatch.
const REFUSED_ARRIVED: Event = Event::Refused { arrived: true };

/// Feeds `events` to a state machine and compares its last command and state.
fn check_last_command(repeat: Repeat, events: &[Event], last: Command, state: State) {
    let (mut machine, mut command) = Machine::begin(repeat);
    for event in events {
        command = machine.step(*event).unwrap_or_else(|illegal| panic!("{illegal}"));
    }
    assert_eq!((command, machine.state()), (last, state), "after {events:?}");
}

macro_rules! last_commands {
    ($($name:ident: $repeat:ident [$($event:expr),* $(,)?] => $last:expr, $state:ident;)*) => {
        $(#[test] fn $name() { check_last_command($repeat, &[$($event),*], $last, State::$state); })*
    };
}

last_commands! {
    idempotent_request_is_answered: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Started, Event::Frame, Event::Whole, Event::Billed]
        => Command::Deliver, Answered;
    non_idempotent_request_claims_before_choosing: Never [Event::Admitted] => Command::Claim, Claiming;
    non_idempotent_request_is_answered: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 3 }, Event::Started, Event::Whole, Event::Billed]
        => Command::Deliver, Answered;
    refused_admission_is_not_run: Idempotent [Event::Declined] => Command::Fail { ran: Ran::No }, Failed;
    refused_claim_is_not_run: Never [Event::Admitted, Event::Declined] => Command::Fail { ran: Ran::No }, Failed;
    no_version_is_not_run: Never [Event::Admitted, Event::Claimed, Event::Declined]
        => Command::Fail { ran: Ran::No }, Failed;
    deadline_in_queue_is_not_run: Never [Event::TimeUp] => Command::Fail { ran: Ran::No }, Failed;
    deadline_while_sending_is_unknown: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, Event::TimeUp]
        => Command::Fail { ran: Ran::Unknown }, Failed;
    non_idempotent_request_is_retried_if_unsent: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, REFUSED_UNSENT, Event::Again]
        => Command::Dispatch, Dispatching;
    non_idempotent_request_fails_if_refused_after_arrival: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, REFUSED_ARRIVED]
        => Command::Fail { ran: Ran::No }, Failed;
    non_idempotent_lost_dispatch_is_unknown: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, Event::Lost]
        => Command::Fail { ran: Ran::Unknown }, Failed;
    non_idempotent_broken_stream_is_resumed: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, Event::Started, Event::Frame, Event::Broke]
        => Command::Resume, Resuming;
    non_idempotent_stream_that_cannot_resume_fails: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, Event::Started, Event::Frame, Event::Broke,
         Event::Gone]
        => Command::Fail { ran: Ran::Yes }, Failed;
    non_idempotent_started_dispatch_is_read: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, Event::Started]
        => Command::Read, Running;
    idempotent_retries_a_lost_dispatch: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Lost] => Command::Retry, Retrying;
    refusal_after_a_lost_dispatch_is_unknown: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Lost, Event::Again, REFUSED_ARRIVED, Event::GiveUp]
        => Command::Fail { ran: Ran::Unknown }, Failed;
    request_with_only_refusals_is_not_run: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, REFUSED_ARRIVED, Event::Again, REFUSED_UNSENT, Event::GiveUp]
        => Command::Fail { ran: Ran::No }, Failed;
    hang_up_cancels_a_running_idempotent_request: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Started, Event::CallerGone]
        => Command::Abandon, Abandoned;
    // When the last caller hangs up, an idempotent request ends at once: before its
    // first run, between two runs or during the second. Otherwise work would be run
    // and billed that nobody receives.
    caller_gone_at_choose: Idempotent [Event::Admitted, Event::CallerGone] => Command::Abandon, Abandoned;
    caller_gone_at_rate: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Whole, Event::CallerGone]
        => Command::Abandon, Abandoned;
    caller_gone_at_escalate: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Whole, Event::Rejected, Event::CallerGone]
        => Command::Abandon, Abandoned;
    hang_up_in_queue_cancels_a_non_idempotent_request: Never [Event::CallerGone] => Command::Abandon, Abandoned;
    cascade_rates_before_billing: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Frame, Event::Whole]
        => Command::Rate, Rating;
    cascade_escalates: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Whole, Event::Rejected]
        => Command::Dispatch, Dispatching;
    cascade_ends_at_last_step: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Whole, Event::Rejected, Event::Started,
         Event::Whole]
        => Command::Bill, Billing;
    cascade_keeps_a_good_answer: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Whole, Event::Kept]
        => Command::Bill, Billing;
    failed_escalation_has_run: Idempotent
        [Event::Admitted, Event::Chosen { steps: 2 }, Event::Started, Event::Whole, Event::Rejected, REFUSED_UNSENT,
         Event::GiveUp]
        => Command::Fail { ran: Ran::Yes }, Failed;
    no_endpoint_is_not_run: Never
        [Event::Admitted, Event::Claimed, Event::Chosen { steps: 1 }, Event::Declined]
        => Command::Fail { ran: Ran::No }, Failed;
    no_endpoint_after_a_lost_dispatch_is_unknown: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Lost, Event::Again, Event::Declined]
        => Command::Fail { ran: Ran::Unknown }, Failed;
    diverged_answer_has_run: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Started, Event::Frame, Event::Broke, Event::Gone,
         Event::Again, Event::Started, Event::Diverged]
        => Command::Fail { ran: Ran::Yes }, Failed;
    earlier_claim_supersedes_the_request: Never [Event::Admitted, Event::Superseded] => Command::Retire, Superseded;
    unbilled_answer_fails_as_run: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Started, Event::Whole, Event::Unbilled]
        => Command::Fail { ran: Ran::Yes }, Failed;
}

#[test]
fn final_state_accepts_no_event() {
    let (mut machine, _) = Machine::begin(Idempotent);
    machine.step(Event::Declined).expect("a refusal can be the first event");
    assert!(machine.step(Event::Admitted).is_err());
    assert_eq!(machine.state(), State::Failed);
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Admitted),
        3 => Just(Event::Claimed),
        4 => (1u8..4).prop_map(|steps| Event::Chosen { steps }),
        4 => Just(Event::Started),
        4 => Just(Event::Again),
        4 => Just(Event::Frame),
        2 => Just(Event::Whole),
        2 => any::<bool>().prop_map(|arrived| Event::Refused { arrived }),
        2 => prop_oneof![Just(Event::Broke), Just(Event::Resumed), Just(Event::Gone), Just(Event::Lost)],
        2 => prop_oneof![Just(Event::Kept), Just(Event::Rejected), Just(Event::Billed), Just(Event::Unbilled)],
        1 => prop_oneof![Just(Event::Superseded), Just(Event::Diverged)],
        1 => prop_oneof![Just(Event::Declined), Just(Event::GiveUp), Just(Event::CallerGone), Just(Event::TimeUp),
                         Just(Event::Fault)],
    ]
}

/// Facts recorded from the events and commands, independently of the state machine.
#[derive(Default)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts, not a state")]
struct Observer {
    claimed: bool,
    billed: bool,
    /// Whether the latest dispatch has not certainly been refused.
    open: bool,
    arrived: bool,
    delivered: bool,
}

impl Observer {
    fn record(&mut self, event: Event) {
        match event {
            Event::Claimed => self.claimed = true,
            Event::Billed => self.billed = true,
            Event::Refused { arrived } => {
                self.open = false;
                self.arrived |= arrived;
            }
            // No endpoint was found, so no byte of this dispatch was sent.
            Event::Declined => self.open = false,
            Event::Started | Event::Lost => self.arrived = true,
            _ => {}
        }
    }
}

/// Checks that the request continues when its caller hangs up after `events`.
///
/// This holds for a request that must not be repeated from its claim on, and for any
/// request whose answer is being billed. The state stays as it is, so that the caller
/// can still learn the true outcome later.
fn check_continues(repeat: Repeat, events: &[Event], state: State) {
    let (mut machine, _) = Machine::begin(repeat);
    for event in events {
        machine.step(*event).unwrap_or_else(|illegal| panic!("{illegal}"));
    }
    assert!(machine.outlives_caller() && machine.step(Event::CallerGone).is_err(), "abandoned after {events:?}");
    assert_eq!(machine.state(), state);
}

macro_rules! continues_after_hang_up {
    ($($name:ident: $repeat:ident [$($event:expr),*] => $state:ident;)*) => {
        $(#[test] fn $name() { check_continues($repeat, &[$($event),*], State::$state); })*
    };
}

continues_after_hang_up! {
    caller_gone_at_claim: Never [Event::Admitted] => Claiming;
    caller_gone_at_bill: Idempotent
        [Event::Admitted, Event::Chosen { steps: 1 }, Event::Started, Event::Whole] => Billing;
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Events arrive in any order that the state machine accepts. In every order, a
    /// non-idempotent request is not dispatched without its claim or after a byte may
    /// have arrived, the last frame is not sent before the bill, and `ran: no` is not
    /// reported while a dispatch is not certainly refused.
    #[test]
    fn guarantees_hold_for_random_events(never: bool, events in prop::collection::vec(event(), 1..60)) {
        let repeat = if never { Never } else { Idempotent };
        let (mut machine, _) = Machine::begin(repeat);
        let mut observer = Observer::default();
        let mut unrefused = false;
        for event in events {
            let Ok(command) = machine.step(event) else { continue };
            observer.record(event);
            unrefused |= matches!(event, Event::Started | Event::Lost);
            match command {
                Command::Dispatch => {
                    prop_assert!(!never || observer.claimed, "dispatched without a claim");
                    prop_assert!(!never || !observer.arrived, "dispatched twice");
                    observer.open = true;
                }
                Command::Deliver => {
                    prop_assert!(observer.billed && !observer.delivered, "last frame before the bill");
                    observer.delivered = true;
                }
                Command::Fail { ran: Ran::No } => prop_assert!(!observer.open && !unrefused, "`ran: no` is not true"),
                Command::Rate => prop_assert!(!never, "a non-idempotent request was cascaded"),
                _ => {}
            }
        }
    }
}
