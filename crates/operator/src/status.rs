//! What every instance has in force.

use std::net::SocketAddr;

use serde::Serialize;
use world::{Millis, domain::Domain, instance};

use crate::{Malformed, wire};

/// The fleet as one instance knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Highest generation known to the instance asked.
    pub generation: u64,
    /// The instance asked.
    pub answered_by: instance::Id,
    /// Every instance.
    pub instances: Vec<Member>,
}

/// One instance of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Its name.
    pub id: instance::Id,
    /// Which run.
    pub incarnation: instance::Incarnation,
    /// Where it stands.
    pub domain: Domain,
    /// Whether it takes work.
    pub state: instance::State,
    /// Generation in force there; nothing when it did not answer.
    pub generation: Option<u64>,
    /// Whether it may start new work.
    pub fresh: bool,
    /// Milliseconds since its last word from the platform or a peer.
    pub age_ms: Millis,
    /// Requests in flight.
    pub in_flight: u64,
    /// Its operators' listener.
    pub operators: SocketAddr,
    /// Why it did not answer.
    pub silent: Option<String>,
}

impl Member {
    /// Whether it counts and has not reached a generation.
    #[must_use]
    pub fn lags(&self, generation: u64) -> bool {
        self.state != instance::State::Gone && self.generation.is_none_or(|own| own < generation)
    }
}

/// How far a generation has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Which generation.
    pub generation: u64,
    /// Every instance.
    pub instances: Vec<Member>,
    /// In force at every instance that counts.
    pub done: bool,
}

/// How far an instance's leaving has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Draining {
    /// Which instance.
    pub instance: instance::Id,
    /// Requests still in flight.
    pub in_flight: u64,
    /// Nothing is in flight any more.
    pub done: bool,
}

impl From<&Member> for wire::Instance {
    fn from(member: &Member) -> Self {
        Self {
            name: member.id.to_string(),
            incarnation: member.incarnation.0,
            domain: member.domain.to_string(),
            state: state_text(member.state).into(),
            generation: member.generation,
            fresh: member.fresh,
            age_ms: member.age_ms,
            in_flight: member.in_flight,
            operators: member.operators.to_string(),
            silent: member.silent.clone().unwrap_or_default(),
        }
    }
}

impl TryFrom<wire::Instance> for Member {
    type Error = Malformed;

    fn try_from(member: wire::Instance) -> Result<Self, Malformed> {
        use instance::State;
        let state = [State::Live, State::Suspect, State::Leaving, State::Gone]
            .into_iter()
            .find(|state| state_text(*state) == member.state)
            .ok_or_else(|| Malformed::new("state", &"names no state"))?;
        Ok(Self {
            id: instance::Id::parse(&member.name).map_err(|e| Malformed::new("name", &e))?,
            incarnation: instance::Incarnation(member.incarnation),
            domain: Domain::parse(&member.domain).map_err(|e| Malformed::new("domain", &e))?,
            state,
            generation: member.generation,
            fresh: member.fresh,
            age_ms: member.age_ms,
            in_flight: member.in_flight,
            operators: member.operators.parse().map_err(|e| Malformed::new("operators", &e))?,
            silent: (!member.silent.is_empty()).then_some(member.silent),
        })
    }
}

impl From<&Status> for wire::StatusReply {
    fn from(status: &Status) -> Self {
        Self {
            generation: status.generation,
            instances: status.instances.iter().map(Into::into).collect(),
            answered_by: status.answered_by.to_string(),
        }
    }
}

impl TryFrom<wire::StatusReply> for Status {
    type Error = Malformed;

    fn try_from(reply: wire::StatusReply) -> Result<Self, Malformed> {
        Ok(Self {
            generation: reply.generation,
            answered_by: instance::Id::parse(&reply.answered_by).map_err(|e| Malformed::new("answered_by", &e))?,
            instances: members(reply.instances)?,
        })
    }
}

impl From<&Progress> for wire::WaitProgress {
    fn from(progress: &Progress) -> Self {
        Self {
            generation: progress.generation,
            instances: progress.instances.iter().map(Into::into).collect(),
            done: progress.done,
        }
    }
}

impl TryFrom<wire::WaitProgress> for Progress {
    type Error = Malformed;

    fn try_from(progress: wire::WaitProgress) -> Result<Self, Malformed> {
        Ok(Self { generation: progress.generation, instances: members(progress.instances)?, done: progress.done })
    }
}

impl From<&Draining> for wire::DrainProgress {
    fn from(draining: &Draining) -> Self {
        Self { instance: draining.instance.to_string(), in_flight: draining.in_flight, done: draining.done }
    }
}

impl TryFrom<wire::DrainProgress> for Draining {
    type Error = Malformed;

    fn try_from(progress: wire::DrainProgress) -> Result<Self, Malformed> {
        let instance = instance::Id::parse(&progress.instance).map_err(|e| Malformed::new("instance", &e))?;
        Ok(Self { instance, in_flight: progress.in_flight, done: progress.done })
    }
}

fn members(members: Vec<wire::Instance>) -> Result<Vec<Member>, Malformed> {
    members.into_iter().map(Member::try_from).collect()
}

fn state_text(state: instance::State) -> &'static str {
    match state {
        instance::State::Live => "live",
        instance::State::Suspect => "suspect",
        instance::State::Leaving => "leaving",
        instance::State::Gone => "gone",
    }
}
