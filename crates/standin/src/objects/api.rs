//! The object API's calls.

use std::{sync::Arc, time::Duration};

use http::{Method, Response, StatusCode};
use serde::Serialize;
use serde_json::{json, value::RawValue};
use tokio::time::Instant;
use world::Millis;

use super::{Shared, State, store::Refused};
use crate::{
    fault,
    server::{self, Answer, Body, Broken, Call, Refusal, decode, header, json, later, number, problem, query},
};

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;
/// Longest wait of a watch, in milliseconds.
const MAX_WAIT: Millis = 60_000;
/// Items of a list that names no limit.
const LIST_LIMIT: u64 = 1_000;
/// Hint of an outage answer.
const DOWN_RETRY: Duration = Duration::from_millis(500);

/// The lagging list. Its entries are not parsed, which would limit their depth.
#[derive(Serialize)]
struct Instances<'a> {
    instances: &'a RawValue,
}

/// Takes a call through outage, rate and delay to its answer.
pub(super) async fn answer(shared: Arc<Shared>, call: Call) -> Answer {
    if call.uri().path() == "/switch" {
        return Ok(server::switch(&call, |switch| shared.switch(switch)));
    }
    let is_write = matches!(*call.method(), Method::PUT | Method::DELETE);
    let slow = match shared.lock().admit(is_write) {
        Ok(slow) => slow,
        Err(refusal) => return Ok(*refusal),
    };
    fault::pause(slow).await;
    match (call.method(), call.uri().path()) {
        (&Method::GET, "/watch") => watch_changes(&shared, &call).await,
        (&Method::GET, "/objects") => Ok(shared.lock().list(&call)),
        (&Method::GET, "/instances") => Ok(shared.lock().list_instances()),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) if *method == Method::GET => Ok(shared.lock().get(&decode(key))),
            Some(key) if is_write => write(&shared, &call, &decode(key)),
            _ => Ok(problem(StatusCode::NOT_FOUND, "no such call; see docs/design/outside-protocols.md")),
        },
    }
}

fn write(shared: &Shared, call: &Call, key: &str) -> Answer {
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.dice.strikes(&mut state.lose_calls) {
        return Err(Broken);
    }
    let answer = state.write(call, key);
    shared.news.send_replace(state.store.revision());
    if state.dice.strikes(&mut state.lose_answers) {
        return Err(Broken);
    }
    Ok(answer)
}

async fn watch_changes(shared: &Shared, call: &Call) -> Answer {
    let prefix = query(call, "prefix").unwrap_or_default();
    let from = number(call, "from", 0);
    let wait = Duration::from_millis(number(call, "wait_ms", 0).min(MAX_WAIT));
    let deadline = Instant::now() + wait;
    let mut news = shared.news.subscribe();
    shared.lock().calls.watches += 1;
    loop {
        news.mark_unchanged();
        let waited = Instant::now() >= deadline;
        if let Some(answer) = shared.lock().changes(&prefix, from, waited) {
            return Ok(answer);
        }
        // Either there is news to look at, or the wait is over.
        drop(tokio::time::timeout_at(deadline, news.changed()).await);
    }
}

impl State {
    /// Lets a call in and tells its delay, or refuses it.
    fn admit(&mut self, is_write: bool) -> Result<Millis, Refusal> {
        if self.down {
            self.calls.down += 1;
            return Err(Box::new(later(StatusCode::SERVICE_UNAVAILABLE, "the object API is down", DOWN_RETRY)));
        }
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        if let Err(wait) = bucket.take(Instant::now()) {
            self.calls.limited += 1;
            return Err(Box::new(later(StatusCode::TOO_MANY_REQUESTS, "over the rate of calls", wait)));
        }
        Ok(self.slow)
    }

    /// A watch's answer, or none while there is nothing to tell.
    fn changes(&self, prefix: &str, from: u64, waited: bool) -> Option<Response<Body>> {
        if self.down {
            return Some(later(StatusCode::SERVICE_UNAVAILABLE, "the object API is down", DOWN_RETRY));
        }
        let changes = match self.store.changes(prefix, from) {
            Ok(changes) => changes,
            Err(oldest) => return Some(json(StatusCode::GONE, &json!({ "oldest": oldest }))),
        };
        if changes.is_empty() && !waited {
            return None;
        }
        Some(json(StatusCode::OK, &json!({ "version": self.store.revision(), "events": changes })))
    }

    fn get(&mut self, key: &str) -> Response<Body> {
        self.calls.gets += 1;
        match self.store.get(key) {
            Some(object) => json(StatusCode::OK, &object),
            None => problem(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn list_instances(&mut self) -> Response<Body> {
        self.calls.instances += 1;
        json(StatusCode::OK, &Instances { instances: &self.instances })
    }

    fn list(&mut self, call: &Call) -> Response<Body> {
        self.calls.lists += 1;
        let prefix = query(call, "prefix").unwrap_or_default();
        let after = query(call, "after").unwrap_or_default();
        let limit = usize::try_from(number(call, "limit", LIST_LIMIT)).unwrap_or(usize::MAX);
        let (items, more) = self.store.list(&prefix, &after, limit);
        let version = self.store.revision();
        if query(call, "keys_only").as_deref() != Some("true") {
            return json(StatusCode::OK, &json!({ "version": version, "items": items, "more": more }));
        }
        let keys: Vec<_> = items.iter().map(|item| json!({ "key": item.key, "version": item.version })).collect();
        json(StatusCode::OK, &json!({ "version": version, "items": keys, "more": more }))
    }

    fn write(&mut self, call: &Call, key: &str) -> Response<Body> {
        let expected = header(call, "if-match").trim_matches('"').parse::<u64>();
        let is_create = header(call, "if-none-match") == "*";
        let result = match (call.method(), expected) {
            (&Method::PUT, _) if call.body().len() > MAX_VALUE => {
                return problem(StatusCode::PAYLOAD_TOO_LARGE, "a value has 1 MiB at most; part it");
            }
            (&Method::DELETE, Ok(version)) => {
                self.calls.deletes += 1;
                self.store.delete(key, version).map(|version| (StatusCode::OK, version))
            }
            (&Method::PUT, expected) => {
                let value = match server::parse(call) {
                    Ok(value) => value,
                    Err(refusal) => return *refusal,
                };
                match expected {
                    _ if is_create => {
                        self.calls.creates += 1;
                        self.store.create(key, value).map(|version| (StatusCode::CREATED, version))
                    }
                    Ok(version) => {
                        self.calls.updates += 1;
                        self.store.update(key, version, value).map(|version| (StatusCode::OK, version))
                    }
                    Err(_) => return unconditional(),
                }
            }
            _ => return unconditional(),
        };
        match result {
            Ok((status, version)) => json(status, &json!({ "key": key, "version": version })),
            Err(Refused::Missing) => problem(StatusCode::NOT_FOUND, "no such object"),
            Err(Refused::Version(version)) => {
                self.calls.conflicts += 1;
                json(StatusCode::PRECONDITION_FAILED, &json!({ "version": version }))
            }
        }
    }
}

fn unconditional() -> Response<Body> {
    problem(StatusCode::PRECONDITION_REQUIRED, "name a condition: If-Match with a version, or If-None-Match: *")
}
