//! Broadcast of news in a fleet without a full mesh of links. Does no I/O.
//!
//! Bodies are pushed along a tree that emerges from the traffic, as in Plumtree:
//! a link that delivers a duplicate body is pruned and from then on carries only
//! the items' identifiers ([`Name`]). If a body does not arrive in time after
//! its name, it is requested from a link that offered the name, and that link
//! joins the tree. This repairs the tree when an instance or link is lost.
//! Flooding would send a body once per link; the tree sends it about once per
//! instance (docs/design/membership.md has the figures).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use world::{Millis, instance::Id};

use crate::news::{Name, News, Seen};

#[cfg(test)]
mod tests;

/// Time to wait for a body after its name arrived, in milliseconds: longer than
/// a body takes through the tree, and short compared with a heartbeat interval.
pub const BODY_TIMEOUT: Millis = 150;
/// Maximum number of recent items kept to serve requests for their bodies.
const MAX_KEPT: usize = 256;
/// Maximum total size of the kept bodies in bytes, to bound memory use.
const MAX_KEPT_BYTES: usize = 2 << 20;
/// Maximum number of names whose bodies are awaited, so that a flood of names
/// does not use unbounded memory.
const MAX_MISSING: usize = 1_024;
/// Maximum number of links that news travels; far above the length of any path.
const MAX_HOPS: u32 = 16;

/// A message to send on one link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A news item with its body.
    News(News),
    /// Offers an item by its name.
    Have(Name),
    /// Requests the body of an offered item.
    Want(Name),
    /// Tells the peer to send only names on this link.
    Prune,
}

/// Messages, each with the peer on whose link it is to be sent.
pub type Messages = Vec<(Id, Message)>;

/// State of this instance in the broadcast tree.
#[derive(Debug, Default)]
pub struct Relay {
    seen: Seen,
    /// Linked peers in the tree, to which bodies are sent.
    eager: BTreeSet<Id>,
    /// Linked peers outside the tree, to which only names are sent.
    lazy: BTreeSet<Id>,
    /// Recent items, oldest first, to serve requests for their bodies.
    kept: VecDeque<News>,
    kept_bytes: usize,
    /// Items whose names were offered and whose bodies are awaited.
    missing: BTreeMap<Name, Missing>,
}

#[derive(Debug)]
struct Missing {
    /// Time at which the body is requested from the next peer.
    due: Millis,
    /// Peers that offered the item and were not yet asked for it.
    offers: VecDeque<Id>,
}

impl Relay {
    /// Adds a new link. It belongs to the tree until it delivers a duplicate.
    pub fn add_link(&mut self, id: &Id) {
        self.lazy.remove(id);
        self.eager.insert(id.clone());
    }

    /// Removes a closed link.
    pub fn remove_link(&mut self, id: &Id) {
        self.lazy.remove(id);
        self.eager.remove(id);
    }

    /// Forgets origins that are no longer known.
    pub fn retain_origins(&mut self, known: impl Fn(&Id) -> bool) {
        self.seen.retain_origins(known);
    }

    /// Publishes news of this instance and returns the messages to send.
    pub fn publish(&mut self, news: &News) -> Messages {
        self.seen.insert(&news.name());
        if news.relay {
            self.keep_body(news.clone());
            return self.push(news, None);
        }
        let links = self.eager.iter().chain(&self.lazy);
        links.map(|id| (id.clone(), Message::News(news.clone()))).collect()
    }

    /// Handles a received item; returns whether it is new and the messages to send.
    pub fn on_news(&mut self, from: &Id, news: &News) -> (bool, Messages) {
        let name = news.name();
        self.missing.remove(&name);
        if !self.seen.insert(&name) {
            let prune = news.relay && self.eager.contains(from);
            self.prune_link(from);
            let reply = prune.then(|| (from.clone(), Message::Prune));
            return (false, reply.into_iter().collect());
        }
        if !news.relay || news.hops >= MAX_HOPS {
            return (true, Messages::new());
        }
        self.graft_link(from);
        let next = News { hops: news.hops + 1, ..news.clone() };
        let messages = self.push(&next, Some(from));
        self.keep_body(next);
        (true, messages)
    }

    /// Handles an offered name: starts waiting for the body unless it was seen.
    pub fn on_have(&mut self, from: &Id, name: Name, now: Millis) {
        if self.seen.contains(&name) || (self.missing.len() >= MAX_MISSING && !self.missing.contains_key(&name)) {
            return;
        }
        let missing =
            self.missing.entry(name).or_insert_with(|| Missing { due: now + BODY_TIMEOUT, offers: VecDeque::new() });
        if !missing.offers.contains(from) {
            missing.offers.push_back(from.clone());
        }
    }

    /// Handles a request for an offered body. The peer's path through the tree
    /// is broken, so its link joins the tree.
    pub fn on_want(&mut self, from: &Id, name: &Name) -> Messages {
        self.graft_link(from);
        let kept = self.kept.iter().find(|news| news.name() == *name);
        kept.map(|news| (from.clone(), Message::News(news.clone()))).into_iter().collect()
    }

    /// Removes a link from the tree, so that it carries only names.
    pub fn prune_link(&mut self, id: &Id) {
        if self.eager.remove(id) {
            self.lazy.insert(id.clone());
        }
    }

    /// Returns the earliest time at which an awaited body is overdue.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.missing.values().map(|missing| missing.due).min()
    }

    /// Requests overdue bodies, each from the next peer that offered it.
    pub fn request_overdue(&mut self, now: Millis) -> Messages {
        let is_overdue = |missing: &Missing| missing.due <= now;
        // Give up on a body when no peer is left to request it from; the topic
        // owner detects the loss by the digests.
        self.missing.retain(|_, missing| !is_overdue(missing) || !missing.offers.is_empty());
        let mut messages = Messages::new();
        for (name, missing) in self.missing.iter_mut().filter(|(_, missing)| is_overdue(missing)) {
            missing.due = now + BODY_TIMEOUT;
            let offer = missing.offers.pop_front();
            messages.extend(offer.map(|id| (id, Message::Want(name.clone()))));
        }
        for (id, _) in &messages {
            self.graft_link(id);
        }
        messages
    }

    fn graft_link(&mut self, id: &Id) {
        if self.lazy.remove(id) {
            self.eager.insert(id.clone());
        }
    }

    fn push(&self, news: &News, from: Option<&Id>) -> Messages {
        let other = |id: &&Id| Some(*id) != from && **id != news.origin;
        let bodies = self.eager.iter().filter(other).map(|id| (id.clone(), Message::News(news.clone())));
        let names = self.lazy.iter().filter(other).map(|id| (id.clone(), Message::Have(news.name())));
        bodies.chain(names).collect()
    }

    fn keep_body(&mut self, news: News) {
        self.kept_bytes += news.body.len();
        self.kept.push_back(news);
        while self.kept.len() > MAX_KEPT || self.kept_bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.kept.pop_front() else { return };
            self.kept_bytes -= oldest.body.len();
        }
    }
}
