//! Statuses that no answer has, on the paths on which an answer does not go straight from an endpoint to a caller:
//! through another instance, to a prompt, to a question about an engine's cache.

use std::{sync::Arc, time::Duration};

use relay::catalog::{Kind, Service};

use crate::{
    caller, forwarding_pair,
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{SERVICE, Site, StoreContents, cascade_route, catalog, endpoint},
};

/// Headers of a prompt.
const PROMPT: &str = "X-Tokens: 6000,20\r\nX-Parts: aa:5000,bb:1000\r\nX-Model: *\r\n";

fn stream() -> String {
    stream_head(100) + &event(1) + LAST_CHUNK
}

/// Starts an instance before an engine.
async fn start_before_engine(engine: &Server) -> Site {
    let mut catalog = catalog(1, vec![cascade_route("/a/")]);
    let service = Service { name: SERVICE.into(), memory_tokens: Some(100_000), warmup: None };
    catalog.services.insert(SERVICE.into(), Arc::new(service));
    let endpoints = vec![endpoint("e0", engine.address)];
    Site::start_with(StoreContents { catalog: Some(catalog), endpoints, ..StoreContents::default() }, |_| {}).await
}

macro_rules! statuses {
    ($($name:ident: $status:expr;)*) => {$(
        /// Bytes with such a status would be taken for an answer, and what they state for an engine's word.
        mod $name {
            use super::*;

            fn odd(answer: &str) -> Action {
                Action::Write(answer.replacen("200", $status, 1))
            }

            #[tokio::test]
            async fn forwarded_upload_is_lost() {
                let server = Server::start(vec![odd(&ok_response("theirs"))]).await;
                let (cut, _other) = forwarding_pair::start(Kind::NonIdempotent, server.address).await;
                let response = caller::call(cut.front(), "POST", "/a/x", "", "sheet").await;
                assert_eq!((response.status, server.requests().len()), (502, 1), "{response:?}");
            }

            #[tokio::test]
            async fn forwarded_idempotent_request_is_repeated() {
                // The second connection may only check whether the endpoint has crashed.
                let odd = Action::IfContains("x-request", Box::new(odd(&ok_response("theirs"))), Box::new(Action::Hang(String::new())));
                let server = Server::start(vec![odd, Action::Write(ok_response("mine"))]).await;
                let (cut, _other) = forwarding_pair::start(Kind::Idempotent, server.address).await;
                let response = caller::call(cut.front(), "POST", "/a/x", "", "sheet").await;
                assert_eq!((response.status, response.body.as_str()), (200, "mine"), "{response:?}");
            }

            #[tokio::test]
            async fn forwarded_stream_is_not_begun() {
                let server = Server::start(vec![odd(&stream())]).await;
                let (cut, _other) = forwarding_pair::start(Kind::Stream { resumable: false }, server.address).await;
                let response = caller::call(cut.front(), "POST", "/a/x", "", "prompt").await;
                assert_eq!((response.status, server.requests().len()), (502, 1), "{response:?}");
            }

            #[tokio::test]
            async fn prompt_is_sent_again() {
                let list = Action::Write(ok_response(""));
                let sound = Action::Write(stream());
                let engine = Server::start(vec![list, odd(&stream()), sound]).await;
                let site = start_before_engine(&engine).await;
                let response = caller::call(site.front(), "POST", "/a/x", PROMPT, "prompt").await;
                assert_eq!((response.status, response.complete), (200, true), "{response:?}");
                assert!(response.body.contains("d1"), "{response:?}");
            }

            /// An engine that says so in an answer gets no requests.
            #[tokio::test]
            async fn answer_to_a_cache_query_states_nothing() {
                let leaving = ok_response("part large\n").replacen("\r\n\r\n", "\r\nx-leaving: 1\r\n\r\n", 1);
                let engine = Server::start(vec![odd(&leaving), Action::Write(stream())]).await;
                let site = start_before_engine(&engine).await;
                let waiting = async {
                    while engine.requests().is_empty() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::time::timeout(Duration::from_secs(5), waiting).await.expect("the engine is asked");
                let response = caller::call(site.front(), "POST", "/a/x", PROMPT, "prompt").await;
                assert_eq!((response.status, response.complete), (200, true), "{response:?}");
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
    status_without_digits: "abc";
}
