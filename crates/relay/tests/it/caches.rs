//! Prompt caches of engines, which an instance queries at its start.

use std::time::Duration;

use relay::catalog::{Catalog, Service};

use crate::{
    caller,
    server::{Action, Server, chunk, header, ok_response, stream_head},
    site::{SERVICE, Site, StoreContents, cascade_route, catalog, endpoint},
};

/// Starts an engine whose cache query returns `cached`, one prompt part a line; every later
/// request gets a stream.
async fn engine(cached: &str) -> Server {
    let list = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{cached}", cached.len());
    Server::start(vec![Action::Write(list), Action::Write(stream())]).await
}

fn stream() -> String {
    stream_head(100) + &chunk("id: 8\ndata: x\n\n") + "0\r\n\r\n"
}

/// Returns a catalog whose service consists of engines.
fn engine_catalog() -> Catalog {
    let mut catalog = catalog(1, vec![cascade_route("/a/")]);
    let service = Service { name: SERVICE.into(), memory_tokens: Some(100_000), warmup: None };
    catalog.services.insert(SERVICE.into(), std::sync::Arc::new(service));
    catalog
}

async fn start(servers: &[&Server]) -> Site {
    let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address)).collect();
    Site::start_with(StoreContents { catalog: Some(engine_catalog()), endpoints, ..StoreContents::default() }, |_| {})
        .await
}

const PROMPT_HEADERS: &str = "X-Tokens: 6000,20\r\nX-Parts: aa:5000,bb:1000\r\nX-Model: *\r\n";

/// Returns the prompts that an engine received, without the cache queries.
fn prompts_received(server: &Server) -> Vec<String> {
    server.requests().into_iter().filter(|request| request.contains("/a/x")).collect()
}

/// All instances crash and restart. A caller then resumes a stream that the large model had
/// begun on one engine, shortly before its pause ends. The stream has to go to that engine and
/// that model at once, without waiting for the small model's confidence or for the prompt to be
/// processed a second time.
#[tokio::test]
async fn resumed_stream_goes_to_the_engine_that_read_its_prompt() {
    for holder in 0..3 {
        let cached = |n| if n == holder { "aa small\nbb small\naa large\nbb large" } else { "aa large\nzz large" };
        let servers = [engine(cached(0)).await, engine(cached(1)).await, engine(cached(2)).await];
        let site = start(&[&servers[0], &servers[1], &servers[2]]).await;
        let headers = format!("{PROMPT_HEADERS}Last-Event-Id: 7\r\n");
        let response = caller::call(site.front(), "POST", "/a/x", &headers, "prompt").await;
        assert_eq!(response.status, 200, "{response:?}");
        let requests = prompts_received(&servers[holder]);
        assert_eq!(requests.len(), 1, "{requests:?}");
        assert_eq!(header(&requests[0], "x-model").as_deref(), Some("large"));
    }
}

/// A new request does not resume a stream: it starts with the small model, whichever model has
/// processed its prompt, and goes to an engine that has the shared part in its cache.
#[tokio::test]
async fn new_request_goes_to_an_engine_that_cached_its_prompt_before_the_start() {
    for holder in 0..3 {
        let cached = |n| if n == holder { "aa small\naa large" } else { "" };
        let servers = [engine(cached(0)).await, engine(cached(1)).await, engine(cached(2)).await];
        let site = start(&[&servers[0], &servers[1], &servers[2]]).await;
        caller::call(site.front(), "POST", "/a/x", PROMPT_HEADERS, "prompt").await;
        let requests = prompts_received(&servers[holder]);
        assert_eq!(requests.len(), 1, "{requests:?}");
        assert_eq!(header(&requests[0], "x-model").as_deref(), Some("small"));
    }
}

/// Starts two engines of which the first gives a response to the cache query, and checks whether
/// it gets any of several prompts.
async fn check_prompts_after_query(response: &str, gets_prompts: bool) {
    let asked = Server::start(vec![Action::Write(response.into()), Action::Write(stream())]).await;
    let other = engine("").await;
    let site = start(&[&asked, &other]).await;
    for number in 0..30 {
        let headers = format!("X-Tokens: 6000,20\r\nX-Parts: part-{number}:5000,bb:1000\r\nX-Model: large\r\n");
        caller::call(site.front(), "POST", "/a/x", &headers, "prompt").await;
    }
    assert_eq!(!prompts_received(&asked).is_empty(), gets_prompts);
}

// What an engine states in its response to the cache query counts like what it states in answers.
macro_rules! queries {
    ($($name:ident: $response:expr, $gets_prompts:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_prompts_after_query($response, $gets_prompts).await;
        }
    )*};
}

queries! {
    engine_whose_list_states_nothing_gets_prompts: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", true;
    engine_whose_list_says_that_it_leaves_gets_no_prompts:
        "HTTP/1.1 200 OK\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n", false;
    engine_that_rejects_the_query_and_asks_for_a_pause_gets_no_prompts:
        "HTTP/1.1 503 X\r\nretry-after: 30\r\ncontent-length: 0\r\n\r\n", false;
}

/// One engine never answers the cache query, another returns a malformed list. Requests wait for
/// the queries only briefly and are then served.
#[tokio::test]
async fn silent_engine_delays_requests_only_briefly() {
    let silent = Server::start(vec![Action::Hang(String::new()), Action::Write(ok_response("ok"))]).await;
    let odd = engine("\u{0}\u{1}{[").await;
    let site = start(&[&silent, &odd]).await;
    let call = caller::call(site.front(), "POST", "/a/x", PROMPT_HEADERS, "prompt");
    let response =
        tokio::time::timeout(Duration::from_secs(3), call).await.expect("a response should arrive within 3 s");
    assert_eq!(response.status, 200, "{response:?}");
}
