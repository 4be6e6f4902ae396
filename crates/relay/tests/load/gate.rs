//! What callers notice of admission control beside their shares.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use relay::{
    admission::{Entry, Gate, Permit, Refused, Report, Supply},
    catalog::Kind,
    settings::Admission,
};
use route::{
    admission::demand::{Class, Summary},
    relay::content::Content,
};
use tokio::{
    net::UdpSocket,
    task::JoinHandle,
    time::{sleep, timeout, timeout_at},
};

use crate::{
    caller,
    fleet::{Fleet, Flow, INSTANCES},
    site::{Site, StoreContents, catalog, route},
    slots::Server,
};

/// Without the setting, an overload has to be treated as before: nothing is measured, nothing is
/// told to other instances, and full endpoints decide.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn without_the_setting_endpoints_decide() {
    let fleet = Fleet::start(Admission::Unordered).await;
    assert!(fleet.sites.iter().all(|site| site.relay.dispatcher().gate.is_none()));
    let large = Flow { team: "large", prefix: "/usual/", instances: (0..INSTANCES).collect(), load: |_| 2.5 };
    let small = Flow { team: "small", load: |_| 0.1, ..large.clone() };
    let report = fleet.play(&[large, small], Duration::from_secs(3)).await;
    report.print("without the setting");
    assert!(report.rejections > 0, "full endpoints reject requests");
}

/// Time within which a request that is given up stops waiting.
const MAX_CANCEL_TIME: Duration = Duration::from_millis(500);

/// A request of half a second to a service with one slot.
fn entry(number: u64) -> Entry<'static> {
    Entry {
        service: "logbook",
        team: "large",
        rank: 1,
        route: "usual",
        content: Content { team: 1, work: number },
        left: Duration::from_mins(1),
        target_left: Duration::from_secs(40),
        target_time: Duration::from_secs(40),
        model: None,
        first_byte_ms: 500.0,
        prompt_ms: 0.0,
        is_whole: true,
        is_resumption: false,
    }
}

fn supply() -> Supply {
    Supply { slots: 1.0, engines: 1.0 }
}

async fn enter(gate: &Arc<Gate>, number: u64) -> Result<Permit, Refused> {
    gate.enter(&entry(number), supply).await
}

/// Waits until the service is above its capacity.
async fn overload(gate: &Arc<Gate>) -> Vec<JoinHandle<Result<Permit, Refused>>> {
    let mut calls = Vec::new();
    for number in 0..10 {
        let gate = Arc::clone(gate);
        calls.push(tokio::spawn(async move { enter(&gate, number).await }));
        sleep(Duration::from_millis(30)).await;
    }
    calls
}

/// Requests whose callers disconnect while they wait must leave the queue at once. Otherwise those
/// behind them would wait for runs that nobody wants.
#[tokio::test]
async fn requests_of_callers_that_disconnect_stop_waiting() {
    let gate = Gate::new(1);
    let calls = overload(&gate).await;
    assert!(gate.pressure("logbook") > 1.0, "{}", gate.pressure("logbook"));
    let waiting = gate.waiting("logbook");
    assert!(waiting > 0, "some requests wait");
    for call in &calls {
        call.abort();
    }
    let cancelled = Instant::now();
    while gate.waiting("logbook") > 0 {
        assert!(cancelled.elapsed() < MAX_CANCEL_TIME, "{} requests wait", gate.waiting("logbook"));
        sleep(Duration::from_millis(1)).await;
    }
}

/// A waiting request gets its turn when the bucket has been refilled, without another arrival.
#[tokio::test]
async fn waiting_requests_get_their_turns() {
    let gate = Gate::new(1);
    let calls = overload(&gate).await;
    let mut served = 0;
    for call in calls {
        if call.await.unwrap().is_ok() {
            served += 1;
        }
    }
    assert!(served >= 3, "{served} of 10 requests were let pass");
    assert_eq!(gate.waiting("logbook"), 0);
}

/// Another instance's demands count until they expire. An instance that is lost must not hold
/// capacity for longer.
#[tokio::test]
async fn demands_of_a_silent_instance_expire() {
    let gate = Gate::new(2);
    drop(enter(&gate, 0).await);
    let own = gate.pressure("logbook");
    let class = Class { team: 7, rank: 0 };
    let summary = Summary { classes: vec![(class, 3.0)], ..Summary::default() };
    let service = relay::dispatcher::fleet::short_hash("logbook");
    gate.record_report(9, Report { service, summary, run_times: Vec::new() }, Duration::from_millis(200));
    sleep(Duration::from_millis(40)).await;
    assert!(gate.pressure("logbook") > 3.0, "{}", gate.pressure("logbook"));
    sleep(Duration::from_millis(300)).await;
    assert!(gate.pressure("logbook") <= own, "{} after {own}", gate.pressure("logbook"));
}

/// Engines order the runs of all instances by priority. Above the capacity, a team within its share
/// has to go before one above it, whatever their ranks; below it, ranks decide as before.
#[tokio::test]
async fn teams_above_their_share_get_a_lower_priority() {
    let gate = Gate::new(1);
    let calm = enter(&gate, 0).await.unwrap();
    assert_eq!(calm.priority(), None);
    drop(calm);
    let calls = overload(&gate).await;
    let small = Entry { team: "small", rank: 3, ..entry(100) };
    let small = gate.enter(&small, supply).await.unwrap();
    assert_eq!(small.priority(), Some(3));
    let mut priorities = Vec::new();
    for call in calls {
        priorities.extend(call.await.unwrap().ok().and_then(|permit| permit.priority()));
    }
    assert!(priorities.contains(&6), "{priorities:?}");
}

/// A long prompt that takes most of its target time can hardly be served in time while others wait.
/// It may be late, but must not be refused as long as it can meet its deadline.
#[tokio::test]
async fn long_request_is_not_refused_because_of_its_length() {
    let gate = Gate::new(1);
    let calls = overload(&gate).await;
    assert!(gate.waiting("logbook") > 0, "some requests wait");
    let long = Entry { route: "long", first_byte_ms: 15_000.0, ..entry(100) };
    let result = timeout(Duration::from_millis(100), gate.enter(&long, supply)).await;
    assert!(!matches!(result, Ok(Err(_))), "{result:?}");
    for call in calls {
        call.abort();
    }
}

/// Returns the kinds of datagrams that an overloaded instance sends to another one.
async fn kinds_of_datagrams(admission: Admission) -> HashSet<u8> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let server = Server::start().await;
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![server.registration("e0")],
        ..StoreContents::default()
    };
    let seed = socket.local_addr().unwrap();
    let site = Site::start_with(contents, |settings| {
        settings.seeds = vec![seed];
        settings.policies.admission = admission;
    })
    .await;
    site.relay.dispatcher().discover_peer("other", seed);
    for _ in 0..30 {
        tokio::spawn(caller::call(site.front(), "GET", "/a/1", "X-Deadline: 500\r\n", ""));
    }
    let mut kinds = HashSet::new();
    let (mut buffer, until) = ([0; 4096], Instant::now() + Duration::from_secs(1));
    while let Ok(received) = timeout_at(until.into(), socket.recv_from(&mut buffer)).await {
        received.unwrap();
        kinds.insert(buffer[0]);
    }
    kinds
}

/// First byte of the oldest kind of datagram that is sent only with a policy.
const FIRST_OPTIONAL: u8 = 14;

/// Kind of the datagrams that tell demands.
const DEMANDS: u8 = 15;

/// Instances of earlier builds cannot decode demands, so they may only be told with the setting.
#[tokio::test]
async fn demands_are_told_with_the_setting_only() {
    let without = kinds_of_datagrams(Admission::Unordered).await;
    assert!(!without.is_empty() && without.iter().all(|kind| *kind < FIRST_OPTIONAL), "{without:?}");
    let with = kinds_of_datagrams(Admission::Fair).await;
    assert!(with.contains(&DEMANDS), "{with:?}");
}
