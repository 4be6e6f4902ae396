//! Asks engines at the start what their prompt caches hold.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::{task::JoinSet, time::timeout};

use crate::{clock, desk::Desk, source::Endpoint, upstream};

/// Longest wait for an engine's list; most come within some milliseconds.
const ANSWER: Duration = Duration::from_millis(250);

/// Longest list that is read, in bytes: some forty thousand parts.
const LONGEST: usize = 2 << 20;

/// Engines asked at most. Each list is ten kilobytes, and an instance has little
/// time and bandwidth at its start.
const MOST_ASKED: usize = 16;

/// Asks once, as soon as engines are known.
pub async fn ask(desk: Arc<Desk>) {
    desk.started().await;
    let engines = nearest(&desk);
    let started = clock::now();
    let (mut asking, mut parts, count) = (JoinSet::new(), 0, engines.len());
    for engine in engines {
        let path = desk.dialect.cache_path;
        asking.spawn(async move { (timeout(ANSWER, list(&engine, path)).await, engine) });
    }
    while let Some(Ok((answer, engine))) = asking.join_next().await {
        let Ok(Some(body)) = answer else {
            tracing::debug!(engine = engine.id, "engine does not list its cache");
            continue;
        };
        let cached = (desk.dialect.cached)(&body);
        parts += cached.len();
        desk.note_cache(&engine, &cached);
    }
    desk.mark_caches_known();
    let took_ms = clock::millis(clock::now().saturating_sub(started));
    tracing::info!(engines = count, parts, took_ms, "engines' caches known");
}

/// The engines of the own failure domain first.
fn nearest(desk: &Desk) -> Vec<Endpoint> {
    let mut engines = desk.engines();
    engines.sort_by_key(|engine| engine.domain != desk.settings.domain);
    engines.truncate(MOST_ASKED);
    engines
}

async fn list(engine: &Endpoint, path: &'static str) -> Option<Bytes> {
    let (mut sender, _connection) = upstream::connect(engine.address, ANSWER).await.ok()?;
    let host = engine.address.to_string();
    let request = Request::get(path).header(header::HOST, host).body(Full::default()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    Some(Limited::new(response.into_body(), LONGEST).collect().await.ok()?.to_bytes())
}
