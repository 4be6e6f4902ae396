//! Persists the quarantine in the store, in case all instances are lost, and lets operators end it.
//!
//! Instances notify each other of what they refuse. The store is written only when a request
//! or a part of prompts enters or leaves quarantine, which is rare enough, and read at startup.
//! While there is a quarantine, one instance looks from time to time whether an operator has
//! deleted a record, and releases what it stood for at all instances.

use std::{collections::HashSet, sync::Arc, time::Duration};

use route::relay::content::Content;
use tokio::time::{sleep, timeout};

use crate::{
    dispatcher::Dispatcher,
    silence::{self, SILENCE_TIMEOUT},
    source::{Fault, Kind, Progress, Read, Record, Refused, Source},
};

/// Pause after a failed call; doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time between checks for records that an operator has deleted.
const DELETION_CHECK_INTERVAL: Duration = Duration::from_secs(5);

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

/// Reads the stored quarantine, writes changes to the store and releases what operators have
/// deleted there; never returns.
pub async fn synchronize(dispatcher: Arc<Dispatcher>, source: Arc<dyn Source>) {
    tokio::join!(
        restore(&dispatcher, &*source),
        write_changes(&dispatcher, &*source),
        release_deleted(&dispatcher, &*source)
    );
}

async fn restore(dispatcher: &Dispatcher, source: &dyn Source) {
    let mut retry_pause = RETRY_PAUSE;
    let refused = loop {
        match list(dispatcher, source, Read::AnyAge).await {
            Ok(refused) => break refused,
            Err(fault) => tracing::info!(%fault, "reading quarantined requests failed; retrying"),
        }
        back_off(&mut retry_pause).await;
    };
    dispatcher.restore_quarantine(refused);
}

/// Lists the quarantine in the store.
async fn list(dispatcher: &Dispatcher, source: &dyn Source, read: Read) -> Result<Vec<Refused>, Fault> {
    let progress = Progress::default();
    let listing = silence::bounded(&progress, Duration::ZERO, source.list(Kind::Quarantine, read, &progress)).await?;
    dispatcher.record_era(listing.revision.era);
    let refused = |change: crate::source::Change| match change.record {
        Some(Record::Refused(refused)) => Some(refused),
        _ => None,
    };
    Ok(listing.records.into_iter().filter_map(refused).collect())
}

/// Releases requests and parts whose records an operator has deleted; never returns.
async fn release_deleted(dispatcher: &Dispatcher, source: &dyn Source) {
    loop {
        sleep(DELETION_CHECK_INTERVAL).await;
        if dispatcher.is_leader()
            && dispatcher.has_quarantine()
            && let Err(fault) = release_deleted_once(dispatcher, source).await
        {
            tracing::info!(%fault, "reading quarantined requests failed; retrying");
        }
    }
}

async fn release_deleted_once(dispatcher: &Dispatcher, source: &dyn Source) -> Result<(), Fault> {
    // Taken before the store is read, which may not show what is written meanwhile.
    let mut missing = dispatcher.stored_quarantine();
    let era = dispatcher.era();
    // A listing of any age costs the store less, but may be older than a record.
    for read in [Read::AnyAge, Read::Latest] {
        let listed = list(dispatcher, source, read).await?;
        if dispatcher.era() != era {
            // The store has lost what is missing, which is written again.
            return Ok(());
        }
        let listed: HashSet<Content> = listed.iter().map(|refused| refused.content).collect();
        missing.retain(|content| !listed.contains(content));
        dispatcher.record_stored_quarantine(listed);
        if missing.is_empty() {
            return Ok(());
        }
    }
    dispatcher.release_quarantine(&missing);
    Ok(())
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
        dispatcher.record_stored_change(change);
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
