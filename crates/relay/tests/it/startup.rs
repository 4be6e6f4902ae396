//! Requests that reach an instance right after its start.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use relay::{catalog::Kind, source::Source};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    caller,
    server::{Action, Server, ok_response},
    site::{Site, Store, StoreContents, catalog, dialect, endpoint, route, settings},
};

/// All instances crash at once and restart. Their waiting callers retry within milliseconds,
/// before an instance has read the catalog. Requests wait until it has; otherwise all callers
/// would be refused and retry in a burst.
async fn check_first_request(delay: Duration, status: u16) {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
        endpoints: vec![endpoint("e0", server.address)],
        delay,
        ..StoreContents::default()
    };
    let source: Arc<dyn Source> = Arc::new(Store::new(contents));
    let relay = relay::spawn(settings(), dialect(), source).await.expect("free ports can be bound");
    let front = relay.dispatcher().settings.listeners.front;
    let response = caller::call(front, "POST", "/a/x", "", "sheet").await;
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(response.header("retry-after").is_some(), status == 503, "{response:?}");
}

#[tokio::test]
async fn request_waits_for_a_start_in_progress() {
    check_first_request(Duration::from_millis(200), 200).await;
}

/// The store is unavailable, so the instance may know no catalog for seconds. The caller is
/// refused at once with the time to retry.
#[tokio::test]
async fn request_does_not_wait_for_an_unavailable_store() {
    check_first_request(Duration::from_secs(1), 503).await;
}

/// Starts an instance that serves, and another one with a seed address: that of the first, or
/// one that never answers. Each has its own store.
async fn start_with_seed(is_seed_up: bool) -> (Site, Site) {
    let contents = || StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 9).into())],
        ..StoreContents::default()
    };
    let seed = Site::start_with(contents(), |settings| settings.instance = "seed".into()).await;
    let silent = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address =
        if is_seed_up { seed.relay.dispatcher().settings.listeners.news } else { silent.local_addr().unwrap() };
    let started = Site::start_with(contents(), |settings| settings.seeds = vec![address]).await;
    (seed, started)
}

/// Hundreds of instances start together. Each gets the names of the others from a seed; reading
/// their registrations from the store would take six calls per start.
#[tokio::test]
async fn other_instances_are_learned_from_a_seed() {
    let (_seed, started) = start_with_seed(true).await;
    while started.relay.dispatcher().live_instance_count() < 2 {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(started.store.instance_reads.load(Ordering::Relaxed), 0);
}

/// Where no seed answers, the other instances are looked up in the store.
#[tokio::test]
async fn other_instances_are_read_from_the_store_if_no_seed_answers() {
    let (_seed, started) = start_with_seed(false).await;
    while started.store.instance_reads.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(started.relay.dispatcher().live_instance_count(), 1);
}
