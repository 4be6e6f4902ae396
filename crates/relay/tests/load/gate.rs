//! What callers notice of admission control beside their shares.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use relay::{
    admission::{Entry, Gate, Permit, Refused, Report, Supply},
    settings::Admission,
};
use route::{
    admission::demand::{Class, Summary},
    relay::content::Content,
};
use tokio::{task::JoinHandle, time::sleep};

use crate::fleet::{Fleet, Flow, INSTANCES};

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

/// A service with one slot whose only team asks for ten times its capacity.
async fn enter(gate: &Arc<Gate>, number: u64) -> Result<Permit, Refused> {
    let entry = Entry {
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
    };
    gate.enter(&entry, || Supply { slots: 1.0, engines: 1.0 }).await
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
