//! Requests that crash every endpoint that begins to run them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use relay::{
    catalog::{Kind, Route},
    desk::{Desk, fleet::Job},
    source::Refused,
};
use route::relay::content::Content;

use crate::{
    caller,
    notices::prompt,
    server::{Act, END, Server, event, stream_head, whole},
    site::{Kept, Site, catalog, dialect, endpoint, laddered, route, settings},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// Word in a body that makes endpoints crash.
const DEADLY: &str = "deadly";

/// Most endpoints that may crash under one request: three until it is quarantined, and three to
/// which it is sent while instances learn of that.
const MOST: usize = 6;

/// Starts endpoints that crash on a deadly request after writing `partial`, and perform
/// `otherwise` for all others.
async fn endpoints(count: usize, begun: &str, sound: Act) -> Vec<Server> {
    let mut servers = Vec::new();
    for _ in 0..count {
        servers.push(Server::open(vec![Act::CrashOn(DEADLY, begun.to_owned(), Box::new(sound.clone()))]).await);
    }
    servers
}

fn kept(routes: Vec<Route>, servers: &[Server]) -> Kept {
    let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address));
    Kept { catalog: Some(catalog(1, routes)), endpoints: endpoints.collect(), ..Kept::default() }
}

/// Starts instances and waits until each knows all others.
async fn instances(names: &[&str], kept: &Kept) -> Vec<Site> {
    let mut sites: Vec<Site> = Vec::new();
    for name in names {
        sites.push(joining(name, kept, &sites).await);
    }
    for site in &sites {
        while site.relay.desk().members() < sites.len() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    sites
}

/// Starts an instance that knows the addresses of others.
async fn joining(name: &str, kept: &Kept, others: &[Site]) -> Site {
    let seeds: Vec<SocketAddr> = others.iter().map(|site| site.relay.desk().settings.listeners.news).collect();
    Site::open_with(kept.clone(), |settings| {
        settings.instance = name.into();
        settings.seeds = seeds;
    })
    .await
}

/// Returns the number of deadly requests that endpoints have received.
fn reached(servers: &[Server]) -> usize {
    servers.iter().flat_map(Server::seen).filter(|request| request.contains(DEADLY)).count()
}

async fn call(site: &Site, path: &str, body: &str) -> caller::Got {
    caller::call(site.front(), "POST", path, "", body).await
}

fn sound_stream() -> Act {
    Act::Write(stream_head(90) + &event(1) + END)
}

/// A caller repeats a request that crashes endpoints. Each repeat took down three more of them,
/// along with everything they ran, until none was left.
#[tokio::test]
async fn request_that_crashes_endpoints_is_refused() {
    let servers = endpoints(12, &(stream_head(90) + &event(1)), sound_stream()).await;
    let site = Site::open_with(kept(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    for _ in 0..6 {
        call(&site, "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(reached(&servers) <= MOST, "sent {} times", reached(&servers));
    let refused = call(&site, "/s/x", DEADLY).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let after: f64 = refused.header("retry-after").expect("it says when").parse().unwrap();
    assert!(after > 60.0, "{after}");
    // Other requests on the same path are served.
    assert_eq!(call(&site, "/s/x", "harmless").await.status, 200);
}

/// The caller repeats the request at other instances, which had not seen it and forwarded it.
#[tokio::test]
async fn request_that_crashes_endpoints_is_refused_by_all_instances() {
    let servers = endpoints(20, &(stream_head(90) + &event(1)), sound_stream()).await;
    let sites = instances(&["here", "there", "elsewhere"], &kept(vec![route("/s/", RESUMABLE)], &servers)).await;
    for turn in 0..6 {
        call(&sites[turn % sites.len()], "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(reached(&servers) <= MOST, "sent {} times", reached(&servers));
    for site in &sites {
        assert_eq!(call(site, "/s/x", DEADLY).await.status, 503);
        assert_eq!(call(site, "/s/x", "harmless").await.status, 200);
    }
}

/// An instance starts after the request was quarantined. It only learned of that by three more
/// crashes.
#[tokio::test]
async fn instance_that_starts_later_refuses_it_too() {
    let servers = endpoints(20, &(stream_head(90) + &event(1)), sound_stream()).await;
    let kept = kept(vec![route("/s/", RESUMABLE)], &servers);
    let mut sites = instances(&["here", "there"], &kept).await;
    for _ in 0..2 {
        call(&sites[0], "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = reached(&servers);
    sites.push(joining("late", &kept, &sites).await);
    while sites[2].relay.desk().members() < 3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&sites[2], "/s/x", DEADLY).await.status, 503);
    assert_eq!(reached(&servers), before);
}

/// All instances crash at once and restart. They had no record of the request, and only learned
/// of it by three more crashes.
#[tokio::test]
async fn refusal_outlives_all_instances() {
    let servers = endpoints(20, &(stream_head(90) + &event(1)), sound_stream()).await;
    let lost = Site::open_with(kept(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    for _ in 0..2 {
        call(&lost, "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = reached(&servers);
    let store = Arc::clone(&lost.store);
    drop(lost);
    let site = Site::open_on(store, settings()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&site, "/s/x", DEADLY).await.status, 503);
    assert_eq!(reached(&servers), before);
}

/// The store refuses calls while a request is being quarantined. The record has to be written
/// later, because all instances may be lost afterwards.
#[tokio::test]
async fn refusal_is_written_once_the_store_is_back() {
    let servers = endpoints(20, &(stream_head(90) + &event(1)), sound_stream()).await;
    let site = Site::open_with(kept(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    site.store.change(|kept| kept.refuses = true);
    for _ in 0..2 {
        call(&site, "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(site.store.refused().is_empty());
    site.store.change(|kept| kept.refuses = false);
    while site.store.refused().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// An expired record quarantines nothing, and is deleted from the store.
#[tokio::test]
async fn lapsed_refusal_is_taken_back() {
    let refused = Refused { content: Content { team: 1, work: 2 }, since: 1_000 };
    let kept = Kept { refused: vec![refused], ..kept(vec![route("/s/", RESUMABLE)], &[]) };
    let site = Site::open_with(kept, |_| {}).await;
    while !site.store.refused().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(site.relay.desk().quarantined(refused.content), None);
}

/// Half of the endpoints crash at once while they run many identical requests, which did not
/// cause it. If that request were quarantined, no caller would get it served for minutes.
#[tokio::test]
async fn popular_request_is_served_after_a_mass_crash() {
    let slow: Vec<String> =
        std::iter::once(stream_head(90)).chain((1..=6).map(event)).chain([END.to_owned()]).collect();
    let servers = endpoints(8, "", Act::Slowly(slow)).await;
    let sites = instances(&["here", "there"], &kept(vec![route("/s/", RESUMABLE)], &servers)).await;
    for site in &sites {
        assert_eq!(call(site, "/s/x", "popular").await.status, 200);
    }
    let crowd: Vec<_> = (0..64)
        .map(|turn| {
            let front = sites[turn % 2].front();
            tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "popular").await })
        })
        .collect();
    while servers.iter().any(|server| server.seen().len() < 4) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Sent to the endpoints directly, so that the relay suspects no other request.
    let deadly = caller::request("POST", "/s/x", "", DEADLY);
    futures::future::join_all(servers[..4].iter().map(|server| caller::send(server.address, &deadly))).await;
    for call in crowd {
        let got = call.await.unwrap();
        assert!(got.complete, "{got:?}");
    }
    for site in &sites {
        let got = call(site, "/s/x", "popular").await;
        assert_eq!(got.status, 200, "{got:?}");
    }
}

/// The answers of two models to a request were dropped in favour of a larger model's, and its
/// three endpoints are among many that crash at the same moment. The request did not cause that,
/// but was quarantined for minutes.
#[tokio::test]
async fn endpoints_that_crash_together_are_one_crash_to_their_unfinished_runs() {
    let desk = Desk::new(settings(), dialect());
    desk.install(catalog(1, vec![route("/s/", RESUMABLE)]));
    for id in 0..3 {
        desk.enlist(endpoint(&format!("e{id}"), ([127, 0, 0, 1], 9 + id).into()));
    }
    let content = Content { team: 1, work: 2 };
    let mut keys = Vec::new();
    for _ in 0..3 {
        let mut run = desk.place(&Job { tried: &keys, ..prompt(None, 100) }).expect("an endpoint");
        run.sent(content);
        keys.push(run.key);
    }
    for key in &keys {
        desk.note_crash(*key);
    }
    assert!(desk.suspects(content));
    assert_eq!(desk.quarantined(content), None);
}

/// A non-idempotent request crashes its endpoint before any response. The relay may not retry
/// it, so each attempt of its callers crashes one more endpoint.
#[tokio::test]
async fn call_that_crashes_endpoints_is_refused() {
    let servers = endpoints(12, "", Act::Write(whole("ok"))).await;
    let sites = instances(&["here", "there"], &kept(vec![route("/a/", Kind::NonIdempotent)], &servers)).await;
    for turn in 0..10 {
        call(&sites[turn % 2], "/a/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(reached(&servers) <= MOST, "sent {} times", reached(&servers));
    assert_eq!(call(&sites[0], "/a/x", DEADLY).await.status, 503);
    assert_eq!(call(&sites[1], "/a/x", "sheet").await.status, 200);
}

/// An answer is dropped in favour of a larger model's, and its endpoint crashes right after
/// that: the relay has closed the connection by then and does not see it break.
#[tokio::test]
async fn crash_after_an_answer_was_dropped_counts() {
    let servers = endpoints(20, &(stream_head(10) + &event(1)), sound_stream()).await;
    let site = Site::open_with(kept(vec![laddered("/s/")], &servers), |_| {}).await;
    let prompt = "X-Tokens: 100,10\r\nX-Model: *\r\nX-Parts: a:50,b:50\r\n";
    for _ in 0..6 {
        caller::call(site.front(), "POST", "/s/x", prompt, DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(reached(&servers) <= MOST, "sent {} times", reached(&servers));
}

/// Connections break repeatedly under a request while the endpoints stay alive. The fault is in
/// the network or the endpoints, so the request is still forwarded.
#[tokio::test]
async fn broken_connections_to_living_endpoints_count_for_nothing() {
    let torn = Act::Reset(stream_head(90) + &event(1));
    let mut servers = Vec::new();
    for _ in 0..4 {
        servers.push(Server::open(vec![torn.clone(), torn.clone(), torn.clone(), sound_stream()]).await);
    }
    let site = Site::open_with(kept(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    for _ in 0..5 {
        let got = call(&site, "/s/x", "prompt").await;
        assert_eq!(got.status, 200, "{got:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Requests that run beside the deadly one lose their endpoints as often as it does. In between
/// they complete, which shows that they do not crash endpoints.
#[tokio::test]
async fn request_that_ends_well_in_between_is_served_on() {
    let begun = stream_head(90) + &event(1);
    let slow = std::iter::once(begun.clone()).chain((2..=12).map(event)).chain([END.to_owned()]).collect();
    let servers = endpoints(4, &begun, Act::Slowly(slow)).await;
    let sound = Server::open(vec![sound_stream()]).await;
    let site = Site::open_with(kept(vec![route("/s/", RESUMABLE)], &servers[..1]), |_| {}).await;
    for (turn, server) in servers.iter().enumerate() {
        list_only(&site, endpoint(&format!("e{turn}"), server.address)).await;
        let front = site.front();
        let beside = tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "beside").await });
        while !server.seen().iter().any(|request| request.contains("beside")) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        call(&site, "/s/x", &format!("{DEADLY} {turn}")).await;
        list_only(&site, endpoint(&format!("sound{turn}"), sound.address)).await;
        beside.await.unwrap();
        let got = call(&site, "/s/x", "beside").await;
        assert_eq!(got.status, 200, "after {turn} crashes: {got:?}");
    }
}

async fn list_only(site: &Site, only: relay::source::Endpoint) {
    let id = only.id.clone();
    site.store.change(|kept| kept.endpoints = vec![only]);
    while site.relay.desk().enlisted() != [id.as_str()] {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
