//! Pool of connections for calls, streams and probes. Links use dedicated
//! connections.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::sync::OnceCell;
use tonic::{
    Request,
    metadata::MetadataValue,
    transport::{Channel, Endpoint},
};
use world::instance::{Id, Incarnation, Instance};

use crate::{
    error::Error,
    generated::{Caller, peer_client::PeerClient},
    hybrid_clock::HybridClock,
    settings::{Key, Settings},
};

/// Maximum number of open connections; the least recently used is evicted.
const MAX_CONNECTIONS: usize = 64;
/// Interval of HTTP/2 keep-alive pings on a connection with open calls.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Opens and caches connections. Uses a lock instead of a task: the lock is
/// held for a look-up only, while a request to a task and its reply would delay
/// each call.
pub(crate) struct Pool {
    me: Instance,
    key: Key,
    connect_timeout: Duration,
    max_body: usize,
    hybrid_clock: HybridClock,
    connections: Mutex<Connections>,
}

#[derive(Default)]
struct Connections {
    by_id: BTreeMap<Id, Connection>,
    /// Number of uses so far, which orders the connections by last use.
    uses: u64,
}

struct Connection {
    incarnation: Incarnation,
    channel: Arc<OnceCell<Channel>>,
    last_used: u64,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("me", &self.me.id).finish_non_exhaustive()
    }
}

impl Pool {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            me: settings.me.clone(),
            key: settings.key.clone(),
            connect_timeout: settings.timing.dial_timeout(),
            max_body: settings.limits.body,
            hybrid_clock: HybridClock::new(settings.recorder.clone()),
            connections: Mutex::default(),
        }
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller { id: self.me.id.to_string(), incarnation: self.me.incarnation.0, stamp: self.hybrid_clock.stamp() }
    }

    pub(crate) fn hybrid_clock(&self) -> &HybridClock {
        &self.hybrid_clock
    }

    /// Returns a client on the cached connection, connecting if there is none.
    pub(crate) async fn client(&self, to: &Instance) -> Result<PeerClient<Channel>, Error> {
        let cell = self.connection(to);
        let channel = cell.get_or_try_init(|| self.connect(to.peers)).await;
        let channel = channel.map_err(|_| Error::Unreachable(to.id.clone()))?.clone();
        Ok(self.new_client(channel))
    }

    /// Returns a client on a new connection that is not shared.
    pub(crate) async fn connect_new(
        &self,
        address: SocketAddr,
    ) -> Result<PeerClient<Channel>, tonic::transport::Error> {
        self.connect(address).await.map(|channel| self.new_client(channel))
    }

    /// Checks the size of a body before it is sent.
    pub(crate) fn check_body(&self, body: &[u8]) -> Result<(), Error> {
        let (size, limit) = (body.len(), self.max_body);
        if size > limit { Err(Error::TooLarge { size, limit }) } else { Ok(()) }
    }

    /// Wraps a message in a request that carries the shared secret.
    pub(crate) fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let bytes = self.key.text().as_bytes();
        request.metadata_mut().insert_bin(crate::wire::KEY_METADATA, MetadataValue::from_bytes(bytes));
        request
    }

    fn new_client(&self, channel: Channel) -> PeerClient<Channel> {
        let max_size = self.max_body + crate::wire::MAX_OVERHEAD;
        PeerClient::new(channel).max_decoding_message_size(max_size).max_encoding_message_size(max_size)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(self.connect_timeout);
        endpoint.connect().await
    }

    fn connection(&self, to: &Instance) -> Arc<OnceCell<Channel>> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.uses += 1;
        let last_used = connections.uses;
        let new = || Connection { incarnation: to.incarnation, channel: Arc::default(), last_used };
        let connection = connections.by_id.entry(to.id.clone()).or_insert_with(new);
        if connection.incarnation != to.incarnation {
            *connection = new();
        }
        connection.last_used = last_used;
        let channel = connection.channel.clone();
        connections.evict_oldest();
        channel
    }
}

impl Connections {
    fn evict_oldest(&mut self) {
        if self.by_id.len() <= MAX_CONNECTIONS {
            return;
        }
        let oldest = self.by_id.iter().min_by_key(|(_, connection)| connection.last_used).map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.by_id.remove(&id);
        }
    }
}
