//! Requests that crash every endpoint that begins to run them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use relay::{
    catalog::{Kind, Route},
    dispatcher::{Dispatcher, fleet::Job},
    source::Refused,
};
use route::relay::content::Content;

use crate::{
    caller,
    notices::prompt_job,
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{Site, StoreContents, cascade_route, catalog, dialect, endpoint, route, settings},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// Word in a body that makes endpoints crash.
pub const DEADLY: &str = "deadly";

/// Most endpoints that may crash under one request: three until it is quarantined, and three to
/// which it is sent while instances learn of that.
const MAX_CRASHES: usize = 6;

/// Starts endpoints that crash on a deadly request after writing `partial`, and perform
/// `otherwise` for all others.
pub async fn start_endpoints(count: usize, partial: &str, otherwise: Action) -> Vec<Server> {
    let mut servers = Vec::new();
    for _ in 0..count {
        servers
            .push(Server::start(vec![Action::CrashOn(DEADLY, partial.to_owned(), Box::new(otherwise.clone()))]).await);
    }
    servers
}

pub fn store_contents(routes: Vec<Route>, servers: &[Server]) -> StoreContents {
    let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address));
    StoreContents { catalog: Some(catalog(1, routes)), endpoints: endpoints.collect(), ..StoreContents::default() }
}

/// Starts instances and waits until each knows all others.
pub async fn start_instances(names: &[&str], contents: &StoreContents) -> Vec<Site> {
    let mut sites: Vec<Site> = Vec::new();
    for name in names {
        sites.push(start_instance(name, contents, &sites).await);
    }
    for site in &sites {
        while site.relay.dispatcher().live_instance_count() < sites.len() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    sites
}

/// Starts an instance that knows the addresses of others.
async fn start_instance(name: &str, contents: &StoreContents, others: &[Site]) -> Site {
    let seeds: Vec<SocketAddr> = others.iter().map(|site| site.relay.dispatcher().settings.listeners.news).collect();
    Site::start_with(contents.clone(), |settings| {
        settings.instance = name.into();
        settings.seeds = seeds;
    })
    .await
}

/// Returns the number of deadly requests that endpoints have received.
pub fn deadly_request_count(servers: &[Server]) -> usize {
    servers.iter().flat_map(Server::requests).filter(|request| request.contains(DEADLY)).count()
}

async fn call(site: &Site, path: &str, body: &str) -> caller::Response {
    caller::call(site.front(), "POST", path, "", body).await
}

pub fn complete_stream() -> Action {
    Action::Write(stream_head(90) + &event(1) + LAST_CHUNK)
}

/// A caller repeats a request that crashes endpoints. Unless it is refused, each repeat crashes
/// three more of them, along with everything they run, until none is left.
#[tokio::test]
async fn request_that_crashes_endpoints_is_refused() {
    let servers = start_endpoints(12, &(stream_head(90) + &event(1)), complete_stream()).await;
    let site = Site::start_with(store_contents(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    for _ in 0..6 {
        call(&site, "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        deadly_request_count(&servers) <= MAX_CRASHES,
        "deadly request sent {} times",
        deadly_request_count(&servers)
    );
    let refused = call(&site, "/s/x", DEADLY).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let after: f64 =
        refused.header("retry-after").expect("the response should have a retry-after header").parse().unwrap();
    assert!(after > 60.0, "{after}");
    // Other requests on the same path are served.
    assert_eq!(call(&site, "/s/x", "harmless").await.status, 200);
}

/// The caller repeats the request at other instances, which have not forwarded it before.
#[tokio::test]
async fn request_that_crashes_endpoints_is_refused_by_all_instances() {
    let servers = start_endpoints(20, &(stream_head(90) + &event(1)), complete_stream()).await;
    let sites =
        start_instances(&["here", "there", "elsewhere"], &store_contents(vec![route("/s/", RESUMABLE)], &servers))
            .await;
    for turn in 0..6 {
        call(&sites[turn % sites.len()], "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        deadly_request_count(&servers) <= MAX_CRASHES,
        "deadly request sent {} times",
        deadly_request_count(&servers)
    );
    for site in &sites {
        assert_eq!(call(site, "/s/x", DEADLY).await.status, 503);
        assert_eq!(call(site, "/s/x", "harmless").await.status, 200);
    }
}

/// An instance starts after the request was quarantined. It has to be notified of that, and not
/// find out by three more crashes.
#[tokio::test]
async fn instance_that_starts_later_refuses_a_quarantined_request() {
    let servers = start_endpoints(20, &(stream_head(90) + &event(1)), complete_stream()).await;
    let contents = store_contents(vec![route("/s/", RESUMABLE)], &servers);
    let mut sites = start_instances(&["here", "there"], &contents).await;
    for _ in 0..2 {
        call(&sites[0], "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = deadly_request_count(&servers);
    sites.push(start_instance("late", &contents, &sites).await);
    while sites[2].relay.dispatcher().live_instance_count() < 3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&sites[2], "/s/x", DEADLY).await.status, 503);
    assert_eq!(deadly_request_count(&servers), before);
}

/// All instances crash at once and restart. They have to read the quarantine from the store, and
/// not find out by three more crashes.
#[tokio::test]
async fn quarantine_survives_the_restart_of_all_instances() {
    let servers = start_endpoints(20, &(stream_head(90) + &event(1)), complete_stream()).await;
    let first_site = Site::start_with(store_contents(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    for _ in 0..2 {
        call(&first_site, "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = deadly_request_count(&servers);
    let store = Arc::clone(&first_site.store);
    drop(first_site);
    let site = Site::start_on(store, settings()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&site, "/s/x", DEADLY).await.status, 503);
    assert_eq!(deadly_request_count(&servers), before);
}

/// The store rejects calls while a request is being quarantined. The record has to be written
/// later, because all instances may be lost afterwards.
#[tokio::test]
async fn quarantine_is_written_once_the_store_accepts_writes() {
    let servers = start_endpoints(20, &(stream_head(90) + &event(1)), complete_stream()).await;
    let site = Site::start_with(store_contents(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    site.store.change(|contents| contents.refuses = true);
    for _ in 0..2 {
        call(&site, "/s/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(site.store.refused().is_empty());
    site.store.change(|contents| contents.refuses = false);
    while site.store.refused().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// An expired record quarantines nothing, and is deleted from the store.
#[tokio::test]
async fn expired_quarantine_record_is_deleted() {
    let refused = Refused { content: Content { team: 1, work: 2 }, since: 1_000 };
    let contents = StoreContents { refused: vec![refused], ..store_contents(vec![route("/s/", RESUMABLE)], &[]) };
    let site = Site::start_with(contents, |_| {}).await;
    while !site.store.refused().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(site.relay.dispatcher().remaining_quarantine(&refused.content.into()), None);
}

/// Half of the endpoints crash at once while they run many identical requests, which did not
/// cause it. If that request were quarantined, no caller would get it served for minutes.
#[tokio::test]
async fn popular_request_is_served_after_a_mass_crash() {
    let slow: Vec<String> =
        std::iter::once(stream_head(90)).chain((1..=6).map(event)).chain([LAST_CHUNK.to_owned()]).collect();
    let servers = start_endpoints(8, "", Action::WriteSlowly(slow)).await;
    let sites = start_instances(&["here", "there"], &store_contents(vec![route("/s/", RESUMABLE)], &servers)).await;
    for site in &sites {
        assert_eq!(call(site, "/s/x", "popular").await.status, 200);
    }
    let calls: Vec<_> = (0..64)
        .map(|turn| {
            let front = sites[turn % 2].front();
            tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "popular").await })
        })
        .collect();
    while servers.iter().any(|server| server.requests().len() < 4) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Sent to the endpoints directly, so that the relay suspects no other request.
    let deadly = caller::request("POST", "/s/x", "", DEADLY);
    futures::future::join_all(servers[..4].iter().map(|server| caller::send(server.address, &deadly))).await;
    for call in calls {
        let response = call.await.unwrap();
        assert!(response.complete, "{response:?}");
    }
    for site in &sites {
        let response = call(site, "/s/x", "popular").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Two answers to a request were dropped in favour of a larger model's, and its three endpoints
/// are among many that crash at the same moment. The request did not cause that and must not be
/// quarantined.
#[tokio::test]
async fn endpoints_that_crash_together_count_as_one_crash_of_their_unfinished_request() {
    let instance = Dispatcher::new(settings(), dialect());
    instance.install(catalog(1, vec![route("/s/", RESUMABLE)]));
    for id in 0..3 {
        instance.register_endpoint(endpoint(&format!("e{id}"), ([127, 0, 0, 1], 9 + id).into()));
    }
    let content = Content { team: 1, work: 2 };
    let mut keys = Vec::new();
    for _ in 0..3 {
        let mut run =
            instance.place(&Job { tried: &keys, ..prompt_job(None, 100) }).expect("an endpoint should take the job");
        run.mark_sent(content.into());
        keys.push(run.key);
    }
    for key in &keys {
        instance.record_crash(*key);
    }
    assert!(instance.is_suspect(&content.into()));
    assert_eq!(instance.remaining_quarantine(&content.into()), None);
}

/// A non-idempotent request crashes its endpoint before any response. The relay may not retry
/// it, so each attempt of its callers crashes one more endpoint.
#[tokio::test]
async fn non_idempotent_request_that_crashes_endpoints_is_refused() {
    let servers = start_endpoints(12, "", Action::Write(ok_response("ok"))).await;
    let sites =
        start_instances(&["here", "there"], &store_contents(vec![route("/a/", Kind::NonIdempotent)], &servers)).await;
    for turn in 0..10 {
        call(&sites[turn % 2], "/a/x", DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        deadly_request_count(&servers) <= MAX_CRASHES,
        "deadly request sent {} times",
        deadly_request_count(&servers)
    );
    assert_eq!(call(&sites[0], "/a/x", DEADLY).await.status, 503);
    assert_eq!(call(&sites[1], "/a/x", "sheet").await.status, 200);
}

/// An answer is dropped in favour of a larger model's, and its endpoint crashes right after
/// that: the relay has closed the connection by then and does not see it break.
#[tokio::test]
async fn crash_after_an_answer_was_dropped_counts() {
    let servers = start_endpoints(20, &(stream_head(10) + &event(1)), complete_stream()).await;
    let site = Site::start_with(store_contents(vec![cascade_route("/s/")], &servers), |_| {}).await;
    let headers = "X-Tokens: 100,10\r\nX-Model: *\r\nX-Parts: a:50,b:50\r\n";
    for _ in 0..6 {
        caller::call(site.front(), "POST", "/s/x", headers, DEADLY).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        deadly_request_count(&servers) <= MAX_CRASHES,
        "deadly request sent {} times",
        deadly_request_count(&servers)
    );
}

/// Connections break repeatedly under a request while the endpoints stay alive. The fault is in
/// the network or the endpoints, so the request is still forwarded.
#[tokio::test]
async fn broken_connections_to_live_endpoints_do_not_count_as_crashes() {
    let reset = Action::Reset(stream_head(90) + &event(1));
    let mut servers = Vec::new();
    for _ in 0..4 {
        servers.push(Server::start(vec![reset.clone(), reset.clone(), reset.clone(), complete_stream()]).await);
    }
    let site = Site::start_with(store_contents(vec![route("/s/", RESUMABLE)], &servers), |_| {}).await;
    for _ in 0..5 {
        let response = call(&site, "/s/x", "prompt").await;
        assert_eq!(response.status, 200, "{response:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Requests that run beside the deadly one lose their endpoints as often as it does. In between
/// they complete, which shows that they do not crash endpoints.
#[tokio::test]
async fn request_that_completes_between_crashes_is_not_quarantined() {
    let partial = stream_head(90) + &event(1);
    let slow = std::iter::once(partial.clone()).chain((2..=12).map(event)).chain([LAST_CHUNK.to_owned()]).collect();
    let servers = start_endpoints(4, &partial, Action::WriteSlowly(slow)).await;
    let healthy = Server::start(vec![complete_stream()]).await;
    let site = Site::start_with(store_contents(vec![route("/s/", RESUMABLE)], &servers[..1]), |_| {}).await;
    for (turn, server) in servers.iter().enumerate() {
        list_only(&site, endpoint(&format!("e{turn}"), server.address)).await;
        let front = site.front();
        let beside = tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "beside").await });
        while !server.requests().iter().any(|request| request.contains("beside")) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        call(&site, "/s/x", &format!("{DEADLY} {turn}")).await;
        list_only(&site, endpoint(&format!("sound{turn}"), healthy.address)).await;
        beside.await.unwrap();
        let response = call(&site, "/s/x", "beside").await;
        assert_eq!(response.status, 200, "after {turn} crashes: {response:?}");
    }
}

async fn list_only(site: &Site, only: relay::source::Endpoint) {
    let id = only.id.clone();
    site.store.change(|contents| contents.endpoints = vec![only]);
    while site.relay.dispatcher().endpoint_names() != [id.as_str()] {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
