//! Invalid input is answered with a problem document; nothing runs and nothing is
//! billed.

use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    client::{Client, Headers, chat_body},
    site::{CLUB_KEY, Site, SiteConfig},
};

const CHAT: &str = "/v1/chat/completions";
const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer club-key");

/// An invalid call and the problem expected for it.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    expected: (u16, &'static str),
}

fn body_case(name: &'static str, body: impl Into<String>, expected: (u16, &'static str)) -> Case {
    let headers = vec![(AUTHORIZATION.0, AUTHORIZATION.1.to_owned())];
    Case { name, method: Method::POST, path: CHAT, headers, body: body.into(), expected }
}

fn header_case(name: &'static str, header: &'static str, value: &str, expected: (u16, &'static str)) -> Case {
    let mut case = body_case(name, chat_body("fine", false), expected);
    case.headers.push((header, value.to_owned()));
    case
}

fn path_case(name: &'static str, method: Method, path: &'static str, expected: (u16, &'static str)) -> Case {
    Case { method, path, ..body_case(name, "", expected) }
}

fn auth_case(name: &'static str, value: Option<&str>) -> Case {
    let headers = value.map(|value| ("authorization", value.to_owned())).into_iter().collect();
    Case { headers, ..body_case(name, chat_body("fine", false), (401, "wrong-key")) }
}

const MALFORMED: (u16, &str) = (400, "malformed");

fn cases() -> Vec<Case> {
    // Time-ordered keys created in 1970 and in 2106, according to their first 48 bits.
    let old = "00000000-0001-7000-8000-000000000000";
    let ahead = "03e8ffff-ffff-7000-8000-000000000000";
    vec![
        auth_case("no key", None),
        auth_case("unknown key", Some("Bearer nobody")),
        auth_case("empty key", Some("Bearer ")),
        auth_case("another scheme", Some("Basic club-key")),
        auth_case("key without scheme", Some("club-key")),
        body_case("no body", "", MALFORMED),
        body_case("not JSON", "launch", MALFORMED),
        body_case("cut JSON", "{\"model\":\"summary\",\"messages\":[", MALFORMED),
        body_case("body is a list", "[]", MALFORMED),
        body_case("no model", "{\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}", MALFORMED),
        body_case("model is not text", "{\"model\":7,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}", MALFORMED),
        body_case(
            "model is not a valid name",
            "{\"model\":\"../x\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
            MALFORMED,
        ),
        body_case("no messages", "{\"model\":\"summary\"}", MALFORMED),
        body_case("empty messages", "{\"model\":\"summary\",\"messages\":[]}", MALFORMED),
        body_case("messages is text", "{\"model\":\"summary\",\"messages\":\"a\"}", MALFORMED),
        body_case("message without role", "{\"model\":\"summary\",\"messages\":[{\"content\":\"a\"}]}", MALFORMED),
        body_case("message without content", "{\"model\":\"summary\",\"messages\":[{\"role\":\"user\"}]}", MALFORMED),
        body_case("stream is not a bool", chat_body("a", false).replace("false", "\"yes\""), MALFORMED),
        body_case(
            "max_tokens is zero",
            chat_body("a", false).replace("\"stream\"", "\"max_tokens\":0,\"stream\""),
            MALFORMED,
        ),
        body_case(
            "max_tokens is negative",
            chat_body("a", false).replace("\"stream\"", "\"max_tokens\":-1,\"stream\""),
            MALFORMED,
        ),
        body_case("two answers", chat_body("a", false).replace("\"stream\"", "\"n\":2,\"stream\""), MALFORMED),
        body_case("unknown model", chat_body("a", false).replace("summary", "nothing"), (404, "unknown-model")),
        body_case("model not allowed", chat_body("a", false).replace("summary", "closed"), (403, "model-not-allowed")),
        body_case("body too large", chat_body(&"a".repeat(5 << 20), false), (413, "body-too-large")),
        header_case("key with a slash", "idempotency-key", "a/b", MALFORMED),
        header_case("empty idempotency key", "idempotency-key", "", MALFORMED),
        header_case("long idempotency key", "idempotency-key", &"k".repeat(200), MALFORMED),
        header_case("expired idempotency key", "idempotency-key", old, (409, "key-expired")),
        header_case("idempotency key created in the future", "idempotency-key", ahead, MALFORMED),
        header_case("idempotent is maybe", "arbutuslug-idempotent", "maybe", MALFORMED),
        header_case("deadline is text", "arbutuslug-deadline-ms", "soon", MALFORMED),
        header_case("deadline is zero", "arbutuslug-deadline-ms", "0", MALFORMED),
        header_case("class with a blank", "arbutuslug-request-class", "a b", MALFORMED),
        header_case("session with a blank", "arbutuslug-session", "a b", MALFORMED),
        header_case("invented handle", "arbutuslug-session", "s1.e30.e30", (400, "bad-session")),
        header_case("headers too large", "x-more", &"m".repeat(20_000), (431, "headers-too-large")),
        path_case("no such call", Method::GET, "/v2/chat", (404, "no-such-call")),
        path_case("root", Method::GET, "/", (404, "no-such-call")),
        path_case("GET for chat", Method::GET, CHAT, (405, "wrong-method")),
        path_case("POST for addresses", Method::POST, "/v1/addresses", (405, "wrong-method")),
        path_case("bad domain", Method::GET, "/v1/addresses?domain=a%20b", MALFORMED),
        path_case("two sessions", Method::GET, "/v1/addresses?session=a&session=b", MALFORMED),
        path_case("unknown service", Method::GET, "/v1/services/nothing/a", (404, "unknown-service")),
        path_case("service not allowed", Method::GET, "/v1/services/closed/a", (403, "service-not-allowed")),
        path_case("path with dot segments", Method::POST, "/v1/services/logbook/x/../launches", MALFORMED),
        path_case("path with an escape", Method::POST, "/v1/services/logbook/%6caunches", MALFORMED),
        path_case("path with a double slash", Method::POST, "/v1/services/logbook//launches", MALFORMED),
        path_case("unknown request", Method::GET, "/v1/requests/nothing", (404, "unknown-request")),
    ]
}

async fn check(client: Client, case: &Case) {
    let headers: Vec<_> = case.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let reply = client.call(case.method.clone(), case.path, &headers as Headers<'_>, case.body.clone()).await;
    let (status, kind, ran) = reply.problem();
    assert_eq!((status, kind.as_str()), case.expected, "{}: {}", case.name, reply.text);
    let outcome_is_unknown = matches!(kind.as_str(), "key-expired" | "unknown-request");
    assert_eq!(ran, if outcome_is_unknown { "unknown" } else { "no" }, "{}", case.name);
}

#[tokio::test]
async fn bad_input_gets_a_problem_and_runs_nothing() {
    let site = Site::open(SiteConfig::default()).await;
    let cases = cases();
    assert!(cases.len() >= 25);
    for case in &cases {
        check(site.client(0), case).await;
    }
    assert!(site.runs().is_empty() && site.service.effects().is_empty() && site.service.reads() == 0);
    assert!(site.bills().is_empty());
    site.client(0).chat(CLUB_KEY, &[], "still serves").await.content();
}

/// Sends raw bytes and returns the first part of the response.
async fn send_raw(site: &Site, node: usize, bytes: &[u8]) -> String {
    let mut socket = TcpStream::connect(site.nodes[node].entry.address()).await.expect("listens");
    socket.write_all(bytes).await.expect("sent");
    let mut answer = vec![0; 4_096];
    let read = socket.read(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

// A caller announces a body and sends it too slowly or not at all. The connection
// must not be held forever.
#[tokio::test]
async fn slow_body_gets_a_problem() {
    let site = Site::open(SiteConfig::default()).await;
    let head =
        format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer club-key\r\ncontent-length: 100\r\n\r\n{{");
    let answer = send_raw(&site, 0, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("slow-body"), "{answer}");
}

/// Repeats an answered request at another instance, where the body of the repeat
/// does not arrive in time.
async fn check_slow_repeat(idempotent: &str) {
    let site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    let headers = [("idempotency-key", "season-7"), ("arbutuslug-idempotent", idempotent)];
    site.client(0).chat(CLUB_KEY, &headers, "season summary").await.content();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer club-key\r\nidempotency-key: season-7\r\narbutuslug-idempotent: {idempotent}\r\ncontent-length: 100\r\n\r\n{{"
    );
    let answer = send_raw(&site, 1, head.as_bytes()).await;
    assert!(answer.contains("slow-body"), "{answer}");
    assert!(!answer.contains("\"ran\":\"no\""), "{answer}");
}

// The caller's first call was answered, and the body of its repeat at another
// instance never arrives. The key has run, so the refusal must not say "not run".
#[tokio::test]
async fn repeat_with_unread_body_is_not_reported_as_not_run() {
    check_slow_repeat("true").await;
}

#[tokio::test]
async fn non_idempotent_repeat_with_unread_body_is_not_reported_as_not_run() {
    check_slow_repeat("false").await;
}

#[tokio::test]
async fn non_http_bytes_do_not_affect_later_callers() {
    let site = Site::open(SiteConfig::default()).await;
    send_raw(&site, 0, b"launch sheet\r\n\r\n").await;
    site.client(0).chat(CLUB_KEY, &[], "still serves").await.content();
}
