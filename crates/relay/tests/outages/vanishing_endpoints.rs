//! Endpoints that go between the arrival of a request and the first byte of its answer.
//!
//! A request was answered 504 some 0.8 s after it came, with seconds left, when its endpoint was gone. It
//! has to be sent to another endpoint if it may run twice; if not, its caller has to be told that it may
//! have run.

use std::time::{Duration, Instant};

use relay::{catalog::Kind, source::Endpoint};
use tokio::time::sleep;

use crate::{
    caller::{self, Response},
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{Site, endpoint, route},
};

/// Time from the arrival of a request until its endpoint goes.
const GOES_AFTER: Duration = Duration::from_millis(700);

/// Time that callers give requests that cannot be sent again.
const DEADLINE: Duration = Duration::from_secs(3);

/// Longest time until an answer of another endpoint where the loss of the first one shows.
const SOON: Duration = Duration::from_secs(2);

/// Longest time until an answer of another endpoint where the first one is only silent. A first byte may
/// take 2.5 s on these routes.
const AFTER_SILENCE: Duration = Duration::from_millis(4_500);

/// How an endpoint goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It closes the connection.
    Closes,
    /// It resets the connection.
    Resets,
    /// It refuses new connections, and the open one stays silent.
    RefusesNew,
    /// Its registration is removed, and the connection stays silent.
    Removed,
}

impl End {
    fn action(self) -> Action {
        match self {
            Self::Closes => Action::Pause(String::new(), GOES_AFTER, String::new()),
            Self::Resets => Action::PauseAndReset(String::new(), GOES_AFTER),
            Self::RefusesNew | Self::Removed => Action::Hang(String::new()),
        }
    }

    /// Whether the connection shows that the endpoint is gone.
    fn is_seen(self) -> bool {
        matches!(self, Self::Closes | Self::Resets)
    }
}

/// Sends a request to the only endpoint, which goes; another one has registered meanwhile. Returns the
/// response, how long it took, and the number of requests that the other endpoint got.
async fn play(kind: Kind, end: End) -> (Response, Duration, usize) {
    let leaving = Server::start(vec![end.action()]).await;
    let answer = match kind {
        Kind::Stream { .. } => stream_head(90) + &event(1) + LAST_CHUNK,
        Kind::Idempotent | Kind::NonIdempotent => ok_response("ok"),
    };
    let sound = Server::start(vec![Action::Write(answer)]).await;
    let site = Site::start(vec![route("/a/", kind)], &[leaving.address]).await;
    let (front, store) = (site.front(), &site.store);
    let started = Instant::now();
    let headers = if kind.repeatable() { String::new() } else { format!("X-Deadline: {}\r\n", DEADLINE.as_millis()) };
    let call = tokio::spawn(async move { caller::call(front, "POST", "/a/x", &headers, "sheet").await });
    while leaving.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    store.register_endpoint(&endpoint("e1", sound.address));
    sleep(GOES_AFTER).await;
    match end {
        // The listener is closed, and open connections are not.
        End::RefusesNew => drop(leaving),
        End::Removed => store.remove_endpoint("e0"),
        End::Closes | End::Resets => {}
    }
    let response = call.await.unwrap();
    (response, started.elapsed(), sound.requests().len())
}

/// The request is sent to the other endpoint in time.
async fn check_sent_elsewhere(kind: Kind, end: End) {
    let (response, took, requests) = play(kind, end).await;
    assert_eq!((response.status, response.complete, requests), (200, true, 1), "{took:?} {response:?}");
    let limit = if end == End::RefusesNew { AFTER_SILENCE } else { SOON };
    assert!(took < limit, "{took:?}");
}

/// The caller is told that its request may have run: at once if the connection is gone, at its deadline
/// if the endpoint may still answer.
async fn check_may_have_run(kind: Kind, end: End) {
    let (response, took, requests) = play(kind, end).await;
    let status = if end.is_seen() { 502 } else { 504 };
    assert_eq!((response.status, response.complete, requests), (status, true, 0), "{took:?} {response:?}");
    assert!(response.body.starts_with("it may have run"), "{response:?}");
    assert!(took < if end.is_seen() { SOON } else { DEADLINE + SOON }, "{took:?}");
}

macro_rules! ends {
    ($($name:ident: $check:ident, $kind:expr, $end:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            $check($kind, End::$end).await;
        }
    )*};
}

const RESUMABLE: Kind = Kind::Stream { resumable: true };
const UNRESUMABLE: Kind = Kind::Stream { resumable: false };

ends! {
    idempotent_request_is_sent_elsewhere_after_a_close: check_sent_elsewhere, Kind::Idempotent, Closes;
    idempotent_request_is_sent_elsewhere_after_a_reset: check_sent_elsewhere, Kind::Idempotent, Resets;
    idempotent_request_is_sent_elsewhere_if_connections_are_refused:
        check_sent_elsewhere, Kind::Idempotent, RefusesNew;
    idempotent_request_is_sent_elsewhere_after_a_removal: check_sent_elsewhere, Kind::Idempotent, Removed;
    resumable_stream_is_sent_elsewhere_after_a_close: check_sent_elsewhere, RESUMABLE, Closes;
    resumable_stream_is_sent_elsewhere_after_a_reset: check_sent_elsewhere, RESUMABLE, Resets;
    resumable_stream_is_sent_elsewhere_if_connections_are_refused: check_sent_elsewhere, RESUMABLE, RefusesNew;
    resumable_stream_is_sent_elsewhere_after_a_removal: check_sent_elsewhere, RESUMABLE, Removed;
    other_request_may_have_run_after_a_close: check_may_have_run, Kind::NonIdempotent, Closes;
    other_request_may_have_run_after_a_reset: check_may_have_run, Kind::NonIdempotent, Resets;
    other_request_may_have_run_if_connections_are_refused: check_may_have_run, Kind::NonIdempotent, RefusesNew;
    other_request_may_have_run_after_a_removal: check_may_have_run, Kind::NonIdempotent, Removed;
    other_stream_may_have_run_after_a_close: check_may_have_run, UNRESUMABLE, Closes;
    other_stream_may_have_run_after_a_reset: check_may_have_run, UNRESUMABLE, Resets;
    other_stream_may_have_run_if_connections_are_refused: check_may_have_run, UNRESUMABLE, RefusesNew;
    other_stream_may_have_run_after_a_removal: check_may_have_run, UNRESUMABLE, Removed;
}

/// An endpoint says that it leaves, removes its registration and then finishes its run. The run must not
/// be repeated: a rolling update would cause one for each request in progress.
#[tokio::test]
async fn run_of_an_endpoint_that_leaves_is_waited_for() {
    let leaving =
        Server::start(vec![Action::Pause(String::new(), Duration::from_millis(2_200), ok_response("first"))]).await;
    let sound = Server::start(vec![Action::Write(ok_response("again"))]).await;
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[leaving.address]).await;
    let (front, store) = (site.front(), &site.store);
    let call = tokio::spawn(async move { caller::call(front, "GET", "/a/x", "", "").await });
    while leaving.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    store.register_endpoint(&endpoint("e1", sound.address));
    store.register_endpoint(&Endpoint { draining: true, ..endpoint("e0", leaving.address) });
    while !site.relay.dispatcher().known_endpoints().iter().any(|endpoint| endpoint.draining) {
        sleep(Duration::from_millis(5)).await;
    }
    store.remove_endpoint("e0");
    let response = call.await.unwrap();
    assert_eq!((response.body.as_str(), sound.requests().len()), ("first", 0), "{response:?}");
}
