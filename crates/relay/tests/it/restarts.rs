//! Endpoints that start again under their name, knowing nothing of before.

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

/// A start of an endpoint, as registered at a revision of the store.
fn start(id: &str, port: u16, born: u64, revision: u64) -> Endpoint {
    Endpoint { born: Some(born), revision, ..endpoint(id, ([127, 0, 0, 1], port).into()) }
}

/// An instance that knows the first starts of two endpoints, and another instance.
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

/// Where fifty short prompts would go, one at a time.
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

/// An endpoint crashes under forty long prompts and is back, empty. The runs of
/// before are none of its load: it is the one that can take the next request.
#[tokio::test]
async fn restarted_endpoint_has_no_load() {
    let desk = knowing();
    let runs = busy(&desk);
    desk.enlist(start("e0", 9, 200, 20));
    let loads: HashMap<u32, Load> = desk.own_loads().into_iter().collect();
    assert!(!loads.contains_key(&start_hash(&start("e0", 9, 200, 20))));
    assert_eq!(placed(&desk), ["e0"]);
    // Their ends say nothing of the new start either.
    for mut run in runs {
        run.ended(Ended::Unreachable);
    }
    assert_eq!(placed(&desk), ["e0"]);
}

/// The same, where the load is other instances' and their news of the earlier
/// start comes late, after the new one has registered.
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
    // News of the new start counts.
    let desk = knowing();
    desk.enlist(start("e0", 9, 200, 20));
    desk.hear("other", ([127, 0, 0, 1], 1).into(), word(load(start_hash(&start("e0", 9, 200, 20)))));
    assert_eq!(placed(&desk), ["e1"]);
}

/// A shared part that an endpoint kept is gone with its start: a prompt is not
/// sent there for it, nor is the part copied from there.
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
    // Reading it again is reckoned with.
    let backlog: f64 = desk.own_loads().iter().map(|(_, load)| load.backlog_ms).sum();
    let told: f64 = desk.notices().await.iter().map(|notice| notice.reading_ms).sum();
    let whole = desk.expect_idle(&Job { own_tokens: 15_000, shared_tokens: 0, ..prompt(Some(7), 10_000) });
    assert!(backlog + told > 0.8 * whole, "{backlog} + {told} of {whole}");
}

/// An old write of the register is seen late: the earlier start, leaving. The
/// new start is in use already and stays so, with its load.
#[tokio::test]
async fn word_of_the_earlier_start_comes_late() {
    let desk = knowing();
    desk.enlist(start("e0", 9, 200, 20));
    desk.enlist(Endpoint { draining: true, ..start("e0", 9, 100, 15) });
    let known = desk.known_endpoints();
    let e0 = known.iter().find(|endpoint| endpoint.id == "e0").expect("it is known");
    assert_eq!((e0.born, e0.draining), (Some(200), false));
}

/// The clock of a server's machine steps back, and the server starts again: its
/// new start looks older than the one before. The register's order tells.
#[tokio::test]
async fn start_by_a_clock_that_stepped_back_is_a_new_one() {
    let desk = knowing();
    let _runs = busy(&desk);
    desk.enlist(start("e0", 9, 50, 20));
    assert_eq!(placed(&desk), ["e0"]);
}

/// An instance in step with another one hears of the restart by its word, and
/// has a new endpoint as well; a word that crossed its own reading of the store
/// brings nothing back.
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

/// A server goes dark under a few requests and is back under its name; the
/// register shows that by a listing alone, since the history is gone. It takes
/// its part of the next requests, though those of before still wait.
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
