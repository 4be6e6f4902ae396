//! Requests during an outage of the platform.

use std::sync::atomic::Ordering;

use standin::{engine, objects::Switch};

use crate::{
    site::{CLUB_KEY, Site, SiteConfig},
    whole::answer_of,
};

const NON_IDEMPOTENT: (&str, &str) = ("arbutuslug-idempotent", "false");

/// Opens three instances, each of which serves a request before the outage begins.
async fn site_in_outage(contract: &'static str) -> Site {
    let site = Site::open(SiteConfig { instances: 3, contract, ..SiteConfig::default() }).await;
    for node in 0..3 {
        site.client(node).chat(CLUB_KEY, &[], "before").await.content();
    }
    site.wait_for_bills(3).await;
    site.objects.switch(Switch::Down);
    let outage_detected =
        |site: &Site| site.nodes[0].links.config.platform_age().is_some_and(|age| age.as_millis() > 700);
    site.wait_until(outage_detected).await;
    site
}

// An idempotent request arrives during an outage. Its bill is held by two instances
// in different failure domains, and recorded when the platform is back.
#[tokio::test]
async fn outage_serves_idempotent_requests_and_bills_them_later() {
    let site = site_in_outage("").await;
    site.client(0).chat(CLUB_KEY, &[], "during").await.content();
    assert_eq!(site.bills().len(), 3, "not recorded yet");
    site.objects.switch(Switch::Up);
    assert_eq!(site.wait_for_bills(4).await.len(), 4);
}

// Without a durable claim, a request that must not be repeated does not run.
#[tokio::test]
async fn outage_refuses_non_idempotent_requests_as_not_run() {
    let site = site_in_outage("").await;
    let runs = site.runs().len();
    // The refusal must come at once: if it came only at the deadline of one hour, this
    // test would hang.
    let reply = site.client(0).chat(CLUB_KEY, &[NON_IDEMPOTENT, ("arbutuslug-deadline-ms", "3600000")], "during").await;
    assert_eq!(reply.problem(), (503, "platform-down".into(), "no".into()));
    assert_eq!(site.runs().len(), runs);
}

// A contract may require that work is refused rather than billed late.
#[tokio::test]
async fn outage_refuses_where_the_contract_says_so() {
    let site = site_in_outage("outage: refuse").await;
    let reply = site.client(0).chat(CLUB_KEY, &[], "during").await;
    assert_eq!(reply.problem(), (503, "platform-down".into(), "no".into()));
    site.objects.switch(Switch::Up);
    let up = |site: &Site| site.nodes[0].links.config.platform_age().is_some_and(|age| age.as_millis() < 300);
    site.wait_until(up).await;
    site.client(0).chat(CLUB_KEY, &[], "after").await.content();
}

// An instance without a recent response from the platform or peers could miss a
// withdrawal, so it accepts no new work.
#[tokio::test]
async fn instance_with_stale_configuration_refuses_new_work() {
    let site = Site::open(SiteConfig::default()).await;
    site.objects.switch(Switch::Down);
    site.wait_until(|site| !site.nodes[0].links.config.fresh()).await;
    let reply = site.client(0).chat(CLUB_KEY, &[], "late").await;
    assert_eq!(reply.problem(), (503, "stale-configuration".into(), "no".into()));
    assert!(site.runs().is_empty());
}

// A request that must not run twice is answered in full, but neither the platform
// nor a second instance takes its bill, so the end of the answer is held back. Once
// the bill is stored, a repeat at either instance receives the answer that was
// billed.
async fn check_late_bill(node: usize) {
    let engine = engine::Options { per_token_ms: 20, ..engine::Options::default() };
    let site = Site::open(SiteConfig { instances: 2, engine, ..SiteConfig::default() }).await;
    let headers = [("idempotency-key", "season-7"), NON_IDEMPOTENT, ("arbutuslug-deadline-ms", "3000")];
    let mut stream = site.client(0).stream(CLUB_KEY, &headers, "season summary").await;
    while stream.received_so_far().text.is_empty() {
        assert!(stream.read_frame().await, "an answer");
    }
    let version = stream.headers["arbutuslug-version"].to_str().expect("text").to_owned();
    site.objects.switch(Switch::Down);
    site.nodes.iter().for_each(|node| node.link_faults.drop_journal_calls.store(true, Ordering::Release));
    let answer = stream.collect_events().await;
    assert_eq!((answer.error, answer.done), (Some(("bill-not-held".into(), "yes".into())), false));

    site.objects.switch(Switch::Up);
    site.nodes.iter().for_each(|node| node.link_faults.drop_journal_calls.store(false, Ordering::Release));
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
    let repeat = site.client(node).stream(CLUB_KEY, &headers, "season summary").await.collect_events().await;
    assert_eq!((repeat.text, repeat.done), (answer_of(&version, "season summary"), true));
    assert_eq!((site.runs().len(), site.bills().len()), (1, 1));
}

#[tokio::test]
async fn answer_billed_late_is_sent_to_its_repeat() {
    check_late_bill(0).await;
}

#[tokio::test]
async fn answer_billed_late_is_sent_to_its_repeat_elsewhere() {
    check_late_bill(1).await;
}
