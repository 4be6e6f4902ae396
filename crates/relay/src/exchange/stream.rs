//! Forwards a stream to the caller and resumes it at another endpoint if a run breaks.

use std::{io, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::{
    passed_on,
    tries::{Exchange, Live},
};
use crate::{answer::Body, catalog::Kind, clock, desk::fleet::Ended, events::Splitter, upstream::Outcome};

/// A run has stalled after this many times the route's target pause between events.
const STALL: f64 = 2.0;

/// Shortest pause that counts as a stall: engines pause for about a second while they
/// process long prompts of other runs.
const LEAST_STALL: Duration = Duration::from_millis(1_200);

/// Silence of the whole endpoint after which a stalled run is abandoned. An endpoint that
/// still sends on other runs is only overloaded, and restarting its runs elsewhere would
/// make all of them wait longer.
const DARK: Duration = Duration::from_secs(1);

/// Stalls after which a run is abandoned even if the endpoint still sends on other runs.
const MOST_DOUBTS: u32 = 4;

/// Result of waiting for the next bytes of a stream.
enum Next {
    Bytes(Bytes),
    End,
    Failed(Outcome),
}

/// Returns the response to a caller whose stream has begun.
pub fn relay(exchange: Exchange, live: Live) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = live.answer.response.status();
    *response.headers_mut() = passed_on(&live.answer.response);
    let confidence = exchange.confidence(&live.answer);
    exchange.log(&live.run.endpoint, live.run.choice, live.answer.response.status(), live.model, confidence);
    response.map(|()| StreamBody::new(events(exchange, live)).boxed_unsync())
}

/// Returns the stream's whole events as body frames. If the stream cannot be resumed, it
/// ends with an error, which closes the caller's connection.
fn events(mut exchange: Exchange, mut live: Live) -> impl futures::Stream<Item = io::Result<Frame<Bytes>>> {
    async_stream::stream! {
        let mut splitter = Splitter::new(exchange.ask.last_event);
        loop {
            let outcome = match next(&exchange, &mut live).await {
                Next::Bytes(bytes) => match splitter.push(&bytes) {
                    Ok(Some(whole)) => {
                        yield Ok(Frame::data(whole));
                        continue;
                    }
                    Ok(None) => continue,
                    Err(_) => Outcome::Unknown("an event is too long".into()),
                },
                Next::End if !splitter.is_partial() => {
                    live.run.ended(Ended::Good);
                    break;
                }
                Next::End => Outcome::Broken("the stream ended within an event".into()),
                Next::Failed(outcome) => outcome,
            };
            exchange.note(&mut live.run, &outcome);
            splitter.restart();
            let Some(next) = resume(&mut exchange, &live, splitter.last()).await else {
                tracing::info!(
                    request = exchange.ask.id,
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
            live = next;
        }
        drop(exchange.flight.take());
    }
}

/// Waits for the next bytes of the stream, or until the run has to be abandoned.
async fn next(exchange: &Exchange, live: &mut Live) -> Next {
    let pause = exchange.pass.route.pause.unwrap_or(LEAST_STALL);
    let stall = pause.mul_f64(STALL).max(LEAST_STALL);
    for _ in 0..MOST_DOUBTS {
        let left = exchange.left();
        let frame = tokio::time::timeout(stall.min(left), live.answer.response.body_mut().frame()).await;
        match frame {
            Err(_) if left <= stall || live.run.silence() > DARK => break,
            Err(_) => {}
            Ok(None) => return Next::End,
            Ok(Some(Err(error))) => return Next::Failed(Outcome::Broken(error.to_string())),
            Ok(Some(Ok(frame))) => {
                live.run.more_bytes();
                return Next::Bytes(frame.into_data().unwrap_or_default());
            }
        }
    }
    Next::Failed(Outcome::Unknown("no event in time".into()))
}

/// Resumes the stream at another endpoint, with the same model and, if possible, the same
/// version; `None` if that is not allowed or no try succeeds.
async fn resume(exchange: &mut Exchange, broken: &Live, last: Option<u64>) -> Option<Live> {
    if !matches!(exchange.pass.route.kind, Kind::Stream { resumable: true }) {
        return None;
    }
    let model = broken.model;
    exchange.version = Some(broken.run.endpoint.version.clone());
    loop {
        let mut run = exchange.next_run(model).await.ok()?;
        let outcome = exchange.send(&mut run, model, last.or(exchange.ask.last_event)).await;
        match outcome {
            Outcome::Answer(answer) if answer.response.status().is_success() => {
                run.first_byte();
                tracing::info!(
                    request = exchange.ask.id,
                    endpoint = run.endpoint.id,
                    last_event = last,
                    tries = exchange.sent,
                    "stream resumed"
                );
                return Some(Live { answer: *answer, run, model });
            }
            Outcome::Answer(answer) => {
                let cause = format!("failed with {}", answer.response.status());
                exchange.note(&mut run, &Outcome::Unknown(cause));
            }
            other => exchange.note(&mut run, &other),
        }
    }
}
