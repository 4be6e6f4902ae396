//! What a caller hears about its write when answers get lost.

use std::{sync::Arc, time::Duration};

use store::{
    Error, Handle, Item, Priority, Settings, Write,
    api::Fault,
    fake::{Client, Loss, Platform},
    open_with,
};
use tokio::time::sleep;

const KEY: &str = "lease/test";

/// Two instances on one platform.
struct Two {
    platform: Platform,
    client: Client,
    us: Handle,
    other: Handle,
}

fn two() -> Two {
    let platform = Platform::open();
    let client = platform.client();
    // The same seed on purpose: nonces must differ all the same.
    let us = open_with(Settings::fake("us/1", 7), Arc::new(client.clone()));
    let other = open_with(Settings::fake("other/1", 7), Arc::new(platform.client()));
    Two { platform, client, us, other }
}

async fn create(handle: &Handle, value: &str) -> Result<Write, Error> {
    handle.create(Priority::Claim, KEY, value).await
}

async fn get(handle: &Handle) -> Item {
    handle.get(Priority::Claim, KEY).await.expect("up").expect("there")
}

async fn update(handle: &Handle, item: &Item, value: &str) -> Result<Write, Error> {
    handle.update(Priority::Claim, item, value).await
}

/// Loses the next write's answer after its effect, and the first read-back as
/// well, so that there is time for others to come between.
fn lose_answer(client: &Client) {
    client.lose(1, Loss::After);
    client.lose_read(1, Fault::Lost { cause: "scripted".into() });
}

/// Waits until the platform has this version, so that what follows comes
/// after that write's effect and before its read-back.
async fn effect(platform: &Platform, version: u64) {
    while platform.version() < version {
        tokio::task::yield_now().await;
    }
}

fn done(write: Result<Write, Error>) -> Item {
    match write.expect("certain") {
        Write::Done(item) => item,
        Write::Lost { version } => panic!("lost to version {version}"),
    }
}

/// Makes one case: which loss the first try of a create and an update meets.
macro_rules! lost_answer {
    ($($name:ident: $loss:expr;)*) => { $(
        /// The caller sees one write, done once. The first try's answer is
        /// lost; the read-back tells whether it took effect; the write is
        /// tried again only when it did not.
        #[tokio::test(start_paused = true)]
        async fn $name() {
            check($loss).await;
        }
    )* };
}

lost_answer! {
    before_the_effect: Loss::Before;
    after_the_effect: Loss::After;
    effect_comes_late: Loss::Late(Duration::from_millis(15));
    effect_comes_very_late: Loss::Late(Duration::from_millis(800));
    refused: Loss::Refused;
}

async fn check(loss: Loss) {
    let two = two();
    two.client.lose(1, loss);
    let item = done(create(&two.us, "a").await);
    two.client.lose(1, loss);
    done(update(&two.us, &item, "b").await);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(get(&two.other).await.read::<String>().expect("text"), "b");
    assert_eq!(two.platform.version(), 2, "each write took effect once");
}

/// The caller loses an answer and the race: the other's value stands there
/// when it reads back. It must hear "lost"; "done" would make two holders.
#[tokio::test(start_paused = true)]
async fn lost_answer_and_lost_race() {
    let two = two();
    two.client.lose(1, Loss::Before);
    let (us, other) = tokio::join!(create(&two.us, "us"), create(&two.other, "other"));
    let item = done(other);
    assert!(matches!(us, Ok(Write::Lost { version: 1 })), "{us:?}");
    two.client.lose(1, Loss::Before);
    let (us, other) = tokio::join!(update(&two.us, &item, "us"), update(&two.other, &item, "other"));
    done(other);
    assert!(matches!(us, Ok(Write::Lost { version: 2 })), "{us:?}");
}

/// Our update takes effect, its answer is lost, and another updates the key
/// before we read back. The value that stands there is not ours, and yet the
/// caller must hear "done": told "lost" it would do the change again, and a
/// grant would be cut twice.
#[tokio::test(start_paused = true)]
async fn update_done_and_replaced_before_the_read_back() {
    let two = two();
    let item = done(create(&two.us, "first").await);
    lose_answer(&two.client);
    let replace = async {
        effect(&two.platform, 2).await;
        let item = get(&two.other).await;
        assert_eq!(item.read::<String>().expect("text"), "ours");
        done(update(&two.other, &item, "theirs").await)
    };
    let (ours, theirs) = tokio::join!(update(&two.us, &item, "ours"), replace);
    assert_eq!(done(ours).version, 0, "no version to build on: it is replaced");
    assert_eq!(theirs.version, 3);
}

/// As above, but more writes go by than a value remembers. Nothing can tell
/// any more what became of ours, and the caller hears just that.
#[tokio::test(start_paused = true)]
async fn update_forgotten_before_the_read_back() {
    let two = two();
    let item = done(create(&two.us, "first").await);
    lose_answer(&two.client);
    let replace = async {
        effect(&two.platform, 2).await;
        let mut item = get(&two.other).await;
        for number in 0..store::envelope::TRAIL {
            item = done(update(&two.other, &item, &format!("theirs {number}")).await);
        }
    };
    let (ours, ()) = tokio::join!(update(&two.us, &item, "ours"), replace);
    assert_eq!(ours.unwrap_err(), Error::Unknown { key: KEY.into() });
}

/// The platform goes down right after a write's answer was lost and stays
/// down. Reading back is impossible, so the caller hears "unknown", and never
/// "not done": the write is there when the platform comes back.
#[tokio::test(start_paused = true)]
async fn lost_answer_in_an_outage_is_unknown() {
    let two = two();
    lose_answer(&two.client);
    let outage = async {
        effect(&two.platform, 1).await;
        two.platform.set_down(true);
    };
    let (write, ()) = tokio::join!(create(&two.us, "a"), outage);
    assert_eq!(write.unwrap_err(), Error::Unknown { key: KEY.into() });
    two.platform.set_down(false);
    assert_eq!(get(&two.other).await.read::<String>().expect("text"), "a");
}

/// The platform refuses every try. Nothing was ever on its way, so the caller
/// hears "nothing was changed" and may promise "not run".
#[tokio::test(start_paused = true)]
async fn outage_alone_is_certainly_not_done() {
    let two = two();
    two.platform.set_down(true);
    assert!(matches!(create(&two.us, "a").await, Err(Error::Down { .. })));
    two.platform.set_down(false);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(two.platform.version(), 0);
}

/// A try is lost on the way, the read-back finds nothing, and then the
/// platform is down until the deadline. The first try may still arrive, and
/// here it does: "nothing was changed" would have been a lie.
#[tokio::test(start_paused = true)]
async fn absent_at_the_read_back_is_no_promise() {
    let two = two();
    two.client.lose(1, Loss::Late(Duration::from_secs(30)));
    let outage = async {
        sleep(Duration::from_millis(25)).await;
        two.platform.set_down(true);
    };
    // Further tries find no way before the outage either.
    (2..20).for_each(|n| two.client.lose(n, Loss::Refused));
    let (write, ()) = tokio::join!(create(&two.us, "a"), outage);
    assert_eq!(write.unwrap_err(), Error::Unknown { key: KEY.into() });
    two.platform.set_down(false);
    sleep(Duration::from_secs(30)).await;
    assert_eq!(get(&two.other).await.read::<String>().expect("text"), "a");
}

/// The platform answers slower than the first wait for an answer. The wait
/// grows until the answer comes: else the caller would hear "unknown" for
/// every write for as long as the platform is slow.
#[tokio::test(start_paused = true)]
async fn slow_platform_is_waited_for() {
    let two = two();
    two.client.set_slow(Duration::from_secs(3));
    let item = done(create(&two.us, "a").await);
    done(update(&two.us, &item, "b").await);
    assert_eq!(two.platform.version(), 2);
}

/// The platform answers slower than the caller can wait, but it does the
/// writes. The caller must not hear "nothing was changed".
#[tokio::test(start_paused = true)]
async fn slow_platform_is_never_not_done() {
    let two = two();
    two.client.set_slow(Duration::from_secs(5));
    assert_eq!(create(&two.us, "a").await.unwrap_err(), Error::Unknown { key: KEY.into() });
    two.client.set_slow(Duration::ZERO);
    assert_eq!(get(&two.us).await.read::<String>().expect("text"), "a");
}

#[tokio::test(start_paused = true)]
async fn deletion_with_a_lost_answer_is_done() {
    let two = two();
    let item = done(create(&two.us, "a").await);
    two.client.lose(1, Loss::After);
    done(two.us.delete(Priority::Claim, &item).await);
    assert_eq!(two.platform.objects(), []);
}

/// A key is deleted, the answer is lost, and another creates it anew before
/// the read-back. The new object is not what was to be deleted: it stays.
#[tokio::test(start_paused = true)]
async fn deletion_spares_what_was_created_since() {
    let two = two();
    let item = done(create(&two.us, "a").await);
    lose_answer(&two.client);
    let anew = async {
        effect(&two.platform, 2).await;
        create(&two.other, "b").await
    };
    let (write, other) = tokio::join!(two.us.delete(Priority::Claim, &item), anew);
    done(write);
    done(other);
    assert_eq!(get(&two.us).await.read::<String>().expect("text"), "b");
}

#[tokio::test(start_paused = true)]
async fn value_above_a_megabyte_is_not_sent() {
    let two = two();
    let write = create(&two.us, &"x".repeat(store::MAX_VALUE)).await;
    assert!(matches!(write, Err(Error::TooLarge { .. })), "{write:?}");
    assert_eq!(two.platform.records(), []);
}

/// An answer is lost shortly before the deadline. There is time for one more
/// read, and that read tells: "unknown" would leave the caller to find out.
#[tokio::test(start_paused = true)]
async fn answer_lost_near_the_deadline_is_read_back() {
    let two = two();
    let hurried = two.us.within(Duration::from_millis(15));
    for number in 0..50 {
        two.client.lose(1, Loss::After);
        let write = hurried.create(Priority::Claim, &format!("{KEY}/{number}"), "a").await;
        assert!(write.expect("certain").is_done());
    }
}
