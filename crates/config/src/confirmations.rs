//! Tracks when the state in force was last confirmed to be the newest.
//!
//! The withdrawal of a model version is accepted by one write to the platform.
//! An instance cut off from the platform and its peers would continue to send
//! work to the withdrawn version; so it accepts no new work once its last
//! confirmation is older than the freshness bound. There are two kinds of
//! confirmation:
//!
//! - *By the platform*: a plain read found nothing newer. Its age counts from
//!   just before the read was sent, so that a delayed answer, or a process paused
//!   before it saw the answer, cannot make an old state look fresh. A peer's
//!   answer forwards the age of its own platform confirmation.
//! - *By a quorum*, for an outage in which no instance reaches the platform:
//!   peers in more than half of the site's failure domains answered that they
//!   have nothing newer. It is not forwarded.
//!
//! A published update message confirms nothing, because its transit time is
//! unknown.

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

/// Times of the confirmations, written by the observer and read by handles.
#[derive(Debug)]
pub(crate) struct Confirmations {
    created: Instant,
    bound: Duration,
    own: Domain,
    domains: Vec<Domain>,
    /// Time of the last confirmation by the platform: milliseconds since `created`,
    /// plus one; 0 if there was none. `quorum` has the same encoding.
    platform: AtomicU64,
    quorum: AtomicU64,
    blocked: AtomicBool,
    reports: Mutex<DomainReports>,
}

/// Failure domains that peers reported.
#[derive(Debug, Default)]
struct DomainReports {
    /// When a peer in each domain last confirmed that it has nothing newer.
    confirmed_at: BTreeMap<Domain, Instant>,
    /// All domains ever reported by peers. If the settings omit some, a small
    /// part of the site would look like more than half of it, and instances cut
    /// off in that part would stay fresh forever.
    known: BTreeSet<Domain>,
}

impl Confirmations {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            created: Instant::now(),
            bound: settings.freshness,
            own: settings.domain.clone(),
            domains: settings.domains.clone(),
            platform: AtomicU64::new(0),
            quorum: AtomicU64::new(0),
            blocked: AtomicBool::new(false),
            reports: Mutex::default(),
        }
    }

    /// Returns whether new work may start.
    pub(crate) fn is_fresh(&self) -> bool {
        let age = |time| self.age(time).is_some_and(|age| age < self.bound);
        !self.blocked.load(Ordering::Acquire) && (age(&self.platform) || age(&self.quorum))
    }

    /// Returns the age of the newest confirmation of either kind.
    pub(crate) fn newest_age(&self) -> Option<Duration> {
        let ages = [self.age(&self.platform), self.age(&self.quorum)];
        ages.into_iter().flatten().min()
    }

    /// Returns the age of the platform's last confirmation, own or forwarded by a peer.
    pub(crate) fn platform_age(&self) -> Option<Duration> {
        self.age(&self.platform)
    }

    /// Records that the platform had nothing newer at that time.
    pub(crate) fn add_platform_confirmation(&self, at: Instant) {
        self.advance(&self.platform, at);
    }

    /// Records that an instance in that domain had nothing newer at that time.
    pub(crate) fn add_peer_confirmation(&self, domain: Domain, at: Instant) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let last = reports.confirmed_at.entry(domain).or_insert(at);
        *last = at.max(*last);
        if let Some(at) = self.quorum_time(&reports) {
            self.advance(&self.quorum, at);
        }
    }

    /// Records that the site has this failure domain.
    pub(crate) fn add_domain(&self, domain: Domain) {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).known.insert(domain);
    }

    /// Sets whether new work is blocked because an entry of the log cannot be decoded.
    pub(crate) fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Release);
    }

    /// Returns the latest time by which more than half of the domains had confirmed.
    /// This instance's own domain, if it is one of them, always counts as confirmed.
    fn quorum_time(&self, reports: &DomainReports) -> Option<Instant> {
        if self.domains.is_empty() {
            return None;
        }
        let domains: BTreeSet<_> = self.domains.iter().chain(&reports.known).collect();
        let others = domains.iter().filter(|domain| ***domain != self.own);
        let mut times: Vec<_> = others.filter_map(|domain| reports.confirmed_at.get(*domain)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let own = usize::from(domains.contains(&self.own));
        match domains.len() / 2 + 1 - own {
            0 => Some(Instant::now()),
            needed => times.get(needed - 1).map(|at| **at),
        }
    }

    fn advance(&self, time: &AtomicU64, at: Instant) {
        let millis = at.saturating_duration_since(self.created).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX - 1) + 1;
        time.fetch_max(millis, Ordering::AcqRel);
    }

    fn age(&self, time: &AtomicU64) -> Option<Duration> {
        let millis = time.load(Ordering::Acquire).checked_sub(1)?;
        Some(self.created.elapsed().saturating_sub(Duration::from_millis(millis)))
    }
}
