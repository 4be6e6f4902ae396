//! A daemon from its settings file to its last answer.
//!
//! `start` starts every crate's task, with the settings that `options`
//! makes of the file's, and `wiring` carries messages between them; here is
//! what binds the sockets first and ends it all in order.

mod options;
mod start;
mod wiring;

use std::{fmt, io, net::SocketAddr, time::Duration};

use settings::{Listener, Settings};
use timeline::{Event, Recorder};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;
use world::instance::{Incarnation, Instance, State};

use crate::{
    operators::{self, Duty, Phase},
    registry,
};

/// Longest wait for bills and grants to be written at shutdown.
const FLUSH_WITHIN: Duration = Duration::from_secs(20);

/// Why a daemon could not start.
#[derive(Debug)]
pub enum Error {
    /// A listener's address could not be bound.
    Bind {
        /// Which listener.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's words.
        cause: io::Error,
    },
    /// A secret is empty.
    Secret(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { listener, address, cause } => {
                write!(f, "cannot listen at {address}: {cause}; free the address or change `listeners.{listener}.bind`")
            }
            Self::Secret(name) => {
                write!(f, "`{name}` is empty or not UTF-8 text; write a new key of printable characters")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Handles of everything a daemon runs.
#[derive(Debug, Clone)]
pub struct Parts {
    /// The object API.
    pub platform: store::Handle,
    /// The configuration.
    pub config: config::Handle,
    /// Claims, bills, sessions.
    pub journal: journal::Handle,
    /// Budget grants.
    pub budget: budget::Handle,
    /// Links to the other instances.
    pub peers: peer::Handle,
    /// The version guard and roll-outs.
    pub control: control::Handle,
    /// Callers' side.
    pub entry: entry::Handle,
    /// The time line.
    pub recorder: Recorder,
    /// Cancelled to have the daemon leave.
    pub leave: CancellationToken,
}

/// A running daemon; dropping it ends its wiring, not its connections.
#[derive(Debug)]
pub struct Daemon {
    parts: Parts,
    me: Instance,
    drain_within: Duration,
    duty: watch::Sender<Duty>,
    listener: operators::Listener,
    wiring: JoinSet<()>,
}

/// Sockets that are bound before anything is told their addresses.
struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Daemon {
    /// Starts a daemon; returns once it listens.
    ///
    /// # Errors
    ///
    /// [`Error`]; nothing keeps running then.
    pub async fn spawn(settings: Settings) -> Result<Self, Error> {
        let callers = bind("callers", settings.listeners.callers).await?;
        let operators = bind("operators", settings.listeners.operators).await?;
        let peers = bind("peers", settings.listeners.peers).await?;
        let sockets = Sockets { callers, operators, peers };
        let platform = store::open(options::platform(&settings));
        let mut me = instance(&settings, &sockets);
        let entered = registry::enter(&platform, &mut me).await;
        start::start(&settings, sockets, platform, me, entered)
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.me.callers
    }

    /// Where peers connect.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.me.peers
    }

    /// Where operators connect.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.me.operators
    }

    /// Handles of everything it runs.
    #[must_use]
    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Waits until an operator has told it to leave.
    pub async fn drained(&self) {
        self.parts.leave.cancelled().await;
    }

    /// Leaves in order: out of the addresses, every answer to its end, bills
    /// written, grants returned, links closed.
    pub async fn shutdown(mut self) {
        let Parts { entry, journal, budget, recorder, peers, platform, .. } = &self.parts;
        recorder.record(Event::Lifecycle { state: State::Leaving, in_flight: entry.in_flight() });
        self.duty.send_modify(|duty| duty.phase = Phase::Leaving);
        if !entry.drain(Instant::now() + self.drain_within).await {
            tracing::warn!(left = entry.in_flight(), "requests were cut off; raise `timing.drain_ms`");
        }
        let deadline = Instant::now() + FLUSH_WITHIN;
        if !journal.flush(deadline).await {
            tracing::warn!("bills are left to their second holders");
        }
        if !budget.flush(deadline).await {
            tracing::warn!("grants are left to be settled from their bills");
        }
        self.duty.send_modify(|duty| duty.phase = Phase::Finished);
        registry::erase(platform, &self.me).await;
        recorder.record(Event::Lifecycle { state: State::Gone, in_flight: entry.in_flight() });
        self.listener.close().await;
        drop(peers.close().await);
        self.wiring.shutdown().await;
    }
}

async fn bind(listener: &'static str, at: Listener) -> Result<TcpListener, Error> {
    let address = at.bind;
    TcpListener::bind(address).await.map_err(|cause| Error::Bind { listener, address, cause })
}

/// This run of this instance; its incarnation is the clock's until the
/// registry raises it.
fn instance(settings: &Settings, sockets: &Sockets) -> Instance {
    let told = |listener: Listener, socket: &TcpListener| {
        let bound = socket.local_addr().unwrap_or(listener.bind);
        listener.advertise.unwrap_or(bound)
    };
    Instance {
        id: settings.instance.clone(),
        incarnation: Incarnation(journal::Clock::System.now().0),
        domain: settings.domain.clone(),
        callers: told(settings.listeners.callers, &sockets.callers),
        peers: told(settings.listeners.peers, &sockets.peers),
        operators: told(settings.listeners.operators, &sockets.operators),
        state: State::Live,
    }
}
