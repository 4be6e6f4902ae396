//! Serialized items about endpoints and requests, which are broadcast or part of the news.

use std::time::Duration;

use route::relay::{content::Content, quarantine};
use serde::{Deserialize, Serialize};

use super::{clamp_to_u16, millis_u32};
use crate::dispatcher::fleet;

/// Serialized form of [`fleet::Notice`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(in crate::news) struct Notice {
    /// Hash of the name of the instance that sent the prompt.
    pub(in crate::news) origin: u32,
    /// Hash of the name of the endpoint that got it.
    pub(in crate::news) endpoint: u32,
    /// Expected time to process the prompt, in milliseconds.
    pub(in crate::news) reading_ms: u16,
    /// Key of the prompt's shared prefix, if it is worth caching.
    pub(in crate::news) part: Option<u32>,
}

impl Notice {
    pub(in crate::news) fn new(notice: fleet::Notice, origin: u32) -> Self {
        Self { origin, endpoint: notice.endpoint, reading_ms: clamp_to_u16(notice.reading_ms), part: notice.part }
    }
}

impl From<Notice> for fleet::Notice {
    fn from(notice: Notice) -> Self {
        Self { endpoint: notice.endpoint, reading_ms: f64::from(notice.reading_ms), part: notice.part }
    }
}

/// Serialized form of [`quarantine::Finding`]; `team` and `work` identify the request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::news) enum Finding {
    /// An endpoint crashed while it ran the request; `start` is the hash of the endpoint's
    /// name and start time.
    Crash { team: u32, work: u64, start: u32 },
    /// A run of the request ended well.
    EndedWell { team: u32, work: u64 },
    /// The request is quarantined; `age_ms` is the time since its last crash.
    Held { team: u32, work: u64, age_ms: u32 },
}

/// Serialized form of [`quarantine::Finding::PartCrash`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::news) struct PartCrash {
    /// Hash of the part.
    part: u64,
    /// Hash of the endpoint's name and start time.
    start: u32,
    /// Time since the request was sent.
    sent_age_ms: u32,
}

impl From<PartCrash> for quarantine::Finding {
    fn from(crash: PartCrash) -> Self {
        let sent_age = Duration::from_millis(u64::from(crash.sent_age_ms));
        Self::PartCrash { part: Content::of_part(crash.part), start: crash.start, sent_age }
    }
}

/// Divides findings by the kinds of packets in which they are sent.
pub(in crate::news) fn divide(findings: Vec<quarantine::Finding>) -> (Vec<Finding>, Vec<PartCrash>) {
    let (mut others, mut part_crashes) = (Vec::new(), Vec::new());
    for finding in findings {
        match finding {
            quarantine::Finding::PartCrash { part, start, sent_age } => {
                part_crashes.push(PartCrash { part: part.work, start, sent_age_ms: millis_u32(sent_age) });
            }
            quarantine::Finding::Crash { content: Content { team, work }, start } => {
                others.push(Finding::Crash { team, work, start });
            }
            quarantine::Finding::EndedWell { content: Content { team, work } } => {
                others.push(Finding::EndedWell { team, work });
            }
            quarantine::Finding::Held { content: Content { team, work }, age } => {
                others.push(Finding::Held { team, work, age_ms: millis_u32(age) });
            }
        }
    }
    (others, part_crashes)
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

/// Serialized form of [`fleet::Limit`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::news) struct Limit {
    /// Hash of the endpoint's name and start time.
    start: u32,
    /// Requests per second; `None` if the endpoint no longer names a limit.
    per_s: Option<f64>,
    /// Time since the endpoint reported the limit.
    age_ms: u32,
}

impl From<fleet::Limit> for Limit {
    fn from(limit: fleet::Limit) -> Self {
        Self { start: limit.start, per_s: limit.per_s, age_ms: millis_u32(limit.age) }
    }
}

impl From<&Limit> for fleet::Limit {
    fn from(limit: &Limit) -> Self {
        let per_s = limit.per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        Self { start: limit.start, per_s, age: Duration::from_millis(u64::from(limit.age_ms)) }
    }
}

/// Serialized form of [`fleet::RejectionLimit`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::news) struct RejectionLimit {
    /// Short hash of the service's name.
    service: u32,
    /// Rejections per second; `None` if the endpoints survive any number.
    max_per_s: Option<u32>,
    /// Time since the statement.
    age_ms: u32,
}

impl From<fleet::RejectionLimit> for RejectionLimit {
    fn from(limit: fleet::RejectionLimit) -> Self {
        Self { service: limit.service, max_per_s: limit.max_per_s, age_ms: millis_u32(limit.age) }
    }
}

impl From<&RejectionLimit> for fleet::RejectionLimit {
    fn from(limit: &RejectionLimit) -> Self {
        let age = Duration::from_millis(u64::from(limit.age_ms));
        Self { service: limit.service, max_per_s: limit.max_per_s, age }
    }
}

/// Serialized form of [`fleet::Withdrawal`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::news) enum Withdrawal {
    /// The endpoint leaves. `start` is the hash of its name and start time.
    Leaving { start: u32, age_ms: u32 },
    /// The endpoint has asked an instance, given by the hash of its name, for a pause.
    Paused { start: u32, instance: u64, left_ms: u32 },
}

impl From<fleet::Withdrawal> for Withdrawal {
    fn from(withdrawal: fleet::Withdrawal) -> Self {
        match withdrawal {
            fleet::Withdrawal::Leaving { start, age } => Self::Leaving { start, age_ms: millis_u32(age) },
            fleet::Withdrawal::Paused { start, instance, left } => {
                Self::Paused { start, instance, left_ms: millis_u32(left) }
            }
        }
    }
}

impl From<&Withdrawal> for fleet::Withdrawal {
    fn from(withdrawal: &Withdrawal) -> Self {
        let time = |ms: u32| Duration::from_millis(u64::from(ms));
        match *withdrawal {
            Withdrawal::Leaving { start, age_ms } => Self::Leaving { start, age: time(age_ms) },
            Withdrawal::Paused { start, instance, left_ms } => Self::Paused { start, instance, left: time(left_ms) },
        }
    }
}
