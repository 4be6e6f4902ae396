//! What the desk is told without a request: catalogs, members, reports, ratings.

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

/// How often engines are asked for their load and cache events.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// How long the rating service may wait for the next rating.
const RATINGS_WAIT_MS: u64 = 5_000;
/// Pause after the rating service failed.
const RATINGS_PAUSE: Duration = Duration::from_secs(1);

/// Starts all feeds.
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

/// Tells the desk of each catalog and each change of members.
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

/// Notes when an instance that took work is suspected or gone: what it knew
/// of keys is lost. One that leaves in order loses nothing.
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

/// Asks each engine for its load and its cache events.
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

/// Tells the desk which endpoints are leaving, with each change of the list.
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

/// Hands ratings that came later to the desk.
async fn ratings(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        match shared.links.endpoint.ratings(after, RATINGS_WAIT_MS).await {
            Ok(page) => {
                after = page.next;
                shared.desk.ratings(page.ratings);
            }
            Err(error) => {
                tracing::debug!(%error, "no ratings were read");
                sleep(RATINGS_PAUSE).await;
            }
        }
    }
}
