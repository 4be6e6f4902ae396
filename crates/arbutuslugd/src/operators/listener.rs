//! One port for gRPC and plain HTTP.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Request, Response, header::CONTENT_TYPE};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use operator::{MAX_MESSAGE_BYTES, wire::operator_server::OperatorServer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;
use tonic::{Status, body::Body, codegen::Service as _};

use super::{Handles, access, health, service::Service};

/// Connections at a time; operators are few.
const MAX_CONNECTIONS: usize = 512;

/// Longest wait for a request's head, so that idle sockets do not pile up.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Life of a connection on which nobody has shown the key. Whoever lacks it
/// could otherwise hold every connection and lock the operators out.
const STRANGER: Duration = Duration::from_secs(5);

/// Longest wait for answers under way at the end.
const LAST_ANSWERS: Duration = Duration::from_secs(2);

/// Pause after a failed accept: out of file descriptors, mostly.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The running listener.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Listener {
    /// Where operators connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, lets answers under way end, and ends.
    pub async fn close(self) {
        self.stop.cancel();
        // A task that panicked has nothing left to close.
        let _ = self.task.await;
    }
}

/// Serves operators on a bound socket.
///
/// # Errors
///
/// When the socket has no address.
pub fn bind(socket: TcpListener, handles: Handles) -> io::Result<Listener> {
    let address = socket.local_addr()?;
    let stop = CancellationToken::new();
    let service = Service::new(handles.clone(), stop.clone());
    let calls = OperatorServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server { handles, calls, slots: Arc::new(Semaphore::new(MAX_CONNECTIONS)) };
    let task = tokio::spawn(serve(socket, server, stop.clone()));
    Ok(Listener { address, stop, task })
}

#[derive(Clone)]
struct Server {
    handles: Handles,
    calls: OperatorServer<Service>,
    slots: Arc<Semaphore>,
}

async fn serve(socket: TcpListener, server: Server, stop: CancellationToken) {
    let connections = GracefulShutdown::new();
    loop {
        let Ok(slot) = server.slots.clone().acquire_owned().await else { break };
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => server.clone().connect(stream, slot, &connections),
            Err(error) => {
                tracing::warn!(%error, "operators' connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(socket);
    if tokio::time::timeout(LAST_ANSWERS, connections.shutdown()).await.is_err() {
        tracing::warn!("operators' answers cut off at the end");
    }
}

impl Server {
    fn connect(self, stream: TcpStream, slot: OwnedSemaphorePermit, connections: &GracefulShutdown) {
        // Small answers must not wait for more to send.
        let _ = stream.set_nodelay(true);
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
        builder.http2().timer(TokioTimer::new()).keep_alive_interval(HEAD_TIMEOUT);
        let trusted = Arc::new(AtomicBool::new(false));
        let shown = trusted.clone();
        let respond = service_fn(move |request| self.clone().respond(request, shown.clone()));
        let connection = builder.serve_connection(TokioIo::new(stream), respond).into_owned();
        let watched = connections.watch(connection);
        tokio::spawn(async move {
            let mut watched = std::pin::pin!(watched);
            let mut ended = tokio::time::timeout(STRANGER, &mut watched).await;
            if ended.is_err() && trusted.load(Ordering::Relaxed) {
                ended = Ok(watched.await);
            }
            if let Ok(Err(error)) = ended {
                tracing::debug!(error, "operators' connection ended");
            }
            drop(slot);
        });
    }

    async fn respond(
        mut self,
        request: Request<Incoming>,
        trusted: Arc<AtomicBool>,
    ) -> Result<Response<Body>, Infallible> {
        let allowed = access::allowed(request.headers(), &self.handles.key);
        trusted.fetch_or(allowed, Ordering::Relaxed);
        if !is_call(&request) {
            return Ok(health::respond(&request, allowed, &self.handles).map(Body::new));
        }
        if !allowed {
            access::count_refusal();
            let status = Status::unauthenticated("wrong operators' key; give the one of the instances' settings");
            return Ok(status.into_http());
        }
        self.calls.call(request).await
    }
}

/// Whether a request is a call of the service.
fn is_call<B>(request: &Request<B>) -> bool {
    let kind = request.headers().get(CONTENT_TYPE).map(http::HeaderValue::as_bytes);
    kind.is_some_and(|kind| kind.starts_with(b"application/grpc"))
}
