//! Makes stops last: the conditional write that withdraws a stopped version.
//!
//! The instance whose evidence stopped a version writes at once. The others
//! wait a moment and write only if the configuration still does not say so:
//! then the first is lost or cut off. Each tries again, through outages, until
//! the catalog has taken the stop over.

use std::{sync::Arc, time::Duration};

use config::{Edit, Expected};
use rand::{Rng, SeedableRng, rngs::StdRng};
use route::rollout::{Stop, Stops};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};
use world::{
    object::{Key, Kind, Object},
    rollout::{Rollout, State},
};

/// Bounds of the wait before the first write where another's evidence stopped
/// the version, in milliseconds.
const FIRST_WAIT_MS: std::ops::RangeInclusive<u64> = 1_000..=4_000;

/// Bounds of the wait between two tries, in milliseconds.
const RETRY_MS: std::ops::RangeInclusive<u64> = 500..=2_000;

/// Withdraws every version that is stopped, until nobody stops any more.
///
/// `own` is notified when this instance's evidence was the one that stopped.
pub(crate) async fn run(
    config: config::Handle,
    author: String,
    mut stops: watch::Receiver<Arc<Stops>>,
    own: Arc<Notify>,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let pending: Vec<_> = stops.borrow_and_update().iter().cloned().collect();
        if pending.is_empty() {
            if stops.changed().await.is_err() {
                return;
            }
            let wait = Duration::from_millis(random.random_range(FIRST_WAIT_MS));
            let _ = timeout(wait, own.notified()).await;
            continue;
        }
        for stop in pending {
            withdraw(&config, &author, &stop).await;
        }
        // Whether it was this write or another's, the catalog empties the
        // list; until then there is more to do.
        let pause = Duration::from_millis(random.random_range(RETRY_MS));
        if let Ok(Err(_)) = timeout(pause, stops.changed()).await {
            return;
        }
    }
}

async fn withdraw(config: &config::Handle, author: &str, stop: &Stop) {
    let key = Key { kind: Kind::Rollout, name: stop.rollout.to_string() };
    // Revision before catalog: read the other way round, a change in between
    // would be overwritten unseen.
    let Some(revision) = config.revision(&key) else { return };
    let catalog = config.current();
    let Some(rollout) = catalog.rollouts().get(&stop.rollout) else { return };
    if rollout.state == State::Withdrawn || rollout.version != stop.version {
        return;
    }
    let next = Rollout { state: State::Withdrawn, reason: Some(stop.reason.clone()), ..rollout.clone() };
    let edit = Edit::Put(Object::Rollout(stop.rollout.clone(), next), Expected::At(revision.generation));
    if let Err(error) = config.apply(author, vec![edit]).await {
        tracing::warn!(rollout = %stop.rollout, %error, "withdrawal not written yet, will be tried again");
    }
}
