//! Serialized datagrams between instances, and their conversions.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use route::relay::{
    canary::{Lateness, Stage, Tally},
    content::Content,
    quarantine,
};
use serde::{Deserialize, Serialize};

use crate::{
    desk::{
        fleet::{self, Load},
        peers::{self, Sighting, Word},
        track,
        trials::{Report, Tallies},
    },
    rollout::Rollout,
    settings::Cores,
    source::Endpoint,
};

/// Contents of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Packet {
    /// What an instance reports about itself.
    News(Piece),
    /// Question for changes, to an instance that watches the store.
    Question(Question),
    /// Answer to a question.
    Reply(Reply),
    /// Notices of long prompts.
    Notices(Vec<Notice>),
    /// Notices that the receiver passes on to its neighbours.
    PassOn(Vec<Notice>),
    /// Evidence of an instance on rollouts, with the hash of the instance's name.
    Evidence(u32, Vec<Order>),
    /// Findings about requests that crash endpoints.
    Findings(Vec<Finding>),
    /// Findings that the receiver passes on to its neighbours.
    PassOnFindings(Vec<Finding>),
    /// Rate limits that endpoints report.
    Limits(Vec<Limit>),
    /// Limits that the receiver passes on to its neighbours.
    PassOnLimits(Vec<Limit>),
}

/// Serialized form of [`fleet::Limit`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Limit {
    start: u32,
    per_s: Option<f64>,
    age_ms: u32,
}

impl From<fleet::Limit> for Limit {
    fn from(limit: fleet::Limit) -> Self {
        Self { start: limit.start, per_s: limit.per_s, age_ms: short_ms(limit.age) }
    }
}

impl From<&Limit> for fleet::Limit {
    fn from(limit: &Limit) -> Self {
        let per_s = limit.per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        Self { start: limit.start, per_s, age: Duration::from_millis(u64::from(limit.age_ms)) }
    }
}

/// Serialized form of [`quarantine::Finding`]; `team` and `work` identify the request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) enum Finding {
    Crash { team: u32, work: u64, start: u32 },
    EndedWell { team: u32, work: u64 },
    Held { team: u32, work: u64, age_ms: u32 },
}

impl From<quarantine::Finding> for Finding {
    fn from(finding: quarantine::Finding) -> Self {
        match finding {
            quarantine::Finding::Crash { content: Content { team, work }, start } => Self::Crash { team, work, start },
            quarantine::Finding::EndedWell { content: Content { team, work } } => Self::EndedWell { team, work },
            quarantine::Finding::Held { content: Content { team, work }, age } => {
                Self::Held { team, work, age_ms: short_ms(age) }
            }
        }
    }
}

impl From<Finding> for quarantine::Finding {
    fn from(finding: Finding) -> Self {
        match finding {
            Finding::Crash { team, work, start } => Self::Crash { content: Content { team, work }, start },
            Finding::EndedWell { team, work } => Self::EndedWell { content: Content { team, work } },
            Finding::Held { team, work, age_ms } => {
                Self::Held { content: Content { team, work }, age: Duration::from_millis(u64::from(age_ms)) }
            }
        }
    }
}

/// Serialized form of [`fleet::Notice`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Notice {
    /// Hash of the name of the instance that sent the prompt.
    pub(super) origin: u32,
    pub(super) endpoint: u32,
    pub(super) reading_ms: u16,
    pub(super) part: Option<u32>,
}

/// Serialized form of [`track::Question`]; the reply repeats the number.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Question {
    pub(super) number: u64,
    pub(super) revision: u64,
}

/// Serialized form of [`track::Reply`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Reply {
    pub(super) number: u64,
    pub(super) catalog: u64,
    pub(super) proof_age_ms: u32,
    pub(super) silence_ms: u32,
    pub(super) revision: u64,
    pub(super) gap: bool,
    pub(super) changes: Vec<Change>,
    pub(super) rollouts: Vec<Ordered>,
}

/// Serialized form of [`track::Change`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Change {
    Known {
        id: String,
        service: String,
        address: SocketAddr,
        domain: String,
        version: String,
        slots: u32,
        draining: bool,
        cold_ms: u32,
        born: Option<u64>,
        revision: u64,
    },
    Gone(String),
}

/// Serialized form of [`Rollout`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Ordered {
    pub(super) service: String,
    pub(super) target: String,
    pub(super) over_ms: u32,
    pub(super) stage: Option<u8>,
    pub(super) revision: u64,
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
pub(super) struct Piece {
    pub(super) name: String,
    pub(super) run: u64,
    pub(super) front: SocketAddr,
    pub(super) phase: Phase,
    pub(super) fresh: bool,
    pub(super) in_touch: bool,
    pub(super) narrow: bool,
    pub(super) centicores: u32,
    pub(super) domain: String,
    pub(super) pause_ms: u32,
    pub(super) named: Vec<(String, SocketAddr)>,
    pub(super) sightings: Vec<Seen>,
    pub(super) loads: Vec<(u32, u16, u16)>,
    pub(super) sessions: Vec<u64>,
    pub(super) orders: Vec<Order>,
    pub(super) catalog: u64,
}

/// Serialized form of [`Sighting`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Seen {
    name: u32,
    age_ms: u16,
    leaves: bool,
}

impl From<Sighting> for Seen {
    fn from(sighting: Sighting) -> Self {
        let age_ms = u16::try_from(sighting.age.as_millis()).unwrap_or(u16::MAX);
        Self { name: sighting.name, age_ms, leaves: sighting.leaves }
    }
}

impl From<&Seen> for Sighting {
    fn from(seen: &Seen) -> Self {
        Self { name: seen.name, age: Duration::from_millis(u64::from(seen.age_ms)), leaves: seen.leaves }
    }
}

/// Serialized form of [`Tally`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Counts {
    pub(super) runs: u32,
    pub(super) bad: u32,
    pub(super) timed: u32,
    pub(super) sum: f64,
    pub(super) squares: f64,
}

impl From<Tally> for Counts {
    fn from(tally: Tally) -> Self {
        let Lateness { runs, sum, squares } = tally.lateness;
        Self { runs: tally.runs, bad: tally.bad, timed: runs, sum, squares }
    }
}

impl From<&Counts> for Tally {
    fn from(counts: &Counts) -> Self {
        let lateness = Lateness { runs: counts.timed, sum: counts.sum, squares: counts.squares };
        Self { runs: counts.runs, bad: counts.bad, lateness }
    }
}

/// Serialized form of [`Report`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Order {
    pub(super) hash: u32,
    pub(super) stage: u8,
    pub(super) elapsed_ms: u32,
    pub(super) new: Counts,
    pub(super) old: Counts,
}

/// Returns the number that stands for a stage in datagrams.
pub(super) fn number(stage: Stage) -> u8 {
    match stage {
        Stage::Trial => 0,
        Stage::Shift => 1,
        Stage::Done => 2,
        Stage::Reverted => 3,
    }
}

/// Returns the stage that a number in a datagram stands for.
pub(super) fn stage(number: u8) -> Stage {
    match number {
        1 => Stage::Shift,
        2 => Stage::Done,
        3 => Stage::Reverted,
        _ => Stage::Trial,
    }
}

/// Converts to an integer, clamped to the range of `u16`.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the type's range")]
pub(super) fn short(value: f64) -> u16 {
    value.clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Converts to whole milliseconds, at most `u32::MAX`.
pub(super) fn short_ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Notice {
    pub(super) fn new(notice: fleet::Notice, origin: u32) -> Self {
        Self { origin, endpoint: notice.endpoint, reading_ms: short(notice.reading_ms), part: notice.part }
    }
}

impl From<Notice> for fleet::Notice {
    fn from(notice: Notice) -> Self {
        Self { endpoint: notice.endpoint, reading_ms: f64::from(notice.reading_ms), part: notice.part }
    }
}

impl From<track::Change> for Change {
    fn from(change: track::Change) -> Self {
        match change {
            track::Change::Gone(id) => Self::Gone(id),
            track::Change::Known(endpoint) => Self::Known {
                id: endpoint.id,
                service: endpoint.service,
                address: endpoint.address,
                domain: endpoint.domain,
                version: endpoint.version,
                slots: endpoint.slots,
                draining: endpoint.draining,
                cold_ms: short_ms(endpoint.cold),
                born: endpoint.born,
                revision: endpoint.revision,
            },
        }
    }
}

impl From<Change> for track::Change {
    fn from(change: Change) -> Self {
        match change {
            Change::Gone(id) => Self::Gone(id),
            Change::Known { id, service, address, domain, version, slots, draining, cold_ms, born, revision } => {
                let cold = Duration::from_millis(u64::from(cold_ms));
                let endpoint =
                    Endpoint { id, service, address, domain, version, slots, draining, cold, born, revision };
                Self::Known(endpoint)
            }
        }
    }
}

impl From<Rollout> for Ordered {
    fn from(rollout: Rollout) -> Self {
        Self {
            service: rollout.service,
            target: rollout.target,
            over_ms: short_ms(rollout.over),
            stage: rollout.stage.map(number),
            revision: rollout.revision,
        }
    }
}

impl From<Ordered> for Rollout {
    fn from(ordered: Ordered) -> Self {
        Self {
            service: ordered.service,
            target: ordered.target,
            over: Duration::from_millis(u64::from(ordered.over_ms)),
            stage: ordered.stage.map(stage),
            revision: ordered.revision,
        }
    }
}

impl Reply {
    pub(super) fn new(number: u64, reply: track::Reply) -> Self {
        Self {
            number,
            catalog: reply.catalog,
            proof_age_ms: short_ms(reply.proof_age).saturating_add(1),
            silence_ms: short_ms(reply.silence),
            revision: reply.revision,
            gap: reply.gap,
            changes: reply.changes.into_iter().map(Change::from).collect(),
            rollouts: reply.orders.into_iter().map(Ordered::from).collect(),
        }
    }
}

impl From<Reply> for track::Reply {
    fn from(reply: Reply) -> Self {
        Self {
            catalog: reply.catalog,
            proof_age: Duration::from_millis(u64::from(reply.proof_age_ms)),
            silence: Duration::from_millis(u64::from(reply.silence_ms)),
            revision: reply.revision,
            gap: reply.gap,
            changes: reply.changes.into_iter().map(track::Change::from).collect(),
            orders: reply.rollouts.into_iter().map(Rollout::from).collect(),
        }
    }
}

impl From<&Report> for Order {
    fn from(report: &Report) -> Self {
        Self {
            hash: report.order,
            stage: number(report.stage),
            elapsed_ms: short_ms(report.elapsed),
            new: report.own.new.into(),
            old: report.own.old.into(),
        }
    }
}

impl From<&Order> for Report {
    fn from(order: &Order) -> Self {
        Self {
            order: order.hash,
            stage: stage(order.stage),
            elapsed: Duration::from_millis(u64::from(order.elapsed_ms)),
            own: Tallies { new: (&order.new).into(), old: (&order.old).into() },
        }
    }
}

impl From<&Piece> for Word {
    fn from(piece: &Piece) -> Self {
        let load = |&(hash, runs, backlog): &(u32, u16, u16)| {
            (hash, Load { runs: f64::from(runs), backlog_ms: f64::from(backlog) })
        };
        Self {
            front: Some(piece.front),
            run: piece.run,
            phase: piece.phase.into(),
            fresh: piece.fresh,
            domain: piece.domain.clone(),
            in_touch: piece.in_touch,
            is_narrow: piece.narrow,
            cores: Cores(piece.centicores),
            pause: Duration::from_millis(u64::from(piece.pause_ms)),
            loads: piece.loads.iter().map(load).collect::<HashMap<_, _>>(),
            sessions: piece.sessions.clone(),
            reports: piece.orders.iter().map(Report::from).collect(),
            catalog: piece.catalog,
        }
    }
}
