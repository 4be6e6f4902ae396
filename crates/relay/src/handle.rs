//! Starts the relay and shuts it down gracefully.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    caches, clock,
    connections::{self, Peer},
    dialect::Dialect,
    directory,
    dispatcher::{Dispatcher, fleet},
    exchange::{self, Origin},
    follow, front, inquiry, join, news, probe, quarantine, report,
    settings::{Capacity, Listeners, Settings},
    share::CatalogServer,
    source::{Kind, Source},
};

/// Part of the time after the serving in which requests without an answer get a refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Time without requests in flight after which no further callers are expected. Also the
/// time limit for deregistering.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Factor by which some callers exceed the cache time of a list of addresses.
const ADDRESS_CACHE_FACTOR: u32 = 3;

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
    dispatcher: Arc<Dispatcher>,
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
    let front_listener = front::bind(at.front).map_err(failed("front", at.front))?;
    let ready = front::bind(at.ready).map_err(failed("ready", at.ready))?;
    let directory = front::bind(at.directory).map_err(failed("directory", at.directory))?;
    let (socket, instance_listener) = news::bind(at.news).await.map_err(failed("news", at.news))?;
    let bound = |listener: &tokio::net::TcpListener, requested| listener.local_addr().unwrap_or(requested);
    settings.listeners = Listeners {
        front: bound(&front_listener, at.front),
        ready: bound(&ready, at.ready),
        directory: bound(&directory, at.directory),
        news: socket.local_addr().unwrap_or(at.news),
    };
    let dispatcher = Dispatcher::new(settings, dialect);
    dispatcher.set_identity();
    let mut tasks = JoinSet::new();
    let shared = Arc::clone(&dispatcher);
    tasks.spawn(front::accept(front_listener, Arc::clone(&dispatcher), Peer::Caller, move |request| {
        exchange::serve(Arc::clone(&shared), request, Origin::Caller)
    }));
    let shared = Arc::clone(&dispatcher);
    tasks.spawn(front::accept(ready, Arc::clone(&dispatcher), Peer::Infrastructure, move |request| {
        std::future::ready(directory::ready(&shared, &request))
    }));
    let shared = Arc::clone(&dispatcher);
    tasks.spawn(front::accept(directory, Arc::clone(&dispatcher), Peer::Infrastructure, move |request| {
        std::future::ready(directory::addresses(&shared, &request))
    }));
    let (catalog_server, shared) = (Arc::new(CatalogServer::new()), Arc::clone(&dispatcher));
    let serve_instance = move |request| {
        let (catalog_server, dispatcher) = (Arc::clone(&catalog_server), Arc::clone(&shared));
        async move {
            if exchange::is_forwarded(&request) {
                return exchange::serve(dispatcher, request, Origin::Instance).await;
            }
            if inquiry::is_inquiry(&request) {
                return inquiry::answer(&dispatcher, &request).await;
            }
            catalog_server.serve(&dispatcher, &request)
        }
    };
    tasks.spawn(front::accept(instance_listener, Arc::clone(&dispatcher), Peer::Infrastructure, serve_instance));
    tasks.spawn(connections::sweep(Arc::clone(&dispatcher)));
    for kind in [Kind::Catalog, Kind::Rollouts, Kind::Endpoints] {
        tasks.spawn(follow::follow(Arc::clone(&dispatcher), Arc::clone(&source), kind));
    }
    if dispatcher.settings.follows_evacuations() {
        tasks.spawn(follow::follow(Arc::clone(&dispatcher), Arc::clone(&source), Kind::Evacuations));
    }
    tasks.spawn(caches::ask_engines(Arc::clone(&dispatcher)));
    tasks.spawn(join::join(Arc::clone(&dispatcher), Arc::clone(&source)));
    tasks.spawn(report::advance_rollouts(Arc::clone(&dispatcher), Arc::clone(&source)));
    tasks.spawn(quarantine::synchronize(Arc::clone(&dispatcher), Arc::clone(&source)));
    tasks.spawn(probe::probe_unreachable_services(Arc::clone(&dispatcher)));
    if dispatcher.settings.policies.capacity == Capacity::Learned {
        tasks.spawn(fleet::assess_regularly(Arc::clone(&dispatcher)));
    }
    tasks.spawn(news::exchange(Arc::clone(&dispatcher), socket));
    Ok(Handle { dispatcher, source, tasks })
}

impl Handle {
    /// Returns the state of the instance.
    #[must_use]
    pub fn dispatcher(&self) -> &Arc<Dispatcher> {
        &self.dispatcher
    }

    /// Shuts down gracefully: other instances are notified at once, and callers that still
    /// have the address are served until all answers are sent or the grace period is over, also when that
    /// is changed meanwhile. Requests that have no answer by then are refused.
    pub async fn shutdown(mut self) {
        let started = Instant::now();
        self.dispatcher.start_draining();
        tracing::info!(in_flight = self.dispatcher.in_flight(), "leaving");
        let name = self.dispatcher.settings.instance.clone();
        match timeout(QUIET_TIME, self.source.deregister(&name)).await {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => tracing::info!(%fault, "registration left behind"),
            Err(_) => tracing::info!("registration left behind: no answer in time"),
        }
        let addresses_cached_for = Duration::from_secs((directory::ADDRESS_CACHE_S * ADDRESS_CACHE_FACTOR).into());
        let mut quiet_since = Instant::now();
        while started.elapsed() < self.dispatcher.serving_time() {
            if self.dispatcher.in_flight() > 0 {
                quiet_since = Instant::now();
            }
            if started.elapsed() > addresses_cached_for && quiet_since.elapsed() > QUIET_TIME {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        let unanswered = self.dispatcher.in_flight();
        self.dispatcher.end_serving();
        let refusing_since = Instant::now();
        while self.dispatcher.in_flight() > 0 && refusing_since.elapsed() < REFUSAL_TIME {
            sleep(Duration::from_millis(10)).await;
        }
        let in_flight = self.dispatcher.in_flight();
        tracing::info!(unanswered, in_flight, took_ms = clock::millis(started.elapsed()), "left");
        self.tasks.shutdown().await;
    }
}
