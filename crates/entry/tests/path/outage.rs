//! Requests during an outage of the platform.

use std::sync::atomic::Ordering;

use standin::{engine, objects::Switch};

use crate::{
    site::{CLUB, Plan, Site},
    whole::answer_of,
};

const NEVER: (&str, &str) = ("arbutuslug-idempotent", "false");

/// Opens three instances, each of which serves a request before the outage begins.
async fn down(contract: &'static str) -> Site {
    let site = Site::open(Plan { instances: 3, contract, ..Plan::default() }).await;
    for node in 0..3 {
        site.client(node).chat(CLUB, &[], "before").await.content();
    }
    site.bills_when(3).await;
    site.objects.switch(Switch::Down);
    let told = |site: &Site| site.nodes[0].links.config.platform_age().is_some_and(|age| age.as_millis() > 700);
    site.until(told).await;
    site
}

// An idempotent request arrives during an outage. Its bill is held by two instances
// in different failure domains, and recorded when the platform is back.
#[tokio::test]
async fn outage_serves_idempotent_requests_and_bills_them_later() {
    let site = down("").await;
    site.client(0).chat(CLUB, &[], "during").await.content();
    assert_eq!(site.bills().len(), 3, "not recorded yet");
    site.objects.switch(Switch::Up);
    assert_eq!(site.bills_when(4).await.len(), 4);
}

// Without a durable claim, a request that must not be repeated does not run.
#[tokio::test]
async fn outage_refuses_non_idempotent_requests_as_not_run() {
    let site = down("").await;
    let runs = site.runs().len();
    // The refusal must come at once: if it came only at the deadline of one hour, this
    // test would hang.
    let reply = site.client(0).chat(CLUB, &[NEVER, ("arbutuslug-deadline-ms", "3600000")], "during").await;
    assert_eq!(reply.problem(), (503, "platform-down".into(), "no".into()));
    assert_eq!(site.runs().len(), runs);
}

// A contract may require that work is refused rather than billed late.
#[tokio::test]
async fn outage_refuses_where_the_contract_says_so() {
    let site = down("outage: refuse").await;
    let reply = site.client(0).chat(CLUB, &[], "during").await;
    assert_eq!(reply.problem(), (503, "platform-down".into(), "no".into()));
    site.objects.switch(Switch::Up);
    let up = |site: &Site| site.nodes[0].links.config.platform_age().is_some_and(|age| age.as_millis() < 300);
    site.until(up).await;
    site.client(0).chat(CLUB, &[], "after").await.content();
}

// An instance without a recent response from the platform or peers could miss a
// withdrawal, so it accepts no new work.
#[tokio::test]
async fn stale_configuration_takes_no_new_work() {
    let site = Site::open(Plan::default()).await;
    site.objects.switch(Switch::Down);
    site.until(|site| !site.nodes[0].links.config.fresh()).await;
    let reply = site.client(0).chat(CLUB, &[], "late").await;
    assert_eq!(reply.problem(), (503, "stale-configuration".into(), "no".into()));
    assert!(site.runs().is_empty());
}

// A request that must not run twice is answered in full, but neither the platform
// nor a second instance takes its bill, so the end of the answer is held back. Once
// the bill is stored, a repeat at either instance receives the answer that was
// billed.
async fn check_late_bill(node: usize) {
    let engine = engine::Options { per_token_ms: 20, ..engine::Options::default() };
    let site = Site::open(Plan { instances: 2, engine, ..Plan::default() }).await;
    let headers = [("idempotency-key", "season-7"), NEVER, ("arbutuslug-deadline-ms", "3000")];
    let mut stream = site.client(0).stream(CLUB, &headers, "season summary").await;
    while stream.so_far().text.is_empty() {
        assert!(stream.more().await, "an answer");
    }
    let version = stream.headers["arbutuslug-version"].to_str().expect("text").to_owned();
    site.objects.switch(Switch::Down);
    site.nodes.iter().for_each(|node| node.links_fault.deaf.store(true, Ordering::Release));
    let told = stream.told().await;
    assert_eq!((told.error, told.done), (Some(("bill-not-held".into(), "yes".into())), false));

    site.objects.switch(Switch::Up);
    site.nodes.iter().for_each(|node| node.links_fault.deaf.store(false, Ordering::Release));
    assert_eq!(site.bills_when(1).await.len(), 1);
    let repeat = site.client(node).stream(CLUB, &headers, "season summary").await.told().await;
    assert_eq!((repeat.text, repeat.done), (answer_of(&version, "season summary"), true));
    assert_eq!((site.runs().len(), site.bills().len()), (1, 1));
}

#[tokio::test]
async fn answer_whose_bill_is_held_late_is_given_to_its_repeat() {
    check_late_bill(0).await;
}

#[tokio::test]
async fn answer_whose_bill_is_held_late_is_given_to_its_repeat_elsewhere() {
    check_late_bill(1).await;
}
