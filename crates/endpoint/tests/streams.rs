//! Attempts against the stand-in engine: whole answers or an explicit break,
//! whatever the engine and the connection do.

use std::time::Duration;

use bytes::Bytes;
use endpoint::{Attempt, Broken, Dispatch, Error, Frame, Handle, Run, Settings, error::Refusal, sequence};
use proptest::prelude::*;
use serde_json::json;
use standin::{
    answer::{self, Message},
    engine::{self, End, Engine, Switch},
    fault::Odds,
};
use tokio::time::Instant;
use world::model::Version;

const VERSION: &str = "summary@3";
const ASKED: &str = "season summary, please";
const ANY: std::net::SocketAddr = std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn engine(options: engine::Options) -> engine::Handle {
    let options = engine::Options { versions: [VERSION.into()].into(), ..options };
    Engine::bind(ANY, options).await.expect("port 0 is free")
}

fn open() -> Handle {
    endpoint::open(Settings { idle_timeout: Duration::from_millis(200), ..Settings::default() })
}

fn dispatch(engine: &engine::Handle, name: &str) -> Dispatch {
    let body = json!({ "model": VERSION, "messages": [{ "role": "user", "content": ASKED }], "stream": true });
    Dispatch {
        attempt: Attempt::parse(name).expect("a name"),
        address: engine.addr(),
        version: Version::parse(VERSION).expect("a version"),
        body: Bytes::from(body.to_string()),
        priority: 3,
        deadline: Instant::now() + Duration::from_secs(20),
    }
}

fn whole() -> String {
    let messages = [Message { role: "user".into(), content: ASKED.into() }];
    answer::text(VERSION, &answer::prompt(&messages), None)
}

/// Reads a run to its end: its text, and the break if there was one.
async fn read(run: &mut Run) -> (String, Option<Broken>) {
    let mut text = String::new();
    while let Some(frame) = run.next().await {
        match frame {
            Ok(Frame::Token { text: piece, .. }) => text.push_str(&piece),
            Ok(Frame::Finish { .. }) => return (text, None),
            Err(broken) => return (text, Some(broken)),
        }
    }
    panic!("a run ends with a finish or a break");
}

async fn check_whole(fault: Option<Switch>) {
    let engine = engine(engine::Options::default()).await;
    if let Some(fault) = fault {
        engine.switch(fault);
    }
    let mut run = open().run(dispatch(&engine, "a-1")).await.expect("taken");
    assert_eq!(read(&mut run).await, (whole(), None));
    assert_eq!(engine.records()[0].priority, 3);
}

macro_rules! whole_answers {
    ($($name:ident: $fault:expr;)*) => { $(#[tokio::test] async fn $name() { check_whole($fault).await; })* };
}

// The engine repeats an event, or sends one of another attempt. A caller that
// got it would read a word twice, or a stranger's.
whole_answers! {
    answer_is_whole: None;
    repeated_frames_are_dropped: Some(Switch::Duplicate(Odds::ALWAYS));
    foreign_frames_are_dropped: Some(Switch::Foreign(Odds::ALWAYS));
}

async fn check_break(fault: Switch, expected: Broken) {
    let engine = engine(engine::Options::default()).await;
    engine.switch(fault);
    let handle = open();
    let asked = dispatch(&engine, "a-1");
    let mut run = handle.run(asked.clone()).await.expect("taken");
    let (mut text, broken) = read(&mut run).await;
    assert_eq!(broken, Some(expected), "a break is never taken for the end");
    engine.switch(Switch::Up);
    let mut rest = handle.resume(&asked, run.next_index()).await.expect("the engine goes on");
    let (more, broken) = read(&mut rest).await;
    text.push_str(&more);
    assert_eq!((text, broken), (whole(), None), "nothing is lost or doubled over the break");
}

macro_rules! breaks {
    ($($name:ident: $fault:expr => $broken:ident;)*) => {
        $(#[tokio::test] async fn $name() { check_break($fault, Broken::$broken).await; })*
    };
}

// The connection ends, or the engine falls silent, amid the answer. The
// attempt lives on at its engine and is taken up from the next frame.
breaks! {
    cut_before_first_frame_is_resumed: Switch::BreakStreams { after: 0, odds: Odds::ALWAYS } => Cut;
    cut_stream_is_resumed: Switch::BreakStreams { after: 2, odds: Odds::ALWAYS } => Cut;
    silent_stream_is_resumed: Switch::Stall { after: 1, odds: Odds::ALWAYS } => Idle;
}

#[tokio::test]
async fn forgotten_attempt_cannot_be_resumed() {
    let engine = engine(engine::Options::default()).await;
    engine.switch(Switch::BreakStreams { after: 1, odds: Odds::ALWAYS });
    engine.switch(Switch::Forget(Odds::ALWAYS));
    let handle = open();
    let asked = dispatch(&engine, "a-1");
    let mut run = handle.run(asked.clone()).await.expect("taken");
    assert!(read(&mut run).await.1.is_some());
    assert!(handle.resume(&asked, run.next_index()).await.is_err());
}

async fn check_refusal(fault: Option<Switch>, version: &str, expected: Refusal) {
    let engine = engine(engine::Options::default()).await;
    if let Some(fault) = fault {
        engine.switch(fault);
    }
    let body = json!({ "model": version, "messages": [{ "role": "user", "content": ASKED }], "stream": true });
    let asked = Dispatch { body: Bytes::from(body.to_string()), ..dispatch(&engine, "a-1") };
    let Err(Error::Refused { refusal, .. }) = open().run(asked).await else { panic!("refused") };
    assert_eq!(refusal, expected);
}

macro_rules! refusals {
    ($($name:ident: $fault:expr, $version:expr => $refusal:expr;)*) => {
        $(#[tokio::test] async fn $name() { check_refusal($fault, $version, $refusal).await; })*
    };
}

refusals! {
    full_engine_is_not_run: Some(Switch::Refuse(Odds::ALWAYS)), VERSION => Refusal::Full;
    unloaded_version_is_not_run: None, "summary@9" => Refusal::NotLoaded;
    bad_version_is_not_run:
        Some(Switch::Bad { version: VERSION.into(), fault: engine::Fault::Errors, odds: Odds::ALWAYS }), VERSION
        => Refusal::Status(500);
}

#[tokio::test]
async fn dead_engine_is_not_run() {
    let listener = std::net::TcpListener::bind(ANY).expect("port 0 is free");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let engine = engine(engine::Options::default()).await;
    let asked = Dispatch { address, ..dispatch(&engine, "a-1") };
    let error = open().run(asked).await.expect_err("nobody listens");
    assert!(error.not_run(), "{error}");
}

// The engine takes the request and the connection breaks before an answer.
// It may be running: saying "not run" would let a deposit be made twice.
#[tokio::test]
async fn lost_answer_is_unknown() {
    let engine = engine(engine::Options::default()).await;
    engine.switch(Switch::LoseAnswers(Odds::ALWAYS));
    let error = open().run(dispatch(&engine, "a-1")).await.expect_err("the answer is lost");
    assert!(!error.not_run(), "{error}");
    assert_eq!(engine.records().len(), 1, "not sent twice by the client");
}

// A caller hangs up amid its answer. The engine is told to stop, so that its
// slot serves others.
#[tokio::test]
async fn dropped_run_is_cancelled() {
    let engine = engine(engine::Options { per_token_ms: 20, ..engine::Options::default() }).await;
    let mut run = open().run(dispatch(&engine, "a-1")).await.expect("taken");
    assert!(matches!(run.next().await, Some(Ok(_))));
    drop(run);
    while engine.records()[0].end.is_none() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(engine.records()[0].end, Some(End::Cancelled));
}

proptest! {
    /// Events of this and another attempt come in any order, some twice, some
    /// never: what is taken is always 0, 1, 2, … without a hole.
    #[test]
    fn taken_frames_have_no_hole(events in prop::collection::vec((prop::bool::weighted(0.9), 0u64..12), 0..80)) {
        let mut sequence = sequence::Sequence::new(Attempt::parse("a-1").expect("a name"), 0);
        let mut taken = Vec::new();
        for (own, index) in events {
            let id = format!("{}:{index}", if own { "a-1" } else { "a-2" });
            match sequence.accept(&id) {
                sequence::Verdict::Take(index) => taken.push((own, index)),
                sequence::Verdict::Gap => prop_assert!(own && index > sequence.next()),
                sequence::Verdict::Repeated => prop_assert!(own && index < sequence.next()),
                sequence::Verdict::Foreign => prop_assert!(!own),
            }
        }
        let expected: Vec<_> = (0..taken.len() as u64).map(|index| (true, index)).collect();
        prop_assert_eq!(taken, expected);
    }
}
