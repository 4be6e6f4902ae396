//! The HTTP client all calls share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use overhead::{AnswerBody, MAX_HEAD_BYTES, Overhead};

use crate::{
    Settings,
    connector::Connector,
    error::{Error, Refusal},
    held::{Buffer, Memory, Reservation},
    wire,
};

/// Longest an idle connection is kept.
const IDLE_CONNECTION: Duration = Duration::from_mins(1);

/// The edge to all endpoints; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) http: legacy::Client<Connector, Full<Bytes>>,
    pub(crate) settings: Arc<Settings>,
    pub(crate) memory: Arc<Memory>,
}

impl Handle {
    pub(crate) fn new(settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        // The client tries again by itself only where a kept connection was
        // closed before the call was taken from our hands: nothing was sent
        // then, so that even a call that must not be repeated may go on.
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION)
            .pool_max_idle_per_host(settings.idle_connections)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(Connector::new(connector));
        Self { http, memory: Memory::new(settings.max_held), settings: Arc::new(settings) }
    }

    /// Sends a call and waits for the answer's head.
    ///
    /// `Refused` says that no byte can have arrived.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<AnswerBody>, Error> {
        let mut response = self.http.request(request).await.map_err(|error| from_client(&error))?;
        if !is_final(response.status()) {
            return Err(Error::unknown(format!("{} is no status of an answer", response.status().as_str())));
        }
        let overhead: Overhead = response.extensions_mut().remove().unwrap_or_default();
        // A kept connection may carry many answers without data.
        overhead.reset();
        Ok(response.map(|body| AnswerBody::new(body, overhead)))
    }

    /// Sends a short call and reads the whole answer within the call's time limit.
    pub(crate) async fn short(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, Error> {
        self.call(request(method, address, path, body), self.settings.call_timeout).await
    }

    /// Sends a call and reads the whole answer within `limit`.
    pub(crate) async fn call(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Response<Bytes>, Error> {
        let whole = async {
            let response = self.send(request).await?;
            let (parts, body) = response.into_parts();
            let body = collect(body, self.settings.max_answer, self.memory.reserve()).await?;
            Ok(Response::from_parts(parts, body))
        };
        tokio::time::timeout(limit, whole).await.unwrap_or_else(|_| Err(Error::unknown("no whole answer in time")))
    }
}

/// Whether a status is one that a final response may have, by RFC 9110, section 15. The HTTP library takes any other
/// number of three digits for a status too.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Builds a call to an endpoint.
pub(crate) fn request(method: Method, address: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri(address, path);
    request.headers_mut().insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    request
}

fn uri(address: SocketAddr, path: &str) -> Uri {
    let built = Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path).build();
    built.unwrap_or_else(|_| Uri::from_static("http://0.0.0.0/"))
}

/// Reads a whole body of at most `limit` bytes.
///
/// It is copied into one buffer: a list of its pieces would take many times its length if an endpoint sent it
/// in chunks of one byte.
pub(crate) async fn collect(mut body: AnswerBody, limit: usize, memory: Reservation) -> Result<Bytes, Error> {
    let mut whole = Buffer::new(memory);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Error::unknown)?.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(Error::unknown("the answer is too long"));
        }
        if !whole.extend(&data) {
            return Err(Error::unknown("no memory is left for the answer"));
        }
    }
    Ok(whole.into_bytes())
}

/// What an endpoint's refusal says.
pub(crate) fn refusal(status: StatusCode, headers: &HeaderMap) -> Error {
    let refusal = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Refusal::Full,
        StatusCode::NOT_FOUND => Refusal::NotLoaded,
        other => Refusal::Status(other.as_u16()),
    };
    Error::Refused { refusal, retry_after: retry_after(headers) }
}

/// When the endpoint wants to be asked again.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(wire::RETRY_AFTER_HEADER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

fn from_client(error: &legacy::Error) -> Error {
    if error.is_connect() || unsent(error) {
        return Error::unreachable();
    }
    Error::unknown(chain(error))
}

/// Whether the call came back to us before its connection took it.
fn unsent(error: &legacy::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|s| s.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

/// An error's message with those of its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
