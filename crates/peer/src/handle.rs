//! The handle through which the rest of the process uses the peer links.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;
use world::instance::{Id, Instance, State};

use crate::{
    error::Error,
    generated::CallRequest,
    member::Members,
    membership::Listed,
    pool::Pool,
    topic::Topic,
    traffic::{Meter, Traffic},
};

/// A command from a handle to the task that owns the links.
#[derive(Debug)]
pub(crate) enum Command {
    Publish(Topic, Bytes),
    Digest(Topic, Bytes),
    Listed(Vec<Listed>),
    NamedInstances(Vec<Instance>),
    Leave(oneshot::Sender<()>),
    Close(oneshot::Sender<()>),
}

/// Handle to this instance's running peer links; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) members: watch::Receiver<Arc<Members>>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) address: SocketAddr,
    pub(crate) meter: Meter,
    pub(crate) abort: CancellationToken,
}

impl Handle {
    /// Returns a watch on the members, updated on each change.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// Returns the address on which peers connect to this instance.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes transferred on connections opened by peers.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// Sends a request to a peer and waits for its response, at most `within`.
    ///
    /// # Errors
    ///
    /// [`Error`], which says whether the peer may have received the call.
    pub async fn call(&self, to: &Id, topic: Topic, body: Bytes, within: Duration) -> Result<Bytes, Error> {
        let deadline = Instant::now() + within;
        self.pool.check_body(&body)?;
        let peer = self.peer(to)?;
        let client = timeout_at(deadline, self.pool.client(&peer)).await;
        let mut client = client.unwrap_or_else(|_| Err(Error::Unreachable(to.clone())))?;
        let request = self.pool.request(self.call_request(&peer, topic, body));
        match timeout_at(deadline, client.call(request)).await {
            Ok(Ok(reply)) => {
                let reply = reply.into_inner();
                self.pool.hybrid_clock().observe(reply.stamp);
                Ok(reply.body)
            }
            Ok(Err(status)) => Err(Error::from_status(to, &status)),
            Err(_) => Err(Error::Lost(to.clone(), "no answer in time".into())),
        }
    }

    /// Sends a request to a peer and returns its stream of responses. The peer
    /// sends no faster than the stream is read. The stream ends with an error
    /// when the connection breaks; a topic owner that must distinguish a
    /// complete stream from a truncated one has to mark its last response.
    ///
    /// # Errors
    ///
    /// [`Error`], which says whether the peer may have received the request.
    pub async fn stream(
        &self,
        to: &Id,
        topic: Topic,
        body: Bytes,
    ) -> Result<impl Stream<Item = Result<Bytes, Error>> + Send + Unpin + use<>, Error> {
        self.pool.check_body(&body)?;
        let peer = self.peer(to)?;
        let mut client = self.pool.client(&peer).await?;
        let request = self.pool.request(self.call_request(&peer, topic, body));
        let reply = client.stream(request).await.map_err(|status| Error::from_status(to, &status))?;
        let to = to.clone();
        let hybrid_clock = self.pool.hybrid_clock().clone();
        let decode = move |chunk: Result<crate::generated::Chunk, tonic::Status>| {
            let chunk = chunk.inspect(|chunk| hybrid_clock.observe(chunk.stamp));
            chunk.map(|c| c.body).map_err(|status| Error::Lost(to.clone(), status.message().into()))
        };
        Ok(reply.into_inner().map(decode))
    }

    /// Broadcasts news to every live instance, delivered at most once each. An
    /// instance that is slow or just joining may miss it, so the topic should
    /// set a digest as well.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`], [`Error::TooLarge`].
    pub async fn publish(&self, topic: Topic, body: Bytes) -> Result<(), Error> {
        self.pool.check_body(&body)?;
        self.command(Command::Publish(topic, body)).await
    }

    /// Sets the digest of a topic: a small value that shows linked peers which
    /// data this instance holds. Their digests arrive as `Inbound::Digest`.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn set_digest(&self, topic: Topic, value: Bytes) -> Result<(), Error> {
        self.command(Command::Digest(topic, value)).await
    }

    /// Sets the platform's current list of instances, one of several inputs to
    /// membership.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn set_listed(&self, listed: Vec<Listed>) -> Result<(), Error> {
        self.command(Command::Listed(listed)).await
    }

    /// Sets the instances that have entries in the platform's object API; those
    /// that are not yet members are dialled.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn set_named_instances(&self, named: Vec<Instance>) -> Result<(), Error> {
        self.command(Command::NamedInstances(named)).await
    }

    /// Announces immediately that this instance takes no new work. Links,
    /// calls and streams continue.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn leave(&self) -> Result<(), Error> {
        self.command_and_wait(Command::Leave).await
    }

    /// Announces that this run has ended, then closes the links.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the links are already closed.
    pub async fn close(&self) -> Result<(), Error> {
        self.command_and_wait(Command::Close).await
    }

    /// Stops immediately without notifying peers, as a crash would.
    pub fn abort(&self) {
        self.abort.cancel();
    }

    fn peer(&self, to: &Id) -> Result<Instance, Error> {
        let members = self.members.borrow();
        let peer = members.others.get(to).filter(|i| i.state != State::Gone);
        peer.cloned().ok_or_else(|| Error::Unknown(to.clone()))
    }

    fn call_request(&self, to: &Instance, topic: Topic, body: Bytes) -> CallRequest {
        let caller = Some(self.pool.caller());
        CallRequest { caller, topic: topic.number(), body, wanted: to.incarnation.0 }
    }

    async fn command(&self, command: Command) -> Result<(), Error> {
        self.commands.send(command).await.map_err(|_| Error::Closed)
    }

    async fn command_and_wait(&self, command: impl FnOnce(oneshot::Sender<()>) -> Command) -> Result<(), Error> {
        let (done, wait) = oneshot::channel();
        self.command(command(done)).await?;
        wait.await.map_err(|_| Error::Closed)
    }
}
