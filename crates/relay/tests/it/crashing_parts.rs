//! Requests that crash every endpoint that begins to answer on one part of their prompts.

use std::{sync::Arc, time::Duration};

use relay::catalog::Kind;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle, time::sleep};

use crate::{
    caller::{self, Response},
    crashes::{DEADLY, complete_stream, deadly_request_count, start_endpoints, start_instances, store_contents},
    server::{Action, LAST_CHUNK, Server, event, stream_head},
    site::{Site, cascade_route, route, settings},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// Most requests with a part that may reach endpoints: five that crash them, and three more.
const MAX_DEADLY_REQUESTS: usize = 8;

/// Pause between requests, for instances to find and report a crash.
const PAUSE: Duration = Duration::from_millis(50);

/// Time in which an operator's change takes effect at all instances.
const LIFT_TIME: Duration = Duration::from_secs(8);

/// Time after the fifth crash in which all instances learn of the part.
const LEARNING_TIME: Duration = Duration::from_secs(3);

fn is_cascade(path: &str) -> bool {
    path.starts_with("/cascade/")
}

/// Starts instances before endpoints that crash on the part.
async fn start(names: &[&str], endpoints: usize, sound: Action) -> (Vec<Site>, Vec<Server>) {
    let servers = start_endpoints(endpoints, &(stream_head(10) + &event(1)), sound).await;
    let routes = vec![route("/stream/", RESUMABLE), cascade_route("/cascade/")];
    (start_instances(names, &store_contents(routes, &servers)).await, servers)
}

/// Sends a request whose prompt has the given parts and then one of its own.
async fn call(site: &Site, path: &str, shared: &str, number: usize) -> Response {
    let model = if is_cascade(path) { "X-Model: *\r\n" } else { "" };
    let headers = format!("X-Tokens: 100,10\r\n{model}X-Parts: {shared},own{number}:30\r\n");
    caller::call(site.front(), "POST", path, &headers, &format!("prompt {number}")).await
}

/// A series of requests with the part that crashes endpoints.
struct Series {
    names: &'static [&'static str],
    path: &'static str,
    /// Parts of the prompts before the request's own; `?` stands for the part that crashes
    /// endpoints, and for a sound one in other requests.
    prompt: &'static str,
    /// Number of times that each request is sent.
    repeats: usize,
    /// Whether sound requests come between.
    has_sound: bool,
    /// Whether endpoints crash for other reasons between.
    has_other_crashes: bool,
}

const SERIES: Series = Series {
    names: &["here", "there"],
    path: "/stream/x",
    prompt: "shared:50,?:20",
    repeats: 1,
    has_sound: true,
    has_other_crashes: false,
};

/// Checks that few of many requests with the part reach endpoints, and that sound ones go on
/// being served.
async fn check_refused(series: &Series) {
    let Series { path, .. } = *series;
    let (deadly, sound) = (series.prompt.replace('?', DEADLY), series.prompt.replace('?', "sound"));
    let (sites, servers) = start(series.names, 30, complete_stream()).await;
    let mut other_crashes = 0;
    for turn in 0..12 {
        let site = &sites[turn % sites.len()];
        call(site, path, &deadly, turn / series.repeats).await;
        sleep(PAUSE).await;
        if series.has_other_crashes && turn % 3 == 0 {
            other_crashes += usize::from(crash(&servers[servers.len() - 1 - turn / 3]).await);
        }
        if series.has_sound {
            assert_eq!(call(site, path, &sound, 100 + turn).await.status, 200);
        }
    }
    let count = deadly_request_count(&servers) - other_crashes;
    assert!(count <= MAX_DEADLY_REQUESTS, "{count} requests with the part reached endpoints");
    for (number, site) in sites.iter().enumerate() {
        let refused = call(site, path, &deadly, 200 + number).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        assert_eq!(call(site, path, &sound, 300 + number).await.status, 200);
    }
    assert_eq!(deadly_request_count(&servers) - other_crashes, count);
}

/// Crashes an endpoint by a request of which no instance knows. Returns false if it had crashed
/// before.
async fn crash(server: &Server) -> bool {
    let Ok(mut stream) = TcpStream::connect(server.address).await else { return false };
    stream.write_all(caller::request("POST", "/stream/x", "", DEADLY).as_bytes()).await.unwrap();
    caller::read(&mut stream).await;
    true
}

macro_rules! refused {
    ($($name:ident: $series:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_refused(&$series).await;
        }
    )*};
}

// Requests with a part that crashes endpoints must be refused although no two are alike.
refused! {
    different_requests_with_a_crashing_part_are_refused: Series { names: &["here"], ..SERIES };
    different_requests_with_a_crashing_part_are_refused_by_all_instances:
        Series { names: &["here", "there", "elsewhere"], ..SERIES };
    requests_with_a_crashing_part_are_refused_without_sound_ones_between: Series { has_sound: false, ..SERIES };
    requests_with_a_crashing_part_are_refused_on_a_route_with_models: Series { path: "/cascade/x", ..SERIES };
    requests_that_begin_with_a_crashing_part_are_refused: Series { prompt: "?:20,shared:50", ..SERIES };
    requests_with_a_crashing_part_and_no_other_shared_one_are_refused: Series { prompt: "?:20", ..SERIES };
    requests_with_a_crashing_part_among_many_are_refused:
        Series { prompt: "shared:50,a:10,?:20,b:10,c:10", ..SERIES };
    repeats_of_requests_with_a_crashing_part_are_refused: Series { repeats: 2, ..SERIES };
    requests_with_a_crashing_part_are_refused_although_endpoints_crash_for_other_reasons:
        Series { has_other_crashes: true, ..SERIES };
}

/// All instances are lost at once, and must learn from the store which part crashes endpoints.
#[tokio::test]
async fn quarantine_of_a_part_survives_the_restart_of_all_instances() {
    let (mut sites, servers) = start(&["here"], 20, complete_stream()).await;
    let deadly = SERIES.prompt.replace('?', DEADLY);
    for number in 0..6 {
        call(&sites[0], "/stream/x", &deadly, number).await;
        sleep(PAUSE).await;
    }
    let count = deadly_request_count(&servers);
    let first = sites.remove(0);
    let store = Arc::clone(&first.store);
    drop(first);
    let site = Site::start_on(store, settings()).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&site, "/stream/x", &deadly, 100).await.status, 503);
    assert_eq!(deadly_request_count(&servers), count);
}

/// Sends a request each 40 ms, every fifth with the crashing part, and returns them.
async fn send_mixed(sites: &[Site], duration: Duration, first: usize) -> Vec<JoinHandle<(bool, Response)>> {
    const INTERVAL: Duration = Duration::from_millis(40);
    let mut calls = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < duration {
        let number = first + calls.len();
        let front = sites[number % sites.len()].front();
        calls.push(tokio::spawn(async move {
            let is_deadly = number.is_multiple_of(5);
            let middle = if is_deadly { DEADLY.to_owned() } else { format!("subject{}", number % 30) };
            let headers = format!("X-Tokens: 100,10\r\nX-Parts: shared:50,{middle}:20,own{number}:30\r\n");
            let body = format!("prompt {number}");
            (is_deadly, caller::call(front, "POST", "/stream/x", &headers, &body).await)
        }));
        sleep(INTERVAL).await;
        passed += INTERVAL;
    }
    calls
}

/// Requests with the part come beside many sound ones that share the caller and the other parts,
/// and run at the endpoints that crash. Sound requests must be served, and few with the part sent.
#[tokio::test]
async fn sound_requests_are_served_beside_a_crashing_part() {
    let slow = std::iter::once(stream_head(90)).chain((1..=30).map(event)).chain([LAST_CHUNK.to_owned()]);
    let (sites, servers) = start(&["here", "there", "elsewhere"], 40, Action::WriteSlowly(slow.collect())).await;
    let first = send_mixed(&sites, LEARNING_TIME, 0).await;
    let count = deadly_request_count(&servers);
    let second = send_mixed(&sites, Duration::from_secs(2), first.len()).await;
    let later = deadly_request_count(&servers) - count;
    assert!(later <= 3, "{later} requests with the part reached endpoints, after {count}");
    for call in second {
        let (is_deadly, response) = call.await.unwrap();
        if !is_deadly {
            assert!(response.status == 200 && response.complete, "{response:?}");
        }
    }
}

/// Endpoints crash one by one for reasons of their own, under long streams that all share a part.
/// The part must not be refused.
#[tokio::test]
async fn part_of_all_requests_is_not_refused_when_endpoints_crash_one_by_one() {
    const CRASHES: usize = 12;
    const CRASH_INTERVAL: Duration = Duration::from_millis(200);
    let slow = std::iter::once(stream_head(90)).chain((1..=300).map(event)).chain([LAST_CHUNK.to_owned()]);
    let (sites, servers) = start(&["here", "there", "elsewhere"], 24, Action::WriteSlowly(slow.collect())).await;
    let crashes = async {
        for server in &servers[..CRASHES] {
            sleep(CRASH_INTERVAL).await;
            crash(server).await;
        }
    };
    let send = async {
        let mut calls = Vec::new();
        for number in 0..120 {
            let front = sites[number % sites.len()].front();
            calls.push(tokio::spawn(async move {
                let headers = format!("X-Tokens: 100,10\r\nX-Parts: shared:50,own{number}:30\r\n");
                caller::call(front, "POST", "/stream/x", &headers, &format!("prompt {number}")).await
            }));
            sleep(Duration::from_millis(25)).await;
        }
        calls
    };
    let ((), calls) = tokio::join!(crashes, send);
    let mut refused = 0;
    for call in calls {
        refused += usize::from(call.await.unwrap().status == 503);
    }
    assert_eq!(refused, 0, "requests refused");
}

/// An operator removes a part from the quarantine in the store. All instances must serve requests
/// with it again.
#[tokio::test]
async fn part_that_an_operator_removes_from_the_store_is_served_again() {
    let (sites, _servers) = start(&["here"], 20, complete_stream()).await;
    let deadly = SERIES.prompt.replace('?', DEADLY);
    for number in 0..6 {
        call(&sites[0], "/stream/x", &deadly, number).await;
        sleep(PAUSE).await;
    }
    assert_eq!(call(&sites[0], "/stream/x", &deadly, 100).await.status, 503);
    let late = start_late(&sites[0]).await;
    assert_eq!(call(&late, "/stream/x", &deadly, 101).await.status, 503);
    sites[0].store.change(|contents| contents.refused.clear());
    sleep(LIFT_TIME).await;
    // The part still crashes endpoints, so the answers break off, but they are not refusals.
    assert_eq!(call(&sites[0], "/stream/x", &deadly, 102).await.status, 200);
    let response = call(&late, "/stream/x", &deadly, 103).await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Starts a second instance on the store of a first one, which knows it.
async fn start_late(first: &Site) -> Site {
    let seeds = vec![first.relay.dispatcher().settings.listeners.news];
    let settings = relay::Settings { instance: "late".into(), seeds, ..settings() };
    let late = Site::start_on(Arc::clone(&first.store), settings).await;
    while first.relay.dispatcher().live_instance_count() < 2 {
        sleep(Duration::from_millis(2)).await;
    }
    sleep(Duration::from_millis(300)).await;
    late
}
