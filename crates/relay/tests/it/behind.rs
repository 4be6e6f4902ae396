//! An instance that cannot read a catalog of which others have told.

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

/// The operators' bound on the time from the confirmation of a catalog until
/// none older is served by.
const BOUND: Duration = Duration::from_secs(2);

/// An endpoint, and an instance whose store refuses to be read from now on.
async fn open() -> (Server, Site) {
    let server = Server::open(vec![Act::Write(whole("ok"))]).await;
    let kept =
        Kept { catalog: Some(routed(1, &["/p/"])), endpoints: vec![endpoint("e0", server.address)], ..Kept::default() };
    let site = Site::open_with(kept, |_| {}).await;
    site.store.change(|kept| kept.refuses = true);
    (server, site)
}

/// A catalog with routes that take requests without a key.
fn routed(version: u64, prefixes: &[&str]) -> Catalog {
    let public = |prefix: &&str| Route { public: true, ..route(prefix, Kind::Idempotent) };
    catalog(version, prefixes.iter().map(public).collect())
}

/// Another instance tells of its catalog.
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

/// Calls until an answer has another status than 200; returns it and the time
/// since the beginning.
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

/// A request without a key goes to a service from which the operator has moved
/// its route seconds ago. Another instance told of the new catalog, and this
/// one could not read it; the age of its catalog mattered to requests with a
/// key only, so that it went on by the old one for good.
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

/// A route has just been added. An instance that has heard of the new catalog
/// and not read it yet answered 404, upon which no caller comes back; whether
/// the route is there it cannot know.
#[tokio::test]
async fn unknown_route_is_not_denied_by_a_catalog_known_to_be_replaced() {
    let (_server, site) = open().await;
    assert_eq!(caller::call(site.front(), "GET", "/q/x", "", "").await.status, 404);
    tell(site.relay.desk(), 2);
    let refused = caller::call(site.front(), "GET", "/q/x", "", "").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
}

/// The store is away and nobody tells of a newer catalog: the one in force goes
/// on, since operators cannot have confirmed another.
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

/// The store turns an instance away while it serves the others. It knew of the new
/// catalog and refused its callers past the bound, though any other instance could
/// have given it a copy.
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
            // Only who is kept in step waits for others' word.
            keep_in_step(desk);
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(BOUND, copied).await.expect("copied within the bound");
    assert_eq!(caller::call(site.front(), "GET", "/q/x", "", "").await.status, 200);
}

/// Another instance answers a question of this one.
fn keep_in_step(desk: &Desk) {
    let watcher = knowing(2);
    watcher.renew(clock::now(), Proof::Read);
    let reply = watcher.reply(Question { revision: 10 }, 60).expect("it knows enough");
    desk.take_reply(clock::now(), reply);
}
