//! Passes the catalog on between instances.
//!
//! An instance that the store rejects learns from others that there is a newer
//! catalog. Without a copy from one of them it would have to refuse its callers once
//! the operator's bound has passed, and would ask the store again and again. A copy
//! does not prove that it is recent; replies of other instances about the version in
//! force do.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::{
    answer::{self, Body},
    buffer,
    catalog::{Catalog, wire},
    dispatcher::Dispatcher,
    network::Network,
    payload::Payload,
    upstream,
};

/// HTTP path of the catalog.
const CATALOG_PATH: &str = "/catalog";

/// Maximum number of copies that an instance sends at the same time. An instance that gets
/// none asks the store instead.
const MAX_CONCURRENT_COPIES: usize = 8;

/// Time limit for fetching a copy: enough for a megabyte over a link of 10 Mbit/s.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest copy that is read, in bytes; the store holds no larger catalog. One copy is read at a
/// time, so that it does not count with the bodies of requests.
const MAX_COPY_BYTES: usize = 4 << 20;

/// Size of the chunks in which a copy is sent, in bytes.
const CHUNK_BYTES: usize = 32 << 10;

/// Serves the catalog in force to other instances.
#[derive(Debug)]
pub struct CatalogServer {
    permits: Arc<Semaphore>,
    /// Encoded catalog of the last request, with its version.
    copy: Mutex<Option<(u64, Bytes)>>,
}

impl CatalogServer {
    /// Creates a server that has nothing encoded yet.
    #[must_use]
    pub fn new() -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_CONCURRENT_COPIES)), copy: Mutex::default() }
    }

    /// Answers a request for the catalog.
    #[must_use]
    pub fn serve(&self, dispatcher: &Dispatcher, request: &Request<Incoming>) -> Response<Body> {
        if request.uri().path() != CATALOG_PATH {
            return answer::empty_response(StatusCode::NOT_FOUND);
        }
        let copy = dispatcher.catalog().and_then(|catalog| self.copy(&catalog));
        match (copy, Arc::clone(&self.permits).try_acquire_owned()) {
            (Some(copy), Ok(permit)) => Response::new(copy_body(copy, permit)),
            _ => answer::empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns the encoded catalog, from the cache if it is of the same version.
    fn copy(&self, catalog: &Catalog) -> Option<Bytes> {
        let mut encoded = self.copy.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, copy)) = encoded.as_ref().filter(|(version, _)| *version == catalog.version) {
            return Some(copy.clone());
        }
        let copy = postcard::to_allocvec(&wire::CatalogCopy::from(catalog)).map(Bytes::from);
        let copy = copy.inspect_err(|error| tracing::error!(%error, "encoding the catalog failed")).ok()?;
        *encoded = Some((catalog.version, copy.clone()));
        Some(copy)
    }
}

/// Returns a body that sends the copy in chunks and holds the permit until the last is
/// sent.
fn copy_body(mut copy: Bytes, permit: OwnedSemaphorePermit) -> Body {
    let chunks = async_stream::stream! {
        let _permit = permit;
        while !copy.is_empty() {
            let chunk = copy.split_to(CHUNK_BYTES.min(copy.len()));
            yield Ok(Frame::data(chunk));
        }
    };
    StreamBody::new(chunks).boxed_unsync()
}

/// Fetches the catalog of another instance.
///
/// # Errors
///
/// Returns the cause as text for a log line.
pub async fn fetch(network: &dyn Network, from: SocketAddr) -> Result<Catalog, String> {
    timeout(COPY_TIMEOUT, receive(network, from)).await.map_err(|_| "timed out".to_owned())?
}

async fn receive(network: &dyn Network, from: SocketAddr) -> Result<Catalog, String> {
    let connected = upstream::connect(network, from, COPY_TIMEOUT).await.map_err(|unreachable| unreachable.cause)?;
    let request = Request::get(CATALOG_PATH).header(header::HOST, from.to_string()).body(Payload::default());
    let request = request.map_err(|error| error.to_string())?;
    let answer =
        upstream::exchange(connected, request, COPY_TIMEOUT).await.map_err(|outcome| outcome.label().to_owned())?;
    let status = answer.response.status();
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    let (body, _connection) = answer.into_body();
    let body = buffer::read(body, MAX_COPY_BYTES, None).await.map_err(|fault| fault.to_string())?;
    let copy: wire::CatalogCopy = postcard::from_bytes(&body).map_err(|error| error.to_string())?;
    Ok(copy.into())
}
