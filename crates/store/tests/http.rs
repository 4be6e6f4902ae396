//! The HTTP client against the stand-in for the object API.

use std::{net::SocketAddr, time::Duration};

use standin::{
    fault::Odds,
    objects::{self, Limits, Listed, Objects, Switch},
};
use store::{
    Batch, Change, Error, Handle, Priority, Role, Settings, Standing, Write,
    api::{Call, Fault, Store},
    http::Client,
    open,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

async fn start(limits: Limits) -> (objects::Handle, Handle) {
    let standin = Objects::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits).await.expect("a free port");
    let mut settings = Settings::new(standin.addr(), "us/1");
    (settings.writes_per_s, settings.reads_per_s) = (10_000.0, 10_000.0);
    settings.seed = Some(1);
    settings.call_timeout = Duration::from_millis(500);
    (standin, open(settings))
}

async fn create(handle: &Handle, key: &str) -> Write {
    handle.create(Priority::Claim, key, key).await.expect("up")
}

#[tokio::test]
async fn every_call_goes_there_and_back() {
    let (_standin, handle) = start(Limits::none()).await;
    let Write::Done(item) = create(&handle, "a/1").await else { panic!("the key is free") };
    assert!(matches!(create(&handle, "a/1").await, Write::Lost { version: 1 }));
    let Write::Done(newer) = handle.update(Priority::Claim, &item, "new").await.expect("up") else {
        panic!("nobody else writes")
    };
    assert!(matches!(handle.update(Priority::Claim, &item, "old").await, Ok(Write::Lost { version: 2 })));
    let found = handle.get(Priority::Claim, "a/1").await.expect("up").expect("there");
    assert_eq!(
        (found.version, found.writer.as_str(), found.read::<String>().expect("text").as_str()),
        (2, "us/1", "new")
    );
    assert!(handle.delete(Priority::Claim, &newer).await.expect("up").is_done());
    assert!(handle.get(Priority::Claim, "a/1").await.expect("up").is_none());
    assert!(matches!(handle.update(Priority::Claim, &newer, "gone").await, Ok(Write::Lost { version: 0 })));
}

#[tokio::test]
async fn lists_run_over_pages_and_watches_go_on_from_them() {
    let (standin, handle) = start(Limits::none()).await;
    for number in 0..1_201 {
        standin.put(&format!("a/{number:04}"), number.into());
    }
    let listing = handle.list(Priority::Config, "a/").await.expect("up");
    assert_eq!((listing.items.len(), listing.version), (1_201, 1_201));
    let keys = handle.keys(Priority::Config, "a/", "a/1198", 10).await.expect("up");
    assert_eq!(keys, ["a/1199", "a/1200"]);
    let mut watch = handle.watch(Priority::Config, "a/", listing.version);
    create(&handle, "a/new").await;
    let Ok(Batch::Changes { changes, version }) = watch.next().await else { panic!("no gap") };
    assert_eq!((changes.len(), version), (1, 1_202));
    assert!(matches!(&changes[0], Change::Put(item) if item.key == "a/new"));
    create(&handle, "a/newer").await;
    standin.compact(0);
    assert!(matches!(watch.next().await, Ok(Batch::Relisted(listing)) if listing.items.len() == 1_203));
}

#[tokio::test]
async fn instance_list_is_read() {
    let (standin, handle) = start(Limits::none()).await;
    let listed = |name: &str, role, state| Listed { name: name.into(), role, state };
    standin.set_instances(&[
        listed("i0", objects::Role::Entry, objects::Standing::Live),
        listed("e0", objects::Role::Endpoint, objects::Standing::Leaving),
    ]);
    let members = handle.instances(Priority::Lease).await.expect("up");
    let seen: Vec<_> = members.iter().map(|m| (m.name.as_str(), m.role, m.standing)).collect();
    assert_eq!(seen, [("i0", Role::Entry, Standing::Live), ("e0", Role::Endpoint, Standing::Leaving)]);
}

/// Half of all answers are lost after the effect, over real connections. Every
/// write is done once all the same, and is reported so.
#[tokio::test]
async fn broken_connections_after_the_effect_are_resolved() {
    let (standin, handle) = start(Limits { seed: 3, ..Limits::none() }).await;
    standin.switch(Switch::LoseAnswers(Odds::share(0.5)));
    for number in 0..40 {
        assert!(create(&handle, &format!("a/{number}")).await.is_done());
    }
    assert_eq!(standin.revision(), 40);
}

/// The platform refuses calls past its rate. They come through later, none is
/// done twice and none is reported as failed.
#[tokio::test]
async fn calls_past_the_rate_come_through() {
    let (standin, handle) = start(Limits { writes_per_s: 50.0, reads_per_s: 50.0, seed: 0 }).await;
    for number in 0..80 {
        assert!(create(&handle, &format!("a/{number}")).await.is_done());
    }
    assert_eq!(standin.revision(), 80);
    assert!(standin.calls().limited > 0, "the rate was never met");
}

#[tokio::test]
async fn nobody_listening_is_certainly_not_done() {
    let (standin, handle) = start(Limits::none()).await;
    drop(standin);
    let write = handle.within(Duration::from_millis(300)).create(Priority::Claim, "a", "a").await;
    assert!(matches!(write, Err(Error::Down { .. })), "{write:?}");
}

/// A platform that sends an answer without end would have the process killed for its memory.
#[tokio::test]
async fn answer_without_end_is_given_up() {
    const MIB: usize = 1 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = Client::open(listener.local_addr().expect("it listens"));
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a call");
        let (mut sent, mut part) = (0, vec![b' '; MIB]);
        assert!(stream.read(&mut part).await.expect("the call") > 0);
        part[..19].copy_from_slice(b"HTTP/1.1 200 OK\r\n\r\n");
        while sent < 512 * MIB && stream.write_all(&part).await.is_ok() {
            sent += MIB;
        }
        sent
    });
    let answer = client.call(Call::Instances).await;
    assert!(matches!(answer, Err(Fault::Lost { .. })), "{answer:?}");
    let sent = sending.await.expect("it ends");
    assert!(sent < 96 * MIB, "{sent} bytes were taken");
}
