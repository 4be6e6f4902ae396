//! Requests that crash every endpoint that begins to answer on one part of their prompts.

use std::{sync::Arc, time::Duration};

use relay::catalog::Kind;
use tokio::{task::JoinHandle, time::sleep};

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

/// Sends a request with the given part in its prompt, a part that all requests share, and one
/// of its own. The given part is the first one on paths that say so.
async fn call(site: &Site, path: &str, part: &str, number: usize) -> Response {
    let model = if is_cascade(path) { "X-Model: *\r\n" } else { "" };
    let is_first = path.ends_with("/first");
    let shared = if is_first { format!("{part}:20,shared:50") } else { format!("shared:50,{part}:20") };
    let headers = format!("X-Tokens: 100,10\r\n{model}X-Parts: {shared},own{number}:30\r\n");
    caller::call(site.front(), "POST", path, &headers, &format!("prompt {number}")).await
}

/// Checks that few of many different requests with the part reach endpoints, and that sound ones
/// go on being served.
async fn check_refused(names: &[&str], path: &str, sound_between: bool) {
    let (sites, servers) = start(names, 30, complete_stream()).await;
    for number in 0..12 {
        let site = &sites[number % sites.len()];
        call(site, path, DEADLY, number).await;
        sleep(PAUSE).await;
        if sound_between {
            assert_eq!(call(site, path, "sound", 100 + number).await.status, 200);
        }
    }
    let count = deadly_request_count(&servers);
    assert!(count <= MAX_DEADLY_REQUESTS, "{count} requests with the part reached endpoints");
    for (number, site) in sites.iter().enumerate() {
        let refused = call(site, path, DEADLY, 200 + number).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        assert_eq!(call(site, path, "sound", 300 + number).await.status, 200);
    }
    assert_eq!(deadly_request_count(&servers), count);
}

macro_rules! refused {
    ($($name:ident: $names:expr, $path:expr, $sound_between:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_refused(&$names, $path, $sound_between).await;
        }
    )*};
}

// Requests with a part that crashes endpoints must be refused although no two are alike.
refused! {
    different_requests_with_a_crashing_part_are_refused: ["here"], "/stream/x", true;
    different_requests_with_a_crashing_part_are_refused_by_all_instances:
        ["here", "there", "elsewhere"], "/stream/x", true;
    requests_with_a_crashing_part_are_refused_without_sound_ones_between: ["here", "there"], "/stream/x", false;
    requests_with_a_crashing_part_are_refused_on_a_route_with_models: ["here", "there"], "/cascade/x", true;
    requests_that_begin_with_a_crashing_part_are_refused: ["here", "there"], "/stream/first", true;
}

/// All instances are lost at once, and must learn from the store which part crashes endpoints.
#[tokio::test]
async fn quarantine_of_a_part_survives_the_restart_of_all_instances() {
    let (mut sites, servers) = start(&["here"], 20, complete_stream()).await;
    for number in 0..6 {
        call(&sites[0], "/stream/x", DEADLY, number).await;
        sleep(PAUSE).await;
    }
    let count = deadly_request_count(&servers);
    let first = sites.remove(0);
    let store = Arc::clone(&first.store);
    drop(first);
    let site = Site::start_on(store, settings()).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&site, "/stream/x", DEADLY, 100).await.status, 503);
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
