//! Forwards a stream to the caller and resumes it at another endpoint if a run breaks.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Frame;

use super::{
    answer_length::OutputTimer,
    forwarded_headers,
    forwarding::INSTANCE_GONE,
    hop::Hop,
    read_ahead::ReadAhead,
    tries::{ActiveStream, Exchange},
};
use crate::{
    answer::{Body, Refusal},
    clock,
    dispatcher::fleet::RunOutcome,
    events::Splitter,
    upstream::{Answer, Outcome},
};

/// Pause between events that counts as a stall, as a multiple of the route's target pause.
const STALL_FACTOR: f64 = 2.0;

/// Shortest pause that counts as a stall: sound endpoints may be silent for a second or a
/// little longer, and callers give up a stream after two seconds at the earliest.
const MIN_STALL: Duration = Duration::from_millis(1_600);

/// Silence of the whole endpoint after which a stalled run is abandoned. An endpoint that
/// still sends on other runs is only overloaded, and restarting its runs elsewhere would
/// make all of them wait longer.
const ENDPOINT_SILENCE: Duration = Duration::from_millis(1_500);

/// Number of consecutive stalls after which a run is abandoned even if the endpoint still
/// sends on other runs.
const MAX_STALLS: u32 = 4;

/// Time after the deadline for which bytes that have already arrived are still passed on. A stream
/// that always has some would otherwise never end.
const MAX_LATENESS: Duration = Duration::from_millis(100);

/// Result of waiting for the next bytes of a stream.
enum Received {
    Bytes(Bytes),
    End,
    /// The endpoint is silent, but may go on.
    Stalled,
    Failed(Outcome),
}

impl Received {
    fn timed_out() -> Self {
        Self::Failed(Outcome::Unknown("no event in time".into()))
    }
}

/// Result of looking for another endpoint for a stalled stream.
enum Moved {
    /// None can go on with the stream, which stays where it is.
    Stays(ActiveStream),
    /// The endpoint has gone on, or ended the stream, before another one was found.
    WentOn(ActiveStream, Received),
    /// The stream goes on at another endpoint.
    Resumed(ActiveStream),
}

/// Returns the response to a caller whose stream has begun.
pub fn forward(exchange: Exchange, active: ActiveStream) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = active.answer.response.status();
    let confidence = exchange.confidence(&active.answer);
    *response.headers_mut() = match &active.hop {
        Hop::Endpoint(run) => {
            exchange.log_answer(&run.endpoint, run.choice, active.answer.response.status(), active.model, confidence);
            exchange.headers_from(&run.endpoint, &active.answer.response)
        }
        Hop::Instance(_) => forwarded_headers(&active.answer.response),
    };
    let (dispatcher, limit) = (Arc::clone(&exchange.dispatcher), exchange.limit + MAX_LATENESS);
    response.map(|()| ReadAhead::spawn(&dispatcher, limit, event_frames(exchange, active)).boxed_unsync())
}

/// Returns the stream's whole events as body frames. If the stream cannot be resumed, it
/// ends with an error, which closes the caller's connection.
fn event_frames(
    mut exchange: Exchange,
    mut active: ActiveStream,
) -> impl futures::Stream<Item = io::Result<Frame<Bytes>>> {
    async_stream::stream! {
        let mut splitter = Splitter::new(exchange.params.last_event);
        let mut has_events = exchange.params.last_event.is_some();
        let mut received = None;
        let mut memory = exchange.dispatcher.reserve_answer_memory();
        let (mut events, mut advanced_at) = (0, clock::now());
        let mut waited = Duration::ZERO;
        let mut output = OutputTimer::start(&exchange, &active);
        loop {
            let next = if let Some(received) = received.take() {
                received
            } else {
                let from = clock::now();
                let next = next_bytes(&exchange, &mut active).await;
                waited += clock::now().saturating_sub(from);
                next
            };
            let outcome = match next {
                Received::Bytes(bytes) => match splitter.push(&bytes) {
                    Ok(whole) => {
                        if let Some(whole) = whole {
                            record_event_wait(&exchange, &mut active, std::mem::take(&mut waited), events);
                            has_events = true;
                            output.iter_mut().for_each(OutputTimer::record_events);
                            yield Ok(Frame::data(whole));
                            output.iter_mut().for_each(OutputTimer::record_taken);
                        }
                        if splitter.new_events() > events {
                            (events, advanced_at) = (splitter.new_events(), clock::now());
                        }
                        if !memory.resize_within_share(splitter.buffered_bytes()) {
                            Outcome::Unknown("no memory is left for an event".into())
                        } else if exchange.is_resumable()
                            && clock::now() > advanced_at + stall(&exchange) * MAX_STALLS
                        {
                            Outcome::Unknown("no new event in time".into())
                        } else {
                            continue;
                        }
                    }
                    Err(_) => Outcome::Unknown("an event is too long, or none is new".into()),
                },
                Received::End if !has_events && active.answer.ends_with_connection() => {
                    Outcome::Broken("the connection ended before the first event".into())
                }
                Received::End if !splitter.is_partial() => {
                    output.iter_mut().for_each(OutputTimer::end);
                    if let Hop::Endpoint(run) = &mut active.hop {
                        run.record_outcome(RunOutcome::Good);
                        exchange.complete_run();
                    }
                    break;
                }
                Received::End => Outcome::Broken("the stream ended within an event".into()),
                Received::Stalled => {
                    match move_stalled(&mut exchange, active, splitter.last()).await {
                        Moved::Stays(stalled) => active = stalled,
                        Moved::WentOn(stalled, next) => {
                            active = stalled;
                            if let Hop::Endpoint(run) = &mut active.hop {
                                run.record_bytes();
                            }
                            received = Some(next);
                        }
                        Moved::Resumed(resumed) => {
                            output = output.and_then(|output| output.moved(&resumed));
                            splitter.restart();
                            active = resumed;
                        }
                    }
                    // Silence is no sign that the stream brings the caller no further.
                    advanced_at = clock::now();
                    continue;
                }
                Received::Failed(outcome) => outcome,
            };
            match &mut active.hop {
                Hop::Endpoint(run) => exchange.record_failed_try(run, &outcome),
                Hop::Instance(instance) => exchange.record_failed_forward(*instance, &outcome),
            }
            splitter.restart();
            active = match resume(&mut exchange, Continuation::of(&active), splitter.last()).await {
                Ok(resumed) => resumed,
                Err(refusal) => {
                    log_broken_off(&exchange, refusal.as_ref(), splitter.last());
                    yield Err(broken_off());
                    break;
                }
            };
            output = output.and_then(|output| output.moved(&active));
            advanced_at = clock::now();
        }
    }
}

/// Records how long a whole event was waited for. The first one waits for the prompt, not for other
/// runs.
fn record_event_wait(exchange: &Exchange, active: &mut ActiveStream, waited: Duration, events: u64) {
    if let (Hop::Endpoint(run), Some(target), 1..) = (&mut active.hop, exchange.admission.route.target_pause, events) {
        run.record_event_wait(waited, target);
    }
}

/// Waits for the next bytes of the stream, or until the run has to be abandoned.
async fn next_bytes(exchange: &Exchange, active: &mut ActiveStream) -> Received {
    if clock::now() > exchange.limit + MAX_LATENESS {
        return Received::timed_out();
    }
    let run = match &mut active.hop {
        Hop::Endpoint(run) => run,
        Hop::Instance(instance) => return next_forwarded_bytes(exchange, *instance, &mut active.answer).await,
    };
    let stall = stall(exchange);
    for _ in 0..MAX_STALLS {
        let left = exchange.left();
        // A stream that cannot be resumed is better late than broken off.
        let limit = if exchange.is_resumable() { stall.min(left) } else { left };
        match receive(&mut active.answer, limit).await {
            Some(Received::Bytes(bytes)) => {
                run.record_bytes();
                return Received::Bytes(bytes);
            }
            Some(other) => return other,
            None if limit == left => return Received::timed_out(),
            None if run.silence() > ENDPOINT_SILENCE => return Received::Stalled,
            None => {}
        }
    }
    Received::Stalled
}

/// Returns the pause between events that counts as a stall.
fn stall(exchange: &Exchange) -> Duration {
    let target_pause = exchange.admission.route.target_pause.unwrap_or_default();
    target_pause.mul_f64(STALL_FACTOR).max(MIN_STALL)
}

/// Waits for the next bytes of a stream that comes through another instance, which detects
/// stalls of endpoints itself. One that cannot be resumed is waited for although the instance is
/// not heard from.
async fn next_forwarded_bytes(exchange: &Exchange, instance: SocketAddr, answer: &mut Answer) -> Received {
    if !exchange.is_resumable() {
        return receive(answer, exchange.left()).await.unwrap_or_else(Received::timed_out);
    }
    tokio::select! {
        received = receive(answer, exchange.left()) => received.unwrap_or_else(Received::timed_out),
        () = exchange.dispatcher.wait_until_gone(instance) => {
            Received::Failed(Outcome::Broken(INSTANCE_GONE.into()))
        }
    }
}

/// Waits for the next bytes of an answer; `None` if none come within `limit`.
async fn receive(answer: &mut Answer, limit: Duration) -> Option<Received> {
    let frame = tokio::time::timeout(limit, answer.response.body_mut().frame()).await.ok()?;
    Some(match frame {
        None => Received::End,
        Some(Err(error)) => Received::Failed(Outcome::Broken(error.to_string())),
        Some(Ok(frame)) => Received::Bytes(frame.into_data().unwrap_or_default()),
    })
}

/// Returns the error that ends the response, which closes the caller's connection.
fn broken_off() -> io::Error {
    io::Error::other("the stream was interrupted and not resumed")
}

/// Logs and counts a stream that ends before its last event.
fn log_broken_off(exchange: &Exchange, refusal: Option<&Refusal>, last_event: Option<u64>) {
    tracing::info!(
        request = exchange.params.id,
        content = %exchange.work.request,
        route = exchange.admission.route.name,
        cause = exchange.cause,
        not_resumed = ?refusal,
        tries = exchange.sent,
        last_event,
        catalog = exchange.admission.version,
        took_ms = clock::millis(clock::now().saturating_sub(exchange.started)),
        "stream broken off"
    );
    metrics::counter!("relay_streams_broken_off_total").increment(1);
}

/// Looks for another endpoint for a stream whose endpoint is silent.
///
/// The endpoint may be sound and go on. So its run is given up only once another endpoint has begun
/// to go on with the stream, and the other endpoint if this one goes on first.
async fn move_stalled(exchange: &mut Exchange, mut stalled: ActiveStream, last: Option<u64>) -> Moved {
    let Hop::Endpoint(run) = &stalled.hop else { return Moved::Stays(stalled) };
    // An endpoint that has stalled before is asked again: only the connection may be silent.
    exchange.avoids_tried = !exchange.tried.contains(&run.key);
    exchange.record_stall(run);
    let (continuation, left) = (Continuation::of(&stalled), exchange.left());
    let mut resumption = Box::pin(resume(exchange, continuation, last));
    let first = tokio::select! {
        biased;
        received = receive(&mut stalled.answer, left) => Ok(received.unwrap_or_else(Received::timed_out)),
        resumed = &mut resumption => Err(resumed),
    };
    let (received, resumed) = match first {
        Ok(failed @ Received::Failed(_)) => (Some(failed), resumption.await.ok()),
        Ok(received) => {
            drop(resumption);
            (Some(received), None)
        }
        Err(resumed) => {
            drop(resumption);
            (None, resumed.ok())
        }
    };
    exchange.avoids_tried = false;
    match (received, resumed) {
        (_, Some(resumed)) => {
            give_up(stalled);
            Moved::Resumed(resumed)
        }
        (Some(received), None) => Moved::WentOn(stalled, received),
        (None, None) => Moved::Stays(stalled),
    }
}

/// Closes the connection of a stalled run.
fn give_up(mut stalled: ActiveStream) {
    if let Hop::Endpoint(run) = &mut stalled.hop {
        run.record_outcome(RunOutcome::Broken);
    }
}

/// What the rest of a stream has to have in common with its beginning.
struct Continuation {
    model: Option<usize>,
    version: Option<String>,
}

impl Continuation {
    fn of(stream: &ActiveStream) -> Self {
        let version = match &stream.hop {
            Hop::Endpoint(run) => Some(run.endpoint.version.clone()),
            Hop::Instance(_) => None,
        };
        Self { model: stream.model, version }
    }
}

/// Resumes the stream at another endpoint, with the same model and, if possible, the same
/// version.
///
/// # Errors
///
/// Returns the refusal that ended the attempts, or `None` if the stream may not be resumed.
async fn resume(
    exchange: &mut Exchange,
    Continuation { model, version }: Continuation,
    last: Option<u64>,
) -> Result<ActiveStream, Option<Refusal>> {
    if !exchange.is_resumable() {
        return Err(None);
    }
    let model = model.or_else(|| exchange.model_for_resumption());
    exchange.version = version.or(exchange.version.take());
    let last_event = last.or(exchange.params.last_event);
    loop {
        let mut hop = exchange.next_hop_of_stream(model).await.map_err(Some)?;
        let outcome = match &mut hop {
            Hop::Endpoint(run) => exchange.send(run, model, last_event).await,
            Hop::Instance(instance) => exchange.send_to_instance(*instance, model, last_event).await,
        };
        let outcome = match outcome {
            Outcome::Answer(answer) if answer.response.status().is_success() => {
                log_resumed(exchange, &mut hop, last);
                return Ok(ActiveStream { answer: *answer, hop, model });
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
