//! Listening for HTTP, one task a connection.

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

use crate::answer::Body;

/// Connections waiting to be accepted: a returning herd's worth, so that none
/// of its first packets is dropped and sent again a second later.
const BACKLOG: i32 = 1_024;

/// Longest time a connection stays without a request. Callers reuse theirs
/// within the operator's limit, which may grow while a connection is open, so
/// this only sweeps up what was left behind.
const IDLE: Duration = Duration::from_mins(2);

/// Largest head a connection buffers, in bytes; the catalog's bound is lower.
const HEAD: usize = 64 << 10;

/// Pause after a failed accept, which would fail again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time until a silent caller's connection is probed, and between probes: a
/// caller that lost power would else hold its place for hours.
const PROBE: Duration = Duration::from_secs(10);

/// Where a request's connection comes from, among its extensions.
#[derive(Debug, Clone, Copy)]
pub struct Origin(pub IpAddr);

/// Binds a listener.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections for good and serves each with `serve`.
pub async fn accept<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let serve = Arc::new(serve);
    loop {
        let (stream, origin) = match listener.accept().await {
            Ok((stream, address)) => (stream, Origin(address.ip())),
            Err(error) => {
                tracing::warn!(%error, "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = prepare(&stream) {
            tracing::debug!(%error, "connection closed before it was served");
            continue;
        }
        let serve = Arc::clone(&serve);
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(origin);
            let answer = serve(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .max_buf_size(HEAD)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
