//! Instances that another one keeps synchronized, in place of the store.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use relay::{
    catalog::Kind,
    clock,
    desk::{
        Desk,
        fleet::{Job, Load, short_hash},
        peers::{Asking, Phase, Word},
        track::{Change, Question, Reply},
    },
    settings::Cores,
};
use route::relay::freshness::Proof;
use world::hash;

use crate::site::{Kept, SERVICE, Site, catalog, dialect, endpoint, route, settings};

/// Returns an instance that has a catalog and one endpoint, as of revision 10.
pub fn knowing(version: u64) -> Arc<Desk> {
    let desk = Desk::new(settings(), dialect());
    desk.install(catalog(version, vec![route("/a/", Kind::Idempotent)]));
    desk.enlist(endpoint("e0", ([127, 0, 0, 1], 9).into()));
    desk.note_listing(10);
    desk.note_orders();
    desk.mark_listed();
    desk
}

fn known(desk: &Desk) -> Vec<String> {
    let mut names = desk.enlisted();
    names.sort();
    names
}

#[test]
fn changes_since_are_passed_on_in_order() {
    let (watcher, other) = (knowing(1), knowing(1));
    watcher.renew(clock::now(), Proof::Read);
    let e1 = endpoint("e1", ([127, 0, 0, 1], 10).into());
    watcher.note_changes(12, vec![Change::Known(e1), Change::Gone("e0".into())]);
    let reply = watcher.reply(other.question(), 60).unwrap();
    assert!(!reply.gap);
    other.take_reply(clock::now(), reply);
    assert_eq!(known(&other), ["e1"]);
    assert_eq!(other.question(), Question { revision: 12 });
}

/// A listing was in progress when a newer change arrived from another instance: the endpoint
/// that the change added must not be dropped because the listing lacks it, since no later
/// message would add it again.
#[tokio::test]
async fn older_listing_takes_nothing_back() {
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 9).into())],
        ..Kept::default()
    };
    let site = Site::open_with(kept, |_| {}).await;
    let desk = site.relay.desk();
    let newer = Change::Known(endpoint("e1", ([127, 0, 0, 1], 10).into()));
    desk.enlist(endpoint("e1", ([127, 0, 0, 1], 10).into()));
    desk.note_changes(1_000, vec![newer]);
    let reads = || site.store.endpoint_reads.load(Ordering::Relaxed);
    let before = reads();
    site.store.change(|kept| kept.catalog = Some(catalog(2, vec![route("/a/", Kind::Idempotent)])));
    while reads() < before + 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        site.store.change(|_| {});
    }
    assert_eq!(known(desk), ["e0", "e1"]);
}

/// The watcher lists the endpoints again after the store has compacted its history. It has no
/// changes from before the listing, so the other instance has to list as well and must not count
/// as synchronized.
#[test]
fn gap_is_told_and_nothing_is_skipped() {
    let (watcher, other) = (knowing(1), knowing(1));
    watcher.renew(clock::now(), Proof::Read);
    watcher.note_listing(40);
    let reply = watcher.reply(other.question(), 60).unwrap();
    assert!(reply.gap);
    other.take_reply(clock::now(), reply);
    assert_eq!(other.question(), Question { revision: 10 });
}

/// Fifty servers crash at once. Each reply carries the changes that fit a datagram, all those of
/// one revision together, and after the last reply none is missing: the other instance does not
/// have to list.
#[test]
fn many_changes_are_told_in_parts() {
    let (watcher, other) = (knowing(1), knowing(1));
    watcher.renew(clock::now(), Proof::Read);
    let known = |n: u16| Change::Known(endpoint(&format!("n{n:02}"), ([127, 0, 0, 1], 100 + n).into()));
    // Each revision has two changes.
    for n in (0..50).step_by(2) {
        watcher.note_changes(u64::from(20 + n), vec![known(n), known(n + 1)]);
    }
    let mut replies = 0;
    while other.endpoints_revision() < watcher.endpoints_revision() {
        let reply = watcher.reply(other.question(), 15).unwrap();
        assert!(!reply.gap && reply.changes.len() <= 16, "{reply:?}");
        other.take_reply(clock::now(), reply);
        replies += 1;
    }
    assert_eq!((other.enlisted().len(), replies), (51, 4));
}

/// The store compacts its history, and the watcher has to list again. It derives the changes
/// from what it knew before and passes them on; without that, each other instance had to list as
/// well, sixty at once on a large deployment.
#[tokio::test]
async fn relisting_is_told_as_changes() {
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 9).into()), endpoint("e1", ([127, 0, 0, 1], 10).into())],
        ..Kept::default()
    };
    let site = Site::open_with(kept, |_| {}).await;
    let watcher = site.relay.desk();
    let asked = watcher.question();
    site.store.change(|kept| {
        kept.endpoints.remove(0);
        kept.endpoints.push(endpoint("e2", ([127, 0, 0, 1], 11).into()));
    });
    while watcher.endpoints_revision() == asked.revision {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let reply = watcher.reply(asked, 60).unwrap();
    let e2 = Change::Known(endpoint("e2", ([127, 0, 0, 1], 11).into()));
    assert_eq!((reply.gap, reply.changes), (false, vec![Change::Gone("e0".into()), e2]));
    assert_eq!(known(watcher), ["e1", "e2"]);
}

/// An instance loses power. About a second after its last status update, callers are not sent to
/// it any more, and its pending requests no longer count as load.
#[tokio::test]
async fn silent_instance_is_left_out() {
    let here = knowing(1);
    let front = ([127, 0, 0, 9], 80).into();
    let load = Load { runs: 40.0, backlog_ms: 900.0 };
    let word = Word {
        front: Some(front),
        run: 1,
        phase: Phase::Ready,
        fresh: true,
        pause: Duration::from_millis(250),
        loads: HashMap::from([(short_hash("e0"), load)]),
        ..Word::default()
    };
    here.hear("there", ([127, 0, 0, 9], 7).into(), word);
    let job = Job {
        service: SERVICE,
        model: None,
        size: 1.0,
        affinity: None,
        whole: None,
        shared_tokens: 0,
        own_tokens: 0,
        session: 1,
        in_session: false,
        tried: &[],
        version: None,
    };
    let busy_ms = here.expect(&job).unwrap();
    assert!(here.fronts(&Asking::default()).contains(&front));
    assert_eq!(here.members(), 2);

    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert!(!here.fronts(&Asking::default()).contains(&front));
    assert_eq!(here.members(), 1);
    // Loads are recomputed with the next status update from any instance.
    here.hear("else", ([127, 0, 0, 8], 7).into(), Word { pause: Duration::from_millis(250), ..Word::default() });
    assert!(here.expect(&job).unwrap() < busy_ms);
}

/// A key is revoked after the question was sent, and the reply takes long to arrive. The proof
/// counts from the question, so it can only look older than it is.
#[test]
fn proof_counts_from_the_question() {
    let (watcher, other) = (knowing(1), knowing(1));
    let asked = clock::now();
    std::thread::sleep(Duration::from_millis(30));
    watcher.renew(clock::now(), Proof::Read);
    other.take_reply(asked, watcher.reply(other.question(), 60).unwrap());
    assert!(other.keys_age().unwrap() >= Duration::from_millis(30));
}

/// The watcher proves a catalog that the other instance does not have: the older keys of that
/// instance are not proven by it.
#[test]
fn older_catalog_is_not_proven() {
    let (watcher, other) = (knowing(2), knowing(1));
    watcher.renew(clock::now(), Proof::Read);
    other.take_reply(clock::now(), watcher.reply(other.question(), 60).unwrap());
    assert_eq!(other.keys_age(), None);
    assert!(!other.fresh());
}

/// An endpoint's lease expired during an outage of the store, and the endpoint is kept for a
/// while. Meanwhile the instance that keeps this one synchronized reports that the endpoint has
/// registered again. It must not be removed when that time ends, since no later message would
/// add it again.
#[test]
fn lapsed_endpoint_that_another_tells_of_stays() {
    let (watcher, other) = (knowing(1), knowing(1));
    watcher.renew(clock::now(), Proof::Read);
    let lapsed = clock::now();
    std::thread::sleep(Duration::from_millis(1));
    watcher.note_changes(12, vec![Change::Known(endpoint("e0", ([127, 0, 0, 1], 9).into()))]);
    other.take_reply(clock::now(), watcher.reply(other.question(), 60).unwrap());
    assert!(!other.delist_lapsed("e0", lapsed));
    assert_eq!(known(&other), ["e0"]);
    assert!(other.delist_lapsed("e0", clock::now()));
    assert!(known(&other).is_empty());
}

/// A catalog change makes every instance of the fleet read the catalog. Each first takes a
/// listing of any age, which costs the store little; where that shows nothing new, it reads the
/// latest state at once, because the change has to be in force within a time limit.
///
/// `old` is the version that listings of any age show, `reads` the expected numbers of all
/// catalog reads and of those of any age.
async fn check_told_catalog(old: Option<u64>, reads: [usize; 2]) {
    let routes = || vec![route("/a/", Kind::Idempotent)];
    let kept = Kept { catalog: Some(catalog(1, routes())), ..Kept::default() };
    let site = Site::open_with(kept, |_| {}).await;
    let (desk, watcher) = (site.relay.desk(), knowing(2));
    let counts = || [&site.store.catalog_reads, &site.store.old_catalog_reads].map(|n| n.load(Ordering::Relaxed));
    let word = || {
        watcher.renew(clock::now(), Proof::Read);
        desk.take_reply(clock::now(), watcher.reply(Question { revision: 10 }, 60).unwrap());
    };
    // Kept synchronized for as long as one of its own calls to the store may take.
    for _ in 0..10 {
        word();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.store.change(|kept| {
        kept.catalog = Some(catalog(2, routes()));
        kept.old_catalog = old.map(|version| catalog(version, routes()));
    });
    let before = counts();
    while desk.catalog().unwrap().version < 2 {
        word();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let after = counts();
    assert_eq!([after[0] - before[0], after[1] - before[1]], reads);
}

#[tokio::test]
async fn told_catalog_is_read_at_any_age() {
    check_told_catalog(None, [1, 1]).await;
}

#[tokio::test]
async fn told_catalog_that_is_too_old_is_read_anew() {
    check_told_catalog(Some(1), [2, 1]).await;
}

/// The instance that keeps this one synchronized was cut off from the store without a reset: its
/// watch hangs, and for seconds it still proves the catalog that it has. The operator changes
/// the catalog. A third instance has the new one and says so in its status update, which makes
/// this one read it.
#[tokio::test]
async fn newer_catalog_in_anybodys_news_is_read() {
    let routes = || vec![route("/a/", Kind::Idempotent)];
    let kept = Kept { catalog: Some(catalog(1, routes())), ..Kept::default() };
    // The instances with the lowest hashes watch the store, so this one has the highest.
    let mut names = ["a", "b", "c", "d"];
    names.sort_by_key(|name| hash::stable(name.as_bytes()));
    let site = Site::open_with(kept, |settings| settings.instance = names[3].into()).await;
    let (desk, cut_off) = (site.relay.desk(), knowing(1));
    let told = |catalog| Word {
        run: 1,
        phase: Phase::Ready,
        in_touch: true,
        pause: Duration::from_millis(250),
        catalog,
        ..Word::default()
    };
    let lead = || {
        for (name, port) in [(names[0], 7), (names[1], 8)] {
            desk.hear(name, ([127, 0, 0, 7], port).into(), told(1));
        }
        cut_off.renew(clock::now(), Proof::Read);
        desk.take_reply(clock::now(), cut_off.reply(Question { revision: 10 }, 60).unwrap());
    };
    for _ in 0..15 {
        lead();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(desk.led());
    site.store.change(|kept| kept.catalog = Some(catalog(2, routes())));
    for _ in 0..5 {
        lead();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(desk.catalog().unwrap().version, 1);
    desk.hear(names[2], ([127, 0, 0, 7], 9).into(), told(2));
    let read = async {
        while desk.catalog().unwrap().version < 2 {
            lead();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    assert!(tokio::time::timeout(Duration::from_secs(5), read).await.is_ok());
}

/// A watcher that has lost the store keeps no other instance synchronized.
#[test]
fn watcher_without_proof_keeps_nobody_in_step() {
    let (watcher, other) = (knowing(1), knowing(1));
    assert!(watcher.reply(other.question(), 60).is_none());
    watcher.renew(clock::now().saturating_sub(Duration::from_secs(4)), Proof::Read);
    other.take_reply(clock::now(), watcher.reply(other.question(), 60).unwrap());
    assert!(!other.led());
    assert_eq!(other.keys_age(), None);
}

/// The store refuses this instance and serves all others, which go on to announce a newer
/// catalog many times a second. The instance must not react to each announcement with another
/// call that is refused, and has to have the catalog soon after the store serves it again.
#[tokio::test]
async fn refused_reading_of_a_told_catalog_is_not_repeated_at_once() {
    let routes = || vec![route("/a/", Kind::Idempotent)];
    let kept = Kept { catalog: Some(catalog(1, routes())), ..Kept::default() };
    let mut names = ["a", "b", "c"];
    names.sort_by_key(|name| hash::stable(name.as_bytes()));
    let site = Site::open_with(kept, |settings| settings.instance = names[2].into()).await;
    let (desk, watcher) = (site.relay.desk(), knowing(2));
    let lead = async || {
        for (name, port) in [(names[0], 7), (names[1], 8)] {
            let word = Word {
                run: 1,
                phase: Phase::Ready,
                in_touch: true,
                pause: Duration::from_millis(250),
                catalog: 2,
                ..Word::default()
            };
            desk.hear(name, ([127, 0, 0, 7], port).into(), word);
        }
        watcher.renew(clock::now(), Proof::Read);
        desk.take_reply(clock::now(), watcher.reply(Question { revision: 10 }, 60).unwrap());
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    site.store.change(|kept| kept.refuses = true);
    while !desk.led() {
        lead().await;
    }
    let reads = || site.store.catalog_reads.load(Ordering::Relaxed);
    let before = reads();
    for _ in 0..150 {
        lead().await;
    }
    assert!(reads() - before <= 9, "{} calls in three seconds", reads() - before);
    site.store.change(|kept| {
        kept.refuses = false;
        kept.catalog = Some(catalog(2, routes()));
    });
    let served = async {
        while desk.catalog().unwrap().version < 2 {
            lead().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(2), served).await.expect("read once it is served");
}

/// A fleet starts before an operator has written the first catalog. No instance is ready, and
/// each one watched the store itself, with tens of calls, until the catalog appeared. Now an
/// instance that has found no catalog keeps others synchronized too, and its proof that there is
/// none counts from its own read.
#[test]
fn instance_without_a_catalog_keeps_others_in_step() {
    let empty = || {
        let desk = Desk::new(settings(), dialect());
        desk.note_listing(10);
        desk.note_orders();
        desk.mark_listed();
        desk.note_touch(true);
        desk
    };
    let (watcher, other) = (empty(), empty());
    let read = clock::now();
    watcher.renew(read, Proof::Read);
    std::thread::sleep(Duration::from_millis(20));
    let reply = watcher.reply(other.question(), 60).unwrap();
    assert_eq!(reply.catalog, 0);
    assert!(reply.proof_age >= Duration::from_millis(20));
    for (name, port) in [("a", 7), ("b", 8)] {
        let word = Word { in_touch: true, pause: Duration::from_millis(250), ..Word::default() };
        other.hear(name, ([127, 0, 0, 7], port).into(), word);
    }
    other.take_reply(clock::now(), reply);
    assert!(!other.ready() && !other.behind());
    assert!(other.whom_to_ask(0).is_some() || !other.led());
}

/// Instances that are leaving keep no others synchronized: they end within seconds.
#[test]
fn leaving_instance_is_not_asked() {
    let desk = knowing(1);
    let word = |phase| Word { phase, in_touch: true, pause: Duration::from_millis(250), ..Word::default() };
    desk.hear("a", ([127, 0, 0, 7], 7).into(), word(Phase::Leaving));
    assert_eq!(desk.whom_to_ask(0), None);
    desk.hear("b", ([127, 0, 0, 7], 8).into(), word(Phase::Starting));
    assert_eq!(desk.whom_to_ask(0), Some(([127, 0, 0, 7], 8).into()));
}

/// Many instances start at once. Each finds some of the others in the store and is found by
/// others. An instance found in the store is sent status updates at once, until one arrives from
/// it; an instance that sends its first one gets one in return.
#[test]
fn strangers_are_told_before_their_round_comes() {
    let desk = knowing(1);
    let (found, heard) = (([127, 0, 0, 7], 7).into(), ([127, 0, 0, 7], 8).into());
    desk.meet("found", found);
    assert_eq!(desk.strangers(), [found]);
    let word = || Word { pause: Duration::from_millis(250), ..Word::default() };
    desk.hear("heard", heard, word());
    assert_eq!(desk.strangers(), [heard, found]);
    desk.hear("heard", heard, word());
    desk.hear("found", found, word());
    assert_eq!(desk.strangers(), [found]);
    assert!(desk.strangers().is_empty());
}

/// Delivers replies of two instances that watch the store, with the times for which they say the
/// store has been silent, and checks whether this instance still counts as synchronized.
fn check_doubts(silences_ms: &[u64], led: bool) {
    let (watcher, desk) = (knowing(1), knowing(1));
    let word =
        || Word { run: 1, phase: Phase::Ready, in_touch: true, pause: Duration::from_millis(250), ..Word::default() };
    for (name, port) in [("a", 7), ("b", 8)] {
        desk.hear(name, ([127, 0, 0, 7], port).into(), word());
    }
    for silence in silences_ms {
        watcher.renew(clock::now(), Proof::Read);
        let reply = watcher.reply(desk.question(), 60).unwrap();
        let silence = Duration::from_millis(*silence);
        desk.take_reply(clock::now(), Reply { proof_age: silence, silence, ..reply });
    }
    assert_eq!(desk.led(), led);
}

macro_rules! doubts {
    ($($name:ident: $ages:expr => $led:expr;)*) => { $(#[test] fn $name() { check_doubts($ages, $led); })* };
}

// Both instances that watch the store are cut off from it and still reach this one. They go on
// proving the old catalog, with proofs that grow older, while the operator removes a route: the
// route must not be served for longer than the operator allows.
doubts! {
    proofs_that_are_renewed_keep_in_step: &[300, 1_000, 700, 1_300] => true;
    one_old_proof_is_followed_by_a_question_to_another: &[300, 1_500, 200, 1_500] => true;
    two_old_proofs_in_a_row_end_it: &[300, 1_500, 1_500] => false;
    renewed_proof_takes_it_up_again: &[300, 1_500, 1_500, 200] => true;
}

/// The proof of the first instance is too old: the next question goes to the other one.
#[test]
fn doubtful_instance_is_not_asked_next() {
    let (watcher, desk) = (knowing(1), knowing(1));
    let word =
        || Word { run: 1, phase: Phase::Ready, in_touch: true, pause: Duration::from_millis(250), ..Word::default() };
    for (name, port) in [("a", 7), ("b", 8)] {
        desk.hear(name, ([127, 0, 0, 7], port).into(), word());
    }
    watcher.renew(clock::now(), Proof::Read);
    let first = desk.whom_to_ask(0).unwrap();
    let reply = watcher.reply(desk.question(), 60).unwrap();
    let silence = Duration::from_millis(1_500);
    desk.take_reply(clock::now(), Reply { proof_age: silence, silence, ..reply });
    assert_ne!(desk.whom_to_ask(0).unwrap(), first);
}

/// `lost` of the other four instances have lost the store, and callers are told of `fronts`
/// instances in total.
fn check_touch(lost: u16, told: usize) {
    let here = knowing(1);
    here.renew(clock::now(), Proof::Read);
    here.note_touch(true);
    for number in 0..4_u16 {
        let word = Word {
            front: Some(([127, 0, 0, 9], 80 + number).into()),
            phase: Phase::Ready,
            fresh: true,
            in_touch: number >= lost,
            pause: Duration::from_mins(1),
            ..Word::default()
        };
        here.hear(&format!("i{number}"), ([127, 0, 0, 9], 7 + number).into(), word);
    }
    assert_eq!(here.fronts(&Asking::default()).len(), told);
}

/// Callers were sent to instances that depend on the proofs of others, though most instances
/// could reach the store themselves.
#[test]
fn instances_that_lost_the_store_are_left_out() {
    check_touch(2, 3);
}

/// The remaining instances could not carry the load of all callers.
#[test]
fn most_instances_are_not_left_out() {
    check_touch(3, 5);
}

/// The store is down. As soon as the instances that watch it reported that, every instance of a
/// large fleet called it for each kind of record, six times in the first second: some five
/// thousand calls, each refused and each paid for.
#[tokio::test]
async fn lost_store_is_looked_for_by_few() {
    let site = Site::open(vec![route("/a/", Kind::Idempotent)], &[]).await;
    let (desk, watcher) = (site.relay.desk(), knowing(1));
    let word = || Word { cores: Cores(400), in_touch: true, pause: Duration::from_mins(1), ..Word::default() };
    for (name, port) in [("a", 7), ("b", 8)] {
        desk.hear(name, ([127, 0, 0, 7], port).into(), word());
    }
    let reply = || {
        watcher.renew(clock::now(), Proof::Read);
        watcher.reply(desk.question(), 60).unwrap()
    };
    for _ in 0..10 {
        desk.take_reply(clock::now(), reply());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(desk.led());
    site.store.change(|kept| kept.refuses = true);
    let before = site.store.latest_reads.load(Ordering::Relaxed);
    let silence = Duration::from_secs(2);
    for _ in 0..2 {
        desk.take_reply(clock::now(), Reply { silence, ..reply() });
    }
    assert!(!desk.led());
    tokio::time::sleep(Duration::from_millis(1_900)).await;
    let looks = site.store.latest_reads.load(Ordering::Relaxed) - before;
    assert!(looks <= 2, "{looks} looks");
}
