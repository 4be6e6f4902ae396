//! Accepts HTTP connections and serves each in a task of its own.

use std::{
    convert::Infallible,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    answer::Body,
    connections::{Connections, Handle, Opened, Peer},
    dispatcher::Dispatcher,
    unsent::{Connection, Unsent},
    write_timeout::{TimedStream, WriteTimeout},
};

/// Maximum number of connections waiting to be accepted. When many callers reconnect at
/// once, a full queue would drop first packets, which are resent only a second later.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Longest time that a connection may stay without a request. The operator limits how long
/// callers keep idle connections, and may raise that limit while a connection is open. This
/// timeout is therefore long and only closes abandoned connections.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Largest request head that a connection buffers, in bytes; the catalog's limit is lower.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Pause after a failed accept, since the next one would fail at once as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Idle time before TCP keepalive probes, and the interval between them. Without probes,
/// the connection of a caller that lost power would stay open for hours.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Longest time for which the peer of a connection may take nothing of a response, unless the request has
/// set another one.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Request extension that holds the IP address of the caller.
#[derive(Debug, Clone, Copy)]
pub struct CallerIp(pub IpAddr);

/// Binds a TCP listener.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections of `peer` and passes their requests to `serve`; never returns.
pub async fn accept<S, F>(listener: TcpListener, dispatcher: Arc<Dispatcher>, peer: Peer, serve: S)
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let serve = Arc::new(serve);
    loop {
        let (stream, caller_ip) = match listener.accept().await {
            Ok((stream, address)) => (stream, CallerIp(address.ip())),
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                dispatcher.connections.displace();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(handle) = register(&dispatcher.connections, caller_ip, peer).await else { continue };
        if let Err(error) = set_socket_options(&stream) {
            tracing::debug!(%error, "setting socket options failed; connection dropped");
            continue;
        }
        let serve = Arc::clone(&serve);
        let (unsent, write_timeout) = (Unsent::default(), WriteTimeout::default());
        write_timeout.set(WRITE_TIMEOUT, &dispatcher.stalled_callers);
        let stream = TimedStream::new(stream, write_timeout.clone());
        let connection = Connection::new(stream, unsent.clone(), handle.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(caller_ip);
            request.extensions_mut().insert(unsent.clone());
            request.extensions_mut().insert(write_timeout.clone());
            handle.start_request(head_bytes(&request));
            request.extensions_mut().insert(handle.clone());
            let (answer, unsent) = (serve(request), unsent.clone());
            async move {
                let response = answer.await;
                unsent.record_response();
                Ok::<_, Infallible>(response)
            }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(connection), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection ended");
            }
        });
        // The connection's task reads what has arrived before further connections need its place.
        tokio::task::yield_now().await;
    }
}

/// Registers a new connection, and waits for a place if others are as new; `None` if there is none.
async fn register(connections: &Arc<Connections>, CallerIp(ip): CallerIp, peer: Peer) -> Option<Handle> {
    loop {
        match connections.open(ip, peer) {
            Opened::Registered(handle) => return Some(handle),
            Opened::After(wait) => tokio::time::sleep(wait).await,
            Opened::NoPlace => return None,
        }
    }
}

/// Returns the bytes of a request's head.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let headers = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    request.uri().path_and_query().map_or(0, |path| path.as_str().len()) + headers.sum::<usize>()
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
