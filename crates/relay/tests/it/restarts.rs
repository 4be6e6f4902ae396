//! Endpoints that restart under the same name with no load and an empty cache.

use std::{collections::HashMap, sync::Arc, time::Duration};

use relay::{
    catalog::Kind,
    clock,
    desk::{
        Desk,
        fleet::{Ended, Job, Load, Notice, start_hash},
        peers::Word,
        track::{Change, Reply},
    },
    source::Endpoint,
};
use route::relay::freshness::Proof;

use crate::{
    caller,
    notices::prompt,
    server::{Act, Server, whole},
    site::{Kept, Site, catalog, dialect, endpoint, route, settings},
};

/// Returns the registration of an endpoint that started at `born`, written at `revision` of the
/// store.
fn start(id: &str, port: u16, born: u64, revision: u64) -> Endpoint {
    Endpoint { born: Some(born), revision, ..endpoint(id, ([127, 0, 0, 1], port).into()) }
}

/// Returns an instance that knows the first starts of two endpoints, and another instance.
fn knowing() -> Arc<Desk> {
    let desk = Desk::new(settings(), dialect());
    desk.install(catalog(1, vec![route("/a/", Kind::Idempotent)]));
    desk.enlist(start("e0", 9, 100, 5));
    desk.enlist(start("e1", 10, 100, 6));
    desk.note_listing(10);
    desk.note_orders();
    desk.mark_listed();
    desk.hear("other", ([127, 0, 0, 1], 1).into(), word(HashMap::new()));
    desk
}

fn word(loads: HashMap<u32, Load>) -> Word {
    Word { pause: Duration::from_mins(1), loads, ..Word::default() }
}

/// Returns the distinct endpoints that fifty short prompts are placed on, one after the other.
fn placed(desk: &Arc<Desk>) -> Vec<String> {
    let place = |session| Job { session, own_tokens: 100, ..prompt(None, 10_000) };
    let mut found: Vec<String> =
        (0..50).map(|n| desk.place(&place(n)).expect("an endpoint").endpoint.id.clone()).collect();
    found.sort();
    found.dedup();
    found
}

fn busy(desk: &Arc<Desk>) -> Vec<relay::desk::fleet::Run> {
    (0..40).map(|session| desk.place(&Job { session, ..prompt(None, 10_000) }).expect("an endpoint")).collect()
}

/// An endpoint crashes while it runs forty long prompts, and restarts without load. The earlier
/// runs must not count as its load: it is the endpoint that can take the next request.
#[tokio::test]
async fn restarted_endpoint_has_no_load() {
    let desk = knowing();
    let runs = busy(&desk);
    desk.enlist(start("e0", 9, 200, 20));
    let loads: HashMap<u32, Load> = desk.own_loads().into_iter().collect();
    assert!(!loads.contains_key(&start_hash(&start("e0", 9, 200, 20))));
    assert_eq!(placed(&desk), ["e0"]);
    // The ends of those runs say nothing about the new start either.
    for mut run in runs {
        run.ended(Ended::Unreachable);
    }
    assert_eq!(placed(&desk), ["e0"]);
}

/// The load is that of other instances, whose status update on the earlier start arrives after
/// the new one has registered.
#[tokio::test]
async fn late_news_of_the_earlier_start_is_none_of_the_new_one() {
    let desk = knowing();
    let old = start_hash(&start("e0", 9, 100, 5));
    let load = |hash| HashMap::from([(hash, Load { runs: 40.0, backlog_ms: 9_000.0 })]);
    desk.enlist(start("e0", 9, 200, 20));
    desk.hear("other", ([127, 0, 0, 1], 1).into(), word(load(old)));
    desk.take_notice(Notice { endpoint: old, reading_ms: 9_000.0, part: None });
    let _busy = desk.place(&Job { tried: &[], ..prompt(None, 10_000) });
    assert_eq!(placed(&desk).len(), 1, "one is busy, the other free");
    // A status update on the new start counts.
    let desk = knowing();
    desk.enlist(start("e0", 9, 200, 20));
    desk.hear("other", ([127, 0, 0, 1], 1).into(), word(load(start_hash(&start("e0", 9, 200, 20)))));
    assert_eq!(placed(&desk), ["e1"]);
}

/// A restart empties an endpoint's cache of shared parts: prompts are not sent there for such a
/// part, nor is the part copied from there.
#[tokio::test]
async fn restarted_endpoint_holds_no_parts() {
    let desk = knowing();
    desk.take_notice(Notice { endpoint: start_hash(&start("e0", 9, 100, 5)), reading_ms: 0.0, part: Some(7) });
    let run = desk.place(&prompt(Some(7), 10_000)).expect("an endpoint");
    assert!(run.choice.preferred && run.endpoint.id == "e0");
    drop(run);
    desk.notices().await;
    desk.enlist(start("e0", 9, 200, 20));
    let run = desk.place(&prompt(Some(7), 10_000)).expect("an endpoint");
    assert_eq!(run.source, None);
    // The expected load includes reading the part again.
    let backlog: f64 = desk.own_loads().iter().map(|(_, load)| load.backlog_ms).sum();
    let told: f64 = desk.notices().await.iter().map(|notice| notice.reading_ms).sum();
    let whole = desk.expect_idle(&Job { own_tokens: 15_000, shared_tokens: 0, ..prompt(Some(7), 10_000) });
    assert!(backlog + told > 0.8 * whole, "{backlog} + {told} of {whole}");
}

/// The registration of the earlier start, draining, is read late. The new start is already in
/// use and has to stay so, not draining.
#[tokio::test]
async fn word_of_the_earlier_start_comes_late() {
    let desk = knowing();
    desk.enlist(start("e0", 9, 200, 20));
    desk.enlist(Endpoint { draining: true, ..start("e0", 9, 100, 15) });
    let known = desk.known_endpoints();
    let e0 = known.iter().find(|endpoint| endpoint.id == "e0").expect("it is known");
    assert_eq!((e0.born, e0.draining), (Some(200), false));
}

/// The clock of a server's machine is set back, and the server restarts: the new start looks
/// older than the one before. The store's revision shows the right order.
#[tokio::test]
async fn start_by_a_clock_that_stepped_back_is_a_new_one() {
    let desk = knowing();
    let _runs = busy(&desk);
    desk.enlist(start("e0", 9, 50, 20));
    assert_eq!(placed(&desk), ["e0"]);
}

/// An instance that another one keeps synchronized learns of the restart from a reply, and
/// treats the endpoint as new. A late reply from before the restart must not undo that.
#[tokio::test]
async fn restart_is_told_to_those_kept_in_step() {
    let (watcher, other) = (knowing(), knowing());
    let _runs = busy(&other);
    watcher.renew(clock::now(), Proof::Read);
    watcher.note_changes(20, vec![Change::Known(start("e0", 9, 200, 20))]);
    let asked = other.question();
    let reply = watcher.reply(asked, 60).expect("the watcher knows enough");
    let late = Reply { changes: vec![Change::Gone("e0".into())], revision: 18, ..reply.clone() };
    other.take_reply(clock::now(), reply);
    assert_eq!(placed(&other), ["e0"]);
    other.take_reply(clock::now(), late);
    assert_eq!(placed(&other), ["e0"]);
}

/// A server stops responding with a few requests pending and restarts under its name. The store
/// has compacted its history, so only a listing shows the restart. The server has to get its
/// share of the next requests, though the earlier ones still wait.
#[tokio::test]
async fn restart_is_seen_by_a_listing() {
    let acts = || vec![Act::Write(whole("ok"))];
    let (dark, sound) = (Server::open(vec![Act::Hang(String::new())]).await, Server::open(acts()).await);
    let first = Endpoint { born: Some(100), revision: 1, ..endpoint("e0", dark.address) };
    let kept = Kept {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![first.clone(), endpoint("e1", sound.address)],
        ..Kept::default()
    };
    let site = Site::open_with(kept, |_| {}).await;
    let front = site.front();
    let hung: Vec<_> =
        (0..8).map(|_| tokio::spawn(async move { caller::call(front, "GET", "/a/x", "", "").await })).collect();
    while dark.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let again = Server::open(acts()).await;
    let second = Endpoint { address: again.address, born: Some(200), revision: 9, ..first };
    site.store.change(|kept| kept.endpoints[0] = second);
    let knows = || site.relay.desk().known_endpoints().iter().any(|endpoint| endpoint.born == Some(200));
    while !knows() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    for _ in 0..20 {
        assert_eq!(caller::call(front, "GET", "/a/x", "", "").await.status, 200);
    }
    assert!(!again.seen().is_empty());
    hung.iter().for_each(tokio::task::JoinHandle::abort);
}
