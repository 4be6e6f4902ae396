//! What engines keep, asked at the start.

use std::time::Duration;

use relay::catalog::{Catalog, Service};

use crate::{
    caller,
    server::{Act, Server, chunk, header, stream_head, whole},
    site::{Kept, SERVICE, Site, catalog, endpoint, laddered},
};

/// An engine whose cache lists parts, a line each, and that then streams.
async fn engine(cached: &str) -> Server {
    let list = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{cached}", cached.len());
    Server::open(vec![Act::Write(list), Act::Write(stream())]).await
}

fn stream() -> String {
    stream_head(100) + &chunk("id: 8\ndata: x\n\n") + "0\r\n\r\n"
}

/// A catalog whose service is of engines.
fn engines() -> Catalog {
    let mut catalog = catalog(1, vec![laddered("/a/")]);
    let service = Service { name: SERVICE.into(), memory_tokens: Some(100_000) };
    catalog.services.insert(SERVICE.into(), std::sync::Arc::new(service));
    catalog
}

async fn open(servers: &[&Server]) -> Site {
    let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address)).collect();
    Site::open_with(Kept { catalog: Some(engines()), endpoints, ..Kept::default() }, |_| {}).await
}

const PROMPT: &str = "X-Tokens: 6000,20\r\nX-Parts: aa:5000,bb:1000\r\nX-Model: *\r\n";

/// Requests that an engine was asked, but for its cache.
fn asked(server: &Server) -> Vec<String> {
    server.seen().into_iter().filter(|request| request.contains("/a/x")).collect()
}

/// All instances are lost and back. A caller resumes a stream that the large model
/// had begun on one engine; its pause is nearly over. It goes to that engine and
/// that model at once: neither the small model's opinion nor the prompt is waited
/// for a second time.
#[tokio::test]
async fn resumed_stream_goes_where_its_prompt_was_read() {
    for holder in 0..3 {
        let cached = |n| if n == holder { "aa small\nbb small\naa large\nbb large" } else { "aa large\nzz large" };
        let servers = [engine(cached(0)).await, engine(cached(1)).await, engine(cached(2)).await];
        let site = open(&[&servers[0], &servers[1], &servers[2]]).await;
        let prompt = format!("{PROMPT}Last-Event-Id: 7\r\n");
        let got = caller::call(site.front(), "POST", "/a/x", &prompt, "prompt").await;
        assert_eq!(got.status, 200, "{got:?}");
        let seen = asked(&servers[holder]);
        assert_eq!(seen.len(), 1, "{seen:?}");
        assert_eq!(header(&seen[0], "x-model").as_deref(), Some("large"));
    }
}

/// A new request has no stream to go on with: it starts small, whoever has read
/// its prompt, and goes to an engine that keeps the shared part.
#[tokio::test]
async fn new_request_finds_what_was_read_before_the_start() {
    for holder in 0..3 {
        let cached = |n| if n == holder { "aa small\naa large" } else { "" };
        let servers = [engine(cached(0)).await, engine(cached(1)).await, engine(cached(2)).await];
        let site = open(&[&servers[0], &servers[1], &servers[2]]).await;
        caller::call(site.front(), "POST", "/a/x", PROMPT, "prompt").await;
        let seen = asked(&servers[holder]);
        assert_eq!(seen.len(), 1, "{seen:?}");
        assert_eq!(header(&seen[0], "x-model").as_deref(), Some("small"));
    }
}

/// One engine never answers the question, another lists what nobody can read.
/// Requests wait for them for a moment only, and are served.
#[tokio::test]
async fn silent_engine_holds_up_nothing_for_long() {
    let silent = Server::open(vec![Act::Hang(String::new()), Act::Write(whole("ok"))]).await;
    let odd = engine("\u{0}\u{1}{[").await;
    let site = open(&[&silent, &odd]).await;
    let asking = caller::call(site.front(), "POST", "/a/x", PROMPT, "prompt");
    let got = tokio::time::timeout(Duration::from_secs(3), asking).await.expect("an answer soon");
    assert_eq!(got.status, 200, "{got:?}");
}
