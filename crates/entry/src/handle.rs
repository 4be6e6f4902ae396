//! The daemon's handle to the server for callers.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    net::TcpListener,
    sync::{Mutex, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    dispatcher,
    http::Listener,
    join,
    shared::{Links, Settings, Shared},
    updates,
};

/// Minimum time allowed for connections to close after their last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle to the server, which runs until the last handle is dropped or the
/// instance is drained. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: Arc<Tasks>,
}

/// Tasks that end when the last handle is dropped.
#[derive(Debug)]
struct Tasks {
    listener: Mutex<Listener>,
    updates: Vec<JoinHandle<()>>,
}

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in &self.updates {
            task.abort();
        }
    }
}

impl Handle {
    pub(crate) fn start(listener: TcpListener, settings: Settings, links: Links) -> io::Result<Self> {
        let local = route::endpoint::Peer { id: settings.instance.clone(), domain: settings.domain.clone() };
        let dispatcher = dispatcher::spawn(local, settings.retry, links.control.clone());
        let shared = Shared::new(settings, links, dispatcher);
        let listener = Listener::spawn(listener, &shared)?;
        let address = listener.address;
        let updates = updates::spawn(&shared);
        Ok(Self { shared, address, tasks: Arc::new(Tasks { listener: Mutex::new(listener), updates }) })
    }

    /// Returns the address on which callers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        *self.shared.in_flight().borrow()
    }

    /// Returns whether new work is permanently refused.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.shared.closed.load(Ordering::Acquire)
    }

    /// Returns a receiver that observes the number of requests in flight.
    #[must_use]
    pub fn watch_in_flight(&self) -> watch::Receiver<u64> {
        self.shared.in_flight()
    }

    /// Serves a stream of [`peer::Topic::Request`], on which another instance reads the
    /// answer or the status of a request from this one. Returns when the answer ends.
    pub async fn serve(&self, request: Bytes, sink: mpsc::Sender<Bytes>) {
        join::serve(&self.shared.answers, &request, &sink).await;
    }

    /// Drains the instance: removes it from the address lists, then refuses new work,
    /// then waits until every answer has ended. Returns true when all answers are sent,
    /// and false when `deadline` passed first.
    ///
    /// The journal flushes bills and grants after this.
    pub async fn drain(&self, deadline: Instant) -> bool {
        if let Err(error) = self.shared.links.peer.leave().await {
            tracing::warn!(%error, "could not announce that this instance is leaving");
        }
        // Callers may use their address lists for this long, so new work from them is still
        // accepted during this time.
        let keep_time = Duration::from_millis(self.shared.settings.addresses.keep_ms);
        sleep(keep_time.min(deadline.saturating_duration_since(Instant::now()))).await;
        self.shared.closed.store(true, Ordering::Release);
        let mut in_flight = self.shared.in_flight();
        let empty = in_flight.wait_for(|count| *count == 0);
        let drained = tokio::time::timeout_at(deadline, empty).await.is_ok();
        // A slow caller may still be reading the end of its answer.
        let close_timeout = deadline.saturating_duration_since(Instant::now()).max(CLOSE_TIMEOUT);
        self.tasks.listener.lock().await.close(close_timeout).await;
        drained
    }
}
