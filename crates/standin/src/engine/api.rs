//! The engine's calls.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json, value::RawValue};
use tokio::sync::watch;

use super::{
    Fault, Order, Shared, State,
    attempt::{Attempt, End, Progress, Usage},
    slots, stream,
};
use crate::{
    answer::{self, Message, Pace},
    fault::{self, Odds},
    server::{self, Answer, Body, Broken, Call, Refusal, decode, header, json, later, number, problem},
};

/// Hint of a full engine.
const FULL_RETRY: Duration = Duration::from_millis(50);
/// Longest that a hanging answer is held, in milliseconds: longer than any deadline.
const HANG: u64 = 3_600_000;
/// Priority of a call that names none.
const DEFAULT_PRIORITY: u8 = 5;

/// A completion as asked for.
#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
    messages: Box<RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// What the switches do to one run.
#[derive(Debug, Clone, Copy, Default)]
struct Harm {
    hang: bool,
    lose: bool,
}

pub(super) async fn answer(shared: Arc<Shared>, call: Call) -> Answer {
    let path = call.uri().path();
    match (call.method(), path) {
        (&Method::POST, "/v1/chat/completions") => complete(shared, &call).await,
        (&Method::GET, "/v1/load") => Ok(json(StatusCode::OK, &shared.report_load())),
        (&Method::GET, "/v1/cache-events") => {
            let report = shared.lock().cache.report(number(&call, "from", 0), shared.options.lag_ms);
            Ok(json(StatusCode::OK, &report))
        }
        (&Method::POST, "/v1/orders") => Ok(server::parse(&call).map_or_else(|no| *no, |order| follow(&shared, order))),
        (&Method::POST, "/switch") => Ok(server::switch(&call, |switch| shared.switch(switch))),
        (method, path) => match path.strip_prefix("/v1/streams/") {
            Some(id) if *method == Method::GET => Ok(resume(shared, &decode(id), number(&call, "from", 0))),
            Some(id) if *method == Method::DELETE => Ok(cancel(&shared, &decode(id))),
            _ => Ok(problem(StatusCode::NOT_FOUND, "no such call; see docs/design/outside-protocols.md")),
        },
    }
}

async fn complete(shared: Arc<Shared>, call: &Call) -> Answer {
    let ask: Ask = match server::parse(call) {
        Ok(ask) => ask,
        Err(refusal) => return Ok(*refusal),
    };
    let (attempt, asked, harm) = match shared.admit(&ask, call) {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(*refusal),
    };
    tokio::spawn(work(shared.clone(), attempt.clone(), asked));
    if harm.hang {
        fault::pause(HANG).await;
    }
    if harm.hang || harm.lose {
        return Err(Broken);
    }
    if ask.stream {
        return Ok(stream::response(shared, attempt, 0));
    }
    let mut progress = attempt.progress.subscribe();
    let end = progress.wait_for(|progress| progress.end.is_some()).await.map_err(|_| Broken)?.end;
    if end == Some(End::Cancelled) {
        return Err(Broken);
    }
    Ok(json(StatusCode::OK, &whole(&attempt)))
}

/// Waits for a slot, runs, and hands the slot on.
async fn work(shared: Arc<Shared>, attempt: Arc<Attempt>, asked: slots::Asked) {
    if let slots::Asked::Waiting(mut turn) = asked {
        let got = tokio::select! {
            biased;
            got = &mut turn => got.is_ok(),
            () = attempt.cancel.cancelled() => false,
        };
        if !got {
            attempt.progress.send_modify(|progress| progress.finish(End::Cancelled));
            // A turn that came at the same moment is handed on.
            turn.close();
            if turn.try_recv().is_ok() {
                shared.lock().free();
            }
            return;
        }
        shared.lock().mark();
    }
    attempt.run().await;
    shared.lock().free();
}

fn whole(attempt: &Attempt) -> Value {
    let message = json!({ "role": "assistant", "content": attempt.answer.concat() });
    json!({
        "id": attempt.id,
        "object": "chat.completion",
        "model": attempt.version,
        "choices": [{ "index": 0, "message": message, "finish_reason": attempt.finish }],
        "usage": attempt.usage,
    })
}

fn resume(shared: Arc<Shared>, id: &str, from: u64) -> Response<Body> {
    let attempt = shared.lock().known(id);
    match attempt {
        Some(attempt) => stream::response(shared, attempt, usize::try_from(from).unwrap_or(usize::MAX)),
        None => problem(StatusCode::NOT_FOUND, "no such attempt"),
    }
}

fn cancel(shared: &Shared, id: &str) -> Response<Body> {
    match shared.lock().known(id) {
        Some(attempt) => {
            attempt.cancel.cancel();
            json(StatusCode::OK, &json!({}))
        }
        None => problem(StatusCode::NOT_FOUND, "no such attempt"),
    }
}

fn follow(shared: &Arc<Shared>, order: Order) -> Response<Body> {
    let mut state = shared.lock();
    if shared.options.checks_fence && order.fence < state.fence {
        return json(StatusCode::CONFLICT, &json!({ "fence": state.fence }));
    }
    state.fence = state.fence.max(order.fence);
    state.versions.retain(|version| !order.unload.contains(version));
    let mut loaded = state.versions.clone();
    loaded.extend(order.load.iter().cloned());
    if shared.options.load_ms == 0 {
        state.versions.clone_from(&loaded);
    } else {
        tokio::spawn(finish_loading(shared.clone(), order.clone()));
    }
    state.orders.push(order);
    json(StatusCode::OK, &json!({ "loaded": loaded }))
}

/// Versions are there after their time, unless a later order took them back.
async fn finish_loading(shared: Arc<Shared>, order: Order) {
    fault::pause(shared.options.load_ms).await;
    let mut state = shared.lock();
    let place = state.orders.iter().rposition(|known| *known == order).unwrap_or_default();
    let unloaded = |version: &String| state.orders[place + 1..].iter().any(|later| later.unload.contains(version));
    let kept: Vec<_> = order.load.iter().filter(|version| !unloaded(version)).cloned().collect();
    state.versions.extend(kept);
}

impl Shared {
    /// Takes a run in, or refuses it with nothing run.
    fn admit(&self, ask: &Ask, call: &Call) -> Result<(Arc<Attempt>, slots::Asked, Harm), Refusal> {
        let id = header(call, "arbutuslug-attempt");
        let mut guard = self.lock();
        let state = &mut *guard;
        if state.dice.strikes(&mut state.faults.refuse) {
            return Err(Box::new(later(StatusCode::SERVICE_UNAVAILABLE, "the engine is full", FULL_RETRY)));
        }
        if id.is_empty() || state.attempts.contains_key(id) {
            return Err(Box::new(problem(StatusCode::CONFLICT, "name each attempt once, in Arbutuslug-Attempt")));
        }
        let messages: Vec<Message> = serde_json::from_str(ask.messages.get())
            .map_err(|error| Box::new(problem(StatusCode::BAD_REQUEST, &format!("`messages`: {error}"))))?;
        if !state.versions.contains(&ask.model) {
            return Err(Box::new(problem(StatusCode::NOT_FOUND, "this version is not loaded here")));
        }
        let bad = state.bad(&ask.model);
        if bad == Some(Fault::Errors) {
            return Err(Box::new(problem(StatusCode::INTERNAL_SERVER_ERROR, "this version is broken")));
        }
        let priority = header(call, "arbutuslug-priority").parse().unwrap_or(DEFAULT_PRIORITY);
        let asked = state.slots.ask(priority);
        if matches!(asked, slots::Asked::Full) {
            return Err(Box::new(later(StatusCode::SERVICE_UNAVAILABLE, "the engine is full", FULL_RETRY)));
        }
        state.mark();
        let harm = Harm {
            hang: state.dice.strikes(&mut state.faults.hang),
            lose: state.dice.strikes(&mut state.faults.lose_answers),
        };
        let attempt = Arc::new(self.attempt(state, ask, &messages, id, priority, bad));
        state.remember(attempt.clone(), self.options.remembered);
        Ok((attempt, asked, harm))
    }

    fn attempt(
        &self,
        state: &mut State,
        ask: &Ask,
        messages: &[Message],
        id: &str,
        priority: u8,
        bad: Option<Fault>,
    ) -> Attempt {
        let (asked, given) = answer::continued(messages);
        let prompt = answer::prompt(asked);
        let mut tokens = answer::tokens(&ask.model, &prompt);
        tokens.drain(..answer::covered(&tokens, given));
        if bad == Some(Fault::Answers) {
            tokens.insert(0, answer::BAD.into());
        }
        let max = ask.max_tokens.map_or(usize::MAX, |max| usize::try_from(max).unwrap_or(usize::MAX));
        let finish = if tokens.len() > max { "length" } else { "stop" };
        tokens.truncate(max);
        let mut lost = Odds::share(self.options.lost_events);
        let cached = state.cache.touch(answer::prefix(ask.messages.get()), || state.dice.strikes(&mut lost));
        let prompt_tokens = answer::prompt_tokens(&prompt);
        let usage = Usage {
            prompt: prompt_tokens,
            completion: tokens.len() as u64,
            cached: if cached { prompt_tokens } else { 0 },
        };
        let slower = if let Some(Fault::Slow(ms)) = bad { ms } else { 0 };
        Attempt {
            id: id.into(),
            version: ask.model.clone(),
            priority,
            prompt,
            received: fault::wall_clock(),
            answer: tokens,
            finish,
            usage,
            pace: Pace { first: self.options.first_token_ms + slower, next: self.options.per_token_ms },
            progress: watch::channel(Progress::default()).0,
            cancel: tokio_util::sync::CancellationToken::new(),
            forgotten: false.into(),
        }
    }

    fn report_load(&self) -> Value {
        let state = self.lock();
        let mark = state.load.report(self.options.lag_ms);
        json!({
            "as_of_ms": mark.as_of,
            "running": mark.running,
            "queued": mark.queued,
            "slots": self.options.slots,
            "versions": state.versions,
        })
    }
}

impl State {
    fn bad(&mut self, version: &str) -> Option<Fault> {
        let (fault, odds) = self.faults.bad.get_mut(version)?;
        self.dice.strikes(odds).then_some(*fault)
    }

    fn known(&self, id: &str) -> Option<Arc<Attempt>> {
        self.attempts.get(id).filter(|attempt| !attempt.forgotten.load(Ordering::Relaxed)).cloned()
    }

    fn remember(&mut self, attempt: Arc<Attempt>, remembered: usize) {
        self.order.push_back(attempt.id.clone());
        self.attempts.insert(attempt.id.clone(), attempt);
        if self.order.len() > remembered
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    fn free(&mut self) {
        self.slots.free();
        self.mark();
    }

    fn mark(&mut self) {
        self.load.mark(self.slots.running(), self.slots.queued());
    }
}
