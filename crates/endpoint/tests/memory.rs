//! Memory of answers without end, on the chat path. It is a program of its own, since it measures the process.

use std::{fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use endpoint::{Attempt, Broken, Dispatch, Error, Frame, Handle, Settings, service::Call};
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use world::model::Version;

/// Calls whose answers do not end, at a time, of each kind.
const CALLS: usize = 48;

/// Memory that all answers may take.
const MAX_HELD: usize = 32 << 20;

/// Memory that the process may take beyond what it took before: that of the answers, and the sockets' and the test's own
/// buffers of each connection. One answer alone may have 16 MiB.
const MAX_GROWTH_KIB: u64 = 160 << 10;

/// Time in which a sound answer arrives beside the others.
const SOON: Duration = Duration::from_secs(10);

/// Answers each request with `start`, and `part` again and again.
async fn serve(start: &'static str, part: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port 0 is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, start, part));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, start: &'static str, part: &'static str) {
    let (mut request, mut buffer) = (Vec::new(), [0; 1 << 10]);
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => request.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let mut sent = stream.write_all(start.as_bytes()).await;
    let part = part.repeat((16 << 10) / part.len().max(1));
    while sent.is_ok() && !part.is_empty() {
        sent = stream.write_all(part.as_bytes()).await;
    }
}

fn open() -> Handle {
    endpoint::open(Settings { max_held: MAX_HELD, idle_timeout: Duration::from_secs(5), ..Settings::default() })
}

fn dispatch(address: SocketAddr) -> Dispatch {
    Dispatch {
        attempt: Attempt::parse("a-1").expect("a name"),
        address,
        version: Version::parse("summary@3").expect("a version"),
        body: Bytes::from_static(b"{}"),
        priority: 3,
        deadline: Instant::now() + Duration::from_secs(20),
    }
}

fn call(address: SocketAddr) -> Call {
    Call {
        attempt: Attempt::parse("a-1").expect("a name"),
        address,
        method: Method::GET,
        path: "/read".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        key: None,
        deadline: Instant::now() + Duration::from_secs(20),
    }
}

/// Most resident memory that this process has had, in KiB.
fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system tells");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

async fn run(handle: Handle, address: SocketAddr) -> bool {
    let Ok(mut run) = handle.run(dispatch(address)).await else { return true };
    let mut end = None;
    while let Some(frame) = run.next().await {
        end = Some(frame);
    }
    matches!(end, Some(Err(Broken::Cut | Broken::Malformed | Broken::Idle | Broken::Deadline)))
}

const HEAD: &str = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// A process that kept the answers of many faulty endpoints would be killed with the requests of everybody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_have_a_limit_together() {
    let answers = [
        (HEAD, "x"),
        (CHUNKED, "1\r\nx\r\n"),
        (CHUNKED, "0"),
        ("HTTP/1.1 200 X\r\nx-filler: ", "x"),
        ("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ", "x"),
        ("HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\ndata: ", "x"),
    ];
    let sound = serve("HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nsound", "").await;
    let event = "id: a-1:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"all\"},\"finish_reason\":\"stop\"}]}\n\n";
    let engine = serve(Box::leak(format!("{HEAD}{event}").into_boxed_str()), "").await;
    for (start, part) in answers {
        let (handle, faulty) = (open(), serve(start, part).await);
        let before = peak_kib();
        let mut crowd = JoinSet::new();
        for _ in 0..CALLS {
            let (called, ran) = (handle.clone(), handle.clone());
            crowd.spawn(async move { matches!(called.call_service(call(faulty)).await, Err(Error::Unknown { .. })) });
            crowd.spawn(run(ran, faulty));
        }
        for _ in 0..5 {
            sleep(Duration::from_millis(100)).await;
            let called = timeout(SOON, handle.call_service(call(sound))).await.expect("it is soon");
            assert_eq!(called.map(http::Response::into_body), Ok(Bytes::from_static(b"sound")), "beside {part:?}");
            let mut run = timeout(SOON, handle.run(dispatch(engine))).await.expect("it is soon").expect("a run");
            let end = async {
                let mut end = None;
                while let Some(frame) = run.next().await {
                    end = Some(frame);
                }
                end
            };
            let end = timeout(SOON, end).await.expect("it is soon");
            assert!(matches!(end, Some(Ok(Frame::Finish { .. }))), "beside {part:?}: {end:?}");
        }
        let ends = crowd.join_all().await;
        assert!(ends.iter().all(|is_failure| *is_failure), "an answer without an end was taken for a whole one");
        let growth = peak_kib() - before;
        println!("{} MiB more beside {part:?}", growth >> 10);
        assert!(growth < MAX_GROWTH_KIB, "{} MiB more beside {start:?} {part:?}", growth >> 10);
    }
}
