//! The catalog of routes, services and access keys; each version is immutable.

pub(crate) mod wire;

use std::{collections::HashMap, sync::Arc, time::Duration};

use route::relay::ladder::Urgency;

/// The operator's configuration at one version.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Customers by access key; `None` if access keys are not used.
    pub keys: Option<HashMap<String, Arc<Customer>>>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Lowest and highest rank among the routes that have a ladder of models; maintained by
    /// [`Catalog::add`].
    pub ladder_ranks: Option<(u8, u8)>,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Path prefix that the route matches.
    pub prefix: String,
    /// Whether and how requests may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target time to the answer, or to the first event of a stream.
    pub target_time: Duration,
    /// Target for the longest pause between two events of a stream.
    pub target_pause: Option<Duration>,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Maximum number of endpoints to which one request is sent.
    pub attempts: u32,
    /// Whether requests need no access key.
    pub public: bool,
    /// Models to choose from, smallest first; empty if the caller names the model.
    pub models: Vec<Model>,
    /// Services that requests are distributed over.
    pub targets: Vec<Target>,
}

/// A service that a route sends requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of the service; its share of requests is the weight divided by the sum of all
    /// weights of the route.
    pub weight: u32,
}

/// A model in a route's ladder of models, which orders them from the smallest to the largest.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Price of 1,000 generated tokens.
    pub cost: f64,
}

/// How a route's requests are answered and whether they may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another endpoint may continue the stream after any event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether the request may run again while the caller has no part of an answer.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A service, provided by interchangeable endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Tokens that fit into an endpoint's prompt cache; `None` if the service is not an engine.
    pub memory_tokens: Option<u64>,
    /// How its endpoints warm up; `None` if they take any rate of requests meanwhile.
    pub warmup: Option<Warmup>,
}

/// Warm-up of an endpoint after its start or after a while without requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// How long it takes.
    pub duration: Duration,
    /// Requests per second from all instances that an endpoint tolerates meanwhile.
    pub per_s: f64,
}

/// A customer that owns access keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Rank of the customer's requests; takes precedence over the route's rank.
    pub rank: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for sending the request head.
    pub header_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns the limits that common HTTP servers use; in force until a catalog sets others.
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
    /// Returns the route with the longest matching path prefix among the routes of a host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns how urgent a route is among those that have a ladder of models.
    #[must_use]
    pub fn urgency(&self, route: &Route) -> Urgency {
        self.ladder_ranks.map_or(Urgency::Usual, |(first, last)| Urgency::of(route.rank, first..=last))
    }

    /// Whether the endpoints of a service are engines.
    #[must_use]
    pub fn has_engines(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.memory_tokens.is_some())
    }

    /// Adds a route to a host, keeping its routes sorted by prefix length.
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
    /// Returns the service selected by `draw`, a random number from 0 to 1, according to the
    /// weights.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&str> {
        let sum: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut left = draw * sum;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| target.service.as_str())
    }
}
