//! Complete answers, each billed once.

use http::Method;
use standin::answer::{self, Message};

use crate::site::{CLUB_KEY, Site, SiteConfig};

/// Returns a version's answer to a single message.
pub fn answer_of(version: &str, content: &str) -> String {
    let messages = [Message { role: "user".into(), content: content.into() }];
    answer::text(version, &answer::prompt(&messages), None)
}

#[tokio::test]
async fn whole_answer_is_billed_once() {
    let site = Site::open(SiteConfig::default()).await;
    let reply = site.client(0).chat(CLUB_KEY, &[], "launch sheet").await;
    let version = reply.header("arbutuslug-version").to_owned();
    assert_eq!(reply.content(), answer_of(&version, "launch sheet"));
    let bills = site.wait_for_bills(1).await;
    assert_eq!(bills.len(), 1);
    assert_eq!(bills[0].id.key.as_str(), reply.header("arbutuslug-request"));
    assert!(bills[0].amount.0 > 0);
}

#[tokio::test]
async fn streamed_answer_ends_with_done() {
    let site = Site::open(SiteConfig::default()).await;
    let stream = site.client(0).stream(CLUB_KEY, &[], "launch sheet").await;
    let version = stream.headers["arbutuslug-version"].to_str().expect("text").to_owned();
    let streamed = stream.collect_events().await;
    assert_eq!(streamed.text, answer_of(&version, "launch sheet"));
    assert!(streamed.done && streamed.error.is_none() && streamed.finish.is_some(), "{streamed:?}");
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

#[tokio::test]
async fn plain_service_answers_through_the_same_path() {
    let site = Site::open(SiteConfig::default()).await;
    let client = site.client(0);
    let headers = [("authorization", "Bearer club-key"), ("content-type", "application/json")];
    let reply = client.call(Method::POST, "/v1/services/logbook/launches?day=1", &headers, "{\"glider\":7}").await;
    assert_eq!(reply.status.as_u16() / 100, 2, "{}", reply.text);
    let effects = site.service.effects();
    assert_eq!(effects.len(), 1);
    assert_eq!(effects[0].path, "/launches?day=1");
    assert_eq!(effects[0].key, reply.header("arbutuslug-request"));
    let bills = site.wait_for_bills(1).await;
    assert_eq!((bills.len(), bills[0].amount.to_string().as_str()), (1, "0.01"));
}

#[tokio::test]
async fn addresses_list_the_instances() {
    let site = Site::open(SiteConfig { instances: 3, ..SiteConfig::default() }).await;
    let reply = site.client(1).get("/v1/addresses?domain=d2", CLUB_KEY).await;
    let json = reply.json();
    let addresses = json["addresses"].as_array().expect("a list");
    assert_eq!(addresses.len(), 3, "{json}");
    assert_eq!(addresses[0]["domain"], "d2", "the caller's own failure domain first");
    assert!(json["keep_ms"].as_u64().is_some_and(|keep| keep > 0));
}
