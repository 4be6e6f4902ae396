//! Endpoints whose answers do not end: in the head, in the framing, in the body or in events.
//!
//! Such an endpoint goes on until its connection is closed. The relay has to close it, with no more
//! than a bounded number of bytes read and not later than the request's deadline.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use relay::catalog::{Kind, Route, Service};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    caller::{self, Response},
    forwarding_pair,
    server::{Action, LAST_CHUNK, Part, Server, chunk, event, ok_response, response_head, stream_head},
    site::{SERVICE, Site, StoreContents, cascade_route, catalog, endpoint, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };
const NOT_RESUMABLE: Kind = Kind::Stream { resumable: false };

/// Maximum number of bytes that an endpoint may get rid of in one answer: the longest answer, and
/// twice as much for the buffers of its socket and the relay's.
const MAX_ENDLESS_BYTES: usize = 48 << 20;

/// Time in which every request of these tests has to end. The routes allow 20 s.
const END_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause between the parts of an answer that trickles.
const TRICKLE: Duration = Duration::from_millis(20);

/// Returns a head without its end.
fn open_head() -> String {
    "HTTP/1.1 200 X\r\nx-request: {id}\r\nx-signature: s\r\n".into()
}

/// Returns the head of an answer in chunks, followed by `rest`.
fn chunked(rest: &str) -> String {
    open_head() + "transfer-encoding: chunked\r\n\r\n" + rest
}

/// Returns the head of an answer that ends with its connection.
fn unframed() -> String {
    open_head() + "connection: close\r\n\r\n"
}

fn filler() -> String {
    "x".repeat(100)
}

async fn wait_for_disconnects(server: &Server, count: u32) {
    let waiting = async {
        while server.disconnects() < count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), waiting).await.expect("the relay should close the connection");
}

/// Sends one request to an endpoint whose first answer does not end and whose later ones are sound.
/// Returns the response and the number of requests that the endpoint received.
async fn send(kind: Kind, headers: &str, start: &str, part: Part, pause: Duration) -> (Response, usize) {
    let endless = Action::Endless(start.into(), part, pause);
    let server = Server::start(vec![endless, Action::Write(ok_response("sound"))]).await;
    let site = Site::start_with(contents(kind, &[server.address]), |settings| settings.body_memory = 64 << 20).await;
    let call = caller::call(site.front(), "POST", "/a/x", headers, "sheet");
    let response = timeout(END_TIMEOUT, call).await.expect("the request should end");
    wait_for_disconnects(&server, 1).await;
    assert!(server.endless_bytes() < MAX_ENDLESS_BYTES, "{} bytes", server.endless_bytes());
    (response, server.requests().len())
}

fn contents(kind: Kind, servers: &[SocketAddr]) -> StoreContents {
    let endpoints = servers.iter().enumerate().map(|(n, at)| endpoint(&format!("e{n}"), *at)).collect();
    StoreContents { catalog: Some(catalog(1, vec![route("/a/", kind)])), endpoints, ..StoreContents::default() }
}

/// An endpoint pours an answer without end. A request that may be repeated gets another answer;
/// one that must not run twice is not sent again, and is not said to be not run.
async fn check_poured(start: String, part: Part) {
    let (response, runs) = send(Kind::Idempotent, "", &start, part, Duration::ZERO).await;
    assert_eq!((response.status, response.body.as_str(), runs), (200, "sound", 2), "{}", response.head);
    let (response, runs) = send(Kind::NonIdempotent, "", &start, part, Duration::ZERO).await;
    assert_eq!((response.status, runs), (502, 1), "{}", response.head);
}

/// An answer trickles. Nothing shows that it will not end, so the deadline ends the request.
async fn check_trickled(start: String, part: Part) {
    for kind in [Kind::Idempotent, Kind::NonIdempotent] {
        let (response, runs) = send(kind, "X-Deadline: 500\r\n", &start, part, TRICKLE).await;
        assert_eq!((response.status, runs), (504, 1), "{}", response.head);
        assert_eq!(response.header("retry-after"), None);
    }
}

macro_rules! whole_answers {
    ($($name:ident: $start:expr, $part:expr;)*) => {
        mod poured {
            use super::*;
            $(#[tokio::test]
            async fn $name() {
                check_poured($start, $part).await;
            })*
        }
        mod trickled {
            use super::*;
            $(#[tokio::test]
            async fn $name() {
                check_trickled($start, $part).await;
            })*
        }
    };
}

whole_answers! {
    line_of_a_head: open_head() + "x-filler: ", |_| filler();
    lines_of_a_head: open_head(), |n| format!("x-filler-{n}: 1\r\n");
    empty_lines_before_a_head: String::new(), |_| "\r\n".into();
    informational_responses: String::new(), |_| "HTTP/1.1 102 X\r\n\r\n".into();
    informational_responses_with_headers: String::new(), |_| format!("HTTP/1.1 103 X\r\nx: {}\r\n\r\n", filler());
    body_in_chunks: chunked(""), |_| chunk(&filler());
    body_in_one_chunk: chunked("ffffffffffff\r\n"), |_| filler();
    body_without_a_length: unframed(), |_| filler();
    zeros_before_a_chunk_size: chunked(""), |_| "0".into();
    blanks_after_a_chunk_size: chunked("5"), |_| " ".into();
    chunk_extension: chunked("5;"), |_| filler();
    extensions_of_small_chunks: chunked(""), |_| "1;extension\r\nx\r\n".into();
    line_of_a_trailer: chunked("0\r\nx-filler: "), |_| filler();
    lines_of_a_trailer: chunked("0\r\n"), |n| format!("x-filler-{n}: 1\r\n");
}

/// A head announces a body that is too long to buffer, so that the body is not waited for.
#[tokio::test]
async fn body_with_a_huge_length_is_not_waited_for() {
    let start = response_head(200, 1 << 40);
    check_poured(start.clone(), |_| filler()).await;
    let (response, runs) = send(Kind::Idempotent, "", &start, |_| filler(), TRICKLE).await;
    assert_eq!((response.status, runs), (200, 2), "{}", response.head);
    let (response, runs) = send(Kind::NonIdempotent, "", &start, |_| filler(), TRICKLE).await;
    assert_eq!((response.status, runs), (502, 1), "{}", response.head);
}

/// An endpoint sends bytes that do not begin like an answer. They are no answer from the first byte
/// on, so that nothing is waited for.
#[tokio::test]
async fn bytes_that_are_no_answer_are_not_waited_for() {
    check_poured(String::new(), |_| "\u{1}no answer".into()).await;
    let (response, runs) = send(Kind::NonIdempotent, "", "\u{1}no answer", |_| "x".into(), TRICKLE).await;
    assert_eq!((response.status, runs), (502, 1), "{}", response.head);
}

/// Checks how often requests go to an endpoint whose answers do not end while another one is sound.
async fn check_left_alone(pause: Duration) {
    const REQUESTS: usize = 30;
    let endless = Server::start(vec![Action::Endless(chunked(""), |_| chunk("x"), pause)]).await;
    let sound = Server::start(vec![Action::Write(ok_response("sound"))]).await;
    let site = Site::start_with(contents(Kind::Idempotent, &[endless.address, sound.address]), |_| {}).await;
    for _ in 0..REQUESTS {
        caller::call(site.front(), "GET", "/a/x", "X-Deadline: 300\r\n", "").await;
    }
    // Endpoints that serve alike get half of the requests each.
    let count = endless.requests().len();
    assert!(count <= REQUESTS / 4, "{count} of {REQUESTS} requests");
}

#[tokio::test]
async fn endpoint_that_pours_is_left_alone() {
    check_left_alone(Duration::ZERO).await;
}

#[tokio::test]
async fn endpoint_that_trickles_is_left_alone() {
    check_left_alone(TRICKLE).await;
}

/// An answer is longer than the memory that all answers and request bodies may take. The request
/// has run, so that it must not be called "not run".
#[tokio::test]
async fn answer_that_exceeds_the_memory_is_lost() {
    let server = Server::start(vec![Action::Write(ok_response(&"x".repeat(2 << 20)))]).await;
    let site = Site::start(vec![route("/a/", Kind::NonIdempotent)], &[server.address]).await;
    let response = caller::call(site.front(), "POST", "/a/x", "", "sheet").await;
    assert_eq!((response.status, server.requests().len()), (502, 1), "{}", response.head);
}

/// Many answers without end are being read at the same time. They must not take the memory that
/// other requests need for their bodies and answers.
#[tokio::test]
async fn many_answers_without_end_leave_memory_to_other_requests() {
    let start = chunked(&chunk(&"x".repeat(200_000)));
    let endless = || Action::Endless(start.clone(), |_| chunk("x"), TRICKLE);
    let sound = ok_response(&"y".repeat(20_000));
    let server = Server::start((0..16).map(|_| endless()).chain([Action::Write(sound)]).collect()).await;
    let site = Site::start(vec![route("/a/", Kind::NonIdempotent)], &[server.address]).await;
    let front = site.front();
    let calls: Vec<_> = (0..16)
        .map(|_| {
            tokio::spawn(async move { caller::call(front, "POST", "/a/x", "X-Deadline: 3000\r\n", "sheet").await })
        })
        .collect();
    while server.requests().len() < calls.len() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(500)).await;
    let response = caller::call(front, "POST", "/a/x", "", &"sheet".repeat(4_000)).await;
    assert_eq!((response.status, response.body.len()), (200, 20_000), "{}", response.head);
    let mut lost = 0;
    for call in calls {
        let status = call.await.unwrap().status;
        assert!(matches!(status, 502 | 504), "{status}");
        lost += usize::from(status == 502);
    }
    // Sixteen answers are three times as long as the memory.
    assert!(lost >= 10, "{lost} answers were given up before the deadline");
}

/// Returns the numbers of a stream's events.
fn numbers(response: &Response) -> Vec<&str> {
    response.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect()
}

/// An endpoint sends one event and then bytes without end that bring the caller no further. The
/// stream goes on at another endpoint.
async fn check_resumed(part: Part, pause: Duration) {
    let endless = Action::Endless(stream_head(90) + &event(1), part, pause);
    let rest = Action::Write(stream_head(90) + &event(2) + &event(3) + LAST_CHUNK);
    let server = Server::start(vec![endless, rest]).await;
    let site =
        Site::start_with(contents(RESUMABLE, &[server.address]), |settings| settings.body_memory = 64 << 20).await;
    let call = caller::call(site.front(), "POST", "/a/x", "", "prompt");
    let response = timeout(END_TIMEOUT, call).await.expect("the stream should end");
    assert!(response.complete, "{}", response.head);
    assert_eq!((numbers(&response), server.requests().len()), (vec!["1", "2", "3"], 2));
    wait_for_disconnects(&server, 1).await;
    assert!(server.endless_bytes() < MAX_ENDLESS_BYTES, "{} bytes", server.endless_bytes());
}

/// The same, for a stream that may not be resumed: it is broken off at its deadline at the latest.
async fn check_broken_off(part: Part, pause: Duration) {
    let endless = Action::Endless(stream_head(90) + &event(1), part, pause);
    let server = Server::start(vec![endless]).await;
    let site = Site::start(vec![route("/a/", NOT_RESUMABLE)], &[server.address]).await;
    let is_complete = timeout(END_TIMEOUT, read_stream(site.front(), "X-Deadline: 1000\r\n")).await;
    assert_eq!(is_complete, Ok(false), "the stream should be broken off");
    wait_for_disconnects(&server, 1).await;
    assert_eq!(server.requests().len(), 1);
}

/// Reads a stream until its connection is closed, without keeping it, and returns whether it ends
/// with the last chunk.
async fn read_stream(front: SocketAddr, headers: &str) -> bool {
    let headers = format!("Connection: close\r\n{headers}");
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(caller::request("POST", "/a/x", &headers, "prompt").as_bytes()).await.unwrap();
    let (mut end, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        end.extend_from_slice(&buffer[..count]);
        end.drain(..end.len().saturating_sub(LAST_CHUNK.len()));
    }
    end == LAST_CHUNK.as_bytes()
}

macro_rules! streams {
    ($($name:ident: $part:expr;)*) => {
        mod stream_that_pours {
            use super::*;
            $(#[tokio::test]
            async fn $name() {
                check_resumed($part, Duration::ZERO).await;
                check_broken_off($part, Duration::ZERO).await;
            })*
        }
        mod stream_that_trickles {
            use super::*;
            $(#[tokio::test]
            async fn $name() {
                check_resumed($part, TRICKLE).await;
                check_broken_off($part, TRICKLE).await;
            })*
        }
    };
}

streams! {
    one_event: |_| chunk("x");
    lines_of_one_event: |_| chunk("data: x\n");
    comments: |_| chunk(": x\n");
    comments_with_empty_lines: |_| chunk(": x\n\n");
    empty_lines: |_| chunk("\n");
    repeated_events: |_| event(1);
    zeros_before_a_chunk_size: |_| "0".into();
    chunk_extension: |n| if n == 1 { "5;".into() } else { filler() };
    lines_of_a_trailer: |n| if n == 1 { "0\r\n".into() } else { format!("x-filler-{n}: 1\r\n") };
}

/// New events keep coming and the caller gets them all. Only the deadline shows that the stream
/// does not end.
async fn check_ended_at_the_deadline(kind: Kind, pause: Duration) {
    let endless = Action::Endless(stream_head(90), |n| event(u32::try_from(n).unwrap()), pause);
    let server = Server::start(vec![endless]).await;
    let route = Route { timeout: Duration::from_secs(1), ..route("/a/", kind) };
    let site = Site::start(vec![route], &[server.address]).await;
    let is_complete = timeout(Duration::from_secs(10), read_stream(site.front(), "")).await;
    assert_eq!(is_complete, Ok(false), "the stream should be broken off at its deadline");
    wait_for_disconnects(&server, 1).await;
    assert_eq!(server.requests().len(), 1);
}

macro_rules! event_streams {
    ($($name:ident: $kind:expr, $pause:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_ended_at_the_deadline($kind, $pause).await;
        }
    )*};
}

event_streams! {
    resumable_stream_that_pours_events_ends_at_its_deadline: RESUMABLE, Duration::ZERO;
    resumable_stream_that_trickles_events_ends_at_its_deadline: RESUMABLE, TRICKLE;
    stream_that_pours_events_ends_at_its_deadline: NOT_RESUMABLE, Duration::ZERO;
    stream_that_trickles_events_ends_at_its_deadline: NOT_RESUMABLE, TRICKLE;
}

/// Incomplete events of many streams are kept at the same time. They count like answers.
#[tokio::test]
async fn many_events_without_end_leave_memory_to_other_requests() {
    let start = stream_head(90) + &event(1) + &chunk(&"x".repeat(200_000));
    let endless = || Action::Endless(start.clone(), |_| chunk("x"), TRICKLE);
    let sound = Action::Write(stream_head(90) + &event(1) + LAST_CHUNK);
    let server = Server::start((0..16).map(|_| endless()).chain([sound]).collect()).await;
    let site = Site::start(vec![route("/a/", NOT_RESUMABLE)], &[server.address]).await;
    let front = site.front();
    let calls: Vec<_> = (0..16).map(|_| tokio::spawn(read_stream(front, ""))).collect();
    // Sixteen events are three times as long as the memory.
    wait_for_disconnects(&server, 10).await;
    let response = caller::call(front, "POST", "/a/x", "", &"prompt".repeat(4_000)).await;
    assert!(response.complete, "{response:?}");
    for call in calls {
        call.abort();
    }
}

/// An instance without a path to the endpoints forwards a request to another one, whose endpoint's
/// first answer does not end.
async fn check_forwarded(kind: Kind) -> (Response, usize) {
    let endless = Action::Endless(chunked(""), |_| chunk(&filler()), Duration::ZERO);
    let server = Server::start(vec![endless, Action::Write(ok_response("sound"))]).await;
    let (cut, _other) = forwarding_pair::start(kind, server.address).await;
    let call = caller::call(cut.front(), "POST", "/a/x", "", "sheet");
    let response = timeout(END_TIMEOUT, call).await.expect("the request should end");
    wait_for_disconnects(&server, 1).await;
    (response, server.requests().len())
}

#[tokio::test]
async fn forwarded_request_gets_the_answer_of_another_endpoint() {
    let (response, runs) = check_forwarded(Kind::Idempotent).await;
    assert_eq!((response.status, runs), (200, 2), "{}", response.head);
}

#[tokio::test]
async fn forwarded_request_that_must_not_run_twice_is_not_repeated() {
    let (response, runs) = check_forwarded(Kind::NonIdempotent).await;
    assert_eq!((response.status, runs), (502, 1), "{}", response.head);
}

/// An engine's answer to the cache query at the start does not end. The query is given up after its
/// short time limit, and the engine gets the prompts like one that lists nothing.
async fn check_cache_query(start: String, part: Part) {
    for pause in [Duration::ZERO, TRICKLE] {
        let stream = Action::Write(stream_head(100) + &event(1) + LAST_CHUNK);
        let engine = Server::start(vec![Action::Endless(start.clone(), part, pause), stream]).await;
        let mut catalog = catalog(1, vec![cascade_route("/a/")]);
        let service = Service { name: SERVICE.into(), memory_tokens: Some(100_000), warmup: None };
        catalog.services.insert(SERVICE.into(), Arc::new(service));
        let endpoints = vec![endpoint("e0", engine.address)];
        let contents = StoreContents { catalog: Some(catalog), endpoints, ..StoreContents::default() };
        let site = Site::start_with(contents, |_| {}).await;
        let headers = "X-Tokens: 6000,20\r\nX-Parts: aa:5000,bb:1000\r\nX-Model: *\r\n";
        let call = caller::call(site.front(), "POST", "/a/x", headers, "prompt");
        let response = timeout(END_TIMEOUT, call).await.expect("the request should end");
        assert!(response.complete, "{response:?}");
        wait_for_disconnects(&engine, 1).await;
        assert!(engine.endless_bytes() < MAX_ENDLESS_BYTES, "{} bytes", engine.endless_bytes());
    }
}

macro_rules! cache_queries {
    ($($name:ident: $start:expr, $part:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_cache_query($start, $part).await;
        }
    )*};
}

cache_queries! {
    cache_query_that_gets_a_head_without_end: open_head(), |n| format!("x-filler-{n}: 1\r\n");
    cache_query_that_gets_informational_responses: String::new(), |_| "HTTP/1.1 102 X\r\n\r\n".into();
    cache_query_that_gets_a_list_without_end: chunked(""), |n| chunk(&format!("part-{n} large\n"));
}
