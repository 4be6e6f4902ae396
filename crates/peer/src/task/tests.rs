//! Misbehaving and later-build peers over real connections.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming};
use world::instance::{Id, Instance, State};

use crate::{
    Error, Handle, Inbound, Key, Settings, Timing, Topic, generated as pb,
    generated::{CallRequest, Frame, frame::Kind},
    member::Member,
    pool::Pool,
};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Number of a topic that only a later build knows.
const LATER_TOPIC: u32 = 4_000;

fn settings(name: &str, seed: Option<&Handle>) -> Settings {
    let local = "127.0.0.1:0".parse().unwrap();
    let me = Instance {
        id: Id::parse(name).unwrap(),
        incarnation: world::instance::Incarnation(1),
        domain: "d1".parse().unwrap(),
        callers: local,
        peers: local,
        operators: local,
        state: State::Live,
    };
    let mut settings = Settings::new(me, local, seed.map(Handle::address).into_iter().collect(), Key::new("secret"));
    settings.timing = Timing { heartbeat: 100, silence: 2_000, suspicion: 1_000, forget: 60_000 };
    settings
}

/// A scripted peer that is linked with a real instance.
struct ScriptedPeer {
    pool: Arc<Pool>,
    sender: mpsc::Sender<Frame>,
    incoming: Streaming<Frame>,
}

impl ScriptedPeer {
    async fn link(name: &str, to: &Handle) -> Self {
        let settings = settings(name, None);
        let pool = Arc::new(Pool::new(&settings));
        let (sender, receiver) = mpsc::channel(1_024);
        let member = pb::Member::from(&Member::new(settings.me));
        // This is the greeting of a later build that still understands this one.
        let greeting = pb::Greeting { version: 9, oldest: 1, sender: Some(member), full: false };
        sender.send(Frame { kind: Some(Kind::Greeting(greeting)) }).await.unwrap();
        let mut client = pool.connect_new(to.address()).await.unwrap();
        let incoming = client.link(pool.request(ReceiverStream::new(receiver))).await.unwrap().into_inner();
        Self { pool, sender, incoming }
    }

    async fn send(&self, kind: Option<Kind>) {
        self.sender.send(Frame { kind }).await.unwrap();
    }

    fn news(&self, sequence: u64, topic: u32, relay: bool) -> Kind {
        Kind::News(pb::News {
            origin: self.pool.caller().id,
            incarnation: 1,
            sequence,
            topic,
            body: Bytes::from(sequence.to_string()),
            hops: 0,
            relay,
            stamp: 0,
        })
    }
}

async fn until_live(handle: &Handle, count: usize) {
    let mut members = handle.members();
    let waited = timeout(TIMEOUT, members.wait_for(|m| m.live().count() == count)).await;
    assert!(matches!(waited, Ok(Ok(_))), "{:?}", handle.members().borrow());
}

async fn next_news(inbound: &mut mpsc::Receiver<Inbound>, by: &str) -> Bytes {
    let wanted = async {
        loop {
            match inbound.recv().await.expect("the task is running") {
                Inbound::News { origin, body, .. } if origin.as_str() == by => return body,
                _ => {}
            }
        }
    };
    timeout(TIMEOUT, wanted).await.expect("the news arrives")
}

#[tokio::test]
async fn unknown_additions_of_a_later_build_do_no_harm() {
    // During a rollout, two builds run side by side. The earlier build receives
    // frames, topics and digests that only the later one knows. It handles the
    // rest, keeps the link, relays the news and refuses the calls as not run.
    let (node, mut inbound) = crate::spawn(settings("a", None)).await.unwrap();
    let raw = ScriptedPeer::link("z", &node).await;
    let mut other = ScriptedPeer::link("y", &node).await;
    until_live(&node, 3).await;

    raw.send(None).await;
    let digests =
        vec![pb::Digest { topic: LATER_TOPIC, value: "x".into() }, pb::Digest { topic: 1, value: "17".into() }];
    raw.send(Some(Kind::Heartbeat(pb::Heartbeat { digests, ..pb::Heartbeat::default() }))).await;
    raw.send(Some(raw.news(1, LATER_TOPIC, true))).await;
    raw.send(Some(raw.news(2, Topic::Stop.number(), false))).await;

    let first = timeout(TIMEOUT, inbound.recv()).await.unwrap().unwrap();
    assert!(matches!(&first, Inbound::Digest { topic: Topic::Config, value, .. } if value == "17"), "{first:?}");
    let second = timeout(TIMEOUT, inbound.recv()).await.unwrap().unwrap();
    assert!(matches!(&second, Inbound::News { topic: Topic::Stop, .. }), "{second:?}");

    let relayed = async {
        loop {
            let frame = other.incoming.message().await.unwrap().expect("the link stays open");
            if let Some(Kind::News(news)) = frame.kind {
                return (news.topic, news.hops);
            }
        }
    };
    assert_eq!(timeout(TIMEOUT, relayed).await.unwrap(), (LATER_TOPIC, 1));

    let call = CallRequest { caller: Some(raw.pool.caller()), topic: LATER_TOPIC, body: Bytes::new(), wanted: 0 };
    let mut client = raw.pool.connect_new(node.address()).await.unwrap();
    let status = client.call(raw.pool.request(call)).await.unwrap_err();
    assert_eq!(status.code(), Code::Unimplemented);
    assert!(!Error::from_status(&Id::parse("a").unwrap(), &status).may_have_arrived());
}

#[tokio::test]
async fn a_flood_from_one_peer_does_not_delay_others() {
    // One peer sends far more news than any topic owner can handle. Without a
    // rate limit all of it would be relayed and delay heartbeats of others.
    let (node, mut inbound) = crate::spawn(settings("a", None)).await.unwrap();
    let (other, _other_inbound) = crate::spawn(settings("b", Some(&node))).await.unwrap();
    until_live(&node, 2).await;
    let raw = ScriptedPeer::link("z", &node).await;
    let flood = tokio::spawn(async move {
        for sequence in 1.. {
            raw.send(Some(raw.news(sequence, Topic::Config.number(), true))).await;
        }
    });
    until_live(&node, 3).await;
    for sequence in 0..5 {
        other.publish(Topic::Stop, Bytes::from(sequence.to_string())).await.unwrap();
        assert_eq!(next_news(&mut inbound, "b").await, sequence.to_string());
        assert!(node.members().borrow().live().any(|i| i.id.as_str() == "b"));
    }
    flood.abort();
}

#[tokio::test]
async fn a_peer_that_never_reads_affects_only_its_own_link() {
    // Its queue and the connection's buffers fill up. Further frames are dropped
    // for this peer only, and the publisher never waits.
    let (node, _inbound) = crate::spawn(settings("a", None)).await.unwrap();
    let (other, mut inbound) = crate::spawn(settings("b", Some(&node))).await.unwrap();
    until_live(&node, 2).await;
    let _unreading = ScriptedPeer::link("z", &node).await;
    until_live(&node, 3).await;
    let body = Bytes::from(vec![b'x'; 64 << 10]);
    for _ in 0..100 {
        node.publish(Topic::Config, body.clone()).await.unwrap();
        assert_eq!(next_news(&mut inbound, "a").await.len(), body.len());
    }
    assert!(other.members().borrow().live().any(|i| i.id.as_str() == "a"));
}

#[tokio::test]
async fn a_silent_link_is_closed_and_its_peer_removed() {
    // The connection is open, but no frames arrive: the peer hangs or has lost
    // its side. If the link were kept, the peer's next dial would be refused as
    // a duplicate.
    let (node, _inbound) = crate::spawn(settings("a", None)).await.unwrap();
    let mut raw = ScriptedPeer::link("z", &node).await;
    until_live(&node, 2).await;
    let ended = async { while let Ok(Some(_)) = raw.incoming.message().await {} };
    timeout(TIMEOUT, ended).await.expect("the link is closed");
    until_live(&node, 1).await;
}

#[tokio::test]
async fn a_connection_without_a_greeting_is_harmless() {
    // Such a connection is opened by mistake, or by a peer that hangs before it
    // sends its greeting.
    let (node, _inbound) = crate::spawn(settings("a", None)).await.unwrap();
    let _silent = TcpStream::connect(node.address()).await.unwrap();
    sleep(Duration::from_millis(10)).await;
    let (other, _other_inbound) = crate::spawn(settings("b", Some(&node))).await.unwrap();
    until_live(&other, 2).await;
}
