//! Wire messages from and to the types, and messages that must be refused.

use operator::{
    Account, Action, Applied, Bill, Change, Conflict, Draining, Edit, Events, Fault, Malformed, Member, Outcome,
    Progress, Revision, Seen, Status, Stored, What, wire,
};
use proptest::{prelude::*, test_runner::RngSeed};
use timeline::{Event, Filter, Kind, Page, Ran, Record, Source, Stamp, Step};
use world::{
    Timestamp,
    instance::{self, Incarnation},
    model::{Number, Version},
    money::{Amount, Currency},
    object::{self, Key, Object},
    request,
};

/// Same cases at every run.
const SEED: u64 = 0x6f_70_73;

const SERVICE: &str = r#"{"kind":"service","name":"logbook","spec":{"not_repeatable":[],"price":null}}"#;

fn logbook() -> Object {
    Object::from_json(&serde_json::from_str(SERVICE).unwrap()).unwrap()
}

fn key() -> Key {
    Key { kind: object::Kind::Contract, name: "tousuvool".into() }
}

fn version() -> Version {
    Version::parse("summary@4").unwrap()
}

fn request_id() -> request::Id {
    request::Id { customer: "tousuvool".parse().unwrap(), key: "launch-7".parse().unwrap() }
}

fn bill() -> Bill {
    Bill {
        request: request_id(),
        version: Some(version()),
        cost: Amount(1_250_000),
        currency: Currency::try_from("EUR".to_owned()).unwrap(),
        attempts: 2,
        at: Timestamp(1_700_000_000_000),
    }
}

fn member() -> Member {
    Member {
        id: "tartu-a-1".parse().unwrap(),
        incarnation: Incarnation(3),
        domain: "tartu-a".parse().unwrap(),
        state: instance::State::Leaving,
        generation: Some(9),
        fresh: true,
        age_ms: 120,
        in_flight: 4,
        operators: "127.0.0.1:8082".parse().unwrap(),
        silent: None,
    }
}

/// Sends a value over the wire's form and back.
fn check<T, W>(value: &T)
where
    T: TryFrom<W, Error = Malformed> + PartialEq + std::fmt::Debug,
    W: for<'a> From<&'a T>,
{
    assert_eq!(T::try_from(W::from(value)).as_ref(), Ok(value));
}

macro_rules! survives {
    ($($name:ident: $wire:ty, $value:expr;)*) => {
        $(#[test] fn $name() { check::<_, $wire>(&$value); })*
    };
}

survives! {
    an_object_key: wire::ObjectKey, key();
    a_put: wire::Edit, Edit { expected: Some(3), what: What::Put(logbook()) };
    a_delete: wire::Edit, Edit { expected: None, what: What::Delete(key()) };
    a_change: wire::ApplyRequest, Change {
        id: "c1".into(),
        author: "mari".into(),
        edits: vec![Edit { expected: Some(0), what: What::Put(logbook()) }],
    };
    applied: wire::ApplyReply, Outcome::Applied(Applied { generation: 7, changed: vec![key()] });
    a_conflict: wire::ApplyReply, Outcome::Conflict(Conflict {
        object: key(), expected: 3, found: 5, author: "jaan".into(), at: Timestamp(17),
    });
    a_refusal: wire::ApplyReply, Outcome::Refused(vec![Fault { object: key(), message: "no such model".into() }]);
    an_unknown_outcome: wire::ApplyReply, Outcome::Unknown { message: "the platform is silent".into() };
    a_stored_object: wire::Stored, Stored { object: logbook(), generation: 2 };
    a_revision: wire::Revision, Revision {
        generation: 2, change: "c1".into(), author: "mari".into(), at: Timestamp(5), object: Some(logbook()),
    };
    a_deletion: wire::Revision, Revision {
        generation: 2, change: "c1".into(), author: "mari".into(), at: Timestamp(5), object: None,
    };
    a_status: wire::StatusReply, Status {
        generation: 9, answered_by: "tartu-a-1".parse().unwrap(), instances: vec![member()],
    };
    a_silent_member: wire::Instance, Member { generation: None, silent: Some("timed out".into()), ..member() };
    progress: wire::WaitProgress, Progress { generation: 9, instances: vec![member()], done: true };
    draining: wire::DrainProgress, Draining { instance: "tartu-a-1".parse().unwrap(), in_flight: 1, done: false };
    a_bill: wire::Bill, bill();
    a_bill_of_a_service: wire::Bill, Bill { version: None, ..bill() };
    an_account: wire::ExplainReply, Account { outcome: request::Outcome::Answered, bill: Some(bill()) };
    a_promise: wire::ExplainReply, Account { outcome: request::Outcome::NotRun, bill: None };
    events: wire::Page, Events {
        page: Page {
            source: Source { instance: "tartu-a-1".parse().unwrap(), incarnation: Incarnation(1) },
            records: vec![Record {
                at: Stamp(u64::MAX - 1),
                source: Source { instance: "tartu-a-1".parse().unwrap(), incarnation: Incarnation(1) },
                number: 4,
                event: Event::Request {
                    request: request_id(),
                    step: Step::Refused { ran: Ran::No, problem: "queue-full".into(), detail: "later".into() },
                },
            }],
            overflowed_before: Some(Stamp(12)),
            limited_before: Some(Stamp(13)),
            last: 4,
        },
        now: Stamp(99),
    };
}

#[test]
fn every_rollout_action_survives() {
    let start = Action::Start {
        version: version(),
        predecessor: Number::parse("3").unwrap(),
        steps: vec![0.1, 1.0],
        step_ms: Some(500),
    };
    let (pause, withdraw) = (Action::Pause { reason: "r".into() }, Action::Withdraw { reason: "bad".into() });
    for action in [start, pause, Action::Resume, Action::Promote, withdraw] {
        let wire: wire::rollout_request::Action = (&action).into();
        assert_eq!(Action::try_from(wire), Ok(action));
    }
}

#[test]
fn filter_survives() {
    let filter = Filter {
        request: Some("tousuvool/launch-7".parse().unwrap()),
        version: Some(version()),
        kinds: vec![Kind::Request, Kind::Stop],
        after: 5,
        limit: 10,
    };
    assert_eq!(wire::TimelineRequest::of(&filter, true, None).filter(Incarnation(0)), Ok(filter));
}

/// A follower comes back after the instance was started anew. Numbers began
/// at 1 again, so the old number must not hide the new run's first records.
#[test]
fn number_counts_in_its_own_run_only() {
    let seen = Seen { incarnation: Incarnation(4), number: 90 };
    let request = wire::TimelineRequest::of(&Filter::default(), true, Some(&seen));
    assert_eq!(request.filter(Incarnation(4)).unwrap().after, 90);
    assert_eq!(request.filter(Incarnation(5)).unwrap().after, 0);
}

/// Reads a message that must be refused, and compares the field named.
fn refuse<T: TryFrom<W, Error = Malformed> + std::fmt::Debug, W>(message: W, field: &str) {
    let malformed = T::try_from(message).expect_err("must be refused");
    assert_eq!(malformed.field, field, "{malformed}");
}

macro_rules! refuses {
    ($($name:ident: $ty:ty, $message:expr => $field:expr;)*) => {
        $(#[test] fn $name() { refuse::<$ty, _>($message, $field); })*
    };
}

fn put(json: &str) -> wire::Edit {
    wire::Edit { expected: None, what: Some(wire::edit::What::Put(json.as_bytes().to_vec().into())) }
}

fn wire_bill(change: impl FnOnce(&mut wire::Bill)) -> wire::Bill {
    let mut message = wire::Bill::from(&bill());
    change(&mut message);
    message
}

fn wire_member(change: impl FnOnce(&mut wire::Instance)) -> wire::Instance {
    let mut message = wire::Instance::from(&member());
    change(&mut message);
    message
}

fn apply(edits: Vec<wire::Edit>, change: &str) -> wire::ApplyRequest {
    wire::ApplyRequest { edits, change: change.into(), author: String::new() }
}

refuses! {
    kind_that_is_none: Key, wire::ObjectKey { kind: "tenant".into(), name: "a".into() } => "kind";
    name_that_is_none: Key, wire::ObjectKey { kind: "contract".into(), name: "../head".into() } => "name";
    name_left_out: Key, wire::ObjectKey { kind: "contract".into(), name: String::new() } => "name";
    edit_of_nothing: Edit, wire::Edit { expected: Some(1), what: None } => "what";
    object_that_is_no_json: Edit, put("{") => "object";
    object_of_no_kind: Edit, put(r#"{"kind":"tenant","name":"a","spec":{}}"#) => "object";
    object_with_an_unknown_field: Edit, put(r#"{"kind":"service","name":"a","spec":{"prise":1}}"#) => "object";
    object_that_is_a_list: Edit, put("[]") => "object";
    change_without_id: Change, apply(vec![put(SERVICE)], "") => "change";
    change_without_edits: Change, apply(Vec::new(), "c") => "edits";
    change_of_one_object_twice: Change, apply(vec![put(SERVICE), put(SERVICE)], "c") => "edits";
    reply_without_outcome: Outcome, wire::ApplyReply { outcome: None } => "outcome";
    cost_that_is_negative: Bill, wire_bill(|b| b.cost = "-1".into()) => "cost";
    currency_that_is_none: Bill, wire_bill(|b| b.currency = "euro".into()) => "currency";
    version_without_number: Bill, wire_bill(|b| b.version = "summary".into()) => "version";
    customer_with_a_slash: Bill, wire_bill(|b| b.customer = "a/b".into()) => "customer";
    state_that_is_none: Member, wire_member(|m| m.state = "dead".into()) => "state";
    operators_address_that_is_none: Member, wire_member(|m| m.operators = "here".into()) => "operators";
    outcome_that_is_none: Account, wire::ExplainReply { outcome: "maybe".into(), bill: None } => "outcome";
    request_without_key: request::Id, wire::ExplainRequest { customer: "a".into(), ..wire::ExplainRequest::default() } => "key";
    event_that_is_none: Events, wire::Page {
        instance: "a".into(),
        records: vec![wire::Record { at: 1, number: 1, event: b"{}".to_vec().into() }],
        ..wire::Page::default()
    } => "event";
}

#[test]
fn bad_filters_name_their_field() {
    let of = |change: fn(&mut wire::TimelineRequest)| {
        let mut request = wire::TimelineRequest::default();
        change(&mut request);
        request.filter(Incarnation(1)).expect_err("must be refused").field
    };
    assert_eq!(of(|r| r.request = "a/b/c".into()), "request");
    assert_eq!(of(|r| r.version = "summary".into()), "version");
    assert_eq!(of(|r| r.kinds = vec!["sessions".into()]), "kinds");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes stand in place of an object, the answer is a value or
    /// a named field, never a panic.
    #[test]
    fn any_bytes_as_an_object_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let edit = wire::Edit { expected: None, what: Some(wire::edit::What::Put(bytes.into())) };
        let read = Edit::try_from(edit);
        prop_assert!(read.is_err_and(|malformed| malformed.field == "object"));
    }

    /// The same for a valid object with one byte changed.
    #[test]
    fn a_changed_byte_is_read_or_refused(place in 0..SERVICE.len(), byte in any::<u8>()) {
        let mut bytes = SERVICE.as_bytes().to_vec();
        bytes[place] = byte;
        let edit = wire::Edit { expected: None, what: Some(wire::edit::What::Put(bytes.into())) };
        if let Err(malformed) = Edit::try_from(edit) {
            prop_assert_eq!(malformed.field, "object");
        }
    }
}
