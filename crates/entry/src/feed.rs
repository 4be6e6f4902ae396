//! Background tasks that forward updates to the desk: catalogs, members, engine
//! reports, leaving endpoints and ratings.

use std::{sync::Arc, time::Duration};

use route::endpoint::Peer;
use tokio::{
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};
use world::{
    endpoint::Id,
    instance::{self, Incarnation, State},
};

use crate::shared::Shared;

/// Interval at which engines are asked for their load and cache events.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Longest time that the rating service may wait for the next rating before it
/// answers, in milliseconds.
const RATINGS_WAIT_MS: u64 = 5_000;
/// Pause after a failed call to the rating service.
const RATINGS_PAUSE: Duration = Duration::from_secs(1);

/// Starts all background tasks.
pub(crate) fn spawn(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let mut feeds = vec![
        tokio::spawn(world(shared.clone())),
        tokio::spawn(reports(shared.clone())),
        tokio::spawn(leaving(shared.clone())),
    ];
    if shared.settings.rated {
        feeds.push(tokio::spawn(ratings(shared.clone())));
    }
    feeds
}

/// Forwards each new catalog and each change of the members to the desk.
async fn world(shared: Arc<Shared>) {
    let mut catalogs = shared.links.config.subscribe();
    let mut members = shared.links.peer.members();
    let mut counted = Vec::new();
    loop {
        let catalog = catalogs.borrow_and_update().clone();
        let instances: Vec<_> = members
            .borrow_and_update()
            .live()
            .map(|instance| Peer { id: instance.id.clone(), domain: instance.domain.clone() })
            .collect();
        shared.desk.world(catalog, instances);
        note_losses(&shared, &mut counted);
        tokio::select! {
            changed = catalogs.changed() => if changed.is_err() { return },
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

/// Records a loss if an instance that was live is now suspected, restarted or gone:
/// what it held in memory about keys is lost. An instance that leaves in an orderly
/// way loses nothing.
fn note_losses(shared: &Shared, counted: &mut Vec<(instance::Id, Incarnation)>) {
    let members = shared.links.peer.members().borrow().clone();
    let live = members.others.values().filter(|i| i.state == State::Live).map(|i| (i.id.clone(), i.incarnation));
    let live: Vec<_> = live.collect();
    let lost = counted.iter().any(|known| {
        let now = members.others.get(&known.0);
        !live.contains(known) && now.is_none_or(|i| i.state != State::Leaving)
    });
    if lost {
        shared.note_loss();
    }
    *counted = live;
}

/// Polls each engine for its load and cache events and forwards them to the desk.
async fn reports(shared: Arc<Shared>) {
    let mut next: std::collections::HashMap<Id, u64> = std::collections::HashMap::new();
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Ok(endpoints) = shared.desk.endpoints().await else { return };
        let catalog = shared.catalog();
        let engines = endpoints.into_iter().filter(|endpoint| {
            let pool = catalog.pools().get(&endpoint.pool);
            pool.is_some_and(|pool| matches!(pool.serves, world::pool::Serves::Versions(_)))
        });
        let asked = engines.map(|engine| {
            let from = next.get(&engine.id).copied().unwrap_or_default();
            let links = &shared.links;
            async move {
                let (load, cache) = tokio::join!(
                    links.endpoint.load(engine.address),
                    links.endpoint.cache_events(engine.address, from)
                );
                (engine.id, load, cache)
            }
        });
        for (id, load, cache) in futures::future::join_all(asked).await {
            if let Ok(load) = load {
                shared.desk.report(id.clone(), load);
            }
            if let Ok(page) = cache {
                next.insert(id.clone(), page.next);
                shared.desk.cache(id, page.events);
            }
        }
    }
}

/// Forwards each change of the list of leaving endpoints to the desk.
async fn leaving(shared: Arc<Shared>) {
    let mut leaving = shared.links.leaving.clone();
    loop {
        let endpoints = leaving.borrow_and_update().clone();
        shared.desk.leaving(endpoints);
        if leaving.changed().await.is_err() {
            return;
        }
    }
}

/// Forwards ratings that arrive after their answers were delivered to the desk.
async fn ratings(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        match shared.links.endpoint.ratings(after, RATINGS_WAIT_MS).await {
            Ok(page) => {
                after = page.next;
                shared.desk.ratings(page.ratings);
            }
            Err(error) => {
                tracing::debug!(%error, "could not read ratings");
                sleep(RATINGS_PAUSE).await;
            }
        }
    }
}
