//! This instance's entry in the platform, and the others' entries.
//!
//! Entries `instances/<name>` let a starting instance find its peers and give
//! each run an incarnation higher than the last. They say nothing about who
//! is alive: that is membership's, told by heartbeats.

#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::Rng;
use store::{Handle, Priority, Write};
use tokio::time::sleep;
use world::instance::{Incarnation, Instance};

/// Start of the entries' keys.
const PREFIX: &str = "instances/";
/// Longest wait for the platform before an instance starts without it.
const START_WAIT: Duration = Duration::from_secs(3);
/// Time between two readings of the entries for each instance that is known.
///
/// All entries are read at once, so a fixed time would cost bytes and calls in
/// proportion to the instances. Links bring news of strangers much sooner.
const READ_EVERY_PER_INSTANCE: Duration = Duration::from_secs(4);
/// Time between two tries while there is no entry yet.
const RETRY_EVERY: Duration = Duration::from_secs(2);

fn key(instance: &Instance) -> String {
    format!("{PREFIX}{}", instance.id)
}

/// Writes this run's entry and raises its incarnation above the last run's.
///
/// False when the platform did not take it: the instance then starts with
/// its clock's incarnation, and [`keep`] writes the entry later. An instance
/// must be able to start while the platform is down.
pub async fn enter(platform: &Handle, me: &mut Instance) -> bool {
    match write(&platform.within(START_WAIT), me).await {
        Ok(done) => done,
        Err(error) => {
            tracing::warn!(%error, "no entry in the platform yet");
            false
        }
    }
}

async fn write(platform: &Handle, me: &mut Instance) -> Result<bool, store::Error> {
    let key = key(me);
    let Some(item) = platform.get(Priority::Config, &key).await? else {
        return Ok(platform.create(Priority::Config, &key, me).await?.is_done());
    };
    let last: Instance = item.read()?;
    // A clock set back must not make this run look older than the last one:
    // its messages would be refused everywhere.
    me.incarnation = me.incarnation.max(Incarnation(last.incarnation.0 + 1));
    Ok(matches!(platform.update(Priority::Config, &item, me).await?, Write::Done(_)))
}

/// Keeps the entry written and tells `peers` of the entries of others.
pub async fn keep(platform: Handle, me: Instance, mut entered: bool, peers: peer::Handle) {
    loop {
        if !entered {
            entered = write_same(&platform, &me).await;
        }
        if let Ok(known) = read(&platform).await {
            drop(peers.set_named_instances(known).await);
        }
        let count = peers.members().borrow().all().count();
        let span =
            if entered { READ_EVERY_PER_INSTANCE * u32::try_from(count).unwrap_or(u32::MAX) } else { RETRY_EVERY };
        sleep(jittered(span)).await;
    }
}

/// Writes the entry of a run whose incarnation peers know already.
async fn write_same(platform: &Handle, me: &Instance) -> bool {
    let key = key(me);
    let outcome = match platform.get(Priority::Config, &key).await {
        // A run that was paused since its start must not stand in the place of
        // the one that followed it: strangers would dial a gone address.
        Ok(Some(item)) if item.read::<Instance>().is_ok_and(|entry| entry.incarnation > me.incarnation) => return true,
        Ok(Some(item)) => platform.update(Priority::Config, &item, me).await,
        Ok(None) => platform.create(Priority::Config, &key, me).await,
        Err(error) => Err(error),
    };
    outcome.is_ok_and(|write| write.is_done())
}

async fn read(platform: &Handle) -> Result<Vec<Instance>, store::Error> {
    let listing = platform.list(Priority::Statistics, PREFIX).await?;
    // An entry of another build that does not read is left out, not fatal.
    Ok(listing.items.iter().filter_map(|item| item.read().ok()).collect())
}

/// Removes the entry, so that starting instances do not dial a gone address.
pub async fn erase(platform: &Handle, me: &Instance) {
    let platform = platform.within(START_WAIT);
    let Ok(Some(item)) = platform.get(Priority::Statistics, &key(me)).await else { return };
    let is_ours = item.read::<Instance>().is_ok_and(|entry| entry.incarnation == me.incarnation);
    if is_ours {
        drop(platform.delete(Priority::Statistics, &item).await);
    }
}

/// Spreads the reads of instances that started together.
fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.8..1.2))
}
