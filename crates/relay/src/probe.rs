//! Probes services that this instance cannot reach, to notice when it can again.
//!
//! Requests for such a service go to other instances, so no connection of a request would
//! show that the network path is back.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::timeout};

use crate::{dispatcher::Dispatcher, upstream};

/// Number of endpoints of a service that are probed at a time.
const PROBED_ENDPOINTS: usize = 3;

/// Pause between probes right after a service is lost, when a few crashed endpoints may have
/// been taken for a lost path.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause between probes.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Probes unreachable services; never returns.
pub async fn probe_unreachable_services(dispatcher: Arc<Dispatcher>) {
    let mut pause = MIN_PAUSE;
    loop {
        let services = dispatcher.unreachable_services();
        if services.is_empty() {
            dispatcher.wait_for_probe_request().await;
            pause = MIN_PAUSE;
            continue;
        }
        let mut probes = JoinSet::new();
        for service in services {
            for endpoint in dispatcher.endpoints_to_probe(&service, PROBED_ENDPOINTS) {
                let (dispatcher, service) = (Arc::clone(&dispatcher), service.clone());
                probes.spawn(async move {
                    if upstream::probe(&*dispatcher.settings.network, endpoint.address).await.is_ok() {
                        dispatcher.record_reachable(&service);
                    }
                });
            }
        }
        while probes.join_next().await.is_some() {}
        // Ends early if an endpoint that was not tried yet is registered.
        timeout(pause, dispatcher.wait_for_probe_request()).await.ok();
        pause = (pause * 2).min(MAX_PAUSE);
    }
}
