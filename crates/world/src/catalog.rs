//! All objects of one generation, checked against each other.
//!
//! A catalog never changes: a later generation is a new catalog. Readers hold
//! one `Arc` for the whole of a decision, so that a decision never mixes two
//! generations.

mod check;

use std::collections::{BTreeMap, HashMap};

pub use check::Fault;

use crate::{
    contract::{Contract, Customer},
    endpoint::{self, Endpoint},
    model::{self, Model, Release, Version},
    object::{Key, Object},
    pool::{self, Pool, Serves},
    rollout::{self, Rollout},
    service::{self, Service},
};

/// All objects of one generation.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    generation: u64,
    contracts: BTreeMap<Customer, Contract>,
    models: BTreeMap<model::Id, Model>,
    rollouts: BTreeMap<rollout::Id, Rollout>,
    pools: BTreeMap<pool::Id, Pool>,
    services: BTreeMap<service::Id, Service>,
    by_key: HashMap<String, Customer>,
    by_version: HashMap<Version, Vec<Endpoint>>,
    by_service: HashMap<service::Id, Vec<Endpoint>>,
}

/// Whether a version takes new work, roll-outs considered.
#[derive(Debug, Clone, PartialEq)]
pub enum Standing {
    /// Takes its tier's work.
    Serving,
    /// Under roll-out: takes this share of new sessions.
    Exposed {
        /// From 0 to 1.
        share: f64,
        /// The roll-out that says so.
        rollout: rollout::Id,
    },
    /// Under roll-out: keeps its sessions, takes no new ones.
    Held {
        /// The roll-out that says so.
        rollout: rollout::Id,
    },
    /// Takes no new work.
    Withdrawn,
    /// No object names it.
    Unknown,
}

impl Catalog {
    /// Builds the catalog of a generation.
    ///
    /// # Errors
    ///
    /// Every [`Fault`] of and between the objects.
    pub fn build(generation: u64, objects: impl IntoIterator<Item = Object>) -> Result<Self, Vec<Fault>> {
        let mut catalog = Self { generation, ..Self::default() };
        for object in objects {
            catalog.insert(object);
        }
        let faults = check::check(&catalog);
        if !faults.is_empty() {
            return Err(faults);
        }
        catalog.index();
        Ok(catalog)
    }

    /// Its place in the order of configurations; 0 is the empty start.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Every object, by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = Object> + '_ {
        let contracts = self.contracts.iter().map(|(k, v)| Object::Contract(k.clone(), v.clone()));
        let models = self.models.iter().map(|(k, v)| Object::Model(k.clone(), v.clone()));
        let rollouts = self.rollouts.iter().map(|(k, v)| Object::Rollout(k.clone(), v.clone()));
        let pools = self.pools.iter().map(|(k, v)| Object::Pool(k.clone(), v.clone()));
        let services = self.services.iter().map(|(k, v)| Object::Service(k.clone(), v.clone()));
        contracts.chain(models).chain(rollouts).chain(pools).chain(services)
    }

    /// One object.
    #[must_use]
    pub fn object(&self, key: &Key) -> Option<Object> {
        self.objects().find(|object| object.key() == *key)
    }

    /// Every contract.
    #[must_use]
    pub fn contracts(&self) -> &BTreeMap<Customer, Contract> {
        &self.contracts
    }

    /// A customer's contract.
    #[must_use]
    pub fn contract(&self, customer: &Customer) -> Option<&Contract> {
        self.contracts.get(customer)
    }

    /// The customer whose contract holds a key with this hex SHA-256.
    #[must_use]
    pub fn customer_by_key(&self, sha256: &str) -> Option<&Customer> {
        self.by_key.get(sha256)
    }

    /// Every model.
    #[must_use]
    pub fn models(&self) -> &BTreeMap<model::Id, Model> {
        &self.models
    }

    /// A model.
    #[must_use]
    pub fn model(&self, id: &model::Id) -> Option<&Model> {
        self.models.get(id)
    }

    /// A version's release.
    #[must_use]
    pub fn release(&self, version: &Version) -> Option<&Release> {
        self.model(&version.model)?.versions.iter().find(|r| r.version == version.number)
    }

    /// Every roll-out.
    #[must_use]
    pub fn rollouts(&self) -> &BTreeMap<rollout::Id, Rollout> {
        &self.rollouts
    }

    /// Every pool.
    #[must_use]
    pub fn pools(&self) -> &BTreeMap<pool::Id, Pool> {
        &self.pools
    }

    /// A plain service.
    #[must_use]
    pub fn service(&self, id: &service::Id) -> Option<&Service> {
        self.services.get(id)
    }

    /// Every plain service.
    #[must_use]
    pub fn services(&self) -> &BTreeMap<service::Id, Service> {
        &self.services
    }

    /// Endpoints whose pool serves a version.
    #[must_use]
    pub fn endpoints(&self, version: &Version) -> &[Endpoint] {
        self.by_version.get(version).map_or(&[], Vec::as_slice)
    }

    /// Endpoints whose pool serves a plain service.
    #[must_use]
    pub fn service_endpoints(&self, id: &service::Id) -> &[Endpoint] {
        self.by_service.get(id).map_or(&[], Vec::as_slice)
    }

    /// Whether a version takes new work.
    #[must_use]
    pub fn standing(&self, version: &Version) -> Standing {
        let Some(release) = self.release(version) else {
            return Standing::Unknown;
        };
        if release.state == model::State::Withdrawn {
            return Standing::Withdrawn;
        }
        // Withdrawal beats every other roll-out of the same version: a second
        // roll-out object must not bring a stopped version back.
        let mut standing = Standing::Serving;
        for (id, rollout) in self.rollouts.iter().filter(|(_, r)| r.version == *version) {
            match rollout.state {
                rollout::State::Withdrawn => return Standing::Withdrawn,
                rollout::State::Promoted => {}
                rollout::State::Loading | rollout::State::Paused => standing = Standing::Held { rollout: id.clone() },
                rollout::State::Exposing => {
                    let share = rollout.steps.get(rollout.step).copied().unwrap_or(0.0);
                    standing = Standing::Exposed { share, rollout: id.clone() };
                }
            }
        }
        standing
    }

    fn insert(&mut self, object: Object) {
        match object {
            Object::Contract(name, spec) => drop(self.contracts.insert(name, spec)),
            Object::Model(name, spec) => drop(self.models.insert(name, spec)),
            Object::Rollout(name, spec) => drop(self.rollouts.insert(name, spec)),
            Object::Pool(name, spec) => drop(self.pools.insert(name, spec)),
            Object::Service(name, spec) => drop(self.services.insert(name, spec)),
        }
    }

    fn index(&mut self) {
        for (customer, contract) in &self.contracts {
            for key in &contract.keys {
                self.by_key.insert(key.sha256.clone(), customer.clone());
            }
        }
        for (id, pool) in &self.pools {
            let endpoints: Vec<_> = pool.endpoints.iter().map(|member| endpoint_of(id, pool, member)).collect();
            match &pool.serves {
                Serves::Versions(versions) => {
                    for version in versions {
                        self.by_version.entry(version.clone()).or_default().extend(endpoints.iter().cloned());
                    }
                }
                Serves::Service(service) => {
                    self.by_service.entry(service.clone()).or_default().extend(endpoints);
                }
            }
        }
    }
}

fn endpoint_of(id: &pool::Id, pool: &Pool, member: &pool::Member) -> endpoint::Endpoint {
    Endpoint {
        id: member.name.clone(),
        pool: id.clone(),
        domain: pool.domain.clone(),
        address: member.address,
        slots: member.slots,
    }
}
