//! Serialized datagrams between instances, and their conversions.

mod demands;
mod evidence;
mod items;
mod paces;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use route::relay::canary::Stage;
use serde::{Deserialize, Serialize};

pub(super) use self::{
    demands::Demands,
    evidence::{RolloutEvidence, RouteEvidence, reports},
    items::{Finding, Limit, Notice, PartCrash, RejectionLimit, Withdrawal, divide},
    paces::PaceReport,
};
use crate::{
    dispatcher::{
        evacuations,
        fleet::Load,
        peers::{self, Sighting, Status},
        synchronization,
    },
    rollout::Rollout,
    settings::Cores,
    source::{self, Endpoint},
};

/// Contents of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Packet {
    /// What an instance reports about itself.
    News(NewsMessage),
    /// Question for changes, to an instance that watches the store.
    Question(Question),
    /// Answer to a question.
    Reply(Reply),
    /// Notices of long prompts.
    Notices(Vec<Notice>),
    /// Notices that the receiver passes on to the instances of its failure domain.
    PassOn(Vec<Notice>),
    /// Evidence of an instance on rollouts, with the hash of the instance's name.
    /// Earlier builds leave out the evidence by route.
    Evidence(u32, Vec<RolloutEvidence>, Vec<RouteEvidence>),
    /// Findings about requests that crash endpoints.
    Findings(Vec<Finding>),
    /// Findings that the receiver passes on to the instances of its failure domain.
    PassOnFindings(Vec<Finding>),
    /// Rate limits that endpoints report.
    Limits(Vec<Limit>),
    /// Limits that the receiver passes on to the instances of its failure domain.
    PassOnLimits(Vec<Limit>),
    /// Crashes of endpoints under parts of prompts. Earlier builds cannot decode this packet.
    PartCrashes(Vec<PartCrash>),
    /// Such crashes that the receiver passes on to the instances of its failure domain.
    PassOnPartCrashes(Vec<PartCrash>),
    /// Endpoints that leave or have asked for pauses. Earlier builds cannot decode this packet.
    Withdrawals(Vec<Withdrawal>),
    /// Such endpoints that the receiver passes on to the instances of its failure domain.
    PassOnWithdrawals(Vec<Withdrawal>),
    /// Observations of endpoints' paces, with the hash of the sender's name. Sent only by
    /// instances that learn capacity; earlier builds cannot decode this packet.
    Paces(u32, Vec<PaceReport>),
    /// Demands of the sender's callers at a service. Earlier builds cannot decode this packet;
    /// it is only sent where the operator has switched admission control on.
    Demands(Demands),
}

/// Serialized form of [`source::Revision`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Revision {
    era: u64,
    number: u64,
}

impl From<source::Revision> for Revision {
    fn from(source::Revision { era, number }: source::Revision) -> Self {
        Self { era, number }
    }
}

impl From<Revision> for source::Revision {
    fn from(Revision { era, number }: Revision) -> Self {
        Self { era, number }
    }
}

/// Serialized form of [`synchronization::Question`]; the reply repeats the number.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Question {
    pub(super) number: u64,
    pub(super) revision: Revision,
}

/// Serialized form of [`synchronization::Reply`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Reply {
    /// Number of the question.
    pub(super) number: u64,
    /// Version of the catalog in force; 0 before the first.
    pub(super) catalog: u64,
    /// Age of the proof that this version is in force.
    pub(super) proof_age_ms: u32,
    /// Time since the store last answered the sender.
    pub(super) silence_ms: u32,
    /// Revision up to which the changes are complete.
    pub(super) revision: Revision,
    /// Whether the endpoints have to be listed from the store instead.
    pub(super) gap: bool,
    pub(super) changes: Vec<Change>,
    /// Revision at which the rollouts were read.
    pub(super) rollouts_revision: Revision,
    pub(super) rollouts: Vec<RolloutOrder>,
    pub(super) evacuations: Evacuations,
    /// Time since the store's era was first seen. Earlier builds leave it out.
    pub(super) era_age_ms: Option<u32>,
}

/// Serialized form of [`evacuations::Snapshot`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Evacuations {
    /// Revision of the store.
    revision: Revision,
    /// Names of the evacuated failure domains.
    domains: Vec<String>,
}

/// Serialized form of [`synchronization::Change`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Change {
    /// An endpoint was registered or changed.
    Known {
        id: String,
        service: String,
        address: SocketAddr,
        domain: String,
        version: String,
        slots: u32,
        draining: bool,
        /// Remaining time for which the endpoint is slow after its start.
        cold_ms: u32,
        /// Start time in Unix milliseconds.
        born: Option<u64>,
        revision: Revision,
    },
    /// The endpoint of this name was removed.
    Gone(String),
}

/// Serialized form of [`Rollout`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RolloutOrder {
    pub(super) service: String,
    pub(super) target: String,
    /// Time that the rollout may take.
    pub(super) over_ms: u32,
    pub(super) stage: Option<u8>,
    pub(super) revision: Revision,
}

/// Serialized form of [`peers::Phase`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) enum Phase {
    Starting,
    Ready,
    Leaving,
}

impl From<peers::Phase> for Phase {
    fn from(phase: peers::Phase) -> Self {
        match phase {
            peers::Phase::Starting => Self::Starting,
            peers::Phase::Ready => Self::Ready,
            peers::Phase::Leaving => Self::Leaving,
        }
    }
}

impl From<Phase> for peers::Phase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Starting => Self::Starting,
            Phase::Ready => Self::Ready,
            Phase::Leaving => Self::Leaving,
        }
    }
}

/// A news message: what an instance reports about itself and others.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct NewsMessage {
    pub(super) name: String,
    /// Start time of the instance, which orders its messages across restarts.
    pub(super) run: u64,
    /// Address for callers.
    pub(super) front: SocketAddr,
    pub(super) phase: Phase,
    /// Whether the instance's proof of access keys is recent enough.
    pub(super) fresh: bool,
    /// Whether its own calls to the store succeed.
    pub(super) in_touch: bool,
    /// Whether the catalog takes long to transfer to it.
    pub(super) narrow: bool,
    /// CPU capacity in hundredths of a core.
    pub(super) centicores: u32,
    pub(super) domain: String,
    /// Longest time until its next message to the same receiver.
    pub(super) pause_ms: u32,
    /// Names and news addresses of some other instances.
    pub(super) named: Vec<(String, SocketAddr)>,
    pub(super) sightings: Vec<SerializedSighting>,
    /// Load that its requests put on endpoints: hash of the endpoint's name and start
    /// time, runs, backlog in milliseconds.
    pub(super) loads: Vec<(u32, u16, u16)>,
    /// Hashes of sessions that it recently served with an old version during a rollout.
    pub(super) sessions: Vec<u64>,
    /// Its evidence on rollouts.
    pub(super) orders: Vec<RolloutEvidence>,
    /// Version of its catalog; 0 before the first.
    pub(super) catalog: u64,
    /// Short hashes of the services of which it reaches no endpoint. Earlier builds do not
    /// send this field, and ignore it.
    pub(super) unreachable: Vec<u32>,
    /// What endpoints have stated to it about rejections. Earlier builds do not send this
    /// field, and ignore it.
    pub(super) rejection_limits: Vec<RejectionLimit>,
    /// Its evidence on rollouts by route. Earlier builds do not send this field, and ignore it.
    pub(super) route_evidence: Vec<RouteEvidence>,
}

/// Serialized form of [`Sighting`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SerializedSighting {
    /// Hash of the instance's name.
    name: u32,
    /// Time since the instance was last heard from.
    age_ms: u16,
    /// Whether the instance is shutting down.
    leaves: bool,
}

impl From<Sighting> for SerializedSighting {
    fn from(sighting: Sighting) -> Self {
        let age_ms = u16::try_from(sighting.age.as_millis()).unwrap_or(u16::MAX);
        Self { name: sighting.name, age_ms, leaves: sighting.leaves }
    }
}

impl From<&SerializedSighting> for Sighting {
    fn from(serialized: &SerializedSighting) -> Self {
        Self {
            name: serialized.name,
            age: Duration::from_millis(u64::from(serialized.age_ms)),
            leaves: serialized.leaves,
        }
    }
}

/// Returns the number that stands for a stage in datagrams.
pub(super) fn stage_number(stage: Stage) -> u8 {
    match stage {
        Stage::Trial => 0,
        Stage::Shift => 1,
        Stage::Done => 2,
        Stage::Reverted => 3,
    }
}

/// Returns the stage that a number in a datagram stands for.
pub(super) fn stage_of(number: u8) -> Stage {
    match number {
        1 => Stage::Shift,
        2 => Stage::Done,
        3 => Stage::Reverted,
        _ => Stage::Trial,
    }
}

/// Converts to an integer, clamped to the range of `u16`.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the type's range")]
pub(super) fn clamp_to_u16(value: f64) -> u16 {
    value.clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Converts to whole milliseconds, at most `u32::MAX`.
pub(super) fn millis_u32(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl From<synchronization::Change> for Change {
    fn from(change: synchronization::Change) -> Self {
        match change {
            synchronization::Change::Gone(id) => Self::Gone(id),
            synchronization::Change::Known(endpoint) => Self::Known {
                id: endpoint.id,
                service: endpoint.service,
                address: endpoint.address,
                domain: endpoint.domain,
                version: endpoint.version,
                slots: endpoint.slots,
                draining: endpoint.draining,
                cold_ms: millis_u32(endpoint.warmup_left),
                born: endpoint.started_at_ms,
                revision: endpoint.revision.into(),
            },
        }
    }
}

impl From<Change> for synchronization::Change {
    fn from(change: Change) -> Self {
        match change {
            Change::Gone(id) => Self::Gone(id),
            Change::Known { id, service, address, domain, version, slots, draining, cold_ms, born, revision } => {
                let cold = Duration::from_millis(u64::from(cold_ms));
                let endpoint = Endpoint {
                    id,
                    service,
                    address,
                    domain,
                    version,
                    slots,
                    draining,
                    warmup_left: cold,
                    started_at_ms: born,
                    revision: revision.into(),
                };
                Self::Known(endpoint)
            }
        }
    }
}

impl From<Rollout> for RolloutOrder {
    fn from(rollout: Rollout) -> Self {
        Self {
            service: rollout.service,
            target: rollout.target,
            over_ms: millis_u32(rollout.max_duration),
            stage: rollout.stage.map(stage_number),
            revision: rollout.revision.into(),
        }
    }
}

impl From<RolloutOrder> for Rollout {
    fn from(rollout_order: RolloutOrder) -> Self {
        Self {
            service: rollout_order.service,
            target: rollout_order.target,
            max_duration: Duration::from_millis(u64::from(rollout_order.over_ms)),
            stage: rollout_order.stage.map(stage_of),
            revision: rollout_order.revision.into(),
        }
    }
}

impl Reply {
    pub(super) fn new(number: u64, reply: synchronization::Reply) -> Self {
        Self {
            number,
            catalog: reply.catalog,
            // Rounded up, so that the proof never looks more recent than it is.
            proof_age_ms: millis_u32(reply.proof_age).saturating_add(1),
            silence_ms: millis_u32(reply.silence),
            revision: reply.revision.into(),
            gap: reply.gap,
            changes: reply.changes.into_iter().map(Change::from).collect(),
            rollouts_revision: reply.orders_revision.into(),
            rollouts: reply.orders.into_iter().map(RolloutOrder::from).collect(),
            evacuations: Evacuations {
                revision: reply.evacuations.revision.into(),
                domains: reply.evacuations.domains,
            },
            // Rounded down, so that the era never looks older than it is.
            era_age_ms: reply.era_age.map(millis_u32),
        }
    }
}

impl From<Reply> for synchronization::Reply {
    fn from(reply: Reply) -> Self {
        Self {
            catalog: reply.catalog,
            proof_age: Duration::from_millis(u64::from(reply.proof_age_ms)),
            silence: Duration::from_millis(u64::from(reply.silence_ms)),
            revision: reply.revision.into(),
            gap: reply.gap,
            changes: reply.changes.into_iter().map(synchronization::Change::from).collect(),
            orders_revision: reply.rollouts_revision.into(),
            orders: reply.rollouts.into_iter().map(Rollout::from).collect(),
            evacuations: evacuations::Snapshot {
                revision: reply.evacuations.revision.into(),
                domains: reply.evacuations.domains,
            },
            era_age: reply.era_age_ms.map(|age| Duration::from_millis(u64::from(age))),
        }
    }
}

impl From<&NewsMessage> for Status {
    fn from(message: &NewsMessage) -> Self {
        let load = |&(hash, runs, backlog): &(u32, u16, u16)| {
            (hash, Load { runs: f64::from(runs), backlog_ms: f64::from(backlog) })
        };
        Self {
            front: Some(message.front),
            start: message.run,
            phase: message.phase.into(),
            fresh: message.fresh,
            domain: message.domain.clone(),
            in_touch: message.in_touch,
            is_narrow: message.narrow,
            cores: Cores(message.centicores),
            time_to_next: Duration::from_millis(u64::from(message.pause_ms)),
            loads: message.loads.iter().map(load).collect::<HashMap<_, _>>(),
            sessions: message.sessions.clone(),
            reports: evidence::reports(&message.orders, &message.route_evidence),
            catalog: message.catalog,
            unreachable: message.unreachable.clone(),
        }
    }
}
