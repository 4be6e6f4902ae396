//! What the recorder keeps and finds.

use timeline::{Capacity, Event, Filter, Kind, Record, Recorder, Source, Stamp, Step};
use world::{contract::Customer, instance, request};

fn recorder(requests: usize, others: usize) -> Recorder {
    let source = Source { instance: instance::Id::parse("tartu-a-1").unwrap(), incarnation: instance::Incarnation(1) };
    Recorder::open(source, Capacity { requests, others })
}

fn request(key: &str) -> Event {
    let request =
        request::Id { customer: Customer::parse("tousuvool").unwrap(), key: request::Key::parse(key).unwrap() };
    Event::Request { request, step: Step::Admitted { queued_ms: 0 } }
}

fn configured(generation: u64) -> Event {
    Event::Configuration { generation }
}

fn numbers(records: &[Record]) -> Vec<u64> {
    records.iter().map(|record| record.number).collect()
}

/// Records `events`, queries, and compares the numbers found.
fn check(events: &[Event], filter: &Filter, expected: &[u64]) {
    let recorder = recorder(100, 100);
    for event in events {
        recorder.record(event.clone());
    }
    let page = recorder.query(filter);
    assert_eq!(numbers(&page.records), expected);
    assert_eq!(page.overflowed_before, None);
    assert_eq!(page.last, events.len() as u64);
}

macro_rules! finds {
    ($($name:ident: $events:expr, $filter:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check(&$events, &$filter, &$expected); })*
    };
}

finds! {
    everything_in_order: [request("a"), configured(1), request("b")], Filter::default() => [1, 2, 3];
    one_request_by_its_key: [request("a"), request("b"), configured(1), request("a")],
        Filter { request: Some("a".parse().unwrap()), ..Filter::default() } => [1, 4];
    one_request_by_customer_and_key: [request("a"), request("b")],
        Filter { request: Some("tousuvool/b".parse().unwrap()), ..Filter::default() } => [2];
    no_request_of_another_customer: [request("a")],
        Filter { request: Some("tubig/a".parse().unwrap()), ..Filter::default() } => [];
    a_kind: [request("a"), configured(1), request("b")],
        Filter { kinds: vec![Kind::Configuration], ..Filter::default() } => [2];
    what_came_after: [request("a"), configured(1), request("b")], Filter { after: 2, ..Filter::default() } => [3];
}

/// A busy minute of requests overflows its ring. The page names the last
/// dropped record's stamp, and the configuration change from before is still
/// there, because it is kept apart.
#[test]
fn overflow_is_named_and_spares_other_kinds() {
    let recorder = recorder(3, 3);
    recorder.record(configured(7));
    let stamps: Vec<Stamp> = (0..5).map(|_| recorder.record(request("a"))).collect();

    let page = recorder.query(&Filter::default());
    assert_eq!(numbers(&page.records), [1, 4, 5, 6]);
    assert_eq!(page.overflowed_before, Some(stamps[1]));

    let configuration = Filter { kinds: vec![Kind::Configuration], ..Filter::default() };
    assert_eq!(recorder.query(&configuration).overflowed_before, None);

    let latest = Filter { after: 3, ..Filter::default() };
    assert_eq!(recorder.query(&latest).overflowed_before, None, "nothing after number 3 was dropped");
}

/// A limit leaves out the oldest; the page says which.
#[test]
fn limit_keeps_the_latest_and_says_so() {
    let recorder = recorder(10, 10);
    let stamps: Vec<Stamp> = (0..4).map(|_| recorder.record(request("a"))).collect();
    let page = recorder.query(&Filter { limit: 1, ..Filter::default() });
    assert_eq!(numbers(&page.records), [4]);
    assert_eq!(page.limited_before, Some(stamps[2]));
    assert_eq!(page.overflowed_before, None);
}

/// A peer's clock is a day ahead. Its stamp is left out, so that one wrong
/// clock does not drag every instance along, and the skew is recorded once.
#[test]
fn clock_a_day_ahead_is_recorded_and_not_followed() {
    let recorder = recorder(10, 10);
    let before = recorder.clock();
    let day_ahead = Stamp::at(before.timestamp().plus(24 * 3_600_000));
    recorder.observe(day_ahead);
    recorder.observe(day_ahead);

    assert!(recorder.clock() < day_ahead);
    let page = recorder.query(&Filter { kinds: vec![Kind::Clock], ..Filter::default() });
    assert_eq!(page.records.len(), 1);
}

#[test]
fn record_survives_json() {
    let recorder = recorder(10, 10);
    recorder.record(request("a"));
    let page = recorder.query(&Filter::default());
    let text = serde_json::to_string(&page.records).unwrap();
    let read: Vec<Record> = serde_json::from_str(&text).unwrap();
    assert_eq!(read, page.records);
}
