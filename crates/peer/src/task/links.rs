//! Opening, keeping and closing links.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::AbortOnDropHandle;
use tonic::{Status, Streaming};
use world::{
    Millis,
    instance::{Id, Incarnation, Instance},
};

use super::Task;
use crate::{
    generated::Frame,
    link::{LinkId, Opened},
    outbox::Outbox,
    reader,
    topic::Topic,
    topology,
    wire::{self, Greeting},
};

/// Heartbeats to wait for a peer that should dial before dialling it instead.
const LATE_DIAL_HEARTBEATS: Millis = 3;

/// An open link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) id: LinkId,
    pub(super) outbox: Outbox,
    /// Digests of the peer that are not yet handed to the topic owners.
    pub(super) pending_digests: BTreeMap<Topic, Bytes>,
    /// Time of the last received frame.
    pub(super) last_received: Millis,
    sender: mpsc::Sender<Frame>,
    incarnation: Incarnation,
    /// Whether this instance dialled the link.
    ours: bool,
    _reader: AbortOnDropHandle<()>,
}

impl Link {
    /// Puts a frame into the queue and returns false if it is full. A peer that
    /// does not read then misses frames: heartbeats are repeated, changed
    /// entries stay pending, and digests reveal missed news.
    pub(super) fn send(&self, frame: Frame) -> bool {
        let sent = self.sender.try_send(frame).is_ok();
        if !sent {
            metrics::counter!("peer_frames_dropped_total").increment(1);
        }
        sent
    }

    pub(super) fn is_drained(&self) -> bool {
        self.sender.capacity() == self.sender.max_capacity() || self.sender.is_closed()
    }
}

impl Task {
    /// Handles the greeting of a peer that dialled this instance.
    pub(super) fn on_accept(
        &mut self,
        greeting: Greeting,
        incoming: Streaming<Frame>,
        reply: oneshot::Sender<Result<mpsc::Receiver<Frame>, Status>>,
    ) {
        let now = self.clock.now();
        let id = greeting.sender.instance.id.clone();
        if let Err(refusal) = self.check_greeting(&greeting, false) {
            self.membership.merge(vec![greeting.sender], &id, now);
            // Fails if the peer no longer waits.
            let _ = reply.send(Err(refusal));
            return;
        }
        let (sender, receiver) = mpsc::channel(self.settings.limits.frames);
        let answer =
            Greeting { sender: self.membership.me().clone(), full: self.is_full_for(&greeting.sender.instance) };
        // Cannot fail: the queue is empty.
        let _ = sender.try_send(wire::frame(answer));
        if reply.send(Ok(receiver)).is_ok() {
            self.add_link(greeting, sender, incoming, false);
        }
    }

    /// Handles the greeting of a peer that this instance dialled.
    pub(super) fn on_opened(&mut self, address: SocketAddr, wanted: Option<&Id>, opened: Opened) {
        let Opened { greeting, sender, incoming } = opened;
        let id = greeting.sender.instance.id.clone();
        if id == self.settings.me.id {
            return self.record_own_address(address);
        }
        if let Some(wanted) = wanted.filter(|wanted| **wanted != id) {
            // Another instance now uses the address, so the wanted one is
            // not reachable there.
            self.membership.record_unreachable(wanted);
        }
        if self.check_greeting(&greeting, true).is_err() {
            return;
        }
        let full = greeting.full;
        self.add_link(greeting, sender, incoming, true);
        if full {
            self.dialling.back_off(&id, self.clock.now());
        }
    }

    /// Checks whether a link with the greeting peer may be kept.
    fn check_greeting(&self, greeting: &Greeting, ours: bool) -> Result<(), Status> {
        let sender = &greeting.sender.instance;
        let me = &self.membership.me().instance;
        if sender.id == me.id && sender.incarnation >= me.incarnation {
            return Err(Status::already_exists("this is the same instance"));
        }
        if self.is_ended() {
            return Err(Status::unavailable("this instance is shutting down"));
        }
        if !self.membership.accepts(&greeting.sender) {
            return Err(Status::aborted("a later run under this name is known"));
        }
        let Some(link) = self.links.get(&sender.id) else { return Ok(()) };
        // Both sides may dial at the same time. Both keep the link that the
        // lower name dialled, so that exactly one of the two remains.
        let lower_dialled = ours == (me.id < sender.id);
        let same_run = link.incarnation == sender.incarnation;
        if same_run && !lower_dialled && !link.sender.is_closed() {
            return Err(Status::already_exists("linked already"));
        }
        Ok(())
    }

    fn add_link(&mut self, greeting: Greeting, sender: mpsc::Sender<Frame>, incoming: Streaming<Frame>, ours: bool) {
        let now = self.clock.now();
        let incarnation = greeting.sender.instance.incarnation;
        let id = greeting.sender.instance.id.clone();
        self.last_serial += 1;
        let link_id = LinkId { peer: id.clone(), serial: self.last_serial };
        let rate = self.settings.limits.news;
        let reader = reader::spawn_reader(incoming, link_id.clone(), self.events.clone(), self.clock, rate);
        self.membership.merge(vec![greeting.sender], &id, now);
        self.membership.record_frame(&id, now);
        self.dialling.record_linked(&id);
        let outbox = Outbox::new(&self.membership, &self.digests);
        let link = Link {
            id: link_id,
            outbox,
            pending_digests: BTreeMap::new(),
            last_received: now,
            sender,
            incarnation,
            ours,
            _reader: reader,
        };
        tracing::debug!(peer = %id, link.ours, "linked");
        self.relay.add_link(&id);
        self.links.insert(id, link);
        self.planned_revision = None;
        // Send pending changes before the plan may close the link again, so
        // that a new instance learns the members even from a peer that has no
        // room for its link.
        self.flush_links();
    }

    pub(super) fn on_closed(&mut self, closed: &LinkId) {
        if self.links.get(&closed.peer).is_some_and(|link| link.id == *closed) {
            tracing::debug!(peer = %closed.peer, "link ended");
            self.remove_link(&closed.peer);
            let now = self.clock.now();
            if self.is_neighbour(&closed.peer) {
                // Redial, whichever side is meant to dial: a crashed peer refuses
                // the connection and is detected at once instead of by silence.
                self.dial_member(&closed.peer, now);
            } else {
                // The peer may have closed the link because it has no room, and
                // would do so again and again.
                self.dialling.back_off(&closed.peer, now);
            }
        }
    }

    /// Closes links on which no frames arrive. The peer may have lost its side
    /// and dial again, and would be refused as a duplicate until TCP gives up
    /// the old connection.
    pub(super) fn close_silent_links(&mut self) {
        let now = self.clock.now();
        let silent = |link: &&Link| now.saturating_sub(link.last_received) > self.settings.timing.silence;
        let silent: Vec<_> = self.links.values().filter(silent).map(|link| link.id.peer.clone()).collect();
        for id in silent {
            tracing::info!(peer = %id, "link closed: silent");
            self.remove_link(&id);
        }
    }

    fn remove_link(&mut self, id: &Id) {
        self.links.remove(id);
        self.relay.remove_link(id);
        self.membership.record_link_closed(id, self.clock.now());
        self.planned_revision = None;
    }

    /// Dials and closes links as planned by the topology.
    pub(super) fn update_links(&mut self) {
        if self.is_ended() {
            // After a later run has taken over, peers could attribute frames of
            // this run to it.
            let all = if self.membership.is_superseded() { self.linked_ids() } else { Vec::new() };
            return all.iter().for_each(|id| self.remove_link(id));
        }
        let now = self.clock.now();
        let linked = self.linked_ids();
        let plan = {
            let others = self.present_peers();
            topology::plan(&self.settings.me, &others, &linked, self.settings.limits.links)
        };
        for id in &plan.close {
            tracing::debug!(peer = %id, "link closed: over the link limit");
            self.remove_link(id);
            self.dialling.back_off(id, now);
        }
        self.dialling.retain_missing(|id| plan.dial_later.contains(id));
        for id in &plan.dial {
            self.dial_member(id, now);
        }
        for id in &plan.dial_later {
            if self.dialling.missing_for(id, now) >= LATE_DIAL_HEARTBEATS * self.settings.timing.heartbeat {
                self.dial_member(id, now);
            }
        }
        let chord = plan.chords.iter().find(|id| self.dialling.may_dial(id, now));
        if let Some(id) = chord.filter(|_| self.dialling.is_idle()) {
            self.dial_member(id, now);
        }
        self.membership.set_watched(plan.watch, now);
    }

    fn dial_member(&mut self, id: &Id, now: Millis) {
        if !self.dialling.may_dial(id, now) {
            return;
        }
        let member = self.membership.get(id).filter(|m| m.is_present());
        if let Some(address) = member.map(|m| m.instance.peers) {
            self.dial(address, Some(id.clone()));
        }
    }

    /// Returns the names of the linked peers, oldest link first.
    fn linked_ids(&self) -> Vec<Id> {
        let mut links: Vec<_> = self.links.values().collect();
        links.sort_by_key(|link| link.id.serial);
        links.into_iter().map(|link| link.id.peer.clone()).collect()
    }

    fn present_peers(&self) -> Vec<&Instance> {
        self.membership.others().filter(|m| m.is_present()).map(|m| &m.instance).collect()
    }

    fn is_neighbour(&self, id: &Id) -> bool {
        topology::is_neighbour(&self.settings.me, &self.present_peers(), id, self.settings.limits.links)
    }

    fn is_full_for(&self, other: &Instance) -> bool {
        let (others, linked) = (self.present_peers(), self.linked_ids());
        !topology::has_room(&self.settings.me, &others, &linked, other, self.settings.limits.links)
    }
}
