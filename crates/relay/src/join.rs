//! This instance's registration, and the first sight of the others.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    desk::Desk,
    silence::{self, SILENCE},
    source::{Instance, Kind, Progress, Read, Record, Source},
};

/// Pause between listings of this system's instances, by any of them: news spreads membership,
/// the listing only joins parts that have lost each other.
const INSTANCES_PAUSE: Duration = Duration::from_secs(5);

/// Pause after a call that failed.
const AGAIN: Duration = Duration::from_millis(700);

/// Pause between looks whether a seed has answered.
const HEARD_LOOK: Duration = Duration::from_millis(20);

/// Registers this instance and finds the others.
pub async fn join(desk: Arc<Desk>, source: Arc<dyn Source>) {
    let me = Instance { name: desk.settings.instance.clone(), news: desk.settings.listeners.news };
    let progress = Progress::default();
    let mut registered = register(&*source, &me).await;
    let mut found = found_by_seeds(&desk).await;
    loop {
        if !found {
            // All instances of a fleet start at once: an old first listing would
            // show none of the others, and each would watch the store by itself
            // until the next one.
            found = list(&desk, &*source, Read::Latest, &progress).await;
        }
        if registered && found {
            break;
        }
        sleep(spread(AGAIN)).await;
        if !registered {
            registered = register(&*source, &me).await;
        }
    }
    loop {
        sleep(spread(INSTANCES_PAUSE)).await;
        let members = u32::try_from(desk.members()).unwrap_or(u32::MAX);
        // One of them looks: which, is drawn by each for itself.
        if rand::random_ratio(1, members) {
            list(&desk, &*source, Read::AnyAge, &progress).await;
        }
    }
}

/// A pause that differs between instances.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}

async fn register(source: &dyn Source, me: &Instance) -> bool {
    match timeout(SILENCE, source.register(me)).await {
        Ok(Ok(())) => return true,
        Ok(Err(fault)) => tracing::info!(%fault, "not registered yet"),
        Err(_) => tracing::info!("not registered yet: no answer in time"),
    }
    false
}

/// Whether a seed has answered; the others are heard of from it. A listing is a
/// call for each fifty instances, made by each of them.
async fn found_by_seeds(desk: &Desk) -> bool {
    while desk.awaits_seeds() && desk.members() == 1 {
        sleep(HEARD_LOOK).await;
    }
    desk.members() > 1 && !desk.settings.seeds.is_empty()
}

async fn list(desk: &Desk, source: &dyn Source, read: Read, progress: &Progress) -> bool {
    match silence::bounded(progress, Duration::ZERO, source.list(Kind::Instances, read, progress)).await {
        Ok(listing) => {
            for change in listing.records {
                if let Some(Record::Instance(instance)) = change.record {
                    desk.meet(&instance.name, instance.news);
                }
            }
            true
        }
        Err(fault) => {
            tracing::info!(%fault, "instances not listed");
            false
        }
    }
}
