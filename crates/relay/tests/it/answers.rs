//! Endpoint responses that are truncated, unsigned, malformed or meant for another request.

use std::time::Duration;

use relay::catalog::Kind;

use crate::{
    caller::{self, Response},
    server::{Action, LAST_CHUNK, Server, event, ok_response, response_head, stream_head},
    site::{Site, route},
};

/// Sends one request through a relay to an endpoint that performs `actions` in turn. Returns the
/// response and the number of requests that the endpoint received.
async fn send(kind: Kind, headers: &str, actions: Vec<Action>) -> (Response, usize) {
    let server = Server::start(actions).await;
    let site = Site::start(vec![route("/a/", kind)], &[server.address]).await;
    let response = caller::call(site.front(), "POST", "/a/x", headers, "sheet").await;
    (response, server.requests().len())
}

macro_rules! endings {
    ($($(#[$doc:meta])* $name:ident: $kind:expr, $actions:expr => $status:expr, $runs:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (response, runs) = send($kind, "", $actions).await;
            assert_eq!((response.status, runs), ($status, $runs), "{response:?}");
        }
    )*};
}

fn other_id() -> String {
    ok_response("theirs").replace("{id}", "r0")
}

fn unsigned() -> String {
    ok_response("forged").replace("x-signature: s\r\n", "")
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
        Kind::NonIdempotent, vec![Action::Reset(response_head(200, 20)), Action::Write(ok_response("again"))] => 502, 1;
    // The endpoint runs an idempotent request and its response breaks off: running it again does
    // no harm.
    fetch_whose_answer_breaks_off_is_repeated:
        Kind::Idempotent, vec![Action::Reset(response_head(200, 20)), Action::Write(ok_response("again"))] => 200, 2;
    // The endpoint returns the response to an earlier request of another caller.
    answer_to_another_request_is_not_passed_on:
        Kind::NonIdempotent, vec![Action::Write(other_id())] => 502, 1;
    idempotent_request_that_gets_another_requests_answer_is_retried:
        Kind::Idempotent, vec![Action::Write(other_id()), Action::Write(ok_response("mine"))] => 200, 2;
    // The bytes look like a response but carry no signature of an endpoint.
    unsigned_answer_is_not_passed_on:
        Kind::NonIdempotent, vec![Action::Write(unsigned())] => 502, 1;
    malformed_answer_is_not_passed_on:
        Kind::NonIdempotent, vec![Action::Write("\u{1}garbage\r\n\r\n".into())] => 502, 1;
    // Bytes after the end of a response belong to no request.
    bytes_after_an_answer_are_dropped:
        Kind::NonIdempotent, vec![Action::Write(ok_response("mine") + &other_id())] => 200, 1;
    // A response without a length ends when its connection is closed in an orderly way.
    answer_without_a_length_ends_with_its_connection:
        Kind::NonIdempotent, vec![Action::Write(unframed("all of it"))] => 200, 1;
    answer_without_a_length_that_is_reset_is_incomplete:
        Kind::NonIdempotent, vec![Action::Reset(unframed("half of"))] => 502, 1;
    // The endpoint states that it has not run the request, so even an upload may go to another
    // one.
    upload_refused_as_not_run_is_sent_again:
        Kind::NonIdempotent, vec![Action::Write(refused()), Action::Write(ok_response("in"))] => 200, 2;
    upload_refused_at_every_attempt_is_refused:
        Kind::NonIdempotent, vec![Action::Write(refused())] => 503, 3;
    // A 503 without the header that marks the request as not run promises nothing: the request
    // may have run, and the caller must not be told otherwise.
    status_503_without_the_not_run_header_does_not_mean_not_run:
        Kind::NonIdempotent, vec![Action::Write(response_head(503, 0))] => 502, 1;
    idempotent_request_that_gets_status_503_is_retried:
        Kind::Idempotent, vec![Action::Write(response_head(503, 0)), Action::Write(ok_response("good"))] => 200, 2;
    failure_of_an_upload_is_passed_on:
        Kind::NonIdempotent, vec![Action::Write(response_head(500, 0))] => 500, 1;
    failure_of_a_fetch_is_retried:
        Kind::Idempotent, vec![Action::Write(response_head(500, 0)), Action::Write(ok_response("good"))] => 200, 2;
    persistent_failure_of_a_fetch_is_passed_on:
        Kind::Idempotent, vec![Action::Write(response_head(500, 0))] => 500, 3;
}

/// Returns a signed answer with a status that is none.
fn status(text: &str) -> String {
    ok_response("theirs").replace("200", text)
}

/// Returns a signed stream with a status that is none.
fn stream_status(text: &str) -> String {
    stream_head(90).replace("200", text) + &event(1) + LAST_CHUNK
}

macro_rules! statuses {
    ($($name:ident: $status:expr;)*) => {$(
        /// Bytes with such a status would reach the caller as an answer.
        mod $name {
            use super::*;

            #[tokio::test]
            async fn upload_is_lost() {
                let (response, runs) = send(Kind::NonIdempotent, "", vec![Action::Write(status($status))]).await;
                assert_eq!((response.status, runs), (502, 1), "{response:?}");
                assert_eq!(response.header("x-signature"), None);
            }

            #[tokio::test]
            async fn idempotent_request_is_repeated() {
                let actions = vec![Action::Write(status($status)), Action::Write(ok_response("mine"))];
                let (response, runs) = send(Kind::Idempotent, "", actions).await;
                assert_eq!((response.status, response.body.as_str(), runs), (200, "mine", 2), "{response:?}");
            }

            #[tokio::test]
            async fn claim_of_not_run_is_not_believed() {
                let refused = refused().replace("503", $status);
                let (response, runs) = send(Kind::NonIdempotent, "", vec![Action::Write(refused)]).await;
                assert_eq!((response.status, runs), (502, 1), "{response:?}");
            }

            #[tokio::test]
            async fn late_answer_of_a_silent_endpoint_is_repeated() {
                let silent = Action::Pause(String::new(), Duration::from_millis(2_600), status($status));
                let rejected = Action::Write(refused());
                let actions = vec![silent, rejected.clone(), Action::Write(ok_response("mine"))];
                let (response, _) = send(Kind::Idempotent, "", actions).await;
                assert_eq!((response.status, response.body.as_str()), (200, "mine"), "{response:?}");
            }

            #[tokio::test]
            async fn stream_is_not_begun() {
                let kind = Kind::Stream { resumable: false };
                let (response, runs) = send(kind, "", vec![Action::Write(stream_status($status))]).await;
                assert_eq!((response.status, runs), (502, 1), "{response:?}");
            }

            #[tokio::test]
            async fn stream_is_resumed_elsewhere() {
                // The second connection only checks whether the endpoint has crashed.
                let actions = vec![
                    Action::Reset(stream_head(90) + &event(1)),
                    Action::Hang(String::new()),
                    Action::Write(stream_status($status)),
                    Action::Write(stream_head(90) + &event(2) + LAST_CHUNK),
                ];
                let (response, runs) = send(Kind::Stream { resumable: true }, "", actions).await;
                assert_eq!((response.status, response.complete, runs), (200, true, 3), "{response:?}");
                assert!(response.body.contains("d1") && response.body.contains("d2"), "{response:?}");
            }
        }
    )*};
}

statuses! {
    status_000: "000";
    status_099: "099";
    status_101: "101";
    status_600: "600";
    status_999: "999";
    status_of_four_digits: "2000";
    status_of_two_digits: "20";
    status_without_digits: "abc";
    status_that_is_signed: "+20";
    no_status: "";
}

/// The deadline expires after the request was sent to an endpoint: the response must not say
/// that it was not run.
///
/// The endpoint runs the request, writes nothing or only the head of its response, and hangs.
/// 503 would mean "not run", which holds only for requests that were never sent, so the response
/// has to be 504.
#[tokio::test]
async fn deadline_that_expires_during_an_attempt_does_not_mean_not_run() {
    for silent in [String::new(), response_head(200, 20)] {
        let (response, runs) = send(Kind::NonIdempotent, "X-Deadline: 150\r\n", vec![Action::Hang(silent)]).await;
        assert_eq!((response.status, runs), (504, 1), "{response:?}");
        assert_eq!(response.header("retry-after"), None);
    }
}

/// An endpoint signs a 503 for a request that it has run. The caller must neither take it for
/// "not run" nor receive the endpoint's signature with a status that the endpoint did not send.
#[tokio::test]
async fn signature_is_passed_on_only_with_its_own_status() {
    let (response, _) = send(Kind::NonIdempotent, "", vec![Action::Write(response_head(503, 0))]).await;
    assert_eq!((response.status, response.header("x-signature")), (502, None), "{response:?}");
    let (response, _) = send(Kind::NonIdempotent, "", vec![Action::Write(response_head(500, 0))]).await;
    assert_eq!((response.status, response.header("x-signature")), (500, Some("s")), "{response:?}");
}
