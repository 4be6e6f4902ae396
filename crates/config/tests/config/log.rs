//! Reading the log: gaps, lagging watches, pauses and entries that cannot be decoded.

use std::time::Duration;

use config::Keep;
use store::Priority;
use tokio::time::sleep;

use crate::{
    faults::generations_under,
    site::{Options, Site, model, put},
};

/// Opens a site without peer links, so that instances depend on the platform alone.
async fn site_without_links() -> Site {
    let site = Site::open(Options { keep: Keep { snapshot_every: 8, changes: 16 }, ..Options::default() }).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    (0..4).for_each(|index| site.cut(index, true));
    site
}

/// The platform compacts the changes after which a reader's watch would continue.
/// The reader lists the missing entries, and none is skipped.
#[tokio::test(start_paused = true)]
async fn gap_in_the_watch_is_filled_by_a_read() {
    let site = site_without_links().await;
    site.instances[1].client.set_down(true);
    for versions in 2..6 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
    }
    site.platform.compact();
    site.instances[1].client.set_down(false);
    site.wait(5).await;
}

/// Watches are answered by a replica that lags permanently. Changes arrive through
/// the plain reads that confirm freshness, within an interval or two.
#[tokio::test(start_paused = true)]
async fn lagging_watch_does_not_delay_changes() {
    let site = site_without_links().await;
    site.platform.set_stale_watches(1_000);
    put(site.config(0), model("m", 2)).await.expect("accepted");
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(site.generations(), [2; 4]);
}

/// A reader loses the platform while the log grows and is truncated above its
/// generation. The changes from its watch then do not follow its state, so it
/// must load the snapshot.
#[tokio::test(start_paused = true)]
async fn reader_behind_the_truncation_loads_the_snapshot() {
    let site = site_without_links().await;
    site.instances[1].client.set_down(true);
    let mut seen = site.config(1).subscribe();
    for versions in 2..65 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(10)).await;
    assert!(!generations_under(&site, "config/change/").contains(&2), "generation 2 is truncated");
    assert!(!site.config(1).fresh());
    seen.mark_unchanged();
    site.instances[1].client.set_down(false);
    site.wait(64).await;
    assert!(site.config(1).fresh());
    assert_eq!(generations_under(&site, "config/snapshot/").len(), 2, "older snapshots are gone");
}

/// An instance stops and resumes being its domain's reader several times.
#[tokio::test(start_paused = true)]
async fn reader_role_can_change() {
    let site = site_without_links().await;
    for reader in [false, true, true, false, true] {
        site.config(1).set_reader(reader).await;
        let versions = u32::try_from(site.config(0).current().generation()).expect("few") + 1;
        put(site.config(0), model("m", versions)).await.expect("accepted");
        site.wait(u64::from(versions)).await;
    }
}

/// An entry from a newer build cannot be decoded here. The instance keeps its state
/// and accepts no new work, since the entry may contain a withdrawal. The
/// readable entry in the same log does not hide the one that cannot be decoded.
#[tokio::test(start_paused = true)]
async fn unreadable_entry_stops_new_work() {
    let site = site_without_links().await;
    let handle = store::open_with(store::Settings::fake("newer/1", 9), std::sync::Arc::new(site.platform.client()));
    let entry = serde_json::json!({
        "generation": 2, "at": 0, "author": "ann", "instance": "i9",
        "edits": [{ "before": 0, "put": { "kind": "model", "name": "m", "spec": { "versions": [], "newer": true } } }],
    });
    let created = handle.create(Priority::Config, "config/change/0000000000000002", &entry).await;
    assert!(created.expect("up").is_done());
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.generations(), [1; 4]);
    assert!(site.instances.iter().all(|instance| !instance.config.fresh()));
}

/// The objects of a fleet do not fit into one value of the platform. The snapshot
/// is split, and an instance that starts from it has all objects.
#[tokio::test(start_paused = true)]
async fn snapshot_above_a_megabyte_is_split() {
    let options =
        Options { keep: Keep { snapshot_every: 4, changes: 8 }, instances: 1, domains: 1, ..Options::default() };
    let mut site = Site::open(options).await;
    for name in ["a", "b", "c", "d"] {
        put(site.config(0), model(name, 5_000)).await.expect("accepted");
    }
    sleep(Duration::from_secs(10)).await;
    assert_eq!(generations_under(&site, "config/snapshot/"), [4]);
    assert!(site.platform.objects().iter().any(|object| object.key.starts_with("config/part/")));
    site.start(options).await;
    site.wait(4).await;
    assert_eq!(site.config(1).current().models(), site.config(0).current().models());
}

/// An idle site makes calls only for the readers' watches and confirmations.
/// Instances that are not readers make none.
#[tokio::test(start_paused = true)]
async fn idle_reader_makes_at_most_two_calls_per_second() {
    for (readers, most) in [(true, 2 * 60 * 4), (false, 0)] {
        let site = Site::open(Options { readers: true, ..Options::default() }).await;
        put(site.config(0), model("m", 1)).await.expect("accepted");
        site.wait(1).await;
        if !readers {
            for index in 1..4 {
                site.config(index).set_reader(false).await;
            }
        }
        sleep(Duration::from_secs(10)).await;
        let before = site.platform.records().len();
        sleep(Duration::from_mins(1)).await;
        let calls = site.platform.records().len() - before;
        let most = if readers { most } else { 2 * 60 };
        assert!(calls <= most, "{calls} calls in a minute, readers: {readers}");
    }
}
