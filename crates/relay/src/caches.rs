//! Asks engines, the endpoints that run models, at startup which prompt parts they hold in
//! their caches.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use tokio::{task::JoinSet, time::timeout};

use crate::{
    buffer, clock, dispatcher::Dispatcher, payload::Payload, source::Endpoint, statements::Statements, upstream,
};

/// Time limit for connecting to an engine and reading its list; most lists arrive
/// within some milliseconds.
const LIST_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest list that is read, in bytes: about forty thousand parts.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Maximum number of engines asked. Each list takes ten kilobytes, and a starting
/// instance has little time and bandwidth.
const MAX_ENGINES_ASKED: usize = 16;

/// Asks the engines once, as soon as the endpoints have been listed.
pub async fn ask_engines(dispatcher: Arc<Dispatcher>) {
    dispatcher.wait_until_started().await;
    let engines = nearest_engines(&dispatcher);
    let started = clock::now();
    let (mut asking, mut parts, count) = (JoinSet::new(), 0, engines.len());
    for engine in engines {
        let dispatcher = Arc::clone(&dispatcher);
        asking.spawn(async move { (timeout(LIST_TIMEOUT, fetch_list(&dispatcher, &engine)).await, engine) });
    }
    while let Some(Ok((answer, engine))) = asking.join_next().await {
        let Ok(Some(body)) = answer else {
            tracing::debug!(engine = engine.id, "engine does not list its cache");
            continue;
        };
        let cached = (dispatcher.dialect.parse_cached)(&body);
        parts += cached.len();
        dispatcher.record_cache(&engine, &cached);
    }
    dispatcher.mark_caches_known();
    let took_ms = clock::millis(clock::now().saturating_sub(started));
    tracing::info!(engines = count, parts, took_ms, "engines' caches known");
}

/// Returns the engines to ask, those in this instance's failure domain first.
fn nearest_engines(dispatcher: &Dispatcher) -> Vec<Endpoint> {
    let mut engines = dispatcher.engines();
    engines.sort_by_key(|engine| engine.domain != dispatcher.settings.domain);
    engines.truncate(MAX_ENGINES_ASKED);
    engines
}

/// Asks an engine for its list and records what it states about itself.
async fn fetch_list(dispatcher: &Arc<Dispatcher>, engine: &Endpoint) -> Option<Bytes> {
    let sent_at = clock::now();
    let connected = upstream::connect(&*dispatcher.settings.network, engine.address, LIST_TIMEOUT).await.ok()?;
    let host = engine.address.to_string();
    let request =
        Request::get(dispatcher.dialect.cache_path).header(header::HOST, host).body(Payload::default()).ok()?;
    let answer = upstream::exchange(connected, request, LIST_TIMEOUT).await.ok()?;
    let statements = Statements::read(&answer.response, &dispatcher.dialect.names, false);
    dispatcher.record_statements(engine, statements, sent_at);
    if answer.response.status() != StatusCode::OK {
        return None;
    }
    let (body, _connection) = answer.into_body();
    buffer::read(body, MAX_LIST_BYTES, Some(dispatcher.reserve_answer_memory())).await.ok()
}
