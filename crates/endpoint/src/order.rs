//! Orders: which versions an engine is to have loaded.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use world::model::Version;

use crate::{
    client::{self, Handle},
    error, wire,
};

/// The wanted end; sending it twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Fencing number of the holder's lease.
    pub fence: u64,
    /// Versions to have loaded.
    pub load: Vec<Version>,
    /// Versions to have dropped.
    pub unload: Vec<Version>,
}

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The number it has seen.
        fence: u64,
    },
    /// The call failed.
    Call(error::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced { fence } => write!(f, "old fencing number, engine has seen {fence}; take the lease anew"),
            Self::Call(error) => write!(f, "order failed: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<error::Error> for Error {
    fn from(error: error::Error) -> Self {
        Self::Call(error)
    }
}

impl Handle {
    /// Sends an order; returns the versions loaded or under way.
    ///
    /// `limit` is the order's whole time: no byte of it is sent later.
    ///
    /// # Errors
    ///
    /// [`Error`]; after `Call` with an unknown outcome send it again.
    pub async fn order(&self, address: SocketAddr, order: &Order, limit: Duration) -> Result<Vec<Version>, Error> {
        let body = wire::Order { fence: order.fence, load: &order.load, unload: &order.unload };
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let response = self.call(client::request(Method::POST, address, "/v1/orders", body), limit).await?;
        if response.status() == StatusCode::CONFLICT {
            let fenced: wire::Fenced = serde_json::from_slice(response.body()).map_err(error::Error::unknown)?;
            return Err(Error::Fenced { fence: fenced.fence });
        }
        if !response.status().is_success() {
            return Err(client::refusal(response.status(), response.headers()).into());
        }
        let ordered: wire::Ordered = serde_json::from_slice(response.body()).map_err(error::Error::unknown)?;
        Ok(ordered.loaded)
    }
}
