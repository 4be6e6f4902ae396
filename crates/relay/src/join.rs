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

/// Registers this instance and finds the others.
pub async fn join(desk: Arc<Desk>, source: Arc<dyn Source>) {
    let me = Instance { name: desk.settings.instance.clone(), news: desk.settings.listeners.news };
    let progress = Progress::default();
    let mut registered = false;
    // All instances of a fleet start at once: an old first listing would show
    // none of the others, and each would watch the store by itself until the
    // next one.
    let mut read = Read::Latest;
    loop {
        if !registered {
            match timeout(SILENCE, source.register(&me)).await {
                Ok(Ok(())) => registered = true,
                Ok(Err(fault)) => tracing::info!(%fault, "not registered yet"),
                Err(_) => tracing::info!("not registered yet: no answer in time"),
            }
        }
        let call = source.list(Kind::Instances, read, &progress);
        let listed = match silence::bounded(&progress, Duration::ZERO, call).await {
            Ok(listing) => {
                for change in listing.records {
                    if let Some(Record::Instance(instance)) = change.record {
                        desk.meet(&instance.name, instance.news);
                    }
                }
                read = Read::AnyAge;
                true
            }
            Err(fault) => {
                tracing::info!(%fault, "instances not listed");
                false
            }
        };
        // The more instances there are, the more often one of them looks.
        let many = u32::try_from(desk.members()).unwrap_or(u32::MAX);
        let pause = if registered && listed { INSTANCES_PAUSE * many.max(1) } else { Duration::from_millis(700) };
        sleep(pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    }
}
