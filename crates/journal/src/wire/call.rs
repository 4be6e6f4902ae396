//! Questions between instances, and their replies.

use prost::Message;
use world::{instance, request, session::Pin, time::Timestamp};

use super::{Invalid, message};
use crate::{
    Reason,
    op::{self, Known, Op, Reply},
    record::Shard,
};

/// One question on its way to another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// For the home of a shard.
    Home(Shard, Op),
    /// Hold a bill until its home has it.
    Hold(crate::Bill),
}

#[derive(Clone, PartialEq, Message)]
struct Call {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(message, optional, tag = "2")]
    record: Option<message::Record>,
    #[prost(message, optional, tag = "3")]
    register: Option<Register>,
    #[prost(message, optional, tag = "4")]
    release: Option<Release>,
    #[prost(message, optional, tag = "5")]
    outcome: Option<message::Wide>,
    #[prost(message, optional, tag = "6")]
    hold: Option<message::Bill>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct Register {
    #[prost(message, optional, tag = "1")]
    digest: Option<message::Wide>,
    #[prost(fixed64, tag = "2")]
    nonce: u64,
    #[prost(message, optional, tag = "3")]
    by: Option<message::Origin>,
    #[prost(fixed64, tag = "4")]
    fingerprint: u64,
    #[prost(uint64, optional, tag = "5")]
    made_at: Option<u64>,
    #[prost(uint64, tag = "6")]
    lasts_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Release {
    #[prost(message, optional, tag = "1")]
    digest: Option<message::Wide>,
    #[prost(fixed64, tag = "2")]
    nonce: u64,
    #[prost(enumeration = "message::Outcome", tag = "4")]
    end: i32,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct Answer {
    #[prost(enumeration = "Kind", tag = "1")]
    kind: i32,
    #[prost(enumeration = "message::Outcome", optional, tag = "2")]
    outcome: Option<i32>,
    #[prost(string, optional, tag = "3")]
    instance: Option<String>,
    #[prost(message, optional, tag = "4")]
    pins: Option<message::Pins>,
    #[prost(enumeration = "Refusal", tag = "5")]
    refusal: i32,
}

/// 0 is "unknown", so that a kind this build does not know promises nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Kind {
    Unknown = 0,
    Done = 1,
    Claimed = 2,
    Known = 3,
    First = 4,
    RunningAt = 5,
    Already = 6,
    Held = 7,
    Bound = 8,
    Outcome = 9,
    Refused = 10,
    NotHome = 11,
    Again = 12,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Refusal {
    NoHome = 0,
    PlatformDown = 1,
    Full = 2,
    KeyTooOld = 3,
    KeyTooNew = 4,
    OtherBody = 5,
    GrantClosed = 6,
    Unproved = 7,
}

/// A question as bytes.
#[must_use]
pub fn encode_request(request: &Request) -> Vec<u8> {
    Call::from(request).encode_to_vec()
}

/// A question from bytes.
///
/// # Errors
///
/// [`Invalid`] when the bytes are no question that this build knows.
pub fn decode_request(bytes: &[u8]) -> Result<Request, Invalid> {
    Call::decode(bytes)?.try_into()
}

/// A reply as bytes.
#[must_use]
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    Answer::from(reply).encode_to_vec()
}

/// A reply from bytes.
///
/// # Errors
///
/// [`Invalid`] when the bytes are no reply.
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, Invalid> {
    Answer::decode(bytes)?.try_into()
}

impl From<&Request> for Call {
    fn from(request: &Request) -> Self {
        let (shard, op) = match request {
            Request::Home(shard, op) => (shard, op),
            Request::Hold(bill) => return Self { hold: Some(bill.into()), ..Self::default() },
        };
        let mut call = Self { shard: shard.0.into(), ..Self::default() };
        let record = call.record.get_or_insert_default();
        match op {
            Op::Claim(claim) => record.claim = Some(claim.into()),
            Op::Settle(settle) => record.settle = Some(settle.into()),
            Op::Bill(bill) => record.bill = Some(bill.into()),
            Op::Bind(bind) => record.bind = Some(bind.into()),
            Op::Close(close) => record.close = Some(close.into()),
            Op::Register(register) => call.register = Some(register.into()),
            Op::Release(release) => {
                let end = message::Outcome::from(release.end).into();
                call.release = Some(Release { digest: Some(release.digest.into()), nonce: release.nonce, end });
            }
            Op::Outcome(digest) => call.outcome = Some((*digest).into()),
        }
        call
    }
}

impl TryFrom<Call> for Request {
    type Error = Invalid;

    fn try_from(call: Call) -> Result<Self, Invalid> {
        if let Some(bill) = call.hold {
            return Ok(Self::Hold(bill.try_into()?));
        }
        let shard = u16::try_from(call.shard).map_err(|_| Invalid("shard is above 65535".into()))?;
        let record = call.record.unwrap_or_default();
        let op = match (call.register, call.release, call.outcome) {
            (Some(register), ..) => Op::Register(register.try_into()?),
            (_, Some(release), _) => {
                let end = release.end().try_into()?;
                Op::Release(op::Release { digest: release.digest.try_into()?, nonce: release.nonce, end })
            }
            (.., Some(digest)) => Op::Outcome(Some(digest).try_into()?),
            _ => record.try_into()?,
        };
        Ok(Self::Home(Shard(shard), op))
    }
}

impl TryFrom<message::Record> for Op {
    type Error = Invalid;

    fn try_from(wire: message::Record) -> Result<Self, Invalid> {
        Ok(match wire {
            message::Record { claim: Some(claim), .. } => Self::Claim(claim.try_into()?),
            message::Record { settle: Some(settle), .. } => Self::Settle(settle.try_into()?),
            message::Record { bill: Some(bill), .. } => Self::Bill(bill.try_into()?),
            message::Record { bind: Some(bind), .. } => Self::Bind(bind.try_into()?),
            message::Record { close: Some(close), .. } => Self::Close(close.try_into()?),
            _ => return Err(Invalid::missing("record")),
        })
    }
}

impl From<&op::Register> for Register {
    fn from(register: &op::Register) -> Self {
        Self {
            digest: Some(register.digest.into()),
            nonce: register.nonce,
            by: Some((&register.by).into()),
            fingerprint: register.fingerprint,
            made_at: register.made_at.map(|at| at.0),
            lasts_ms: register.lasts_ms,
        }
    }
}

impl TryFrom<Register> for op::Register {
    type Error = Invalid;

    fn try_from(wire: Register) -> Result<Self, Invalid> {
        Ok(Self {
            digest: wire.digest.try_into()?,
            nonce: wire.nonce,
            by: wire.by.ok_or_else(|| Invalid::missing("by"))?.try_into()?,
            fingerprint: wire.fingerprint,
            made_at: wire.made_at.map(Timestamp),
            lasts_ms: wire.lasts_ms,
        })
    }
}

impl From<&Reply> for Answer {
    fn from(reply: &Reply) -> Self {
        let of = |kind: Kind| Self { kind: kind.into(), ..Self::default() };
        match reply {
            Reply::Done => of(Kind::Done),
            Reply::Claimed => of(Kind::Claimed),
            Reply::First => of(Kind::First),
            Reply::Again => of(Kind::Again),
            Reply::Already => of(Kind::Already),
            Reply::Held => of(Kind::Held),
            Reply::NotHome => of(Kind::NotHome),
            Reply::Unknown => of(Kind::Unknown),
            Reply::Known(known) => Self {
                outcome: Some(message::Outcome::from(known.outcome).into()),
                instance: known.at.as_ref().map(ToString::to_string),
                ..of(Kind::Known)
            },
            Reply::RunningAt(instance) => Self { instance: Some(instance.to_string()), ..of(Kind::RunningAt) },
            Reply::Bound(pins) => Self { pins: Some(pins.as_slice().into()), ..of(Kind::Bound) },
            Reply::Outcome(outcome) => {
                Self { outcome: outcome.map(|o| message::Outcome::from(o).into()), ..of(Kind::Outcome) }
            }
            Reply::Refused(reason) => Self { refusal: Refusal::from(*reason).into(), ..of(Kind::Refused) },
        }
    }
}

impl TryFrom<Answer> for Reply {
    type Error = Invalid;

    fn try_from(wire: Answer) -> Result<Self, Invalid> {
        let instance = wire.instance.as_deref().map(instance::Id::parse).transpose()?;
        let outcome = wire.outcome.map(|_| request::Outcome::from(wire.outcome()));
        Ok(match wire.kind() {
            Kind::Unknown => Self::Unknown,
            Kind::Done => Self::Done,
            Kind::Claimed => Self::Claimed,
            Kind::First => Self::First,
            Kind::Again => Self::Again,
            Kind::Already => Self::Already,
            Kind::Held => Self::Held,
            Kind::NotHome => Self::NotHome,
            Kind::Known => {
                Self::Known(Known { outcome: outcome.ok_or_else(|| Invalid::missing("outcome"))?, at: instance })
            }
            Kind::RunningAt => Self::RunningAt(instance.ok_or_else(|| Invalid::missing("instance"))?),
            Kind::Bound => Self::Bound(Vec::<Pin>::try_from(wire.pins.unwrap_or_default())?),
            Kind::Outcome => Self::Outcome(outcome),
            Kind::Refused => Self::Refused(wire.refusal().into()),
        })
    }
}

impl From<request::Outcome> for message::Outcome {
    fn from(outcome: request::Outcome) -> Self {
        match outcome {
            request::Outcome::Running => Self::Running,
            request::Outcome::Answered => Self::Answered,
            request::Outcome::NotRun => Self::NotRun,
            request::Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<message::Outcome> for request::Outcome {
    fn from(wire: message::Outcome) -> Self {
        match wire {
            message::Outcome::Running => Self::Running,
            message::Outcome::Answered => Self::Answered,
            message::Outcome::NotRun => Self::NotRun,
            message::Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::PlatformDown => Self::PlatformDown,
            Reason::Full => Self::Full,
            Reason::NoHome => Self::NoHome,
            Reason::KeyTooOld => Self::KeyTooOld,
            Reason::KeyTooNew => Self::KeyTooNew,
            Reason::OtherBody => Self::OtherBody,
            Reason::GrantClosed => Self::GrantClosed,
            Reason::Unproved => Self::Unproved,
        }
    }
}

impl From<Refusal> for Reason {
    fn from(wire: Refusal) -> Self {
        match wire {
            Refusal::PlatformDown => Self::PlatformDown,
            Refusal::Full => Self::Full,
            Refusal::NoHome => Self::NoHome,
            Refusal::KeyTooOld => Self::KeyTooOld,
            Refusal::KeyTooNew => Self::KeyTooNew,
            Refusal::OtherBody => Self::OtherBody,
            Refusal::GrantClosed => Self::GrantClosed,
            Refusal::Unproved => Self::Unproved,
        }
    }
}
