//! Serialized form of a catalog, as instances send it to each other.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Catalog, Customer, Kind, Limits, Model, Route, Service, Target, Warmup};

/// Serialized form of [`Catalog`].
#[derive(Debug, Serialize, Deserialize)]
pub struct CatalogCopy {
    version: u64,
    hosts: Vec<(String, Vec<RouteCopy>)>,
    /// Names of the services and the tokens that fit into an endpoint's prompt cache.
    services: Vec<(String, Option<u64>)>,
    keys: Option<Vec<(String, CustomerCopy)>>,
    header_bytes: u64,
    body_bytes: u64,
    header_time: Duration,
    idle_time: Duration,
    /// Duration and requests per second of the warm-ups, by service. Stands last, where a
    /// build that does not know it ignores it.
    warmups: Vec<(String, Duration, f64)>,
}

/// Serialized form of [`Route`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RouteCopy {
    name: String,
    prefix: String,
    kind: KindCopy,
    timeout: Duration,
    /// Target time to the answer, or to the first event of a stream.
    goal: Duration,
    /// Target for the longest pause between two events of a stream.
    pause: Option<Duration>,
    rank: u8,
    attempts: u32,
    public: bool,
    /// Names and costs of the models.
    models: Vec<(String, f64)>,
    /// Names and weights of the services.
    targets: Vec<(String, u32)>,
}

#[derive(Debug, Clone, std::marker::Copy, Serialize, Deserialize)]
enum KindCopy {
    Idempotent,
    NonIdempotent,
    Stream { resumable: bool },
}

/// Serialized form of [`Customer`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CustomerCopy {
    name: String,
    rank: Option<u8>,
}

impl From<&Catalog> for CatalogCopy {
    fn from(catalog: &Catalog) -> Self {
        let routes = |routes: &Vec<Arc<Route>>| routes.iter().map(|route| RouteCopy::from(&**route)).collect();
        let Limits { header_bytes, body_bytes, header_time, idle_time } = catalog.limits;
        Self {
            version: catalog.version,
            hosts: catalog.hosts.iter().map(|(host, all)| (host.clone(), routes(all))).collect(),
            services: catalog.services.iter().map(|(name, service)| (name.clone(), service.memory_tokens)).collect(),
            keys: catalog.keys.as_ref().map(|keys| keys.iter().map(|(key, t)| (key.clone(), (&**t).into())).collect()),
            header_bytes: u64::try_from(header_bytes).unwrap_or(u64::MAX),
            body_bytes: u64::try_from(body_bytes).unwrap_or(u64::MAX),
            header_time,
            idle_time,
            warmups: catalog.services.values().filter_map(|service| warmup(service)).collect(),
        }
    }
}

fn warmup(service: &Service) -> Option<(String, Duration, f64)> {
    let Warmup { duration, per_s } = service.warmup?;
    Some((service.name.clone(), duration, per_s))
}

impl From<CatalogCopy> for Catalog {
    fn from(copy: CatalogCopy) -> Self {
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        let warmups: HashMap<String, Warmup> =
            copy.warmups.into_iter().map(|(service, duration, per_s)| (service, Warmup { duration, per_s })).collect();
        let service = |(name, memory_tokens): (String, Option<u64>)| {
            let warmup = warmups.get(&name).copied();
            (name.clone(), Arc::new(Service { name, memory_tokens, warmup }))
        };
        let customer = |(key, customer): (String, CustomerCopy)| (key, Arc::new(Customer::from(customer)));
        let mut catalog = Self {
            version: copy.version,
            services: copy.services.into_iter().map(service).collect(),
            keys: copy.keys.map(|keys| keys.into_iter().map(customer).collect::<HashMap<_, _>>()),
            limits: Limits {
                header_bytes: size(copy.header_bytes),
                body_bytes: size(copy.body_bytes),
                header_time: copy.header_time,
                idle_time: copy.idle_time,
            },
            ..Self::default()
        };
        for (host, routes) in copy.hosts {
            for route in routes {
                catalog.add(host.clone(), route.into());
            }
        }
        catalog
    }
}

impl From<&Customer> for CustomerCopy {
    fn from(customer: &Customer) -> Self {
        Self { name: customer.name.clone(), rank: customer.rank }
    }
}

impl From<CustomerCopy> for Customer {
    fn from(copy: CustomerCopy) -> Self {
        Self { name: copy.name, rank: copy.rank }
    }
}

impl From<&Route> for RouteCopy {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            prefix: route.prefix.clone(),
            kind: route.kind.into(),
            timeout: route.timeout,
            goal: route.target_time,
            pause: route.target_pause,
            rank: route.rank,
            attempts: route.attempts,
            public: route.public,
            models: route.models.iter().map(|model| (model.name.clone(), model.cost)).collect(),
            targets: route.targets.iter().map(|target| (target.service.clone(), target.weight)).collect(),
        }
    }
}

impl From<RouteCopy> for Route {
    fn from(copy: RouteCopy) -> Self {
        Self {
            name: copy.name,
            prefix: copy.prefix,
            kind: copy.kind.into(),
            timeout: copy.timeout,
            target_time: copy.goal,
            target_pause: copy.pause,
            rank: copy.rank,
            attempts: copy.attempts,
            public: copy.public,
            models: copy.models.into_iter().map(|(name, cost)| Model { name, cost }).collect(),
            targets: copy.targets.into_iter().map(|(service, weight)| Target { service, weight }).collect(),
        }
    }
}

impl From<Kind> for KindCopy {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self::Idempotent,
            Kind::NonIdempotent => Self::NonIdempotent,
            Kind::Stream { resumable } => Self::Stream { resumable },
        }
    }
}

impl From<KindCopy> for Kind {
    fn from(copy: KindCopy) -> Self {
        match copy {
            KindCopy::Idempotent => Self::Idempotent,
            KindCopy::NonIdempotent => Self::NonIdempotent,
            KindCopy::Stream { resumable } => Self::Stream { resumable },
        }
    }
}
