//! Capacity of endpoints that is learned from the runs of all instances, and the memory of engines.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use relay::{
    Settings,
    catalog::{Catalog, Kind, Service},
    dispatcher::{
        Dispatcher,
        fleet::{Job, PaceReport, Run, RunOutcome, start_hash},
        peers::Status,
    },
    settings::{Capacity, Policies},
    source::Endpoint,
};
use route::relay::{
    content::{Content, Work},
    pace::{Observations, Sum},
};
use tokio::{net::UdpSocket, time::timeout};

use crate::{
    caller,
    notices::prompt_job,
    server::{Action, Server, ok_response},
    site::{SERVICE, Site, StoreContents, catalog, dialect, endpoint, revision, route, settings},
};

/// First byte of a datagram of paces.
const PACES_TAG: u8 = 14;

const MEMORY_TOKENS: u64 = 100_000;

/// Number of other instances that report paces.
const REPORTERS: u16 = 5;

pub const ENDPOINTS: u16 = 6;

fn with_capacity(capacity: Capacity) -> Settings {
    Settings { policies: Policies { capacity, ..Policies::default() }, ..settings() }
}

fn catalog_of_engines() -> Catalog {
    let service = Service { name: SERVICE.into(), memory_tokens: Some(MEMORY_TOKENS), warmup: None };
    Catalog {
        services: HashMap::from([(SERVICE.to_owned(), Arc::new(service))]),
        ..catalog(1, vec![route("/a/", Kind::Idempotent)])
    }
}

/// Returns an instance that knows six engines and five other instances.
pub fn instance(capacity: Capacity) -> Arc<Dispatcher> {
    let instance = Dispatcher::new(with_capacity(capacity), dialect());
    instance.install(catalog_of_engines());
    for number in 0..ENDPOINTS {
        instance.register_endpoint(registration(number, 1));
    }
    for number in 0..REPORTERS {
        let status = Status { time_to_next: Duration::from_mins(1), ..Status::default() };
        instance.update_peer(&reporter(number), news_address(number), status);
    }
    instance
}

pub fn registration(number: u16, born: u64) -> Endpoint {
    Endpoint {
        started_at_ms: Some(born),
        revision: revision(born),
        ..endpoint(&format!("e{number}"), ([127, 0, 0, 1], 100 + number).into())
    }
}

pub fn reporter(number: u16) -> String {
    format!("other-{number}")
}

pub fn news_address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1 + number).into()
}

/// Reports of every other instance: the first endpoint is twice as slow as the rest.
pub async fn report_first_as_slow(instance: &Dispatcher) {
    apply_reports(instance);
    instance.assess_paces().await;
}

fn apply_reports(instance: &Dispatcher) {
    let report = |number: u16| {
        let pace = Sum { count: 8.0, log_sum: if number == 0 { 8.0 * 0.7 } else { 0.0 } };
        let observations = Observations { pace, ..Observations::default() };
        PaceReport { start: start_hash(&registration(number, 1)), observations }
    };
    for number in 0..REPORTERS {
        let name = relay::dispatcher::fleet::short_hash(&reporter(number));
        instance.apply_paces(name, news_address(number), (0..ENDPOINTS).map(report));
    }
}

/// Places a run at an endpoint.
pub fn place_at(instance: &Arc<Dispatcher>, id: &str) -> Run {
    loop {
        let run = instance.place(&prompt_job(None, 10)).expect("an endpoint should take the job");
        if run.endpoint.id == id {
            return run;
        }
    }
}

/// Expected times, and with them first-byte timeouts, follow the pace that other instances observe.
#[tokio::test]
async fn paces_of_other_instances_scale_expected_times_and_slots() {
    let instance = instance(Capacity::Learned);
    let before = place_at(&instance, "e0").expected_ms();
    report_first_as_slow(&instance).await;
    let slow = place_at(&instance, "e0");
    // The pace scales the 15 ms of the run, but not the cost of the way to another failure domain.
    assert!(slow.expected_ms() > before + 8.0, "{} {before}", slow.expected_ms());
    assert!(instance.effective_slots(slow.key) < 6.0);
    let ordinary = place_at(&instance, "e1");
    assert!((7.0..11.0).contains(&instance.effective_slots(ordinary.key)));
}

/// Without the setting, reports of instances that have it must change nothing.
#[tokio::test]
async fn reports_have_no_effect_on_declared_capacity() {
    let (instance, untouched) = (instance(Capacity::Declared), instance(Capacity::Declared));
    report_first_as_slow(&instance).await;
    let (run, other) = (place_at(&instance, "e0"), place_at(&untouched, "e0"));
    assert_eq!((run.expected_ms(), run.choice.wait_ms), (other.expected_ms(), other.choice.wait_ms));
    assert_eq!(instance.effective_slots(run.key).to_bits(), 8.0_f64.to_bits());
    assert_eq!(instance.service_slots(SERVICE).to_bits(), 48.0_f64.to_bits());
    assert!(instance.own_paces(64).is_empty());
}

/// An assessment pools the reports of all instances on all endpoints. A request must not wait for
/// that: with 300 instances it takes milliseconds, each quarter of a second.
#[tokio::test]
async fn placement_does_not_assess_paces() {
    let instance = instance(Capacity::Learned);
    apply_reports(&instance);
    let run = place_at(&instance, "e0");
    assert_eq!(instance.effective_slots(run.key).to_bits(), 8.0_f64.to_bits());
    instance.assess_paces().await;
    assert!(instance.effective_slots(run.key) < 6.0);
}

/// A sender that is no known instance could count any number of times under different names.
#[tokio::test]
async fn reports_of_unknown_instances_are_ignored() {
    let instance = instance(Capacity::Learned);
    let report = |number: u16| {
        let pace = Sum { count: 30.0, log_sum: if number == 0 { 30.0 } else { 0.0 } };
        let observations = Observations { pace, ..Observations::default() };
        PaceReport { start: start_hash(&registration(number, 1)), observations }
    };
    for name in 0..50 {
        instance.apply_paces(name, news_address(0), (0..ENDPOINTS).map(report));
        let known = relay::dispatcher::fleet::short_hash(&reporter(0));
        instance.apply_paces(known, news_address(1), (0..ENDPOINTS).map(report));
    }
    instance.assess_paces().await;
    assert_eq!(instance.service_slots(SERVICE).to_bits(), 48.0_f64.to_bits());
}

/// An endpoint that restarts under its name is another process, perhaps on another machine: its
/// earlier pace must not keep requests away, also if reports about it still arrive.
#[tokio::test]
async fn restarted_endpoint_has_no_pace() {
    let instance = instance(Capacity::Learned);
    report_first_as_slow(&instance).await;
    assert!(instance.effective_slots(place_at(&instance, "e0").key) < 6.0);
    instance.register_endpoint(registration(0, 2));
    report_first_as_slow(&instance).await;
    let slots = instance.effective_slots(place_at(&instance, "e0").key);
    assert!((7.9..8.1).contains(&slots), "{slots}");
}

/// Sends a run that ends without an answer after a while, and returns what the instance has observed
/// of the endpoint's pace.
async fn observed_without_answer(after: Duration) -> Sum {
    let instance = instance(Capacity::Learned);
    let work = Work { request: Content::of(Some("club"), "GET", "", "/a/", b""), parts: Vec::new().into() };
    for _ in 0..5 {
        let mut run = place_at(&instance, "e1");
        run.mark_sent(work.clone());
        tokio::time::sleep(Duration::from_millis(15)).await;
        run.record_first_byte();
        run.record_outcome(RunOutcome::Good);
    }
    let mut run = place_at(&instance, "e0");
    run.mark_sent(work);
    tokio::time::sleep(after).await;
    run.record_outcome(RunOutcome::Broken);
    let start = start_hash(&registration(0, 1));
    let found = instance.own_paces(64).into_iter().find(|report| report.start == start);
    found.map(|report| report.observations.pace).unwrap_or_default()
}

/// A run of an endpoint that is many times slower is given up before its answer begins. Without
/// these runs, the slowest endpoint would be the only one whose pace is not learned.
#[tokio::test]
async fn run_without_answer_shows_a_slow_endpoint() {
    let pace = observed_without_answer(Duration::from_millis(400)).await;
    assert!(pace.mean() > 0.5, "{pace:?}");
}

/// An answer that breaks off at once shows a fault and not a pace.
#[tokio::test]
async fn run_that_breaks_off_shows_no_pace() {
    assert_eq!(observed_without_answer(Duration::ZERO).await, Sum::default());
}

pub fn long_job(own_tokens: u32, session: u64) -> Job<'static> {
    Job { own_tokens, session, output_tokens: 1_000, ..prompt_job(None, own_tokens) }
}

/// Eight prompts of 40,000 tokens and short outputs: two fit into an engine's memory. A third
/// would have the engine interrupt a run and read its prompt again.
#[tokio::test]
async fn engines_without_memory_are_chosen_last() {
    let instance = instance(Capacity::Learned);
    let mut runs: Vec<Run> = Vec::new();
    for session in 0..12 {
        runs.push(instance.place(&long_job(40_000, session)).unwrap());
        let on = |id: &str| runs.iter().filter(|run| run.endpoint.id == id).count();
        assert!(runs.iter().all(|run| on(&run.endpoint.id) <= 2), "{session}");
    }
    let beyond = instance.place(&long_job(40_000, 12));
    assert!(beyond.is_some(), "an engine without memory should be used rather than none");
}

/// Memory is free again once a run has ended.
#[tokio::test]
async fn ended_runs_free_memory() {
    let instance = instance(Capacity::Learned);
    for session in 0..50 {
        let run = instance.place(&long_job(90_000, session)).unwrap();
        let second = instance.place(&long_job(90_000, session)).unwrap();
        assert_ne!(run.key, second.key);
    }
}

/// Responses to a request with a prompt of so many tokens.
async fn response_to(capacity: Capacity, prompt_tokens: u64) -> caller::Response {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let contents = StoreContents {
        catalog: Some(catalog_of_engines()),
        endpoints: vec![endpoint("e0", server.address)],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |settings| settings.policies.capacity = capacity).await;
    let response = caller::call(site.front(), "GET", "/a/x", &format!("x-tokens: {prompt_tokens},10\r\n"), "").await;
    let was_refused = response.status == 503;
    assert_eq!(server.requests().iter().any(|request| request.contains("/a/x")), !was_refused);
    response
}

/// No engine can ever run it, so that waiting or coming back is of no use.
#[tokio::test]
async fn prompt_longer_than_any_engines_memory_is_refused_for_good() {
    let response = response_to(Capacity::Learned, MEMORY_TOKENS).await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_none());
    assert!(response.body.contains("longer than any engine can hold"), "{response:?}");
}

#[tokio::test]
async fn longest_prompt_that_fits_is_served() {
    assert_eq!(response_to(Capacity::Learned, MEMORY_TOKENS - 1).await.status, 200);
}

#[tokio::test]
async fn long_prompt_is_served_with_declared_capacity() {
    assert_eq!(response_to(Capacity::Declared, MEMORY_TOKENS).await.status, 200);
}

/// Sends requests through an instance while another one receives its datagrams, until a datagram of
/// paces arrives or `max` have been awaited. Returns the first bytes of the datagrams, and the largest
/// size of those of paces.
async fn datagrams(capacity: Capacity, max: usize) -> (Vec<u8>, usize) {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let site = Site::start_with(
        StoreContents {
            catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
            endpoints: vec![endpoint("e0", server.address), endpoint("e1", server.address)],
            ..StoreContents::default()
        },
        |settings| settings.policies.capacity = capacity,
    )
    .await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let status = || Status { time_to_next: Duration::from_mins(1), ..Status::default() };
    site.relay.dispatcher().update_peer("other", socket.local_addr().unwrap(), status());
    let (mut tags, mut largest, mut buffer) = (Vec::new(), 0, vec![0; 1 << 14]);
    for _ in 0..max {
        assert_eq!(caller::call(site.front(), "GET", "/a/x", "", "").await.status, 200);
        let Ok(received) = timeout(Duration::from_secs(1), socket.recv(&mut buffer)).await else { continue };
        let length = received.unwrap();
        tags.push(buffer[0]);
        if buffer[0] == PACES_TAG {
            largest = largest.max(length);
            break;
        }
    }
    (tags, largest)
}

/// Instances of earlier builds cannot decode paces, so they must not get any without the setting.
#[tokio::test]
async fn paces_are_not_sent_with_declared_capacity() {
    let (tags, _) = datagrams(Capacity::Declared, 10).await;
    assert!(tags.len() >= 8 && tags.iter().all(|tag| *tag < PACES_TAG), "{tags:?}");
}

/// While endpoints count alike, paces follow one in three messages, drawn at random. Of ten messages
/// none has paces in one play of sixty, so that more of them are awaited.
#[tokio::test]
async fn paces_are_sent_with_learned_capacity() {
    let (tags, largest) = datagrams(Capacity::Learned, 60).await;
    assert!(tags.contains(&PACES_TAG), "{tags:?}");
    assert!(largest < 100, "{largest}");
}
