//! Streams of events, progress and leaving.

use std::time::Duration;

use futures::Stream;
use operator::{Draining, Events, wire};
use timeline::Filter;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tonic::Status;

use super::{Handles, Phase, fleet::View};

/// Longest pause between two pages of a stream that is followed: how far
/// behind the slowest instance the merged order runs.
const CLOCK: Duration = Duration::from_millis(500);

/// Pause for further events, so that a busy instance sends pages, not records.
const GATHER: Duration = Duration::from_millis(50);

/// Records in one message.
const PAGE: usize = 1_000;

/// Pause between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(200);

/// Longest silence of a stream whose state does not change.
const REMIND: Duration = Duration::from_secs(2);

/// Longest wait that a server keeps for a caller.
pub(super) const LONGEST_WAIT: Duration = Duration::from_mins(10);

/// Pages of this instance's events.
pub(super) fn events(
    handles: Handles,
    mut filter: Filter,
    follow: bool,
    stop: CancellationToken,
) -> impl Stream<Item = Result<wire::Page, Status>> + Send + 'static {
    let mut changed = handles.recorder.subscribe();
    async_stream::stream! {
        loop {
            changed.mark_unchanged();
            // The clock before the query: what is recorded after the query
            // has a later stamp, so nothing at or before `now` can follow.
            let now = handles.recorder.clock();
            let page = handles.recorder.query(&filter);
            filter.after = page.last;
            filter.limit = 0;
            for page in split(Events { page, now }) {
                yield Ok((&page).into());
            }
            if !follow {
                break;
            }
            tokio::select! {
                () = stop.cancelled() => break,
                () = tokio::time::sleep(CLOCK) => {}
                result = changed.changed() => {
                    if result.is_err() { break; }
                    tokio::time::sleep(GATHER).await;
                }
            }
        }
    }
}

/// Parts a long page; only the last part may tell the clock, because records
/// of the parts after the first are earlier than it.
fn split(events: Events) -> Vec<Events> {
    let Events { mut page, now } = events;
    let mut parts = Vec::new();
    while page.records.len() > PAGE {
        let rest = page.records.split_off(PAGE);
        let mut part = page.clone();
        part.last = part.records.last().map_or(0, |record| record.number);
        parts.push(Events { page: part, now: timeline::Stamp::default() });
        page.records = rest;
        page.overflowed_before = None;
        page.limited_before = None;
    }
    parts.push(Events { page, now });
    parts
}

/// Progress until a generation is in force everywhere, or the time is over.
pub(super) fn progress(
    handles: Handles,
    generation: u64,
    longest: Duration,
    stop: CancellationToken,
) -> impl Stream<Item = Result<wire::WaitProgress, Status>> + Send + 'static {
    async_stream::stream! {
        let deadline = Instant::now() + longest;
        let mut view = View::default();
        let mut told: Option<wire::WaitProgress> = None;
        let mut told_at = Instant::now();
        loop {
            let progress = view.progress(&handles, generation).await;
            let done = progress.done;
            let message = wire::WaitProgress::from(&progress);
            if told.as_ref() != Some(&message) || told_at.elapsed() >= REMIND {
                told = Some(message.clone());
                told_at = Instant::now();
                yield Ok(message);
            }
            if done || Instant::now() >= deadline {
                break;
            }
            tokio::select! {
                () = stop.cancelled() => break,
                () = tokio::time::sleep(LOOK) => {}
            }
        }
    }
}

/// Requests in flight until this instance has finished.
///
/// Goes on while the listener closes: the last message is what the operator
/// waits for.
pub(super) fn draining(handles: &Handles) -> impl Stream<Item = Result<wire::DrainProgress, Status>> + Send + use<> {
    let mut duty = handles.duty.clone();
    let instance = handles.recorder.source().instance.clone();
    async_stream::stream! {
        loop {
            let now = *duty.borrow_and_update();
            let done = now.phase == Phase::Finished;
            let draining = Draining { instance: instance.clone(), in_flight: now.in_flight, done };
            yield Ok((&draining).into());
            if done || duty.changed().await.is_err() {
                break;
            }
        }
    }
}
