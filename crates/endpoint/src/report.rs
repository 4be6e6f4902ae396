//! What engines tell of themselves, late and with gaps.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use world::{Timestamp, model::Version};

use crate::{
    client::{self, Handle},
    error::Error,
};

/// An engine's load, as of some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// When it was so.
    pub as_of_ms: Timestamp,
    /// Runs in slots.
    pub running: u32,
    /// Runs that wait.
    pub queued: u32,
    /// Slots.
    pub slots: u32,
    /// Loaded versions.
    pub versions: Vec<Version>,
}

/// Cache events from a point on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CachePage {
    /// Ask from here the next time.
    pub next: u64,
    /// Oldest first; sequence numbers may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// The engine's number for it.
    pub seq: u64,
    /// Hash of the prompt prefix.
    #[serde(deserialize_with = "hex")]
    pub prefix: u64,
    /// What happened to it.
    pub kind: CacheChange,
}

/// What happened to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It can be used from now on.
    Stored,
    /// It is gone.
    Evicted,
}

impl Handle {
    /// An engine's last load report.
    ///
    /// # Errors
    ///
    /// [`Error`] when it did not answer.
    pub async fn load(&self, address: SocketAddr) -> Result<Load, Error> {
        self.report(address, "/v1/load").await
    }

    /// An engine's cache events from `from` on.
    ///
    /// # Errors
    ///
    /// [`Error`] when it did not answer.
    pub async fn cache_events(&self, address: SocketAddr, from: u64) -> Result<CachePage, Error> {
        self.report(address, &format!("/v1/cache-events?from={from}")).await
    }

    async fn report<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T, Error> {
        let response = self.short(Method::GET, address, path, Bytes::new()).await?;
        if !response.status().is_success() {
            return Err(client::refusal(response.status(), response.headers()));
        }
        serde_json::from_slice(response.body()).map_err(Error::unknown)
    }
}

fn hex<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(text.trim_start_matches("0x"), 16).map_err(serde::de::Error::custom)
}
