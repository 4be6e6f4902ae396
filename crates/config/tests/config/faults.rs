//! Changes while answers are lost and the platform fails and recovers.

use std::{sync::Arc, time::Duration};

use config::{Edit, Error, Expected, Keep};
use store::{api::Fault, fake::Loss};
use tokio::time::sleep;
use world::object::{Key, Kind};

use crate::site::{Options, Site, model, put};

/// Takes a snapshot every four changes and keeps few changes before it.
const SHORT_LOG: Keep = Keep { snapshot_every: 4, changes: 8 };

fn key(name: &str) -> Key {
    Key { kind: Kind::Model, name: name.into() }
}

/// Returns the generations of the platform's keys with a prefix.
pub fn generations_under(site: &Site, prefix: &str) -> Vec<u64> {
    let objects = site.platform.objects().into_iter();
    objects.filter_map(|object| object.key.strip_prefix(prefix)?.parse().ok()).collect()
}

macro_rules! losses {
    ($check:ident: $($name:ident: $loss:expr;)*) => { $(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            $check($loss).await;
        }
    )* };
}

/// The answer to a change's write is lost, before or after its effect. The operator
/// gets one generation, it is in force everywhere, and no second entry contains the
/// same change.
async fn check_change(loss: Loss) {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.instances[0].client.lose(1, loss);
    assert_eq!(put(site.config(0), model("m", 2)).await, Ok(2));
    site.wait(2).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(generations_under(&site, "config/change/"), [1, 2]);
    assert_eq!(site.generations(), [2; 4]);
}

losses! { check_change:
    change_lost_before_the_effect: Loss::Before;
    change_lost_after_the_effect: Loss::After;
    change_takes_effect_late: Loss::Late(Duration::from_millis(10));
    change_takes_effect_very_late: Loss::Late(Duration::from_secs(2));
    change_refused: Loss::Refused;
}

/// The answer to a snapshot's write is lost. The change that triggered it is still
/// accepted, a snapshot exists in the end, and an instance that starts from it
/// reaches the same state as the others.
async fn check_snapshot(loss: Loss) {
    let options = Options { keep: SHORT_LOG, ..Options::default() };
    let mut site = Site::open(options).await;
    for versions in 1..4 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
    }
    site.instances[0].client.lose(2, loss);
    assert_eq!(put(site.config(0), model("m", 4)).await, Ok(4));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(generations_under(&site, "config/snapshot/"), [4]);
    site.start(options).await;
    site.wait(4).await;
    assert_eq!(site.config(4).current().models(), site.config(0).current().models());
}

losses! { check_snapshot:
    snapshot_lost_before_the_effect: Loss::Before;
    snapshot_lost_after_the_effect: Loss::After;
    snapshot_takes_effect_late: Loss::Late(Duration::from_secs(2));
    snapshot_refused: Loss::Refused;
}

/// The platform is down. The operator is told that nothing was changed, and nothing
/// is changed later.
#[tokio::test(start_paused = true)]
async fn change_in_an_outage_is_not_accepted() {
    let site = Site::open(Options::default()).await;
    site.platform.set_down(true);
    assert!(matches!(put(site.config(0), model("m", 1)).await, Err(Error::Down(_))));
    site.platform.set_down(false);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(site.generations(), [0; 4]);
}

/// The change takes effect, its answer is lost, and the platform goes down
/// before the entry can be read back. The operator gets an unknown outcome with the
/// generation to check; once the platform recovers, that generation is in force.
#[tokio::test(start_paused = true)]
async fn answer_lost_in_an_outage_is_unknown_and_later_in_force() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    site.instances[0].client.lose(1, Loss::After);
    site.instances[0].client.lose_read(1, Fault::Lost { cause: "scripted".into() });
    let outage = async {
        while generations_under(&site, "config/change/").len() < 2 {
            tokio::task::yield_now().await;
        }
        site.platform.set_down(true);
    };
    let (change, ()) = tokio::join!(put(site.config(0), model("m", 2)), outage);
    assert_eq!(change.unwrap_err(), Error::Unknown { generation: 2 });
    site.platform.set_down(false);
    site.wait(2).await;
    let history = site.config(1).history(&key("m"), 1).await.expect("up");
    assert_eq!(history[0].revision.generation, 2);
}

/// Two faults at once: an operator's answer is lost after the effect while
/// another operator, at an instance cut off from its peers, changes the same
/// object. Both get a correct result, and all instances reach the same state.
#[tokio::test(start_paused = true)]
async fn lost_answer_and_race_across_a_partition() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    site.cut(3, true);
    site.instances[0].client.lose(1, Loss::After);
    let edit = |versions| vec![Edit::Put(model("m", versions), Expected::At(1))];
    let (ann, bob) = tokio::join!(site.config(0).apply("ann", edit(2)), site.config(3).apply("bob", edit(3)));
    assert_eq!(ann.expect("its write came first").generation, 2);
    assert!(
        matches!(bob, Err(Error::Conflict(conflict)) if conflict.found.as_ref().is_some_and(|f| f.author == "ann"))
    );
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.generations(), [2; 4], "the instance without links reads the platform itself");
}

/// The platform is so slow that no answer arrives in time, and then recovers. The
/// change is accepted only once, and all instances catch up.
#[tokio::test(start_paused = true)]
async fn unresponsive_platform_accepts_once() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.platform.set_slow(Duration::from_secs(6));
    let change = put(site.config(0), model("m", 2)).await;
    assert_eq!(change.unwrap_err(), Error::Unknown { generation: 2 });
    site.platform.set_slow(Duration::ZERO);
    site.wait(2).await;
    assert_eq!(generations_under(&site, "config/change/"), [1, 2]);
}

/// The platform takes three seconds for an answer, more than the first timeout. The
/// operator waits and gets the generation.
#[tokio::test(start_paused = true)]
async fn slow_platform_accepts_before_the_deadline() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.platform.set_slow(Duration::from_secs(3));
    assert_eq!(put(site.config(0), model("m", 2)).await, Ok(2));
    site.wait(2).await;
    assert_eq!(generations_under(&site, "config/change/"), [1, 2]);
}

/// An instance is cut off until the log is truncated above its generation. An
/// operator's change there creates the entry of a generation that all others passed
/// long ago; if accepted, it would never come into force. The instance finds the
/// newer snapshot, retracts the entry and applies the change to the newest state.
#[tokio::test(start_paused = true)]
async fn change_by_an_instance_behind_the_truncation_is_applied_again() {
    let site = Site::open(Options { keep: SHORT_LOG, ..Options::default() }).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    site.instances[3].client.set_down(true);
    site.cut(3, true);
    for versions in 2..33 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(10)).await;
    assert!(!generations_under(&site, "config/change/").contains(&2), "generation 2 is truncated");
    assert_eq!(site.config(3).current().generation(), 1);
    site.instances[3].client.set_down(false);
    assert_eq!(put(site.config(3), model("late", 1)).await, Ok(33));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.generations()[..3], [33; 3]);
    assert!(!generations_under(&site, "config/change/").contains(&2), "the void entry is retracted");
}

/// The delayed write of a lost instance arrives after the log was truncated above it,
/// so nobody retracts the stray entry. An instance that resumes at the generation
/// just before it must not apply it as the next one: its state would diverge from
/// all others permanently.
async fn check_stray_entry(paused_at: u64) {
    let options = Options { keep: SHORT_LOG, ..Options::default() };
    let mut site = Site::open(options).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    let pause = |site: &Site| {
        site.instances[3].client.set_down(true);
        site.cut(3, true);
        write_stray_entry_late(site, paused_at + 1);
    };
    for generation in 2..33 {
        site.wait(if generation > paused_at { 1 } else { generation - 1 }).await;
        if generation == paused_at + 1 {
            sleep(Duration::from_secs(2)).await;
            pause(&site);
        }
        put(site.config(0), model("m", u32::try_from(generation).expect("few"))).await.expect("accepted");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(40)).await;
    assert!(generations_under(&site, "config/change/").contains(&(paused_at + 1)), "the stray entry has arrived");
    assert_eq!(site.config(3).current().generation(), paused_at);
    site.platform.compact();
    let watched: Vec<_> = [0, 3].map(|index| tokio::spawn(wait_for_stray_entry(site.config(index).clone()))).into();
    site.instances[3].client.set_down(false);
    site.start(options).await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(site.generations(), [32; 5]);
    assert!(watched.iter().all(|watch| !watch.is_finished()), "the stray entry came into force");
}

#[tokio::test(start_paused = true)]
async fn stray_entry_far_below_the_truncation() {
    check_stray_entry(1).await;
}

/// Changes up to 24 are truncated at 32: the stray entry replaces the 24th and is
/// directly followed by the 25th.
#[tokio::test(start_paused = true)]
async fn stray_entry_right_below_the_truncation() {
    check_stray_entry(23).await;
}

/// An instance is lost right after one of the writes for its changes: an entry, a
/// snapshot or a deletion by the truncation. The others continue and agree, the
/// remaining log has no gap, and the instance that makes a later change completes
/// what the lost one left unfinished.
async fn check_lost_after(writes: u64) {
    let options = Options { keep: SHORT_LOG, ..Options::default() };
    let mut site = Site::open(options).await;
    site.instances[0].client.lose(writes, Loss::Death);
    for versions in 1.. {
        if put(site.config(0), model("m", versions)).await.is_err() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    site.cut(0, true);
    let accepted = site.config(1).current().generation();
    for versions in 1..17 {
        put(site.config(1), model("other", versions)).await.expect("accepted");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(3)).await;
    let head = accepted + 16;
    assert_eq!(site.generations()[1..], [head; 3]);
    let kept = generations_under(&site, "config/change/");
    assert!(kept.windows(2).all(|pair| pair[0] + 1 == pair[1]), "{kept:?}");
    assert!(kept.len() <= 20, "not truncated: {kept:?}");
    let snapshots = generations_under(&site, "config/snapshot/");
    assert!(snapshots.len() <= 3 && snapshots.last().is_some_and(|newest| newest + 4 >= head), "{snapshots:?}");
    site.start(options).await;
    site.wait_for(4, head).await;
    assert_eq!(site.config(4).current().models(), site.config(1).current().models());
}

#[tokio::test(start_paused = true)]
async fn instance_lost_after_each_of_its_writes() {
    for writes in 1..30 {
        check_lost_after(writes).await;
    }
}

/// Writes an entry that arrives half a minute later.
fn write_stray_entry_late(site: &Site, generation: u64) {
    let client = site.platform.client();
    client.lose(1, Loss::Late(Duration::from_secs(30)));
    let entry = serde_json::json!({
        "generation": generation, "at": 0, "author": "ghost", "instance": "i9",
        "edits": [{ "before": 0, "put": model("stray", 1).to_json() }],
    });
    let ghost = store::open_with(store::Settings::fake("ghost/1", 1), Arc::new(client));
    tokio::spawn(async move {
        let ghost = ghost.within(Duration::from_millis(1));
        ghost.create(store::Priority::Config, &format!("config/change/{generation:016}"), &entry).await
    });
}

/// Returns when the stray entry comes into force.
async fn wait_for_stray_entry(config: config::Handle) {
    let stray = "stray".parse().expect("a name");
    let mut catalog = config.subscribe();
    let _ = catalog.wait_for(|catalog| catalog.model(&stray).is_some()).await;
}
