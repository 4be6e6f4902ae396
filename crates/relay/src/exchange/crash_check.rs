//! Finds out whether an endpoint has crashed.

use std::sync::Arc;

use crate::{
    dispatcher::{Dispatcher, fleet::Key},
    inquiry,
    source::Endpoint,
    upstream,
};

/// Number of other endpoints of which one must accept a connection before a refused one counts
/// as a crash. More than one, since endpoints may crash together.
const CRASH_WITNESSES: usize = 3;

/// Reports a crash of an endpoint if it refuses connections.
pub(super) async fn check_for_crash(dispatcher: Arc<Dispatcher>, key: Key, endpoint: Arc<Endpoint>) {
    if upstream::is_refused(&*dispatcher.settings.network, endpoint.address).await {
        confirm_crash(dispatcher, key, endpoint).await;
    }
}

/// Reports a crash of an endpoint that refuses connections, unless only this instance's network
/// path is cut, to that endpoint or to all.
///
/// Three crashes quarantine a request at all instances. Refusals that are due to the path of one
/// instance must not count as crashes.
pub(super) async fn confirm_crash(dispatcher: Arc<Dispatcher>, key: Key, endpoint: Arc<Endpoint>) {
    let Some(witnesses) = dispatcher.crash_witnesses(key, CRASH_WITNESSES) else { return };
    let network = &*dispatcher.settings.network;
    let is_alone = witnesses.is_empty();
    let connections = witnesses.iter().map(|witness| Box::pin(upstream::probe(network, witness.address)));
    if !is_alone && futures::future::select_ok(connections).await.is_err() {
        tracing::info!("refused connection not counted as a crash: no endpoint can be reached");
        return;
    }
    if let Some(instance) = dispatcher.instance_reaching(&endpoint.service, &[])
        && inquiry::accepts(network, instance, endpoint.address).await
    {
        tracing::info!(
            endpoint = endpoint.id,
            %instance,
            "refused connection not counted as a crash: another instance reaches the endpoint"
        );
        return;
    }
    dispatcher.record_crash(key);
}
