//! Cancels calls to the store that have gone silent.
//!
//! A connection may go silent for good without a reset. The sign of that is not the
//! time since the call began but the time since a part of its answer last arrived: a
//! catalog of a megabyte takes most of a second over a link of 10 Mbit/s, and longer
//! beside callers' requests. A limit on the whole call would cancel it midway, again
//! on every retry, and fill the link with data that is thrown away.

#[cfg(test)]
mod tests;

use std::{pin::pin, time::Duration};

use futures::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use tokio::time::timeout;

use crate::{
    clock,
    source::{Fault, Progress},
};

/// Silence after which a call is cancelled: many round trips, enough for a store that is
/// fifty times slower than usual.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a call is cancelled although its answer keeps arriving: the store keeps its
/// history for as long, so that a listing that takes longer cannot be watched from.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Awaits a call and cancels it if it is silent for too long.
///
/// `wait` is how long the store was asked to hold back its answer. An answer that keeps
/// arriving is awaited for much longer, but not without end: one that trickles would otherwise
/// keep its kind of record from ever being updated again.
///
/// # Errors
///
/// Returns the error of the call, or [`Fault::Lost`] if it went silent or did not end.
pub async fn bounded<T>(
    progress: &Progress,
    wait: Duration,
    call: impl Future<Output = Result<T, Fault>>,
) -> Result<T, Fault> {
    progress.start();
    let mut call = pin!(call);
    let last_deadline = clock::now() + wait + ANSWER_TIMEOUT;
    let mut deadline = clock::now() + wait + SILENCE_TIMEOUT;
    loop {
        let left = deadline.saturating_sub(clock::now());
        if let Ok(result) = timeout(left, &mut call).await {
            return result;
        }
        // A last arrival that belongs to an earlier call is too old to extend the limit.
        let extended_deadline = (progress.last_arrival() + SILENCE_TIMEOUT).min(last_deadline);
        if extended_deadline <= deadline {
            return Err(Fault::Lost("no answer in time".into()));
        }
        deadline = extended_deadline;
    }
}

/// Awaits a call like [`bounded`], and makes further calls beside it every `pause` for as long as nothing
/// arrives, the first that long after the call's `wait`. Returns the first answer.
///
/// A store that is away for a moment leaves calls without an answer that were on their way. Another call
/// is answered as soon as the store is back, and the silent one need not be given up, which a slow store
/// would still answer.
///
/// # Errors
///
/// As [`bounded`]. A lost or rejected call is no error while another one is under way.
pub async fn repeated<'a, T>(
    progress: &Progress,
    wait: Duration,
    pause: Duration,
    first: BoxFuture<'a, Result<T, Fault>>,
    mut again: impl FnMut() -> BoxFuture<'a, Result<T, Fault>>,
) -> Result<T, Fault> {
    let started = clock::now();
    let answer = async {
        let mut calls = FuturesUnordered::from_iter([first]);
        let mut repeat_at = started + wait + pause;
        loop {
            let left = repeat_at.saturating_sub(clock::now());
            match timeout(left, calls.next()).await {
                Ok(Some(Err(Fault::Lost(_) | Fault::Refused(_)))) if !calls.is_empty() => {}
                Ok(answer) => return answer.unwrap_or_else(|| Err(Fault::Lost("no call is under way".into()))),
                Err(_) => {
                    repeat_at += pause;
                    if progress.last_arrival() < started {
                        calls.push(again());
                    }
                }
            }
        }
    };
    bounded(progress, wait, answer).await
}
