//! Requests at endpoints that are silent for a while and go on, and callers that are slow to send or to
//! read.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use relay::{
    catalog::{Kind, Route},
    dispatcher::peers::{Caller, Phase, Status},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    caller::{self, Response},
    network::{Cuttable, Mode},
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{Site, StoreContents, catalog, endpoint, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// What an endpoint that has no free slot answers.
fn full() -> String {
    ok_response("full").replace("200 X", "503 X").replace("x-signature: s", "x-not-run: 1")
}

fn silence(ms: u64, after: String) -> Action {
    Action::Pause(String::new(), Duration::from_millis(ms), after)
}

/// A stream that is silent for `ms` after its first event and goes on.
fn silent_stream(ms: u64) -> Action {
    Action::Pause(stream_head(90) + &event(1), Duration::from_millis(ms), event(2) + LAST_CHUNK)
}

fn check_whole(response: &Response, server: &Server) {
    assert!(response.complete, "{response:?} after {} requests", server.requests().len());
    assert_eq!(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

/// Plays actions, in the order of the requests, at `count` endpoints of one program.
async fn play(count: usize, route: Route, actions: Vec<Action>) -> (Response, Server) {
    let server = Server::start(actions).await;
    let site = Site::start(vec![route], &vec![server.address; count]).await;
    let response = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
    (response, server)
}

/// The only endpoint is silent as a whole for 2.5 s, on all its connections, then goes on with the
/// stream and says to the second request that it is full.
#[tokio::test]
async fn stream_is_not_given_up_for_a_request_to_the_same_endpoint() {
    let actions = vec![silent_stream(2_500), silence(850, full())];
    let (response, server) = play(1, route("/s/", RESUMABLE), actions).await;
    check_whole(&response, &server);
}

/// A stalled stream is not asked for again at the endpoint that stalls.
#[tokio::test]
async fn stalled_stream_is_not_sent_to_the_same_endpoint_again() {
    let actions = vec![silent_stream(2_500), silence(850, stream_head(90) + &event(2) + LAST_CHUNK)];
    let (response, server) = play(1, route("/s/", RESUMABLE), actions).await;
    check_whole(&response, &server);
    assert_eq!(server.requests().len(), 1, "{:?}", server.requests());
}

/// Two endpoints are silent; the second says after 0.9 s that it is full. The first one goes on 2.5 s
/// after its first event. The second attempt is the last one.
#[tokio::test]
async fn stream_outlasts_a_late_rejection_by_the_last_other_endpoint() {
    let limited = Route { attempts: 2, ..route("/s/", RESUMABLE) };
    let (response, server) = play(2, limited, vec![silent_stream(2_500), silence(850, full())]).await;
    check_whole(&response, &server);
}

/// The second endpoint is silent for a second before its head, which is longer than a first byte may
/// take on this route, and would answer then. The third attempt is rejected.
#[tokio::test]
async fn stream_outlasts_a_second_endpoint_that_is_silent_before_its_head() {
    let quick = Route { target_time: Duration::from_secs(2), ..route("/s/", RESUMABLE) };
    let goes_on = silence(1_000, stream_head(90) + &event(2) + LAST_CHUNK);
    let (response, server) = play(2, quick, vec![silent_stream(2_500), goes_on, Action::Write(full())]).await;
    check_whole(&response, &server);
}

/// The same, after the second endpoint closed its connection late.
#[tokio::test]
async fn stream_outlasts_a_late_close_by_the_last_other_endpoint() {
    let limited = Route { attempts: 2, ..route("/s/", RESUMABLE) };
    let closes = Action::PauseAndReset(String::new(), Duration::from_millis(600));
    let (response, server) = play(2, limited, vec![silent_stream(2_500), closes]).await;
    check_whole(&response, &server);
}

/// No new connection is accepted anywhere while the stream's endpoint is silent. Nobody else ever has
/// the request.
#[tokio::test]
async fn stream_is_not_given_up_while_nobody_else_has_the_request() {
    let server = Server::start(vec![silent_stream(2_500)]).await;
    let network = Arc::new(Cuttable::new([]));
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/s/", RESUMABLE)])),
        endpoints: vec![endpoint("e0", server.address), endpoint("e1", server.address)],
        ..StoreContents::default()
    };
    let shared = Arc::clone(&network);
    let site = Site::start_with(contents, |settings| settings.network = shared).await;
    let front = site.front();
    let call = tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "prompt").await });
    while server.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(200)).await;
    network.cut_only([server.address]);
    network.set(Mode::Hung);
    check_whole(&call.await.unwrap(), &server);
    assert_eq!(server.requests().len(), 1);
}

/// A silent endpoint goes on while another one is looked for. Its stream needs no other one.
#[tokio::test]
async fn stream_that_goes_on_during_the_overlap_stays() {
    let again = silence(250, stream_head(90) + &event(2) + LAST_CHUNK);
    let server = Server::start(vec![
        Action::Pause(stream_head(90) + &event(1), Duration::from_millis(1_700), event(2) + &event(3) + LAST_CHUNK),
        again,
    ])
    .await;
    let site = Site::start(vec![route("/s/", RESUMABLE)], &[server.address, server.address]).await;
    let response = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
    assert!(response.complete && response.body.contains("d3"), "{response:?}");
}

/// A refused caller that sends no body until it is told to: the refusal must come at once.
async fn refusal_time(path: &str, headers: &str) -> (Duration, String) {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[server.address]).await;
    let mut stream = TcpStream::connect(site.front()).await.unwrap();
    let head = caller::request("POST", path, "", "").replace("Content-Length: 0\r\n", headers);
    stream.write_all(head.as_bytes()).await.unwrap();
    let started = Instant::now();
    let mut bytes = vec![0; 4096];
    let count = timeout(Duration::from_secs(5), stream.read(&mut bytes)).await.unwrap().unwrap();
    (started.elapsed(), String::from_utf8_lossy(&bytes[..count]).into_owned())
}

#[tokio::test]
async fn refusal_comes_before_a_body_that_waits_for_100_continue() {
    let (took, text) = refusal_time("/none/x", "Content-Length: 40000\r\nExpect: 100-continue\r\n").await;
    assert!(text.starts_with("HTTP/1.1 404") && took < Duration::from_millis(300), "{took:?} {text}");
}

#[tokio::test]
async fn body_that_is_too_long_is_not_asked_for() {
    let (took, text) = refusal_time("/a/x", "Content-Length: 400000000\r\nExpect: 100-continue\r\n").await;
    assert!(text.starts_with("HTTP/1.1 413") && took < Duration::from_millis(300), "{took:?} {text}");
}

/// Memory for bodies, in which an answer of 14 MB may be held: one takes up to half of it.
const BODY_MEMORY: usize = 64 << 20;

/// Starts a relay in a runtime of its own, which ends with the relay's shutdown like a process.
fn start_process(server: SocketAddr, routes: Vec<Route>, grace: Duration) -> (SocketAddr, std::thread::JoinHandle<()>) {
    let (fronts, front) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let contents = StoreContents {
                catalog: Some(catalog(1, routes)),
                endpoints: vec![endpoint("e0", server)],
                ..StoreContents::default()
            };
            let adjust = |settings: &mut relay::Settings| {
                settings.grace = grace;
                settings.body_memory = BODY_MEMORY;
            };
            let site = Site::start_with(contents, adjust).await;
            fronts.send(site.front()).unwrap();
            sleep(Duration::from_millis(300)).await;
            site.relay.shutdown().await;
        });
    });
    (front.recv().unwrap(), thread)
}

/// A request that is at a silent endpoint when the grace period ends gets a refusal.
#[tokio::test]
async fn unanswered_request_is_refused_at_the_end_of_the_grace_period() {
    let server = Server::start(vec![Action::Hang(String::new())]).await;
    let (front, process) =
        start_process(server.address, vec![route("/a/", Kind::NonIdempotent)], Duration::from_secs(2));
    let response = caller::call(front, "POST", "/a/x", "", "sheet").await;
    assert!(response.status > 0 && response.complete, "{response:?}");
    process.join().unwrap();
}

/// Guards against a claim that a request has not run which its endpoint has received.
#[tokio::test]
async fn sent_request_may_have_run_at_the_end_of_the_grace_period() {
    let server = Server::start(vec![Action::Hang(String::new())]).await;
    let (front, process) =
        start_process(server.address, vec![route("/a/", Kind::NonIdempotent)], Duration::from_secs(2));
    let response = caller::call(front, "POST", "/a/x", "", "sheet").await;
    assert_eq!(server.requests().len(), 1, "{response:?}");
    assert_eq!((response.status, response.complete), (502, true), "{response:?}");
    process.join().unwrap();
}

/// A long answer that is still being read by its caller when nothing else is under way.
#[tokio::test]
async fn answer_that_is_being_sent_outlasts_the_shutdown() {
    let body = "x".repeat(14 << 20);
    let server = Server::start(vec![Action::Write(ok_response(&body))]).await;
    let (front, process) = start_process(server.address, vec![route("/a/", Kind::Idempotent)], Duration::from_secs(15));
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(caller::request("GET", "/a/x", "", "").as_bytes()).await.unwrap();
    let mut buffer = vec![0; 64 << 10];
    let mut received = 0;
    while received < body.len() {
        // About 1.3 MB/s: eleven seconds in all.
        sleep(Duration::from_millis(48)).await;
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => received += count,
            ended => panic!("{ended:?} after {received} of {} bytes", body.len()),
        }
    }
    process.join().unwrap();
}

/// A caller whose body takes two seconds to arrive is refused, and reads the refusal at the end.
async fn read_refusal_after_slow_body(path: &str, pieces: usize, piece: usize, pause: u64) -> Result<Response, String> {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[server.address]).await;
    let mut stream = TcpStream::connect(site.front()).await.unwrap();
    let length = format!("Content-Length: {}\r\n", pieces * piece);
    let head = caller::request("POST", path, "", "").replace("Content-Length: 0\r\n", &length);
    stream.write_all(head.as_bytes()).await.unwrap();
    for sent in 0..pieces {
        sleep(Duration::from_millis(pause)).await;
        let written = stream.write_all(&vec![b'x'; piece]).await;
        written.map_err(|error| format!("{error} after {sent} of {pieces} pieces"))?;
    }
    Ok(caller::read(&mut stream).await)
}

#[tokio::test]
async fn refusal_reaches_a_caller_that_sends_for_two_seconds() {
    let response = read_refusal_after_slow_body("/none/x", 20, 4_096, 100).await.unwrap();
    assert_eq!(response.status, 404, "{response:?}");
}

/// The catalog drops the route while an idempotent request is at an endpoint that is silent for 1.5 s
/// and then answers; a first byte may take one second on this route.
#[tokio::test]
async fn idempotent_request_at_a_silent_endpoint_is_answered_beside_a_change() {
    let quick = Route { target_time: Duration::from_secs(4), ..route("/a/", Kind::Idempotent) };
    let server = Server::start(vec![silence(1_500, ok_response("ok"))]).await;
    let site = Site::start(vec![quick], &[server.address, server.address]).await;
    let front = site.front();
    let call = tokio::spawn(async move { caller::call(front, "GET", "/a/x", "", "").await });
    while server.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    site.store.change(|contents| contents.catalog = Some(catalog(2, Vec::new())));
    let response = call.await.unwrap();
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
}

/// A stream of an instance that loses its path to the endpoints goes on through another instance. That
/// one may have read a catalog meanwhile that drops the route.
async fn check_resumption_elsewhere(changes: bool) {
    let goes_on = Action::Write(stream_head(90) + &event(1) + &event(2) + LAST_CHUNK);
    let server = Server::start(vec![silent_stream(3_000), goes_on]).await;
    let network = Arc::new(Cuttable::new([server.address]));
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/s/", RESUMABLE)])),
        endpoints: vec![endpoint("e0", server.address)],
        ..StoreContents::default()
    };
    let shared = Arc::clone(&network);
    let cut = Site::start_with(contents.clone(), |settings| settings.network = shared).await;
    let seed = cut.relay.dispatcher().settings.listeners.news;
    let sound = Site::start_with(contents, |settings| {
        settings.instance = "there".into();
        settings.seeds = vec![seed];
    })
    .await;
    let listed = |site: &Site| site.relay.dispatcher().caller_addresses(&Caller::default()).len();
    while listed(&cut) < 2 || listed(&sound) < 2 {
        sleep(Duration::from_millis(2)).await;
    }
    let front = cut.front();
    let call = tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "prompt").await });
    while server.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(100)).await;
    if changes {
        for site in [&cut, &sound] {
            site.store.change(|contents| contents.catalog = Some(catalog(2, Vec::new())));
            while site.relay.dispatcher().catalog().unwrap().version < 2 {
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
    network.set(Mode::Reset);
    check_whole(&call.await.unwrap(), &server);
}

#[tokio::test]
async fn stream_is_resumed_through_another_instance() {
    check_resumption_elsewhere(false).await;
}

#[tokio::test]
async fn stream_is_resumed_through_another_instance_after_a_change() {
    check_resumption_elsewhere(true).await;
}

/// A request that may not be repeated is answered through another instance, which is heard from again
/// only after the end of the answer. Returns the response and the number of requests at that instance.
async fn call_through_instance(kind: Kind, action: Action, is_heard: bool) -> (Response, Server) {
    let peer = Server::start(vec![action]).await;
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/s/", kind)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 9).into())],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |_| {}).await;
    let front = site.front();
    let status = Status {
        start: 1,
        phase: Phase::Ready,
        fresh: true,
        in_touch: true,
        time_to_next: Duration::from_millis(300),
        catalog: 1,
        ..Status::default()
    };
    let dispatcher = Arc::clone(site.relay.dispatcher());
    let at = peer.address;
    let news = tokio::spawn(async move {
        loop {
            dispatcher.update_peer("there", at, status.clone());
            sleep(Duration::from_millis(200)).await;
        }
    });
    let call = tokio::spawn(async move {
        loop {
            let response = caller::call(front, "POST", "/s/x", "", "prompt").await;
            if response.status != 503 {
                return response;
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    while peer.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    if !is_heard {
        news.abort();
    }
    (call.await.unwrap(), peer)
}

async fn check_unheard_instance(is_heard: bool) {
    let kind = Kind::Stream { resumable: false };
    let (response, peer) = call_through_instance(kind, silent_stream(3_000), is_heard).await;
    check_whole(&response, &peer);
}

#[tokio::test]
async fn unresumable_stream_comes_through_another_instance() {
    check_unheard_instance(true).await;
}

#[tokio::test]
async fn unresumable_stream_outlasts_missing_news_of_its_instance() {
    check_unheard_instance(false).await;
}

/// Guards against the loss of a run that may not be repeated: its instance is not heard from before the
/// head of the answer.
#[tokio::test]
async fn unrepeatable_request_outlasts_missing_news_of_its_instance() {
    for kind in [Kind::NonIdempotent, Kind::Stream { resumable: false }] {
        let answer = match kind {
            Kind::NonIdempotent => ok_response("ok"),
            _ => stream_head(90) + &event(1) + LAST_CHUNK,
        };
        let (response, peer) = call_through_instance(kind, silence(3_000, answer), false).await;
        assert_eq!((response.status, response.complete, peer.requests().len()), (200, true, 1), "{response:?}");
    }
}
