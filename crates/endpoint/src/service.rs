//! Calls to plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};
use tokio::time::Instant;
use world::request;

use crate::{
    client::{self, Handle},
    error::Error,
    run::Attempt,
    wire,
};

/// Passed on so that a service can tell repeats.
const KEY_HEADER: &str = "idempotency-key";

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Names this dispatch.
    pub attempt: Attempt,
    /// The server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query, from `/` on.
    pub path: String,
    /// The caller's headers worth passing on.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
    /// The request's idempotency key.
    pub key: Option<request::Key>,
    /// When the answer must be whole.
    pub deadline: Instant,
}

impl Handle {
    /// Calls a plain service and reads its whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// `Refused` when nothing was run (no connection, or 503 with
    /// `Retry-After-Ms`); `Unknown` when it may have run.
    pub async fn call_service(&self, call: Call) -> Result<Response<Bytes>, Error> {
        let mut request = client::request(call.method, call.address, &call.path, call.body);
        let headers = request.headers_mut();
        headers.remove(header::CONTENT_TYPE);
        for (name, value) in &call.headers {
            headers.append(name, value.clone());
        }
        headers.insert(wire::ATTEMPT_HEADER, text(call.attempt.as_str()));
        if let Some(key) = &call.key {
            headers.insert(KEY_HEADER, text(key.as_str()));
        }
        let limit = call.deadline.saturating_duration_since(Instant::now());
        let response = self.call(request, limit).await?;
        // A 503 without the header may come from behind the service, after an effect.
        if response.status() == StatusCode::SERVICE_UNAVAILABLE && client::retry_after(response.headers()).is_some() {
            return Err(client::refusal(response.status(), response.headers()));
        }
        Ok(response)
    }
}

fn text(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
