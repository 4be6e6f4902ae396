//! Event streams: resumed elsewhere, delivered in order, and answered by a larger model.

use std::time::{Duration, Instant};

use relay::catalog::Kind;

use crate::{
    caller,
    server::{Act, END, Server, chunk, event, header, stream_head},
    site::{Site, laddered, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

fn whole_stream(from: u32, to: u32) -> String {
    (from..=to).fold(stream_head(90), |text, number| text + &event(number)) + END
}

/// A server crashes in the middle of an event.
///
/// The caller has received two events and has to get the third complete and once, from another
/// server that resumes after the second.
#[tokio::test]
async fn stream_goes_on_elsewhere_after_a_whole_event() {
    let torn = stream_head(90) + &event(1) + &event(2) + &chunk("id: 3\nda");
    let server = Server::open(vec![Act::Reset(torn), Act::Write(whole_stream(2, 4))]).await;
    let site = Site::open(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let got = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
    assert!(got.complete, "{got:?}");
    assert_eq!(got.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\nid: 4\ndata: d4\n\n");
    let seen = server.seen();
    assert_eq!(header(&seen[1], "last-event-id").as_deref(), Some("2"));
}

/// A server stops responding in the middle of a stream: no reset, no further bytes. After about
/// a second the stream resumes on another server; the caller gets every event once, before it
/// would give up itself.
#[tokio::test]
async fn stream_of_a_dark_server_goes_on_elsewhere() {
    let begun = stream_head(90) + &event(1) + &event(2);
    let server = Server::open(vec![Act::Hang(begun), Act::Write(whole_stream(3, 4))]).await;
    let site = Site::open(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let asked = Instant::now();
    let got = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
    assert!(got.complete, "{got:?}");
    assert_eq!(got.body.matches("id: ").count(), 4, "{got:?}");
    assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
}

/// A server has so many prompts to read that one of its streams pauses for seconds, while events
/// of another stream arrive. If such streams were restarted elsewhere, their prompts would have
/// to be read again and delay everyone further; so the relay waits for as long as it receives
/// anything from the server.
#[tokio::test]
async fn stalled_stream_of_a_busy_server_is_waited_for() {
    let stalled = stream_head(90) + &event(1);
    let lively: Vec<String> =
        std::iter::once(stream_head(90)).chain((1..=300).map(event)).chain([END.to_owned()]).collect();
    let server = Server::open(vec![Act::Hang(stalled), Act::Slowly(lively)]).await;
    let site = Site::open(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let front = site.front();
    let ask = move || tokio::spawn(async move { caller::call(front, "POST", "/s/x", "", "prompt").await });
    let stalled = ask();
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let lively = ask().await.unwrap();
    assert!(lively.complete, "{lively:?}");
    // Three seconds or more have passed, twice the longest pause.
    assert_eq!(server.seen().len(), 2, "{:?}", server.seen());
    stalled.abort();
}

/// A server crashes during a stream that may not be resumed: the caller's response must look cut
/// off.
#[tokio::test]
async fn broken_stream_that_may_not_be_resumed_looks_broken() {
    let torn = stream_head(90) + &event(1);
    let server = Server::open(vec![Act::Reset(torn), Act::Write(whole_stream(1, 2))]).await;
    let site = Site::open(vec![route("/s/", Kind::Stream { resumable: false })], &[server.address]).await;
    let got = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
    assert!(!got.complete, "{got:?}");
    assert_eq!(server.seen().len(), 1);
}

/// Events reach the caller unchanged, however their bytes are split into chunks.
#[tokio::test]
async fn events_cut_anywhere_arrive_whole() {
    let text = (1..=5).fold(String::new(), |text, n| text + &format!("id: {n}\ndata: d{n}\n\n"));
    let pieces = text.as_bytes().chunks(3).map(|piece| chunk(std::str::from_utf8(piece).unwrap()));
    let mut parts = vec![stream_head(90)];
    parts.extend(pieces);
    parts.push(END.into());
    let server = Server::open(vec![Act::Slowly(parts)]).await;
    let site = Site::open(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let got = caller::call(site.front(), "POST", "/s/x", "", "prompt").await;
    assert_eq!((got.complete, got.body), (true, text));
}

/// The small model reports a low confidence in its answer: the caller sees only the large
/// model's.
#[tokio::test]
async fn unsure_answer_is_asked_of_a_larger_model() {
    let unsure = stream_head(10) + &event(1);
    let server = Server::open(vec![Act::Hang(unsure), Act::Write(whole_stream(1, 2))]).await;
    let site = Site::open(vec![laddered("/s/")], &[server.address]).await;
    let got = caller::call(site.front(), "POST", "/s/x", "X-Model: *\r\nX-Tokens: 100,10\r\n", "prompt").await;
    assert!(got.complete && got.body.starts_with("id: 1\n"), "{got:?}");
    let models: Vec<_> = server.seen().iter().map(|request| header(request, "x-model").unwrap()).collect();
    assert_eq!(models, ["small", "large"]);
}

#[tokio::test]
async fn sure_answer_of_the_small_model_is_kept() {
    let server = Server::open(vec![Act::Write(whole_stream(1, 2))]).await;
    let site = Site::open(vec![laddered("/s/")], &[server.address]).await;
    let got = caller::call(site.front(), "POST", "/s/x", "X-Model: *\r\nX-Tokens: 100,10\r\n", "prompt").await;
    assert!(got.complete, "{got:?}");
    assert_eq!(server.seen().len(), 1);
}
