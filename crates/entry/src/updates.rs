//! Background tasks that forward updates to the routing state: catalogs, members,
//! engine reports, leaving endpoints and ratings.

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
const RATINGS_MAX_WAIT_MS: u64 = 5_000;
/// Pause after a failed call to the rating service.
const RATINGS_PAUSE: Duration = Duration::from_secs(1);

/// Starts all background tasks.
pub(crate) fn spawn(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let mut tasks = vec![
        tokio::spawn(forward_catalog_and_members(shared.clone())),
        tokio::spawn(forward_engine_reports(shared.clone())),
        tokio::spawn(forward_leaving_endpoints(shared.clone())),
    ];
    if shared.settings.has_rating_service {
        tasks.push(tokio::spawn(forward_ratings(shared.clone())));
    }
    tasks
}

/// Forwards each new catalog and each change of the members to the routing state.
async fn forward_catalog_and_members(shared: Arc<Shared>) {
    let mut catalogs = shared.links.config.subscribe();
    let mut members = shared.links.peer.members();
    let mut previously_live = Vec::new();
    loop {
        let catalog = catalogs.borrow_and_update().clone();
        let instances: Vec<_> = members
            .borrow_and_update()
            .live()
            .map(|instance| Peer { id: instance.id.clone(), domain: instance.domain.clone() })
            .collect();
        shared.dispatcher.set_catalog(catalog, instances);
        record_losses(&shared, &mut previously_live);
        tokio::select! {
            changed = catalogs.changed() => if changed.is_err() { return },
            changed = members.changed() => if changed.is_err() { return },
        }
    }
}

/// Records a loss if an instance that was live is now suspected, restarted or gone:
/// what it held in memory about keys is lost. An instance that leaves in an orderly
/// way loses nothing.
fn record_losses(shared: &Shared, previously_live: &mut Vec<(instance::Id, Incarnation)>) {
    let members = shared.links.peer.members().borrow().clone();
    let live = members.others.values().filter(|i| i.state == State::Live).map(|i| (i.id.clone(), i.incarnation));
    let live: Vec<_> = live.collect();
    let lost = previously_live.iter().any(|known| {
        let now = members.others.get(&known.0);
        !live.contains(known) && now.is_none_or(|i| i.state != State::Leaving)
    });
    if lost {
        shared.record_instance_loss();
    }
    *previously_live = live;
}

/// Polls each engine for its load and cache events and forwards them to the routing
/// state.
async fn forward_engine_reports(shared: Arc<Shared>) {
    let mut next: std::collections::HashMap<Id, u64> = std::collections::HashMap::new();
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Ok(endpoints) = shared.dispatcher.endpoints().await else { return };
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
                shared.dispatcher.set_load(id.clone(), load);
            }
            if let Ok(page) = cache {
                next.insert(id.clone(), page.next);
                shared.dispatcher.apply_cache_events(id, page.events);
            }
        }
    }
}

/// Forwards each change of the list of leaving endpoints to the routing state.
async fn forward_leaving_endpoints(shared: Arc<Shared>) {
    let mut leaving = shared.links.leaving.clone();
    loop {
        let endpoints = leaving.borrow_and_update().clone();
        shared.dispatcher.set_leaving(endpoints);
        if leaving.changed().await.is_err() {
            return;
        }
    }
}

/// Forwards to the routing state the ratings that arrive after their answers were
/// delivered.
async fn forward_ratings(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        match shared.links.endpoint.ratings(after, RATINGS_MAX_WAIT_MS).await {
            Ok(page) => {
                after = page.next;
                shared.dispatcher.record_late_ratings(page.ratings);
            }
            Err(error) => {
                tracing::debug!(%error, "could not read ratings");
                sleep(RATINGS_PAUSE).await;
            }
        }
    }
}
