//! A task that owns the state behind this instance's routing decisions.
//!
//! The decisions are pure functions of the `route` crate. This task holds the state
//! that they need (endpoints, queues, learned quality, retry budgets) and answers
//! messages. Every request sends it a few messages, each of which takes a few
//! microseconds to answer.

mod learn;
mod state;

use std::{net::SocketAddr, sync::Arc};

use endpoint::rating::Rating;
use route::{
    admission, endpoint as route_endpoint,
    endpoint::{Failure, Key, Target},
    model::Choice,
    quality::{Cell, Stage},
    retry,
    rollout::{Stops, Unit},
};
use tokio::sync::{mpsc, oneshot};
use world::{
    Catalog, Millis, Timestamp,
    contract::Customer,
    endpoint as world_endpoint, model,
    model::Version,
    money::Amount,
    request::{Class, Repeat},
    service,
    session::Session,
};

pub use learn::ChoiceRecord;

/// Capacity of the task's message channel.
const CHANNEL_CAPACITY: usize = 4_096;

/// Identifies an admission queue. Requests that the same endpoints can serve share
/// a queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum QueueKey {
    /// Requests for a model.
    Model(model::Id),
    /// Calls of a plain service.
    Service(service::Id),
}

/// A request to be admitted.
#[derive(Debug)]
pub struct AdmissionRequest {
    /// Queue in which the request waits.
    pub queue_key: QueueKey,
    /// Customer that sent the request.
    pub customer: Customer,
    /// Weight of the customer's contract in fair queueing.
    pub weight: u32,
    /// Time by which the request must be complete.
    pub deadline: Timestamp,
    /// Pseudo-random number derived from the request; spreads the retry delays of
    /// refused requests.
    pub draw: u64,
}

/// Inputs for choosing the model versions that may answer a request.
#[derive(Debug)]
pub struct VersionQuery {
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Versions that are stopped, even if the catalog does not show it yet.
    pub stops: Arc<Stops>,
    /// Customer that sent the request.
    pub customer: Customer,
    /// Model named by the request.
    pub model: model::Id,
    /// Class of the request.
    pub class: Class,
    /// Session of the request, if it has one.
    pub session: Option<Session>,
    /// Unit that a roll-out assigns to a version: the session, or the request if it has
    /// none.
    pub unit: Unit,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller accepts.
    pub max_tokens: Option<u32>,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: Millis,
    /// Maximum cost of the request.
    pub ceiling: Amount,
}

/// Inputs for choosing the endpoint of a dispatch.
#[derive(Debug)]
pub struct EndpointQuery {
    /// Version or service that the dispatch runs.
    pub target: Target,
    /// Hash of the beginning of the prompt.
    pub prefix: Option<u64>,
    /// Endpoints that already failed this request.
    pub avoid: Vec<Key>,
    /// Random number for this dispatch.
    pub draw: u64,
    /// Customer and request class, under which run times are learned.
    pub cell: Cell,
}

/// Admission of a request. Dropping it frees the slot for the next waiting request.
///
/// The slot is freed on drop because a caller may hang up between the grant and its
/// receipt. A slot that is not released would be lost until the instance restarts.
#[derive(Debug)]
pub struct Admission {
    /// Priority for the engine, from 0 (highest) to 9.
    pub priority: u8,
    /// Time spent in the queue, in milliseconds.
    pub waited_ms: Millis,
    queue_key: QueueKey,
    dispatcher: Handle,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.dispatcher.notify(Message::Release(self.queue_key.clone()));
    }
}

/// An endpoint chosen for a dispatch. The dispatch counts as load of the endpoint
/// until this is ended or dropped.
#[derive(Debug)]
pub struct Reservation {
    /// Name of the endpoint.
    pub endpoint: world_endpoint::Id,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Reason for the choice, for the request's timeline.
    pub reason: String,
    /// Expected duration of a run, in milliseconds.
    pub expected_ms: Millis,
    key: Key,
    target: Target,
    cell: Cell,
    dispatcher: Handle,
    ended: bool,
}

impl Reservation {
    /// Returns the endpoint's key in this instance's fleet.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Reports how the dispatch ended.
    pub fn end(mut self, ending: Ending) {
        self.ended = true;
        self.dispatcher.notify(Message::Ended(self.key, self.target.clone(), self.cell, ending));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.ended {
            self.dispatcher.notify(Message::Ended(self.key, self.target.clone(), self.cell, Ending::Cancelled));
        }
    }
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy)]
pub enum Ending {
    /// The run completed.
    Whole {
        /// Duration of the run, in milliseconds.
        millis: Millis,
        /// Number of output tokens; 1 for a plain service.
        tokens: u32,
    },
    /// The endpoint failed or refused the dispatch.
    Failed(Failure),
    /// This instance cancelled the dispatch.
    Cancelled,
}

/// A delivered answer whose rating arrives later.
#[derive(Debug, Clone)]
pub struct UnratedAnswer {
    /// Identifies the answer at the rating service.
    pub id: String,
    /// Version that produced the answer.
    pub version: Version,
    /// Stage of the cascade that produced the answer.
    pub stage: Stage,
    /// Record of the request made when its versions were chosen.
    pub record: ChoiceRecord,
}

#[derive(Debug)]
pub(crate) enum Message {
    Admit(AdmissionRequest, oneshot::Sender<Result<Admission, admission::Refusal>>),
    Release(QueueKey),
    Choose(Box<VersionQuery>, oneshot::Sender<Result<(Choice, ChoiceRecord), route::model::Refusal>>),
    ReserveEndpoint(EndpointQuery, oneshot::Sender<Result<Reservation, route_endpoint::Refusal>>),
    Ended(Key, Target, Cell, Ending),
    Retry(Customer, retry::Request, retry::Failure, oneshot::Sender<retry::Decision>),
    Discard(ChoiceRecord),
    Expire(ChoiceRecord),
    Escalate(ChoiceRecord, f64, oneshot::Sender<ChoiceRecord>),
    AwaitRating(UnratedAnswer),
    Rated { record: ChoiceRecord, version: Version, stage: Stage, pass: bool, is_final: bool },
    RaterDown,
    LateRatings(Vec<Rating>),
    SetLoad(world_endpoint::Id, endpoint::report::Load),
    CacheEvents(world_endpoint::Id, Vec<endpoint::report::CacheEvent>),
    SetLeaving(Vec<world_endpoint::Id>),
    SetCatalog(Arc<Catalog>, Vec<route_endpoint::Peer>),
    Endpoints(oneshot::Sender<Vec<world::endpoint::Endpoint>>),
}

/// Handle that sends messages to the task. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    inbox: mpsc::Sender<Message>,
}

/// The task has ended because the instance is stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// Spawns the task for the local instance.
#[must_use]
pub fn spawn(local: route_endpoint::Peer, policy: retry::Policy, control: control::Handle) -> Handle {
    let (inbox, messages) = mpsc::channel(CHANNEL_CAPACITY);
    let weak = inbox.downgrade();
    tokio::spawn(state::State::new(local, policy, control, weak).run(messages));
    Handle { inbox }
}

impl Handle {
    /// Waits until a request is admitted.
    ///
    /// # Errors
    ///
    /// The inner error is a refusal, returned at once or as soon as the deadline can no
    /// longer be met.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Result<Admission, admission::Refusal>, Closed> {
        self.call(|reply| Message::Admit(request, reply)).await
    }

    /// Chooses the versions that may answer a request.
    ///
    /// # Errors
    ///
    /// The inner error is a refusal: no version may run.
    pub async fn choose(
        &self,
        query: VersionQuery,
    ) -> Result<Result<(Choice, ChoiceRecord), route::model::Refusal>, Closed> {
        self.call(|reply| Message::Choose(Box::new(query), reply)).await
    }

    /// Chooses an endpoint and counts the dispatch as load there.
    ///
    /// # Errors
    ///
    /// The inner error is a refusal: no endpoint can take the dispatch.
    pub async fn reserve_endpoint(
        &self,
        query: EndpointQuery,
    ) -> Result<Result<Reservation, route_endpoint::Refusal>, Closed> {
        self.call(|reply| Message::ReserveEndpoint(query, reply)).await
    }

    /// Decides whether a failed request may be dispatched again. A granted retry is
    /// charged to the customer's retry budget.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the task has ended.
    pub async fn request_retry(
        &self,
        customer: &Customer,
        request: retry::Request,
        failure: retry::Failure,
    ) -> Result<retry::Decision, Closed> {
        self.call(|reply| Message::Retry(customer.clone(), request, failure, reply)).await
    }

    /// Removes the record of a request that produced no answer.
    pub fn discard(&self, record: ChoiceRecord) {
        self.notify(Message::Discard(record));
    }

    /// Reports that a delivered answer will not be rated.
    pub fn expire(&self, record: ChoiceRecord) {
        self.notify(Message::Expire(record));
    }

    /// Updates the record of a request that escalates to a higher tier; `rate` is the
    /// expected pass rate there.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the task has ended.
    pub async fn escalate(&self, record: ChoiceRecord, rate: f64) -> Result<ChoiceRecord, Closed> {
        self.call(|reply| Message::Escalate(record, rate, reply)).await
    }

    /// Reports a delivered answer whose rating arrives later.
    pub fn await_rating(&self, answer: UnratedAnswer) {
        self.notify(Message::AwaitRating(answer));
    }

    /// Reports a rating obtained while the caller waited. `is_final` says whether the
    /// rated answer is the request's final one.
    pub fn record_rating(&self, record: ChoiceRecord, version: Version, stage: Stage, pass: bool, is_final: bool) {
        self.notify(Message::Rated { record, version, stage, pass, is_final });
    }

    /// Reports that the rating service failed to rate an answer at once.
    pub fn mark_rater_unavailable(&self) {
        self.notify(Message::RaterDown);
    }

    /// Reports ratings that arrived after their answers were delivered.
    pub fn record_late_ratings(&self, ratings: Vec<Rating>) {
        self.notify(Message::LateRatings(ratings));
    }

    /// Reports an engine's load.
    pub fn set_load(&self, endpoint: world_endpoint::Id, load: endpoint::report::Load) {
        self.notify(Message::SetLoad(endpoint, load));
    }

    /// Reports an engine's cache events.
    pub fn apply_cache_events(&self, endpoint: world_endpoint::Id, events: Vec<endpoint::report::CacheEvent>) {
        self.notify(Message::CacheEvents(endpoint, events));
    }

    /// Sets the list of leaving endpoints. An endpoint that is no longer in the list
    /// gets new work again.
    pub fn set_leaving(&self, endpoints: Vec<world_endpoint::Id>) {
        self.notify(Message::SetLeaving(endpoints));
    }

    /// Sets the catalog and the live instances.
    pub fn set_catalog(&self, catalog: Arc<Catalog>, instances: Vec<route_endpoint::Peer>) {
        self.notify(Message::SetCatalog(catalog, instances));
    }

    /// Returns the endpoints that this instance uses.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the task has ended.
    pub async fn endpoints(&self) -> Result<Vec<world::endpoint::Endpoint>, Closed> {
        self.call(Message::Endpoints).await
    }

    async fn call<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Result<T, Closed> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(message(reply)).await.map_err(|_| Closed)?;
        answer.await.map_err(|_| Closed)
    }

    /// Sends a message without blocking the sender. If the channel is full, a spawned
    /// task sends it so that it is not lost.
    fn notify(&self, message: Message) {
        let Err(mpsc::error::TrySendError::Full(message)) = self.inbox.try_send(message) else {
            return;
        };
        let inbox = self.inbox.clone();
        tokio::spawn(async move { inbox.send(message).await });
    }
}
