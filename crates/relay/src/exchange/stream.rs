//! Forwards a stream to the caller and resumes it at another endpoint if a run breaks.

use std::{io, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::{
    forwarded_headers,
    tries::{ActiveStream, Exchange, Hop},
};
use crate::{
    answer::Body,
    catalog::Kind,
    clock,
    dispatcher::fleet::RunOutcome,
    events::Splitter,
    upstream::{Answer, Outcome},
};

/// Pause between events that counts as a stall, as a multiple of the route's target pause.
const STALL_FACTOR: f64 = 2.0;

/// Shortest pause that counts as a stall: engines pause for about a second while they
/// process long prompts of other runs.
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// Silence of the whole endpoint after which a stalled run is abandoned. An endpoint that
/// still sends on other runs is only overloaded, and restarting its runs elsewhere would
/// make all of them wait longer.
const ENDPOINT_SILENCE: Duration = Duration::from_secs(1);

/// Number of consecutive stalls after which a run is abandoned even if the endpoint still
/// sends on other runs.
const MAX_STALLS: u32 = 4;

/// Result of waiting for the next bytes of a stream.
enum Received {
    Bytes(Bytes),
    End,
    Failed(Outcome),
}

/// Returns the response to a caller whose stream has begun.
pub fn forward(exchange: Exchange, active: ActiveStream) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = active.answer.response.status();
    *response.headers_mut() = forwarded_headers(&active.answer.response);
    let confidence = exchange.confidence(&active.answer);
    if let Hop::Endpoint(run) = &active.hop {
        exchange.log_answer(&run.endpoint, run.choice, active.answer.response.status(), active.model, confidence);
    }
    response.map(|()| StreamBody::new(event_frames(exchange, active)).boxed_unsync())
}

/// Returns the stream's whole events as body frames. If the stream cannot be resumed, it
/// ends with an error, which closes the caller's connection.
fn event_frames(
    mut exchange: Exchange,
    mut active: ActiveStream,
) -> impl futures::Stream<Item = io::Result<Frame<Bytes>>> {
    async_stream::stream! {
        let mut splitter = Splitter::new(exchange.params.last_event);
        loop {
            let outcome = match next_bytes(&exchange, &mut active).await {
                Received::Bytes(bytes) => match splitter.push(&bytes) {
                    Ok(Some(whole)) => {
                        yield Ok(Frame::data(whole));
                        continue;
                    }
                    Ok(None) => continue,
                    Err(_) => Outcome::Unknown("an event is too long".into()),
                },
                Received::End if !splitter.is_partial() => {
                    if let Hop::Endpoint(run) = &mut active.hop {
                        run.record_outcome(RunOutcome::Good);
                    }
                    break;
                }
                Received::End => Outcome::Broken("the stream ended within an event".into()),
                Received::Failed(outcome) => outcome,
            };
            match &mut active.hop {
                Hop::Endpoint(run) => exchange.record_failed_try(run, &outcome),
                Hop::Instance(instance) => exchange.record_failed_forward(*instance, &outcome),
            }
            splitter.restart();
            let Some(resumed) = resume(&mut exchange, &active, splitter.last()).await else {
                tracing::info!(
                    request = exchange.params.id,
                    content = %exchange.content,
                    cause = exchange.cause,
                    tries = exchange.sent,
                    last_event = splitter.last(),
                    took_ms = clock::millis(clock::now().saturating_sub(exchange.started)),
                    "stream broken off"
                );
                yield Err(io::Error::other("the stream was interrupted and not resumed"));
                break;
            };
            active = resumed;
        }
        drop(exchange.in_flight.take());
    }
}

/// Waits for the next bytes of the stream, or until the run has to be abandoned.
async fn next_bytes(exchange: &Exchange, active: &mut ActiveStream) -> Received {
    let Hop::Endpoint(run) = &active.hop else { return next_forwarded_bytes(exchange, &mut active.answer).await };
    let pause = exchange.admission.route.target_pause.unwrap_or(MIN_STALL);
    let stall = pause.mul_f64(STALL_FACTOR).max(MIN_STALL);
    for _ in 0..MAX_STALLS {
        let left = exchange.left();
        let frame = tokio::time::timeout(stall.min(left), active.answer.response.body_mut().frame()).await;
        match frame {
            Err(_) if left <= stall || run.silence() > ENDPOINT_SILENCE => break,
            Err(_) => {}
            Ok(None) => return Received::End,
            Ok(Some(Err(error))) => return Received::Failed(Outcome::Broken(error.to_string())),
            Ok(Some(Ok(frame))) => {
                run.record_bytes();
                return Received::Bytes(frame.into_data().unwrap_or_default());
            }
        }
    }
    Received::Failed(Outcome::Unknown("no event in time".into()))
}

/// Waits for the next bytes of a stream that comes through another instance, which detects
/// stalls itself.
async fn next_forwarded_bytes(exchange: &Exchange, answer: &mut Answer) -> Received {
    match tokio::time::timeout(exchange.left(), answer.response.body_mut().frame()).await {
        Err(_) => Received::Failed(Outcome::Unknown("no event in time".into())),
        Ok(None) => Received::End,
        Ok(Some(Err(error))) => Received::Failed(Outcome::Broken(error.to_string())),
        Ok(Some(Ok(frame))) => Received::Bytes(frame.into_data().unwrap_or_default()),
    }
}

/// Resumes the stream at another endpoint, with the same model and, if possible, the same
/// version; `None` if that is not allowed or no try succeeds.
async fn resume(exchange: &mut Exchange, broken: &ActiveStream, last: Option<u64>) -> Option<ActiveStream> {
    if !matches!(exchange.admission.route.kind, Kind::Stream { resumable: true }) {
        return None;
    }
    let model = broken.model.or_else(|| exchange.model_for_resumption());
    if let Hop::Endpoint(run) = &broken.hop {
        exchange.version = Some(run.endpoint.version.clone());
    }
    let last_event = last.or(exchange.params.last_event);
    loop {
        let mut hop = exchange.next_hop(model).await.ok()?;
        let outcome = match &mut hop {
            Hop::Endpoint(run) => exchange.send(run, model, last_event).await,
            Hop::Instance(instance) => exchange.send_to_instance(*instance, model, last_event).await,
        };
        let outcome = match outcome {
            Outcome::Answer(answer) if answer.response.status().is_success() => {
                log_resumed(exchange, &mut hop, last);
                return Some(ActiveStream { answer: *answer, hop, model });
            }
            Outcome::Answer(answer) => Outcome::Unknown(format!("failed with {}", answer.response.status())),
            other => other,
        };
        match &mut hop {
            Hop::Endpoint(run) => exchange.record_failed_try(run, &outcome),
            Hop::Instance(instance) => exchange.record_failed_forward(*instance, &outcome),
        }
    }
}

/// Logs that a stream goes on after an event, and records its first byte.
fn log_resumed(exchange: &Exchange, hop: &mut Hop, last_event: Option<u64>) {
    let (endpoint, instance) = match hop {
        Hop::Endpoint(run) => {
            run.record_first_byte();
            (Some(run.endpoint.id.as_str()), None)
        }
        Hop::Instance(instance) => (None, Some(instance.to_string())),
    };
    tracing::info!(
        request = exchange.params.id,
        endpoint,
        instance,
        last_event,
        tries = exchange.sent,
        "stream resumed"
    );
}
