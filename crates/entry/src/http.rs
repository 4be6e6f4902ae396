//! HTTP server for callers: listener, routes and request dispatch.

mod addresses;
mod answer;
mod calls;
mod read;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service, async_trait, conn::tcp::TcpAcceptor,
    server::ServerHandle,
};
use tokio::{net::TcpListener, time::timeout};

use crate::{
    problem::{Kind, Problem},
    shared::Shared,
};

/// Size of the buffer for a request's head, in bytes. A larger head closes the
/// connection. The limit in the settings is lower and is answered with a problem
/// document.
const HEAD_BUFFER_BYTES: usize = 256 * 1024;

/// The listener for callers. Dropping it closes every connection.
#[derive(Debug)]
pub(crate) struct Listener {
    pub address: SocketAddr,
    server: ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Starts serving callers on a bound socket.
    pub fn spawn(listener: TcpListener, shared: &Arc<Shared>) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        no_delay(&listener)?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(std::io::Error::other)?;
        let mut server = Server::new(acceptor).max_connections(shared.settings.max_connections);
        server.http1_mut().max_buf_size(HEAD_BUFFER_BYTES);
        let handle = server.handle();
        let service = Service::new(router(shared));
        let task = tokio::spawn(async move {
            if let Err(error) = server.try_serve(service).await {
                tracing::error!(%error, "listener for callers failed");
            }
        });
        Ok(Self { address, server: handle, task })
    }

    /// Stops accepting connections and waits up to `within` until all answers are sent.
    pub async fn close(&mut self, within: Duration) {
        self.server.stop_graceful(within);
        drop(timeout(within, &mut self.task).await);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sets `TCP_NODELAY` on every connection that the listener accepts.
///
/// With Nagle's algorithm, the second event of a stream waits for the caller's
/// delayed acknowledgement of the first, which adds about 40 ms to every answer.
/// The acceptor gives no access to its sockets, but on Linux they inherit the
/// option from the listening socket.
///
/// # Errors
///
/// Returns an error if the option cannot be set.
pub fn no_delay(listener: &TcpListener) -> std::io::Result<()> {
    socket2::SockRef::from(listener).set_tcp_nodelay(true)
}

fn router(shared: &Arc<Shared>) -> Router {
    let handler = |call| CallHandler { shared: shared.clone(), call };
    Router::new()
        .push(Router::with_path("v1/addresses").goal(handler(Call::Addresses)))
        .push(Router::with_path("v1/chat/completions").goal(handler(Call::Chat)))
        .push(Router::with_path("v1/requests/{key}").goal(handler(Call::Outcome)))
        .push(Router::with_path("v1/services/{service}").goal(handler(Call::Service)))
        .push(Router::with_path("v1/services/{service}/{**rest}").goal(handler(Call::Service)))
        .push(Router::with_path("{**rest}").goal(handler(Call::Unknown)))
        .goal(handler(Call::Unknown))
}

/// The operation that a path selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Addresses,
    Chat,
    Service,
    Outcome,
    Unknown,
}

impl Call {
    /// Returns the HTTP method that the call requires, or `None` if any method is
    /// allowed.
    fn method(self) -> Option<http::Method> {
        match self {
            Self::Addresses | Self::Outcome => Some(http::Method::GET),
            Self::Chat => Some(http::Method::POST),
            Self::Service | Self::Unknown => None,
        }
    }
}

/// Handler for the paths of one call.
struct CallHandler {
    shared: Arc<Shared>,
    call: Call,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(&self, request: &mut Request, _: &mut Depot, response: &mut Response, _: &mut FlowCtrl) {
        if let Err(problem) = self.answer(request, response).await {
            answer::write_problem(response, &problem);
        }
        if self.shared.closed.load(Ordering::Acquire) {
            // On a kept-alive connection the caller would send more requests to this instance.
            response.headers_mut().insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
        }
    }
}

impl CallHandler {
    async fn answer(&self, request: &mut Request, response: &mut Response) -> Result<(), Problem> {
        read::check_headers(request.headers(), self.shared.settings.max_headers)?;
        if let Some(method) = self.call.method()
            && *request.method() != method
        {
            return Err(Problem::not_run(Kind::WrongMethod, format!("use {method}")));
        }
        match self.call {
            Call::Addresses => addresses::answer(&self.shared, request, response),
            Call::Chat => calls::chat(&self.shared, request, response).await,
            Call::Service => calls::service(&self.shared, request, response).await,
            Call::Outcome => calls::outcome(&self.shared, request, response).await,
            Call::Unknown => {
                Err(Problem::not_run(Kind::NoSuchCall, format!("no call at {}", request.uri().path().escape_debug())))
            }
        }
    }
}
