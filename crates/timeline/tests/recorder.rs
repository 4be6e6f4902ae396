//! What the recorder keeps and finds.

use std::{
    io::Write,
    sync::{Mutex, mpsc},
    time::Duration,
};

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

/// A log's reader that takes nothing until it is let go.
struct Stuck {
    reached: mpsc::Sender<()>,
    release: mpsc::Receiver<()>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Both ends outlive the write; a closed one only ends the wait.
        let _ = self.reached.send(());
        let _ = self.release.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log lines stops reading while one event is written out.
/// Other requests record on; they would all stand still if the line were
/// written under the recorder's lock.
#[test]
fn stuck_log_holds_up_no_other_record() {
    let recorder = recorder(10, 10);
    let (reached, at_writer) = mpsc::channel();
    let (let_go, release) = mpsc::channel();
    let writer = Mutex::new(Stuck { reached, release });
    let log = tracing_subscriber::fmt().json().with_writer(writer).finish();
    let logging = recorder.clone();
    let stuck = std::thread::spawn(move || {
        tracing::subscriber::with_default(log, || logging.record(configured(1)));
    });
    at_writer.recv().unwrap();

    let (done, outcome) = mpsc::channel();
    let other = recorder.clone();
    std::thread::spawn(move || done.send(other.record(configured(2))));
    let outcome = outcome.recv_timeout(Duration::from_mins(1));
    let_go.send(()).unwrap();
    stuck.join().unwrap();
    assert!(outcome.is_ok(), "the second record waits for the first one's log line");
}
