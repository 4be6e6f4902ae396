//! Requests at an endpoint that is silent for longer than a first byte may take, and answers after all.
//!
//! The run was given up for a retry. When nobody else took the request, its caller was told that the
//! answer was lost (502), while the silent endpoint was about to give it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use relay::{
    catalog::{Kind, Route, Service},
    dispatcher::peers::{Phase, Status},
};
use route::relay::content::{Content, Work};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::{
    caller::{self, Response},
    network::{Cuttable, Mode},
    server::{Action, LAST_CHUNK, Server, event, ok_response, response_head, stream_head},
    site::{HOST, SERVICE, Site, StoreContents, catalog, endpoint, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// Longest time until the answer of an endpoint that answers at once after the first byte took too long.
const SOON: Duration = Duration::from_millis(2_200);

fn full() -> Action {
    Action::Write(rejection())
}

fn rejection() -> String {
    ok_response("full").replace("200 X", "503 X").replace("x-signature: s", "x-not-run: 1")
}

fn after(ms: u64, answer: String) -> Action {
    Action::Pause(String::new(), Duration::from_millis(ms), answer)
}

fn break_off() -> Action {
    Action::PauseAndReset(String::new(), Duration::from_millis(50))
}

fn stream() -> String {
    stream_head(90) + &event(1) + LAST_CHUNK
}

/// Plays actions, in the order of the requests, at two endpoints of one program. A first byte may take
/// one second.
async fn play(kind: Kind, headers: &str, actions: Vec<Action>) -> (Response, Duration, Server) {
    let server = Server::start(actions).await;
    let quick = Route { target_time: Duration::from_secs(4), ..route("/a/", kind) };
    let site = Site::start(vec![quick], &[server.address, server.address]).await;
    let started = Instant::now();
    let response = caller::call(site.front(), "POST", "/a/x", headers, "sheet").await;
    (response, started.elapsed(), server)
}

macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident: $kind:expr, $headers:expr, $actions:expr => $status:expr, $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (response, took, server) = play($kind, $headers, $actions).await;
            let requests = server.requests().len();
            assert_eq!((response.status, response.complete), ($status, true), "{took:?} {requests} {response:?}");
            assert!(response.body.contains($body), "{took:?} {response:?}");
        }
    )*};
}

answers! {
    /// The others are full. Nobody else ever runs the request.
    late_answer_arrives_if_the_others_are_full:
        Kind::Idempotent, "", vec![after(1_500, ok_response("first")), full()] => 200, "first";
    late_stream_arrives_if_the_others_are_full:
        RESUMABLE, "", vec![after(1_500, stream()), full()] => 200, "d1";
    /// The others break the connection off. Its caller was told that the answer was lost (502).
    late_stream_arrives_if_the_others_break_off:
        RESUMABLE, "", vec![after(1_500, stream()), break_off(), break_off()] => 200, "d1";
    /// The other endpoint has begun to run the request, and is silent too.
    late_answer_arrives_before_that_of_a_silent_retry:
        Kind::Idempotent, "", vec![after(1_500, ok_response("first")), after(3_000, ok_response("second"))] => 200, "first";
    answer_of_a_retry_arrives_before_a_later_one:
        Kind::Idempotent, "", vec![after(3_000, ok_response("first")), after(100, ok_response("second"))] => 200, "second";
    /// The silent endpoint reports a failure while another one runs the request.
    late_failure_does_not_end_a_retry:
        Kind::Idempotent, "", vec![after(1_200, response_head(500, 0)), after(700, ok_response("second"))] => 200, "second";
    /// The silent endpoint rejects the request after all, as the others did. Its caller was told that
    /// it may have run (502).
    late_rejection_states_that_the_request_has_not_run:
        Kind::Idempotent, "", vec![after(1_200, rejection()), full(), full()] => 503, "";
    /// The late answer breaks off. The request may still be sent to another endpoint.
    late_answer_that_breaks_off_is_retried:
        Kind::Idempotent, "",
        vec![after(1_500, response_head(200, 20)), full(), Action::Write(ok_response("third"))] => 200, "third";
    /// The retry has sent most of its answer when the late one begins, which breaks off.
    late_head_does_not_end_an_answer_that_is_arriving:
        Kind::Idempotent, "",
        vec![
            after(1_500, response_head(200, 20)),
            Action::Pause(response_head(200, 6) + "sec", Duration::from_secs(1), "ond".into()),
            full(),
        ] => 200, "second";
    /// The late answer claims that the request has not run, which is not believed.
    late_answer_without_use_does_not_end_a_retry:
        Kind::Idempotent, "",
        vec![after(1_200, response_head(429, 0)), after(700, ok_response("second")), full()] => 200, "second";
    /// All others have failed, and no attempt is left.
    late_answer_arrives_after_failures_of_the_others:
        Kind::Idempotent, "",
        vec![
            after(1_500, ok_response("first")),
            Action::Write(response_head(500, 0)),
            Action::Write(response_head(500, 0)),
        ] => 200, "first";
    /// The failure is an answer too, and the silent endpoint may be gone.
    failure_is_not_kept_for_long_for_a_silent_endpoint:
        Kind::Idempotent, "X-Deadline: 8000\r\n",
        vec![
            Action::Hang(String::new()),
            Action::Write(response_head(500, 0)),
            Action::Write(response_head(500, 0)),
        ] => 500, "";
    lost_late_answer_may_have_run:
        Kind::Idempotent, "",
        vec![Action::PauseAndReset(String::new(), Duration::from_millis(1_500)), full()] => 502, "it may have run";
    silence_until_the_deadline_may_have_run:
        Kind::Idempotent, "X-Deadline: 2500\r\n", vec![Action::Hang(String::new()), full()] => 504, "it may have run";
    /// It must not be sent again, and is waited for.
    late_answer_of_another_request_arrives:
        Kind::NonIdempotent, "", vec![after(1_500, ok_response("first")), Action::Write(ok_response("second"))] => 200, "first";
}

/// An engine that is only slow would process the prompt beside the engine that gets it next.
#[tokio::test]
async fn silent_run_of_an_engine_is_cancelled_for_its_retry() {
    let nothing_cached = || Action::Write(ok_response("[]"));
    let actions = vec![nothing_cached(), nothing_cached(), Action::Hang(String::new()), after(900, stream())];
    let server = Server::start(actions).await;
    let quick = Route { target_time: Duration::from_secs(4), ..route("/a/", RESUMABLE) };
    let mut catalog = catalog(1, vec![quick]);
    let service = Service { name: SERVICE.into(), memory_tokens: Some(100_000), warmup: None };
    catalog.services.insert(SERVICE.into(), Arc::new(service));
    let endpoints = vec![endpoint("e0", server.address), endpoint("e1", server.address)];
    let contents = StoreContents { catalog: Some(catalog), endpoints, ..StoreContents::default() };
    let site = Site::start_with(contents, |_| {}).await;
    while server.requests().len() < 2 {
        sleep(Duration::from_millis(5)).await;
    }
    let call = tokio::spawn(async move { caller::call(site.front(), "POST", "/a/x", "", "sheet").await });
    while server.requests().len() < 4 {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(200)).await;
    assert_eq!(server.disconnects(), 1);
    let response = call.await.expect("the caller does not panic");
    assert_eq!(response.status, 200, "{response:?}");
}

/// A run that nobody waits for any more has to end, or it would keep a slot of its endpoint.
#[tokio::test]
async fn silent_run_is_cancelled_once_another_answer_is_accepted() {
    let actions = vec![Action::Hang(String::new()), Action::Write(ok_response("second"))];
    let (response, took, server) = play(Kind::Idempotent, "", actions).await;
    assert_eq!(response.body, "second");
    assert!(took < SOON, "{took:?}");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(server.disconnects(), 1);
}

/// An idempotent request at the first of two endpoints, which is silent, on a network that can be cut.
struct AtSilentEndpoint {
    silent: Server,
    other: Server,
    network: Arc<Cuttable>,
    site: Site,
    call: tokio::task::JoinHandle<Response>,
}

impl AtSilentEndpoint {
    /// Both endpoints perform `others` after the first request, which is never answered.
    async fn start(attempts: u32, headers: &'static str, others: Vec<Action>) -> Self {
        let first = Server::start([vec![Action::Hang(String::new())], others.clone()].concat()).await;
        let second = Server::start(others.clone()).await;
        let network = Arc::new(Cuttable::new([first.address]));
        let quick = Route { attempts, target_time: Duration::from_secs(4), ..route("/a/", Kind::Idempotent) };
        let contents = StoreContents {
            catalog: Some(catalog(1, vec![quick])),
            endpoints: vec![endpoint("e0", first.address)],
            ..StoreContents::default()
        };
        let shared = Arc::clone(&network);
        let site = Site::start_with(contents, |settings| settings.network = shared).await;
        let front = site.front();
        let call = tokio::spawn(async move { caller::call(front, "POST", "/a/x", headers, "sheet").await });
        while first.requests().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        site.store.register_endpoint(&endpoint("e1", second.address));
        Self { silent: first, other: second, network, site, call }
    }
}

/// Guards against a wait for a lost machine until the deadline: its connections are silent, its
/// registration is removed, and the other endpoint asks for a pause of a second and is free then.
#[tokio::test]
async fn endpoint_that_is_free_again_answers_beside_a_silent_one() {
    let pause =
        ok_response("full").replace("200 X", "503 X").replace("x-signature: s", "x-not-run: 1\r\nretry-after: 1");
    let others = vec![Action::Write(pause), Action::Write(ok_response("second"))];
    let play = AtSilentEndpoint::start(3, "X-Deadline: 6000\r\n", others).await;
    play.site.store.remove_endpoint("e0");
    let response = play.call.await.unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "second"), "{response:?}");
    assert_eq!((play.silent.requests().len(), play.other.requests().len()), (1, 2));
}

/// Guards against a request that hangs each engine, crashes it and is never found out: its silent run
/// breaks off with the endpoint while another one runs it.
#[tokio::test]
async fn crash_during_a_silent_run_is_attributed_to_it() {
    let play = AtSilentEndpoint::start(2, "", vec![Action::Hang(String::new())]).await;
    while play.other.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    // Longer than an abandoned run counts as running.
    sleep(Duration::from_millis(2_300)).await;
    play.network.set(Mode::Reset);
    sleep(Duration::from_millis(400)).await;
    let request = Content::of(Some("club"), "POST", HOST, "/a/x", b"sheet");
    let work = Work { request, parts: std::iter::empty().collect() };
    assert!(play.site.relay.dispatcher().is_suspect(&work));
    play.call.abort();
}

/// A late stream must reach its caller event by event. When it was read to its end first, callers
/// waited for all of it.
#[tokio::test]
async fn late_stream_arrives_event_by_event() {
    let pause = |ms: usize| vec![String::new(); ms / 10];
    let parts = [pause(1_500), vec![stream_head(90) + &event(1)], pause(2_000), vec![event(2) + LAST_CHUNK]];
    let server = Server::start(vec![Action::WriteSlowly(parts.concat()), full()]).await;
    let quick = Route { target_time: Duration::from_secs(4), ..route("/a/", RESUMABLE) };
    let site = Site::start(vec![quick], &[server.address, server.address]).await;
    let started = Instant::now();
    let mut stream = TcpStream::connect(site.front()).await.unwrap();
    stream.write_all(caller::request("POST", "/a/x", "", "sheet").as_bytes()).await.unwrap();
    let (mut received, mut buffer) = (String::new(), [0; 1_024]);
    while !received.contains("d1") {
        let length = stream.read(&mut buffer).await.unwrap();
        assert!(length > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    assert!(started.elapsed() < Duration::from_secs(3), "{:?} {received}", started.elapsed());
    while !received.contains("d2") {
        let length = stream.read(&mut buffer).await.unwrap();
        assert!(length > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
}

/// Another instance refuses a request that a silent endpoint runs here. Its caller must get the answer,
/// and not that the request has not run.
#[tokio::test]
async fn late_answer_arrives_after_a_refusal_by_another_instance() {
    let paused = rejection().replace("x-not-run: 1", "x-not-run: 1\r\nretry-after: 2");
    let server = Server::start(vec![after(1_500, ok_response("first")), Action::Write(paused)]).await;
    let refusal = rejection().replace("x-not-run: 1", "x-not-run: 1\r\nrelay-refused: fleet");
    let peer = Server::start(vec![Action::Write(refusal)]).await;
    let quick = Route { target_time: Duration::from_secs(4), attempts: 5, ..route("/a/", Kind::Idempotent) };
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![quick])),
        endpoints: vec![endpoint("e0", server.address), endpoint("e1", server.address)],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |_| {}).await;
    let status = Status {
        start: 1,
        phase: Phase::Ready,
        fresh: true,
        in_touch: true,
        time_to_next: Duration::from_mins(1),
        catalog: 1,
        ..Status::default()
    };
    site.relay.dispatcher().update_peer("there", peer.address, status);
    let front = site.front();
    let call = tokio::spawn(async move { caller::call(front, "POST", "/a/x", "", "sheet").await });
    while server.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    // The endpoints ask for pauses, and the other instance refuses this request as well.
    let other = caller::call(front, "POST", "/a/y", "", "letter").await;
    assert_eq!((other.status, peer.requests().len()), (503, 1), "{other:?}");
    let response = call.await.expect("the caller does not panic");
    assert!(response.status == 200 && response.body.contains("first"), "{response:?}");
    assert_eq!(peer.requests().len(), 2);
}

/// Guards against a second copy of a request at an endpoint that is silent: it is the only one of its
/// service, and its answer comes late.
#[tokio::test]
async fn lone_silent_endpoint_gets_the_request_once() {
    let server = Server::start(vec![after(1_500, ok_response("first")), Action::Write(ok_response("second"))]).await;
    let quick = Route { target_time: Duration::from_secs(4), ..route("/a/", Kind::Idempotent) };
    let site = Site::start(vec![quick], &[server.address]).await;
    let response = caller::call(site.front(), "POST", "/a/x", "", "sheet").await;
    assert_eq!((response.status, response.body.as_str()), (200, "first"), "{response:?}");
    assert_eq!(server.requests().len(), 1, "runs");
}
