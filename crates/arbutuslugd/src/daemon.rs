//! Starts a daemon's tasks, wires them, and ends them in order.

use std::{fmt, io, net::SocketAddr, time::Duration};

use journal::Origin;
use settings::{Listener, Settings};
use timeline::{Event, Recorder, Source};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;
use world::instance::{Incarnation, Instance, State};

use crate::{
    list,
    members::{self, Followers},
    meter,
    operators::{self, Duty, Handles, Phase},
    outage,
    pump::{self, Owners},
    registry,
};

/// Longest wait for bills and grants to be written at shutdown.
const FLUSH_WITHIN: Duration = Duration::from_secs(20);
/// Longest wait for requests in flight when the settings set no bound.
const DRAIN_WITHIN: Duration = Duration::from_hours(1);
/// Share of the platform's writes that one instance's journal may use; the
/// rest is for configuration, grants and leases.
const JOURNAL_SHARE: f64 = 0.8;

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
    pub platform: platform::Handle,
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
        let platform = platform::open(platform_settings(&settings));
        let mut me = instance(&settings, &sockets);
        let entered = registry::enter(&platform, &mut me).await;
        start(&settings, sockets, platform, me, entered)
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

fn start(
    settings: &Settings,
    sockets: Sockets,
    platform: platform::Handle,
    me: Instance,
    entered: bool,
) -> Result<Daemon, Error> {
    let origin = Origin { instance: me.id.clone(), incarnation: me.incarnation };
    let recorder = recorder(settings, &me);
    let (peers, inbound) = spawn_peers(settings, &me, recorder.clone(), sockets.peers)?;
    let (config, config_out) = config::spawn(config_settings(settings), platform.clone(), recorder.clone());
    let (journal, journal_out) = spawn_journal(settings, &origin, &platform, &recorder);
    let budget = budget::spawn(budget_config(origin, &recorder), platform.clone(), journal.clone());
    let endpoint = endpoint::open(endpoint::Settings { rating: settings.ratings, ..endpoint::Settings::default() });
    let edges = control::Edges {
        platform: platform.clone(),
        config: config.clone(),
        engines: control::order::spawn(endpoint.clone()),
        recorder: recorder.clone(),
    };
    let (control, control_out) = control::spawn(control_settings(settings, &me), edges);
    let (leaving, leaving_list) = watch::channel(Vec::new());
    let links = entry::Links {
        config: config.clone(),
        journal: journal.clone(),
        budget: budget.clone(),
        peer: peers.clone(),
        endpoint,
        control: control.clone(),
        leaving: leaving_list,
        recorder: recorder.clone(),
    };
    let entry = entry::bind(sockets.callers, entry_settings(settings)?, links).map_err(|cause| Error::Bind {
        listener: "callers",
        address: me.callers,
        cause,
    })?;

    let (duty, duty_known) = watch::channel(Duty { phase: Phase::Serving, in_flight: 0 });
    let leave = CancellationToken::new();
    let handles = Handles {
        config: config.clone(),
        journal: journal.clone(),
        peer: peers.clone(),
        recorder: recorder.clone(),
        duty: duty_known,
        leave: leave.clone(),
        metrics: meter::handle(),
        key: settings.keys.operators.clone(),
    };
    let listener = operators::bind(sockets.operators, handles.clone()).map_err(|cause| Error::Bind {
        listener: "operators",
        address: me.operators,
        cause,
    })?;

    let (reader, reader_known) = watch::channel(me.id.clone());
    let latest = list::Latest::default();
    let owners = Owners {
        config: config.clone(),
        journal: journal.clone(),
        list: latest.clone(),
        entry: entry.clone(),
        control: control.clone(),
        operators: handles,
    };
    let followers = Followers { journal: journal.clone(), config: config.clone(), reader, recorder: recorder.clone() };
    let lister = list::Reader {
        platform: platform.clone(),
        peers: peers.clone(),
        asked: reader_known,
        me: me.id.clone(),
        latest,
    };
    let mut wiring = JoinSet::new();
    wiring.spawn(meter::gather(meter::handle()));
    wiring.spawn(outage::record(platform.reachable(), recorder.clone()));
    wiring.spawn(pump::inbound(inbound, owners));
    wiring.spawn(pump::configuration(config_out, config.clone(), peers.clone()));
    wiring.spawn(pump::journal(journal_out, peers.clone()));
    wiring.spawn(pump::control(control_out, peers.clone()));
    wiring.spawn(meter::count(entry.watch_in_flight(), duty.clone()));
    wiring.spawn(members::follow(peers.members(), followers));
    wiring.spawn(lister.run(leaving));
    wiring.spawn(registry::keep(platform.clone(), me.clone(), entered, peers.clone()));

    recorder.record(Event::Lifecycle { state: State::Live, in_flight: 0 });
    let parts = Parts { platform, config, journal, budget, peers, control, entry, recorder, leave };
    let drain_within = match settings.timing.drain_ms {
        0 => DRAIN_WITHIN,
        span => Duration::from_millis(span),
    };
    Ok(Daemon { parts, me, drain_within, duty, listener, wiring })
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

fn recorder(settings: &Settings, me: &Instance) -> Recorder {
    let source = Source { instance: me.id.clone(), incarnation: me.incarnation };
    let capacity = timeline::Capacity { requests: settings.timeline.requests, others: settings.timeline.others };
    Recorder::open(source, capacity)
}

fn platform_settings(settings: &Settings) -> platform::Settings {
    let at = &settings.platform;
    // Two processes must not draw the same nonces: the name alone would let a
    // restarted instance take its predecessor's write for its own.
    let writer = format!("{}-{}", settings.instance, uuid::Uuid::new_v4());
    platform::Settings {
        writes_per_s: f64::from(at.writes_per_s),
        reads_per_s: f64::from(at.reads_per_s),
        call_timeout: Duration::from_millis(at.timeout_ms),
        ..platform::Settings::new(at.address, writer)
    }
}

fn spawn_peers(
    settings: &Settings,
    me: &Instance,
    recorder: Recorder,
    socket: TcpListener,
) -> Result<(peer::Handle, tokio::sync::mpsc::Receiver<peer::Inbound>), Error> {
    let key = peer::Key::new(settings.peers.key.expose());
    let address = settings.listeners.peers.bind;
    let mut links = peer::Settings::new(me.clone(), address, settings.peers.seeds.clone(), key);
    links.recorder = Some(recorder);
    peer::spawn_on(socket, links).map_err(|cause| Error::Bind { listener: "peers", address, cause })
}

fn config_settings(settings: &Settings) -> config::Settings {
    config::Settings {
        domains: settings.domains.clone(),
        freshness: Duration::from_millis(settings.timing.freshness_ms),
        ..config::Settings::new(settings.instance.clone(), settings.domain.clone())
    }
}

fn control_settings(settings: &Settings, me: &Instance) -> control::Settings {
    let mut control = control::Settings::new(me.id.clone(), me.incarnation);
    if settings.ratings.is_none() {
        // No rating will ever come: a roll-out that waits for some stands still.
        control.guard.min_rated = 0;
    }
    control
}

fn spawn_journal(
    settings: &Settings,
    origin: &Origin,
    platform: &platform::Handle,
    recorder: &Recorder,
) -> (journal::Handle, tokio::sync::mpsc::Receiver<journal::Outbound>) {
    let (out, outbound) = tokio::sync::mpsc::channel(1_024);
    let config = journal::config::Config {
        segments_per_s: f64::from(settings.platform.writes_per_s) * JOURNAL_SHARE,
        recorder: Some(recorder.clone()),
        ..journal::config::Config::new(origin.clone(), settings.domain.clone())
    };
    (journal::spawn(config, platform.clone(), out), outbound)
}

fn budget_config(origin: Origin, recorder: &Recorder) -> budget::Config {
    budget::Config { recorder: Some(recorder.clone()), ..budget::Config::new(origin) }
}

fn entry_settings(settings: &Settings) -> Result<entry::Settings, Error> {
    let keys = vec![settings.keys.sessions.expose().as_bytes().to_vec()];
    let keys = entry::session::Keys::new(keys).ok_or(Error::Secret("sessions.key"))?;
    let base = entry::Settings::new(settings.instance.clone(), settings.domain.clone(), keys);
    Ok(entry::Settings {
        max_body: settings.limits.body_bytes,
        max_headers: settings.limits.header_bytes,
        max_connections: settings.limits.connections,
        addresses: route::address::Policy { keep_ms: settings.timing.keep_ms, ..base.addresses },
        retry: route::retry::Policy {
            share: settings.retries.share,
            max_tries: settings.retries.attempts,
            ..base.retry
        },
        rated: settings.ratings.is_some(),
        ..base
    })
}
