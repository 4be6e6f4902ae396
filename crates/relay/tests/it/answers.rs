//! Endpoint responses that are truncated, unsigned, malformed or meant for another request.

use relay::catalog::Kind;

use crate::{
    caller::{self, Got},
    server::{Act, Server, head, whole},
    site::{Site, route},
};

/// Sends one request through a relay to an endpoint that performs `actions` in turn. Returns the
/// response and the number of requests that the endpoint received.
async fn ask(kind: Kind, more: &str, acts: Vec<Act>) -> (Got, usize) {
    let server = Server::open(acts).await;
    let site = Site::open(vec![route("/a/", kind)], &[server.address]).await;
    let got = caller::call(site.front(), "POST", "/a/x", more, "sheet").await;
    (got, server.seen().len())
}

macro_rules! endings {
    ($($(#[$doc:meta])* $name:ident: $kind:expr, $acts:expr => $status:expr, $runs:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (got, runs) = ask($kind, "", $acts).await;
            assert_eq!((got.status, runs), ($status, $runs), "{got:?}");
        }
    )*};
}

fn other_id() -> String {
    whole("theirs").replace("{id}", "r0")
}

fn unsigned() -> String {
    whole("forged").replace("x-signature: s\r\n", "")
}

fn refused() -> String {
    "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".into()
}

fn unframed(body: &str) -> String {
    format!("HTTP/1.1 200 X\r\nx-request: {{id}}\r\nx-signature: s\r\nconnection: close\r\n\r\n{body}")
}

endings! {
    // The endpoint runs an upload and its response breaks off. Sending the upload again would
    // enter it twice, so the caller gets 502: the request may have run.
    upload_whose_answer_breaks_off_is_not_repeated:
        Kind::NonIdempotent, vec![Act::Reset(head(200, 20)), Act::Write(whole("again"))] => 502, 1;
    // The endpoint runs an idempotent request and its response breaks off: running it again does
    // no harm.
    fetch_whose_answer_breaks_off_is_repeated:
        Kind::Idempotent, vec![Act::Reset(head(200, 20)), Act::Write(whole("again"))] => 200, 2;
    // The endpoint returns the response to an earlier request of another caller.
    answer_to_another_request_is_not_passed_on:
        Kind::NonIdempotent, vec![Act::Write(other_id())] => 502, 1;
    another_requests_answer_is_replaced_where_that_may_be:
        Kind::Idempotent, vec![Act::Write(other_id()), Act::Write(whole("mine"))] => 200, 2;
    // The bytes look like a response but carry no signature of an endpoint.
    unsigned_answer_is_not_passed_on:
        Kind::NonIdempotent, vec![Act::Write(unsigned())] => 502, 1;
    bytes_that_are_no_answer_are_not_passed_on:
        Kind::NonIdempotent, vec![Act::Write("\u{1}garbage\r\n\r\n".into())] => 502, 1;
    // Bytes after the end of a response belong to no request.
    bytes_after_an_answer_are_dropped:
        Kind::NonIdempotent, vec![Act::Write(whole("mine") + &other_id())] => 200, 1;
    // A response without a length ends when its connection is closed in an orderly way.
    answer_without_a_length_ends_with_its_connection:
        Kind::NonIdempotent, vec![Act::Write(unframed("all of it"))] => 200, 1;
    answer_without_a_length_that_is_reset_is_incomplete:
        Kind::NonIdempotent, vec![Act::Reset(unframed("half of"))] => 502, 1;
    // The endpoint states that it has not run the request, so even an upload may go to another
    // one.
    upload_that_was_turned_away_is_sent_again:
        Kind::NonIdempotent, vec![Act::Write(refused()), Act::Write(whole("in"))] => 200, 2;
    upload_turned_away_everywhere_is_refused:
        Kind::NonIdempotent, vec![Act::Write(refused())] => 503, 3;
    // A 503 without the header that marks the request as not run promises nothing: the request
    // may have run, and the caller must not be told otherwise.
    unavailable_without_a_promise_is_no_promise:
        Kind::NonIdempotent, vec![Act::Write(head(503, 0))] => 502, 1;
    unavailable_without_a_promise_is_repaired_where_that_may_be:
        Kind::Idempotent, vec![Act::Write(head(503, 0)), Act::Write(whole("good"))] => 200, 2;
    failure_of_an_upload_is_passed_on:
        Kind::NonIdempotent, vec![Act::Write(head(500, 0))] => 500, 1;
    failure_of_a_fetch_is_repaired:
        Kind::Idempotent, vec![Act::Write(head(500, 0)), Act::Write(whole("good"))] => 200, 2;
    failure_that_stays_is_passed_on:
        Kind::Idempotent, vec![Act::Write(head(500, 0))] => 500, 3;
}

/// The deadline expires after the request was sent to an endpoint: the response must not say
/// that it was not run.
///
/// The endpoint runs the request, writes nothing or only the head of its response, and hangs.
/// 503 would mean "not run", which holds only for requests that were never sent, so the response
/// has to be 504.
#[tokio::test]
async fn time_that_runs_out_within_a_try_is_no_promise() {
    for silent in [String::new(), head(200, 20)] {
        let (got, runs) = ask(Kind::NonIdempotent, "X-Deadline: 150\r\n", vec![Act::Hang(silent)]).await;
        assert_eq!((got.status, runs), (504, 1), "{got:?}");
        assert_eq!(got.header("retry-after"), None);
    }
}

/// An endpoint signs a 503 for a request that it has run. The caller must neither take it for
/// "not run" nor receive the endpoint's signature with a status that the endpoint did not send.
#[tokio::test]
async fn status_and_signature_stay_together() {
    let (got, _) = ask(Kind::NonIdempotent, "", vec![Act::Write(head(503, 0))]).await;
    assert_eq!((got.status, got.header("x-signature")), (502, None), "{got:?}");
    let (got, _) = ask(Kind::NonIdempotent, "", vec![Act::Write(head(500, 0))]).await;
    assert_eq!((got.status, got.header("x-signature")), (500, Some("s")), "{got:?}");
}
