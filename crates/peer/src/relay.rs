//! Broadcast of news in a fleet without a full mesh of links. Does no I/O.
//!
//! Bodies are pushed along a tree that emerges from the traffic: a link that
//! delivers a duplicate body is pruned and carries only names from then on. If
//! a body does not arrive in time after its name, it is requested from a link
//! that offered the name, and that link joins the tree. This repairs the tree
//! when an instance or link is lost. Flooding would send a body once per link;
//! the tree sends it about once per instance (docs/design/membership.md has
//! the figures).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use world::{Millis, instance::Id};

use crate::news::{Name, News, Seen};

#[cfg(test)]
mod tests;

/// Time to wait for a body after its name arrived, in milliseconds: longer than
/// a body takes through the tree, and short compared with a heartbeat interval.
pub const WAIT: Millis = 150;
/// Maximum number of recent items kept to serve requests for their bodies.
const KEPT: usize = 256;
/// Maximum total size of the kept bodies in bytes, to bound memory use.
const KEPT_BYTES: usize = 2 << 20;
/// Maximum number of names whose bodies are awaited, so that a flood of names
/// does not use unbounded memory.
const MISSING: usize = 1_024;
/// Maximum number of links that news travels; far above the length of any path.
const HOPS: u32 = 16;

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
    kept: VecDeque<News>,
    kept_bytes: usize,
    missing: BTreeMap<Name, Missing>,
}

#[derive(Debug)]
struct Missing {
    due: Millis,
    offers: VecDeque<Id>,
}

impl Relay {
    /// Adds a new link. It belongs to the tree until it delivers a duplicate.
    pub fn linked(&mut self, id: &Id) {
        self.lazy.remove(id);
        self.eager.insert(id.clone());
    }

    /// Removes a closed link.
    pub fn unlinked(&mut self, id: &Id) {
        self.lazy.remove(id);
        self.eager.remove(id);
    }

    /// Forgets origins that are no longer known.
    pub fn keep(&mut self, known: impl Fn(&Id) -> bool) {
        self.seen.keep(known);
    }

    /// Publishes news of this instance and returns the messages to send.
    pub fn publish(&mut self, news: &News) -> Messages {
        self.seen.is_new(&news.name());
        if news.relay {
            self.retain(news.clone());
            return self.spread(news, None);
        }
        let links = self.eager.iter().chain(&self.lazy);
        links.map(|id| (id.clone(), Message::News(news.clone()))).collect()
    }

    /// Handles a received item; returns whether it is new and the messages to send.
    pub fn news(&mut self, from: &Id, news: &News) -> (bool, Messages) {
        let name = news.name();
        self.missing.remove(&name);
        if !self.seen.is_new(&name) {
            let prune = news.relay && self.eager.contains(from);
            self.prune(from);
            let told = prune.then(|| (from.clone(), Message::Prune));
            return (false, told.into_iter().collect());
        }
        if !news.relay || news.hops >= HOPS {
            return (true, Messages::new());
        }
        self.graft(from);
        let next = News { hops: news.hops + 1, ..news.clone() };
        let messages = self.spread(&next, Some(from));
        self.retain(next);
        (true, messages)
    }

    /// Handles an offered name: starts waiting for the body unless it was seen.
    pub fn have(&mut self, from: &Id, name: Name, now: Millis) {
        if self.seen.has(&name) || (self.missing.len() >= MISSING && !self.missing.contains_key(&name)) {
            return;
        }
        let missing = self.missing.entry(name).or_insert_with(|| Missing { due: now + WAIT, offers: VecDeque::new() });
        if !missing.offers.contains(from) {
            missing.offers.push_back(from.clone());
        }
    }

    /// Handles a request for an offered body. The peer's path through the tree
    /// is broken, so its link joins the tree.
    pub fn want(&mut self, from: &Id, name: &Name) -> Messages {
        self.graft(from);
        let kept = self.kept.iter().find(|news| news.name() == *name);
        kept.map(|news| (from.clone(), Message::News(news.clone()))).into_iter().collect()
    }

    /// Removes a link from the tree, so that it carries only names.
    pub fn prune(&mut self, id: &Id) {
        if self.eager.remove(id) {
            self.lazy.insert(id.clone());
        }
    }

    /// Returns the earliest time at which an awaited body is overdue.
    #[must_use]
    pub fn due(&self) -> Option<Millis> {
        self.missing.values().map(|missing| missing.due).min()
    }

    /// Requests overdue bodies, each from the next peer that offered it.
    pub fn ask(&mut self, now: Millis) -> Messages {
        let late = |missing: &Missing| missing.due <= now;
        // No peer is left to ask; the topic owner detects the loss by the digests.
        self.missing.retain(|_, missing| !late(missing) || !missing.offers.is_empty());
        let mut messages = Messages::new();
        for (name, missing) in self.missing.iter_mut().filter(|(_, missing)| late(missing)) {
            missing.due = now + WAIT;
            let offer = missing.offers.pop_front();
            messages.extend(offer.map(|id| (id, Message::Want(name.clone()))));
        }
        for (id, _) in &messages {
            self.graft(id);
        }
        messages
    }

    fn graft(&mut self, id: &Id) {
        if self.lazy.remove(id) {
            self.eager.insert(id.clone());
        }
    }

    fn spread(&self, news: &News, from: Option<&Id>) -> Messages {
        let other = |id: &&Id| Some(*id) != from && **id != news.origin;
        let bodies = self.eager.iter().filter(other).map(|id| (id.clone(), Message::News(news.clone())));
        let names = self.lazy.iter().filter(other).map(|id| (id.clone(), Message::Have(news.name())));
        bodies.chain(names).collect()
    }

    fn retain(&mut self, news: News) {
        self.kept_bytes += news.body.len();
        self.kept.push_back(news);
        while self.kept.len() > KEPT || self.kept_bytes > KEPT_BYTES {
            let Some(oldest) = self.kept.pop_front() else { return };
            self.kept_bytes -= oldest.body.len();
        }
    }
}
