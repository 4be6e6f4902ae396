//! HTTP interface for callers and the life cycle of one request.
//!
//! [`bind`] serves callers on a bound socket. A request is read and checked
//! ([`parsing`]), then one task (`driver`) takes it through the state machine of
//! [`machine`]. The task writes everything that the caller receives to a [`buffer`].
//! Repeats of the request read the same buffer, on this instance or over a peer link
//! (`join`). Routing decisions are requested from the [`dispatcher`], which owns the
//! state that `route` needs.

mod answers;
pub mod buffer;
pub mod clock;
pub mod dispatcher;
mod driver;
mod handle;
mod http;
mod join;
pub mod machine;
pub mod parsing;
pub mod problem;
mod ran_status;
mod request;
pub mod session;
mod shared;
mod updates;

use std::io;

use tokio::net::TcpListener;

pub use handle::Handle;
pub use http::no_delay;
pub use shared::{Links, Settings};

/// Starts serving callers. Must be called inside a tokio runtime.
///
/// # Errors
///
/// Returns an error if the socket cannot be served.
pub fn bind(listener: TcpListener, settings: Settings, links: Links) -> io::Result<Handle> {
    Handle::start(listener, settings, links)
}
