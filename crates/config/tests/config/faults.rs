//! Changes while answers get lost and the platform comes and goes.

use std::{sync::Arc, time::Duration};

use config::{Edit, Error, Expected, Keep};
use store::{api::Fault, fake::Loss};
use tokio::time::sleep;
use world::object::{Key, Kind};

use crate::site::{Options, Site, model, put};

/// A snapshot each four changes, and few changes kept before it.
const SHORT: Keep = Keep { snapshot_every: 4, changes: 8 };

fn key(name: &str) -> Key {
    Key { kind: Kind::Model, name: name.into() }
}

/// Entries of the log that stand in the platform.
pub fn entries(site: &Site, prefix: &str) -> Vec<u64> {
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

/// The answer to a change's write is lost, before or after its effect. The
/// operator hears of one generation, that generation is in force everywhere,
/// and no second entry holds the same change.
async fn check_change(loss: Loss) {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.instances[0].client.lose(1, loss);
    assert_eq!(put(site.config(0), model("m", 2)).await, Ok(2));
    site.wait(2).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(entries(&site, "config/change/"), [1, 2]);
    assert_eq!(site.generations(), [2; 4]);
}

losses! { check_change:
    change_lost_before_the_effect: Loss::Before;
    change_lost_after_the_effect: Loss::After;
    change_takes_effect_late: Loss::Late(Duration::from_millis(10));
    change_takes_effect_very_late: Loss::Late(Duration::from_secs(2));
    change_refused: Loss::Refused;
}

/// The answer to a snapshot's write is lost. The change that it came with is
/// accepted all the same, a snapshot stands there in the end, and an instance
/// that starts from it sees what everyone sees.
async fn check_snapshot(loss: Loss) {
    let options = Options { keep: SHORT, ..Options::default() };
    let mut site = Site::open(options).await;
    for versions in 1..4 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
    }
    site.instances[0].client.lose(2, loss);
    assert_eq!(put(site.config(0), model("m", 4)).await, Ok(4));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(entries(&site, "config/snapshot/"), [4]);
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

/// The platform is down. The operator hears that nothing was changed, and
/// nothing is.
#[tokio::test(start_paused = true)]
async fn change_in_an_outage_is_certainly_not_accepted() {
    let site = Site::open(Options::default()).await;
    site.platform.set_down(true);
    assert!(matches!(put(site.config(0), model("m", 1)).await, Err(Error::Down(_))));
    site.platform.set_down(false);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(site.generations(), [0; 4]);
}

/// The change takes effect, its answer is lost, and the platform goes down
/// before it can be read back. The operator hears "may have been accepted"
/// with the generation to look at; when the platform is back it is in force.
#[tokio::test(start_paused = true)]
async fn answer_lost_into_an_outage_is_unknown_and_then_in_force() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    site.instances[0].client.lose(1, Loss::After);
    site.instances[0].client.lose_read(1, Fault::Lost { cause: "scripted".into() });
    let outage = async {
        while entries(&site, "config/change/").len() < 2 {
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
/// object. Both hear the truth, and everyone ends up with the same state.
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
    assert_eq!(site.generations(), [2; 4], "the cut one reads the platform itself");
}

/// The platform is so slow that no answer comes in time, and then recovers.
/// Nothing is accepted twice and everyone catches up.
#[tokio::test(start_paused = true)]
async fn slow_platform_accepts_once() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.platform.set_slow(Duration::from_secs(6));
    let change = put(site.config(0), model("m", 2)).await;
    assert_eq!(change.unwrap_err(), Error::Unknown { generation: 2 });
    site.platform.set_slow(Duration::ZERO);
    site.wait(2).await;
    assert_eq!(entries(&site, "config/change/"), [1, 2]);
}

/// The platform takes three seconds for an answer, more than the first wait.
/// The operator waits and hears of the generation.
#[tokio::test(start_paused = true)]
async fn slow_platform_accepts_slowly() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.platform.set_slow(Duration::from_secs(3));
    assert_eq!(put(site.config(0), model("m", 2)).await, Ok(2));
    site.wait(2).await;
    assert_eq!(entries(&site, "config/change/"), [1, 2]);
}

/// An instance is paused, long enough for the log to be cut off above its
/// generation. An operator's change at it creates the entry of a generation
/// that everyone else passed long ago; accepted, it would be in force nowhere.
/// The instance sees the newer snapshot, takes the entry back and makes the
/// change anew on top of the newest state.
#[tokio::test(start_paused = true)]
async fn change_by_an_instance_behind_the_cut_off_is_made_anew() {
    let site = Site::open(Options { keep: SHORT, ..Options::default() }).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    site.instances[3].client.set_down(true);
    site.cut(3, true);
    for versions in 2..33 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(10)).await;
    assert!(!entries(&site, "config/change/").contains(&2), "cut off");
    assert_eq!(site.config(3).current().generation(), 1);
    site.instances[3].client.set_down(false);
    assert_eq!(put(site.config(3), model("late", 1)).await, Ok(33));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.generations()[..3], [33; 3]);
    assert!(!entries(&site, "config/change/").contains(&2), "taken back");
}

/// The write of a paused instance arrives after the log was cut off above it,
/// and the instance is gone by then. The stray entry stands there for good. An
/// instance that comes back at just the generation before it must not take it
/// for the next one: its state would differ from everyone's, and stay so.
async fn check_stray(paused_at: u64) {
    let options = Options { keep: SHORT, ..Options::default() };
    let mut site = Site::open(options).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    let pause = |site: &Site| {
        site.instances[3].client.set_down(true);
        site.cut(3, true);
        write_late(site, paused_at + 1);
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
    assert!(entries(&site, "config/change/").contains(&(paused_at + 1)), "the stray has arrived");
    assert_eq!(site.config(3).current().generation(), paused_at);
    site.platform.compact();
    let watched: Vec<_> = [0, 3].map(|index| tokio::spawn(never_stray(site.config(index).clone()))).into();
    site.instances[3].client.set_down(false);
    site.start(options).await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(site.generations(), [32; 5]);
    assert!(watched.iter().all(|watch| !watch.is_finished()), "the stray was in force");
}

#[tokio::test(start_paused = true)]
async fn stray_entry_far_below_the_cut_off() {
    check_stray(1).await;
}

/// Changes up to 24 are cut off at 32: the stray stands where the 24th was and
/// connects to the 25th.
#[tokio::test(start_paused = true)]
async fn stray_entry_right_below_the_cut_off() {
    check_stray(23).await;
}

/// An instance is lost right after one of the writes that its changes make:
/// the entry, a snapshot, a deletion of the cut-off. Whatever it had begun, the
/// others go on: they agree, the log has no hole above the cut-off, and a
/// later change's maker does what the lost one left undone.
async fn check_lost_after(writes: u64) {
    let options = Options { keep: SHORT, ..Options::default() };
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
    let kept = entries(&site, "config/change/");
    assert!(kept.windows(2).all(|pair| pair[0] + 1 == pair[1]), "{kept:?}");
    assert!(kept.len() <= 20, "cut off: {kept:?}");
    let snapshots = entries(&site, "config/snapshot/");
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

/// Sends an entry that arrives half a minute later.
fn write_late(site: &Site, generation: u64) {
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

/// Ends when the stray entry is in force.
async fn never_stray(config: config::Handle) {
    let stray = "stray".parse().expect("a name");
    let mut catalog = config.subscribe();
    let _ = catalog.wait_for(|catalog| catalog.model(&stray).is_some()).await;
}
