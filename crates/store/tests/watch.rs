//! Watches miss nothing and hand out nothing twice.

use std::{sync::Arc, time::Duration};

use store::{
    Batch, Change, Error, Handle, Priority, Settings, Watch,
    fake::{Client, Platform},
    open_with,
};

fn open() -> (Platform, Client, Handle) {
    let platform = Platform::open();
    let client = platform.client();
    let handle = open_with(Settings::fake("us/1", 1), Arc::new(client.clone()));
    (platform, client, handle)
}

async fn create(handle: &Handle, key: &str) {
    let write = handle.create(Priority::Config, key, key).await;
    assert!(write.expect("up").is_done());
}

/// Keys of the next batch that has any; deleted ones with a minus.
async fn keys(watch: &mut Watch) -> Vec<String> {
    loop {
        let keys: Vec<_> = match watch.next().await {
            Ok(Batch::Changes { changes, .. }) => changes.into_iter().map(key).collect(),
            Ok(Batch::Relisted(listing)) => listing.items.into_iter().map(|item| format!("={}", item.key)).collect(),
            Err(_) => continue,
        };
        if !keys.is_empty() {
            return keys;
        }
    }
}

fn key(change: Change) -> String {
    match change {
        Change::Put(item) => item.key,
        Change::Deleted { key, .. } => format!("-{key}"),
    }
}

#[tokio::test(start_paused = true)]
async fn changes_come_in_order_and_once() {
    let (_, _, handle) = open();
    let mut watch = handle.watch(Priority::Config, "a/", 0);
    create(&handle, "a/1").await;
    create(&handle, "b/1").await;
    create(&handle, "a/2").await;
    assert_eq!(keys(&mut watch).await, ["a/1", "a/2"]);
    let item = handle.get(Priority::Config, "a/1").await.expect("up").expect("there");
    handle.delete(Priority::Config, &item).await.expect("up");
    assert_eq!(keys(&mut watch).await, ["-a/1"]);
}

#[tokio::test(start_paused = true)]
async fn waiting_out_is_an_empty_batch() {
    let (_, _, handle) = open();
    let mut watch = handle.watch(Priority::Config, "a/", 0).waiting(Duration::from_secs(1));
    assert!(matches!(watch.next().await, Ok(Batch::Changes { changes, .. }) if changes.is_empty()));
}

/// The platform has forgotten the changes that a watch was to go on from. The
/// watch notices the gap and lists everything, so that nothing is missed; the
/// reader of a log lists only what it lacks.
#[tokio::test(start_paused = true)]
async fn gap_is_listed_again() {
    let (platform, _, handle) = open();
    let mut watch = handle.watch(Priority::Config, "a/", 0);
    create(&handle, "a/1").await;
    create(&handle, "a/2").await;
    platform.compact();
    assert_eq!(keys(&mut watch).await, ["=a/1", "=a/2"]);
    create(&handle, "a/3").await;
    assert_eq!(keys(&mut watch).await, ["a/3"]);
    create(&handle, "a/4").await;
    platform.compact();
    watch.relist_after("a/3");
    assert_eq!(keys(&mut watch).await, ["=a/4"]);
}

/// A watch is answered by a replica that lags. Changes come late, in order
/// and once; nothing is skipped when the replica has caught up.
#[tokio::test(start_paused = true)]
async fn stale_replica_delays_and_skips_nothing() {
    let (platform, _, handle) = open();
    let mut watch = handle.watch(Priority::Config, "a/", 0);
    create(&handle, "a/1").await;
    create(&handle, "a/2").await;
    platform.set_stale_watches(1);
    assert_eq!(keys(&mut watch).await, ["a/1"]);
    create(&handle, "a/3").await;
    assert_eq!(keys(&mut watch).await, ["a/2"]);
    platform.set_stale_watches(0);
    assert_eq!(keys(&mut watch).await, ["a/3"]);
}

/// The platform is down for a while. The watcher hears of the failure, waits
/// between its tries, and then gets the changes made meanwhile.
#[tokio::test(start_paused = true)]
async fn outage_is_reported_and_nothing_is_missed() {
    let (platform, client, handle) = open();
    let other = open_with(Settings::fake("other/1", 1), Arc::new(platform.client()));
    let mut watch = handle.watch(Priority::Config, "a/", 0);
    client.set_down(true);
    assert!(matches!(watch.next().await, Err(Error::Down { .. })));
    create(&other, "a/1").await;
    let before = platform.records().len();
    let outage = async {
        tokio::time::sleep(Duration::from_mins(1)).await;
        client.set_down(false);
    };
    let (seen, ()) = tokio::join!(keys(&mut watch), outage);
    assert_eq!(seen, ["a/1"]);
    let tries = platform.records().len() - before;
    assert!((30..120).contains(&tries), "{tries} tries in a minute");
}

#[tokio::test(start_paused = true)]
async fn dropped_wait_loses_nothing() {
    let (_, _, handle) = open();
    let mut watch = handle.watch(Priority::Config, "a/", 0);
    for number in 0..5 {
        let wait = tokio::time::timeout(Duration::from_millis(1), keys(&mut watch)).await;
        assert!(wait.is_err(), "nothing has changed");
        let key = format!("a/{number}");
        create(&handle, &key).await;
        assert_eq!(keys(&mut watch).await, [key]);
    }
}
