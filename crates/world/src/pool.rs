//! Pools: endpoints of one kind in one failure domain.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{domain::Domain, endpoint, model, service};

crate::name::name!(
    /// A pool's name.
    Id
);

/// Endpoints of one kind in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Where all of them stand.
    pub domain: Domain,
    /// What they serve.
    pub serves: Serves,
    /// The endpoints.
    pub endpoints: Vec<Member>,
}

/// One endpoint of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name, unique over all pools.
    pub name: endpoint::Id,
    /// Where it listens.
    pub address: SocketAddr,
    /// Runs it can batch at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    16
}

/// What the endpoints of a pool serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Model versions.
    Versions(Vec<model::Version>),
    /// A plain service.
    Service(service::Id),
}
