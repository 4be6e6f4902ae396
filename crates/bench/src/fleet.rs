//! What a relaying instance's own work costs, by the size of the fleet.
//!
//! Each figure is the mean time of one piece of work in microseconds on one thread,
//! without sockets: what grows here grows at every instance.

use std::{
    collections::HashMap,
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use relay::{
    clock,
    dispatcher::{
        Dispatcher,
        fleet::{Job, Load, Notice, short_hash},
        peers::{Caller, Phase, Sighting, Status},
        synchronization::Change,
    },
    settings::Cores,
    source::{Endpoint, Revision},
};
use route::relay::freshness::Proof;

use crate::relay::{dialect, settings};

const INSTANCES: [u32; 4] = [30, 100, 300, 750];
const ENDPOINTS: [u32; 3] = [100, 1_000, 10_000];
const DOMAINS: u32 = 6;

/// Endpoints that an instance has runs at.
const LOADED: u32 = 10;

/// Time that each figure is measured for.
const MEASURED: Duration = Duration::from_millis(200);

/// Prints both tables.
pub fn run() {
    println!("instances, 200 endpoints | piece heard | sightings taken | news sent to | addresses told | watch asked");
    for instances in INSTANCES {
        let dispatcher = dispatcher(instances, 200);
        let mut number = 0;
        let heard = measure(|| {
            number += 1;
            dispatcher.update_peer(
                &name(number % instances),
                news(number % instances),
                status(number % instances, number, 200),
            );
        });
        let sightings = measure(|| dispatcher.apply_sightings((0..40).map(|n| sighting(n % instances))));
        let audience = measure(|| black_box(dispatcher.news_recipients(number as usize, 16)));
        let caller = Caller { domain: Some(domain(0)), from: None };
        let fronts = measure(|| black_box(dispatcher.caller_addresses(&caller)));
        let led = measure(|| black_box(dispatcher.is_synchronized()));
        println!("{instances} | {heard:.1} | {sightings:.1} | {audience:.1} | {fronts:.1} | {led:.1}");
    }
    println!("endpoints, 30 instances | expectation | placement | notice | listing compared");
    for endpoints in ENDPOINTS {
        let dispatcher = dispatcher(30, endpoints);
        let mut session = 0;
        let expected = measure(|| {
            session += 1;
            black_box(dispatcher.expected_ms(&job(session)))
        });
        let placed = measure(|| {
            session += 1;
            black_box(dispatcher.place(&job(session)))
        });
        let noticed = measure(|| {
            session += 1;
            let endpoint = short_hash(&format!("e{}", session % u64::from(endpoints)));
            dispatcher.apply_notice(Notice { endpoint, reading_ms: 1.0, part: None });
        });
        let listed: Vec<Endpoint> = (0..endpoints).map(endpoint).collect();
        let listed: Vec<&Endpoint> = listed.iter().collect();
        let compared = measure(|| -> Vec<Change> { black_box(dispatcher.differences(&listed, &[])) });
        println!("{endpoints} | {expected:.1} | {placed:.1} | {noticed:.1} | {compared:.1}");
    }
}

/// Mean time of some work, in microseconds.
fn measure<T>(mut work: impl FnMut() -> T) -> f64 {
    let begun = Instant::now();
    let mut times = 0_u32;
    while begun.elapsed() < MEASURED {
        work();
        times += 1;
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn dispatcher(instances: u32, endpoints: u32) -> Arc<Dispatcher> {
    let dispatcher = Dispatcher::new(settings(), dialect());
    (0..endpoints).for_each(|number| dispatcher.register_endpoint(endpoint(number)));
    dispatcher.record_listing(Revision { era: 0, number: 1 });
    dispatcher.renew(clock::now(), Proof::Read);
    (0..instances).for_each(|number| dispatcher.update_peer(&name(number), news(number), status(number, 0, endpoints)));
    dispatcher
}

fn status(instance: u32, run: u32, endpoints: u32) -> Status {
    let load = Load { runs: 2.0, backlog_ms: 30.0 };
    let loaded = (0..LOADED).map(|n| (short_hash(&format!("e{}", (instance * LOADED + n + run) % endpoints)), load));
    Status {
        front: Some(news(instance)),
        start: u64::from(run),
        phase: Phase::Ready,
        fresh: true,
        domain: domain(instance),
        in_touch: true,
        cores: Cores(if instance.is_multiple_of(16) { 50 } else { 12 }),
        time_to_next: Duration::from_mins(1),
        loads: loaded.collect::<HashMap<_, _>>(),
        ..Status::default()
    }
}

fn sighting(instance: u32) -> Sighting {
    Sighting { name: short_hash(&name(instance)), age: Duration::from_millis(300), leaves: false }
}

fn job(session: u64) -> Job<'static> {
    Job {
        route: "bench",
        service: "model",
        model: Some(0),
        size: 1.0,
        affinity: Some(session << 32),
        whole: None,
        shared_tokens: 5_000,
        own_tokens: 500,
        output_tokens: 0,
        session,
        in_session: false,
        tried: &[],
        barred: &[],
        version: None,
    }
}

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        id: format!("e{number}"),
        service: "model".into(),
        address: news(number),
        domain: domain(number),
        version: "v1".into(),
        slots: 12,
        draining: false,
        warmup_left: Duration::ZERO,
        started_at_ms: None,
        revision: Revision { era: 0, number: 1 },
    }
}

fn name(instance: u32) -> String {
    format!("instance-{instance}")
}

fn domain(number: u32) -> String {
    format!("domain-{}", number % DOMAINS)
}

fn news(number: u32) -> SocketAddr {
    ([10, 0, 0, 1], u16::try_from(1_000 + number).unwrap_or(u16::MAX)).into()
}
