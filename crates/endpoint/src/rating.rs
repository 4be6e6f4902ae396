//! The rating service: judges answers, at once or later.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use world::{Millis, contract::Customer, model::Version, request::Class};

use crate::{
    client::{self, Handle},
    wire,
};

/// An answer to be rated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Names the answer; its rating carries the same.
    pub id: String,
    /// Whose answer.
    pub customer: Customer,
    /// Its request class.
    pub class: Class,
    /// The version that made it.
    pub version: Version,
    /// The text.
    pub answer: String,
}

/// A rating that came later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rating {
    /// The rated answer's name.
    pub id: String,
    /// Whose answer.
    pub customer: Customer,
    /// Its request class.
    pub class: Class,
    /// The version that made it.
    pub version: Version,
    /// Whether it is good.
    pub pass: bool,
}

/// Ratings after a point of the service's own numbering.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// Ask from here the next time.
    pub next: u64,
    /// Oldest first.
    pub ratings: Vec<Rating>,
}

/// Why there is no rating. No rating is neither a good nor a bad one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The settings name no rating service.
    Absent,
    /// It did not answer in time or refused.
    Down(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("no rating service; name its address in the settings"),
            Self::Down(message) => write!(f, "no rating: {message}; check the rating service"),
        }
    }
}

impl std::error::Error for Error {}

impl Handle {
    /// Has an answer rated at once.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no rating within `limit`.
    pub async fn rate(&self, sample: &Sample, limit: Duration) -> Result<bool, Error> {
        let rated: wire::Rated = self.rating_call(Method::POST, "/rate", sample_body(sample), limit).await?;
        Ok(rated.pass)
    }

    /// Hands an answer over to be rated later.
    ///
    /// # Errors
    ///
    /// [`Error`] when the service did not take it; it will not be rated then.
    pub async fn submit(&self, sample: &Sample) -> Result<(), Error> {
        let limit = self.settings.call_timeout;
        self.rating_response(Method::POST, "/submit", sample_body(sample), limit).await.map(drop)
    }

    /// Ratings after `after`; waits up to `wait_ms` for the next one.
    ///
    /// # Errors
    ///
    /// [`Error`] when the service did not answer.
    pub async fn ratings(&self, after: u64, wait_ms: Millis) -> Result<Page, Error> {
        let limit = self.settings.call_timeout + Duration::from_millis(wait_ms);
        let path = format!("/ratings?after={after}&wait_ms={wait_ms}");
        self.rating_call(Method::GET, &path, Bytes::new(), limit).await
    }

    async fn rating_call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<T, Error> {
        let response = self.rating_response(method, path, body, limit).await?;
        serde_json::from_slice(response.body()).map_err(|error| Error::Down(error.to_string()))
    }

    async fn rating_response(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let address: SocketAddr = self.settings.rating.ok_or(Error::Absent)?;
        let sent = self.call(client::request(method, address, path, body), limit).await;
        let response = sent.map_err(|error| Error::Down(error.to_string()))?;
        if !response.status().is_success() {
            return Err(Error::Down(format!("HTTP status {}", response.status())));
        }
        Ok(response)
    }
}

fn sample_body(sample: &Sample) -> Bytes {
    serde_json::to_vec(sample).unwrap_or_default().into()
}
