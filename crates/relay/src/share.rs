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
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::{
    answer::{self, Body},
    catalog::{Catalog, wire},
    desk::Desk,
    upstream,
};

/// HTTP path of the catalog.
const PATH: &str = "/catalog";

/// Maximum number of copies that an instance sends at the same time. An instance that gets
/// none asks the store instead.
const MOST_AT_ONCE: usize = 8;

/// Time limit for fetching a copy: enough for a megabyte over a link of 10 Mbit/s.
const COPY: Duration = Duration::from_millis(1_200);

/// Longest copy that is read, in bytes; the store holds no larger catalog.
const LONGEST: usize = 4 << 20;

/// Size of the chunks in which a copy is sent, in bytes.
const PIECE: usize = 32 << 10;

/// Serves the catalog in force to other instances.
#[derive(Debug)]
pub struct Sharer {
    room: Arc<Semaphore>,
    /// Encoded catalog of the last request, with its version.
    copy: Mutex<Option<(u64, Bytes)>>,
}

impl Sharer {
    /// Creates a server that has nothing encoded yet.
    #[must_use]
    pub fn new() -> Self {
        Self { room: Arc::new(Semaphore::new(MOST_AT_ONCE)), copy: Mutex::default() }
    }

    /// Answers a request for the catalog.
    #[must_use]
    pub fn serve(&self, desk: &Desk, request: &Request<Incoming>) -> Response<Body> {
        if request.uri().path() != PATH {
            return answer::empty(StatusCode::NOT_FOUND);
        }
        let copy = desk.catalog().and_then(|catalog| self.copy(&catalog));
        match (copy, Arc::clone(&self.room).try_acquire_owned()) {
            (Some(copy), Ok(place)) => Response::new(send(copy, place)),
            _ => answer::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns the encoded catalog, from the cache if it is of the same version.
    fn copy(&self, catalog: &Catalog) -> Option<Bytes> {
        let mut kept = self.copy.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, copy)) = kept.as_ref().filter(|(version, _)| *version == catalog.version) {
            return Some(copy.clone());
        }
        let copy = postcard::to_allocvec(&wire::Copy::from(catalog)).map(Bytes::from);
        let copy = copy.inspect_err(|error| tracing::error!(%error, "encoding the catalog failed")).ok()?;
        *kept = Some((catalog.version, copy.clone()));
        Some(copy)
    }
}

/// Returns a body that sends the copy in chunks and holds the permit until the last is
/// sent.
fn send(mut copy: Bytes, place: OwnedSemaphorePermit) -> Body {
    let pieces = async_stream::stream! {
        let _place = place;
        while !copy.is_empty() {
            let piece = copy.split_to(PIECE.min(copy.len()));
            yield Ok(Frame::data(piece));
        }
    };
    StreamBody::new(pieces).boxed_unsync()
}

/// Fetches the catalog of another instance.
///
/// # Errors
///
/// Returns the cause as text for a log line.
pub async fn fetch(from: SocketAddr) -> Result<Catalog, String> {
    timeout(COPY, receive(from)).await.map_err(|_| "timed out".to_owned())?
}

async fn receive(from: SocketAddr) -> Result<Catalog, String> {
    let (mut sender, _connection) = upstream::connect(from, COPY).await.map_err(|unreachable| unreachable.cause)?;
    let request = Request::get(PATH).header(header::HOST, from.to_string()).body(Full::default());
    let request = request.map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(response.status().to_string());
    }
    let body = Limited::new(response.into_body(), LONGEST).collect().await.map_err(|error| error.to_string())?;
    let copy: wire::Copy = postcard::from_bytes(&body.to_bytes()).map_err(|error| error.to_string())?;
    Ok(copy.into())
}
