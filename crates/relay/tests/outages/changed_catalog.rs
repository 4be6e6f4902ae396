//! Requests that are under way while the operator changes the catalog.

use std::{net::SocketAddr, time::Duration};

use relay::{
    catalog::{Catalog, Kind, Route, Target},
    dispatcher::peers::{Phase, Status},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

use crate::{
    caller::{self, Response},
    server::{Action, LAST_CHUNK, Server, event, ok_response, response_head, stream_head},
    site::{HOST, KEY, Site, catalog, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// Silence of an endpoint that makes the relay look for another one.
const SILENCE: Duration = Duration::from_secs(4);

/// How the operator changes the catalog.
#[derive(Debug, Clone, Copy)]
enum Change {
    RouteDropped,
    /// The route leads to another service, which has no endpoint.
    RouteMoved,
    KeyTaken,
    TimeoutShortened,
    AttemptsReduced,
    /// Several changes, each of which is in force for a moment.
    InQuickSuccession,
}

impl Change {
    /// Returns the catalogs that follow the first one.
    fn catalogs(self, route: &Route) -> Vec<Catalog> {
        let with = |route: Route| vec![catalog(2, vec![route])];
        match self {
            Self::RouteDropped => vec![catalog(2, Vec::new())],
            Self::RouteMoved => {
                let targets = vec![Target { service: "elsewhere".into(), weight: 1 }];
                with(Route { targets, ..route.clone() })
            }
            Self::KeyTaken => {
                let mut changed = catalog(2, vec![route.clone()]);
                changed.keys.as_mut().unwrap().clear();
                vec![changed]
            }
            Self::TimeoutShortened => with(Route { timeout: Duration::from_millis(100), ..route.clone() }),
            Self::AttemptsReduced => with(Route { attempts: 1, ..route.clone() }),
            Self::InQuickSuccession => {
                vec![catalog(2, vec![route.clone()]), catalog(3, Vec::new()), catalog(4, vec![route.clone()])]
            }
        }
    }

    /// Changes the catalog, and waits after each change until it is in force.
    async fn apply(self, site: &Site, route: &Route) {
        for changed in self.catalogs(route) {
            let version = changed.version;
            site.store.change(|contents| contents.catalog = Some(changed));
            while site.relay.dispatcher().catalog().unwrap().version < version {
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// Starts a site with endpoints that all perform the same action, calls it, changes the catalog
/// once an endpoint has the request, and returns the response.
async fn call_during(change: Change, route: Route, actions: &[Action]) -> Response {
    let mut servers = Vec::new();
    for action in actions {
        servers.push(Server::start(vec![action.clone()]).await);
    }
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let site = Site::start(vec![route.clone()], &addresses).await;
    let front = site.front();
    let call = tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "prompt").await });
    while servers.iter().all(|server| server.requests().is_empty()) {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(100)).await;
    change.apply(&site, &route).await;
    call.await.unwrap()
}

/// Plays a stream at endpoints that fall silent after the first event and go on.
async fn check_silent_stream(change: Change) {
    let pause = Action::Pause(stream_head(90) + &event(1), SILENCE, event(2) + LAST_CHUNK);
    let response = call_during(change, route("/s/", RESUMABLE), &[pause.clone(), pause]).await;
    assert!(response.complete, "{response:?}");
    assert_eq!(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

macro_rules! silent_streams {
    ($($name:ident: $change:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_silent_stream(Change::$change).await;
        }
    )*};
}

// A stream whose endpoint falls silent and goes on must not be broken off because the catalog would
// not admit it as a new request.
silent_streams! {
    silent_stream_outlasts_its_route: RouteDropped;
    silent_stream_outlasts_a_move_of_its_route: RouteMoved;
    silent_stream_outlasts_its_key: KeyTaken;
    silent_stream_outlasts_a_shorter_time_limit: TimeoutShortened;
    silent_stream_outlasts_fewer_attempts: AttemptsReduced;
    silent_stream_outlasts_changes_in_quick_succession: InQuickSuccession;
}

/// Plays a stream whose first endpoint breaks off after the first event, after a change of the
/// catalog, while a second one could go on with it.
async fn check_broken_stream(change: Change) {
    let breaks = Action::PauseAndReset(stream_head(90) + &event(1), Duration::from_millis(1_400));
    let goes_on = Action::Write(stream_head(90) + &event(1) + &event(2) + LAST_CHUNK);
    let server = Server::start(vec![breaks, goes_on]).await;
    let kept = route("/s/", RESUMABLE);
    let site = Site::start(vec![kept.clone()], &[server.address]).await;
    let front = site.front();
    let call = tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "prompt").await });
    while server.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    change.apply(&site, &kept).await;
    let response = call.await.unwrap();
    assert!(response.complete, "{response:?}");
    assert_eq!(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

macro_rules! broken_streams {
    ($($name:ident: $change:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_broken_stream(Change::$change).await;
        }
    )*};
}

// A stream that has begun must go on at another endpoint of its service, under the catalog by which it
// was admitted.
broken_streams! {
    broken_stream_is_resumed_without_its_route: RouteDropped;
    broken_stream_is_resumed_after_a_move_of_its_route: RouteMoved;
    broken_stream_is_resumed_without_its_key: KeyTaken;
}

/// A stream whose endpoint falls silent and goes on must not be broken off where it could not go on
/// anywhere else: there is no other endpoint, or no attempt is left.
#[tokio::test]
async fn silent_stream_that_nobody_can_resume_is_waited_for() {
    let pause = Action::Pause(stream_head(90) + &event(1), SILENCE, event(2) + LAST_CHUNK);
    let actions = vec![pause, Action::Reset(String::new())];
    let servers = [Server::start(actions.clone()).await, Server::start(actions.clone()).await];
    let alone = Server::start(actions).await;
    for (attempts, addresses) in
        [(1, servers.each_ref().map(|server| server.address).to_vec()), (3, vec![alone.address])]
    {
        let limited = Route { attempts, ..route("/s/", RESUMABLE) };
        let site = Site::start(vec![limited], &addresses).await;
        let response = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
        assert!(response.complete, "{attempts} attempts, {} endpoints: {response:?}", addresses.len());
        assert_eq!(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
    }
}

/// Answers without events at endpoints that fall silent: the caller must get the answer, as the request has
/// been sent before the change.
async fn check_answer(change: Change, kind: Kind, action: Action) {
    let response = call_during(change, route("/s/", kind), &[action.clone(), action]).await;
    assert_eq!((response.status, response.complete), (200, true), "{change:?} {response:?}");
}

macro_rules! answers {
    ($($name:ident: $kind:expr, $before:expr, $after:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            for change in [Change::RouteDropped, Change::RouteMoved, Change::KeyTaken, Change::InQuickSuccession] {
                let action = Action::Pause($before, Duration::from_millis(1_500), $after);
                check_answer(change, $kind, action).await;
            }
        }
    )*};
}

fn unframed_head() -> String {
    "HTTP/1.1 200 X\r\nx-request: {id}\r\nx-signature: s\r\nconnection: close\r\n\r\n".to_owned()
}

// A request must end with the answer of its sound endpoint, in whichever part of the answer its endpoint falls
// silent while the catalog changes.
answers! {
    call_at_an_endpoint_silent_before_the_head_is_answered: Kind::Idempotent, String::new(), ok_response("ok");
    upload_at_an_endpoint_silent_before_the_head_is_answered: Kind::NonIdempotent, String::new(), ok_response("ok");
    upload_at_an_endpoint_silent_before_the_body_is_answered:
        Kind::NonIdempotent, response_head(200, 2), "ok".to_owned();
    upload_at_an_endpoint_silent_within_a_body_without_length_is_answered:
        Kind::NonIdempotent, unframed_head() + "o", "k".to_owned();
}

/// How a caller frames and sends the body of a request.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
}

/// Length of the body of a request that is refused, in bytes: more than one read of a socket.
const BODY_BYTES: usize = 48 << 10;

/// Sends a request whose body arrives in pieces after its head, then reads the response, and then
/// sends another request on the same connection.
async fn send_slowly(front: SocketAddr, path: &str, key: &str, framing: Framing) -> (Response, Response) {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let frame = match framing {
        Framing::Length => format!("Content-Length: {BODY_BYTES}"),
        Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request: r1\r\nX-Key: {key}\r\n{frame}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let piece = "x".repeat(BODY_BYTES / 12);
    for _ in 0..12 {
        sleep(Duration::from_millis(15)).await;
        let text = match framing {
            Framing::Length => piece.clone(),
            Framing::Chunks => crate::server::chunk(&piece),
        };
        stream.write_all(text.as_bytes()).await.expect("the connection should stay open for the body");
    }
    if matches!(framing, Framing::Chunks) {
        stream.write_all(LAST_CHUNK.as_bytes()).await.expect("the connection should stay open for the body");
    }
    let refused = caller::read(&mut stream).await;
    let next = caller::request("GET", "/a/x", "", "");
    stream.write_all(next.as_bytes()).await.expect("the connection should stay open for the next request");
    (refused, caller::read(&mut stream).await)
}

async fn check_refusal(path: &str, key: &str, is_announced: bool, status: u16) {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    for framing in [Framing::Length, Framing::Chunks] {
        let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[server.address]).await;
        if is_announced {
            let update = Status {
                start: 1,
                phase: Phase::Ready,
                in_touch: true,
                time_to_next: Duration::from_secs(1),
                catalog: 2,
                ..Status::default()
            };
            site.relay.dispatcher().update_peer("there", ([127, 0, 0, 7], 7).into(), update);
        }
        let (refused, next) = send_slowly(site.front(), path, key, framing).await;
        assert_eq!((refused.status, refused.complete), (status, true), "{framing:?}: {refused:?}");
        assert_eq!((next.status, next.complete), (200, true), "{framing:?}: {next:?}");
    }
}

macro_rules! refusals {
    ($($name:ident: $path:expr, $key:expr, $is_announced:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_refusal($path, $key, $is_announced, $status).await;
        }
    )*};
}

// A refusal must reach a caller that is still sending the request's body, and the connection must
// stay usable.
refusals! {
    refusal_of_an_unknown_route_reaches_its_sender: "/none/x", KEY, false => 404;
    refusal_of_an_unknown_key_reaches_its_sender: "/a/x", "taken", false => 401;
    refusal_until_a_newer_catalog_is_read_reaches_its_sender: "/none/x", KEY, true => 503;
}
