//! A version under roll-out: a few callers meet it, and it is left if bad.

use std::time::Duration;

use relay::{catalog::Kind, rollout::Rollout};
use route::relay::canary::Stage;

use crate::{
    caller,
    server::{Act, Server, head, whole},
    site::{Kept, SERVICE, Site, catalog, endpoint, route},
};

const OVER: Duration = Duration::from_mins(1);

/// A relay in front of one endpoint of each version, and an order to move.
async fn open(new: Act) -> (Server, Server, Site) {
    let old = Server::open(vec![Act::Slowly(vec![String::new(), whole("ok")])]).await;
    let new = Server::open(vec![new]).await;
    let target = relay::source::Endpoint { version: "v2".into(), ..endpoint("e1", new.address) };
    let rollout = Rollout { service: SERVICE.into(), target: "v2".into(), over: OVER, stage: None, revision: 1 };
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
        endpoints: vec![endpoint("e0", old.address), target],
        rollouts: vec![rollout],
        ..Kept::default()
    };
    // A wide trial, so that a few requests suffice.
    let site = Site::open_with(kept, |settings| settings.exposure = 1.0).await;
    (old, new, site)
}

/// Sends requests of many sessions, a few at a time.
async fn send(site: &Site, requests: usize) {
    for batch in 0..requests / 5 {
        let calls = (0..5).map(|n| {
            let session = format!("X-Session: s{batch}-{n}\r\n");
            let at = site.front();
            async move { caller::call(at, "POST", "/a/x", &session, "sheet").await }
        });
        futures::future::join_all(calls).await;
    }
}

/// Sends until a stage has been reported; the test's own time limit bounds it.
async fn until(site: &Site, stage: Stage) {
    while !site.store.reported.lock().unwrap().contains(&stage) {
        send(site, 20).await;
    }
}

macro_rules! bad_versions {
    ($($(#[$doc:meta])* $name:ident: $act:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (_old, new, site) = open($act).await;
            until(&site, Stage::Reverted).await;
            let met = new.seen().len();
            send(&site, 40).await;
            assert_eq!(new.seen().len(), met, "nobody meets it any more");
        }
    )*};
}

bad_versions! {
    // Part of the callers see failures that the old version does not give.
    failing_version_is_left: Act::Write(head(500, 0));
    // It answers everything, but several times more slowly than the old one.
    // Its answers are good, so only their time speaks against it.
    slow_version_is_left: Act::Slowly([vec![String::new(); 12], vec![whole("ok")]].concat());
}

#[tokio::test]
async fn good_version_stays_on_trial() {
    let (old, new, site) = open(Act::Slowly(vec![String::new(), whole("ok")])).await;
    send(&site, 150).await;
    assert!(!site.store.reported.lock().unwrap().contains(&Stage::Reverted));
    let (old, new) = (old.seen().len(), new.seen().len());
    assert!(new > 20 && new < old, "{new} of {}", new + old);
}
