//! Persists quarantined requests in the store, in case all instances are lost.
//!
//! Instances notify each other of the requests that they refuse. The store is written
//! only when a request enters or leaves quarantine, which is rare enough, and read
//! once at startup.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    dispatcher::Dispatcher,
    silence::{self, SILENCE_TIMEOUT},
    source::{Fault, Kind, Progress, Read, Record, Refused, Source},
};

/// Pause after a failed call; doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// A change of a request's quarantine that has to be written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The request is refused.
    Refuse(Refused),
    /// The request is no longer refused.
    Allow(Refused),
}

/// Reads the stored quarantine once and writes changes to the store; never returns.
pub async fn synchronize(dispatcher: Arc<Dispatcher>, source: Arc<dyn Source>) {
    tokio::join!(restore(&dispatcher, &*source), write_changes(&dispatcher, &*source));
}

async fn restore(dispatcher: &Dispatcher, source: &dyn Source) {
    let (progress, mut retry_pause) = (Progress::default(), RETRY_PAUSE);
    let listing = loop {
        let list = source.list(Kind::Quarantine, Read::AnyAge, &progress);
        match silence::bounded(&progress, Duration::ZERO, list).await {
            Ok(listing) => break listing,
            Err(fault) => tracing::info!(%fault, "reading quarantined requests failed; retrying"),
        }
        back_off(&mut retry_pause).await;
    };
    let refused = listing.records.into_iter().filter_map(|change| match change.record {
        Some(Record::Refused(refused)) => Some(refused),
        _ => None,
    });
    dispatcher.restore_quarantine(refused);
}

async fn write_changes(dispatcher: &Dispatcher, source: &dyn Source) {
    loop {
        let change = dispatcher.next_quarantine_change().await;
        let mut retry_pause = RETRY_PAUSE;
        while let Err(fault) = write_change(source, change).await {
            tracing::info!(%fault, ?change, "writing quarantine change failed; retrying");
            back_off(&mut retry_pause).await;
            if !dispatcher.is_change_current(change) {
                break;
            }
        }
    }
}

async fn write_change(source: &dyn Source, change: Change) -> Result<(), Fault> {
    let call = match &change {
        Change::Refuse(refused) => source.store_refused(refused),
        Change::Allow(refused) => source.delete_refused(refused),
    };
    timeout(SILENCE_TIMEOUT, call).await.unwrap_or_else(|_| Err(Fault::Lost("no answer in time".into())))
}

async fn back_off(retry_pause: &mut Duration) {
    sleep(retry_pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    *retry_pause = (*retry_pause * 2).min(MAX_RETRY_PAUSE);
}
