//! An instance that cannot read a newer catalog which other instances already have.

use std::{sync::Arc, time::Duration};

use relay::{
    catalog::{Catalog, Kind, Route},
    clock,
    desk::{
        Desk,
        peers::{Phase, Word},
        track::Question,
    },
};
use route::relay::freshness::Proof;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    caller,
    server::{Act, Server, whole},
    site::{Kept, Site, catalog, endpoint, route},
    track::knowing,
};

/// Operators' limit on how long an instance may serve requests by a catalog after a newer one
/// has been confirmed.
const BOUND: Duration = Duration::from_secs(2);

/// Starts an endpoint and an instance whose store refuses every listing from now on.
async fn open() -> (Server, Site) {
    let server = Server::open(vec![Act::Write(whole("ok"))]).await;
    let kept =
        Kept { catalog: Some(routed(1, &["/p/"])), endpoints: vec![endpoint("e0", server.address)], ..Kept::default() };
    let site = Site::open_with(kept, |_| {}).await;
    site.store.change(|kept| kept.refuses = true);
    (server, site)
}

/// Returns a catalog whose routes take requests without a key.
fn routed(version: u64, prefixes: &[&str]) -> Catalog {
    let public = |prefix: &&str| Route { public: true, ..route(prefix, Kind::Idempotent) };
    catalog(version, prefixes.iter().map(public).collect())
}

/// Delivers a status update of another instance that has catalog `version`.
fn tell(desk: &Desk, version: u64) {
    let word = Word {
        run: 1,
        phase: Phase::Ready,
        in_touch: true,
        pause: Duration::from_millis(250),
        catalog: version,
        ..Word::default()
    };
    desk.hear("there", ([127, 0, 0, 7], 7).into(), word);
}

/// Sends requests until one has a status other than 200. Returns that response and the time
/// since the first request.
async fn first_refusal(site: &Site, path: &str) -> (caller::Got, Duration) {
    let begun = Instant::now();
    loop {
        tell(site.relay.desk(), 2);
        let got = caller::call(site.front(), "GET", path, "", "").await;
        if got.status != 200 {
            return (got, begun.elapsed());
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// A request without a key was sent to a service from which the operator had moved its route
/// seconds before. Another instance had announced the new catalog, and this one could not read
/// it; the age of the catalog was checked only for requests with a key, so it served by the old
/// one indefinitely.
#[tokio::test]
async fn known_to_be_replaced_the_old_catalog_serves_nobody_after_the_bound() {
    let (_server, site) = open().await;
    assert_eq!(caller::call(site.front(), "GET", "/p/x", "", "").await.status, 200);
    let refused = timeout(BOUND, first_refusal(&site, "/p/x")).await;
    let (refused, after) = refused.expect("no request is served by it after the bound");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(after > BOUND / 2, "refused after {after:?}, while the catalog may still be read in time");
    site.store.change(|kept| {
        kept.refuses = false;
        kept.catalog = Some(routed(2, &["/p/"]));
    });
    let served = async {
        while caller::call(site.front(), "GET", "/p/x", "", "").await.status != 200 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(5), served).await.expect("served again by the new one");
}

/// An operator has just added a route. An instance that had heard of the new catalog but not
/// read it answered 404, after which callers do not retry. It cannot know whether the route
/// exists, so it has to answer 503.
#[tokio::test]
async fn unknown_route_is_not_denied_by_a_catalog_known_to_be_replaced() {
    let (_server, site) = open().await;
    assert_eq!(caller::call(site.front(), "GET", "/q/x", "", "").await.status, 404);
    tell(site.relay.desk(), 2);
    let refused = caller::call(site.front(), "GET", "/q/x", "", "").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
}

/// The store is unavailable and no instance announces a newer catalog: the current one stays in
/// force, because operators cannot have confirmed another.
#[tokio::test]
async fn old_catalog_that_nobody_has_replaced_goes_on() {
    let (_server, site) = open().await;
    let desk = Arc::clone(site.relay.desk());
    let begun = clock::now();
    while clock::now() < begun + BOUND + BOUND / 2 {
        tell(&desk, 1);
        assert_eq!(caller::call(site.front(), "GET", "/p/x", "", "").await.status, 200);
        sleep(Duration::from_millis(50)).await;
    }
}

/// The store refuses one instance while it serves the others. The instance knew of the new
/// catalog and refused requests past the limit, though any other instance could have sent it a
/// copy.
#[tokio::test]
async fn newer_catalog_is_copied_from_an_instance_that_has_it() {
    let (_server, site) = open().await;
    let newer = Kept { catalog: Some(routed(2, &["/p/", "/q/"])), ..Kept::default() };
    let other = Site::open_with(newer, |settings| settings.instance = "there".into()).await;
    let word = Word { run: 1, phase: Phase::Ready, pause: BOUND, catalog: 2, ..Word::default() };
    let desk = site.relay.desk();
    desk.hear("there", other.relay.desk().settings.listeners.news, word);
    let copied = async {
        while desk.behind() || desk.catalog().is_none_or(|catalog| catalog.version < 2) {
            // Only an instance that another one keeps synchronized waits for status updates.
            keep_in_step(desk);
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(BOUND, copied).await.expect("copied within the bound");
    assert_eq!(caller::call(site.front(), "GET", "/q/x", "", "").await.status, 200);
}

/// Delivers the reply of another instance that watches the store, so that this one counts as
/// synchronized.
fn keep_in_step(desk: &Desk) {
    let watcher = knowing(2);
    watcher.renew(clock::now(), Proof::Read);
    let reply = watcher.reply(Question { revision: 10 }, 60).expect("it knows enough");
    desk.take_reply(clock::now(), reply);
}
