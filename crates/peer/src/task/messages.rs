//! Handling and sending of frames: heartbeats, news, digests and probes.

use std::collections::BTreeSet;

use bytes::Bytes;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::time::timeout;
use world::instance::{Id, Instance};

use super::Task;
use crate::{
    event::Event,
    inbound::Inbound,
    link::{LinkId, Received},
    member::Member,
    membership::Action,
    news::{Name, News},
    outbox::Heartbeat,
    pool::Pool,
    relay::{Message, Messages},
    server,
    topic::Topic,
    wire,
};

/// Maximum number of peers asked to probe a silent member.
const MAX_PROBERS: usize = 3;

impl Task {
    pub(super) fn on_frame(&mut self, link_id: &LinkId, received: Received) {
        // Ignore frames of a link that has since been replaced.
        let Some(link) = self.links.get_mut(&link_id.peer).filter(|link| link.id == *link_id) else { return };
        let now = self.clock.now();
        link.last_received = now;
        self.membership.record_frame(&link_id.peer, now);
        match received {
            Received::Heartbeat(heartbeat) => self.on_peer_heartbeat(&link_id.peer, heartbeat),
            Received::Message(message) => self.on_message(&link_id.peer, message),
            Received::Other => {}
        }
    }

    fn on_peer_heartbeat(&mut self, id: &Id, heartbeat: Heartbeat) {
        let now = self.clock.now();
        self.membership.merge(heartbeat.members, id, now);
        let mine = self.membership.view();
        let Some(link) = self.links.get_mut(id) else { return };
        link.outbox.compare_view(heartbeat.view, mine);
        if heartbeat.want_all {
            link.outbox.add_all(&self.membership);
        }
        // A topic known only to a later build has no owner here.
        let known = heartbeat.digests.into_iter().filter_map(|(topic, value)| Some((topic.try_into().ok()?, value)));
        link.pending_digests.extend(known);
        self.deliver_digests(id);
    }

    /// Hands a peer's pending digests to the topic owners; those that do not fit
    /// into the queue are retried on the next heartbeat.
    fn deliver_digests(&mut self, id: &Id) {
        let inbound = &self.inbound;
        let Some(link) = self.links.get_mut(id) else { return };
        link.pending_digests.retain(|topic, value| {
            let digest = Inbound::Digest { from: id.clone(), topic: *topic, value: value.clone() };
            inbound.try_send(digest).is_err()
        });
    }

    fn on_message(&mut self, from: &Id, message: Message) {
        match message {
            Message::News(news) => self.on_news(from, &news),
            Message::Have(name) if self.is_current(&name) => self.relay.on_have(from, name, self.clock.now()),
            Message::Have(_) => {}
            Message::Want(name) => {
                let messages = self.relay.on_want(from, &name);
                self.send_all(messages);
            }
            Message::Prune => self.relay.prune_link(from),
        }
    }

    /// Returns whether news is neither from this instance nor from a superseded run.
    fn is_current(&self, name: &Name) -> bool {
        let known = self.membership.get(&name.origin);
        let replaced = known.is_some_and(|m| m.instance.incarnation > name.incarnation);
        name.origin != self.settings.me.id && !replaced
    }

    fn on_news(&mut self, from: &Id, news: &News) {
        if !self.is_current(&news.name()) {
            return;
        }
        let (is_new, messages) = self.relay.on_news(from, news);
        if is_new {
            self.deliver(from, news);
        }
        self.send_all(messages);
    }

    /// Requests overdue news bodies. A link or instance in the tree is probably lost.
    pub(super) fn request_overdue_bodies(&mut self) {
        let messages = self.relay.request_overdue(self.clock.now());
        self.send_all(messages);
    }

    fn deliver(&self, from: &Id, news: &News) {
        // News of a topic known only to a later build is relayed but has no
        // owner here.
        let Ok(topic) = Topic::try_from(news.topic) else { return };
        self.pool.hybrid_clock().observe(news.stamp);
        let (origin, body) = (news.origin.clone(), news.body.clone());
        if self.inbound.try_send(Inbound::News { from: from.clone(), origin, topic, body }).is_err() {
            metrics::counter!("peer_news_dropped_total", "where" => "inbound").increment(1);
        }
    }

    pub(super) fn publish(&mut self, topic: Topic, body: Bytes) {
        self.last_sequence += 1;
        let me = &self.membership.me().instance;
        let present = self.membership.others().filter(|m| m.is_present()).count();
        let news = News {
            origin: me.id.clone(),
            incarnation: me.incarnation,
            sequence: self.last_sequence,
            topic: topic.number(),
            body,
            hops: 0,
            relay: self.links.len() < present,
            stamp: self.pool.hybrid_clock().stamp(),
        };
        let messages = self.relay.publish(&news);
        self.send_all(messages);
    }

    fn send_all(&self, messages: Messages) {
        for (id, message) in messages {
            if let Some(link) = self.links.get(&id) {
                link.send(wire::frame(message));
            }
        }
    }

    pub(super) fn set_digest(&mut self, topic: Topic, value: Bytes) {
        if self.digests.set(topic, value) {
            self.links.values_mut().for_each(|link| link.outbox.add_digest(topic));
        }
    }

    /// Sends one heartbeat on every link.
    pub(super) fn send_heartbeats(&mut self) {
        let ids: Vec<_> = self.links.keys().cloned().collect();
        for id in ids {
            self.deliver_digests(&id);
            self.send_heartbeat(&id);
        }
    }

    /// Sends the pending changes of each link immediately.
    pub(super) fn flush_links(&mut self) {
        let due: Vec<_> = self.links.iter().filter(|(_, l)| l.outbox.has_pending()).map(|(id, _)| id.clone()).collect();
        for id in due {
            while self.links.get(&id).is_some_and(|link| link.outbox.has_pending()) && self.send_heartbeat(&id) {}
        }
    }

    fn send_heartbeat(&mut self, id: &Id) -> bool {
        let Some(link) = self.links.get_mut(id) else { return false };
        let heartbeat = link.outbox.next_heartbeat(&self.membership, &self.digests);
        let sent = link.send(wire::frame(heartbeat));
        if sent {
            link.outbox.mark_sent();
        }
        sent
    }

    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Probe(member) => self.probe(&member),
            Action::Notify(member) => self.notify(member),
        }
    }

    /// Notifies a member that its entry is doubted, on its link or else on a new
    /// connection, on which it responds with its new entry.
    fn notify(&self, member: Member) {
        if let Some(link) = self.links.get(&member.instance.id) {
            let view = self.membership.view();
            link.send(wire::frame(Heartbeat { members: vec![member], view, ..Heartbeat::default() }));
            return;
        }
        self.spawn_probe(member, Vec::new());
    }

    /// Probes a member on a new connection and through peers in different failure
    /// domains.
    fn probe(&self, member: &Member) {
        let mut domains = BTreeSet::new();
        let linked = self.links.keys().filter(|id| **id != member.instance.id);
        let peers = linked.filter_map(|id| self.membership.get(id)).filter(|m| m.is_present());
        let distinct = peers.filter(|m| domains.insert(m.instance.domain.clone()));
        let probers = distinct.take(MAX_PROBERS).map(|m| m.instance.clone()).collect();
        self.spawn_probe(member.clone(), probers);
    }

    fn spawn_probe(&self, member: Member, probers: Vec<Instance>) {
        let (pool, events) = (self.pool.clone(), self.events.clone());
        let max_wait = self.settings.timing.dial_timeout() * 2;
        tokio::spawn(async move {
            let entry = timeout(max_wait, first_entry(&pool, &member, &probers)).await.ok().flatten();
            let id = member.instance.id.clone();
            // Fails only if the task has ended; nothing needs the result then.
            let _ = events.send(Event::Probed { id, entry }).await;
        });
    }
}

/// Returns the member's own entry from the first probe that obtains it.
async fn first_entry(pool: &Pool, member: &Member, probers: &[Instance]) -> Option<Member> {
    let replies: FuturesUnordered<BoxFuture<'_, Option<Member>>> = FuturesUnordered::new();
    replies.push(Box::pin(server::probe(pool, member)));
    for peer in probers {
        replies.push(Box::pin(probe_through(pool, peer, member)));
    }
    let mut entries = replies.filter_map(std::future::ready);
    entries.next().await
}

async fn probe_through(pool: &Pool, peer: &Instance, member: &Member) -> Option<Member> {
    let client = pool.client(peer).await.ok()?;
    server::request_entry(client, pool, member).await
}
