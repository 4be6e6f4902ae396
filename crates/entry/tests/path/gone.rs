//! Callers that hang up, and callers that read slowly.

use standin::engine::{self, End};

use crate::site::{CLUB, Plan, Site};

const KEY: (&str, &str) = ("idempotency-key", "season-7");
const CONTENT: &str = "season summary";

fn slow() -> Plan {
    let engine = engine::Options { per_token_ms: 20, ..engine::Options::default() };
    Plan { engine, ..Plan::default() }
}

// The caller hangs up in the middle of its answer. The run is cancelled at the
// engine, its slot is freed, and nothing is billed.
#[tokio::test]
async fn hang_up_cancels_the_run() {
    let site = Site::open(slow()).await;
    let mut stream = site.client(0).stream(CLUB, &[], CONTENT).await;
    assert!(stream.more().await);
    drop(stream);
    site.until(|site| site.runs()[0].end.is_some()).await;
    assert_eq!(site.runs()[0].end, Some(End::Cancelled));
    site.until(|site| site.nodes[0].entry.in_flight() == 0).await;
    assert!(site.bills().is_empty());
}

// The caller hangs up while it waits for the first token. The run is cancelled
// before the engine has produced a token.
#[tokio::test]
async fn hang_up_before_the_first_frame_cancels_the_run() {
    let engine = engine::Options { first_token_ms: 600_000, ..engine::Options::default() };
    let site = Site::open(Plan { engine, ..Plan::default() }).await;
    let client = site.client(0);
    let call = tokio::spawn(async move { client.stream(CLUB, &[], CONTENT).await });
    site.until(|site| !site.runs().is_empty()).await;
    call.abort();
    site.until(|site| site.runs()[0].end.is_some()).await;
    assert_eq!((site.runs()[0].end, site.runs()[0].tokens), (Some(End::Cancelled), 0));
}

// One of two callers with the same key hangs up. The other still receives its
// complete answer.
#[tokio::test]
async fn hang_up_leaves_joined_callers_their_answer() {
    let site = Site::open(slow()).await;
    let mut first = site.client(0).stream(CLUB, &[KEY], CONTENT).await;
    assert!(first.more().await);
    let joined = site.client(0).stream(CLUB, &[KEY], CONTENT).await;
    drop(first);
    let told = joined.told().await;
    assert!(told.done && told.error.is_none(), "{told:?}");
    assert_eq!(site.runs().len(), 1);
}

// The caller of a non-idempotent request hangs up. The request runs to its end, is
// billed, and its outcome can be queried.
#[tokio::test]
async fn hang_up_does_not_cut_a_non_idempotent_run() {
    let site = Site::open(slow()).await;
    let headers = [KEY, ("arbutuslug-idempotent", "false")];
    let mut stream = site.client(0).stream(CLUB, &headers, CONTENT).await;
    assert!(stream.more().await);
    drop(stream);
    assert_eq!(site.bills_when(1).await.len(), 1);
    let told = site.client(0).get("/v1/requests/season-7", CLUB).await;
    assert_eq!(told.json()["outcome"], "answered");
    assert_eq!(site.runs()[0].end, Some(End::Completed));
}

// A caller does not read for a while. The engine's frames wait in bounded memory
// and the engine is read no faster than the caller. When the caller reads, its
// answer is complete.
#[tokio::test]
async fn slow_reader_gets_its_whole_answer() {
    let site = Site::open(Plan::default()).await;
    let stream = site.client(0).stream(CLUB, &[], CONTENT).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let told = stream.told().await;
    assert!(told.done && told.error.is_none(), "{told:?}");
}
