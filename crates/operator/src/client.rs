//! The client of one instance's operators' service.

use std::{net::SocketAddr, time::Duration};

use timeline::Filter;
use tonic::{
    Request, Status as Code, Streaming,
    metadata::{Ascii, MetadataValue},
    service::{Interceptor, interceptor::InterceptedService},
    transport::{Channel, Endpoint},
};
use world::{
    contract::Customer,
    object::{Key, Kind},
    request, rollout,
};

use crate::{
    Account, Action, Bill, Change, Draining, Edit, Error, Events, Fault, Malformed, Outcome, Progress, Revision, Seen,
    Status, Stored, answer, wire, wire::operator_client::OperatorClient,
};

/// Longest message either end takes; all objects of a large fleet fit.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Interval of keep-alive pings; a stream to a lost instance ends after two.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Whom to ask, and how.
#[derive(Clone)]
pub struct Target {
    /// The instance's operators' listener.
    pub address: SocketAddr,
    /// The operators' key.
    pub key: String,
    /// Time limit of a connection and of each call that is no stream.
    pub timeout: Duration,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Target").field("address", &self.address).field("timeout", &self.timeout).finish_non_exhaustive()
    }
}

/// A connection to one instance.
#[derive(Debug, Clone)]
pub struct Client {
    inner: OperatorClient<InterceptedService<Channel, Bearer>>,
    address: SocketAddr,
    timeout: Duration,
}

/// Adds the operators' key to each call.
#[derive(Clone)]
struct Bearer(MetadataValue<Ascii>);

impl std::fmt::Debug for Bearer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Bearer(..)")
    }
}

impl Interceptor for Bearer {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Code> {
        request.metadata_mut().insert("authorization", self.0.clone());
        Ok(request)
    }
}

/// A stream of typed messages.
#[derive(Debug)]
pub struct Messages<W, T> {
    inner: Streaming<W>,
    address: SocketAddr,
    typed: std::marker::PhantomData<fn(W) -> T>,
}

impl<W, T: TryFrom<W, Error = Malformed>> Messages<W, T> {
    /// The next message; nothing at the stream's end.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the instance is gone before the end.
    pub async fn next(&mut self) -> Result<Option<T>, Error> {
        let message = self.inner.message().await.map_err(|code| failure(self.address, &code))?;
        Ok(message.map(T::try_from).transpose()?)
    }
}

impl Client {
    /// Connects to an instance.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] when nobody answers in time, [`Error::Refused`]
    /// when the key has bytes that no header takes.
    pub async fn connect(target: &Target) -> Result<Self, Error> {
        let bearer = format!("Bearer {}", target.key)
            .parse()
            .map_err(|_| Error::Refused { message: "the operators' key must be printable ASCII".into() })?;
        let unreachable = |cause: String| Error::Unreachable { address: target.address, cause };
        let channel = Endpoint::from_shared(format!("http://{}", target.address))
            .map_err(|e| unreachable(e.to_string()))?
            .connect_timeout(target.timeout)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .tcp_nodelay(true)
            .connect()
            .await
            .map_err(|error| unreachable(root_cause(&error)))?;
        let inner = OperatorClient::with_interceptor(channel, Bearer(bearer))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Ok(Self { inner, address: target.address, timeout: target.timeout })
    }

    /// The instance asked.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Checks edits; returns what is wrong and what would change.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn check(&mut self, edits: &[Edit]) -> Result<(Vec<Fault>, Vec<Key>), Error> {
        let edits = edits.iter().map(Into::into).collect();
        let request = self.request(wire::CheckRequest { edits });
        let reply = self.inner.check(request).await.map_err(|code| failure(self.address, &code))?.into_inner();
        Ok((answer::faults(reply.faults)?, answer::keys(reply.changed)?))
    }

    /// Makes a change.
    ///
    /// # Errors
    ///
    /// [`Error`]; after [`Error::Lost`] look for the change in the history.
    pub async fn apply(&mut self, change: &Change) -> Result<Outcome, Error> {
        let request = self.request(wire::ApplyRequest::from(change));
        let reply = self.inner.apply(request).await.map_err(|code| failure(self.address, &code))?;
        Ok(reply.into_inner().try_into()?)
    }

    /// Moves a roll-out.
    ///
    /// # Errors
    ///
    /// [`Error`]; after [`Error::Lost`] look for the change in the history.
    pub async fn rollout(&mut self, name: &rollout::Id, action: &Action, change: &Change) -> Result<Outcome, Error> {
        let request = self.request(wire::RolloutRequest {
            name: name.to_string(),
            action: Some(action.into()),
            change: change.id.clone(),
            author: change.author.clone(),
        });
        let reply = self.inner.rollout(request).await.map_err(|code| failure(self.address, &code))?;
        Ok(reply.into_inner().try_into()?)
    }

    /// Objects in force at the instance asked.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn get(&mut self, kind: Option<Kind>, name: Option<&str>) -> Result<Vec<Stored>, Error> {
        let kind = kind.map(|kind| kind.to_string()).unwrap_or_default();
        let request = self.request(wire::GetRequest { kind, name: name.unwrap_or_default().into() });
        let reply = self.inner.get(request).await.map_err(|code| failure(self.address, &code))?.into_inner();
        Ok(reply.objects.into_iter().map(Stored::try_from).collect::<Result<_, _>>()?)
    }

    /// An object's changes, latest first, `limit` at most; each costs the
    /// platform a read.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn history(&mut self, key: &Key, limit: u32) -> Result<Vec<Revision>, Error> {
        let request = self.request(wire::HistoryRequest { key: Some(key.into()), limit });
        let reply = self.inner.history(request).await.map_err(|code| failure(self.address, &code))?.into_inner();
        Ok(reply.revisions.into_iter().map(Revision::try_from).collect::<Result<_, _>>()?)
    }

    /// What every instance has in force.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn status(&mut self) -> Result<Status, Error> {
        let request = self.request(wire::StatusRequest {});
        let reply = self.inner.status(request).await.map_err(|code| failure(self.address, &code))?;
        Ok(reply.into_inner().try_into()?)
    }

    /// Progress until a generation is in force at every instance.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn wait(
        &mut self,
        generation: u64,
        longest: Duration,
    ) -> Result<Messages<wire::WaitProgress, Progress>, Error> {
        let timeout_ms = world::time::millis(longest);
        let reply = self.inner.wait(wire::WaitRequest { generation, timeout_ms }).await;
        self.messages(reply)
    }

    /// Makes the instance asked finish its work and leave.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when it is not this instance.
    pub async fn drain(&mut self, instance: &str) -> Result<Messages<wire::DrainProgress, Draining>, Error> {
        let reply = self.inner.drain(wire::DrainRequest { instance: instance.into() }).await;
        self.messages(reply)
    }

    /// A customer's bills, oldest first.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn bills(&mut self, customer: &Customer) -> Result<Messages<wire::Bill, Bill>, Error> {
        let reply = self.inner.bills(wire::BillsRequest { customer: customer.to_string() }).await;
        self.messages(reply)
    }

    /// What became of a request; with its bill out of the journal, which
    /// costs the platform a read of all bills.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the journal has no record of it.
    pub async fn explain(&mut self, id: &request::Id, with_bill: bool) -> Result<Account, Error> {
        let (customer, key) = (id.customer.to_string(), id.key.to_string());
        let request = self.request(wire::ExplainRequest { customer, key, with_bill });
        let reply = self.inner.explain(request).await.map_err(|code| failure(self.address, &code))?;
        Ok(reply.into_inner().try_into()?)
    }

    /// Events of the instance asked, up to now.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn timeline(&mut self, filter: &Filter) -> Result<Messages<wire::Page, Events>, Error> {
        let reply = self.inner.timeline(wire::TimelineRequest::of(filter, false, None)).await;
        self.messages(reply)
    }

    /// Events of the instance asked, those to come included; its clock comes
    /// at least twice a second.
    ///
    /// # Errors
    ///
    /// [`Error`], as for every call.
    pub async fn follow(
        &mut self,
        filter: &Filter,
        after: Option<&Seen>,
    ) -> Result<Messages<wire::Page, Events>, Error> {
        let reply = self.inner.timeline(wire::TimelineRequest::of(filter, true, after)).await;
        self.messages(reply)
    }

    fn request<M>(&self, message: M) -> Request<M> {
        let mut request = Request::new(message);
        request.set_timeout(self.timeout);
        request
    }

    fn messages<W, T>(&self, reply: Result<tonic::Response<Streaming<W>>, Code>) -> Result<Messages<W, T>, Error> {
        let inner = reply.map_err(|code| failure(self.address, &code))?.into_inner();
        Ok(Messages { inner, address: self.address, typed: std::marker::PhantomData })
    }
}

/// Tells refusals from lost answers.
///
/// The service answers a refusal with one of the codes named here and never
/// with another, so that every other code means that the call's fate is not
/// known to the caller.
fn failure(address: SocketAddr, code: &Code) -> Error {
    use tonic::Code as C;
    match code.code() {
        C::InvalidArgument
        | C::NotFound
        | C::FailedPrecondition
        | C::Unauthenticated
        | C::PermissionDenied
        | C::ResourceExhausted
        | C::Unimplemented
        | C::OutOfRange => Error::Refused { message: code.message().into() },
        _ => Error::Lost { address, cause: root_cause(code) },
    }
}

/// The innermost error's words: "Connection refused" over "transport error".
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
