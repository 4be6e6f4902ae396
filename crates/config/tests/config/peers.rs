//! Messages between instances.

use std::time::Duration;

use config::wire::{News, Request};
use prost::Message;
use tokio::time::sleep;

use crate::site::{Options, Site, model, put};

async fn site_after_changes(versions: u32) -> Site {
    let site = Site::open(Options::default()).await;
    for versions in 1..=versions {
        put(site.config(0), model("m", versions)).await.expect("accepted");
    }
    site.wait(versions.into()).await;
    site
}

fn request(site: &Site, after: u64) -> News {
    let answer = site.config(0).serve(&Request { id: 7, after, ..Request::default() }.encode_to_vec());
    News::decode(answer).expect("news")
}

#[tokio::test(start_paused = true)]
async fn answer_contains_only_missing_changes() {
    let site = site_after_changes(5).await;
    for after in 0..7 {
        let news = request(&site, after);
        let missing = usize::try_from(5_u64.saturating_sub(after)).expect("small");
        assert_eq!((news.id, news.head, news.changes.len()), (7, 5, missing));
        assert!(news.snapshot.is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn peer_that_missed_many_changes_gets_the_whole_state() {
    let site = site_after_changes(200).await;
    let news = request(&site, 10);
    assert!(news.changes.is_empty() && !news.snapshot.is_empty());
}

/// Update messages arrive twice, out of order and very late. The generation in
/// force never decreases.
#[tokio::test(start_paused = true)]
async fn old_and_repeated_updates_change_nothing() {
    let mut site = site_after_changes(3).await;
    let old: Vec<_> =
        (0..3).map(|after| site.config(0).serve(&Request { after, ..Request::default() }.encode_to_vec())).collect();
    let snapshot = site.config(0).snapshot_bytes();
    put(site.config(0), model("m", 4)).await.expect("accepted");
    site.wait(4).await;
    site.start(Options::default()).await;
    site.wait(4).await;
    for news in old.iter().chain([&snapshot]).chain(old.iter().rev()) {
        site.config(4).offer(news.clone()).await;
        site.config(1).offer_snapshot(news.clone()).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(site.generations(), [4; 5]);
}

/// A peer of a newer build sends a field that this build does not know. The rest of
/// its message is processed.
#[tokio::test(start_paused = true)]
async fn update_from_a_newer_build_is_decoded() {
    let site = site_after_changes(1).await;
    site.cut(0, true);
    put(site.config(0), model("m", 2)).await.expect("accepted");
    let mut bytes = site.config(0).serve(&Request { after: 1, ..Request::default() }.encode_to_vec()).to_vec();
    // Field 99, a string.
    bytes.extend([0x9a, 0x06, 0x03, b'n', b'e', b'w']);
    site.config(1).offer(bytes.into()).await;
    sleep(Duration::from_millis(1)).await;
    assert_eq!(site.config(1).current().generation(), 2);
}

/// Bytes that are not a message arrive. They are dropped, and later messages are
/// processed.
#[tokio::test(start_paused = true)]
async fn undecodable_bytes_are_dropped() {
    let site = site_after_changes(1).await;
    site.config(1).offer(vec![0xff; 40].into()).await;
    let answer = site.config(1).serve(&[0xff; 40]);
    assert_eq!(News::decode(answer).expect("news").head, 1);
    put(site.config(0), model("m", 2)).await.expect("accepted");
    site.wait(2).await;
}

/// The instance that makes a change loses its links just before it publishes the
/// change. The others still receive it: from a reader's watch, or by asking a peer
/// within an interval.
#[tokio::test(start_paused = true)]
async fn lost_update_is_requested_again() {
    let site = site_after_changes(1).await;
    for listener in [2, 3] {
        site.config(listener).set_reader(false).await;
    }
    site.cut(0, true);
    put(site.config(0), model("m", 2)).await.expect("accepted");
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(site.generations(), [2; 4]);
}

/// A site's whole state is larger than one peer message may be. An instance that
/// starts during an outage of the platform receives it in parts.
#[tokio::test(start_paused = true)]
async fn large_state_is_sent_in_parts() {
    let options = Options::default();
    let mut site = Site::open(options).await;
    // More changes than peers keep individually.
    for versions in 1..150 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
    }
    for name in ["a", "b", "c", "d", "e", "f"] {
        put(site.config(0), model(name, 1_500)).await.expect("accepted");
    }
    site.wait(155).await;
    site.platform.set_down(true);
    let first = request(&site, 0);
    assert!(first.more && first.snapshot.len() < 1 << 20, "{} bytes", first.snapshot.len());
    site.start(options).await;
    site.wait_for(4, 155).await;
    assert_eq!(site.config(4).current().models(), site.config(0).current().models());
}
