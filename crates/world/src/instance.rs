//! Instances: the machines the daemon runs on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::domain::Domain;

crate::name::name!(
    /// An instance's name, from its settings.
    Id
);

/// Which run of a daemon on an instance; a later start has a higher number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Whether an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    Live,
    /// Missed heartbeats; still counted until confirmed.
    Suspect,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Counted no more.
    Gone,
}

/// One run of the daemon on one instance, as the others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: Id,
    /// Which run.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub domain: Domain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Whether it takes work.
    pub state: State,
}
