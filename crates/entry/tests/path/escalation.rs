//! Faults that occur in a cascade while its cheap answer runs.

use std::time::Duration;

use standin::{
    engine::{self, Switch},
    fault::Odds,
    objects,
};
use tokio::time::Instant;

use crate::{
    cascades::{cascade_config, versions_run},
    client::Stream,
    site::{CHEAP, CLUB_KEY, EXPENSIVE, Site, SiteConfig},
    whole::answer_of,
};

/// Maximum number of tries until a request starts on the cheap version.
const MAX_TRIES: usize = 40;

/// A request during whose run on the cheap version a fault was injected.
struct Interrupted {
    site: Site,
    content: String,
    stream: Stream,
}

/// Injects a fault while a request runs on the cheap version. Nothing has been
/// learned about either version, so the first choice may be any of them and several
/// tries may be needed.
async fn interrupt_cheap_run(cheap: f64, fault: impl Fn(&Site)) -> Interrupted {
    for n in 0..MAX_TRIES {
        let engine = engine::Options { first_token_ms: 500, ..engine::Options::default() };
        let site = Site::open(SiteConfig { instances: 2, engine, ..cascade_config(cheap) }).await;
        let content = format!("season summary {n}");
        let (client, asked) = (site.client(0), content.clone());
        let call = tokio::spawn(async move { client.stream(CLUB_KEY, &[], &asked).await });
        site.wait_until(|site| !site.runs().is_empty()).await;
        if versions_run(&site) != [CHEAP] {
            continue;
        }
        fault(&site);
        if site.runs()[0].end.is_none() {
            return Interrupted { content, stream: call.await.expect("no panic"), site };
        }
    }
    panic!("no request started on the cheap version");
}

/// Checks that the caller receives the complete answer of one version, billed once.
async fn check_whole(interrupted: Interrupted, version: &str) -> Site {
    let Interrupted { site, content, stream } = interrupted;
    assert_eq!(stream.status, 200);
    let answer = stream.collect_events().await;
    assert_eq!((answer.text.as_str(), answer.done), (answer_of(version, &content).as_str(), true), "{answer:?}");
    site.objects.switch(objects::Switch::Up);
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
    site
}

fn platform_down(site: &Site) {
    site.objects.switch(objects::Switch::Down);
}

fn leave(site: &Site) {
    let entry = site.nodes[0].entry.clone();
    tokio::spawn(async move { entry.drain(Instant::now() + Duration::from_secs(20)).await });
}

// The platform goes down before the cheap answer is rated. The answer passes and is
// delivered: rating does not need the platform, and two instances hold the bill
// until the platform is back.
#[tokio::test]
async fn platform_down_at_rate() {
    check_whole(interrupt_cheap_run(1.0, platform_down).await, CHEAP).await;
}

// The platform goes down and the cheap answer fails its rating. The expensive
// version runs during the outage.
#[tokio::test]
async fn platform_down_at_escalate() {
    check_whole(interrupt_cheap_run(0.0, platform_down).await, EXPENSIVE).await;
}

// The instance is told to leave before the cheap answer is rated. The request is in
// flight, so it is still rated and answered.
#[tokio::test]
async fn instance_leaving_at_rate() {
    check_whole(interrupt_cheap_run(1.0, leave).await, CHEAP).await;
}

// The instance is told to leave and the cheap answer fails its rating. The run of
// the expensive version belongs to the accepted request and is not new work.
#[tokio::test]
async fn instance_leaving_at_escalate() {
    check_whole(interrupt_cheap_run(0.0, leave).await, EXPENSIVE).await;
}

// An engine accepts the expensive run and does not answer. The caller receives the
// expensive version's complete answer from the other engine: an escalation is
// dispatched again like any idempotent run.
#[tokio::test]
async fn endpoint_lost_at_escalate() {
    let lose = |site: &Site| site.engines[0].switch(Switch::LoseAnswers(Odds::ALWAYS));
    for _ in 0..MAX_TRIES {
        let site = check_whole(interrupt_cheap_run(0.0, lose).await, EXPENSIVE).await;
        if site.engines[0].records().iter().any(|run| run.version == EXPENSIVE) {
            return;
        }
    }
    panic!("no expensive run went to the lost engine");
}

// The platform's list marks an engine as leaving before the cheap answer is rated.
// The expensive run goes to the other engine, because an endpoint is chosen only
// when it is needed.
#[tokio::test]
async fn endpoint_leaving_at_escalate() {
    let leaving = |site: &Site| {
        site.nodes[0].leaving.send_replace(vec!["e0".parse().expect("a name")]);
    };
    let site = check_whole(interrupt_cheap_run(0.0, leaving).await, EXPENSIVE).await;
    assert!(site.engines[0].records().iter().all(|run| run.version != EXPENSIVE));
}

// Every engine is full when the cheap answer fails its rating. The caller receives
// a final response: the request has run without a complete answer, no part of the
// failed answer is shown, and nothing is billed.
#[tokio::test]
async fn pool_full_at_escalate() {
    let full = |site: &Site| site.switch(&Switch::Refuse(Odds::ALWAYS));
    let Interrupted { site, mut stream, .. } = interrupt_cheap_run(0.0, full).await;
    let json: serde_json::Value = serde_json::from_str(&stream.read_to_end().await).expect("a problem");
    assert_eq!((stream.status.as_u16() / 100, json["ran"].as_str()), (5, Some("yes")), "{json}");
    assert_eq!(versions_run(&site), [CHEAP]);
    assert!(site.bills().is_empty());
}
