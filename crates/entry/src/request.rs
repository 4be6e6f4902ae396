//! One request as it goes through this instance.

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
    ask::{Chat, Terms},
    clock,
    desk::Line,
    session::Named,
};

/// What is to be run.
#[derive(Debug, Clone)]
pub enum Work {
    /// A chat request.
    Chat(Chat),
    /// A plain service's call.
    Call(Visit),
}

/// A call of a plain service as the caller made it.
#[derive(Debug, Clone)]
pub struct Visit {
    /// The service.
    pub service: service::Id,
    /// HTTP method.
    pub method: Method,
    /// Path and query, from `/` on.
    pub path: String,
    /// Headers worth passing on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Visit {
    /// The same call for one server.
    #[must_use]
    pub fn call(&self, attempt: endpoint::Attempt, address: std::net::SocketAddr, request: &Request) -> Call {
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

    fn fingerprint(&self) -> u64 {
        let head = format!("{} {} ", self.method, self.path);
        hash::rendezvous(hash::stable(head.as_bytes()), &self.body)
    }
}

/// One request, checked and ready to run.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whose it is and on what terms.
    pub terms: Terms,
    /// Whether it may be repeated; the terms' word, or its service's.
    pub repeat: Repeat,
    /// What is to be run.
    pub work: Work,
    /// The session it names.
    pub session: Option<Named>,
    /// When its answer must be whole.
    pub deadline: Instant,
    /// When it was received.
    pub received: Instant,
}

impl Request {
    /// A request received now under its contract.
    #[must_use]
    pub fn new(terms: Terms, repeat: Repeat, work: Work, session: Option<Named>, contract: &Contract) -> Self {
        let received = Instant::now();
        let allowed = terms.deadline_ms.unwrap_or(contract.rank.deadline_ms);
        let deadline = received + std::time::Duration::from_millis(allowed);
        Self { terms, repeat, work, session, deadline, received }
    }

    /// Which request.
    #[must_use]
    pub fn id(&self) -> &Id {
        &self.terms.id
    }

    /// Whose.
    #[must_use]
    pub fn customer(&self) -> &Customer {
        &self.terms.customer
    }

    /// Its deadline on the wall clock.
    #[must_use]
    pub fn due(&self) -> Timestamp {
        clock::now().plus(clock::left(self.deadline))
    }

    /// Where it waits.
    #[must_use]
    pub fn line(&self) -> Line {
        match &self.work {
            Work::Chat(chat) => Line::Model(chat.model.clone()),
            Work::Call(visit) => Line::Service(visit.service.clone()),
        }
    }

    /// Hash of what is to be run; one key must have one.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        match &self.work {
            Work::Chat(chat) => chat.fingerprint,
            Work::Call(visit) => visit.fingerprint(),
        }
    }

    /// The name of its session; its own key where it starts one.
    #[must_use]
    pub fn session_id(&self) -> Option<session::Id> {
        match &self.session {
            Some(Named::Handle { id, .. } | Named::Caller(id)) => Some(id.clone()),
            None => session::Id::parse(self.terms.id.key.as_str()).ok(),
        }
    }

    /// Its session as roll-outs count it.
    #[must_use]
    pub fn unit(&self) -> Unit {
        match self.session_id() {
            Some(id) => Unit::session(self.customer(), &id),
            None => Unit::request(self.id()),
        }
    }

    /// Endpoints it may go to.
    #[must_use]
    pub fn target(&self, version: Option<&Version>) -> Option<Target> {
        match &self.work {
            Work::Chat(_) => version.cloned().map(Target::Version),
            Work::Call(visit) => Some(Target::Service(visit.service.clone())),
        }
    }
}
