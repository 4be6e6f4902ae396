//! The desk: one task that owns what this instance knows for its decisions.
//!
//! The decisions themselves are `route`'s, pure functions over state; this
//! task holds that state (endpoints, queues, learned quality, retry budgets)
//! and is asked by messages. Every request asks a few times, each answer a
//! few microseconds' work.

mod learn;
mod state;

use std::{net::SocketAddr, sync::Arc};

use endpoint::rating::Rating;
use route::{
    admission, endpoint as placing,
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

pub use learn::Entered;

/// Messages that may wait for the desk.
const INBOX: usize = 4_096;

/// What waits in one queue: everything that the same endpoints serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Line {
    /// Requests for a model.
    Model(model::Id),
    /// Calls of a plain service.
    Service(service::Id),
}

/// A request that asks for its turn.
#[derive(Debug)]
pub struct Ticket {
    /// Where it waits.
    pub line: Line,
    /// Whose.
    pub customer: Customer,
    /// The contract's weight.
    pub weight: u32,
    /// When it must be done.
    pub deadline: Timestamp,
    /// A number drawn from the request.
    pub draw: u64,
}

/// A request that asks for its versions.
#[derive(Debug)]
pub struct Wish {
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Versions stopped ahead of it.
    pub stops: Arc<Stops>,
    /// Whose.
    pub customer: Customer,
    /// The model it names.
    pub model: model::Id,
    /// Its class.
    pub class: Class,
    /// Its session.
    pub session: Option<Session>,
    /// Its session or itself, as roll-outs count.
    pub unit: Unit,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens the caller takes.
    pub max_tokens: Option<u32>,
    /// Time left, in milliseconds.
    pub left_ms: Millis,
    /// Most it may cost.
    pub ceiling: Amount,
}

/// A dispatch that asks for its endpoint.
#[derive(Debug)]
pub struct Wanted {
    /// What it runs on.
    pub target: Target,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// Endpoints that have failed it.
    pub avoid: Vec<Key>,
    /// A number drawn for this dispatch.
    pub draw: u64,
    /// Whose, and of which class; how long runs take is learned by it.
    pub cell: Cell,
}

/// A request's turn; its place goes to the next one when this is dropped.
///
/// A guard, because a caller may hang up between the grant and its receipt:
/// a place that nobody gives back would be lost until the next start.
#[derive(Debug)]
pub struct Turn {
    /// For the engine: 0 highest to 9.
    pub priority: u8,
    /// Time it waited, in milliseconds.
    pub waited_ms: Millis,
    line: Line,
    desk: Handle,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.desk.tell(Message::Leave(self.line.clone()));
    }
}

/// An endpoint chosen for a dispatch, which counts there until this is ended
/// or dropped.
#[derive(Debug)]
pub struct Place {
    /// Its name.
    pub endpoint: world_endpoint::Id,
    /// Where it listens.
    pub address: SocketAddr,
    /// Why this one.
    pub reason: String,
    /// Time a run is expected to take, in milliseconds.
    pub expected_ms: Millis,
    key: Key,
    target: Target,
    cell: Cell,
    desk: Handle,
    ended: bool,
}

impl Place {
    /// Its key in this instance's fleet.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Tells how the dispatch ended.
    pub fn end(mut self, ending: Ending) {
        self.ended = true;
        self.desk.tell(Message::Ended(self.key, self.target.clone(), self.cell, ending));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.ended {
            self.desk.tell(Message::Ended(self.key, self.target.clone(), self.cell, Ending::Cancelled));
        }
    }
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy)]
pub enum Ending {
    /// Well.
    Whole {
        /// Time it took, in milliseconds.
        millis: Millis,
        /// Output tokens; 1 for a plain service.
        tokens: u32,
    },
    /// Otherwise.
    Failed(Failure),
    /// Cancelled by us.
    Cancelled,
}

/// An answer that was handed over, to be rated.
#[derive(Debug, Clone)]
pub struct Given {
    /// Names the answer to the rating service.
    pub id: String,
    /// The version that gave it.
    pub version: Version,
    /// Where in the cascade.
    pub stage: Stage,
    /// What was entered at its choice.
    pub entered: Entered,
}

#[derive(Debug)]
pub(crate) enum Message {
    Admit(Ticket, oneshot::Sender<Result<Turn, admission::Refusal>>),
    Leave(Line),
    Choose(Box<Wish>, oneshot::Sender<Result<(Choice, Entered), route::model::Refusal>>),
    Place(Wanted, oneshot::Sender<Result<Place, placing::Refusal>>),
    Ended(Key, Target, Cell, Ending),
    Retry(Customer, retry::Request, retry::Failure, oneshot::Sender<retry::Decision>),
    Void(Entered),
    Lapse(Entered),
    Escalated(Entered, f64, oneshot::Sender<Entered>),
    Given(Given),
    Judged { entered: Entered, version: Version, stage: Stage, pass: bool, last: bool },
    RaterDown,
    Ratings(Vec<Rating>),
    Report(world_endpoint::Id, endpoint::report::Load),
    Cache(world_endpoint::Id, Vec<endpoint::report::CacheEvent>),
    Leaving(Vec<world_endpoint::Id>),
    World(Arc<Catalog>, Vec<placing::Peer>),
    Endpoints(oneshot::Sender<Vec<world::endpoint::Endpoint>>),
}

/// Asks the desk; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    inbox: mpsc::Sender<Message>,
}

/// The desk is gone: the instance is stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// Opens the desk of the instance `me`.
#[must_use]
pub fn open(me: placing::Peer, policy: retry::Policy, control: control::Handle) -> Handle {
    let (inbox, messages) = mpsc::channel(INBOX);
    let weak = inbox.downgrade();
    tokio::spawn(state::State::new(me, policy, control, weak).run(messages));
    Handle { inbox }
}

impl Handle {
    /// Waits for a request's turn.
    ///
    /// # Errors
    ///
    /// A refusal, at once or when the deadline can no longer be met.
    pub async fn admit(&self, ticket: Ticket) -> Result<Result<Turn, admission::Refusal>, Closed> {
        self.ask(|reply| Message::Admit(ticket, reply)).await
    }

    /// Chooses versions.
    ///
    /// # Errors
    ///
    /// A refusal: nothing may run.
    pub async fn choose(&self, wish: Wish) -> Result<Result<(Choice, Entered), route::model::Refusal>, Closed> {
        self.ask(|reply| Message::Choose(Box::new(wish), reply)).await
    }

    /// Chooses an endpoint and counts the dispatch there.
    ///
    /// # Errors
    ///
    /// A refusal: none takes it.
    pub async fn place(&self, wanted: Wanted) -> Result<Result<Place, placing::Refusal>, Closed> {
        self.ask(|reply| Message::Place(wanted, reply)).await
    }

    /// Asks for leave to dispatch again, and pays for it.
    ///
    /// # Errors
    ///
    /// [`Closed`].
    pub async fn retry(
        &self,
        customer: &Customer,
        request: retry::Request,
        failure: retry::Failure,
    ) -> Result<retry::Decision, Closed> {
        self.ask(|reply| Message::Retry(customer.clone(), request, failure, reply)).await
    }

    /// Takes out a request that gave no answer.
    pub fn void(&self, entered: Entered) {
        self.tell(Message::Void(entered));
    }

    /// Tells that an answer handed over will not be rated.
    pub fn lapse(&self, entered: Entered) {
        self.tell(Message::Lapse(entered));
    }

    /// Enters anew a request that goes a step up, now expected to pass at `rate`.
    ///
    /// # Errors
    ///
    /// [`Closed`].
    pub async fn escalated(&self, entered: Entered, rate: f64) -> Result<Entered, Closed> {
        self.ask(|reply| Message::Escalated(entered, rate, reply)).await
    }

    /// Tells of an answer handed over that is rated later.
    pub fn given(&self, given: Given) {
        self.tell(Message::Given(given));
    }

    /// Tells of a rating had at once; `last` when its answer was handed over.
    pub fn judged(&self, entered: Entered, version: Version, stage: Stage, pass: bool, last: bool) {
        self.tell(Message::Judged { entered, version, stage, pass, last });
    }

    /// Tells that no rating could be had at once.
    pub fn rater_down(&self) {
        self.tell(Message::RaterDown);
    }

    /// Tells of ratings that came later.
    pub fn ratings(&self, ratings: Vec<Rating>) {
        self.tell(Message::Ratings(ratings));
    }

    /// Tells of an engine's load report.
    pub fn report(&self, endpoint: world_endpoint::Id, load: endpoint::report::Load) {
        self.tell(Message::Report(endpoint, load));
    }

    /// Tells of an engine's cache events.
    pub fn cache(&self, endpoint: world_endpoint::Id, events: Vec<endpoint::report::CacheEvent>) {
        self.tell(Message::Cache(endpoint, events));
    }

    /// Tells which endpoints are leaving; all others are not.
    pub fn leaving(&self, endpoints: Vec<world_endpoint::Id>) {
        self.tell(Message::Leaving(endpoints));
    }

    /// Tells of a new catalog or other live instances.
    pub fn world(&self, catalog: Arc<Catalog>, instances: Vec<placing::Peer>) {
        self.tell(Message::World(catalog, instances));
    }

    /// Endpoints this instance works with.
    ///
    /// # Errors
    ///
    /// [`Closed`].
    pub async fn endpoints(&self) -> Result<Vec<world::endpoint::Endpoint>, Closed> {
        self.ask(Message::Endpoints).await
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Result<T, Closed> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(message(reply)).await.map_err(|_| Closed)?;
        answer.await.map_err(|_| Closed)
    }

    /// Sends news that must not be lost and must not hold up the teller.
    fn tell(&self, message: Message) {
        let Err(mpsc::error::TrySendError::Full(message)) = self.inbox.try_send(message) else {
            return;
        };
        let inbox = self.inbox.clone();
        tokio::spawn(async move { inbox.send(message).await });
    }
}
