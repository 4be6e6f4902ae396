//! The command `explain` against instances on real sockets: its output, its exit statuses, and what an
//! instance answers to queries that it cannot use.

#[path = "../../relay/tests/it/site.rs"]
#[expect(dead_code, reason = "shared with the tests of the relay")]
mod site;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    process::{Command, Output, Stdio},
    sync::{Mutex, OnceLock},
    time::Duration,
};

use arbutuslugd::relaying::{
    listener::{Instance, Listener},
    turns::Turns,
};
use relay::{
    catalog::Kind,
    clock,
    dispatcher::{
        Dispatcher,
        fleet::{Job, RejectionLimit, short_hash},
    },
    explain::{Caller, Query},
    settings::{Admission, Placement, Settings},
};
use route::relay::freshness::Proof;
use serde_json::{Value, json};
use site::{HOST, KEY, SERVICE, Site, StoreContents, cascade_route, catalog, endpoint, route};

/// Returns the address of an operators' listener of an instance with two endpoints.
async fn start() -> (Site, SocketAddr) {
    let routes = vec![route("/a/", Kind::Idempotent), cascade_route("/s/")];
    let endpoints = vec![endpoint("e0", ([127, 0, 0, 1], 9).into()), endpoint("e1", ([127, 0, 0, 1], 10).into())];
    let contents = StoreContents { catalog: Some(catalog(1, routes)), endpoints, ..StoreContents::default() };
    // Both count decisions in metrics.
    let adjust = |settings: &mut Settings| {
        settings.policies.admission = Admission::Fair;
        settings.policies.placement = Placement::Balanced;
    };
    let site = Site::start_with(contents, adjust).await;
    let instance = Instance::default();
    instance.set(site.relay.dispatcher());
    let listener = Listener::bind(([127, 0, 0, 1], 0).into(), 24).await.unwrap();
    let address = listener.address().unwrap();
    tokio::spawn(listener.serve(instance));
    (site, address)
}

/// Runs the command for a request of the team `club`, with further arguments and standard input.
async fn run(at: SocketAddr, arguments: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_arbutuslugd"));
    command.args(["explain", "--at", &at.to_string(), "--host", HOST]).args(arguments);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let input = input.to_owned();
    tokio::task::spawn_blocking(move || {
        let mut child = command.spawn().unwrap();
        // A command that fails early does not read it.
        child.stdin.take().unwrap().write_all(input.as_bytes()).ok();
        child.wait_with_output().unwrap()
    })
    .await
    .unwrap()
}

/// Sends bytes and returns the whole response.
async fn send(at: SocketAddr, bytes: Vec<u8>) -> String {
    tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(&bytes).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    })
    .await
    .unwrap()
}

async fn post(at: SocketAddr, body: &str) -> String {
    let head =
        format!("POST /explain HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    send(at, (head + body).into_bytes()).await
}

macro_rules! commands {
    ($($(#[$doc:meta])* $name:ident: $arguments:expr, $input:expr => $status:literal, $shown:literal;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (_site, at) = start().await;
            let output = run(at, &$arguments, $input).await;
            let shown = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
            assert_eq!(output.status.code(), Some($status), "{shown}");
            assert!(shown.contains($shown), "{shown}");
            assert!(!shown.contains(KEY) && !shown.contains("secret"), "{shown}");
        }
    )*};
}

// Scripts rely on the exit status: a refusal, wrong input and an unreachable instance must not look alike.
commands! {
    request_that_would_be_sent: ["--path", "/a/x", "--team", "club"], "" => 0, "sent to e";
    key_is_read_from_standard_input: ["--path", "/a/x", "--key-file", "-"], "key-of-club\n" => 0, "team club";
    key_in_a_header: ["--path", "/a/x", "--header", "x-key: key-of-club"], "" => 2, "give the key as `key`";
    repeated_header: ["--path", "/a/x", "--header", "x-model:a", "--header", "X-Model:b"], ""
        => 2, "--header: a name is repeated";
    prompt_with_parts: ["--path", "/s/x", "--team", "club", "--header", "x-model:*", "--part", "p1:2000",
        "--part", "p2:10", "--tokens", "2010,5"], "" => 0, "model small: expected times";
    unknown_key_is_refused: ["--path", "/a/x", "--key-file", "-"], "secret" => 1, "refused: NoKey (401)";
    unknown_route_is_refused: ["--path", "/b", "--team", "club"], "" => 1, "refused: NoRoute (404)";
    unknown_team: ["--path", "/a/x", "--team", "crew"], "" => 2, "invalid field `team`";
    path_without_a_slash: ["--path", "a", "--team", "club"], "" => 2, "invalid field `path`";
    header_without_a_value: ["--path", "/a/x", "--header", "secret"], "" => 2, "--header: not `NAME:VALUE`";
    part_without_tokens: ["--path", "/a/x", "--part", "p1"], "" => 2, "--part: not `ID:TOKENS`";
    tokens_that_are_no_numbers: ["--path", "/a/x", "--tokens", "few"], "" => 2, "--tokens: not `PROMPT,OUTPUT`";
    missing_path: ["--team", "club"], "" => 2, "--path";
    team_and_key: ["--path", "/a/x", "--team", "club", "--key-file", "-"], "" => 2, "cannot be used with";
    missing_key_file: ["--path", "/a/x", "--key-file", "/nowhere/key"], "" => 2, "--key-file: ";
    query_beyond_the_limit: ["--path", "/a/x", "--header", &format!("x-long:{}", "a".repeat(66_000))], ""
        => 2, "longer than 64 KiB";
}

/// Other programs read the JSON; it has what the text has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explanation_is_printed_as_json() {
    let (_site, at) = start().await;
    let output = run(at, &["--path", "/a/x", "--team", "club", "--json"], "").await;
    let explanation: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(explanation["route"], "a");
    assert!(explanation["decision"]["sent"]["endpoint"].is_string(), "{explanation}");
    assert_eq!(explanation["endpoints"].as_array().unwrap().len(), 2);
}

/// Nobody listens at the address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_instance() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    drop(listener);
    let output = run(at, &["--path", "/a/x"], "").await;
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot be reached"));
}

/// An instance that has not started must not look like one that refuses the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_that_has_not_started() {
    let listener = Listener::bind(([127, 0, 0, 1], 0).into(), 24).await.unwrap();
    let at = listener.address().unwrap();
    tokio::spawn(listener.serve(Instance::default()));
    let output = run(at, &["--path", "/a/x"], "").await;
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("not started yet"));
}

/// An instance of an earlier build answers every request with its metrics.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_of_an_earlier_build() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 8_192];
        let _ = stream.read(&mut buffer).unwrap();
        let text = "# TYPE relay_refusals_total counter\nrelay_refusals_total{status=\"503\"} 1\n";
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).unwrap();
    });
    let output = run(at, &["--path", "/a/x"], "").await;
    server.join().unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("too old"));
}

/// Each field that cannot be used is named, so that whoever writes a query finds it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_fields_are_named() {
    let (_site, at) = start().await;
    let with = |name: &str, value: Value| {
        let mut query = json!({ "host": HOST, "path": "/a/x" });
        query[name] = value;
        query.to_string()
    };
    let cases = [
        ("body", "[1]".to_owned()),
        ("body", "{".to_owned()),
        ("body", String::new()),
        ("host", json!({ "path": "/a/x" }).to_string()),
        ("path", json!({ "host": HOST }).to_string()),
        ("host", with("host", json!("a\nb"))),
        ("path", with("path", json!("no slash"))),
        ("method", with("method", json!("G T"))),
        ("method", with("method", json!(7))),
        ("key", with("key", json!(["secret"]))),
        ("key", with("key", json!("secret\n"))),
        ("team", with("team", json!("nobody"))),
        ("headers", with("headers", json!({ "a b": "secret" }))),
        ("headers", with("headers", json!({ "x-key": 1 }))),
        ("headers", with("headers", json!({ "x-key": "secret" }))),
        ("headers", with("headers", json!({ "x-model": "a", "X-Model": "b" }))),
        ("parts", with("parts", json!([{ "id": "p1" }]))),
        ("parts", with("parts", json!([{ "id": "p1,p2", "tokens": 1 }]))),
        ("parts", with("parts", json!([{ "id": "p1", "tokens": 5_000_000_000_u64 }]))),
        ("tokens", with("tokens", json!({ "prompt": -1, "output": 1 }))),
        ("colour", with("colour", json!("red"))),
    ];
    for (field, body) in cases {
        let response = post(at, &body).await;
        assert!(
            response.starts_with("HTTP/1.1 400 ") && response.contains(&format!("\"field\":\"{field}\"")),
            "{response}"
        );
        assert!(!response.contains("secret"), "{response}");
    }
}

/// A longer body is refused, whether its length is stated or not, and one at the limit is read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_bodies_are_refused() {
    let (_site, at) = start().await;
    let query = json!({ "host": HOST, "path": "/a/x" }).to_string();
    let padded = |length: usize| query.clone() + &" ".repeat(length - query.len());
    assert!(post(at, &padded(64 << 10)).await.starts_with("HTTP/1.1 200 "));
    assert!(post(at, &padded((64 << 10) + 1)).await.starts_with("HTTP/1.1 413 "));
    let body = padded((64 << 10) + 1);
    let head = "POST /explain HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunked = format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    assert!(send(at, chunked.into_bytes()).await.starts_with("HTTP/1.1 413 "));
}

/// Metrics stay at every other path and method, and an explanation counts nothing in them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_are_served_elsewhere_and_count_no_explanation() {
    let (_site, at) = start().await;
    metrics::counter!("relay_refusals_total", "status" => "999").increment(1);
    for head in ["GET /metrics", "GET /", "GET /explain", "POST /metrics"] {
        let request = format!("{head} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let response = send(at, request.into_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 200 ") && response.contains("relay_refusals_total"), "{response}");
    }
    for (path, shown) in [("/other", "NoRoute"), ("/a/x", "sent")] {
        let query = json!({ "host": HOST, "path": path, "team": "club" }).to_string();
        assert!(post(at, &query).await.contains(shown));
    }
    let response = send(at, b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec()).await;
    for name in ["status=\"404\"", "relay_admission_total", "relay_load_spread"] {
        assert!(!response.contains(name), "{response}");
    }
}

/// Explanations that are asked for without a pause must leave the thread to the requests, and those that
/// only wait for an endpoint must not hold up others.
#[tokio::test]
async fn next_explanation_waits_in_proportion_to_the_last_one() {
    let turns = Turns::default();
    let turn = async |busy_ms, idle_ms| {
        let run = async {
            std::thread::sleep(Duration::from_millis(busy_ms));
            tokio::time::sleep(Duration::from_millis(idle_ms)).await;
        };
        turns.run(run).await;
        clock::now()
    };
    let ended = turn(30, 0).await;
    let pause = turn(0, 300).await.saturating_sub(ended);
    assert!(pause >= Duration::from_millis(600), "{pause:?}");
    let ended = clock::now();
    let pause = turn(0, 0).await.saturating_sub(ended);
    assert!(pause < Duration::from_secs(1), "{pause:?}");
}

/// Log lines of this process.
fn lines() -> &'static Mutex<Vec<u8>> {
    static LINES: OnceLock<Mutex<Vec<u8>>> = OnceLock::new();
    LINES.get_or_init(|| {
        let writer = || Lines;
        tracing_subscriber::fmt().with_max_level(tracing::Level::TRACE).with_writer(writer).init();
        Mutex::default()
    })
}

struct Lines;

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        lines().lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whoever reads logs must not find the keys that operators ask about, nor decisions that were not made.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_and_no_decision_is_logged() {
    let _ = lines();
    let (site, at) = start().await;
    let mut answers = String::new();
    for key in [KEY, "secret-of-nobody"] {
        let query = json!({ "host": HOST, "path": "/s/x", "key": key, "headers": { "x-model": "*", "x-id": "q1" } });
        answers.push_str(&post(at, &query.to_string()).await);
    }
    tracing::info!("the last line");
    let logged = String::from_utf8(lines().lock().unwrap().clone()).unwrap();
    assert!(logged.contains("the last line"));
    for text in [logged.as_str(), answers.as_str()] {
        assert!(!text.contains("secret-of-nobody") && !text.contains(KEY), "{text}");
    }
    assert!(!logged.contains("request refused"), "{logged}");
    drop(site);
}

/// A log line that an explanation reaches first, here of a statement that has expired, must still be
/// logged when the instance itself comes to it.
#[tokio::test]
async fn line_that_an_explanation_reaches_first_is_logged_afterwards() {
    const LINE: &str = "statement on the rejections that endpoints survive expired";
    let _ = lines();
    let instance = Dispatcher::new(site::settings(), site::dialect());
    instance.set_identity();
    instance.install(catalog(1, vec![route("/a/", Kind::Idempotent)]));
    instance.record_listing(site::revision(10));
    instance.record_orders_revision(site::revision(10));
    instance.mark_listed();
    instance.renew(clock::now(), Proof::Read);
    instance.register_endpoint(endpoint("e0", ([127, 0, 0, 1], 9).into()));
    // Statements expire after 10 s.
    let age = Duration::from_millis(9_800);
    instance.apply_rejection_limits([RejectionLimit { service: short_hash(SERVICE), max_per_s: Some(9), age }]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let query = Query {
        method: http::Method::GET,
        host: HOST.into(),
        path: "/a/x".parse().unwrap(),
        caller: Caller::Key(KEY.into()),
        headers: http::HeaderMap::new(),
        parts: Vec::new(),
        tokens: None,
    };
    let logged = || String::from_utf8(lines().lock().unwrap().clone()).unwrap().contains(LINE);
    relay::explain::explain(&instance, &query, 0.5).await.unwrap();
    assert!(!logged());
    let job = Job {
        route: "/a/",
        service: SERVICE,
        model: None,
        size: 1.0,
        affinity: None,
        whole: None,
        shared_tokens: 0,
        own_tokens: 0,
        output_tokens: 0,
        session: 1,
        in_session: false,
        tried: &[],
        barred: &[],
        version: None,
    };
    let _run = instance.place(&job).unwrap();
    assert!(logged());
}
