//! Calls to the store, and what their answers prove.

use std::{sync::Arc, time::Duration};

use futures::{FutureExt, TryFutureExt};
use route::relay::freshness::Proof;

use super::Follower;
use crate::{
    clock, silence,
    source::{Batch, Fault, Kind, Listing, Read, Revision},
};

/// Pause after which an instance that watches the store makes another call for the catalog beside one that is silent:
/// some ten round trips, also where the store is several times slower than usual.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);

/// An answer of the store to a watch, or to a listing beside one that is silent.
enum Answer {
    /// A listing, and when it was asked for.
    Listing(Duration, Listing),
    Batch(Batch),
}

impl Follower {
    /// Returns how to list. The first listing of endpoints may be old: the watch from its
    /// revision, or the instance that synchronizes this one, delivers the later changes.
    pub(super) fn read_mode(&self) -> Read {
        let may_be_old = matches!(self.kind, Kind::Endpoints | Kind::Evacuations);
        if may_be_old && !self.has_listed { Read::AnyAge } else { Read::Latest }
    }

    /// Lists the kind and applies the listing.
    pub(super) async fn list(&mut self, read: Read, asked: Duration) -> Result<(), Fault> {
        let (source, progress, kind) = (Arc::clone(&self.source), Arc::clone(&self.progress), self.kind);
        let list = || {
            let asked = clock::now();
            source.list(kind, read, &progress).map_ok(move |listing| (asked, listing)).boxed()
        };
        let first = source.list(kind, read, &progress).map_ok(move |listing| (asked, listing)).boxed();
        let (asked, listing) = if self.repeats_silent_calls() {
            silence::repeated(&progress, Duration::ZERO, REPEAT_PAUSE, first, list).await?
        } else {
            silence::bounded(&progress, Duration::ZERO, first).await?
        };
        self.apply_read(read, asked, listing);
        Ok(())
    }

    /// Applies a listing that the store was asked for at `asked`, and what it proves.
    fn apply_read(&mut self, read: Read, asked: Duration, listing: Listing) {
        // An empty listing is a proof only while no catalog has been read: then there is none.
        let is_conclusive = !listing.records.is_empty() || self.dispatcher.catalog().is_none();
        let proves = self.kind == Kind::Catalog && read == Read::Latest && is_conclusive;
        if self.kind == Kind::Catalog {
            self.schedule.record_read(self.progress.transfer_time(), clock::now());
            self.dispatcher.set_narrow(self.schedule.was_last_read_long());
        }
        self.apply_listing(listing, asked);
        if proves {
            self.dispatcher.renew(asked, Proof::Read);
        }
    }

    /// Watches the kind from a revision and applies the changes.
    pub(super) async fn watch(&mut self, from: Revision, asked: Duration) -> Result<(), Fault> {
        // A watch that ended a little before the time would be followed by another one.
        let relisted_in = self.relist_at.map(|at| at.saturating_sub(asked) + Duration::from_millis(1));
        let wait = self.watch_wait(asked).min(relisted_in.unwrap_or(Duration::MAX));
        let (source, progress, kind) = (Arc::clone(&self.source), Arc::clone(&self.progress), self.kind);
        let list = || {
            let asked = clock::now();
            let listing = source.list(kind, Read::Latest, &progress);
            listing.map_ok(move |listing| Answer::Listing(asked, listing)).boxed()
        };
        let watch = source.watch(kind, from, wait, &progress).map_ok(Answer::Batch).boxed();
        let answer = if self.repeats_silent_calls() {
            silence::repeated(&progress, wait, REPEAT_PAUSE, watch, list).await?
        } else {
            silence::bounded(&progress, wait, watch).await?
        };
        match answer {
            Answer::Listing(asked, listing) => self.apply_read(Read::Latest, asked, listing),
            Answer::Batch(batch) => {
                self.apply_batch(batch);
                self.record_quiet_watch(asked);
            }
        }
        Ok(())
    }

    /// Records what a watch has proven that was started at `asked`.
    fn record_quiet_watch(&mut self, asked: Duration) {
        if self.kind == Kind::Catalog {
            self.dispatcher.renew(asked, Proof::QuietWatch);
            // A watch without changes proves less than a read, since it may have missed
            // one. With a read after each watch, callers are still served for three fifths
            // of the bound on revoked keys once the store is lost; for a long catalog, which
            // is not read after each watch, it is a third.
            if self.schedule.is_due(clock::now()) {
                self.revision = None;
            }
        }
    }

    /// Whether further calls are made beside one that is silent. Only the instances that watch the
    /// store do so, and only for the kind that all others wait for: each call is paid for. A catalog
    /// that takes long to transfer would fill the link if it were read several times at once.
    fn repeats_silent_calls(&self) -> bool {
        self.kind == Kind::Catalog && !self.schedule.was_last_read_long() && self.dispatcher.probes_store_often()
    }
}
