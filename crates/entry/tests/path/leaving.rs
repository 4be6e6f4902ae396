//! Instances that leave under load, and endpoints that leave.

use std::time::Duration;

use standin::engine;
use tokio::time::Instant;

use crate::{
    site::{CLUB_KEY, Site, SiteConfig},
    whole::answer_of,
};

// Instance 0 is told to leave while it streams answers. Other instances remove it
// from the address lists at once. Callers that still have its address are served
// for as long as they may keep it; then new work is refused with other addresses.
// Every open stream ends complete and is billed.
#[tokio::test]
async fn drain_finishes_every_request() {
    // The times are far apart so that a busy machine does not change the order: the
    // keep time ends well after the first steps, and the streams end well after the
    // keep time.
    let engine = engine::Options { per_token_ms: 120, ..engine::Options::default() };
    let site = Site::open(SiteConfig { instances: 2, engine, keep_ms: 1_500, ..SiteConfig::default() }).await;
    let mut streams = Vec::new();
    for n in 0..12 {
        let content = format!("long summary {n}");
        streams.push((content.clone(), site.client(0).stream(CLUB_KEY, &[], &content).await));
    }
    let entry = site.nodes[0].entry.clone();
    let drain = tokio::spawn(async move { entry.drain(Instant::now() + Duration::from_secs(20)).await });
    let gone = |site: &Site| site.nodes[1].links.peer.members().borrow().live().count() == 1;
    site.wait_until(gone).await;
    let listed = site.client(1).get("/v1/addresses", CLUB_KEY).await.json();
    assert_eq!(listed["addresses"].as_array().map(Vec::len), Some(1), "{listed}");
    let kept = site.client(0).chat(CLUB_KEY, &[], "sent within the keep time").await;
    kept.content();
    for (content, stream) in streams {
        let version = stream.headers["arbutuslug-version"].to_str().expect("text").to_owned();
        let answer = stream.collect_events().await;
        assert_eq!(answer.text, answer_of(&version, &content));
        assert!(answer.done, "{answer:?}");
    }
    assert!(drain.await.expect("no panic"), "drained before the deadline");
    assert_eq!(site.wait_for_bills(13).await.len(), 13);
}

// While it finishes its work, a leaving instance refuses new work as not run and
// names the other instances.
#[tokio::test]
async fn leaving_instance_refuses_new_work_with_other_addresses() {
    let engine = engine::Options { per_token_ms: 150, ..engine::Options::default() };
    let site = Site::open(SiteConfig { instances: 2, engine, keep_ms: 20, ..SiteConfig::default() }).await;
    let last = site.client(0).stream(CLUB_KEY, &[], "long summary").await;
    let entry = site.nodes[0].entry.clone();
    let drain = tokio::spawn(async move { entry.drain(Instant::now() + Duration::from_secs(20)).await });
    site.wait_until(|site| site.nodes[0].entry.closed()).await;
    let refused = site.client(0).chat(CLUB_KEY, &[], "too late").await;
    assert_eq!(refused.problem(), (503, "leaving".into(), "no".into()));
    let addresses = refused.json()["addresses"].clone();
    assert_eq!(addresses[0]["address"], site.nodes[1].entry.address().to_string(), "{addresses}");
    assert!(last.collect_events().await.done);
    assert!(drain.await.expect("no panic"));
}

// The daemon has read that an endpoint is leaving. From then on the endpoint gets
// no new work, although its pool still lists it.
#[tokio::test]
async fn leaving_endpoint_gets_no_new_work() {
    let site = Site::open(SiteConfig::default()).await;
    site.nodes[0].leaving.send_replace(vec!["e0".parse().expect("a name")]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = site.engines[0].records().len();
    for n in 0..20 {
        site.client(0).chat(CLUB_KEY, &[], &format!("summary {n}")).await.content();
    }
    assert_eq!(site.engines[0].records().len(), before);
    assert_eq!(site.engines[1].records().len(), 20);
}

// The caller's first call runs at instance 0 when it repeats its key at instance 1,
// which takes no more work. If it were told "not run", the caller would send the
// request again with another key and have it run twice. The key's home instance has
// the run on record, so the refusal does not say "not run".
#[tokio::test]
async fn refusal_of_a_repeat_accounts_for_the_first_try() {
    let engine = engine::Options { per_token_ms: 60, ..engine::Options::default() };
    let site = Site::open(SiteConfig { instances: 2, engine, keep_ms: 20, ..SiteConfig::default() }).await;
    let key = [("idempotency-key", "sheet-7")];
    let entry = site.nodes[1].entry.clone();
    let last = site.client(1).stream(CLUB_KEY, &[], "keeps instance 1 busy").await;
    let first = site.client(0).stream(CLUB_KEY, &key, "long summary").await;
    let drain = tokio::spawn(async move { entry.drain(Instant::now() + Duration::from_secs(20)).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let refused = site.client(1).chat(CLUB_KEY, &key, "long summary").await;
    assert_eq!(refused.problem(), (503, "leaving".into(), "unknown".into()));
    assert!(first.collect_events().await.done);
    assert!(last.collect_events().await.done);
    assert!(drain.await.expect("no panic"), "drained before the deadline");
}
