//! An instance that shuts down while callers still send requests.

use std::time::Duration;

use relay::catalog::Kind;

use crate::{
    caller,
    server::{Act, END, Server, event, stream_head, whole},
    site::{Site, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// A caller with an outdated list of addresses sends a stream long after the instance began to
/// shut down, and the stream cannot end before the process does.
///
/// It would be cut off midway, so it is refused as not run, and the caller can send it to
/// another address at once. Short requests are served to the end.
#[tokio::test]
async fn late_stream_is_refused_and_short_request_served() {
    let server = Server::open(vec![Act::Write(whole("ok"))]).await;
    let brief = relay::catalog::Route { timeout: Duration::from_millis(300), ..route("/a/", Kind::Idempotent) };
    let site = Site::open(vec![route("/s/", RESUMABLE), brief], &[server.address]).await;
    let at = site.front();
    let leaving = tokio::spawn(site.relay.shutdown());
    let refused = loop {
        let got = caller::call(at, "POST", "/s/x", "", "prompt").await;
        if got.status == 503 {
            break got;
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
async fn stream_under_way_ends_before_the_instance_does() {
    let parts = [vec![stream_head(90)], (1..=30).map(event).collect(), vec![END.into()]].concat();
    let server = Server::open(vec![Act::Slowly(parts)]).await;
    let site = Site::open(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let at = site.front();
    let caller = tokio::spawn(async move { caller::call(at, "POST", "/s/x", "", "prompt").await });
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.relay.shutdown().await;
    let got = caller.await.unwrap();
    assert!(got.complete && got.body.contains("d30"), "{got:?}");
}
