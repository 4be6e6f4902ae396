//! An instance that shuts down while callers still send requests.

use std::time::Duration;

use relay::catalog::Kind;

use crate::{
    caller,
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{Site, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// A caller with an outdated list of addresses sends a stream long after the instance began to
/// shut down, and the stream cannot end before the process does.
///
/// It would be cut off midway, so it is refused as not run, and the caller can send it to
/// another address at once. Short requests are served to the end.
#[tokio::test]
async fn late_stream_is_refused_and_short_request_served_during_shutdown() {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let brief = relay::catalog::Route { timeout: Duration::from_millis(300), ..route("/a/", Kind::Idempotent) };
    let site = Site::start(vec![route("/s/", RESUMABLE), brief], &[server.address]).await;
    let at = site.front();
    let leaving = tokio::spawn(site.relay.shutdown());
    let refused = loop {
        let response = caller::call(at, "POST", "/s/x", "", "prompt").await;
        if response.status == 503 {
            break response;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(refused.header("connection"), Some("close"));
    let short = caller::call(at, "GET", "/a/x", "", "").await;
    assert_eq!((short.status, short.header("connection")), (200, Some("close")), "{short:?}");
    leaving.abort();
}

/// A stream that began before the shutdown runs to its end.
#[tokio::test]
async fn stream_in_progress_completes_before_the_shutdown_ends() {
    let parts = [vec![stream_head(90)], (1..=30).map(event).collect(), vec![LAST_CHUNK.into()]].concat();
    let server = Server::start(vec![Action::WriteSlowly(parts)]).await;
    let site = Site::start(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let at = site.front();
    let caller = tokio::spawn(async move { caller::call(at, "POST", "/s/x", "", "prompt").await });
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.relay.shutdown().await;
    let response = caller.await.unwrap();
    assert!(response.complete && response.body.contains("d30"), "{response:?}");
}
