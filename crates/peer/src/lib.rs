//! Links between instances: membership, news, calls and streams.
//!
//! [`spawn`] starts one task that owns the links and the knowledge of who is
//! there. Deciding is pure and takes time as an argument ([`membership`],
//! [`topology`], [`news`], [`spread`]); the task and the tonic server at the
//! rim only carry.
//!
//! A body is opaque here: the crate that owns a [`Topic`] owns its wire types.
//! Calls and streams use connections of their own, so that a large answer
//! never stands before a heartbeat. News may be lost to an instance that is
//! slow; a digest of what each owner holds travels on the heartbeats, so that
//! the owner notices.

pub mod aggregation;
mod error;
mod event;
#[expect(clippy::all, clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
mod generated;
mod handle;
mod inbound;
mod link;
pub mod member;
pub mod membership;
pub mod news;
mod pool;
mod reader;
pub mod relay;
mod server;
pub mod settings;
pub mod spread;
mod task;
mod ticks;
mod topic;
pub mod topology;
mod traffic;
mod wire;

pub use error::Error;
pub use handle::Handle;
pub use inbound::Inbound;
pub use member::Members;
pub use membership::{Listed, Standing};
pub use settings::{Key, Limits, Settings, Timing};
pub use topic::Topic;
pub use traffic::Traffic;

use std::io;

use tokio::{net::TcpListener, sync::mpsc};

/// Binds the peers' listener and starts to look for the others.
///
/// What peers send arrives on the receiver; the caller has to keep taking, or
/// calls are refused as not run and news is dropped.
///
/// # Errors
///
/// The listener's address cannot be bound.
pub async fn spawn(settings: Settings) -> io::Result<(Handle, mpsc::Receiver<Inbound>)> {
    let listener = TcpListener::bind(settings.listen).await?;
    spawn_on(listener, settings)
}

/// The same on a socket that is bound already, so that its address can be told
/// before the first link.
///
/// # Errors
///
/// The socket has no address.
pub fn spawn_on(listener: TcpListener, mut settings: Settings) -> io::Result<(Handle, mpsc::Receiver<Inbound>)> {
    let bound = listener.local_addr()?;
    if settings.me.peers.port() == 0 {
        settings.me.peers.set_port(bound.port());
    }
    Ok(task::start(settings, listener))
}
