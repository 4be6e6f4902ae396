//! Callers' HTTP and one request's life.
//!
//! [`bind`] serves callers on a bound socket. A request is read and checked
//! ([`ask`]), then driven by one task (`drive`) through the state machine of
//! [`life`]; what its caller sees is written to a [`tape`], which repeats of
//! it read too, here or over a peer link (`join`). Decisions are asked of the
//! [`desk`], which holds what `route` needs.

pub mod ask;
pub mod clock;
pub mod desk;
mod drive;
mod feed;
mod handle;
mod held;
mod http;
mod join;
pub mod life;
pub mod problem;
mod request;
pub mod session;
mod shared;
pub mod tape;
mod truth;

use std::io;

use tokio::net::TcpListener;

pub use handle::Handle;
pub use http::no_delay;
pub use shared::{Links, Settings};

/// Serves callers; must run inside a tokio runtime.
///
/// # Errors
///
/// The socket cannot be served.
pub fn bind(listener: TcpListener, settings: Settings, links: Links) -> io::Result<Handle> {
    Handle::start(listener, settings, links)
}
