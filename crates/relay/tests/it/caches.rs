//! Prompt caches of engines, which an instance queries at its start.

use std::time::Duration;

use relay::catalog::{Catalog, Service};

use crate::{
    caller,
    server::{Act, Server, chunk, header, stream_head, whole},
    site::{Kept, SERVICE, Site, catalog, endpoint, laddered},
};

/// Starts an engine whose cache query returns `cached`, one prompt part a line; every later
/// request gets a stream.
async fn engine(cached: &str) -> Server {
    let list = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{cached}", cached.len());
    Server::open(vec![Act::Write(list), Act::Write(stream())]).await
}

fn stream() -> String {
    stream_head(100) + &chunk("id: 8\ndata: x\n\n") + "0\r\n\r\n"
}

/// Returns a catalog whose service consists of engines.
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

/// Returns the prompts that an engine received, without the cache queries.
fn asked(server: &Server) -> Vec<String> {
    server.seen().into_iter().filter(|request| request.contains("/a/x")).collect()
}

/// All instances crash and restart. A caller then resumes a stream that the large model had
/// begun on one engine, shortly before its pause ends. The stream has to go to that engine and
/// that model at once, without waiting for the small model's confidence or for the prompt to be
/// read a second time.
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

/// A new request does not resume a stream: it starts with the small model, whichever model has
/// read its prompt, and goes to an engine that has the shared part in its cache.
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

/// One engine never answers the cache query, another returns a malformed list. Requests wait for
/// the queries only briefly and are then served.
#[tokio::test]
async fn silent_engine_holds_up_nothing_for_long() {
    let silent = Server::open(vec![Act::Hang(String::new()), Act::Write(whole("ok"))]).await;
    let odd = engine("\u{0}\u{1}{[").await;
    let site = open(&[&silent, &odd]).await;
    let asking = caller::call(site.front(), "POST", "/a/x", PROMPT, "prompt");
    let got = tokio::time::timeout(Duration::from_secs(3), asking).await.expect("an answer soon");
    assert_eq!(got.status, 200, "{got:?}");
}
