//! Registrations of endpoints that another writer has made unreadable.

use std::time::Duration;

use relay::{catalog::Kind, dispatcher::synchronization::Change};

use crate::{
    caller,
    server::{Action, Server, ok_response},
    site::{Site, StoreContents, catalog, endpoint, route},
};

/// Another writer overwrites an endpoint's registration with something unreadable. With the old
/// registration, requests might go to an address where no server of the service listens any
/// more, so the endpoint has to be removed at once. This holds after an outage of the store too,
/// although endpoints that are missing from a listing are then kept for a while. The other
/// endpoint goes on serving, and instances that this one keeps synchronized are notified.
async fn check_unreadable_registration(outage: Option<Duration>) {
    let actions = || vec![Action::Write(ok_response("ok"))];
    let (first, second) = (Server::start(actions()).await, Server::start(actions()).await);
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", first.address), endpoint("e1", second.address)],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |_| {}).await;
    let instance = site.relay.dispatcher();
    let asked = instance.question();
    if let Some(outage) = outage {
        site.store.change(|contents| contents.refuses = true);
        tokio::time::sleep(outage).await;
    }
    site.store.change(|contents| {
        contents.endpoints.remove(0);
        contents.unreadable.push("e0".into());
        contents.refuses = false;
    });
    let removed = async {
        while instance.endpoint_names() != ["e1"] {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    // Shorter than the time for which missing endpoints are kept after an outage.
    tokio::time::timeout(Duration::from_millis(1_900), removed)
        .await
        .expect("the unreadable endpoint should be removed at once");
    for _ in 0..10 {
        assert_eq!(caller::call(site.front(), "GET", "/a/x", "", "").await.status, 200);
    }
    assert!(first.requests().is_empty());
    let reply = instance.reply(asked, 60).expect("the instance should be able to reply");
    assert!(reply.changes.contains(&Change::Gone("e0".into())), "{reply:?}");
}

#[tokio::test]
async fn endpoint_whose_registration_becomes_unreadable_is_removed() {
    check_unreadable_registration(None).await;
}

#[tokio::test]
async fn endpoint_whose_registration_became_unreadable_in_an_outage_is_removed() {
    check_unreadable_registration(Some(Duration::from_millis(1_300))).await;
}
