//! Callers that read slowly, or not at all: what they hold up, and how much memory they take.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use relay::{catalog::Kind, dispatcher::ReadAheadMemory};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    caller,
    server::{Action, LAST_CHUNK, Server, chunk, event, ok_response, stream_head},
    site::{Site, StoreContents, catalog, endpoint, instance_with_catalog, route},
};

const STREAM: Kind = Kind::Stream { resumable: true };

/// Time in which everything that these tests wait for has to happen.
const WAIT: Duration = Duration::from_secs(20);

/// Longest time from a caller's disconnect until its run is cancelled.
const CANCELLED_WITHIN: Duration = Duration::from_millis(500);

/// Number of events of a stream that is much longer than the buffers of the sockets.
const LONG: u32 = 1_600;

/// Returns an event of some 10 KB.
fn large_event(number: u64) -> String {
    chunk(&format!("id: {number}\ndata: {}\n\n", "x".repeat(10_000)))
}

fn long_stream() -> String {
    (1..=LONG).fold(stream_head(90), |text, number| text + &large_event(number.into())) + LAST_CHUNK
}

/// Returns a stream of events that does not end, written as fast as it is read.
fn endless() -> Action {
    Action::Endless(stream_head(90), large_event, Duration::ZERO)
}

fn short_stream() -> Action {
    Action::Write(stream_head(90) + &event(1) + &event(2) + LAST_CHUNK)
}

/// Starts a relay in front of an endpoint that performs the actions.
async fn start(kind: Kind, actions: Vec<Action>, body_memory: usize) -> (Site, Server) {
    let server = Server::start(actions).await;
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/s/", kind)])),
        endpoints: vec![endpoint("e0", server.address)],
        ..StoreContents::default()
    };
    (Site::start_with(contents, |settings| settings.body_memory = body_memory).await, server)
}

/// Sends a request on a connection with a short receive buffer.
async fn send(front: SocketAddr, headers: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut stream = socket.connect(front).await.unwrap();
    stream.write_all(caller::request("POST", "/s/x", headers, "prompt").as_bytes()).await.unwrap();
    stream
}

async fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(WAIT, waiting).await.is_ok(), "{what}");
}

fn has_no_runs(site: &Site) -> bool {
    site.relay.dispatcher().own_loads().is_empty()
}

/// Reads until `count` bytes have come or the connection has ended.
async fn read_some(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    while bytes.len() < count {
        match timeout(WAIT, stream.read(&mut buffer)).await.expect("bytes or the end should come") {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
    bytes
}

/// Returns the numbers of events in the order in which they were received.
fn numbers(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let ends_within = !text.ends_with('\n');
    let mut numbers: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    if ends_within {
        numbers.pop();
    }
    numbers
}

/// An endpoint writes 16 MB and its caller reads nothing. The run must not occupy the endpoint until
/// the caller reads, and the caller must get everything later, in order.
#[tokio::test]
async fn run_ends_although_its_caller_reads_nothing() {
    let (site, server) = start(STREAM, vec![Action::Write(long_stream())], 128 << 20).await;
    let mut caller = send(site.front(), "Connection: close\r\n").await;
    wait_until("the request should be sent", || server.requests().len() == 1).await;
    wait_until("the run should end", || has_no_runs(&site)).await;
    assert_eq!(site.relay.dispatcher().in_flight(), 1, "the response is not sent yet");
    assert!(site.relay.dispatcher().held_body_bytes() > 8 << 20);
    let bytes = read_some(&mut caller, usize::MAX).await;
    assert!(bytes.ends_with(LAST_CHUNK.as_bytes()));
    assert!(numbers(&bytes).into_iter().eq(1..=u64::from(LONG)), "events are missing or out of order");
    let text = String::from_utf8(bytes).unwrap();
    let data = format!("data: {}", "x".repeat(10_000));
    assert_eq!(text.lines().filter(|line| *line == data).count(), 1_600, "an event has changed");
    wait_until("nothing should be in flight", || site.relay.dispatcher().in_flight() == 0).await;
    assert_eq!(site.relay.dispatcher().held_body_bytes(), 0);
}

/// A stream that would take all memory is received at its caller's pace, and nothing of it is lost.
#[tokio::test]
async fn stream_beyond_its_share_waits_for_its_caller() {
    let memory = 4 << 20;
    let (site, server) = start(STREAM, vec![endless()], memory).await;
    let mut caller = send(site.front(), "").await;
    sleep(Duration::from_secs(1)).await;
    assert!(site.relay.dispatcher().held_body_bytes() <= memory / 2);
    let before = server.endless_bytes();
    sleep(Duration::from_millis(300)).await;
    assert_eq!(server.endless_bytes(), before, "the endpoint should wait");
    let bytes = read_some(&mut caller, 30 << 20).await;
    let numbers = numbers(&bytes);
    let count = u64::try_from(numbers.len()).unwrap();
    assert!(count > 2_900, "{count} events");
    assert!(numbers.iter().copied().eq(1..=count), "events are missing or out of order");
    assert!(server.endless_bytes() > before);
}

/// Twenty-four callers read nothing of streams that do not end. Callers beside them must be served,
/// also with bodies of a quarter of the memory.
#[tokio::test]
async fn slow_readers_leave_memory_to_quick_ones() {
    let (memory, slow) = (8 << 20, 24);
    let actions = (0..slow).map(|_| endless()).chain([short_stream()]).collect();
    let (site, server) = start(STREAM, actions, memory).await;
    let mut callers = Vec::new();
    for _ in 0..slow {
        callers.push(send(site.front(), "").await);
    }
    wait_until("all requests should be sent", || server.requests().len() == slow).await;
    let body = "x".repeat(memory / 4);
    let mut most = 0;
    for _ in 0..20 {
        let response = caller::call(site.front(), "POST", "/s/x", "", &body).await;
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        most = most.max(site.relay.dispatcher().held_body_bytes());
        sleep(Duration::from_millis(50)).await;
    }
    // Each stream has an incomplete event besides.
    assert!(most <= memory / 2 + slow * (11 << 10), "{most} bytes are held for slow readers");
    assert_eq!(server.disconnects(), 0, "no caller has disconnected");
}

/// Callers read nothing of whole answers, which take nearly all memory. A request whose body finds no
/// memory must not be refused because of them: the slowest of them lose their answers.
#[tokio::test]
async fn request_is_not_refused_because_of_slow_readers() {
    let memory = 46 << 20;
    let long = || Action::Write(ok_response(&"x".repeat(11 << 20)));
    let actions = vec![long(), long(), long(), Action::Write(ok_response("short"))];
    let (site, server) = start(Kind::NonIdempotent, actions, memory).await;
    let mut callers = Vec::new();
    for count in 1..=3 {
        callers.push(send(site.front(), "").await);
        wait_until("the request should be sent", || server.requests().len() == count).await;
        let held = || site.relay.dispatcher().held_body_bytes();
        wait_until("the answer should be held", || held() >= count * (11 << 20)).await;
    }
    // Other requests are sending their bodies.
    let mut other = site.relay.dispatcher().reserve_request_memory();
    assert!(other.grow(memory - site.relay.dispatcher().held_body_bytes() - (1 << 20)));
    sleep(Duration::from_secs(1)).await;
    let response = caller::call(site.front(), "POST", "/s/x", "", &"x".repeat(3 << 20)).await;
    assert_eq!((response.status, response.body.as_str()), (200, "short"), "{response:?}");
    let held = site.relay.dispatcher().held_body_bytes();
    assert!(held > 22 << 20, "the other two must keep their answers: {held} bytes are held");
    drop(other);
    let received = read_some(&mut callers[2], 11 << 20).await;
    assert!(received.len() >= 11 << 20, "{} bytes", received.len());
}

/// A stream breaks and is resumed while its caller reads nothing.
#[tokio::test]
async fn stream_is_resumed_while_its_caller_reads_nothing() {
    let half = LONG / 2;
    let first = (1..=half).fold(stream_head(90), |text, number| text + &large_event(number.into()));
    let rest = (half + 1..=LONG).fold(stream_head(90), |text, number| text + &large_event(number.into()));
    let actions =
        vec![Action::Pause(first, Duration::from_millis(500), "broken".into()), Action::Write(rest + LAST_CHUNK)];
    let (site, server) = start(STREAM, actions, 128 << 20).await;
    let mut caller = send(site.front(), "Connection: close\r\n").await;
    wait_until("the stream should be resumed", || server.requests().len() == 2).await;
    wait_until("the run should end", || has_no_runs(&site)).await;
    let bytes = read_some(&mut caller, usize::MAX).await;
    assert!(bytes.ends_with(LAST_CHUNK.as_bytes()));
    assert!(numbers(&bytes).into_iter().eq(1..=u64::from(LONG)), "events are missing or out of order");
}

/// A stream that may not be resumed breaks while its caller reads nothing. The caller gets what was
/// received, and a response that looks cut off.
#[tokio::test]
async fn slow_reader_of_a_broken_stream_gets_its_beginning() {
    let first = (1..=LONG).fold(stream_head(90), |text, number| text + &large_event(number.into()));
    let actions = vec![Action::Pause(first, Duration::from_millis(500), "broken".into())];
    let (site, _server) = start(Kind::Stream { resumable: false }, actions, 128 << 20).await;
    let mut caller = send(site.front(), "Connection: close\r\n").await;
    wait_until("the stream should begin", || !has_no_runs(&site)).await;
    wait_until("the run should end", || has_no_runs(&site)).await;
    let bytes = read_some(&mut caller, usize::MAX).await;
    assert!(!bytes.ends_with(LAST_CHUNK.as_bytes()));
    let numbers = numbers(&bytes);
    let count = u64::try_from(numbers.len()).unwrap();
    assert!(numbers.into_iter().eq(1..=count), "events are missing or out of order");
    // The HTTP library drops what it has not sent when a response is cut off: some 64 KB.
    assert!(count >= u64::from(LONG) - 20, "{count} events");
}

/// A caller that has not read what was received for it disconnects. Its run must not go on.
#[tokio::test]
async fn disconnect_of_a_slow_reader_cancels_its_run() {
    let (site, server) = start(STREAM, vec![endless()], 4 << 20).await;
    let caller = send(site.front(), "").await;
    wait_until("the stream should begin", || server.endless_bytes() > 2 << 20).await;
    drop(caller);
    let since = Instant::now();
    wait_until("the run should be cancelled", || server.disconnects() == 1).await;
    assert!(since.elapsed() < CANCELLED_WITHIN, "{:?}", since.elapsed());
    wait_until("the run should be recorded as ended", || has_no_runs(&site)).await;
    assert_eq!((site.relay.dispatcher().in_flight(), site.relay.dispatcher().held_body_bytes()), (0, 0));
}

/// A caller that has read everything so far disconnects in a pause of its stream.
#[tokio::test]
async fn disconnect_in_a_pause_cancels_the_run() {
    let (site, server) = start(STREAM, vec![Action::Hang(stream_head(90) + &event(1))], 4 << 20).await;
    let mut caller = send(site.front(), "").await;
    assert!(!read_some(&mut caller, 1).await.is_empty());
    drop(caller);
    let since = Instant::now();
    wait_until("the run should be cancelled", || server.disconnects() == 1).await;
    assert!(since.elapsed() < CANCELLED_WITHIN, "{:?}", since.elapsed());
}

/// A caller reads nothing of a response that is in memory. It must not keep the memory for longer
/// than its deadline, and other callers must not notice.
async fn check_stalled_caller(kind: Kind, action: Action, short: Action) {
    let (site, server) = start(kind, vec![action, short], 128 << 20).await;
    let _caller = send(site.front(), "X-Deadline: 2500\r\n").await;
    wait_until("the request should be sent", || server.requests().len() == 1).await;
    wait_until("the response should be held", || site.relay.dispatcher().held_body_bytes() > 4 << 20).await;
    let response = caller::call(site.front(), "POST", "/s/x", "", "").await;
    assert!(response.complete, "{response:?}");
    wait_until("the caller should be disconnected", || site.relay.dispatcher().held_body_bytes() == 0).await;
    assert_eq!(site.relay.dispatcher().in_flight(), 0);
}

#[tokio::test]
async fn caller_that_reads_nothing_of_a_stream_is_disconnected() {
    check_stalled_caller(STREAM, Action::Write(long_stream()), short_stream()).await;
}

#[tokio::test]
async fn caller_that_reads_nothing_of_a_whole_answer_is_disconnected() {
    let long = ok_response(&"x".repeat(14 << 20));
    check_stalled_caller(Kind::Idempotent, Action::Write(long), Action::Write(ok_response("short"))).await;
}

/// A caller reads slowly and goes on for much longer than its deadline. It must get the whole answer,
/// which was ready in time.
#[tokio::test]
async fn caller_that_reads_slowly_gets_its_whole_answer() {
    let length = 14 << 20;
    let long = Action::Write(ok_response(&"x".repeat(length)));
    let (site, _server) = start(Kind::Idempotent, vec![long], 128 << 20).await;
    let mut caller = send(site.front(), "X-Deadline: 1000\r\n").await;
    let mut received = 0;
    // Some 5 s at this pace, in steps that free less than the send buffer's share that is
    // reported as writable.
    for _ in 0..25 {
        received += read_some(&mut caller, 64 << 10).await.len();
        sleep(Duration::from_millis(200)).await;
    }
    received += read_some(&mut caller, length - received).await.len();
    assert!(received >= length, "{received} bytes");
}

/// Guards against further runs of a request whose answer finds no memory: that of the next endpoint would
/// find none either.
#[tokio::test]
async fn answer_that_finds_no_memory_is_not_asked_for_again() {
    let long = Action::Write(ok_response(&"x".repeat(6 << 20)));
    let (site, server) = start(Kind::Idempotent, vec![long; 3], 8 << 20).await;
    let response = caller::call(site.front(), "POST", "/s/x", "", "").await;
    assert_eq!((response.status, response.complete), (502, true), "{response:?}");
    assert_eq!(server.requests().len(), 1, "runs");
}

/// Guards against the loss of answers of callers that read: one reads slowly and one not at all, and ten
/// requests find no memory at once. Only the one that reads nothing loses its answer.
#[tokio::test]
async fn slow_but_steady_reader_keeps_its_answer_beside_a_stalled_one() {
    let (memory, length) = (48 << 20, 11 << 20);
    let long = || Action::Write(ok_response(&"x".repeat(length)));
    let short = (0..10).map(|_| Action::Write(ok_response("short")));
    let actions = [long(), long(), long()].into_iter().chain(short).collect();
    let (site, server) = start(Kind::NonIdempotent, actions, memory).await;
    let held = || site.relay.dispatcher().held_body_bytes();
    let mut callers = Vec::new();
    for count in 1..=3 {
        callers.push(send(site.front(), "").await);
        wait_until("the request should be sent", || server.requests().len() == count).await;
        wait_until("the answer should be held", || held() >= count * length).await;
    }
    let mut stalled = callers.pop().unwrap();
    let steady: Vec<_> = callers
        .into_iter()
        .map(|mut caller| {
            tokio::spawn(async move {
                let mut received = 0;
                for _ in 0..20 {
                    received += read_some(&mut caller, 64 << 10).await.len();
                    sleep(Duration::from_millis(100)).await;
                }
                received + read_some(&mut caller, length - received).await.len()
            })
        })
        .collect();
    let mut other = site.relay.dispatcher().reserve_request_memory();
    assert!(other.grow(memory - held() - (256 << 10)));
    sleep(Duration::from_millis(1_200)).await;
    let front = site.front();
    let calls = (0..10)
        .map(|_| tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", &"x".repeat(512 << 10)).await }));
    for call in calls.collect::<Vec<_>>() {
        let response = call.await.unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, "short"), "{response:?}");
    }
    for steady in steady {
        let received = steady.await.unwrap();
        assert!(received >= length, "{received} bytes");
    }
    assert!(read_some(&mut stalled, length).await.len() < length, "the stalled caller should lose its answer");
}

/// Guards against a run that outlasts its deadline: its caller reads nothing, and no memory is left to
/// receive more.
#[tokio::test]
async fn run_of_a_stream_without_memory_ends_with_its_deadline() {
    let (site, server) = start(STREAM, vec![endless()], 4 << 20).await;
    let since = Instant::now();
    let _caller = send(site.front(), "X-Deadline: 1000\r\n").await;
    wait_until("the run should be cancelled", || server.disconnects() == 1).await;
    assert!(since.elapsed() < Duration::from_millis(1_600), "{:?}", since.elapsed());
    wait_until("the run should be recorded as ended", || has_no_runs(&site)).await;
}

/// Returns a frame of a stream.
fn frame(kilobytes: usize) -> Bytes {
    Bytes::from(vec![b'x'; kilobytes << 10])
}

/// Guards against frames that the HTTP library holds and nobody counts: some hundred slow readers would take
/// several times the bound.
#[tokio::test]
async fn frame_counts_until_it_is_written() {
    let instance = instance_with_catalog(1);
    let stream = instance.reserve_read_ahead_memory();
    let held = stream.hold(&frame(200)).unwrap();
    assert!(instance.held_body_bytes() >= 200 << 10);
    drop(stream);
    assert!(instance.held_body_bytes() >= 200 << 10, "the HTTP library still writes it");
    drop(held);
    assert_eq!(instance.held_body_bytes(), 0);
}

/// Guards against long events outside the bound: a stream may always hold one frame, but none of a megabyte.
#[tokio::test]
async fn long_frame_is_not_held_without_memory() {
    let instance = instance_with_catalog(1);
    let mut requests = instance.reserve_request_memory();
    assert!(requests.grow(instance.settings.body_memory));
    let stream = instance.reserve_read_ahead_memory();
    assert!(stream.hold(&frame(200)).is_none());
    let short = stream.hold(&frame(8)).unwrap();
    assert!(stream.hold(&frame(8)).is_none(), "one at a time");
    drop(short);
    stream.wait_for_release().await;
    assert!(stream.hold(&frame(8)).is_some());
}

/// Guards against quick readers that wait for slow ones, whose streams have used up their part of the memory.
#[tokio::test]
async fn quick_stream_of_long_frames_goes_on_beside_slow_ones() {
    let instance = instance_with_catalog(1);
    let memory = instance.settings.body_memory;
    let slow: Vec<_> = (0..100).map(|_| instance.reserve_read_ahead_memory()).collect();
    let fill = |stream: &ReadAheadMemory| std::iter::from_fn(|| stream.hold(&frame(8))).collect::<Vec<_>>();
    let _held: Vec<_> = slow.iter().map(fill).collect();
    let quick = instance.reserve_read_ahead_memory();
    for _ in 0..10 {
        let long = quick.hold(&frame(60)).expect("its caller has taken what was held");
        assert!(quick.hold(&frame(60)).is_none(), "one at a time");
        drop(long);
    }
    let streams: Vec<_> = (0..100).map(|_| instance.reserve_read_ahead_memory()).collect();
    let _long: Vec<_> = streams.iter().filter_map(|stream| stream.hold(&frame(60))).collect();
    assert!(instance.held_body_bytes() <= memory / 4 * 3, "a quarter is left to requests and whole answers");
}
