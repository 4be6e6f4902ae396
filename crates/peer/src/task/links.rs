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
    link::{Opened, Source},
    reader,
    spread::Spread,
    topic::Topic,
    topology,
    wire::{self, Greeting},
};

/// Heartbeats until the side that should not dial does.
const LATE: Millis = 3;

/// One link that stands.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) source: Source,
    pub(super) spread: Spread,
    /// Digests that their owner has not been given yet.
    pub(super) digests: BTreeMap<Topic, Bytes>,
    /// When the last frame came.
    pub(super) heard: Millis,
    sender: mpsc::Sender<Frame>,
    incarnation: Incarnation,
    /// We dialled.
    ours: bool,
    _reader: AbortOnDropHandle<()>,
}

impl Link {
    /// Puts a frame into the queue, unless it is full. A peer that does not
    /// read then misses frames: heartbeats repeat, changed entries stay due,
    /// digests make up for news.
    pub(super) fn send(&self, frame: Frame) -> bool {
        let sent = self.sender.try_send(frame).is_ok();
        if !sent {
            metrics::counter!("peer_frames_dropped_total").increment(1);
        }
        sent
    }

    pub(super) fn is_empty(&self) -> bool {
        self.sender.capacity() == self.sender.max_capacity() || self.sender.is_closed()
    }
}

impl Task {
    /// A peer dialled us and has greeted.
    pub(super) fn accept(
        &mut self,
        greeting: Greeting,
        incoming: Streaming<Frame>,
        reply: oneshot::Sender<Result<mpsc::Receiver<Frame>, Status>>,
    ) {
        let now = self.clock.now();
        let id = greeting.sender.instance.id.clone();
        if let Err(refusal) = self.examine(&greeting, false) {
            self.membership.merge(vec![greeting.sender], &id, now);
            // The peer may have given up.
            let _ = reply.send(Err(refusal));
            return;
        }
        let (sender, receiver) = mpsc::channel(self.settings.limits.frames);
        let answer =
            Greeting { sender: self.membership.me().clone(), full: self.is_full_for(&greeting.sender.instance) };
        // The queue is new and has room.
        let _ = sender.try_send(wire::frame(answer));
        if reply.send(Ok(receiver)).is_ok() {
            self.keep(greeting, sender, incoming, false);
        }
    }

    /// A peer that we dialled has greeted.
    pub(super) fn opened(&mut self, address: SocketAddr, wanted: Option<&Id>, opened: Opened) {
        let Opened { greeting, sender, incoming } = opened;
        let id = greeting.sender.instance.id.clone();
        if id == self.settings.me.id {
            return self.is_own(address);
        }
        if let Some(wanted) = wanted.filter(|wanted| **wanted != id) {
            // Another instance has taken over the address: the one we meant
            // is not there.
            self.membership.unreachable(wanted);
        }
        if self.examine(&greeting, true).is_err() {
            return;
        }
        let full = greeting.full;
        self.keep(greeting, sender, incoming, true);
        if full {
            self.dialling.rest(&id, self.clock.now());
        }
    }

    /// Whether a link with the greeted peer is to be kept.
    fn examine(&self, greeting: &Greeting, ours: bool) -> Result<(), Status> {
        let sender = &greeting.sender.instance;
        let me = &self.membership.me().instance;
        if sender.id == me.id && sender.incarnation >= me.incarnation {
            return Err(Status::already_exists("this is the same instance"));
        }
        if self.is_ended() {
            return Err(Status::unavailable("this instance is shutting down"));
        }
        if !self.membership.admits(&greeting.sender) {
            return Err(Status::aborted("a later run under this name is known"));
        }
        let Some(link) = self.links.get(&sender.id) else { return Ok(()) };
        // Both may dial at the same moment. Both ends keep the link that the
        // lower name dialled, so one of the two is left and not none.
        let lower_dialled = ours == (me.id < sender.id);
        let same_run = link.incarnation == sender.incarnation;
        if same_run && !lower_dialled && !link.sender.is_closed() {
            return Err(Status::already_exists("linked already"));
        }
        Ok(())
    }

    fn keep(&mut self, greeting: Greeting, sender: mpsc::Sender<Frame>, incoming: Streaming<Frame>, ours: bool) {
        let now = self.clock.now();
        let incarnation = greeting.sender.instance.incarnation;
        let id = greeting.sender.instance.id.clone();
        self.serial += 1;
        let source = Source { id: id.clone(), serial: self.serial };
        let rate = self.settings.limits.news;
        let reader = reader::read(incoming, source.clone(), self.events.clone(), self.clock, rate);
        self.membership.merge(vec![greeting.sender], &id, now);
        self.membership.heard(&id, now);
        self.dialling.met(&id);
        let spread = Spread::new(&self.membership, &self.digests);
        let link =
            Link { source, spread, digests: BTreeMap::new(), heard: now, sender, incarnation, ours, _reader: reader };
        tracing::debug!(peer = %id, link.ours, "linked");
        self.relay.linked(&id);
        self.links.insert(id, link);
        self.planned = None;
        // What is due goes out before the plan may close the link again: a
        // newcomer learns the fleet even from a peer without room.
        self.flush_links();
    }

    pub(super) fn closed(&mut self, source: &Source) {
        if self.links.get(&source.id).is_some_and(|link| link.source == *source) {
            tracing::debug!(peer = %source.id, "link ended");
            self.unlink(&source.id);
            let now = self.clock.now();
            if self.is_near(&source.id) {
                // Whoever should dial: a crashed peer refuses, and is found out
                // at once and not by its silence.
                self.dial_member(&source.id, now);
            } else {
                // It may have closed for want of room, and would do so for ever.
                self.dialling.rest(&source.id, now);
            }
        }
    }

    /// Closes links that bring nothing. The other end may have lost its side
    /// and dial anew, and would be refused as linked already for as long as
    /// TCP believes in the old connection.
    pub(super) fn close_silent(&mut self) {
        let now = self.clock.now();
        let silent = |link: &&Link| now.saturating_sub(link.heard) > self.settings.timing.silence;
        let silent: Vec<_> = self.links.values().filter(silent).map(|link| link.source.id.clone()).collect();
        for id in silent {
            tracing::info!(peer = %id, "link closed: silent");
            self.unlink(&id);
        }
    }

    fn unlink(&mut self, id: &Id) {
        self.links.remove(id);
        self.relay.unlinked(id);
        self.membership.unlinked(id, self.clock.now());
        self.planned = None;
    }

    /// Dials and closes as the topology plans.
    pub(super) fn keep_links(&mut self) {
        if self.is_ended() {
            // A word of this run would be taken for one of the later run's.
            let all = if self.membership.is_superseded() { self.linked() } else { Vec::new() };
            return all.iter().for_each(|id| self.unlink(id));
        }
        let now = self.clock.now();
        let linked = self.linked();
        let plan = {
            let counted = self.counted();
            topology::plan(&self.settings.me, &counted, &linked, self.settings.limits.links)
        };
        for id in &plan.close {
            tracing::debug!(peer = %id, "link closed: too many");
            self.unlink(id);
            self.dialling.rest(id, now);
        }
        self.dialling.forget_missing(|id| plan.late.contains(id));
        for id in &plan.dial {
            self.dial_member(id, now);
        }
        for id in &plan.late {
            if self.dialling.missing_for(id, now) >= LATE * self.settings.timing.heartbeat {
                self.dial_member(id, now);
            }
        }
        let chord = plan.chords.iter().find(|id| self.dialling.may_dial(id, now));
        if let Some(id) = chord.filter(|_| self.dialling.is_idle()) {
            self.dial_member(id, now);
        }
        self.membership.watch(plan.watch, now);
    }

    fn dial_member(&mut self, id: &Id, now: Millis) {
        if !self.dialling.may_dial(id, now) {
            return;
        }
        let member = self.membership.get(id).filter(|m| m.is_counted());
        if let Some(address) = member.map(|m| m.instance.peers) {
            self.dial(address, Some(id.clone()));
        }
    }

    /// The links' names, oldest first.
    fn linked(&self) -> Vec<Id> {
        let mut links: Vec<_> = self.links.values().collect();
        links.sort_by_key(|link| link.source.serial);
        links.into_iter().map(|link| link.source.id.clone()).collect()
    }

    fn counted(&self) -> Vec<&Instance> {
        self.membership.others().filter(|m| m.is_counted()).map(|m| &m.instance).collect()
    }

    fn is_near(&self, id: &Id) -> bool {
        topology::is_near(&self.settings.me, &self.counted(), id, self.settings.limits.links)
    }

    fn is_full_for(&self, other: &Instance) -> bool {
        let (counted, linked) = (self.counted(), self.linked());
        !topology::has_room(&self.settings.me, &counted, &linked, other, self.settings.limits.links)
    }
}
