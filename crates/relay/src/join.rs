//! Registers this instance in the store and discovers the other instances.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    dispatcher::Dispatcher,
    silence::{self, SILENCE_TIMEOUT},
    source::{Instance, Kind, Progress, Read, Record, Source},
};

/// Average pause between listings of the instances, counted over the whole fleet. Membership
/// spreads by news; listings only reconnect parts of the fleet that have lost each other.
const LIST_PAUSE: Duration = Duration::from_secs(5);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Average time between registrations of the fleet after the store has lost them.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between checks whether a seed has answered.
const SEED_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Registers this instance, discovers the others and lists them now and then.
pub async fn join(dispatcher: Arc<Dispatcher>, source: Arc<dyn Source>) {
    let me = Instance { name: dispatcher.settings.instance.clone(), news: dispatcher.settings.listeners.news };
    let progress = Progress::default();
    let mut is_registered = register(&*source, &me).await;
    let mut has_discovered = wait_for_seeds(&dispatcher).await;
    loop {
        if !has_discovered {
            // When a whole fleet starts at once, an old listing shows none of the others,
            // and each instance would watch the store by itself until the next listing.
            has_discovered = list(&dispatcher, &*source, Read::Latest, &progress).await;
        }
        if is_registered && has_discovered {
            break;
        }
        sleep(with_jitter(RETRY_PAUSE)).await;
        if !is_registered {
            is_registered = register(&*source, &me).await;
        }
    }
    let mut era = dispatcher.era();
    loop {
        if timeout(with_jitter(LIST_PAUSE), dispatcher.wait_for_restore(era)).await.is_ok() {
            era = dispatcher.era();
            register_again(&dispatcher, &*source, &me).await;
            continue;
        }
        let members = u32::try_from(dispatcher.live_instance_count()).unwrap_or(u32::MAX);
        // On average one instance of the fleet lists; each decides at random.
        if rand::random_ratio(1, members) {
            list(&dispatcher, &*source, Read::AnyAge, &progress).await;
        }
    }
}

/// Registers this instance again after the store has come back from a copy that may lack it. The
/// instances take turns, since the store limits its calls.
async fn register_again(dispatcher: &Dispatcher, source: &dyn Source, me: &Instance) {
    let members = u32::try_from(dispatcher.live_instance_count()).unwrap_or(u32::MAX);
    sleep((RETRY_PAUSE + REGISTRATION_INTERVAL * members).mul_f64(rand::random())).await;
    while !register(source, me).await {
        sleep(with_jitter(RETRY_PAUSE)).await;
    }
}

/// Returns the pause with random jitter.
fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}

/// Registers this instance; returns whether it succeeded.
async fn register(source: &dyn Source, me: &Instance) -> bool {
    match timeout(SILENCE_TIMEOUT, source.register(me)).await {
        Ok(Ok(())) => return true,
        Ok(Err(fault)) => tracing::info!(%fault, "not registered yet"),
        Err(_) => tracing::info!("not registered yet: no answer in time"),
    }
    false
}

/// Waits for an answer of a seed and returns whether one came; the seed then names the other
/// instances. That saves a listing by each instance, which takes one call per fifty
/// instances.
async fn wait_for_seeds(dispatcher: &Dispatcher) -> bool {
    while dispatcher.awaits_seeds() && dispatcher.live_instance_count() == 1 {
        sleep(SEED_CHECK_PAUSE).await;
    }
    dispatcher.live_instance_count() > 1 && !dispatcher.settings.seeds.is_empty()
}

/// Lists the instances and adds them to the known ones; returns whether it succeeded.
async fn list(dispatcher: &Dispatcher, source: &dyn Source, read: Read, progress: &Progress) -> bool {
    match silence::bounded(progress, Duration::ZERO, source.list(Kind::Instances, read, progress)).await {
        Ok(listing) => {
            for change in listing.records {
                if let Some(Record::Instance(instance)) = change.record {
                    dispatcher.discover_peer(&instance.name, instance.news);
                }
            }
            true
        }
        Err(fault) => {
            tracing::info!(%fault, "listing instances failed");
            false
        }
    }
}
