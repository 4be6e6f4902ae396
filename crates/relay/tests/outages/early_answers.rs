//! Endpoints that answer while the request's body is still being sent to them.
//!
//! An answer without a length ends with its connection. If the endpoint resets the connection, the relay may meet the
//! reset while it writes the body, and the next read would look like an orderly end: half an answer would pass for a
//! whole one.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use relay::catalog::Kind;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    caller::{self, Response},
    forwarding_pair,
    server::{LAST_CHUNK, chunk, header, ok_response},
    site::{Site, StoreContents, catalog, endpoint, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };
const NOT_RESUMABLE: Kind = Kind::Stream { resumable: false };

/// Bytes of a request's body, more than the buffers between the relay and an endpoint hold.
const BODY_BYTES: usize = 3 << 20;

/// Memory for bodies.
const BODY_MEMORY: usize = 64 << 20;

/// Times between the answer and the end of its connection. The relay meets the end in a read or in a write.
const PAUSES: [Duration; 4] =
    [Duration::ZERO, Duration::from_micros(300), Duration::from_millis(3), Duration::from_millis(30)];

/// Plays of each pause.
const PLAYS: usize = 4;

/// How much of a body an endpoint reads before it answers.
#[derive(Debug, Clone, Copy)]
enum Reads {
    Nothing,
    Some,
    All,
}

/// How an endpoint ends the connection after its answer.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Reset,
    /// Closes it with bytes of the body unread, which resets it.
    Close,
    /// Sends nothing more and reads the rest of the body.
    HalfClose,
}

/// What an endpoint does with its first request; it answers later ones in full.
#[derive(Debug, Clone)]
struct Early {
    reads: Reads,
    answer: String,
    pause: Duration,
    ending: Ending,
}

struct Endpoint {
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    _task: AbortOnDropHandle<()>,
}

impl Endpoint {
    async fn start(early: Early, later: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let whole = Early { reads: Reads::All, answer: later.clone(), ending: Ending::HalfClose, ..early };
                tokio::spawn(answer(stream, early.clone(), whole, Arc::clone(&counted)));
            }
        });
        Self { address, runs, _task: AbortOnDropHandle::new(task) }
    }
}

/// Answers the first request as `early` says and later ones as `whole` does.
async fn answer(mut stream: TcpStream, early: Early, whole: Early, runs: Arc<AtomicUsize>) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let end = loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        // Byte by byte, so that nothing of the body is read.
        match stream.read(&mut buffer[..1]).await {
            Ok(1..) => received.push(buffer[0]),
            _ => return,
        }
    };
    let early = if runs.fetch_add(1, Ordering::Relaxed) == 0 { early } else { whole };
    let id = header(&String::from_utf8_lossy(&received[..end]), "x-request").unwrap_or_default();
    let mut left = match early.reads {
        Reads::Nothing => 0,
        Reads::Some => BODY_BYTES / 3,
        Reads::All => BODY_BYTES,
    };
    while left > 0 {
        let most = left.min(buffer.len());
        let Ok(count @ 1..) = stream.read(&mut buffer[..most]).await else { return };
        left -= count;
    }
    stream.write_all(early.answer.replace("{id}", &id).as_bytes()).await.ok();
    if !early.pause.is_zero() {
        sleep(early.pause).await;
    }
    match early.ending {
        Ending::Reset => drop(stream.set_zero_linger()),
        Ending::Close => {}
        Ending::HalfClose => {
            stream.shutdown().await.ok();
            while let Ok(1..) = stream.read(&mut buffer).await {}
        }
    }
}

/// Returns an answer that has neither a length nor chunks.
fn unframed(body: &str) -> String {
    format!("HTTP/1.1 200 X\r\nx-request: {{id}}\r\nx-signature: s\r\nconnection: close\r\n\r\n{body}")
}

/// Returns a stream that has neither a length nor chunks.
fn unframed_stream(events: &str) -> String {
    unframed(events).replace("connection:", "content-type: text/event-stream\r\nconnection:")
}

/// How a request gets to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Direct,
    /// Through another instance.
    Forwarded,
}

async fn play(path: Path, kind: Kind, early: &Early, later: &str) -> (Response, usize) {
    let server = Endpoint::start(early.clone(), later.to_owned()).await;
    if path == Path::Forwarded {
        let (cut, _other) = forwarding_pair::start(kind, server.address).await;
        let response = caller::call(cut.front(), "POST", "/a/x", "", &"b".repeat(BODY_BYTES)).await;
        return (response, server.runs.load(Ordering::Relaxed));
    }
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", kind)])),
        endpoints: vec![endpoint("e0", server.address)],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |settings| settings.body_memory = BODY_MEMORY).await;
    let body = "b".repeat(BODY_BYTES);
    let response = caller::call(site.front(), "POST", "/a/x", "", &body).await;
    (response, server.runs.load(Ordering::Relaxed))
}

/// Plays an early answer with each pause, several times, and checks what the caller gets.
async fn check(kind: Kind, early: Early, later: &str, is_right: fn(&Response, usize) -> bool) {
    for pause in PAUSES {
        for _ in 0..PLAYS {
            let early = Early { pause, ..early.clone() };
            let (response, runs) = play(Path::Direct, kind, &early, later).await;
            assert!(is_right(&response, runs), "{runs} runs, {early:?}: {response:?}");
        }
    }
}

/// Plays an early answer once with each pause, to a request that another instance forwards.
async fn check_forwarded(kind: Kind, early: Early, later: &str, is_right: fn(&Response, usize) -> bool) {
    for pause in PAUSES {
        let early = Early { pause, ..early.clone() };
        let (response, runs) = play(Path::Forwarded, kind, &early, later).await;
        assert!(is_right(&response, runs), "{runs} runs, {early:?}: {response:?}");
    }
}

/// The request may have run, and must not be sent again.
fn is_lost(response: &Response, runs: usize) -> bool {
    (response.status, runs) == (502, 1)
}

fn is_repeated(response: &Response, runs: usize) -> bool {
    (response.status, response.body.as_str(), response.complete, runs) == (200, "again", true, 2)
}

fn is_whole(response: &Response, runs: usize) -> bool {
    (response.status, response.body.as_str(), response.complete, runs) == (200, "all of it", true, 1)
}

/// The stream has no end that could pass for the last one, or is refused before its first event.
fn is_broken_off(response: &Response, runs: usize) -> bool {
    !(response.status == 200 && response.complete) && runs == 1
}

fn is_resumed(response: &Response, _: usize) -> bool {
    let numbers: Vec<_> = response.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    response.status == 200 && response.complete && numbers == ["1", "2"]
}

macro_rules! broken {
    ($($name:ident: $reads:expr, $ending:expr;)*) => {$(
        /// An answer that is broken off by a reset would pass for a whole one.
        mod $name {
            use super::*;

            fn early(answer: String) -> Early {
                Early { reads: $reads, answer, pause: Duration::ZERO, ending: $ending }
            }

            #[tokio::test]
            async fn upload_is_lost() {
                check(Kind::NonIdempotent, early(unframed("half of")), "", is_lost).await;
            }

            #[tokio::test]
            async fn idempotent_request_is_repeated() {
                check(Kind::Idempotent, early(unframed("half of")), &ok_response("again"), is_repeated).await;
            }

            #[tokio::test]
            async fn stream_is_broken_off() {
                let events = unframed_stream("id: 1\ndata: d1\n\n");
                check(NOT_RESUMABLE, early(events), "", is_broken_off).await;
            }

            #[tokio::test]
            async fn forwarded_upload_is_lost() {
                check_forwarded(Kind::NonIdempotent, early(unframed("half of")), "", is_lost).await;
            }

            #[tokio::test]
            async fn forwarded_idempotent_request_is_repeated() {
                check_forwarded(Kind::Idempotent, early(unframed("half of")), &ok_response("again"), is_repeated).await;
            }

            #[tokio::test]
            async fn forwarded_stream_is_broken_off() {
                let events = unframed_stream("id: 1\ndata: d1\n\n");
                check_forwarded(NOT_RESUMABLE, early(events), "", is_broken_off).await;
            }

            #[tokio::test]
            async fn stream_is_resumed() {
                let events = unframed_stream("id: 1\ndata: d1\n\n");
                let rest = unframed_stream("").replace("connection: close", "transfer-encoding: chunked")
                    + &chunk("id: 2\ndata: d2\n\n") + LAST_CHUNK;
                check(RESUMABLE, early(events), &rest, is_resumed).await;
            }
        }
    )*};
}

broken! {
    reset_with_nothing_read: Reads::Nothing, Ending::Reset;
    reset_with_a_part_read: Reads::Some, Ending::Reset;
    reset_with_all_read: Reads::All, Ending::Reset;
    close_with_nothing_read: Reads::Nothing, Ending::Close;
    close_with_a_part_read: Reads::Some, Ending::Close;
}

macro_rules! whole {
    ($($name:ident: $reads:expr, $ending:expr, $answer:expr;)*) => {$(
        /// A whole answer would be lost with the body that its endpoint does not want.
        #[tokio::test]
        async fn $name() {
            let early = Early { reads: $reads, answer: $answer, pause: Duration::ZERO, ending: $ending };
            check(Kind::NonIdempotent, early, "", is_whole).await;
        }
    )*};
}

whole! {
    answer_without_a_length_ends_with_a_close_and_nothing_read: Reads::Nothing, Ending::HalfClose, unframed("all of it");
    answer_without_a_length_ends_with_a_close_and_a_part_read: Reads::Some, Ending::HalfClose, unframed("all of it");
    answer_without_a_length_ends_with_a_close_and_all_read: Reads::All, Ending::Close, unframed("all of it");
    answer_with_a_length_is_whole_with_nothing_read: Reads::Nothing, Ending::HalfClose, ok_response("all of it");
}

/// The endpoint does not even wait for the request. Nothing of its answer may reach the caller.
#[tokio::test]
async fn answer_before_the_request_is_not_passed_on() {
    for ending in ["reset", "close"] {
        for pause in PAUSES {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let _server = AbortOnDropHandle::new(tokio::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    stream.write_all(unframed("half of").replace("{id}", "r1").as_bytes()).await.ok();
                    sleep(pause).await;
                    if ending == "reset" {
                        stream.set_zero_linger().ok();
                    }
                }
            }));
            let contents = StoreContents {
                catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
                endpoints: vec![endpoint("e0", address)],
                ..StoreContents::default()
            };
            let site = Site::start_with(contents, |settings| settings.body_memory = BODY_MEMORY).await;
            let response = caller::call(site.front(), "POST", "/a/x", "", &"b".repeat(BODY_BYTES)).await;
            assert!(matches!(response.status, 502 | 503), "{ending} after {pause:?}: {response:?}");
        }
    }
}
