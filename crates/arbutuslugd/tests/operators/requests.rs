//! Requests seen by operators: bills, explanations, the time line, leaving.

use arbutuslug::Exit;
use arbutuslugd::operators::{Duty, Phase};
use journal::bill::Item;
use timeline::{Event, Kind, Step};
use tokio::time::Instant;
use world::{
    Timestamp,
    instance::State,
    model::Version,
    money::{Amount, Currency},
    request,
};

use crate::site::Site;

fn id(customer: &str, key: &str) -> request::Id {
    request::Id { customer: customer.parse().unwrap(), key: key.parse().unwrap() }
}

fn version(text: &str) -> Version {
    Version::parse(text).unwrap()
}

fn euro() -> Currency {
    Currency::try_from("EUR".to_owned()).unwrap()
}

fn record(site: &Site, node: usize, request: &request::Id, step: Step) {
    site.nodes[node].handles.recorder.record(Event::Request { request: request.clone(), step });
}

async fn bill(site: &Site, request: &request::Id) {
    let bill = journal::Bill {
        id: request.clone(),
        at: Timestamp(1_700_000_000_000),
        amount: Amount(1_250_000),
        currency: euro(),
        item: Item::Version(version("summary@8")),
        input_tokens: 10,
        output_tokens: 20,
        attempts: 2,
        grant: None,
    };
    let deadline = Instant::now() + std::time::Duration::from_mins(1);
    site.nodes[0].handles.journal.bill(&bill, deadline).await.expect("billed");
}

#[tokio::test]
async fn bills_are_shown_with_their_sum() {
    let site = Site::open(2).await;
    bill(&site, &id("tousuvool", "launch-1")).await;
    bill(&site, &id("tousuvool", "launch-2")).await;
    bill(&site, &id("tubig", "deposit-1")).await;
    let bills = site.done(&["bills", "tousuvool"]).await;
    assert!(bills.contains("launch-1") && bills.contains("summary@8"), "{bills}");
    assert!(bills.ends_with("2 bills, 0.0025 EUR\n"), "{bills}");
    assert!(!bills.contains("deposit-1"));
    assert_eq!(site.run(&["bills", "nobody"]).await.exit, Exit::Refused);
}

/// A request went through two instances: received at one, escalated, billed.
/// From its key alone the operator reads the way and the cost.
#[tokio::test]
async fn explain_tells_the_way_and_the_cost_from_the_key_alone() {
    let site = Site::open(2).await;
    let request = id("tousuvool", "launch-7");
    let (from, to) = (version("summary@3"), version("summary@8"));
    let chosen =
        |version: &Version, tier, reason: &str| Step::Chosen { version: version.clone(), tier, reason: reason.into() };
    record(&site, 0, &request, chosen(&from, 0, "cheapest that meets the target"));
    let stamp = site.nodes[0].handles.recorder.clock();
    site.nodes[1].handles.recorder.observe(stamp);
    let escalated = Step::Escalated { from, to: to.clone(), reason: "rated below the target".into() };
    record(&site, 1, &request, escalated);
    record(&site, 1, &request, chosen(&to, 1, "next tier"));
    bill(&site, &request).await;

    let told = site.done(&["explain", "launch-7"]).await;
    assert!(told.contains("request tousuvool/launch-7: answered whole\ncost 0.00125 EUR"), "{told}");
    let places: Vec<_> =
        ["cheapest that meets", "rated below the target", "next tier"].map(|text| told.find(text)).into();
    assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{told}");
}

#[tokio::test]
async fn explain_asks_for_the_customer_where_a_key_is_not_enough() {
    let site = Site::open(1).await;
    for customer in ["tousuvool", "tubig"] {
        record(&site, 0, &id(customer, "1"), Step::Admitted { queued_ms: 0 });
    }
    let ran = site.run(&["explain", "1"]).await;
    assert_eq!(ran.exit, Exit::Usage);
    assert!(ran.err.contains("tousuvool/1, tubig/1"), "{ran:?}");
    let ran = site.run(&["explain", "never-seen"]).await;
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("give CUSTOMER/KEY"), "{ran:?}");
}

#[tokio::test]
async fn timeline_merges_instances_and_filters() {
    let site = Site::open(2).await;
    for (node, key) in [(0, "a"), (1, "b"), (0, "c")] {
        record(&site, node, &id("tousuvool", key), Step::Admitted { queued_ms: 1 });
        let stamp = site.nodes[node].handles.recorder.clock();
        site.nodes[1 - node].handles.recorder.observe(stamp);
    }
    let lines = site.done(&["timeline", "--kind", "request"]).await;
    let keys: Vec<_> = ["tousuvool/a", "tousuvool/b", "tousuvool/c"].map(|key| lines.find(key)).into();
    assert!(keys.iter().all(Option::is_some) && keys.is_sorted(), "{lines}");
    let one = site.done(&["timeline", "--request", "b"]).await;
    assert_eq!(one.lines().count(), 1, "{one}");
    let json = site.done(&["timeline", "--request", "b", "-o", "json"]).await;
    let timeline: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(timeline["records"][0]["kind"], Kind::Request.as_str());
    assert_eq!(site.run(&["timeline", "--kind", "sessions"]).await.exit, Exit::Usage);
}

/// An instance was lost. The others' events are shown, and the gap names it
/// so that nobody takes the time line for whole.
#[tokio::test]
async fn timeline_names_the_instance_that_is_gone() {
    let mut site = Site::open(2).await;
    record(&site, 0, &id("tousuvool", "a"), Step::Admitted { queued_ms: 1 });
    let lost = site.nodes.pop().expect("two nodes");
    lost.handles.peer.abort();
    lost.listener.close().await;
    site.wait_for_state(0, "i1", State::Gone).await;
    let ran = site.run(&["timeline", "--kind", "request"]).await;
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("tousuvool/a"), "{ran:?}");
    assert!(ran.err.contains("gap: i1: no records, it did not answer (it is gone)"), "{ran:?}");
}

/// An operator drains an instance that has a request in flight. The tool asks
/// that instance itself, tells the request, and ends when it has finished.
#[tokio::test]
async fn drain_waits_for_the_request_in_flight() {
    let site = Site::open(2).await;
    let node = &site.nodes[1];
    node.duty.send_replace(Duty { phase: Phase::Serving, in_flight: 1 });
    let leave = node.handles.leave.clone();
    let duty = node.duty.clone();
    let daemon = async move {
        leave.cancelled().await;
        duty.send_replace(Duty { phase: Phase::Leaving, in_flight: 1 });
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        duty.send_replace(Duty { phase: Phase::Finished, in_flight: 0 });
    };
    let (ran, ()) = tokio::join!(site.run(&["drain", "i1"]), daemon);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.err.contains("i1: 1 requests in flight"), "{ran:?}");
    assert!(!site.nodes[0].handles.leave.is_cancelled());
    assert_eq!(site.run(&["drain", "i9"]).await.exit, Exit::Refused);
}

/// The instance is lost while it drains: whether its requests were finished
/// is not known, and the tool says so.
#[tokio::test]
async fn instance_lost_while_draining_is_an_unknown_outcome() {
    let mut site = Site::open(2).await;
    let lost = site.nodes.pop().expect("two nodes");
    lost.duty.send_replace(Duty { phase: Phase::Leaving, in_flight: 3 });
    let leave = lost.handles.leave.clone();
    let (duty, listener) = (lost.duty, lost.listener);
    let daemon = async move {
        leave.cancelled().await;
        drop(duty);
        listener.close().await;
    };
    let (ran, ()) = tokio::join!(site.run(&["drain", "i1"]), daemon);
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(ran.err.contains("not known whether i1 finished"), "{ran:?}");
}
