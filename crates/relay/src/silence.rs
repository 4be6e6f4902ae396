//! Giving up calls to the store that have fallen silent.
//!
//! A connection may go silent for good, without a reset. What tells that from a
//! long answer is not the time since the call began but the time since something
//! of its answer came: a catalog of a megabyte takes most of a second over a link
//! of 10 Mbit/s, and longer beside callers' requests. A limit on the whole call
//! would drop it midway, each time anew, and fill the link with what is thrown
//! away.

use std::{pin::pin, time::Duration};

use tokio::time::timeout;

use crate::{
    clock,
    source::{Fault, Progress},
};

/// Silence after which a call is given up: many round trips, a store that is
/// slow by fifty times.
pub const SILENCE: Duration = Duration::from_millis(600);

/// Waits for a call until it is answered or has been silent for too long.
///
/// `wait` is how long the store was asked to hold the answer back. An answer that
/// comes in is waited for to its end, however long that takes.
///
/// # Errors
///
/// The call's own, and [`Fault::Lost`] when it fell silent.
pub async fn bounded<T>(
    progress: &Progress,
    wait: Duration,
    call: impl Future<Output = Result<T, Fault>>,
) -> Result<T, Fault> {
    progress.start();
    let mut call = pin!(call);
    let mut until = clock::now() + wait + SILENCE;
    loop {
        let left = until.saturating_sub(clock::now());
        if let Ok(result) = timeout(left, &mut call).await {
            return result;
        }
        // What an earlier call brought came too long ago to count here.
        let heard_until = progress.last() + SILENCE;
        if heard_until <= until {
            return Err(Fault::Lost("no answer in time".into()));
        }
        until = heard_until;
    }
}
