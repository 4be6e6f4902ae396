//! A checked request, ready to run at this instance.

use bytes::Bytes;
use endpoint::service::Call;
use http::{HeaderMap, Method};
use route::{endpoint::Target, rollout::Unit};
use tokio::time::Instant;
use world::{
    Timestamp,
    contract::{Contract, Customer},
    hash,
    model::Version,
    request::{Id, Repeat},
    service, session,
};

use crate::{
    clock,
    dispatcher::QueueKey,
    parsing::{Chat, Terms},
    session::Reference,
};

/// The work of a request.
#[derive(Debug, Clone)]
pub enum Work {
    /// A chat request.
    Chat(Chat),
    /// A call of a plain service.
    Call(ServiceCall),
}

/// A call of a plain service as received from the caller.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Service to call.
    pub service: service::Id,
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers forwarded to the service.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServiceCall {
    /// Returns the call addressed to one server of the service.
    #[must_use]
    pub fn addressed_to(&self, attempt: endpoint::Attempt, address: std::net::SocketAddr, request: &Request) -> Call {
        Call {
            attempt,
            address,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            key: Some(request.terms.id.key.clone()),
            deadline: request.deadline,
        }
    }

    /// Returns the hash of the method, path and body.
    fn fingerprint(&self) -> u64 {
        let head = format!("{} {} ", self.method, self.path);
        hash::rendezvous(hash::stable(head.as_bytes()), &self.body)
    }
}

/// One request, checked and ready to run.
#[derive(Debug, Clone)]
pub struct Request {
    /// Customer, key and other terms given by the headers.
    pub terms: Terms,
    /// Whether the request may be repeated, according to its terms or its service.
    pub repeat: Repeat,
    /// Work to run.
    pub work: Work,
    /// Session named by the caller.
    pub session: Option<Reference>,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Time at which the request was received.
    pub received: Instant,
}

impl Request {
    /// Creates a request that is received now; `contract` gives the default deadline.
    #[must_use]
    pub fn new(terms: Terms, repeat: Repeat, work: Work, session: Option<Reference>, contract: &Contract) -> Self {
        let received = Instant::now();
        let allowed = terms.deadline_ms.unwrap_or(contract.rank.deadline_ms);
        let deadline = received + std::time::Duration::from_millis(allowed);
        Self { terms, repeat, work, session, deadline, received }
    }

    /// Returns the identifier of the request.
    #[must_use]
    pub fn id(&self) -> &Id {
        &self.terms.id
    }

    /// Returns the customer that sent the request.
    #[must_use]
    pub fn customer(&self) -> &Customer {
        &self.terms.customer
    }

    /// Returns the deadline as wall-clock time.
    #[must_use]
    pub fn wall_clock_deadline(&self) -> Timestamp {
        clock::now().plus(clock::remaining_ms(self.deadline))
    }

    /// Returns the admission queue in which the request waits.
    #[must_use]
    pub fn queue_key(&self) -> QueueKey {
        match &self.work {
            Work::Chat(chat) => QueueKey::Model(chat.model.clone()),
            Work::Call(call) => QueueKey::Service(call.service.clone()),
        }
    }

    /// Returns the hash of the work; requests with the same key must have the same one.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        match &self.work {
            Work::Chat(chat) => chat.fingerprint,
            Work::Call(call) => call.fingerprint(),
        }
    }

    /// Returns the identifier of the session; a request that starts one uses its own
    /// key.
    #[must_use]
    pub fn session_id(&self) -> Option<session::Id> {
        match &self.session {
            Some(Reference::Handle { id, .. } | Reference::CallerNamed(id)) => Some(id.clone()),
            None => session::Id::parse(self.terms.id.key.as_str()).ok(),
        }
    }

    /// Returns the unit that roll-outs assign to a version: the session, or the request
    /// itself if it has none.
    #[must_use]
    pub fn rollout_unit(&self) -> Unit {
        match self.session_id() {
            Some(id) => Unit::session(self.customer(), &id),
            None => Unit::request(self.id()),
        }
    }

    /// Returns the target that its endpoints must serve: `version` for a chat request,
    /// or the service.
    #[must_use]
    pub fn target(&self, version: Option<&Version>) -> Option<Target> {
        match &self.work {
            Work::Chat(_) => version.cloned().map(Target::Version),
            Work::Call(call) => Some(Target::Service(call.service.clone())),
        }
    }
}
