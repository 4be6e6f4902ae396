//! Instances that another one keeps synchronized, in place of the store.

use std::{collections::HashMap, sync::atomic::Ordering, time::Duration};

use relay::{
    catalog::Kind,
    clock,
    dispatcher::{
        Dispatcher,
        fleet::{Job, Load, short_hash},
        peers::{Caller, Phase, Status},
        synchronization::{Change, Question, Reply},
    },
    settings::Cores,
};
use route::relay::freshness::Proof;
use world::hash;

use crate::site::{
    SERVICE, Site, StoreContents, catalog, dialect, endpoint, instance_with_catalog, revision, route, settings,
};

fn endpoint_ids(instance: &Dispatcher) -> Vec<String> {
    let mut names = instance.endpoint_names();
    names.sort();
    names
}

#[test]
fn changes_are_passed_on_in_order() {
    let (watcher, other) = (instance_with_catalog(1), instance_with_catalog(1));
    watcher.renew(clock::now(), Proof::Read);
    let e1 = endpoint("e1", ([127, 0, 0, 1], 10).into());
    watcher.record_changes(revision(12), vec![Change::Known(e1), Change::Gone("e0".into())]);
    let reply = watcher.reply(other.question(), 60).unwrap();
    assert!(!reply.gap);
    other.apply_reply(clock::now(), reply);
    assert_eq!(endpoint_ids(&other), ["e1"]);
    assert_eq!(other.question(), Question { revision: revision(12) });
}

/// A listing was in progress when a newer change arrived from another instance: the endpoint
/// that the change added must not be dropped because the listing lacks it, since no later
/// message would add it again.
#[tokio::test]
async fn older_listing_does_not_undo_newer_changes() {
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 9).into())],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |_| {}).await;
    let instance = site.relay.dispatcher();
    let newer = Change::Known(endpoint("e1", ([127, 0, 0, 1], 10).into()));
    instance.register_endpoint(endpoint("e1", ([127, 0, 0, 1], 10).into()));
    instance.record_changes(revision(1_000), vec![newer]);
    let reads = || site.store.endpoint_reads.load(Ordering::Relaxed);
    let before = reads();
    site.store.change(|contents| contents.catalog = Some(catalog(2, vec![route("/a/", Kind::Idempotent)])));
    while reads() < before + 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        site.store.change(|_| {});
    }
    assert_eq!(endpoint_ids(instance), ["e0", "e1"]);
}

/// The watcher lists the endpoints again after the store has compacted its history. It has no
/// changes from before the listing, so the other instance has to list as well and must not count
/// as synchronized.
#[test]
fn gap_is_reported_and_requires_a_listing() {
    let (watcher, other) = (instance_with_catalog(1), instance_with_catalog(1));
    watcher.renew(clock::now(), Proof::Read);
    watcher.record_listing(revision(40));
    let reply = watcher.reply(other.question(), 60).unwrap();
    assert!(reply.gap);
    other.apply_reply(clock::now(), reply);
    assert_eq!(other.question(), Question { revision: revision(10) });
}

/// Fifty servers crash at once. Each reply carries the changes that fit a datagram, all those of
/// one revision together, and after the last reply none is missing: the other instance does not
/// have to list.
#[test]
fn many_changes_are_sent_in_several_replies() {
    let (watcher, other) = (instance_with_catalog(1), instance_with_catalog(1));
    watcher.renew(clock::now(), Proof::Read);
    let registered = |n: u16| Change::Known(endpoint(&format!("n{n:02}"), ([127, 0, 0, 1], 100 + n).into()));
    // Each revision has two changes.
    for n in (0..50).step_by(2) {
        watcher.record_changes(revision(u64::from(20 + n)), vec![registered(n), registered(n + 1)]);
    }
    let mut replies = 0;
    while other.endpoints_revision() < watcher.endpoints_revision() {
        let reply = watcher.reply(other.question(), 15).unwrap();
        assert!(!reply.gap && reply.changes.len() <= 16, "{reply:?}");
        other.apply_reply(clock::now(), reply);
        replies += 1;
    }
    assert_eq!((other.endpoint_names().len(), replies), (51, 4));
}

/// The store compacts its history, and the watcher has to list again. It derives the changes
/// from what it knew before and passes them on; otherwise each other instance would have to list
/// as well, sixty at once in a large fleet.
#[tokio::test]
async fn relisting_is_passed_on_as_changes() {
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 9).into()), endpoint("e1", ([127, 0, 0, 1], 10).into())],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |_| {}).await;
    let watcher = site.relay.dispatcher();
    let asked = watcher.question();
    site.store.change(|contents| {
        contents.endpoints.remove(0);
        contents.endpoints.push(endpoint("e2", ([127, 0, 0, 1], 11).into()));
    });
    while watcher.endpoints_revision() == asked.revision {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let reply = watcher.reply(asked, 60).unwrap();
    let e2 = Change::Known(endpoint("e2", ([127, 0, 0, 1], 11).into()));
    assert_eq!((reply.gap, reply.changes), (false, vec![Change::Gone("e0".into()), e2]));
    assert_eq!(endpoint_ids(watcher), ["e1", "e2"]);
}

/// An instance of a large fleet is killed. Its next news were due only in a minute, but callers
/// must not be sent to it for longer than a few seconds.
#[tokio::test]
async fn killed_instance_is_not_named_to_callers() {
    let here = instance_with_catalog(1);
    let front = ([127, 0, 0, 9], 80).into();
    let update = Status {
        front: Some(front),
        start: 1,
        phase: Phase::Ready,
        fresh: true,
        time_to_next: Duration::from_mins(1),
        ..Status::default()
    };
    here.update_peer("there", ([127, 0, 0, 9], 7).into(), update);
    assert!(here.caller_addresses(&Caller::default()).contains(&front));
    tokio::time::sleep(Duration::from_millis(4_300)).await;
    assert!(!here.caller_addresses(&Caller::default()).contains(&front));
}

/// An instance loses power. About a second after its last news message, callers are not sent to
/// it any more, and its pending requests no longer count as load.
#[tokio::test]
async fn silent_instance_is_left_out() {
    let here = instance_with_catalog(1);
    let front = ([127, 0, 0, 9], 80).into();
    let load = Load { runs: 40.0, backlog_ms: 900.0 };
    let update = Status {
        front: Some(front),
        start: 1,
        phase: Phase::Ready,
        fresh: true,
        time_to_next: Duration::from_millis(250),
        loads: HashMap::from([(short_hash("e0"), load)]),
        ..Status::default()
    };
    here.update_peer("there", ([127, 0, 0, 9], 7).into(), update);
    let job = Job {
        route: "/a/",
        service: SERVICE,
        model: None,
        size: 1.0,
        affinity: None,
        whole: None,
        shared_tokens: 0,
        own_tokens: 0,
        output_tokens: 0,
        session: 1,
        in_session: false,
        tried: &[],
        barred: &[],
        version: None,
    };
    let busy_ms = here.expected_ms(&job).unwrap();
    assert!(here.caller_addresses(&Caller::default()).contains(&front));
    assert_eq!(here.live_instance_count(), 2);

    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert!(!here.caller_addresses(&Caller::default()).contains(&front));
    assert_eq!(here.live_instance_count(), 1);
    // Loads are recomputed with the next news message from any instance.
    here.update_peer(
        "else",
        ([127, 0, 0, 8], 7).into(),
        Status { time_to_next: Duration::from_millis(250), ..Status::default() },
    );
    assert!(here.expected_ms(&job).unwrap() < busy_ms);
}

/// A key is revoked after the question was sent, and the reply takes long to arrive. The proof
/// counts from the question, so it can only look older than it is.
#[test]
fn proof_counts_from_the_question() {
    let (watcher, other) = (instance_with_catalog(1), instance_with_catalog(1));
    let asked = clock::now();
    std::thread::sleep(Duration::from_millis(30));
    watcher.renew(clock::now(), Proof::Read);
    other.apply_reply(asked, watcher.reply(other.question(), 60).unwrap());
    assert!(other.keys_age().unwrap() >= Duration::from_millis(30));
}

/// The watcher proves a newer catalog than the other instance has. That is no proof of the older
/// keys which the other instance still uses.
#[test]
fn older_catalog_is_not_proven() {
    let (watcher, other) = (instance_with_catalog(2), instance_with_catalog(1));
    watcher.renew(clock::now(), Proof::Read);
    other.apply_reply(clock::now(), watcher.reply(other.question(), 60).unwrap());
    assert_eq!(other.keys_age(), None);
    assert!(!other.is_fresh());
}

/// An endpoint's lease expired during an outage of the store, and the endpoint is kept for a
/// while. Meanwhile the instance that keeps this one synchronized reports that the endpoint has
/// registered again. It must not be removed when that time ends, since no later message would
/// add it again.
#[test]
fn expired_endpoint_that_another_instance_reports_is_kept() {
    let (watcher, other) = (instance_with_catalog(1), instance_with_catalog(1));
    watcher.renew(clock::now(), Proof::Read);
    let lapsed = clock::now();
    std::thread::sleep(Duration::from_millis(1));
    watcher.record_changes(revision(12), vec![Change::Known(endpoint("e0", ([127, 0, 0, 1], 9).into()))]);
    other.apply_reply(clock::now(), watcher.reply(other.question(), 60).unwrap());
    assert!(!other.remove_lapsed_endpoint("e0", lapsed));
    assert_eq!(endpoint_ids(&other), ["e0"]);
    assert!(other.remove_lapsed_endpoint("e0", clock::now()));
    assert!(endpoint_ids(&other).is_empty());
}

/// A catalog change makes every instance of the fleet read the catalog. Each first takes a
/// listing of any age, which costs the store little; where that shows nothing new, it reads the
/// latest state at once, because the change has to be in force within a time limit.
///
/// `old` is the version that listings of any age show, `reads` the expected numbers of all
/// catalog reads and of those of any age.
async fn check_announced_catalog(old: Option<u64>, reads: [usize; 2]) {
    let routes = || vec![route("/a/", Kind::Idempotent)];
    let contents = StoreContents { catalog: Some(catalog(1, routes())), ..StoreContents::default() };
    let site = Site::start_with(contents, |_| {}).await;
    let (instance, watcher) = (site.relay.dispatcher(), instance_with_catalog(2));
    let counts = || [&site.store.catalog_reads, &site.store.any_age_catalog_reads].map(|n| n.load(Ordering::Relaxed));
    let synchronize = || {
        watcher.renew(clock::now(), Proof::Read);
        instance.apply_reply(clock::now(), watcher.reply(Question { revision: revision(10) }, 60).unwrap());
    };
    // Kept synchronized for as long as one of its own calls to the store may take.
    for _ in 0..10 {
        synchronize();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.store.change(|contents| {
        contents.catalog = Some(catalog(2, routes()));
        contents.stale_catalog = old.map(|version| catalog(version, routes()));
    });
    let before = counts();
    while instance.catalog().unwrap().version < 2 {
        synchronize();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let after = counts();
    assert_eq!([after[0] - before[0], after[1] - before[1]], reads);
}

#[tokio::test]
async fn announced_catalog_is_read_at_any_age() {
    check_announced_catalog(None, [1, 1]).await;
}

#[tokio::test]
async fn announced_catalog_is_read_again_if_the_listing_is_stale() {
    check_announced_catalog(Some(1), [2, 1]).await;
}

/// The instance that keeps this one synchronized was cut off from the store without a reset: its
/// watch hangs, and for seconds it still proves the catalog that it has. The operator changes
/// the catalog. A third instance has the new one and says so in its news message, which makes
/// this one read it.
#[tokio::test]
async fn newer_catalog_in_any_status_update_is_read() {
    let routes = || vec![route("/a/", Kind::Idempotent)];
    let contents = StoreContents { catalog: Some(catalog(1, routes())), ..StoreContents::default() };
    // The instances with the lowest hashes watch the store, so this one has the highest.
    let mut names = ["a", "b", "c", "d"];
    names.sort_by_key(|name| hash::stable(name.as_bytes()));
    let site = Site::start_with(contents, |settings| settings.instance = names[3].into()).await;
    let (instance, cut_off) = (site.relay.dispatcher(), instance_with_catalog(1));
    let update = |catalog| Status {
        start: 1,
        phase: Phase::Ready,
        in_touch: true,
        time_to_next: Duration::from_millis(250),
        catalog,
        ..Status::default()
    };
    let synchronize = || {
        for (name, port) in [(names[0], 7), (names[1], 8)] {
            instance.update_peer(name, ([127, 0, 0, 7], port).into(), update(1));
        }
        cut_off.renew(clock::now(), Proof::Read);
        instance.apply_reply(clock::now(), cut_off.reply(Question { revision: revision(10) }, 60).unwrap());
    };
    for _ in 0..15 {
        synchronize();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(instance.is_synchronized());
    site.store.change(|contents| contents.catalog = Some(catalog(2, routes())));
    for _ in 0..5 {
        synchronize();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(instance.catalog().unwrap().version, 1);
    instance.update_peer(names[2], ([127, 0, 0, 7], 9).into(), update(2));
    let read = async {
        while instance.catalog().unwrap().version < 2 {
            synchronize();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    assert!(tokio::time::timeout(Duration::from_secs(5), read).await.is_ok());
}

/// A watcher that has lost the store keeps no other instance synchronized.
#[test]
fn watcher_without_a_fresh_proof_synchronizes_no_instance() {
    let (watcher, other) = (instance_with_catalog(1), instance_with_catalog(1));
    assert!(watcher.reply(other.question(), 60).is_none());
    watcher.renew(clock::now().saturating_sub(Duration::from_secs(4)), Proof::Read);
    other.apply_reply(clock::now(), watcher.reply(other.question(), 60).unwrap());
    assert!(!other.is_synchronized());
    assert_eq!(other.keys_age(), None);
}

/// The store rejects the calls of this instance and serves all others, which announce a newer
/// catalog many times a second. The instance must not make another rejected call for each
/// announcement, and must read the catalog soon after the store serves it again.
#[tokio::test]
async fn refused_read_of_an_announced_catalog_is_not_repeated_at_once() {
    let routes = || vec![route("/a/", Kind::Idempotent)];
    let contents = StoreContents { catalog: Some(catalog(1, routes())), ..StoreContents::default() };
    let mut names = ["a", "b", "c"];
    names.sort_by_key(|name| hash::stable(name.as_bytes()));
    let site = Site::start_with(contents, |settings| settings.instance = names[2].into()).await;
    let (instance, watcher) = (site.relay.dispatcher(), instance_with_catalog(2));
    let synchronize = async || {
        for (name, port) in [(names[0], 7), (names[1], 8)] {
            let update = Status {
                start: 1,
                phase: Phase::Ready,
                in_touch: true,
                time_to_next: Duration::from_millis(250),
                catalog: 2,
                ..Status::default()
            };
            instance.update_peer(name, ([127, 0, 0, 7], port).into(), update);
        }
        watcher.renew(clock::now(), Proof::Read);
        instance.apply_reply(clock::now(), watcher.reply(Question { revision: revision(10) }, 60).unwrap());
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    site.store.change(|contents| contents.refuses = true);
    while !instance.is_synchronized() {
        synchronize().await;
    }
    let reads = || site.store.catalog_reads.load(Ordering::Relaxed);
    let before = reads();
    for _ in 0..150 {
        synchronize().await;
    }
    assert!(reads() - before <= 9, "{} calls in three seconds", reads() - before);
    site.store.change(|contents| {
        contents.refuses = false;
        contents.catalog = Some(catalog(2, routes()));
    });
    let served = async {
        while instance.catalog().unwrap().version < 2 {
            synchronize().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(2), served)
        .await
        .expect("the catalog should be read soon after the store serves it");
}

/// A fleet starts before an operator has written the first catalog, so no instance is ready. An
/// instance that has found no catalog keeps others synchronized too; otherwise each one would
/// watch the store itself, with tens of calls, until the catalog appears. Its proof that there is
/// no catalog counts from its own read.
#[test]
fn instance_without_a_catalog_keeps_others_synchronized() {
    let empty = || {
        let instance = Dispatcher::new(settings(), dialect());
        instance.record_listing(revision(10));
        instance.record_orders_revision(revision(10));
        instance.mark_listed();
        instance.record_store_call(true);
        instance
    };
    let (watcher, other) = (empty(), empty());
    let read = clock::now();
    watcher.renew(read, Proof::Read);
    std::thread::sleep(Duration::from_millis(20));
    let reply = watcher.reply(other.question(), 60).unwrap();
    assert_eq!(reply.catalog, 0);
    assert!(reply.proof_age >= Duration::from_millis(20));
    for (name, port) in [("a", 7), ("b", 8)] {
        let update = Status { in_touch: true, time_to_next: Duration::from_millis(250), ..Status::default() };
        other.update_peer(name, ([127, 0, 0, 7], port).into(), update);
    }
    other.apply_reply(clock::now(), reply);
    assert!(!other.is_ready() && !other.is_behind());
    assert!(other.watcher_to_ask(0).is_some() || !other.is_synchronized());
}

/// Instances that are leaving keep no others synchronized, because they stop within seconds.
#[test]
fn leaving_instance_is_not_asked() {
    let instance = instance_with_catalog(1);
    let update =
        |phase| Status { phase, in_touch: true, time_to_next: Duration::from_millis(250), ..Status::default() };
    instance.update_peer("a", ([127, 0, 0, 7], 7).into(), update(Phase::Leaving));
    assert_eq!(instance.watcher_to_ask(0), None);
    instance.update_peer("b", ([127, 0, 0, 7], 8).into(), update(Phase::Starting));
    assert_eq!(instance.watcher_to_ask(0), Some(([127, 0, 0, 7], 8).into()));
}

/// Many instances start at once. Each finds some of the others in the store and is found by
/// others. An instance found in the store is sent news messages at once, until one arrives from
/// it; an instance that sends its first one gets one in return.
#[test]
fn new_instances_are_sent_status_updates_at_once() {
    let instance = instance_with_catalog(1);
    let (found, heard) = (([127, 0, 0, 7], 7).into(), ([127, 0, 0, 7], 8).into());
    instance.discover_peer("found", found);
    assert_eq!(instance.take_extra_recipients(), [found]);
    let update = || Status { time_to_next: Duration::from_millis(250), ..Status::default() };
    instance.update_peer("heard", heard, update());
    assert_eq!(instance.take_extra_recipients(), [heard, found]);
    instance.update_peer("heard", heard, update());
    instance.update_peer("found", found, update());
    assert_eq!(instance.take_extra_recipients(), [found]);
    assert!(instance.take_extra_recipients().is_empty());
}

/// Delivers replies of two instances that watch the store, with the times for which they say the
/// store has been silent, and checks whether this instance still counts as synchronized.
fn check_proof_ages(silences_ms: &[u64], is_synchronized: bool) {
    let (watcher, instance) = (instance_with_catalog(1), instance_with_catalog(1));
    let update = || Status {
        start: 1,
        phase: Phase::Ready,
        in_touch: true,
        time_to_next: Duration::from_millis(250),
        ..Status::default()
    };
    for (name, port) in [("a", 7), ("b", 8)] {
        instance.update_peer(name, ([127, 0, 0, 7], port).into(), update());
    }
    for silence in silences_ms {
        watcher.renew(clock::now(), Proof::Read);
        let reply = watcher.reply(instance.question(), 60).unwrap();
        let silence = Duration::from_millis(*silence);
        instance.apply_reply(clock::now(), Reply { proof_age: silence, silence, ..reply });
    }
    assert_eq!(instance.is_synchronized(), is_synchronized);
}

macro_rules! proof_ages {
    ($($name:ident: $silences_ms:expr => $is_synchronized:expr;)*) => { $(#[test] fn $name() { check_proof_ages($silences_ms, $is_synchronized); })* };
}

// Both instances that watch the store are cut off from it and still reach this one. They go on
// proving the old catalog, with proofs that grow older, while the operator removes a route: the
// route must not be served for longer than the operator allows.
proof_ages! {
    renewed_proofs_keep_an_instance_synchronized: &[300, 1_000, 700, 1_300] => true;
    one_old_proof_does_not_end_synchronization: &[300, 1_500, 200, 1_500] => true;
    two_old_proofs_in_a_row_end_synchronization: &[300, 1_500, 1_500] => false;
    renewed_proof_restores_synchronization: &[300, 1_500, 1_500, 200] => true;
}

/// The proof of the first instance is too old: the next question goes to the other one.
#[test]
fn instance_with_an_old_proof_is_not_asked_next() {
    let (watcher, instance) = (instance_with_catalog(1), instance_with_catalog(1));
    let update = || Status {
        start: 1,
        phase: Phase::Ready,
        in_touch: true,
        time_to_next: Duration::from_millis(250),
        ..Status::default()
    };
    for (name, port) in [("a", 7), ("b", 8)] {
        instance.update_peer(name, ([127, 0, 0, 7], port).into(), update());
    }
    watcher.renew(clock::now(), Proof::Read);
    let first = instance.watcher_to_ask(0).unwrap();
    let reply = watcher.reply(instance.question(), 60).unwrap();
    let silence = Duration::from_millis(1_500);
    instance.apply_reply(clock::now(), Reply { proof_age: silence, silence, ..reply });
    assert_ne!(instance.watcher_to_ask(0).unwrap(), first);
}

/// Checks that callers receive the addresses of `fronts` instances when `lost` of the other four
/// instances have lost the store.
fn check_fronts(lost: u16, fronts: usize) {
    let here = instance_with_catalog(1);
    here.renew(clock::now(), Proof::Read);
    here.record_store_call(true);
    for number in 0..4_u16 {
        let update = Status {
            front: Some(([127, 0, 0, 9], 80 + number).into()),
            phase: Phase::Ready,
            fresh: true,
            in_touch: number >= lost,
            time_to_next: Duration::from_mins(1),
            ..Status::default()
        };
        here.update_peer(&format!("i{number}"), ([127, 0, 0, 9], 7 + number).into(), update);
    }
    assert_eq!(here.caller_addresses(&Caller::default()).len(), fronts);
}

/// Callers must not be sent to instances that depend on the proofs of others while most instances
/// can reach the store themselves.
#[test]
fn instances_that_lost_the_store_are_left_out() {
    check_fronts(2, 3);
}

/// Most instances have lost the store. If they were left out, the remaining ones could not carry
/// the load of all callers.
#[test]
fn majority_that_lost_the_store_is_not_left_out() {
    check_fronts(3, 5);
}

/// The store is down, and the instances that watch it report that. The other instances of a large
/// fleet must not all call it then: for each kind of record, six times in the first second, these
/// would be some five thousand calls, each rejected and each paid for.
#[tokio::test]
async fn lost_store_is_polled_by_few_instances() {
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[]).await;
    let (instance, watcher) = (site.relay.dispatcher(), instance_with_catalog(1));
    let update =
        || Status { cores: Cores(400), in_touch: true, time_to_next: Duration::from_mins(1), ..Status::default() };
    for (name, port) in [("a", 7), ("b", 8)] {
        instance.update_peer(name, ([127, 0, 0, 7], port).into(), update());
    }
    let reply = || {
        watcher.renew(clock::now(), Proof::Read);
        watcher.reply(instance.question(), 60).unwrap()
    };
    for _ in 0..10 {
        instance.apply_reply(clock::now(), reply());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(instance.is_synchronized());
    site.store.change(|contents| contents.refuses = true);
    let before = site.store.latest_reads.load(Ordering::Relaxed);
    let silence = Duration::from_secs(2);
    for _ in 0..2 {
        instance.apply_reply(clock::now(), Reply { silence, ..reply() });
    }
    assert!(!instance.is_synchronized());
    tokio::time::sleep(Duration::from_millis(1_900)).await;
    let listings = site.store.latest_reads.load(Ordering::Relaxed) - before;
    assert!(listings <= 2, "{listings} listings");
}
