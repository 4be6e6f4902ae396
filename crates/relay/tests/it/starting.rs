//! Requests that reach an instance right after its start.

use std::{sync::Arc, time::Duration};

use relay::{catalog::Kind, source::Source};

use crate::{
    caller,
    server::{Act, Server, whole},
    site::{Kept, Store, catalog, dialect, endpoint, route, settings},
};

/// All instances were killed at once and are back; their callers have waited
/// and come within milliseconds, before an instance has read the catalog. All
/// were sent away and came back as a herd; now they wait those milliseconds.
async fn check(slow: Duration, status: u16) {
    let server = Server::open(vec![Act::Write(whole("ok"))]).await;
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
        endpoints: vec![endpoint("e0", server.address)],
        slow,
        ..Kept::default()
    };
    let source: Arc<dyn Source> = Arc::new(Store::open(kept));
    let relay = relay::spawn(settings(), dialect(), source).await.expect("free ports can be bound");
    let front = relay.desk().settings.listeners.front;
    let got = caller::call(front, "POST", "/a/x", "", "sheet").await;
    assert_eq!(got.status, status, "{got:?}");
    assert_eq!(got.header("retry-after").is_some(), status == 503, "{got:?}");
}

#[tokio::test]
async fn request_waits_for_a_start_under_way() {
    check(Duration::from_millis(200), 200).await;
}

/// The store is away: the instance may not know anything for seconds, and the
/// caller hears at once when to come back.
#[tokio::test]
async fn request_does_not_wait_for_a_lost_store() {
    check(Duration::from_secs(1), 503).await;
}
