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
    settings::{Key, Settings},
    ticks::Ticks,
};

/// Maximum number of open connections; the least recently used is evicted.
const CONNECTIONS: usize = 64;
/// Interval of HTTP/2 keep-alive pings on a connection with open calls.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Opens and caches connections. Uses a lock instead of a task: the lock is
/// held for a look-up only, while messages to a task and back would add a
/// second round trip to each call.
pub(crate) struct Pool {
    me: Instance,
    key: Key,
    dial: Duration,
    body: usize,
    ticks: Ticks,
    lines: Mutex<Lines>,
}

#[derive(Default)]
struct Lines {
    by_id: BTreeMap<Id, Line>,
    used: u64,
}

struct Line {
    incarnation: Incarnation,
    channel: Arc<OnceCell<Channel>>,
    used: u64,
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
            dial: settings.timing.dial(),
            body: settings.limits.body,
            ticks: Ticks::new(settings.recorder.clone()),
            lines: Mutex::default(),
        }
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller { id: self.me.id.to_string(), incarnation: self.me.incarnation.0, stamp: self.ticks.stamp() }
    }

    pub(crate) fn ticks(&self) -> &Ticks {
        &self.ticks
    }

    /// Returns a client on the cached connection, connecting if there is none.
    pub(crate) async fn client(&self, to: &Instance) -> Result<PeerClient<Channel>, Error> {
        let cell = self.line(to);
        let channel = cell.get_or_try_init(|| self.connect(to.peers)).await;
        let channel = channel.map_err(|_| Error::Unreachable(to.id.clone()))?.clone();
        Ok(self.wrap(channel))
    }

    /// Returns a client on a new connection that is not shared.
    pub(crate) async fn fresh(&self, address: SocketAddr) -> Result<PeerClient<Channel>, tonic::transport::Error> {
        self.connect(address).await.map(|channel| self.wrap(channel))
    }

    /// Checks the size of a body before it is sent.
    pub(crate) fn check(&self, body: &[u8]) -> Result<(), Error> {
        let (size, limit) = (body.len(), self.body);
        if size > limit { Err(Error::TooLarge { size, limit }) } else { Ok(()) }
    }

    /// Wraps a message in a request that carries the shared secret.
    pub(crate) fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let bytes = self.key.text().as_bytes();
        request.metadata_mut().insert_bin(crate::wire::KEY, MetadataValue::from_bytes(bytes));
        request
    }

    fn wrap(&self, channel: Channel) -> PeerClient<Channel> {
        let room = self.body + crate::wire::OVERHEAD;
        PeerClient::new(channel).max_decoding_message_size(room).max_encoding_message_size(room)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(self.dial)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(self.dial);
        endpoint.connect().await
    }

    fn line(&self, to: &Instance) -> Arc<OnceCell<Channel>> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.used += 1;
        let used = lines.used;
        let fresh = || Line { incarnation: to.incarnation, channel: Arc::default(), used };
        let line = lines.by_id.entry(to.id.clone()).or_insert_with(fresh);
        if line.incarnation != to.incarnation {
            *line = fresh();
        }
        line.used = used;
        let channel = line.channel.clone();
        lines.trim();
        channel
    }
}

impl Lines {
    fn trim(&mut self) {
        if self.by_id.len() <= CONNECTIONS {
            return;
        }
        let oldest = self.by_id.iter().min_by_key(|(_, line)| line.used).map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.by_id.remove(&id);
        }
    }
}
