//! Links between instances: membership, news, calls and streams.
//!
//! [`spawn`] starts one task that owns the links and the membership view. All
//! decisions are made by state machines without I/O that take the time as an
//! argument ([`membership`], [`topology`], [`news`], [`relay`], [`outbox`]);
//! the task and the tonic server only do the I/O for them.
//!
//! Message bodies are opaque to this crate: the crate that owns a [`Topic`]
//! owns its wire types. Calls and streams use separate connections, so that a
//! large response never delays a heartbeat. A slow instance may miss news;
//! heartbeats carry a digest of what each topic owner holds, so that the owner
//! can detect the loss.

pub mod aggregation;
mod error;
mod event;
#[expect(clippy::all, clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
mod generated;
mod handle;
mod hybrid_clock;
mod inbound;
mod link;
pub mod member;
pub mod membership;
pub mod news;
pub mod outbox;
mod pool;
mod reader;
pub mod relay;
mod server;
pub mod settings;
mod task;
mod topic;
pub mod topology;
mod traffic;
mod wire;

pub use error::Error;
pub use handle::Handle;
pub use inbound::Inbound;
pub use member::Members;
pub use membership::{Listed, ListedState};
pub use settings::{Key, Limits, Settings, Timing};
pub use topic::Topic;
pub use traffic::Traffic;

use std::io;

use tokio::{net::TcpListener, sync::mpsc};

/// Binds the peer listener and starts connecting to other instances.
///
/// Messages from peers arrive on the returned receiver. The caller has to keep
/// reading it: when its queue is full, news is dropped and calls are refused
/// with an error that says that they were not run.
///
/// # Errors
///
/// Fails if the listener's address cannot be bound.
pub async fn spawn(settings: Settings) -> io::Result<(Handle, mpsc::Receiver<Inbound>)> {
    let listener = TcpListener::bind(settings.listen).await?;
    spawn_on(listener, settings)
}

/// Like [`spawn`], but on an already bound socket, so that the caller can
/// announce its address before the first link opens.
///
/// # Errors
///
/// Fails if the socket has no local address.
pub fn spawn_on(listener: TcpListener, mut settings: Settings) -> io::Result<(Handle, mpsc::Receiver<Inbound>)> {
    let bound = listener.local_addr()?;
    if settings.me.peers.port() == 0 {
        settings.me.peers.set_port(bound.port());
    }
    Ok(task::start(settings, listener))
}
