//! Opens TCP connections to endpoints and other instances.

use std::{fmt, io, net::SocketAddr};

use futures::future::BoxFuture;
use tokio::net::TcpStream;

/// The network as this instance sees it.
pub trait Network: fmt::Debug + Send + Sync {
    /// Connects to an address.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>>;
}

/// The operating system's TCP.
#[derive(Debug, Clone, Copy)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}
