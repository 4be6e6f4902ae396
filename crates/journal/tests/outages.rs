//! The platform is down, an instance is lost, or two are home at once.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, START, bill, id, soon, within};
use journal::{BillWait, Claimed, Error, Known, Reason, Receipt, Registered};
use store::fake::Loss;
use tokio::time::sleep;
use uuid::Builder;
use world::request::Outcome;

/// A key whose home is not the first node.
fn far_key(fleet: &Fleet) -> String {
    (0..100).map(|n| format!("k{n}")).find(|key| fleet.home_of(&id(key)) != 0).expect("a key")
}

/// A key that tells that it was made now, and whose home is a given node.
fn timed_key(fleet: &Fleet, home: usize) -> String {
    let now = fleet.journal(0).config().clock.now();
    let keys = (0..100).map(|n| Builder::from_unix_timestamp_millis(now.0, &[n; 10]).into_uuid().to_string());
    keys.into_iter().find(|key| fleet.home_of(&id(key)) == home).expect("a key")
}

/// A key whose home is the first node.
fn near_key(fleet: &Fleet) -> String {
    (0..100).map(|n| format!("k{n}")).find(|key| fleet.home_of(&id(key)) == 0).expect("a key")
}

/// The platform is down for a while. New claims are refused, truthfully "not
/// recorded", and soon rather than at their deadline; bills get a receipt as
/// soon as two failure domains hold them, and are durable once it is back.
#[tokio::test(start_paused = true)]
async fn platform_down_at_claim_and_bill() {
    let fleet = Fleet::new(3, |_| {});
    for n in 0..3 {
        fleet.journal(n).claim(&id(&format!("before{n}")), START, 1, soon()).await.expect("claimed");
    }
    fleet.platform.set_down(true);
    let started = tokio::time::Instant::now();
    let claimed = fleet.journal(0).claim(&id("first"), START, 1, within(60_000)).await;
    let took = started.elapsed();
    // The first one was on its way when the outage began: it may stand.
    assert!(matches!(claimed, Err(Error::Unknown | Error::NotRecorded(Reason::PlatformDown))), "{claimed:?}");
    assert!(took <= Duration::from_mins(1), "{took:?}");
    for n in 0..30 {
        let key = format!("during{n}");
        let started = tokio::time::Instant::now();
        let refused = fleet.journal(n % 3).claim(&id(&key), START, 1, within(30_000)).await;
        assert!(refused.is_err(), "{refused:?}");
        assert!(started.elapsed() <= Duration::from_secs(30));
        let receipt = fleet.journal(n % 3).bill(&bill(&key, 1), soon()).await;
        assert_eq!(receipt, Ok(Receipt::Held), "{key}");
    }
    fleet.platform.set_down(false);
    sleep(Duration::from_mins(2)).await;
    assert_eq!(fleet.dumped_bills().len(), 30);
    assert_eq!(fleet.journal(0).claim(&id("first"), START, 1, soon()).await, Ok(Claimed::First));
}

/// A shard whose platform is known to be down refuses at once.
#[tokio::test(start_paused = true)]
async fn claim_in_an_outage_is_refused_long_before_its_deadline() {
    let fleet = Fleet::new(1, |config| config.shards = 1);
    fleet.journal(0).claim(&id("before"), START, 1, soon()).await.expect("claimed");
    fleet.platform.set_down(true);
    let journal = fleet.journal(0).clone();
    let first = tokio::spawn(async move { journal.claim(&id("under-way"), START, 1, within(30_000)).await });
    sleep(Duration::from_secs(2)).await;
    let started = tokio::time::Instant::now();
    let refused = fleet.journal(0).claim(&id("next"), START, 1, within(30_000)).await;
    assert_eq!(refused, Err(Error::NotRecorded(Reason::PlatformDown)));
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(first.await.expect("no panic").is_err());
}

/// An instance that holds a bill is lost during an outage, right after its
/// caller got the last frame. The second holder delivers the bill.
#[tokio::test(start_paused = true)]
async fn instance_lost_at_held_bill() {
    let fleet = Fleet::new(3, |_| {});
    fleet.platform.set_down(true);
    let key = near_key(&fleet);
    assert_eq!(fleet.journal(0).bill(&bill(&key, 9), soon()).await, Ok(Receipt::Held));
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    fleet.platform.set_down(false);
    sleep(Duration::from_mins(2)).await;
    assert_eq!(fleet.dumped_bills(), [bill(&key, 9)]);
}

/// Alone, or with its own failure domain only, an instance has no second
/// holder: the caller must not be told that the bill is safe.
#[tokio::test(start_paused = true)]
async fn platform_down_at_bill_without_second_domain() {
    let fleet = Fleet::new(1, |_| {});
    fleet.platform.set_down(true);
    assert_eq!(fleet.journal(0).bill(&bill("k", 9), soon()).await, Err(Error::Unknown));
    fleet.platform.set_down(false);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(fleet.dumped_bills(), [bill("k", 9)]);
}

#[tokio::test(start_paused = true)]
async fn bill_held_by_two_is_delivered_in_the_background() {
    let fleet = Fleet::new(3, |config| config.bill_wait = BillWait::Holders);
    for n in 0..20 {
        assert_eq!(fleet.journal(0).bill(&bill(&format!("k{n}"), n), soon()).await, Ok(Receipt::Held));
    }
    assert!(fleet.journal(0).flush(soon()).await);
    assert_eq!(fleet.dumped_bills().len(), 20);
}

/// The home writes the claim, then is lost before it answers. The origin asks
/// the next home under the same nonce and learns that the claim is its own.
#[tokio::test(start_paused = true)]
async fn home_lost_at_claim_after_its_write() {
    let fleet = Fleet::new(3, |_| {});
    let key = far_key(&fleet);
    let home = fleet.home_of(&id(&key));
    fleet.journal(0).outcome(&id(&key), soon()).await.expect("the shard is open");
    fleet.ready().await;
    fleet.nodes[home].client.lose(1, Loss::After);
    let journal = fleet.journal(0).clone();
    let asked = id(&key);
    let claim = tokio::spawn(async move { journal.claim(&asked, START, 1, soon()).await });
    sleep(Duration::from_millis(1)).await;
    fleet.pause(home, true);
    let rest: Vec<usize> = (0..3).filter(|n| *n != home).collect();
    fleet.meet(&rest);
    assert_eq!(claim.await.expect("no panic"), Ok(Claimed::First));
    let other = rest[1];
    assert!(matches!(fleet.journal(other).claim(&id(&key), START, 1, soon()).await, Ok(Claimed::Known(_))));
}

/// The instance that runs a claimed request is lost. Nobody can tell whether
/// it ran: a repeat is told so, and never runs again.
#[tokio::test(start_paused = true)]
async fn instance_lost_at_claimed_request() {
    let fleet = Fleet::new(3, |_| {});
    fleet.journal(0).claim(&id("k"), START, 1, soon()).await.expect("claimed");
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    let known = Known { outcome: Outcome::Unknown, at: None };
    assert_eq!(fleet.journal(1).claim(&id("k"), START, 1, soon()).await, Ok(Claimed::Known(known)));
    assert_eq!(fleet.journal(2).outcome(&id("k"), soon()).await, Ok(Some(Outcome::Unknown)));
}

/// A home is paused, another takes its shard and a claim, the first wakes and
/// still thinks it is the home. Its own callers must neither get the same
/// claim nor hear that there is none.
#[tokio::test(start_paused = true)]
async fn paused_home_wakes_at_claim_and_outcome() {
    let fleet = Fleet::new(3, |_| {});
    let key = near_key(&fleet);
    fleet.journal(0).outcome(&id(&key), soon()).await.expect("the shard is open");
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    assert_eq!(fleet.journal(1).claim(&id(&key), START, 1, soon()).await, Ok(Claimed::First));
    fleet.nodes[0].client.set_down(false);
    let told = fleet.journal(0).outcome(&id(&key), within(100)).await;
    assert!(!matches!(told, Ok(None | Some(Outcome::NotRun))), "a false promise: {told:?}");
    let claimed = fleet.journal(0).claim(&id(&key), START, 1, soon()).await;
    assert!(!matches!(claimed, Ok(Claimed::First)), "claimed twice: {claimed:?}");
}

/// The same with an idempotent request: each home lets one instance run it.
/// That is allowed; it is still billed once.
#[tokio::test(start_paused = true)]
async fn paused_home_wakes_at_registered_request() {
    let fleet = Fleet::new(3, |_| {});
    let key = near_key(&fleet);
    let lasts = Duration::from_secs(30);
    assert_eq!(fleet.journal(0).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::First));
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    assert_eq!(fleet.journal(1).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::First));
    fleet.pause(0, false);
    fleet.meet(&[0, 1, 2]);
    let first = fleet.journal(0).bill(&bill(&key, 1), soon()).await;
    let second = fleet.journal(1).bill(&bill(&key, 2), soon()).await;
    assert_eq!([first, second], [Ok(Receipt::Durable), Ok(Receipt::Already)]);
}

/// A registered request is known to its key's next home too.
#[tokio::test(start_paused = true)]
async fn home_lost_at_registered_request() {
    let fleet = Fleet::new(3, |_| {});
    let key = far_key(&fleet);
    let home = fleet.home_of(&id(&key));
    let lasts = Duration::from_secs(30);
    assert_eq!(fleet.journal(0).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::First));
    fleet.pause(home, true);
    let rest: Vec<usize> = (0..3).filter(|n| *n != home).collect();
    fleet.meet(&rest);
    sleep(Duration::from_secs(5)).await;
    let at = fleet.nodes[0].member.id.clone();
    assert_eq!(fleet.journal(rest[1]).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::RunningAt(at)));
}

/// A home takes its instance for no member for a moment, gives its shard up and
/// takes it back, while the instance that runs a request notices nothing of it.
/// What was registered is forgotten with that; a repeat that was told "first"
/// now and is turned away would say "not run" of a key that runs. A key made
/// since then is known to be new.
#[tokio::test(start_paused = true)]
async fn reopened_home_takes_no_older_key_for_new() {
    let fleet = Fleet::new(3, |_| {});
    fleet.ready().await;
    let home = 1;
    let lasts = Duration::from_secs(30);
    let old = timed_key(&fleet, home);
    assert_eq!(fleet.journal(0).register(&id(&old), 1, lasts, soon()).await, Ok(Registered::First));
    let members = |who: &[usize]| who.iter().map(|n| fleet.nodes[*n].member.clone()).collect::<Vec<_>>();
    fleet.journal(home).set_members(members(&[0, 2]));
    sleep(Duration::from_secs(1)).await;
    fleet.journal(home).set_members(members(&[0, 1, 2]));
    assert_eq!(fleet.journal(2).register(&id(&old), 1, lasts, soon()).await, Ok(Registered::Again));
    sleep(Duration::from_millis(1)).await;
    let new = timed_key(&fleet, home);
    assert_eq!(fleet.journal(2).register(&id(&new), 1, lasts, soon()).await, Ok(Registered::First));
}

/// A claim whose fate is unknown is not run; its key must not stay blocked.
#[tokio::test(start_paused = true)]
async fn unknown_claim_is_taken_back() {
    let fleet = Fleet::new(1, |_| {});
    fleet.journal(0).outcome(&id("k"), soon()).await.expect("the shard is open");
    fleet.ready().await;
    fleet.nodes[0].client.lose(1, Loss::Late(Duration::from_secs(5)));
    let journal = fleet.journal(0).clone();
    let claimed = tokio::spawn(async move { journal.claim(&id("k"), START, 1, within(1_000)).await });
    sleep(Duration::from_millis(1)).await;
    fleet.nodes[0].client.set_down(true);
    assert_eq!(claimed.await.expect("no panic"), Err(Error::Unknown));
    sleep(Duration::from_secs(10)).await;
    fleet.nodes[0].client.set_down(false);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(fleet.journal(0).claim(&id("k"), START, 1, soon()).await, Ok(Claimed::First));
}

/// An instance of a build with another number of shards would look for a
/// claim in another shard, find none and let the request run twice.
#[tokio::test(start_paused = true)]
async fn instance_with_another_layout_answers_nothing() {
    let mut fleet = Fleet::new(1, |config| config.shards = 3);
    fleet.journal(0).claim(&id("k"), START, 1, soon()).await.expect("claimed");
    fleet.set_config(|config| config.shards = 4);
    let other = fleet.start(1, 1);
    let claimed = fleet.journal(other).claim(&id("k"), START, 1, soon()).await;
    assert!(matches!(claimed, Err(Error::NotRecorded(_))), "{claimed:?}");
}

/// Two callers send one idempotent key while the platform does not answer. The
/// first run ends whole, its bill held by two instances and not recorded yet;
/// its registration is taken back. A repeat that was told "first" now would run
/// anew, and if it was turned away it would say "not run" of a key that ran.
#[tokio::test(start_paused = true)]
async fn answered_request_is_known_before_its_bill_is_durable() {
    let fleet = Fleet::new(3, |_| {});
    for n in 0..3 {
        fleet.journal(n).claim(&id(&format!("before{n}")), START, 1, soon()).await.expect("claimed");
    }
    let key = far_key(&fleet);
    let lasts = Duration::from_secs(30);
    assert_eq!(fleet.journal(0).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::First));
    fleet.platform.set_down(true);
    fleet.journal(0).settle(&id(&key), Outcome::Answered, soon()).await.expect("taken back");
    let known = Known { outcome: Outcome::Answered, at: Some(fleet.nodes[0].member.id.clone()) };
    assert_eq!(fleet.journal(1).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::Known(known.clone())));
    assert_eq!(fleet.journal(2).outcome(&id(&key), soon()).await, Ok(Some(Outcome::Answered)));
    let other = fleet.journal(2).register(&id(&key), 2, lasts, soon()).await;
    assert_eq!(other, Err(Error::NotRecorded(Reason::OtherBody)));
    // Its bill, which the home knows and cannot record yet, changes nothing.
    fleet.journal(0).bill(&bill(&key, 1), soon()).await.expect("two instances hold it");
    assert_eq!(fleet.journal(1).register(&id(&key), 1, lasts, soon()).await, Ok(Registered::Known(known)));
}
