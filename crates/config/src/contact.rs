//! How long ago the state in force was last known to be the newest.
//!
//! A withdrawal is accepted by one write to the platform. An instance cut off
//! from platform and peers would go on sending work to the withdrawn version;
//! so it takes no new work once its last confirmation is older than the
//! freshness bound. Two things confirm:
//!
//! - *The platform*: a plain read found nothing newer. Counted from the moment
//!   before the read was sent, so that an answer that was held up in between,
//!   or a process paused before it saw the answer, cannot make an old state
//!   look fresh. A peer's answer passes on the age of its own confirmation.
//! - *Being in step*, for an outage in which nobody reaches the platform:
//!   peers in more than half of the site's failure domains answered that they
//!   know nothing newer. It is not passed on.
//!
//! One-way news confirms nothing: there is no telling how long it was under
//! way.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;
use world::domain::Domain;

use crate::settings::Settings;

/// Confirmations, shared by the observer that writes and handles that read.
#[derive(Debug)]
pub(crate) struct Contact {
    opened: Instant,
    bound: Duration,
    own: Domain,
    domains: Vec<Domain>,
    /// Milliseconds after `opened`, plus one; 0 for never.
    platform: AtomicU64,
    quorum: AtomicU64,
    blocked: AtomicBool,
    reached: Mutex<Reached>,
}

/// Failure domains by what their instances said.
#[derive(Debug, Default)]
struct Reached {
    /// When each was in step.
    in_step: BTreeMap<Domain, Instant>,
    /// Those that were ever heard of. Settings that leave some out would make
    /// a small part of the site look like more than half of it, and instances
    /// cut off in that part would stay fresh for ever.
    met: BTreeSet<Domain>,
}

impl Contact {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            opened: Instant::now(),
            bound: settings.freshness,
            own: settings.domain.clone(),
            domains: settings.domains.clone(),
            platform: AtomicU64::new(0),
            quorum: AtomicU64::new(0),
            blocked: AtomicBool::new(false),
            reached: Mutex::default(),
        }
    }

    /// Whether new work may start.
    pub(crate) fn fresh(&self) -> bool {
        let age = |cell| self.age(cell).is_some_and(|age| age < self.bound);
        !self.blocked.load(Ordering::Acquire) && (age(&self.platform) || age(&self.quorum))
    }

    /// Age of the newest confirmation of either kind.
    pub(crate) fn newest(&self) -> Option<Duration> {
        let ages = [self.age(&self.platform), self.age(&self.quorum)];
        ages.into_iter().flatten().min()
    }

    /// Age of the platform's confirmation, own or passed on.
    pub(crate) fn platform_age(&self) -> Option<Duration> {
        self.age(&self.platform)
    }

    /// The platform had nothing newer at that time.
    pub(crate) fn confirm(&self, at: Instant) {
        self.raise(&self.platform, at);
    }

    /// A peer in that domain had nothing newer at that time.
    pub(crate) fn in_step(&self, domain: Domain, at: Instant) {
        let mut reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        let last = reached.in_step.entry(domain).or_insert(at);
        *last = at.max(*last);
        if let Some(at) = self.quorum_at(&reached) {
            self.raise(&self.quorum, at);
        }
    }

    /// There is a domain of this name.
    pub(crate) fn met(&self, domain: Domain) {
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).met.insert(domain);
    }

    /// Blocks new work while an entry of the log cannot be read.
    pub(crate) fn block(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Release);
    }

    /// Since when more than half of the domains have been in step; the own
    /// domain counts by itself, if it is one of them.
    fn quorum_at(&self, reached: &Reached) -> Option<Instant> {
        if self.domains.is_empty() {
            return None;
        }
        let domains: BTreeSet<_> = self.domains.iter().chain(&reached.met).collect();
        let others = domains.iter().filter(|domain| ***domain != self.own);
        let mut times: Vec<_> = others.filter_map(|domain| reached.in_step.get(*domain)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let own = usize::from(domains.contains(&self.own));
        match domains.len() / 2 + 1 - own {
            0 => Some(Instant::now()),
            needed => times.get(needed - 1).map(|at| **at),
        }
    }

    fn raise(&self, cell: &AtomicU64, at: Instant) {
        let millis = at.saturating_duration_since(self.opened).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX - 1) + 1;
        cell.fetch_max(millis, Ordering::AcqRel);
    }

    fn age(&self, cell: &AtomicU64) -> Option<Duration> {
        let millis = cell.load(Ordering::Acquire).checked_sub(1)?;
        Some(self.opened.elapsed().saturating_sub(Duration::from_millis(millis)))
    }
}
