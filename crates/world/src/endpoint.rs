//! Endpoints: the back ends that do the work.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{domain::Domain, pool};

crate::name::name!(
    /// An endpoint's name, unique over all pools.
    Id
);

/// An endpoint as the catalog knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub id: Id,
    /// Its pool.
    pub pool: pool::Id,
    /// Where it stands.
    pub domain: Domain,
    /// Where it listens.
    pub address: SocketAddr,
    /// Runs it can batch at a time.
    pub slots: u32,
}
