//! Routes, services and access keys, as one immutable value per version.

pub(crate) mod wire;

use std::{collections::HashMap, sync::Arc, time::Duration};

use route::relay::ladder::Urgency;

/// Everything an operator has configured, at one version.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its version; higher ones replace lower ones.
    pub version: u64,
    /// Routes by host, those with longer prefixes first.
    pub hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Teams by access key; nothing where keys are not used.
    pub keys: Option<HashMap<String, Arc<Team>>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Lowest and highest rank of the routes that have a ladder of models; kept
    /// by [`Catalog::add`].
    pub ladder_ranks: Option<(u8, u8)>,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Start of the paths it takes.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is wanted.
    pub goal: Duration,
    /// Longest pause between events that is still on time.
    pub pause: Option<Duration>,
    /// Its rank, 0 first.
    pub rank: u8,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether it takes requests without an access key.
    pub public: bool,
    /// Models to choose from, smallest first; none if the caller names one.
    pub models: Vec<Model>,
    /// Services it leads to, with their weights.
    pub targets: Vec<Target>,
}

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share of the route, over the sum of all.
    pub weight: u32,
}

/// A model of a ladder.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Price of 1,000 generated tokens.
    pub cost: f64,
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It runs once at most.
    NonIdempotent,
    /// Its answer is a stream of numbered events.
    Stream {
        /// Whether another endpoint may go on after an event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a second run does no harm before anything was answered.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A service of endpoints that are alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Tokens that an endpoint's memory holds; nothing for plain services.
    pub memory_tokens: Option<u64>,
}

/// A customer as access keys name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Rank of its requests, before the route's.
    pub rank: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub header_time: Duration,
    /// Longest time a connection stays idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Bounds until a catalog gives others; those of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}

impl Catalog {
    /// The route of a request: the longest prefix of its path among the
    /// routes of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// How urgent a route is among those that have a ladder of models.
    #[must_use]
    pub fn urgency(&self, route: &Route) -> Urgency {
        self.ladder_ranks.map_or(Urgency::Usual, |(first, last)| Urgency::of(route.rank, first..=last))
    }

    /// Adds a route, in its place among those of its host.
    pub fn add(&mut self, host: String, route: Route) {
        if !route.models.is_empty() {
            let (first, last) = self.ladder_ranks.unwrap_or((route.rank, route.rank));
            self.ladder_ranks = Some((first.min(route.rank), last.max(route.rank)));
        }
        let routes = self.hosts.entry(host).or_default();
        let at = routes.partition_point(|other| other.prefix.len() > route.prefix.len());
        routes.insert(at, Arc::new(route));
    }
}

impl Route {
    /// The service that a draw from 0 to 1 falls to.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&str> {
        let sum: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(sum);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| target.service.as_str())
    }
}
