//! Every check can fail: a run in which all promises held is spoilt in one
//! place, and just that is found.

use std::time::Duration;

use journal::{Bill, bill};
use standin::{answer, engine, service};
use world::{Catalog, Timestamp, object::Object, request};

use super::{Breach, Findings, check, request_id};
use crate::{
    books::Books,
    caller::{End, NotRun, Sent, Whole},
    client::{Problem, Ran},
    plan::{Ask, Kind, Repeat, Script, Session},
    traffic::{Played, Traffic},
    withdraw::Withdrawal,
};

const OBJECTS: &str = r#"
kind: model
name: m
spec:
  versions:
    - { version: "1", price: { input: "1", output: "2", currency: EUR } }
    - { version: "2", price: { input: "1", output: "2", currency: EUR } }
    - { version: "9", tier: 1, price: { input: "2", output: "4", currency: EUR } }
---
kind: contract
name: c
spec:
  keys: []
  models: [{ model: m, versions: ["1"] }]
  budget: { amount: "1", currency: EUR, period: day }
"#;

/// A session of two chats, and a call of a service.
struct Run {
    traffic: Traffic,
    books: Books,
    withdrawal: Option<Withdrawal>,
}

fn catalog() -> Catalog {
    Catalog::build(1, Object::parse_file(OBJECTS).expect("objects")).expect("a catalog")
}

fn run() -> Run {
    let chat = Kind::Chat { model: "m".into(), class: "short", stream: true, once: true, max_tokens: None };
    let call = Kind::Call { service: "s".into(), path: "/deposits".into() };
    let asks = [("a1", chat.clone()), ("a2", chat), ("b1", call)];
    let asks: Vec<_> =
        asks.into_iter().map(|(tag, kind)| Ask { tag: tag.into(), salt: [0; 10], kind, repeat: Repeat::No }).collect();
    let sent = asks.iter().map(|ask| vec![sent(ask)]).collect();
    let mut books = Books::default();
    for ask in &asks[..2] {
        let prompt = format!("user: {}\n", ask.content());
        let id = id(ask);
        books.bills.insert(id.clone(), vec![bill(&id, &prompt)]);
        books.records.push(record(ask, &prompt));
    }
    let id = id(&asks[2]);
    books.bills.insert(id.clone(), vec![bill(&id, "")]);
    books.effects.push(effect(&asks[2]));
    let script = Script { customer: "c".parse().expect("a name"), session: Session::Handle, asks };
    let traffic = Traffic { played: vec![Played { script, sent }], took: Duration::ZERO };
    Run { traffic, books, withdrawal: None }
}

fn sent(ask: &Ask) -> Sent {
    let version = if matches!(ask.kind, Kind::Chat { .. }) { "m@1" } else { "" };
    let whole = Whole { version: version.into(), session: None, moved_off: None, text: ask.tag.clone() };
    Sent {
        tag: ask.tag.clone(),
        key: ask.tag.clone(),
        end: End::Whole(whole),
        not_run: Vec::new(),
        may_have_run: None,
        tries: 1,
        ended: Timestamp(0),
        took: Duration::ZERO,
    }
}

fn id(ask: &Ask) -> request::Id {
    request_id(&"c".parse().expect("a name"), &sent(ask))
}

fn record(ask: &Ask, prompt: &str) -> engine::Record {
    engine::Record {
        attempt: ask.tag.clone(),
        version: "m@1".into(),
        priority: 5,
        prompt: prompt.into(),
        received: Timestamp(100),
        tokens: 3,
        end: Some(engine::End::Completed),
        ended: Some(Timestamp(120)),
    }
}

fn effect(ask: &Ask) -> service::Effect {
    service::Effect {
        method: "POST".into(),
        path: "/deposits".into(),
        key: ask.tag.clone(),
        attempt: "x".into(),
        body: format!("{{\"tag\":\"{}\"}}", ask.tag),
        received: Timestamp(100),
    }
}

fn bill(id: &request::Id, prompt: &str) -> Bill {
    let catalog = catalog();
    let release = catalog.release(&"m@1".to_owned().try_into().expect("a version")).expect("it is there").clone();
    Bill {
        id: id.clone(),
        at: Timestamp(200),
        amount: release.price.cost(answer::prompt_tokens(prompt), 3),
        currency: release.price.currency,
        item: bill::Item::Service("s".parse().expect("a name")),
        input_tokens: answer::prompt_tokens(prompt),
        output_tokens: 3,
        attempts: 1,
        grant: None,
    }
}

fn not_run(told: u64) -> NotRun {
    NotRun { told: Timestamp(told), detail: String::new() }
}

fn refused() -> End {
    End::Refused(Problem { ran: Ran::No, ..Problem::default() })
}

impl Run {
    fn sent(&mut self, place: usize) -> &mut Sent {
        &mut self.traffic.played[0].sent[place][0]
    }

    fn bills(&mut self, tag: &str) -> &mut Vec<Bill> {
        let bills = self.books.bills.iter_mut().find(|(id, _)| id.key.as_str() == tag);
        bills.expect("it is billed").1
    }
}

fn check_spoilt(spoil: fn(&mut Run), expected: &[fn(&Breach) -> bool]) {
    let mut run = run();
    spoil(&mut run);
    let found = check(&catalog(), &run.traffic, &run.books, run.withdrawal.as_ref()).0;
    assert_eq!(found.len(), expected.len(), "{found:?}");
    assert!(found.iter().zip(expected).all(|(breach, is)| is(breach)), "{found:?}");
}

macro_rules! spoilt {
    ($($name:ident: $spoil:expr => [$($expected:pat),*];)*) => {
        $(#[test] fn $name() { check_spoilt($spoil, &[$(|breach| matches!(breach, $expected)),*]); })*
    };
}

spoilt! {
    all_held: |_| {} => [];
    answer_is_lost: |run| run.sent(0).end = End::Lost(String::new()) => [Breach::Lost(_)];
    two_answers_of_one_key: |run| {
        let mut other = run.sent(0).clone();
        other.end = End::Whole(Whole { version: "m@1".into(), session: None, moved_off: None, text: "other".into() });
        run.traffic.played[0].sent[0].push(other);
    } => [Breach::Doubled(_)];
    chat_ran_twice: |run| {
        let record = run.books.records[0].clone();
        run.books.records.push(record);
    } => [Breach::Doubled(_)];
    call_took_effect_twice: |run| {
        let effect = run.books.effects[0].clone();
        run.books.effects.push(effect);
    } => [Breach::Doubled(_)];
    bill_is_missing: |run| run.books.bills.clear() =>
        [Breach::BillMissing(_), Breach::BillMissing(_), Breach::BillMissing(_)];
    bill_is_doubled: |run| {
        let mut second = run.bills("a1")[0].clone();
        second.attempts = 2;
        run.bills("a1").push(second);
    } => [Breach::BillDoubled(_)];
    bill_of_nobody: |run| {
        let bills = run.bills("a1").clone();
        let id = request::Id { customer: "c".parse().unwrap(), key: "nobody".parse().unwrap() };
        run.books.bills.insert(id, bills);
    } => [Breach::BillDoubled(_)];
    bill_of_another_amount: |run| run.bills("a1")[0].amount.0 += 1 => [Breach::BillWrong(_)];
    refused_and_billed: |run| {
        run.sent(2).end = refused();
        run.books.effects.clear();
    } => [Breach::BillDoubled(_)];
    not_run_yet_it_ran: |run| run.sent(2).not_run = vec![not_run(101)] => [Breach::FalseNotRun(_)];
    not_run_before_it_ran: |run| run.sent(2).not_run = vec![not_run(99)] => [];
    not_run_heard_late_by_the_second_caller: |run| {
        let mut second = run.sent(2).clone();
        second.not_run = vec![not_run(101)];
        run.sent(2).not_run = vec![not_run(90)];
        run.traffic.played[0].sent[2].push(second);
    } => [Breach::FalseNotRun(_)];
    not_run_told_to_the_second_caller_alone: |run| {
        let mut second = run.sent(2).clone();
        second.not_run = vec![not_run(101)];
        run.traffic.played[0].sent[2].push(second);
    } => [Breach::FalseNotRun(_)];
    version_outside_the_contract: |run| run.books.records[0].version = "m@2".into() => [Breach::Version(_)];
    session_changes_unsaid: |run| {
        let End::Whole(whole) = &mut run.sent(1).end else { unreachable!() };
        whole.version = "m@2".into();
    } => [Breach::Session(_)];
    session_moves_and_says_so: |run| {
        let End::Whole(whole) = &mut run.sent(1).end else { unreachable!() };
        (whole.version, whole.moved_off) = ("m@2".into(), Some("m@1".into()));
    } => [];
    work_after_withdrawal: |run| {
        run.withdrawal = Some(Withdrawal { version: "m@1".into(), since: Timestamp(99), took: Duration::ZERO });
    } => [Breach::Withdrawn(_), Breach::Withdrawn(_)];
    work_before_withdrawal: |run| {
        run.withdrawal = Some(Withdrawal { version: "m@1".into(), since: Timestamp(100), took: Duration::ZERO });
    } => [];
}

/// Versions that answer a session's requests in turn, each with the version
/// that its answer tells the session to have left.
type Answers = [(&'static str, Option<&'static str>)];

fn session_of(answers: &Answers) -> Played {
    let mut played = run().traffic.played.remove(0);
    let (ask, first) = (played.script.asks[0].clone(), played.sent[0][0].clone());
    played.script.asks = vec![ask; answers.len()];
    let sent = |&(version, moved_off): &(&str, Option<&str>)| {
        let whole =
            Whole { version: version.into(), session: None, moved_off: moved_off.map(Into::into), text: String::new() };
        vec![Sent { end: End::Whole(whole), ..first.clone() }]
    };
    played.sent = answers.iter().map(sent).collect();
    played
}

fn check_moves(played: &Played, breaches: usize) {
    let mut findings = Findings::default();
    findings.check_session(&catalog(), played);
    assert_eq!(findings.0.len(), breaches, "{:?}", findings.0);
}

macro_rules! sessions {
    ($($name:ident: $answers:expr => $breaches:expr;)*) => {
        $(#[test] fn $name() { check_moves(&session_of($answers), $breaches); })*
    };
}

// What the caller sees: tier 0 left version 1 for 2, and it was told so by an
// answer that came from tier 1, since tier 0's was escalated. The session's
// next answer comes from version 2 and need not tell again. A word about
// another version, or one that came before, excuses nothing.
sessions! {
    move_told_by_an_escalated_answer: &[("m@1", None), ("m@9", Some("m@1")), ("m@2", None)] => 0;
    move_of_another_version_told: &[("m@1", None), ("m@2", Some("m@9"))] => 1;
    move_told_once_moved_twice: &[("m@1", None), ("m@2", Some("m@1")), ("m@1", None)] => 1;
    move_untold_after_an_escalation: &[("m@1", None), ("m@9", None), ("m@2", None)] => 1;
}

// A caller sends one key on two connections. The first breaks, the second
// brings the answer that tells of the move. The caller has been told.
#[test]
fn move_told_on_the_second_connection() {
    let mut played = session_of(&[("m@1", None), ("m@2", Some("m@1")), ("m@2", None)]);
    let whole = played.sent[1][0].clone();
    let told = Sent { end: End::Told(Ran::Yes), ..whole.clone() };
    played.sent[1] = vec![told, whole];
    check_moves(&played, 0);
}

/// A session on version 1 whose next request goes out on two connections. Each
/// ends at a time with an answer of a version, which may tell of a move; the
/// request after it is answered by version 2 without a word.
fn on_two_connections(ends: [(u64, &'static str, Option<&'static str>); 2]) -> Played {
    let mut played = session_of(&[("m@1", None), ("m@1", None), ("m@2", None)]);
    let sent = ends.map(|(at, version, moved_off)| {
        let answer = session_of(&[(version, moved_off)]).sent[0][0].clone();
        Sent { ended: Timestamp(at), ..answer }
    });
    played.sent[1] = sent.into();
    played
}

macro_rules! connections {
    ($($name:ident: $ends:expr => $breaches:expr;)*) => {
        $(#[test] fn $name() { check_moves(&on_two_connections($ends), $breaches); })*
    };
}

// What the caller sees: both connections with one key bring an answer, and only the
// second tells of a move. It counts from when it came, not before.
connections! {
    move_told_after_the_first_connections_answer: [(10, "m@1", None), (25, "m@2", Some("m@1"))] => 0;
    move_told_before_the_first_connections_answer: [(25, "m@1", None), (10, "m@2", Some("m@1"))] => 1;
    move_told_too_late_for_the_first_connections_answer: [(10, "m@2", None), (25, "m@2", Some("m@1"))] => 1;
    move_told_in_time_for_the_first_connections_answer: [(25, "m@2", None), (10, "m@2", Some("m@1"))] => 0;
}
