//! Callers that hang up, and callers that read slowly.

use standin::engine::{self, End};

use crate::site::{CLUB_KEY, Site, SiteConfig};

const KEY: (&str, &str) = ("idempotency-key", "season-7");
const CONTENT: &str = "season summary";

fn slow() -> SiteConfig {
    let engine = engine::Options { per_token_ms: 20, ..engine::Options::default() };
    SiteConfig { engine, ..SiteConfig::default() }
}

// The caller hangs up in the middle of its answer. The run is cancelled at the
// engine, its slot is freed, and nothing is billed.
#[tokio::test]
async fn hang_up_cancels_the_run() {
    let site = Site::open(slow()).await;
    let mut stream = site.client(0).stream(CLUB_KEY, &[], CONTENT).await;
    assert!(stream.read_frame().await);
    drop(stream);
    site.wait_until(|site| site.runs()[0].end.is_some()).await;
    assert_eq!(site.runs()[0].end, Some(End::Cancelled));
    site.wait_until(|site| site.nodes[0].entry.in_flight() == 0).await;
    assert!(site.bills().is_empty());
}

// The caller hangs up while it waits for the first token. The run is cancelled
// before the engine has produced a token.
#[tokio::test]
async fn hang_up_before_the_first_frame_cancels_the_run() {
    let engine = engine::Options { first_token_ms: 600_000, ..engine::Options::default() };
    let site = Site::open(SiteConfig { engine, ..SiteConfig::default() }).await;
    let client = site.client(0);
    let call = tokio::spawn(async move { client.stream(CLUB_KEY, &[], CONTENT).await });
    site.wait_until(|site| !site.runs().is_empty()).await;
    call.abort();
    site.wait_until(|site| site.runs()[0].end.is_some()).await;
    assert_eq!((site.runs()[0].end, site.runs()[0].tokens), (Some(End::Cancelled), 0));
}

// One of two callers with the same key hangs up. The other still receives its
// complete answer.
#[tokio::test]
async fn hang_up_does_not_affect_joined_callers() {
    let site = Site::open(slow()).await;
    let mut first = site.client(0).stream(CLUB_KEY, &[KEY], CONTENT).await;
    assert!(first.read_frame().await);
    let joined = site.client(0).stream(CLUB_KEY, &[KEY], CONTENT).await;
    drop(first);
    let answer = joined.collect_events().await;
    assert!(answer.done && answer.error.is_none(), "{answer:?}");
    assert_eq!(site.runs().len(), 1);
}

// The caller of a non-idempotent request hangs up. The request runs to its end, is
// billed, and its outcome can be queried.
#[tokio::test]
async fn hang_up_does_not_cut_a_non_idempotent_run() {
    let site = Site::open(slow()).await;
    let headers = [KEY, ("arbutuslug-idempotent", "false")];
    let mut stream = site.client(0).stream(CLUB_KEY, &headers, CONTENT).await;
    assert!(stream.read_frame().await);
    drop(stream);
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
    let reply = site.client(0).get("/v1/requests/season-7", CLUB_KEY).await;
    assert_eq!(reply.json()["outcome"], "answered");
    assert_eq!(site.runs()[0].end, Some(End::Completed));
}

// A caller does not read for a while. The engine's frames wait in bounded memory
// and the engine is read no faster than the caller. When the caller reads, its
// answer is complete.
#[tokio::test]
async fn slow_reader_gets_its_whole_answer() {
    let site = Site::open(SiteConfig::default()).await;
    let stream = site.client(0).stream(CLUB_KEY, &[], CONTENT).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let answer = stream.collect_events().await;
    assert!(answer.done && answer.error.is_none(), "{answer:?}");
}
