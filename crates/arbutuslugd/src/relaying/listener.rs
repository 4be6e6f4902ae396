//! The operators' listener of a relay: explanations of decisions at `POST /explain`, and metrics as
//! text at every other path.

use std::{
    collections::VecDeque,
    convert::Infallible,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use relay::{dispatcher::Dispatcher, explain};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use super::{query, turns::Turns};
use crate::meter;

/// Path of explanations.
pub const EXPLAIN_PATH: &str = "/explain";

/// Longest body of a query, in bytes.
pub const MAX_QUERY_BYTES: usize = 64 << 10;

/// Longest time in which a query's body may arrive.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time in which a request's head may arrive, and for which a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after a failed accept, since the next one would fail at once as well.
const ACCEPT_PAUSE: Duration = Duration::from_secs(1);

/// The instance whose decisions are explained, once it has started.
#[derive(Debug, Clone, Default)]
pub struct Instance(Arc<OnceLock<Arc<Dispatcher>>>);

impl Instance {
    /// Sets the instance; only the first call counts.
    pub fn set(&self, dispatcher: &Arc<Dispatcher>) {
        self.0.get_or_init(|| Arc::clone(dispatcher));
    }
}

/// The operators' listener.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    max_connections: usize,
}

impl Listener {
    /// Binds the listener, with at most `max_connections` at a time. The oldest one is closed for a new
    /// one: an operator's request takes milliseconds, and whoever holds connections could otherwise lock
    /// the operators out.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind(address: SocketAddr, max_connections: usize) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(address).await?, max_connections })
    }

    /// Returns the address that is bound.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it does not know the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves operators; never returns.
    pub async fn serve(self, instance: Instance) {
        let server = Arc::new(Server { metrics: meter::handle(), instance, turns: Turns::default() });
        let mut connections: VecDeque<AbortOnDropHandle<()>> = VecDeque::new();
        let mut displaced = Displaced::default();
        loop {
            let Ok((stream, address)) = self.listener.accept().await else {
                // Without descriptors the platform would not see the metrics that tell so.
                connections.pop_front();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            connections.retain(|connection| !connection.is_finished());
            if connections.len() >= self.max_connections {
                connections.pop_front();
                metrics::counter!("relay_operators_displaced_total").increment(1);
                displaced.log(address.ip());
            }
            let server = Arc::clone(&server);
            let service = service_fn(move |request| {
                let server = Arc::clone(&server);
                async move { Ok::<_, Infallible>(server.answer(request).await) }
            });
            connections.push_back(AbortOnDropHandle::new(tokio::spawn(async move {
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .max_buf_size(MAX_HEAD_BYTES)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "operators' connection ended");
                }
            })));
        }
    }
}

/// Connections that were closed for new ones since the last log line.
#[derive(Default)]
struct Displaced {
    count: u64,
    last_line: Option<Instant>,
}

impl Displaced {
    /// Counts one, and logs how many there were unless it was logged just now. `ip` is whose the new one is.
    fn log(&mut self, ip: IpAddr) {
        self.count += 1;
        if self.last_line.is_none_or(|last| last.elapsed() >= LOG_INTERVAL) {
            tracing::warn!(displaced = self.count, last_from = %ip, "operators' connections closed for new ones");
            *self = Self { count: 0, last_line: Some(Instant::now()) };
        }
    }
}

struct Server {
    metrics: PrometheusHandle,
    instance: Instance,
    turns: Turns,
}

impl Server {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::POST || request.uri().path() != EXPLAIN_PATH {
            return Response::new(Full::new(Bytes::from(self.metrics.render())));
        }
        let Some(dispatcher) = self.instance.0.get() else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "instance", "it has not started yet");
        };
        let body = timeout(QUERY_TIMEOUT, Limited::new(request.into_body(), MAX_QUERY_BYTES).collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return refuse(StatusCode::PAYLOAD_TOO_LARGE, "body", "longer than 64 KiB");
            }
            Ok(Err(_)) | Err(_) => return refuse(StatusCode::BAD_REQUEST, "body", "it ended early or came too slowly"),
        };
        let query = match query::parse(&body) {
            Ok(query) => query,
            Err(invalid) => return refuse(StatusCode::BAD_REQUEST, &invalid.field, invalid.cause),
        };
        match self.turns.run(Box::pin(explain::explain(dispatcher, &query, rand::random()))).await {
            Ok(explanation) => json(StatusCode::OK, serde_json::to_vec(&explanation).unwrap_or_default()),
            Err(invalid) => refuse(StatusCode::BAD_REQUEST, &invalid.field, invalid.cause),
        }
    }
}

fn refuse(status: StatusCode, field: &str, cause: &str) -> Response<Full<Bytes>> {
    let mut response = json(status, serde_json::json!({ "field": field, "cause": cause }).to_string().into_bytes());
    // The rest of a body may still arrive and must not be read as the next request.
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn json(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
