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
    link::{Received, Source},
    member::Member,
    membership::Action,
    news::{Name, News},
    pool::Pool,
    relay::{Message, Messages},
    server,
    spread::Heartbeat,
    topic::Topic,
    wire,
};

/// Maximum number of peers asked to probe a silent member.
const PROBERS: usize = 3;

impl Task {
    pub(super) fn received(&mut self, source: &Source, received: Received) {
        // Ignore frames of a link that has since been replaced.
        let Some(link) = self.links.get_mut(&source.id).filter(|link| link.source == *source) else { return };
        let now = self.clock.now();
        link.heard = now;
        self.membership.heard(&source.id, now);
        match received {
            Received::Heartbeat(heartbeat) => self.heartbeat_from(&source.id, heartbeat),
            Received::Message(message) => self.message_from(&source.id, message),
            Received::Other => {}
        }
    }

    fn heartbeat_from(&mut self, id: &Id, heartbeat: Heartbeat) {
        let now = self.clock.now();
        self.membership.merge(heartbeat.members, id, now);
        let mine = self.membership.view();
        let Some(link) = self.links.get_mut(id) else { return };
        link.spread.compare(heartbeat.view, mine);
        if heartbeat.want_all {
            link.spread.add_all(&self.membership);
        }
        // A topic known only to a later build has no owner here.
        let known = heartbeat.digests.into_iter().filter_map(|(topic, value)| Some((topic.try_into().ok()?, value)));
        link.digests.extend(known);
        self.hand_over_digests(id);
    }

    /// Hands a peer's pending digests to the topic owners; those that do not fit
    /// into the queue are retried on the next heartbeat.
    fn hand_over_digests(&mut self, id: &Id) {
        let inbound = &self.inbound;
        let Some(link) = self.links.get_mut(id) else { return };
        link.digests.retain(|topic, value| {
            let digest = Inbound::Digest { from: id.clone(), topic: *topic, value: value.clone() };
            inbound.try_send(digest).is_err()
        });
    }

    fn message_from(&mut self, from: &Id, message: Message) {
        match message {
            Message::News(news) => self.news_from(from, &news),
            Message::Have(name) if self.is_of_now(&name) => self.relay.have(from, name, self.clock.now()),
            Message::Have(_) => {}
            Message::Want(name) => {
                let messages = self.relay.want(from, &name);
                self.send_all(messages);
            }
            Message::Prune => self.relay.prune(from),
        }
    }

    /// Returns whether news is neither from this instance nor from a superseded run.
    fn is_of_now(&self, name: &Name) -> bool {
        let known = self.membership.get(&name.origin);
        let replaced = known.is_some_and(|m| m.instance.incarnation > name.incarnation);
        name.origin != self.settings.me.id && !replaced
    }

    fn news_from(&mut self, from: &Id, news: &News) {
        if !self.is_of_now(&news.name()) {
            return;
        }
        let (is_new, messages) = self.relay.news(from, news);
        if is_new {
            self.deliver(from, news);
        }
        self.send_all(messages);
    }

    /// Requests overdue news bodies. A link or instance in the tree is probably lost.
    pub(super) fn ask_late(&mut self) {
        let messages = self.relay.ask(self.clock.now());
        self.send_all(messages);
    }

    fn deliver(&self, from: &Id, news: &News) {
        // News of a topic known only to a later build is relayed but has no
        // owner here.
        let Ok(topic) = Topic::try_from(news.topic) else { return };
        self.pool.ticks().observe(news.stamp);
        let (origin, body) = (news.origin.clone(), news.body.clone());
        if self.inbound.try_send(Inbound::News { from: from.clone(), origin, topic, body }).is_err() {
            metrics::counter!("peer_news_dropped_total", "where" => "inbound").increment(1);
        }
    }

    pub(super) fn publish(&mut self, topic: Topic, body: Bytes) {
        self.published += 1;
        let me = &self.membership.me().instance;
        let counted = self.membership.others().filter(|m| m.is_counted()).count();
        let news = News {
            origin: me.id.clone(),
            incarnation: me.incarnation,
            sequence: self.published,
            topic: topic.number(),
            body,
            hops: 0,
            relay: self.links.len() < counted,
            stamp: self.pool.ticks().stamp(),
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
            self.links.values_mut().for_each(|link| link.spread.add_digest(topic));
        }
    }

    /// Sends one heartbeat on every link.
    pub(super) fn beat_links(&mut self) {
        let ids: Vec<_> = self.links.keys().cloned().collect();
        for id in ids {
            self.hand_over_digests(&id);
            self.beat_link(&id);
        }
    }

    /// Sends the pending changes of each link immediately.
    pub(super) fn flush_links(&mut self) {
        let due: Vec<_> = self.links.iter().filter(|(_, l)| l.spread.is_due()).map(|(id, _)| id.clone()).collect();
        for id in due {
            while self.links.get(&id).is_some_and(|link| link.spread.is_due()) && self.beat_link(&id) {}
        }
    }

    fn beat_link(&mut self, id: &Id) -> bool {
        let Some(link) = self.links.get_mut(id) else { return false };
        let heartbeat = link.spread.next(&self.membership, &self.digests);
        let sent = link.send(wire::frame(heartbeat));
        if sent {
            link.spread.sent();
        }
        sent
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Probe(member) => self.probe(&member),
            Action::Tell(member) => self.tell(member),
        }
    }

    /// Notifies a member that its entry is doubted, on its link or else on a new
    /// connection, on which it responds with its new entry.
    fn tell(&self, member: Member) {
        if let Some(link) = self.links.get(&member.instance.id) {
            let view = self.membership.view();
            link.send(wire::frame(Heartbeat { members: vec![member], view, ..Heartbeat::default() }));
            return;
        }
        self.ask(member, Vec::new());
    }

    /// Probes a member on a new connection and through peers in different failure
    /// domains.
    fn probe(&self, member: &Member) {
        let mut domains = BTreeSet::new();
        let linked = self.links.keys().filter(|id| **id != member.instance.id);
        let peers = linked.filter_map(|id| self.membership.get(id)).filter(|m| m.is_counted());
        let apart = peers.filter(|m| domains.insert(m.instance.domain.clone()));
        let probers = apart.take(PROBERS).map(|m| m.instance.clone()).collect();
        self.ask(member.clone(), probers);
    }

    fn ask(&self, member: Member, probers: Vec<Instance>) {
        let (pool, events) = (self.pool.clone(), self.events.clone());
        let within = self.settings.timing.dial() * 2;
        tokio::spawn(async move {
            let word = timeout(within, first_word(&pool, &member, &probers)).await.ok().flatten();
            let id = member.instance.id.clone();
            // Sending fails only if the task has ended, which needs no event.
            let _ = events.send(Event::Probed { id, word }).await;
        });
    }
}

/// Returns the member's own entry from the first probe that obtains it.
async fn first_word(pool: &Pool, member: &Member, probers: &[Instance]) -> Option<Member> {
    let answers: FuturesUnordered<BoxFuture<'_, Option<Member>>> = FuturesUnordered::new();
    answers.push(Box::pin(server::probe(pool, member)));
    for peer in probers {
        answers.push(Box::pin(probe_through(pool, peer, member)));
    }
    let mut words = answers.filter_map(std::future::ready);
    words.next().await
}

async fn probe_through(pool: &Pool, peer: &Instance, member: &Member) -> Option<Member> {
    let client = pool.client(peer).await.ok()?;
    server::ask(client, pool, member).await
}
