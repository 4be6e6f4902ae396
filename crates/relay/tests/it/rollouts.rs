//! A roll-out of a new version: few callers reach it, and it is reverted if it is bad.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use relay::{
    catalog::Kind,
    desk::{
        fleet::short_hash,
        peers::Word,
        trials::{Report, Tallies},
    },
    rollout::Rollout,
};
use route::relay::canary::{Lateness, Stage, Tally};

use crate::{
    caller,
    server::{Act, Server, head, whole},
    site::{Kept, SERVICE, Site, catalog, endpoint, route},
    track::knowing,
};

const OVER: Duration = Duration::from_mins(1);

fn order() -> Rollout {
    Rollout { service: SERVICE.into(), target: "v2".into(), over: OVER, stage: None, revision: 1 }
}

/// Starts a relay in front of one endpoint of each version, with an order to roll the new one
/// out.
async fn open(new: Act) -> (Server, Server, Site) {
    open_with(new, vec![order()]).await
}

async fn open_with(new: Act, rollouts: Vec<Rollout>) -> (Server, Server, Site) {
    let old = Server::open(vec![Act::Slowly(vec![String::new(), whole("ok")])]).await;
    let new = Server::open(vec![new]).await;
    let target = relay::source::Endpoint { version: "v2".into(), ..endpoint("e1", new.address) };
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
        endpoints: vec![endpoint("e0", old.address), target],
        rollouts,
        ..Kept::default()
    };
    // A large share of exposed requests, so that a few requests suffice.
    let site = Site::open_with(kept, |settings| settings.exposure = 1.0).await;
    (old, new, site)
}

/// Sends requests of new sessions, five at a time.
async fn send(site: &Site, requests: usize) {
    static BEGUN: AtomicUsize = AtomicUsize::new(1_000_000);
    send_from(site, BEGUN.fetch_add(requests, Ordering::Relaxed), requests).await;
}

/// Sends requests of the sessions numbered from `first` on, five at a time.
async fn send_from(site: &Site, first: usize, requests: usize) {
    for batch in first..first + requests / 5 {
        let calls = (0..5).map(|n| {
            let session = format!("X-Session: s{batch}-{n}\r\n");
            let at = site.front();
            async move { caller::call(at, "POST", "/a/x", &session, "sheet").await }
        });
        futures::future::join_all(calls).await;
    }
}

/// Sends requests until a stage has been reported; the test's own timeout limits this.
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
    // Some callers receive failures that the old version does not produce.
    failing_version_is_left: Act::Write(head(500, 0));
    // It answers every request, but several times more slowly than the old version. The answers
    // are correct, so only their time shows that it is worse.
    slow_version_is_left: Act::Slowly([vec![String::new(); 12], vec![whole("ok")]].concat());
}

/// Sessions are in progress when the roll-out is ordered.
///
/// Callers notice when the version changes within a session, so these stay on the old version
/// for as long as they last; only sessions that begin later may reach the new one.
#[tokio::test]
async fn session_under_way_keeps_its_version() {
    let (_old, new, site) = open_with(Act::Slowly(vec![String::new(), whole("ok")]), Vec::new()).await;
    send_from(&site, 0, 60).await;
    site.store.change(|kept| kept.rollouts = vec![order()]);
    for _ in 0..30 {
        send_from(&site, 0, 60).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(new.seen().len(), 0, "those under way stay");
    while new.seen().is_empty() {
        send(&site, 60).await;
    }
}

#[tokio::test]
async fn good_version_stays_on_trial() {
    let (old, new, site) = open(Act::Slowly(vec![String::new(), whole("ok")])).await;
    while new.seen().len() <= 20 {
        send(&site, 30).await;
    }
    assert!(!site.store.reported.lock().unwrap().contains(&Stage::Reverted));
    let (old, new) = (old.seen().len(), new.seen().len());
    assert!(new < old, "{new} of {}", new + old);
}

/// In a large fleet each instance sees only two failures of a bad version, and by status updates
/// alone it took seconds until any instance knew of enough of them. The instances that watch the
/// store therefore receive reports every third of a second.
#[test]
fn evidence_of_many_instances_condemns_a_version() {
    let desk = knowing(1);
    desk.order(order());
    let order = desk.trial_reports().remove(0).order;
    let tally = |runs, bad| Tally { runs, bad, lateness: Lateness::default() };
    for number in 0..30_u16 {
        let name = format!("i{number}");
        desk.hear(&name, ([127, 0, 0, 1], 2_000 + number).into(), Word::default());
        let own = Tallies { new: tally(3, 2), old: tally(40, 1) };
        let report = Report { order, stage: Stage::Trial, elapsed: Duration::from_secs(3), own };
        desk.take_reports(short_hash(&name), vec![report]);
    }
    assert!(desk.advance_trials().iter().any(|(_, stage)| *stage == Stage::Reverted));
}
