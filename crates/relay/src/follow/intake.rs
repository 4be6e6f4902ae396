//! Applies listings and changes from the store to this instance's state.

use std::{collections::HashSet, time::Duration};

use super::{ENDPOINT_CHANGES_PAUSE, Follower, LONG_OUTAGE};
use crate::{
    clock,
    dispatcher::{evacuations, synchronization},
    source::{Batch, Change, Endpoint, Kind, Listing, Record, Revision},
};

impl Follower {
    /// Applies a whole listing that the store was asked for at `asked`. Endpoints that it lacks are
    /// removed, at once unless the store was unreachable for so long that their registrations may
    /// merely have expired, or has come back from a copy without them.
    pub(super) fn apply_listing(&mut self, listing: Listing, asked: Duration) {
        self.dispatcher.record_era(listing.revision.era);
        // Another instance may already have delivered newer changes. This listing would
        // undo them, and they would not be delivered again.
        let known = self.dispatcher.endpoints_revision();
        if self.kind == Kind::Endpoints && listing.revision < known {
            tracing::info!(listed = %listing.revision, %known, "listing is older than what is known, not applied");
            self.revision = Some(listing.revision);
            return;
        }
        if self.kind == Kind::Endpoints {
            self.compare_endpoints(&listing);
        }
        self.revision = Some(listing.revision);
        let is_relisted = matches!(self.kind, Kind::Catalog | Kind::Evacuations | Kind::Rollouts);
        self.relist_at = self.dispatcher.complete_after(asked).filter(|_| is_relisted);
        let revision = listing.revision;
        match self.kind {
            Kind::Evacuations => self.replace_evacuations(listing),
            Kind::Rollouts if self.relist_at.is_some() => self.apply_unknown_orders(listing),
            _ => self.apply_records(listing),
        }
        self.has_listed = true;
        self.first_listed.get_or_insert_with(clock::now);
        match self.kind {
            Kind::Endpoints => self.dispatcher.mark_listed(),
            Kind::Rollouts => self.dispatcher.record_orders_revision(revision),
            Kind::Catalog | Kind::Instances | Kind::Quarantine | Kind::Evacuations => {}
        }
    }

    /// Replaces the known evacuations by those of a listing.
    fn replace_evacuations(&self, listing: Listing) {
        // An evacuation lasts as long as its record exists, whatever that contains.
        let readable = listing.records.into_iter().map(|change| change.name);
        let mut domains: Vec<String> = readable.chain(listing.unreadable).collect();
        if self.relist_at.is_some() {
            domains.extend(self.dispatcher.evacuations().domains);
        }
        self.dispatcher.replace_evacuations(evacuations::Snapshot { revision: listing.revision, domains });
    }

    /// Applies those rollouts of a listing that cannot be older than the known ones.
    fn apply_unknown_orders(&mut self, listing: Listing) {
        for change in listing.records {
            if let Some(Record::Rollout(rollout)) = change.record
                && self.dispatcher.known_target(&rollout.service).is_none_or(|target| target == rollout.target)
            {
                self.dispatcher.apply_order(rollout);
            }
        }
    }

    /// Applies the records of a listing one by one. Endpoints whose records cannot be decoded
    /// are removed.
    fn apply_records(&mut self, listing: Listing) {
        let gone = listing.unreadable.into_iter().filter(|_| self.kind == Kind::Endpoints);
        let gone: Vec<Change> = gone.map(|name| Change { name, record: None }).collect();
        for change in listing.records.into_iter().chain(gone) {
            self.apply_change(change);
        }
    }

    /// Applies the changes that a watch returned.
    pub(super) fn apply_batch(&mut self, batch: Batch) {
        let Batch { revision, changes } = batch;
        self.dispatcher.record_era(revision.era);
        self.revision = Some(revision);
        if self.kind == Kind::Rollouts {
            self.dispatcher.record_orders_revision(revision);
        }
        if self.kind == Kind::Evacuations {
            self.dispatcher.apply_evacuation_changes(revision, changes);
            return;
        }
        if self.kind == Kind::Endpoints {
            let mut announced: Vec<synchronization::Change> = changes.iter().filter_map(endpoint_change).collect();
            if revision > self.dispatcher.endpoints_revision() {
                announced.splice(0..0, self.lapses.take_removals());
            }
            self.dispatcher.record_changes(revision, announced);
            if !changes.is_empty() {
                self.pause = Some(ENDPOINT_CHANGES_PAUSE);
            }
        }
        for change in changes {
            self.apply_change(change);
        }
    }

    /// Compares the known endpoints with a listing, removes those that it lacks, and records
    /// the differences for the instances that this one keeps synchronized.
    ///
    /// Without the recorded differences, each of those instances would have to list the
    /// endpoints too whenever the store has compacted its history or was unreachable.
    fn compare_endpoints(&mut self, listing: &Listing) {
        let now = clock::now();
        let outage = self.lost_since.is_some_and(|since| now.saturating_sub(since) > LONG_OUTAGE)
            || self.dispatcher.rewriting_left().is_some();
        let listed: Vec<&Endpoint> = listing.records.iter().filter_map(listed_endpoint).collect();
        // An endpoint whose record is listed but unreadable has not lapsed; it is removed at
        // once.
        let listed_ids: HashSet<&str> =
            listed.iter().map(|other| other.id.as_str()).chain(listing.unreadable.iter().map(String::as_str)).collect();
        let is_missing = |id: &String| !listed_ids.contains(id.as_str());
        let missing: Vec<String> = self.dispatcher.endpoint_names().into_iter().filter(is_missing).collect();
        let kept: Vec<&str> = if outage { missing.iter().map(String::as_str).collect() } else { Vec::new() };
        if self.dispatcher.endpoints_revision() == Revision::default() {
            self.dispatcher.record_listing(listing.revision);
        } else {
            let mut announced = self.dispatcher.differences(&listed, &kept);
            if listing.revision > self.dispatcher.endpoints_revision() {
                announced.splice(0..0, self.lapses.take_removals());
            }
            self.dispatcher.record_changes(listing.revision, announced);
        }
        for id in missing {
            if outage {
                self.lapses.add(id, now);
            } else {
                self.dispatcher.remove_endpoint(&id);
            }
        }
    }

    /// Applies one change.
    fn apply_change(&mut self, change: Change) {
        match change.record {
            Some(Record::Catalog(catalog)) => {
                self.dispatcher.install(*catalog);
            }
            Some(Record::Endpoint(endpoint)) => {
                self.lapses.record_registered(&endpoint.id);
                self.dispatcher.register_endpoint(endpoint);
            }
            Some(Record::Rollout(rollout)) => self.dispatcher.apply_order(rollout),
            Some(Record::Instance(instance)) => self.dispatcher.discover_peer(&instance.name, instance.news),
            Some(Record::Refused(refused)) => self.dispatcher.restore_quarantine([refused]),
            Some(Record::Evacuation) => {}
            None => match self.kind {
                Kind::Endpoints => self.dispatcher.remove_endpoint(&change.name),
                Kind::Rollouts => self.dispatcher.withdraw_order(&change.name),
                Kind::Instances => self.dispatcher.forget_peer(&change.name),
                Kind::Quarantine | Kind::Evacuations => {}
                Kind::Catalog => tracing::warn!("catalog deleted in the store; the last one stays in force"),
            },
        }
    }
}

fn listed_endpoint(change: &Change) -> Option<&Endpoint> {
    match &change.record {
        Some(Record::Endpoint(endpoint)) => Some(endpoint),
        _ => None,
    }
}

fn endpoint_change(change: &Change) -> Option<synchronization::Change> {
    match &change.record {
        Some(Record::Endpoint(endpoint)) => Some(synchronization::Change::Known(endpoint.clone())),
        Some(_) => None,
        None => Some(synchronization::Change::Gone(change.name.clone())),
    }
}
