//! Registrations of endpoints that another writer has made unreadable.

use std::time::Duration;

use relay::{catalog::Kind, desk::track::Change};

use crate::{
    caller,
    server::{Act, Server, whole},
    site::{Kept, Site, catalog, endpoint, route},
};

/// Another writer overwrites an endpoint's registration with something unreadable. By the old
/// registration, requests might go to an address where no server of the service listens any
/// more, so the endpoint has to be removed at once. This holds after an outage of the store too,
/// although endpoints that are missing from a listing are then kept for a while. The other
/// endpoint goes on serving, and instances that this one keeps synchronized are notified.
async fn check(outage: Option<Duration>) {
    let acts = || vec![Act::Write(whole("ok"))];
    let (first, second) = (Server::open(acts()).await, Server::open(acts()).await);
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", first.address), endpoint("e1", second.address)],
        ..Kept::default()
    };
    let site = Site::open_with(kept, |_| {}).await;
    let desk = site.relay.desk();
    let asked = desk.question();
    if let Some(outage) = outage {
        site.store.change(|kept| kept.refuses = true);
        tokio::time::sleep(outage).await;
    }
    site.store.change(|kept| {
        kept.endpoints.remove(0);
        kept.unreadable.push("e0".into());
        kept.refuses = false;
    });
    let left = async {
        while desk.enlisted() != ["e1"] {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    // Shorter than the time for which missing endpoints are kept after an outage.
    tokio::time::timeout(Duration::from_millis(1_900), left).await.expect("the odd endpoint is left at once");
    for _ in 0..10 {
        assert_eq!(caller::call(site.front(), "GET", "/a/x", "", "").await.status, 200);
    }
    assert!(first.seen().is_empty());
    let reply = desk.reply(asked, 60).expect("it knows enough");
    assert!(reply.changes.contains(&Change::Gone("e0".into())), "{reply:?}");
}

#[tokio::test]
async fn endpoint_that_turns_odd_is_left() {
    check(None).await;
}

#[tokio::test]
async fn endpoint_that_turned_odd_in_an_outage_is_left() {
    check(Some(Duration::from_millis(1_300))).await;
}
