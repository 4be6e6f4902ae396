//! Observations and statements that say little about an endpoint, and what they must not cause.

use std::{collections::HashMap, sync::Arc, time::Duration};

use relay::{
    Settings,
    catalog::Kind,
    dispatcher::{
        Dispatcher,
        fleet::{Job, Load, Run, RunOutcome, start_hash},
        peers::Status,
    },
    settings::{Capacity, Placement, Policies},
};
use route::relay::content::{Content, Work};

use crate::{
    learned_capacity::{
        ENDPOINTS, instance, long_job, news_address, place_at, registration, report_first_as_slow, reporter,
    },
    notices::prompt_job,
    site::{catalog, dialect, route, settings},
};

/// One caller states the largest possible output. Engines with a few runs of other instances must
/// still have room for the next requests, or all go to the one engine without any.
#[tokio::test]
async fn stated_maximum_output_leaves_room_for_other_requests() {
    let instance = instance(Capacity::Learned);
    let load = Load { runs: 3.0, backlog_ms: 0.0 };
    let loads: HashMap<u32, Load> = (1..ENDPOINTS).map(|number| (start_hash(&registration(number, 1)), load)).collect();
    let status = Status { time_to_next: Duration::from_mins(1), loads, ..Status::default() };
    instance.update_peer(&reporter(0), news_address(0), status);
    for session in 0..40 {
        drop(instance.place(&long_job(1_000, session)).unwrap());
    }
    drop(instance.place(&Job { output_tokens: u32::MAX, ..long_job(1_000, 40) }).unwrap());
    let runs: Vec<Run> = (0..12).map(|session| instance.place(&long_job(1_000, session)).unwrap()).collect();
    assert!(runs.iter().any(|run| run.endpoint.id != "e0"), "no engine with runs has room");
}

/// The engine that caches a part has no memory left. Another one must copy the part from there and
/// not process it again.
#[tokio::test]
async fn holder_without_memory_is_the_source_of_the_copy() {
    let instance = instance(Capacity::Learned);
    let holder = Arc::clone(&instance.place(&prompt_job(Some(7), 10)).unwrap().endpoint);
    let mut full = Vec::new();
    loop {
        let run = instance.place(&prompt_job(None, 99_995)).unwrap();
        if run.endpoint.id == holder.id {
            full.push(run);
            break;
        }
        full.push(run);
    }
    full.retain(|run| run.endpoint.id == holder.id);
    let run = instance.place(&prompt_job(Some(7), 10)).unwrap();
    assert_ne!(run.endpoint.id, holder.id);
    assert_eq!(run.source, Some(holder.address));
}

fn work() -> Work {
    Work { request: Content::of(Some("club"), "GET", "", "/a/", b""), parts: Vec::new().into() }
}

/// One endpoint is slow for all instances, so that paces are in effect. Another one is slow only
/// from this instance, by a bad path: the others' observations do not show it, and this instance
/// must avoid it by its own.
#[tokio::test]
async fn bad_path_counts_beside_a_slow_endpoint() {
    let instance = instance(Capacity::Learned);
    report_first_as_slow(&instance).await;
    // An endpoint with more runs than the others would not be chosen.
    let mut runs: Vec<Vec<Run>> = (1..ENDPOINTS).map(|_| Vec::new()).collect();
    for _ in 0..4 {
        for (number, runs) in (1..ENDPOINTS).zip(&mut runs) {
            runs.push(place_at(&instance, &format!("e{number}")));
        }
    }
    runs.iter_mut().flatten().for_each(|run| run.mark_sent(work()));
    tokio::time::sleep(Duration::from_millis(15)).await;
    runs[1..].iter_mut().flatten().for_each(Run::record_first_byte);
    tokio::time::sleep(Duration::from_millis(135)).await;
    runs[0].iter_mut().for_each(Run::record_first_byte);
    drop(runs);
    instance.assess_paces().await;
    let at_bad_path = (0..300).filter(|_| instance.place(&prompt_job(None, 10)).unwrap().endpoint.id == "e1").count();
    assert!(at_bad_path < 10, "{at_bad_path} of 300");
}

/// One of six endpoints accepts requests and never answers. It must not get its full share of
/// requests until their deadlines pass.
#[tokio::test]
async fn hanging_endpoint_loses_its_turns() {
    let policies = Policies { placement: Placement::Balanced, ..Policies::default() };
    let instance = Dispatcher::new(Settings { policies, ..settings() }, dialect());
    instance.install(catalog(1, vec![route("/a/", Kind::Idempotent)]));
    for number in 0..ENDPOINTS {
        instance.register_endpoint(registration(number, 1));
    }
    let mut hanging = Vec::new();
    for _ in 0..300 {
        let mut run = instance.place(&prompt_job(None, 10)).unwrap();
        run.mark_sent(work());
        tokio::time::sleep(Duration::from_millis(3)).await;
        if run.endpoint.id == "e0" {
            hanging.push(run);
        } else {
            run.record_first_byte();
            run.record_outcome(RunOutcome::Good);
        }
    }
    assert!(hanging.len() <= 16, "{} of 300", hanging.len());
}

/// A run that was silent, so that the request was sent again, answers after all. It took one time
/// and must count once.
#[tokio::test]
async fn run_that_answers_after_a_silence_counts_once() {
    let instance = instance(Capacity::Learned);
    let mut run = place_at(&instance, "e0");
    run.mark_sent(work());
    tokio::time::sleep(Duration::from_millis(200)).await;
    run.record_outcome(RunOutcome::Broken);
    run.record_return(work());
    run.record_first_byte();
    let count: f64 = instance.own_paces(64).iter().map(|report| report.observations.pace.count).sum();
    assert!((0.5..1.5).contains(&count), "{count}");
}
