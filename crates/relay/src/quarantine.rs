//! Refused requests in the store, for when all instances are lost.
//!
//! Instances tell each other what they refuse. The store is written to when a
//! request comes to be refused or is cleared, seldom enough for it, and read once at
//! a start.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    desk::Desk,
    silence::{self, SILENCE},
    source::{Fault, Kind, Progress, Read, Record, Refused, Source},
};

/// Pause after a call that failed; doubles with each further one.
const AGAIN: Duration = Duration::from_millis(700);

/// Longest pause after calls that failed.
const LONGEST_AGAIN: Duration = Duration::from_secs(8);

/// What the store has to be told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is refused.
    Refuse(Refused),
    /// It is refused no more.
    Allow(Refused),
}

/// Reads what was refused before, then keeps the store in step.
pub async fn keep(desk: Arc<Desk>, source: Arc<dyn Source>) {
    tokio::join!(restore(&desk, &*source), write(&desk, &*source));
}

async fn restore(desk: &Desk, source: &dyn Source) {
    let (progress, mut again) = (Progress::default(), AGAIN);
    let listing = loop {
        let list = source.list(Kind::Quarantine, Read::AnyAge, &progress);
        match silence::bounded(&progress, Duration::ZERO, list).await {
            Ok(listing) => break listing,
            Err(fault) => tracing::info!(%fault, "refused requests not read yet"),
        }
        pause(&mut again).await;
    };
    let refused = listing.records.into_iter().filter_map(|change| match change.record {
        Some(Record::Refused(refused)) => Some(refused),
        _ => None,
    });
    desk.restore_refused(refused);
}

async fn write(desk: &Desk, source: &dyn Source) {
    loop {
        let change = desk.quarantine_change().await;
        let mut again = AGAIN;
        while let Err(fault) = send(source, change).await {
            tracing::info!(%fault, ?change, "refused request not written yet");
            pause(&mut again).await;
            if !desk.is_due(change) {
                break;
            }
        }
    }
}

async fn send(source: &dyn Source, change: Change) -> Result<(), Fault> {
    let call = match &change {
        Change::Refuse(refused) => source.refuse(refused),
        Change::Allow(refused) => source.allow(refused),
    };
    timeout(SILENCE, call).await.unwrap_or_else(|_| Err(Fault::Lost("no answer in time".into())))
}

async fn pause(again: &mut Duration) {
    sleep(again.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    *again = (*again * 2).min(LONGEST_AGAIN);
}
