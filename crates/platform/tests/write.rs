//! What a caller hears about its write when answers get lost.

use std::{sync::Arc, time::Duration};

use platform::{
    Error, Handle, Item, Priority, Settings, Write,
    fake::{Client, Loss, Platform},
    open_with,
};

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
    refused: Loss::Refused;
}

async fn check(loss: Loss) {
    let two = two();
    two.client.lose(1, loss);
    let item = done(create(&two.us, "a").await);
    two.client.lose(1, loss);
    done(update(&two.us, &item, "b").await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(get(&two.other).await.read::<String>().expect("text"), "b");
    assert_eq!(two.platform.version(), 2, "each write took effect once");
}
