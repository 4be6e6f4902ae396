//! Finds out whether an endpoint has crashed.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    dispatcher::{Dispatcher, fleet::Key},
    upstream,
};

/// Number of other endpoints of which one must accept a connection before a refused one counts
/// as a crash. More than one, since endpoints may crash together.
const CRASH_WITNESSES: usize = 3;

/// Reports a crash of an endpoint if it refuses connections.
pub(super) async fn check_for_crash(dispatcher: Arc<Dispatcher>, key: Key, address: SocketAddr) {
    if upstream::is_refused(&*dispatcher.settings.network, address).await {
        confirm_crash(dispatcher, key).await;
    }
}

/// Reports a crash of an endpoint that refuses connections, if another one accepts them.
///
/// An instance that has lost its network path is refused by all endpoints. Taken for crashes,
/// three such refusals would quarantine a request at all instances.
pub(super) async fn confirm_crash(dispatcher: Arc<Dispatcher>, key: Key) {
    let Some(witnesses) = dispatcher.crash_witnesses(key, CRASH_WITNESSES) else { return };
    let network = &dispatcher.settings.network;
    let is_alone = witnesses.is_empty();
    let connections = witnesses.iter().map(|witness| Box::pin(upstream::probe(&**network, witness.address)));
    if is_alone || futures::future::select_ok(connections).await.is_ok() {
        dispatcher.record_crash(key);
    } else {
        tracing::info!("refused connection not counted as a crash: no endpoint can be reached");
    }
}
