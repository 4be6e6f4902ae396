//! What recording costs, against the work it cannot do without.
//!
//! `cargo bench -p timeline` prints all in one run; the note
//! docs/design/time-line.md gives the ratios.

use std::{
    hint::black_box,
    thread,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use timeline::{Capacity, Clock, Event, Filter, Page, Recorder, Source, Step, merge::Timeline};
use world::{contract::Customer, instance, model::Version, request};

fn recorder(index: usize) -> Recorder {
    let instance = instance::Id::parse(&format!("i{index}")).expect("a name");
    let source = Source { instance, incarnation: instance::Incarnation(1) };
    Recorder::open(source, Capacity::default())
}

fn event(request: &request::Id, version: &Version) -> Event {
    let step = Step::Chosen { version: version.clone(), tier: 0, reason: "cheapest that meets the target".into() };
    Event::Request { request: request.clone(), step }
}

fn page(index: usize, event: &Event, records: usize) -> Page {
    let recorder = recorder(index);
    for _ in 0..records {
        recorder.record(event.clone());
    }
    recorder.query(&Filter::default())
}

/// Time until each thread has recorded so many events.
fn by_threads(threads: u32, records: u64, recorder: &Recorder, event: &Event, logging: &tracing::Dispatch) -> Duration {
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                tracing::dispatcher::with_default(logging, || {
                    for _ in 0..records {
                        black_box(recorder.record(event.clone()));
                    }
                });
            });
        }
    });
    started.elapsed()
}

fn bench(c: &mut Criterion) {
    let customer = Customer::parse("tousuvool").expect("a name");
    let key = request::Key::parse("0190f3a0-0000-7000-8000-000000000000").expect("a key");
    let request = request::Id { customer, key };
    let version = Version::parse("summary@4").expect("a version");
    let event = event(&request, &version);

    let clock = Clock::default();
    c.bench_function("tick", |b| b.iter(|| black_box(clock.tick())));
    c.bench_function("clone_event", |b| b.iter(|| black_box(event.clone())));
    let recorder = recorder(0);
    c.bench_function("record", |b| b.iter(|| black_box(recorder.record(event.clone()))));
    let logging = tracing::Dispatch::new(tracing_subscriber::fmt().json().with_writer(std::io::sink).finish());
    c.bench_function("record_and_log_by_4_threads", |b| {
        b.iter_custom(|records| by_threads(4, records, &recorder, &event, &logging));
    });
    let sink = tracing_subscriber::fmt().json().with_writer(std::io::sink).finish();
    tracing::subscriber::with_default(sink, || {
        c.bench_function("record_and_log", |b| b.iter(|| black_box(recorder.record(event.clone()))));
    });
    let filter =
        Filter { request: Some(request.key.as_str().parse().expect("a key")), limit: 100, ..Filter::default() };
    c.bench_function("query_full_ring", |b| b.iter(|| black_box(recorder.query(&filter).records.len())));

    let pages: Vec<_> = (0..7).map(|index| page(index, &event, 1_000)).collect();
    c.bench_function("merge_7_pages_of_1000", |b| {
        b.iter(|| black_box(Timeline::merge(pages.clone(), Vec::new()).records.len()));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
