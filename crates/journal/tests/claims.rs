//! Claims and outcomes through the handle.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, START, bill, id, soon, within};
use journal::{Claimed, Error, Known, Reason, Receipt, Registered};
use world::{
    model::Version,
    request::{KEY_WINDOW, Outcome},
    time::Timestamp,
};

#[tokio::test(start_paused = true)]
async fn second_claim_of_a_key_learns_of_the_first_at_any_instance() {
    let fleet = Fleet::new(3, |_| {});
    let first = fleet.journal(0).claim(&id("k"), START, 7, soon()).await;
    assert_eq!(first, Ok(Claimed::First));
    for n in 0..3 {
        let again = fleet.journal(n).claim(&id("k"), START, 7, soon()).await;
        let known = Known { outcome: Outcome::Running, at: Some(fleet.nodes[0].member.id.clone()) };
        assert_eq!(again, Ok(Claimed::Known(known)));
    }
    fleet.journal(0).settle(&id("k"), Outcome::Unknown, soon()).await.expect("settled");
    assert_eq!(fleet.journal(2).outcome(&id("k"), soon()).await, Ok(Some(Outcome::Unknown)));
}

#[tokio::test(start_paused = true)]
async fn key_that_was_not_run_may_be_claimed_anew() {
    let fleet = Fleet::new(2, |_| {});
    assert_eq!(fleet.journal(0).claim(&id("k"), START, 7, soon()).await, Ok(Claimed::First));
    fleet.journal(0).settle(&id("k"), Outcome::NotRun, soon()).await.expect("settled");
    assert_eq!(fleet.journal(1).outcome(&id("k"), soon()).await, Ok(Some(Outcome::NotRun)));
    assert_eq!(fleet.journal(1).claim(&id("k"), START, 7, soon()).await, Ok(Claimed::First));
}

#[tokio::test(start_paused = true)]
async fn bill_is_recorded_once_and_answers_its_claim() {
    let fleet = Fleet::new(3, |_| {});
    assert_eq!(fleet.journal(0).claim(&id("k"), START, 7, soon()).await, Ok(Claimed::First));
    for n in [0, 1, 2, 0] {
        assert_eq!(fleet.journal(n).bill(&bill("k", 5), soon()).await, Ok(Receipt::Durable));
    }
    assert_eq!(fleet.journal(1).bill(&bill("k", 6), soon()).await, Ok(Receipt::Already));
    assert_eq!(fleet.journal(1).outcome(&id("k"), soon()).await, Ok(Some(Outcome::Answered)));
    assert_eq!(fleet.dumped_bills(), [bill("k", 5)]);
    assert_eq!(fleet.journal(2).bills(&id("k").customer).await, Ok(vec![bill("k", 5)]));
}

#[tokio::test(start_paused = true)]
async fn registered_request_is_joined_until_released() {
    let fleet = Fleet::new(3, |_| {});
    let lasts = std::time::Duration::from_secs(30);
    assert_eq!(fleet.journal(0).register(&id("k"), 1, lasts, soon()).await, Ok(Registered::First));
    let at = fleet.nodes[0].member.id.clone();
    assert_eq!(fleet.journal(1).register(&id("k"), 1, lasts, soon()).await, Ok(Registered::RunningAt(at)));
    fleet.journal(0).settle(&id("k"), Outcome::NotRun, soon()).await.expect("released");
    assert_eq!(fleet.journal(1).register(&id("k"), 1, lasts, soon()).await, Ok(Registered::First));
}

async fn check_refused(made_at: Timestamp, fingerprint: u64, reason: Reason) {
    let fleet = Fleet::new(2, |_| {});
    assert_eq!(fleet.journal(0).claim(&id("k"), START, 1, soon()).await, Ok(Claimed::First));
    let refused = fleet.journal(1).claim(&id("k"), made_at, fingerprint, soon()).await;
    assert_eq!(refused, Err(Error::NotRecorded(reason)));
}

macro_rules! refused {
    ($($name:ident: $made_at:expr, $fingerprint:expr => $reason:expr;)*) => {
        $(#[tokio::test(start_paused = true)] async fn $name() { check_refused($made_at, $fingerprint, $reason).await; })*
    };
}

refused! {
    key_older_than_the_window: Timestamp(START.0 - KEY_WINDOW - 60_000), 1 => Reason::KeyTooOld;
    key_from_the_future: START.plus(3_600_000), 1 => Reason::KeyTooNew;
    key_with_another_body: START, 2 => Reason::OtherBody;
}

#[tokio::test(start_paused = true)]
async fn session_keeps_its_first_binding_until_it_is_replaced() {
    let fleet = Fleet::new(3, |_| {});
    let pins = |version: &str| {
        vec![world::session::Pin { tier: 0, version: Version::parse(version).expect("a version"), left: None }]
    };
    let (customer, session) = (id("k").customer, "s".parse().expect("a name"));
    let bind = async |n: usize, new: &str, old: Option<&str>| {
        let old = old.map(pins);
        fleet.journal(n).bind_session(&customer, &session, &pins(new), old.as_deref(), soon()).await
    };
    assert_eq!(bind(0, "m@1", None).await, Ok(pins("m@1")));
    assert_eq!(bind(1, "m@2", None).await, Ok(pins("m@1")));
    assert_eq!(bind(2, "m@2", Some("m@1")).await, Ok(pins("m@2")));
    assert_eq!(bind(0, "m@3", Some("m@1")).await, Ok(pins("m@2")));
}

#[tokio::test(start_paused = true)]
async fn log_is_cut_off_and_read_by_a_new_home() {
    let mut fleet = Fleet::new(1, |config| (config.ring, config.shards) = (8, 1));
    for n in 0..60 {
        let key = format!("k{n}");
        assert_eq!(fleet.journal(0).claim(&id(&key), START, 7, soon()).await, Ok(Claimed::First), "{key}");
        assert_eq!(fleet.journal(0).bill(&bill(&key, n), soon()).await, Ok(Receipt::Durable), "{key}");
    }
    let slots = fleet.platform.objects().iter().filter(|o| o.key.contains("/s/")).count();
    assert_eq!(slots, 8);
    let new = fleet.start(1, 1);
    fleet.meet(&[new]);
    for n in 0..60 {
        let outcome = fleet.journal(new).outcome(&id(&format!("k{n}")), within(5_000)).await;
        assert_eq!(outcome, Ok(Some(Outcome::Answered)), "k{n}");
    }
    assert_eq!(fleet.dumped_bills().len(), 60);
}
