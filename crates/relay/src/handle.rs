//! Starts the relay and shuts it down gracefully.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    caches, clock,
    desk::Desk,
    dialect::Dialect,
    directory, exchange, follow, front, join, news, quarantine, report,
    settings::{Listeners, Settings},
    share::Sharer,
    source::{Kind, Source},
};

/// Part of the grace period that is reserved for ending the process.
const LAST: Duration = Duration::from_millis(600);

/// Time without requests in flight after which no further callers are expected. Also the
/// time limit for deregistering.
const QUIET: Duration = Duration::from_millis(400);

/// Factor by which some callers exceed the cache time of a list of addresses.
const KEPT: u32 = 3;

/// Why the relay could not start.
#[derive(Debug)]
pub struct Error {
    /// Name of the listener in the settings.
    pub listener: &'static str,
    /// Address that could not be bound.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub cause: io::Error,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { listener, address, cause } = self;
        write!(f, "cannot listen at {address}: {cause}; free the address or change `relay.listeners.{listener}`")
    }
}

impl std::error::Error for Error {}

/// A running relay; dropping it stops it.
#[derive(Debug)]
pub struct Handle {
    desk: Arc<Desk>,
    source: Arc<dyn Source>,
    tasks: JoinSet<()>,
}

/// Starts the relay and returns once it listens.
///
/// # Errors
///
/// Returns [`Error`] if an address cannot be bound.
pub async fn spawn(mut settings: Settings, dialect: Dialect, source: Arc<dyn Source>) -> Result<Handle, Error> {
    let at = settings.listeners;
    let failed = |listener, address| move |cause| Error { listener, address, cause };
    let callers = front::bind(at.front).map_err(failed("front", at.front))?;
    let ready = front::bind(at.ready).map_err(failed("ready", at.ready))?;
    let directory = front::bind(at.directory).map_err(failed("directory", at.directory))?;
    let (socket, copying) = news::bind(at.news).await.map_err(failed("news", at.news))?;
    let bound = |listener: &tokio::net::TcpListener, told| listener.local_addr().unwrap_or(told);
    settings.listeners = Listeners {
        front: bound(&callers, at.front),
        ready: bound(&ready, at.ready),
        directory: bound(&directory, at.directory),
        news: socket.local_addr().unwrap_or(at.news),
    };
    let desk = Desk::new(settings, dialect);
    desk.settle_in();
    let mut tasks = JoinSet::new();
    let shared = Arc::clone(&desk);
    tasks.spawn(front::accept(callers, move |request| exchange::serve(Arc::clone(&shared), request)));
    let shared = Arc::clone(&desk);
    tasks.spawn(front::accept(ready, move |request| std::future::ready(directory::ready(&shared, &request))));
    let shared = Arc::clone(&desk);
    tasks.spawn(front::accept(directory, move |request| std::future::ready(directory::addresses(&shared, &request))));
    let (copies, shared) = (Arc::new(Sharer::new()), Arc::clone(&desk));
    let copy = move |request| std::future::ready(copies.serve(&shared, &request));
    tasks.spawn(front::accept(copying, copy));
    for kind in [Kind::Catalog, Kind::Rollouts, Kind::Endpoints] {
        tasks.spawn(follow::follow(Arc::clone(&desk), Arc::clone(&source), kind));
    }
    tasks.spawn(caches::ask(Arc::clone(&desk)));
    tasks.spawn(join::join(Arc::clone(&desk), Arc::clone(&source)));
    tasks.spawn(report::roll_out(Arc::clone(&desk), Arc::clone(&source)));
    tasks.spawn(quarantine::keep(Arc::clone(&desk), Arc::clone(&source)));
    tasks.spawn(news::exchange(Arc::clone(&desk), socket));
    Ok(Handle { desk, source, tasks })
}

impl Handle {
    /// Returns the state of the instance.
    #[must_use]
    pub fn desk(&self) -> &Arc<Desk> {
        &self.desk
    }

    /// Shuts down gracefully: other instances are notified at once, and callers that still
    /// have the address are served until all answers are sent or the grace period is over.
    pub async fn shutdown(mut self) {
        let started = Instant::now();
        let grace = self.desk.settings.grace.saturating_sub(LAST);
        self.desk.drain();
        tracing::info!(in_flight = self.desk.in_flight(), "leaving");
        let name = self.desk.settings.instance.clone();
        match timeout(QUIET, self.source.deregister(&name)).await {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => tracing::info!(%fault, "registration left behind"),
            Err(_) => tracing::info!("registration left behind: no answer in time"),
        }
        let kept = Duration::from_secs((directory::KEEP_S * KEPT).into());
        let mut quiet_since = Instant::now();
        while started.elapsed() < grace {
            if self.desk.in_flight() > 0 {
                quiet_since = Instant::now();
            }
            if started.elapsed() > kept && quiet_since.elapsed() > QUIET {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        tracing::info!(in_flight = self.desk.in_flight(), took_ms = clock::millis(started.elapsed()), "left");
        self.tasks.shutdown().await;
    }
}
