//! How news travels where not all are linked with all: pure.
//!
//! Bodies go along a tree that the news itself finds: a link that brought a
//! body a second time is pruned, and carries names only from then on. A name
//! whose body does not come in time is asked for, and the link that offered it
//! joins the tree: so the tree mends itself when an instance or link is lost.
//! Flooding every link sends a body once per link; this sends it about once
//! per instance (docs/design/membership.md has the figures).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use world::{Millis, instance::Id};

use crate::news::{Name, News, Seen};

#[cfg(test)]
mod tests;

/// How long a body may come after its name, in milliseconds: above the time a
/// body takes through the tree, and short against a heartbeat.
pub const WAIT: Millis = 150;
/// Bodies kept for those that ask.
const KEPT: usize = 256;
/// Bytes of bodies kept, so that large ones do not fill the memory.
const KEPT_BYTES: usize = 2 << 20;
/// Names waited for; a flood of names would otherwise grow without bound.
const MISSING: usize = 1_024;
/// Links that news may travel at most; far more than any way is long.
const HOPS: u32 = 16;

/// What one link is to carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A body.
    News(News),
    /// An offer of a body.
    Have(Name),
    /// A question for a body.
    Want(Name),
    /// Names only from now on.
    Prune,
}

/// Messages and the links that are to carry them.
pub type Messages = Vec<(Id, Message)>;

/// What this instance knows of news and of the tree.
#[derive(Debug, Default)]
pub struct Relay {
    seen: Seen,
    /// Those that get bodies.
    eager: BTreeSet<Id>,
    /// Those that get names.
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
    /// A link stands; it is in the tree until it brings what is known.
    pub fn linked(&mut self, id: &Id) {
        self.lazy.remove(id);
        self.eager.insert(id.clone());
    }

    /// A link has ended.
    pub fn unlinked(&mut self, id: &Id) {
        self.lazy.remove(id);
        self.eager.remove(id);
    }

    /// Forgets origins that are no members any more.
    pub fn keep(&mut self, known: impl Fn(&Id) -> bool) {
        self.seen.keep(known);
    }

    /// News of our own.
    pub fn publish(&mut self, news: &News) -> Messages {
        self.seen.is_new(&news.name());
        if news.relay {
            self.retain(news.clone());
            return self.spread(news, None);
        }
        let links = self.eager.iter().chain(&self.lazy);
        links.map(|id| (id.clone(), Message::News(news.clone()))).collect()
    }

    /// A body came; whether it is new, and what is to be sent.
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

    /// A name came; its body is waited for.
    pub fn have(&mut self, from: &Id, name: Name, now: Millis) {
        if self.seen.has(&name) || (self.missing.len() >= MISSING && !self.missing.contains_key(&name)) {
            return;
        }
        let missing = self.missing.entry(name).or_insert_with(|| Missing { due: now + WAIT, offers: VecDeque::new() });
        if !missing.offers.contains(from) {
            missing.offers.push_back(from.clone());
        }
    }

    /// A peer asks for a body that we offered: its way through the tree is cut.
    pub fn want(&mut self, from: &Id, name: &Name) -> Messages {
        self.graft(from);
        let kept = self.kept.iter().find(|news| news.name() == *name);
        kept.map(|news| (from.clone(), Message::News(news.clone()))).into_iter().collect()
    }

    /// The link is to carry names only.
    pub fn prune(&mut self, id: &Id) {
        if self.eager.remove(id) {
            self.lazy.insert(id.clone());
        }
    }

    /// When a body is late, if one is waited for.
    #[must_use]
    pub fn due(&self) -> Option<Millis> {
        self.missing.values().map(|missing| missing.due).min()
    }

    /// Asks for what is late, one offer after the other.
    pub fn ask(&mut self, now: Millis) -> Messages {
        let late = |missing: &Missing| missing.due <= now;
        // Nobody is left to ask: the digests tell the owner.
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
