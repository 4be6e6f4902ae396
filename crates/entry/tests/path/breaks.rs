//! Faults of engines and services at each stage of a run.

use http::Method;
use standin::{
    engine::{self, Fault, Switch},
    fault::Odds,
    service,
};

use crate::{
    client::Headers,
    site::{CHEAP, CLUB_KEY, EXPENSIVE, Site, SiteConfig},
    whole::answer_of,
};

const CONTENT: &str = "launch sheet of the day";
/// Headers of a request that must not be repeated.
const NON_IDEMPOTENT: Headers<'_> = &[("arbutuslug-idempotent", "false")];

/// Returns the index of the engine that takes `CONTENT` first; the choice depends
/// on its prefix.
async fn first_engine(site: &Site) -> usize {
    let reply = site.client(0).chat(CLUB_KEY, &[], CONTENT).await;
    reply.content();
    site.engines.iter().position(|engine| !engine.records().is_empty()).expect("one engine ran it")
}

/// Numbers of runs and bills of a request under a fault.
struct Counts {
    runs: usize,
    bills: usize,
}

/// Applies faults to the engine that takes the run, and expects a complete answer.
async fn check_recovered(faults: &[Switch], headers: Headers<'_>, runs: usize) {
    let site = Site::open(SiteConfig::default()).await;
    let first = first_engine(&site).await;
    for fault in faults {
        site.engines[first].switch(fault.clone());
    }
    let stream = site.client(0).stream(CLUB_KEY, headers, CONTENT).await;
    let version = stream.headers["arbutuslug-version"].to_str().expect("text").to_owned();
    let answer = stream.collect_events().await;
    assert_eq!(answer.text, answer_of(&version, CONTENT), "{answer:?}");
    assert!(answer.done && answer.error.is_none(), "{answer:?}");
    let counts = Counts { runs: site.runs().len() - 1, bills: site.wait_for_bills(2).await.len() - 1 };
    assert_eq!((counts.runs, counts.bills), (runs, 1), "runs and bills");
}

macro_rules! recovered {
    ($($name:ident: [$($fault:expr),*] $headers:expr => $runs:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_recovered(&[$($fault),*], $headers, $runs).await; })*
    };
}

const CUT: Switch = Switch::BreakStreams { after: 2, odds: Odds::next(1) };
const SILENT: Switch = Switch::Stall { after: 2, odds: Odds::next(1) };
const FORGET: Switch = Switch::Forget(Odds::ALWAYS);

// The engine's stream breaks or is disturbed. The caller receives one answer
// without gaps or repeated text.
recovered! {
    cut_stream_is_resumed_on_its_engine: [CUT] &[] => 1;
    cut_stream_of_a_non_idempotent_request_is_resumed: [CUT] NON_IDEMPOTENT => 1;
    silent_stream_is_resumed_on_its_engine: [SILENT] &[] => 1;
    cut_before_the_first_frame_is_resumed:
        [Switch::BreakStreams { after: 0, odds: Odds::next(1) }] &[] => 1;
    forgotten_stream_is_restarted_elsewhere_without_repeated_text: [CUT, FORGET] &[] => 2;
    full_engine_is_skipped: [Switch::Refuse(Odds::ALWAYS)] &[] => 1;
    lost_dispatch_of_an_idempotent_request_is_retried: [Switch::LoseAnswers(Odds::ALWAYS)] &[] => 2;
    repeated_and_foreign_frames_do_not_reach_the_caller:
        [Switch::Duplicate(Odds::ALWAYS), Switch::Foreign(Odds::ALWAYS)] &[] => 1;
}

/// Applies faults to every engine, and expects a problem document or an error
/// event.
async fn check_failed(faults: &[Switch], headers: Headers<'_>, expected: (&str, &str), runs: usize) {
    let site = Site::open(SiteConfig::default()).await;
    for fault in faults {
        site.switch(fault);
    }
    let mut stream = site.client(0).stream(CLUB_KEY, headers, CONTENT).await;
    let (kind, ran) = if stream.status == 200 {
        let answer = stream.collect_events().await;
        assert!(!answer.done && answer.finish.is_none(), "a partial answer looks complete: {answer:?}");
        answer.error.expect("an error event")
    } else {
        let json: serde_json::Value = serde_json::from_str(&stream.read_to_end().await).expect("a problem");
        let kind = json["type"].as_str().expect("type").rsplit(':').next().expect("a kind").to_owned();
        if json["ran"] == "no" {
            assert!(json["retry_after_ms"].is_u64(), "not run, but without `retry_after_ms`: {json}");
        }
        (kind, json["ran"].as_str().expect("ran").to_owned())
    };
    assert_eq!((kind.as_str(), ran.as_str()), expected);
    assert_eq!(site.runs().len(), runs, "dispatches that an engine took");
    assert!(site.bills().is_empty(), "billed without a whole answer");
}

macro_rules! failed {
    ($($name:ident: [$($fault:expr),*] $headers:expr => $expected:expr, $runs:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_failed(&[$($fault),*], $headers, $expected, $runs).await; })*
    };
}

const REFUSE_ALWAYS: Switch = Switch::Refuse(Odds::ALWAYS);
const LOSE_ANSWERS_ALWAYS: Switch = Switch::LoseAnswers(Odds::ALWAYS);
const CUT_ALWAYS: Switch = Switch::BreakStreams { after: 2, odds: Odds::ALWAYS };

// The fault persists. The caller receives its final response at once, which states
// correctly whether the request ran. A partial answer never looks complete.
failed! {
    refusals_everywhere_are_not_run: [REFUSE_ALWAYS] &[] => ("no-endpoint", "no"), 0;
    refused_non_idempotent_request_is_not_run: [REFUSE_ALWAYS] NON_IDEMPOTENT => ("no-endpoint", "no"), 0;
    lost_dispatch_of_a_non_idempotent_request_is_unknown: [LOSE_ANSWERS_ALWAYS] NON_IDEMPOTENT => ("outcome-unknown", "unknown"), 1;
    cut_and_forgotten_non_idempotent_stream_has_run: [CUT_ALWAYS, FORGET] NON_IDEMPOTENT => ("broken-stream", "yes"), 1;
}

// The stream breaks, its engine no longer holds it, and the only other engine runs
// a bad version. That engine's answer does not continue the part that the caller
// has, so the stream ends with an error instead of a mix of both answers.
#[tokio::test]
async fn diverging_restart_ends_with_an_error_event() {
    let site = Site::open(SiteConfig::default()).await;
    let first = first_engine(&site).await;
    let version = site.runs()[0].version.clone();
    site.engines[first].switch(CUT);
    site.engines[first].switch(FORGET);
    site.engines[1 - first].switch(Switch::Bad { version, fault: Fault::Answers, odds: Odds::ALWAYS });
    let answer = site.client(0).stream(CLUB_KEY, &[], CONTENT).await.collect_events().await;
    assert_eq!(answer.error, Some(("broken-stream".into(), "yes".into())));
    assert!(!answer.done && answer.finish.is_none(), "{answer:?}");
    assert_eq!(site.wait_for_bills(1).await.len(), 1, "only the first request's bill");
}

// The caller asks for an answer without streaming, and the engine's stream breaks
// for good. The caller receives a problem and no part of the answer.
#[tokio::test]
async fn broken_whole_answer_is_a_problem() {
    let site = Site::open(SiteConfig::default()).await;
    site.switch(&CUT_ALWAYS);
    site.switch(&FORGET);
    let reply = site.client(0).chat(CLUB_KEY, NON_IDEMPOTENT, CONTENT).await;
    assert_eq!(reply.problem(), (502, "broken-stream".into(), "yes".into()));
}

// The engine takes longer than the caller's deadline. The final response comes at
// the deadline, and the engine's slot is freed.
#[tokio::test]
async fn deadline_ends_the_run() {
    let engine = engine::Options { first_token_ms: 60_000, ..engine::Options::default() };
    let site = Site::open(SiteConfig { engine, ..SiteConfig::default() }).await;
    let reply = site.client(0).chat(CLUB_KEY, &[("arbutuslug-deadline-ms", "150")], CONTENT).await;
    let (status, kind, ran) = reply.problem();
    assert_eq!((status, kind.as_str(), ran.as_str()), (504, "deadline", "unknown"));
    site.wait_until(|site| site.runs().iter().all(|run| run.end.is_some())).await;
}

async fn check_service(fault: service::Switch, path: &str, expected: (&str, &str), effects: usize) {
    let site = Site::open(SiteConfig::default()).await;
    site.service.switch(fault);
    let headers = [("authorization", "Bearer club-key"), ("idempotency-key", "deposit-1")];
    let client = site.client(0);
    let reply = client.call(Method::POST, path, &headers, "{}").await;
    let (_, kind, ran) = reply.problem();
    assert_eq!((kind.as_str(), ran.as_str()), expected, "{}", reply.text);
    site.service.switch(service::Switch::Up);
    if ran == "unknown" {
        let again = client.call(Method::POST, path, &headers, "{}").await;
        assert_eq!(again.problem().2, "unknown", "{}", again.text);
    }
    assert_eq!(site.service.effects().len(), effects, "number of effects");
}

macro_rules! services {
    ($($name:ident: $fault:expr => $expected:expr, $effects:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_service($fault, "/v1/services/logbook/launches", $expected, $effects).await; })*
    };
}

// The answer to a call that must not be repeated is lost. The caller is told that the
// call may have run, and a repeat with the same key does not run it again.
services! {
    service_answer_lost_after_the_effect_is_unknown:
        service::Switch::BreakAfter(Odds::ALWAYS) => ("outcome-unknown", "unknown"), 1;
    service_answer_lost_before_the_effect_is_unknown:
        service::Switch::BreakBefore(Odds::ALWAYS) => ("outcome-unknown", "unknown"), 0;
    service_refusal_is_not_run: service::Switch::Refuse(Odds::ALWAYS) => ("no-endpoint", "no"), 0;
}

// A refused call has not run, so the same key may run later, once.
#[tokio::test]
async fn refused_call_may_run_under_its_key_later() {
    let site = Site::open(SiteConfig::default()).await;
    site.service.switch(service::Switch::Refuse(Odds::ALWAYS));
    let headers = [("authorization", "Bearer club-key"), ("idempotency-key", "deposit-1")];
    let client = site.client(0);
    let call = || client.call(Method::POST, "/v1/services/logbook/launches", &headers, "{}");
    call().await.problem();
    site.service.switch(service::Switch::Up);
    assert_eq!(call().await.status.as_u16() / 100, 2);
    assert_eq!(site.service.effects().len(), 1);
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

// A version answers every request with an error. Its endpoints are healthy, so only
// the version guard can stop it, and the caller is told "not run".
#[tokio::test]
async fn failing_version_is_not_run_and_not_billed() {
    let site = Site::open(SiteConfig::default()).await;
    for version in [CHEAP, EXPENSIVE] {
        let fault = Fault::Errors;
        site.switch(&Switch::Bad { version: version.into(), fault, odds: Odds::ALWAYS });
    }
    let reply = site.client(0).chat(CLUB_KEY, &[], CONTENT).await;
    assert_eq!(reply.problem(), (503, "no-endpoint".into(), "no".into()));
    assert!(site.bills().is_empty());
}

// A new version fails on every endpoint. New sessions assigned to it are answered
// by its predecessor, before the version guard has seen enough failures to stop it.
#[tokio::test]
async fn failing_version_under_roll_out_falls_back_to_its_predecessor() {
    let site = site_under_rollout().await;
    site.switch(&Switch::Bad { version: NEW.into(), fault: Fault::Errors, odds: Odds::ALWAYS });
    for n in 0..5 {
        let content = format!("{CONTENT} {n}");
        let reply = site.client(0).chat(CLUB_KEY, &[], &content).await;
        assert_eq!(reply.content(), answer_of(CHEAP, &content));
        assert_eq!(reply.header("arbutuslug-session-moved"), "", "a new session has not moved");
    }
}

/// The version under roll-out.
const NEW: &str = "summary@2";

/// Opens a site that assigns all new sessions to `NEW`.
async fn site_under_rollout() -> Site {
    let site = Site::open(SiteConfig::default()).await;
    let two = "    - { version: \"2\", tier: 0, price: { input: \"1\", output: \"2\", currency: EUR } }\n";
    let nine = "    - { version: \"9\"";
    let rollout = "---\nkind: rollout\nname: r\nspec: { version: summary@2, predecessor: \"1\", steps: [1.0], state: exposing }\n";
    let file =
        site.initial_objects("").replacen(nine, &format!("{two}{nine}"), 1).replace("[\"1\", \"9\"]", "[\"1\", \"2\"]");
    let file = file.replace("[summary@1, summary@9]", "[summary@1, summary@2, summary@9]");
    site.apply(&format!("{file}{rollout}")).await;
    site
}

// One of two engines is lost while new sessions are assigned to a new version. They
// receive complete answers of that version from the other engine: a lost engine is
// not a fault of the version, so no session falls back to the predecessor.
#[tokio::test]
async fn endpoint_lost_at_expose() {
    let site = site_under_rollout().await;
    site.engines[0].switch(Switch::LoseAnswers(Odds::ALWAYS));
    for n in 0..4 {
        let content = format!("{CONTENT} {n}");
        assert_eq!(site.client(0).chat(CLUB_KEY, &[], &content).await.content(), answer_of(NEW, &content));
    }
    assert!(!site.engines[0].records().is_empty(), "none was sent to the lost engine");
}

// All engines are full while new sessions are assigned to a new version. Callers
// are told "not run" and when to retry. Once there is capacity, sessions get the
// new version as before: a full engine is no evidence about the version.
#[tokio::test]
async fn pool_full_at_expose() {
    let site = site_under_rollout().await;
    site.switch(&Switch::Refuse(Odds::ALWAYS));
    for _ in 0..4 {
        let reply = site.client(0).chat(CLUB_KEY, &[], CONTENT).await;
        assert_eq!(reply.problem(), (503, "no-endpoint".into(), "no".into()));
        assert!(reply.json()["retry_after_ms"].is_u64(), "{}", reply.text);
    }
    site.switch(&Switch::Up);
    for n in 0..4 {
        let content = format!("{CONTENT} {n}");
        assert_eq!(site.client(0).chat(CLUB_KEY, &[], &content).await.content(), answer_of(NEW, &content));
    }
}
