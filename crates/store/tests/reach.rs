//! Whether the platform answers at all.

use std::sync::Arc;

use store::{
    Priority, Settings,
    fake::{Loss, Platform},
};

async fn read(platform: &store::Handle) {
    // Whether it succeeds is the platform's matter; the call counts.
    let _ = platform.get(Priority::Config, "k").await;
}

/// The platform goes silent and comes back. One lost answer is no outage;
/// a run of them is, until the first answer.
#[tokio::test(start_paused = true)]
async fn outage_begins_after_several_calls_and_ends_with_the_first_answer() {
    let fake = Platform::open();
    let handle = store::open_with(Settings::fake("i1/1", 1), Arc::new(fake.client()));
    let reachable = handle.reachable();

    fake.lose(1, Loss::Before);
    let _ = handle.create(Priority::Config, "k", &1).await;
    assert!(!reachable.has_changed().unwrap(), "one lost answer is no outage");

    fake.set_down(true);
    read(&handle).await;
    assert!(!*reachable.borrow(), "retries of one read are a run of failures");

    fake.set_down(false);
    read(&handle).await;
    assert!(*reachable.borrow());
}
