//! What the rest of the process holds.

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

/// What handles ask of the task.
#[derive(Debug)]
pub(crate) enum Command {
    Publish(Topic, Bytes),
    Digest(Topic, Bytes),
    Listed(Vec<Listed>),
    Known(Vec<Instance>),
    Leave(oneshot::Sender<()>),
    Close(oneshot::Sender<()>),
}

/// A running part in the fleet; cheap to clone.
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
    /// Who is there; a new value with each change.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// Where peers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes on the connections that peers opened to us.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// Asks a peer and waits for its answer, `within` at most.
    ///
    /// # Errors
    ///
    /// [`Error`], which says whether the peer may have seen the call.
    pub async fn call(&self, to: &Id, topic: Topic, body: Bytes, within: Duration) -> Result<Bytes, Error> {
        let deadline = Instant::now() + within;
        self.pool.check(&body)?;
        let peer = self.target(to)?;
        let client = timeout_at(deadline, self.pool.client(&peer)).await;
        let mut client = client.unwrap_or_else(|_| Err(Error::Unreachable(to.clone())))?;
        let request = self.pool.request(self.question(&peer, topic, body));
        match timeout_at(deadline, client.call(request)).await {
            Ok(Ok(reply)) => {
                let reply = reply.into_inner();
                self.pool.ticks().observe(reply.stamp);
                Ok(reply.body)
            }
            Ok(Err(status)) => Err(Error::from_status(to, &status)),
            Err(_) => Err(Error::Lost(to.clone(), "no answer in time".into())),
        }
    }

    /// Asks a peer for many answers. A peer sends no faster than the stream is
    /// read. The stream ends with an error when the link breaks; an owner that
    /// has to tell an end from a stop marks its last answer.
    ///
    /// # Errors
    ///
    /// [`Error`], which says whether the peer may have seen the question.
    pub async fn stream(
        &self,
        to: &Id,
        topic: Topic,
        body: Bytes,
    ) -> Result<impl Stream<Item = Result<Bytes, Error>> + Send + Unpin + use<>, Error> {
        self.pool.check(&body)?;
        let peer = self.target(to)?;
        let mut client = self.pool.client(&peer).await?;
        let request = self.pool.request(self.question(&peer, topic, body));
        let reply = client.stream(request).await.map_err(|status| Error::from_status(to, &status))?;
        let to = to.clone();
        let ticks = self.pool.ticks().clone();
        let answer = move |chunk: Result<crate::generated::Chunk, tonic::Status>| {
            let chunk = chunk.inspect(|chunk| ticks.observe(chunk.stamp));
            chunk.map(|c| c.body).map_err(|status| Error::Lost(to.clone(), status.message().into()))
        };
        Ok(reply.into_inner().map(answer))
    }

    /// Tells news to every live instance, once each. An instance that is slow
    /// or just joining may miss it: have a digest as well.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`], [`Error::TooLarge`].
    pub async fn publish(&self, topic: Topic, body: Bytes) -> Result<(), Error> {
        self.pool.check(&body)?;
        self.command(Command::Publish(topic, body)).await
    }

    /// Sets the small value that tells neighbours how far this instance is
    /// with a topic; theirs arrive as `Inbound::Digest`.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn set_digest(&self, topic: Topic, value: Bytes) -> Result<(), Error> {
        self.command(Command::Digest(topic, value)).await
    }

    /// Takes the platform's latest list of instances, as one input of many.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn set_listed(&self, listed: Vec<Listed>) -> Result<(), Error> {
        self.command(Command::Listed(listed)).await
    }

    /// Takes the instances that the object API names; those that nobody has
    /// met are dialled.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn set_known(&self, known: Vec<Instance>) -> Result<(), Error> {
        self.command(Command::Known(known)).await
    }

    /// Tells all at once that this instance takes no new work. Links, calls
    /// and streams go on.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`].
    pub async fn leave(&self) -> Result<(), Error> {
        self.command_and_wait(Command::Leave).await
    }

    /// Tells all that this run has ended, and ends.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when it has ended already.
    pub async fn close(&self) -> Result<(), Error> {
        self.command_and_wait(Command::Close).await
    }

    /// Ends at once without a word, as a crash would.
    pub fn abort(&self) {
        self.abort.cancel();
    }

    fn target(&self, to: &Id) -> Result<Instance, Error> {
        let members = self.members.borrow();
        let peer = members.others.get(to).filter(|i| i.state != State::Gone);
        peer.cloned().ok_or_else(|| Error::Unknown(to.clone()))
    }

    fn question(&self, to: &Instance, topic: Topic, body: Bytes) -> CallRequest {
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
