//! Makes stops permanent: writes the withdrawal of a stopped version to the
//! configuration.
//!
//! The instance whose evidence stopped the version writes at once. The others
//! wait a moment and write only if the configuration still does not contain
//! the withdrawal, because then the first instance is lost or cut off. Each
//! retries, through outages, until the catalog shows the version as withdrawn.

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

/// Bounds of the wait before the first write if another instance's evidence
/// stopped the version, in milliseconds.
const FIRST_WAIT_MS: std::ops::RangeInclusive<u64> = 1_000..=4_000;

/// Bounds of the wait between two attempts, in milliseconds.
const RETRY_MS: std::ops::RangeInclusive<u64> = 500..=2_000;

/// Withdraws every stopped version, until the guard has ended.
///
/// `own_stop` is notified when this instance's own evidence stopped a version.
pub(crate) async fn run(
    config: config::Handle,
    author: String,
    mut stops: watch::Receiver<Arc<Stops>>,
    own_stop: Arc<Notify>,
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
            let _ = timeout(wait, own_stop.notified()).await;
            continue;
        }
        for stop in pending {
            withdraw(&config, &author, &stop).await;
        }
        // Once a withdrawal is in the catalog, whoever wrote it, the guard removes the stop.
        // Until then, try again.
        let pause = Duration::from_millis(random.random_range(RETRY_MS));
        if let Ok(Err(_)) = timeout(pause, stops.changed()).await {
            return;
        }
    }
}

/// Writes the withdrawal of one stopped version, unless the catalog shows it already.
async fn withdraw(config: &config::Handle, author: &str, stop: &Stop) {
    let key = Key { kind: Kind::Rollout, name: stop.rollout.to_string() };
    // Reads the revision before the catalog. In the opposite order, a change
    // in between would be overwritten unnoticed.
    let Some(revision) = config.revision(&key) else { return };
    let catalog = config.current();
    let Some(rollout) = catalog.rollouts().get(&stop.rollout) else { return };
    if rollout.state == State::Withdrawn || rollout.version != stop.version {
        return;
    }
    let next = Rollout { state: State::Withdrawn, reason: Some(stop.reason.clone()), ..rollout.clone() };
    let edit = Edit::Put(Object::Rollout(stop.rollout.clone(), next), Expected::At(revision.generation));
    if let Err(error) = config.apply(author, vec![edit]).await {
        tracing::warn!(rollout = %stop.rollout, %error, "withdrawal of a stopped version not written, will retry");
    }
}
