//! An attempt's answer as server-sent events, with what the switches do to it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::{HeaderValue, Response, header::CONTENT_TYPE};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::{
    Shared,
    attempt::{Attempt, End, Progress},
};
use crate::server::{Body, Broken};

/// Gives a broken stream's last event time to leave before the connection goes.
const BREAK_PAUSE: Duration = Duration::from_millis(2);

/// Ends a whole stream.
const DONE: &str = "data: [DONE]\n\n";

/// A stream on its way.
struct Reader {
    shared: Arc<Shared>,
    attempt: Arc<Attempt>,
    progress: watch::Receiver<Progress>,
    next: usize,
    sent: u64,
    break_after: Option<u64>,
    stall_after: Option<u64>,
    done: bool,
}

/// The events of an attempt from one on.
pub(super) fn response(shared: Arc<Shared>, attempt: Arc<Attempt>, from: usize) -> Response<Body> {
    let (break_after, stall_after) = shared.lock().harm_stream();
    let progress = attempt.progress.subscribe();
    let reader = Reader { shared, attempt, progress, next: from, sent: 0, break_after, stall_after, done: false };
    let frames = events(reader).map(|event| event.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

fn events(reader: Reader) -> impl Stream<Item = Result<Bytes, Broken>> + Send {
    stream::unfold(reader, |mut reader| async move {
        if reader.done {
            return None;
        }
        let event = reader.event().await;
        reader.done |= event.is_err();
        Some((event, reader))
    })
}

impl Reader {
    async fn event(&mut self) -> Result<Bytes, Broken> {
        if self.break_after.is_some_and(|after| self.sent >= after) {
            tokio::time::sleep(BREAK_PAUSE).await;
            self.shared.lock().stream_broken(&self.attempt.id);
            return Err(Broken);
        }
        if self.stall_after.is_some_and(|after| self.sent >= after) {
            futures::future::pending::<()>().await;
        }
        let tokens = self.attempt.answer.len();
        let ready = |progress: &Progress| progress.end.is_some() || progress.tokens > self.next;
        let progress = *self.progress.wait_for(ready).await.map_err(|_| Broken)?;
        if progress.end == Some(End::Cancelled) && self.next >= progress.tokens {
            return Err(Broken);
        }
        let is_last = self.next >= tokens;
        let event = if is_last { last(&self.attempt) } else { delta(&self.attempt, self.next) };
        let mut event = self.shared.lock().disturb(&self.attempt, event);
        if is_last {
            event.push_str(DONE);
        }
        self.next += 1;
        self.sent += 1;
        self.done = is_last;
        Ok(event.into())
    }
}

impl super::State {
    /// After how many events a new stream breaks, and falls silent.
    fn harm_stream(&mut self) -> (Option<u64>, Option<u64>) {
        let breaks = self.dice.strikes(&mut self.faults.break_streams);
        let stalls = self.dice.strikes(&mut self.faults.stall);
        (breaks.then_some(self.faults.break_after), stalls.then_some(self.faults.stall_after))
    }

    fn stream_broken(&mut self, id: &str) {
        if self.dice.strikes(&mut self.faults.forget)
            && let Some(attempt) = self.attempts.get(id)
        {
            attempt.cancel.cancel();
            attempt.forgotten.store(true, Ordering::Relaxed);
        }
    }

    /// The event as sent: once, twice, or behind one of another attempt.
    fn disturb(&mut self, attempt: &Attempt, event: String) -> String {
        if self.dice.strikes(&mut self.faults.duplicate) {
            return event.repeat(2);
        }
        if self.dice.strikes(&mut self.faults.foreign) {
            let foreign = chunk(&format!("other-{}", attempt.id), 0, &attempt.version, &content("foreign "), None);
            return foreign + &event;
        }
        event
    }
}

fn delta(attempt: &Attempt, index: usize) -> String {
    chunk(&attempt.id, index, &attempt.version, &content(&attempt.answer[index]), None)
}

fn last(attempt: &Attempt) -> String {
    let choice = json!({ "index": 0, "delta": {}, "finish_reason": attempt.finish });
    let usage = serde_json::to_value(attempt.usage).expect("usage is plain numbers");
    chunk(&attempt.id, attempt.answer.len(), &attempt.version, &choice, Some(usage))
}

fn content(token: &str) -> Value {
    json!({ "index": 0, "delta": { "content": token }, "finish_reason": null })
}

fn chunk(id: &str, index: usize, model: &str, choice: &Value, usage: Option<Value>) -> String {
    let mut data = json!({ "id": id, "object": "chat.completion.chunk", "model": model, "choices": [choice] });
    if let Some(usage) = usage {
        data["usage"] = usage;
    }
    format!("id: {id}:{index}\ndata: {data}\n\n")
}
