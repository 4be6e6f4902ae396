//! Calls, streams, news and membership between instances over real connections.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/proxy.rs"]
mod proxy;

use std::time::Duration;

use bytes::Bytes;
use fleet::{fleet, id, next, settings, spawn, wait_until};
use futures::StreamExt;
use peer::{Error, Inbound, Key, Limits, Settings, Topic};
use proxy::Proxy;
use timeline::{Capacity, Clock, Recorder, Source};
use tokio::net::TcpListener;
use world::instance::{Incarnation, State};

const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_call_is_answered_by_its_owner() {
    let mut nodes = fleet(2, Limits::default()).await;
    let caller = nodes[1].handle.clone();
    let calling = tokio::spawn(async move { caller.call(&id(0), Topic::Journal, "claim".into(), TIMEOUT).await });
    let (from, topic, body, reply) = next(&mut nodes[0].inbound, |message| match message {
        Inbound::Call { from, topic, body, reply } => Some((from, topic, body, reply)),
        _ => None,
    })
    .await;
    assert_eq!((from, topic, body), (id(1), Topic::Journal, Bytes::from("claim")));
    reply.send("done".into()).unwrap();
    assert_eq!(calling.await.unwrap(), Ok(Bytes::from("done")));
}

#[tokio::test]
async fn a_call_says_whether_it_may_have_arrived() {
    // The caller of a claim must distinguish "not run" from "may have run": the
    // first may be retried elsewhere, the second requires asking for the outcome.
    let limits = Limits { inbound: 1, ..Limits::default() };
    let mut nodes = fleet(2, limits).await;
    let handle = nodes[1].handle.clone();
    let owner = id(0);
    let call = |within| handle.call(&owner, Topic::Journal, Bytes::new(), within);

    let large = Bytes::from(vec![0; limits.body + 1]);
    let too_large = handle.call(&owner, Topic::Journal, large, TIMEOUT).await.unwrap_err();
    assert!(matches!(too_large, Error::TooLarge { .. }) && !too_large.may_have_arrived(), "{too_large}");

    let unknown = handle.call(&id(9), Topic::Journal, Bytes::new(), TIMEOUT).await;
    assert_eq!(unknown, Err(Error::Unknown(id(9))));

    // This call times out while it waits in the owner's queue.
    let waiting = tokio::spawn({
        let handle = handle.clone();
        async move { handle.call(&id(0), Topic::Journal, Bytes::new(), TIMEOUT / 4).await }
    });
    while nodes[0].inbound.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    // The first call fills the queue.
    let full = call(TIMEOUT).await.unwrap_err();
    assert!(matches!(full, Error::Refused(..)) && !full.may_have_arrived(), "{full}");
    let unanswered = waiting.await.unwrap().unwrap_err();
    assert!(matches!(unanswered, Error::Lost(..)) && unanswered.may_have_arrived(), "{unanswered}");

    // The owner takes the next call and drops its reply.
    nodes[0].inbound.recv().await.unwrap();
    let calling = tokio::spawn({
        let handle = handle.clone();
        async move { handle.call(&id(0), Topic::Journal, Bytes::new(), TIMEOUT).await }
    });
    drop(nodes[0].inbound.recv().await.unwrap());
    assert!(calling.await.unwrap().unwrap_err().may_have_arrived());
}

#[tokio::test]
async fn a_stream_is_sent_no_faster_than_it_is_read() {
    // A slow reader of a large response must cost the sender only a bounded
    // queue, not memory for the whole response.
    const CHUNK: usize = 64 << 10;
    const CHUNKS: usize = 2_000;
    let mut nodes = fleet(2, Limits::default()).await;
    let mut answers = nodes[1].handle.stream(&id(0), Topic::Timeline, "all".into()).await.unwrap();
    let sink = next(&mut nodes[0].inbound, |message| match message {
        Inbound::Stream { sink, .. } => Some(sink),
        _ => None,
    })
    .await;
    let mut taken = 0;
    while let Ok(Ok(())) = tokio::time::timeout(TIMEOUT / 20, sink.send(Bytes::from(vec![0; CHUNK]))).await {
        taken += 1;
        assert!(taken < CHUNKS, "the sender never had to wait");
    }
    // Once the reader continues, so does the sender, and every chunk arrives.
    let sending = tokio::spawn(async move {
        for _ in taken..CHUNKS {
            sink.send(Bytes::from(vec![0; CHUNK])).await.unwrap();
        }
    });
    let mut read = 0;
    while let Some(chunk) = answers.next().await {
        assert_eq!(chunk.unwrap().len(), CHUNK);
        read += 1;
    }
    sending.await.unwrap();
    assert_eq!(read, CHUNKS);
}

/// Publishes one item from each instance and checks that all others receive it.
async fn check_news(size: usize, links: usize) {
    let mut nodes = fleet(size, Limits { links, ..Limits::default() }).await;
    for origin in 0..size {
        nodes[origin].handle.publish(Topic::Config, Bytes::from(origin.to_string())).await.unwrap();
        for index in (0..size).filter(|index| *index != origin) {
            let (by, body) = next(&mut nodes[index].inbound, |message| match message {
                Inbound::News { origin, topic: Topic::Config, body, .. } => Some((origin, body)),
                _ => None,
            })
            .await;
            assert_eq!((by, body), (id(origin), Bytes::from(origin.to_string())));
        }
    }
}

macro_rules! news {
    ($($name:ident: $size:expr, $links:expr;)*) => {
        $(#[tokio::test] async fn $name() { check_news($size, $links).await; })*
    };
}

news! {
    news_reaches_all_of_a_full_mesh: 5, 12;
    news_reaches_all_over_three_links_each: 10, 3;
}

#[tokio::test]
async fn a_wrong_key_is_refused() {
    // A process that can reach the port but lacks the key must neither read nor
    // change any state.
    let node = spawn(settings(0, 1, vec![])).await;
    let seeds = vec![node.handle.address()];
    let wrong = Settings { key: Key::new("guess"), ..settings(1, 1, seeds.clone()) };
    let unauthorized = spawn(wrong).await;
    let accepted = spawn(settings(2, 1, seeds)).await;
    wait_until(&accepted.handle, |members| members.live().count() == 2).await;
    assert_eq!(unauthorized.handle.members().borrow().others.len(), 0);
    assert!(node.handle.members().borrow().get(&id(1)).is_none());
}

#[tokio::test]
async fn a_crash_is_detected_and_a_restart_readmitted() {
    // An instance crashes and is restarted under its name on another port. The
    // others remove it and then admit the new run.
    let nodes = fleet(4, Limits::default()).await;
    nodes[3].handle.abort();
    for node in &nodes[..3] {
        wait_until(&node.handle, |m| m.others[&id(3)].state == State::Gone).await;
    }
    let restarted = spawn(settings(3, 2, vec![nodes[0].handle.address()])).await;
    for node in &nodes[..3] {
        wait_until(&node.handle, |m| m.others[&id(3)].incarnation.0 == 2 && m.others[&id(3)].state == State::Live)
            .await;
    }
    wait_until(&restarted.handle, |m| m.live().count() == 4).await;
}

#[tokio::test]
async fn an_instance_that_cannot_be_dialled_dials_others() {
    // The last instance's port is cut off: no data passes on connections that
    // others opened to it, nor on new ones, though it can dial out. Its links
    // fall silent and are closed; it dials the others and stays a member.
    let nodes = fleet(3, Limits::default()).await;
    let outside = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut last = settings(3, 1, vec![nodes[0].handle.address()]);
    last.me.peers = outside.local_addr().unwrap();
    let inside = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::open(outside, inside.local_addr().unwrap());
    let (handle, mut inbound) = peer::spawn_on(inside, last).unwrap();
    wait_until(&handle, |m| m.live().count() == 4).await;

    let (number, latest) = tokio::sync::watch::channel(0_u64);
    let publisher = nodes[1].handle.clone();
    let publishing = tokio::spawn(async move {
        loop {
            number.send_modify(|number| *number += 1);
            let body = number.borrow().to_string().into();
            publisher.publish(Topic::Config, body).await.unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    let after = |least: u64| {
        move |message| match message {
            Inbound::News { from, body, .. } if from == id(1) => {
                let number: u64 = std::str::from_utf8(&body).unwrap().parse().unwrap();
                (number > least).then_some(())
            }
            _ => None,
        }
    };
    next(&mut inbound, after(0)).await;
    proxy.set_frozen(true);
    // From here on, news can arrive only over a new link.
    let frozen_at = *latest.borrow();
    next(&mut inbound, after(frozen_at)).await;
    publishing.abort();
    for node in &nodes {
        wait_until(&node.handle, |m| m.others[&id(3)].state == State::Live).await;
    }
}

#[tokio::test]
async fn leaving_and_closing_are_announced_at_once() {
    let mut nodes = fleet(3, Limits::default()).await;
    let leaving = nodes.pop().unwrap();
    leaving.handle.leave().await.unwrap();
    for node in &nodes {
        wait_until(&node.handle, |m| m.others[&id(2)].state == State::Leaving).await;
    }
    leaving.handle.close().await.unwrap();
    for node in &nodes {
        wait_until(&node.handle, |m| m.others[&id(2)].state == State::Gone).await;
    }
    assert_eq!(leaving.handle.publish(Topic::Config, Bytes::new()).await, Err(Error::Closed));
}

#[tokio::test]
async fn the_earlier_run_of_a_name_ends_its_links() {
    // An instance is restarted while its earlier run was only paused. Two runs
    // under one name would act as home of the same keys, so the earlier one has
    // to stop.
    let node = spawn(settings(0, 1, vec![])).await;
    let seeds = vec![node.handle.address()];
    let earlier = spawn(settings(1, 1, seeds.clone())).await;
    wait_until(&earlier.handle, |m| m.live().count() == 2).await;
    let later = spawn(settings(1, 2, seeds)).await;
    wait_until(&later.handle, |m| m.live().count() == 2).await;
    wait_until(&earlier.handle, |m| m.me.state == State::Gone).await;
    let refused = earlier.handle.call(&id(0), Topic::Journal, Bytes::new(), TIMEOUT).await.unwrap_err();
    assert!(!refused.may_have_arrived(), "{refused}");
}

#[tokio::test]
async fn a_digest_reaches_linked_peers_on_change_and_new_peers() {
    let mut node = spawn(settings(0, 1, vec![])).await;
    node.handle.set_digest(Topic::Config, "17".into()).await.unwrap();
    let mut newcomer = spawn(settings(1, 1, vec![node.handle.address()])).await;
    let digest = |message| match message {
        Inbound::Digest { from, topic, value } => Some((from, topic, value)),
        _ => None,
    };
    let first = next(&mut newcomer.inbound, digest).await;
    assert_eq!(first, (id(0), Topic::Config, Bytes::from("17")));
    newcomer.handle.set_digest(Topic::Config, "18".into()).await.unwrap();
    let second = next(&mut node.inbound, digest).await;
    assert_eq!(second, (id(1), Topic::Config, Bytes::from("18")));
}

/// Returns a wall clock time three seconds ahead of the other instances.
fn wall_clock_ahead() -> uhlc::NTP64 {
    uhlc::system_time_clock() + uhlc::NTP64::from(Duration::from_secs(3))
}

fn recorder(index: usize, clock: Clock) -> Recorder {
    let source = Source { instance: id(index), incarnation: Incarnation(1) };
    Recorder::over(source, Capacity::default(), clock)
}

/// One instance's clock is three seconds ahead. It publishes news and replies
/// to a call; what the receiver does next must get a later stamp in the
/// timeline, or an operator would see the effect before its cause.
#[tokio::test]
async fn effects_are_stamped_after_their_causes() {
    let (first, second) = (recorder(0, Clock::over(wall_clock_ahead)), recorder(1, Clock::default()));
    let mut fast = spawn(Settings { recorder: Some(first.clone()), ..settings(0, 1, Vec::new()) }).await;
    let seeds = vec![fast.handle.address()];
    let mut slow = spawn(Settings { recorder: Some(second.clone()), ..settings(1, 1, seeds) }).await;
    wait_until(&fast.handle, |members| members.live().count() == 2).await;

    let cause = first.clock();
    fast.handle.publish(Topic::Config, "news".into()).await.unwrap();
    next(&mut slow.inbound, |message| matches!(message, Inbound::News { .. }).then_some(())).await;
    assert!(second.clock() > cause, "news");

    // A new clock, so that only the reply can have advanced it.
    let caller = recorder(2, Clock::default());
    let third = spawn(Settings { recorder: Some(caller.clone()), ..settings(2, 1, vec![fast.handle.address()]) }).await;
    wait_until(&third.handle, |members| members.live().count() == 3).await;
    let calling = tokio::spawn(async move { third.handle.call(&id(0), Topic::Journal, "q".into(), TIMEOUT).await });
    let reply = next(&mut fast.inbound, |message| match message {
        Inbound::Call { reply, .. } => Some(reply),
        _ => None,
    })
    .await;
    let cause = first.clock();
    reply.send("a".into()).unwrap();
    calling.await.unwrap().unwrap();
    assert!(caller.clock() > cause, "reply");
}
