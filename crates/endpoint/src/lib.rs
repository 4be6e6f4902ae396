//! The edge to model engines, plain services and the rating service.
//!
//! Everything outside is met here, in the form docs/design/outside-protocols.md
//! states, and leaves as typed values: an attempt is a [`run::Run`] of checked
//! [`frame::Frame`]s, a failed call says whether anything may have run
//! ([`Error`]). Each attempt has one task that owns its connection; the
//! [`Handle`] is cheap to clone and holds only the pool of idle connections.

mod client;
mod connector;
pub mod error;
pub mod frame;
mod held;
pub mod order;
pub mod rating;
pub mod report;
pub mod run;
pub mod sequence;
pub mod service;
mod wire;

use std::{net::SocketAddr, time::Duration};

pub use client::Handle;
pub use error::Error;
pub use frame::Frame;
pub use run::{Attempt, Broken, Dispatch, Run};

/// How the edge behaves; the defaults suit engines in the same region.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where the rating service listens; nothing is rated without.
    pub rating: Option<SocketAddr>,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest silence within a stream before it counts as broken.
    pub idle_timeout: Duration,
    /// Longest time for a short call: cancel, load, order, submit.
    pub call_timeout: Duration,
    /// Most bytes of one answer.
    pub max_answer: usize,
    /// Most bytes of all answers, and events of streams, that are being received or used at a time.
    pub max_held: usize,
    /// Frames that wait between an engine and a slow caller.
    pub frame_buffer: usize,
    /// Idle connections kept per endpoint.
    pub idle_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rating: None,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(20),
            call_timeout: Duration::from_secs(2),
            max_answer: 16 * 1024 * 1024,
            max_held: 256 * 1024 * 1024,
            frame_buffer: 16,
            idle_connections: 64,
        }
    }
}

/// Opens the edge; connections are made on first use.
#[must_use]
pub fn open(settings: Settings) -> Handle {
    Handle::new(settings)
}
