//! Messages between the control tasks of instances: sums of evidence, and
//! stops.
//!
//! Field numbers are never reused. A build skips fields that it does not know
//! and reads missing fields as their defaults.

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message as _;
use route::{
    guard::{Count, Evidence, Tally, Window},
    rollout,
};
use world::{instance, model::Version};

use crate::ledger::{Source, Step, Sums};

/// Update that one instance sends to all others.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Update {
    pub source: Source,
    pub sums: BTreeMap<Step, Sums>,
    pub stops: Vec<rollout::Stop>,
}

/// Error for a message that cannot be decoded; it is ignored.
#[derive(Debug)]
pub(crate) struct Malformed;

impl Update {
    /// Encodes the update for sending.
    pub fn encode(&self) -> Bytes {
        let (instance, incarnation) = &self.source;
        let message = UpdateMessage {
            instance: instance.to_string(),
            incarnation: incarnation.0,
            sums: self.sums.iter().map(|(step, sums)| SumsMessage::from((step, sums))).collect(),
            stops: self.stops.iter().map(StopMessage::from).collect(),
        };
        message.encode_to_vec().into()
    }

    /// Decodes a received update.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let message = UpdateMessage::decode(bytes).map_err(|_| Malformed)?;
        let instance = instance::Id::parse(&message.instance).map_err(|_| Malformed)?;
        let sums = message.sums.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?;
        let stops = message.stops.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?;
        Ok(Self { source: (instance, instance::Incarnation(message.incarnation)), sums, stops })
    }
}

#[derive(prost::Message)]
struct UpdateMessage {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(message, repeated, tag = "3")]
    sums: Vec<SumsMessage>,
    #[prost(message, repeated, tag = "4")]
    stops: Vec<StopMessage>,
}

#[derive(prost::Message)]
struct SumsMessage {
    #[prost(string, tag = "1")]
    rollout: String,
    #[prost(string, tag = "2")]
    version: String,
    #[prost(uint64, tag = "3")]
    step: u64,
    #[prost(message, optional, tag = "4")]
    total: Option<EvidenceMessage>,
    #[prost(uint32, tag = "5")]
    window: u32,
    #[prost(message, optional, tag = "6")]
    latest: Option<EvidenceMessage>,
}

#[derive(prost::Message)]
struct EvidenceMessage {
    #[prost(message, optional, tag = "1")]
    new: Option<TallyMessage>,
    #[prost(message, optional, tag = "2")]
    control: Option<TallyMessage>,
}

#[derive(prost::Message)]
struct TallyMessage {
    #[prost(uint64, tag = "1")]
    requests: u64,
    #[prost(uint64, tag = "2")]
    failed: u64,
    #[prost(uint64, tag = "3")]
    rated: u64,
    #[prost(uint64, tag = "4")]
    failed_rating: u64,
    #[prost(uint64, tag = "5")]
    timed: u64,
    #[prost(uint64, tag = "6")]
    slow: u64,
}

#[derive(prost::Message)]
struct StopMessage {
    #[prost(string, tag = "1")]
    version: String,
    #[prost(string, tag = "2")]
    rollout: String,
    #[prost(string, tag = "3")]
    reason: String,
}

impl From<(&Step, &Sums)> for SumsMessage {
    fn from((step, sums): (&Step, &Sums)) -> Self {
        Self {
            rollout: step.rollout.to_string(),
            version: step.version.to_string(),
            step: step.number as u64,
            total: Some(EvidenceMessage::from(&sums.step)),
            window: sums.window.number,
            // The first window equals the step so far, so it is sent only once.
            latest: (sums.window.number > 0).then(|| EvidenceMessage::from(&sums.window.evidence)),
        }
    }
}

impl TryFrom<SumsMessage> for (Step, Sums) {
    type Error = Malformed;

    fn try_from(message: SumsMessage) -> Result<Self, Malformed> {
        let step = Step {
            rollout: world::rollout::Id::parse(&message.rollout).map_err(|_| Malformed)?,
            version: Version::parse(&message.version).map_err(|_| Malformed)?,
            number: usize::try_from(message.step).map_err(|_| Malformed)?,
        };
        let total: Evidence = message.total.unwrap_or_default().into();
        let evidence = if message.window == 0 { total } else { message.latest.unwrap_or_default().into() };
        let window = Window { number: message.window, evidence };
        Ok((step, Sums { step: total, window }))
    }
}

impl From<&Evidence> for EvidenceMessage {
    fn from(evidence: &Evidence) -> Self {
        Self { new: Some((&evidence.new).into()), control: Some((&evidence.control).into()) }
    }
}

impl From<EvidenceMessage> for Evidence {
    fn from(message: EvidenceMessage) -> Self {
        Self { new: message.new.unwrap_or_default().into(), control: message.control.unwrap_or_default().into() }
    }
}

impl From<&Tally> for TallyMessage {
    fn from(tally: &Tally) -> Self {
        Self {
            requests: tally.errors.n,
            failed: tally.errors.bad,
            rated: tally.ratings.n,
            failed_rating: tally.ratings.bad,
            timed: tally.latency.n,
            slow: tally.latency.bad,
        }
    }
}

impl From<TallyMessage> for Tally {
    fn from(message: TallyMessage) -> Self {
        Self {
            errors: Count { n: message.requests, bad: message.failed },
            ratings: Count { n: message.rated, bad: message.failed_rating },
            latency: Count { n: message.timed, bad: message.slow },
        }
    }
}

impl From<&rollout::Stop> for StopMessage {
    fn from(stop: &rollout::Stop) -> Self {
        Self { version: stop.version.to_string(), rollout: stop.rollout.to_string(), reason: stop.reason.clone() }
    }
}

impl TryFrom<StopMessage> for rollout::Stop {
    type Error = Malformed;

    fn try_from(message: StopMessage) -> Result<Self, Malformed> {
        Ok(Self {
            version: Version::parse(&message.version).map_err(|_| Malformed)?,
            rollout: world::rollout::Id::parse(&message.rollout).map_err(|_| Malformed)?,
            reason: message.reason,
        })
    }
}
