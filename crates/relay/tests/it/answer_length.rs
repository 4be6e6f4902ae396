//! Models chosen by the length that callers expect, through a relay with and without the setting.

use std::time::Duration;

use futures::future::join_all;
use relay::{
    catalog::Route,
    settings::{AnswerLength, Ladder},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

use crate::{
    caller,
    server::{Action, LAST_CHUNK, Server, chunk, event, header, stream_head},
    site::{Site, StoreContents, cascade_route, catalog, endpoint},
};

/// Number of streams from which the time per token is known.
const LEARNED: usize = 8;

/// A relay in front of an endpoint whose small model is never sure and writes at once.
struct Ladders {
    site: Site,
    server: Server,
}

/// What decides about the model.
#[derive(Clone, Copy)]
struct Case {
    setting: AnswerLength,
    by_value: bool,
    attempts: u32,
}

const EXPECTED: Case = Case { setting: AnswerLength::Expected, by_value: false, attempts: 3 };
const BY_VALUE: Case = Case { by_value: true, ..EXPECTED };
const IGNORED: Case = Case { setting: AnswerLength::Ignored, ..EXPECTED };
/// The first model is the last one.
const SINGLE: Case = Case { attempts: 1, ..EXPECTED };

impl Ladders {
    async fn start(case: Case, large: Action) -> Self {
        let small = Action::Write(stream_head(0) + &event(1) + LAST_CHUNK);
        let server = Server::start(vec![Action::IfContains("x-model: large", Box::new(large), Box::new(small))]).await;
        let contents = StoreContents {
            catalog: Some(catalog(1, vec![Route { attempts: case.attempts, ..cascade_route("/s/") }])),
            endpoints: vec![endpoint("e0", server.address)],
            ..StoreContents::default()
        };
        let site = Site::start_with(contents, |settings| {
            settings.policies.answer_length = case.setting;
            if case.by_value {
                settings.policies.ladder = Ladder::ExpectedValue { values: vec![20.0] };
            }
        })
        .await;
        Self { site, server }
    }

    /// Sends a request with a deadline, and returns its response and the models that were asked.
    async fn ask(&self, hint: &str, max_output: u32, deadline_ms: u32) -> (caller::Response, Vec<String>) {
        let before = self.server.requests().len();
        let response = self.call(hint, max_output, deadline_ms).await;
        let requests = self.server.requests();
        (response, requests[before..].iter().map(|request| header(request, "x-model").unwrap()).collect())
    }

    async fn call(&self, hint: &str, max_output: u32, deadline_ms: u32) -> caller::Response {
        caller::call(self.site.front(), "POST", "/s/x", &headers(hint, max_output, deadline_ms), "prompt").await
    }

    /// Sends streams at the same time that the large model answers.
    async fn learn(&self, hint: &str, deadline_ms: u32) -> Vec<caller::Response> {
        join_all((0..LEARNED).map(|_| self.call(hint, 100_000, deadline_ms))).await
    }
}

fn headers(hint: &str, max_output: u32, deadline_ms: u32) -> String {
    let hint = if hint.is_empty() { String::new() } else { format!("X-Expected-Output: {hint}\r\n") };
    format!("X-Model: *\r\nX-Tokens: 100,{max_output}\r\nX-Deadline: {deadline_ms}\r\n{hint}")
}

/// Answers of the large model that take 200 ms after their first event.
fn slow() -> Action {
    let events = (2..=20).map(event);
    let first = stream_head(100) + &event(1);
    Action::WriteSlowly(std::iter::once(first).chain(events).chain([LAST_CHUNK.to_owned()]).collect())
}

/// Answers of the large model that do not end.
fn endless() -> Action {
    let next = |number: u64| event(u32::try_from(number).unwrap() + 1);
    Action::Endless(stream_head(100) + &event(1), next, Duration::from_millis(10))
}

const BOTH: &[&str] = &["small", "large"];

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $case:expr, $learned:expr, $hint:expr, $max:expr => $asked:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let ladders = Ladders::start($case, slow()).await;
            let responses = ladders.learn($learned, 20_000).await;
            assert!(responses.iter().all(|response| response.complete));
            let (response, asked) = ladders.ask($hint, $max, 3_000).await;
            assert!(response.complete, "{response:?}");
            assert_eq!(asked, $asked);
        }
    )*};
}

cases! {
    // The large model takes 5 ms or more for a token: 1,000 tokens would be cut off after 3 s.
    low_confidence_of_a_long_stream_is_kept: EXPECTED, "40", "1000", 4_000 => ["small"];
    low_confidence_of_a_long_stream_is_kept_by_value: BY_VALUE, "40", "1000", 4_000 => ["small"];
    long_streams_of_a_single_attempt_start_small: SINGLE, "40", "1000", 4_000 => ["small"];
    long_streams_of_a_single_attempt_start_small_by_value:
        Case { attempts: 1, ..BY_VALUE }, "40", "1000", 4_000 => ["small"];
    short_streams_reach_the_largest_model: EXPECTED, "40", "40", 4_000 => BOTH;
    short_streams_reach_the_largest_model_by_value: BY_VALUE, "40", "40", 4_000 => BOTH;
    short_streams_of_a_single_attempt_start_large: SINGLE, "40", "40", 4_000 => ["large"];
    // Without the setting the same requests go where they did before.
    hint_is_ignored_without_the_setting: IGNORED, "40", "1000", 4_000 => BOTH;
    hint_of_a_single_attempt_is_ignored_without_the_setting:
        Case { attempts: 1, ..IGNORED }, "40", "1000", 4_000 => ["large"];
    stream_without_a_hint_is_not_limited: EXPECTED, "40", "", 4_000 => BOTH;
    negative_hint_has_no_effect: EXPECTED, "40", "-1000", 4_000 => BOTH;
    hint_that_is_no_number_has_no_effect: EXPECTED, "40", "1000 tokens", 4_000 => BOTH;
    hint_of_zero_has_no_effect: EXPECTED, "40", "0", 4_000 => BOTH;
    hint_above_all_integers_has_no_effect: EXPECTED, "40", "99999999999999999999", 4_000 => BOTH;
    huge_hint_is_capped_at_the_maximum_output: EXPECTED, "40", "4294967295", 40 => BOTH;
    huge_hint_and_maximum_are_no_reason_to_refuse: EXPECTED, "40", "4294967295", u32::MAX => ["small"];
    // All that is known comes from one caller, whose hints are 5,000 times too long or nothing at all.
    wrong_hints_of_one_caller_limit_nothing: EXPECTED, "100000", "1000", 4_000 => BOTH;
    streams_without_hints_teach_nothing: EXPECTED, "", "1000", 4_000 => BOTH;
    streams_of_a_few_tokens_teach_nothing: EXPECTED, "8", "1000", 4_000 => BOTH;
}

/// All streams of the largest model are cut off at their deadline, at any load.
#[tokio::test]
async fn streams_that_are_cut_off_teach_that_the_model_is_too_slow() {
    let ladders = Ladders::start(SINGLE, endless()).await;
    let responses = ladders.learn("100", 400).await;
    assert!(responses.iter().all(|response| response.status == 200 && !response.complete), "{responses:?}");
    let (response, asked) = ladders.ask("100", 4_000, 400).await;
    assert!(response.complete, "{response:?}");
    assert_eq!(asked, ["small"]);
}

/// Returns a stream that is larger than the memory for bodies.
fn large_stream() -> Action {
    let large_event = |number| chunk(&format!("id: {number}\ndata: {}\n\n", "x".repeat(10_000)));
    Action::Write((1..=1_600).fold(stream_head(100), |text, number| text + &large_event(number)) + LAST_CHUNK)
}

/// Returns the model that is asked for a stream of 1,000 tokens, of which only the beginning is read.
async fn asked_first(ladders: &Ladders) -> Option<String> {
    let before = ladders.server.requests().len();
    let mut stream = TcpStream::connect(ladders.site.front()).await.unwrap();
    let request = caller::request("POST", "/s/x", &headers("1000", 4_000, 3_000), "prompt");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.read_u8().await.unwrap();
    header(&ladders.server.requests()[before], "x-model")
}

/// A reader that stops for good, and closes at its deadline, must not make the model look slow.
#[tokio::test]
async fn streams_whose_readers_stop_teach_nothing() {
    let ladders = Ladders::start(SINGLE, large_stream()).await;
    let stop = || async {
        let closes_at = Instant::now() + Duration::from_millis(2_980);
        let mut stream = TcpStream::connect(ladders.site.front()).await.unwrap();
        let request = caller::request("POST", "/s/x", &headers("100", 4_000, 3_000), "prompt");
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.read_u8().await.unwrap();
        tokio::time::sleep_until(closes_at).await;
    };
    join_all((0..LEARNED).map(|_| stop())).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(asked_first(&ladders).await.as_deref(), Some("large"));
}

/// Readers that take nothing for a while must not make the model look slow.
#[tokio::test]
async fn streams_that_are_held_up_by_their_readers_teach_nothing() {
    let ladders = Ladders::start(SINGLE, large_stream()).await;
    let read_slowly = || async {
        let mut stream = TcpStream::connect(ladders.site.front()).await.unwrap();
        let request = caller::request("POST", "/s/x", &headers("100", 4_000, 20_000), "prompt");
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.read_u8().await.unwrap();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let (mut bytes, mut buffer) = (0, vec![0; 1 << 16]);
        loop {
            let count = stream.read(&mut buffer).await.unwrap();
            bytes += count;
            if count == 0 || buffer[..count].ends_with(LAST_CHUNK.as_bytes()) {
                return bytes;
            }
        }
    };
    let read = join_all((0..LEARNED).map(|_| read_slowly())).await;
    assert!(read.iter().all(|bytes| *bytes > 16_000_000), "{read:?}");
    assert_eq!(asked_first(&ladders).await.as_deref(), Some("large"));
}
