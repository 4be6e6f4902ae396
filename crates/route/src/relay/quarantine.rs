//! Refuses requests that crash the endpoints that run them.
//!
//! Such a request crashes an endpoint as soon as it starts, together with all other runs
//! there. Its caller retries at any instance, and each retry crashes further endpoints
//! until none is left. The crash of an endpoint is only a suspicion against every request
//! that ran there. A request that was there by chance completes elsewhere and is cleared. A
//! request that was running at several successive crashes and never completed is refused. A
//! popular request runs at many endpoints at any moment, so if it has completed recently,
//! several simultaneous crashes count as one.
//!
//! One part of a prompt may have the same effect, whatever else the request holds. Each new
//! request with it would crash further endpoints before it is refused itself, so parts are
//! suspects of their own. Requests with sound parts run beside such requests and crash with
//! them, but also complete, which clears their parts. More crashes are needed than for a
//! request, and of several requests: a wrongly refused part hits many callers. Parts that only
//! ever crashed together are told apart by their order: one that comes later in the prompt is
//! shared by fewer requests and is refused first, and the others only if endpoints go on
//! crashing.
//!
//! Instances share their findings, so that a [`Quarantine`] counts the crashes of the whole
//! fleet. The number of records is bounded, and each record expires.

use std::{collections::HashMap, time::Duration};

use super::content::Content;

/// Number of crashes of different endpoint processes while they run a request, after which
/// it is refused.
pub const CRASH_LIMIT: usize = 3;

/// Number of crashes of different endpoint processes while they run requests with a part,
/// after which requests with it are refused.
pub const PART_CRASH_LIMIT: usize = 5;

/// Number of crashes that one request adds to those of its parts, at most. Several different
/// requests must have crashed endpoints before a part is refused.
pub const MAX_PART_CRASHES_PER_REQUEST: usize = 2;

/// Time for which a completion shows that a part does not crash endpoints now. A part that was
/// in use may begin to.
const PART_COMPLETION_LIFETIME: Duration = Duration::from_secs(2);

/// Difference between the times that two reports take to arrive, at most. A report seems to be
/// about a run that was sent before an earlier crash if that one's report came faster.
const MAX_REPORT_JITTER: Duration = Duration::from_millis(50);

/// Time for which a request is refused after its last crash. The endpoints may have been
/// fixed by then.
pub const REFUSAL_PERIOD: Duration = Duration::from_mins(10);

/// Time after a refusal during which a single further crash renews it.
const PROBATION: Duration = REFUSAL_PERIOD;

/// Time within which crashes count as one for a request that has completed recently.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of records: requests that have completed recently, and suspects. A mass
/// crash makes every active run a suspect.
const MAX_RECORDS: usize = 2_048;

/// Observation about a request that an instance makes and shares with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// An endpoint crashed while it ran the request.
    Crash {
        /// Request that was running.
        content: Content,
        /// Hash of the endpoint's name and its process start.
        start: u32,
    },
    /// An endpoint crashed while it answered on a part of a prompt.
    PartCrash {
        /// Part of the prompt.
        part: Content,
        /// Hash of the endpoint's name and its process start.
        start: u32,
        /// Time since the request was sent.
        sent_age: Duration,
    },
    /// The request completed, or an endpoint went on answering on the part.
    EndedWell {
        /// Request that completed.
        content: Content,
    },
    /// The request is refused.
    Held {
        /// Request that is refused.
        content: Content,
        /// Time since its last crash.
        age: Duration,
    },
}

impl Finding {
    /// Returns the request that the finding is about.
    #[must_use]
    pub fn content(&self) -> Content {
        match self {
            Self::Crash { content, .. } | Self::EndedWell { content } | Self::Held { content, .. } => *content,
            Self::PartCrash { part, .. } => *part,
        }
    }
}

/// Effect of a finding on the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// No new information.
    None,
    /// A further crash was counted.
    Counted,
    /// The request is refused from now on.
    Held,
    /// The request was a suspect and no longer is one.
    Cleared,
    /// The request was refused or on probation and no longer is.
    Released,
    /// The finding says that the request is refused, but it has completed since. The sender
    /// does not know that yet.
    Disproved,
}

/// Requests that are suspects or refused.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<Content, Record>,
}

/// State of one request or part.
#[derive(Debug, Clone)]
struct Record {
    /// Last distinct endpoint processes that crashed while they ran it, at most [`crash_limit`].
    starts: Vec<u32>,
    /// Whether it is refused, or on probation after a refusal.
    held: bool,
    /// Time of the last counted crash, or of the completion that reset the record.
    last: Duration,
    /// Time when it last completed.
    completed_at: Option<Duration>,
}

impl Quarantine {
    /// Applies a finding and returns its effect.
    pub fn apply(&mut self, now: Duration, finding: Finding) -> Effect {
        match finding {
            Finding::Crash { content, start } => self.count_crash(now, content, start),
            Finding::PartCrash { part, start, sent_age } => self.count_part_crash(now, part, start, sent_age),
            Finding::EndedWell { content } => self.clear(now, content),
            Finding::Held { content, age } => self.hold(now, content, age),
        }
    }

    /// Returns how much longer a request is refused, or `None` if it is not.
    #[must_use]
    pub fn refusal_left(&self, now: Duration, content: Content) -> Option<Duration> {
        self.records.get(&content)?.refusal_left(now)
    }

    /// Returns whether an endpoint crashed while it ran the request and the request has not
    /// completed since.
    #[must_use]
    pub fn is_suspect(&self, now: Duration, content: Content) -> bool {
        self.suspect(now, content).is_some()
    }

    /// Returns the number of crashes counted for a request that has not completed since.
    #[must_use]
    pub fn crash_count(&self, now: Duration, content: Content) -> usize {
        self.suspect(now, content).map_or(0, |record| record.starts.len())
    }

    /// Returns whether a crash that ended a run sent at `sent` is new evidence. A run that
    /// was already active at the last counted crash may have been hit by the same cause.
    #[must_use]
    pub fn is_new_evidence(&self, now: Duration, content: Content, sent: Duration) -> bool {
        self.suspect(now, content).is_none_or(|record| sent > record.last)
    }

    /// Returns the parts under which endpoints have crashed and which are not refused.
    #[must_use]
    pub fn suspected_parts(&self, now: Duration) -> Vec<Content> {
        let is_suspect = |(content, record): &(&Content, &Record)| {
            content.is_part() && !record.starts.is_empty() && record.refusal_left(now).is_none()
        };
        self.records.iter().filter(is_suspect).map(|(content, _)| *content).collect()
    }

    /// Returns whether anything is refused.
    #[must_use]
    pub fn has_refusals(&self, now: Duration) -> bool {
        self.records.values().any(|record| record.refusal_left(now).is_some())
    }

    /// Returns at most `limit` refused requests and parts: parts first, since each concerns many
    /// requests, and then the ones with the latest crash.
    #[must_use]
    pub fn refused(&self, now: Duration, limit: usize) -> Vec<Finding> {
        let mut held: Vec<_> = self.records.iter().filter(|(_, record)| record.refusal_left(now).is_some()).collect();
        held.sort_by_key(|(content, record)| std::cmp::Reverse((content.is_part(), record.last)));
        let finding =
            |(content, record): (&Content, &Record)| Finding::Held { content: *content, age: record.age(now) };
        held.into_iter().take(limit).map(finding).collect()
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of a request with a crash that was not cleared and has not
    /// expired.
    fn suspect(&self, now: Duration, content: Content) -> Option<&Record> {
        self.records.get(&content).filter(|record| !record.starts.is_empty() && !record.is_expired(now))
    }

    /// Counts a crash of an endpoint that ran the request.
    fn count_crash(&mut self, now: Duration, content: Content, start: u32) -> Effect {
        let was_held = self.refusal_left(now, content).is_some();
        let record = self.record(now, content);
        if record.starts.contains(&start) || record.is_same_crash(now, content) {
            return Effect::None;
        }
        let limit = crash_limit(content);
        if record.starts.len() == limit {
            record.starts.remove(0);
        }
        record.starts.push(start);
        record.last = now;
        record.held |= record.starts.len() == limit;
        if record.held && !was_held { Effect::Held } else { Effect::Counted }
    }

    /// Counts a crash of an endpoint that answered on the part, unless it may be one with the last
    /// counted crash or is explained by another part. Many instances report endpoints that crash
    /// together, each before it has heard of the others' reports.
    fn count_part_crash(&mut self, now: Duration, part: Content, start: u32, sent_age: Duration) -> Effect {
        let sent = now.saturating_sub(sent_age) + MAX_REPORT_JITTER;
        if !self.is_new_evidence(now, part, sent) {
            return Effect::None;
        }
        let record = self.record(now, part);
        if record.starts.len() + 1 == PART_CRASH_LIMIT && self.is_explained(now, part, start) {
            return Effect::None;
        }
        self.count_crash(now, part, start)
    }

    /// Returns whether another part is refused that was answered on at the endpoint process.
    fn is_explained(&self, now: Duration, part: Content, start: u32) -> bool {
        let explains = |(other, record): (&Content, &Record)| {
            other.is_part() && *other != part && record.refusal_left(now).is_some() && record.starts.contains(&start)
        };
        self.records.iter().any(explains)
    }

    /// Resets the record of a request that completed. A refused request can still complete
    /// if it was already running when it was refused.
    fn clear(&mut self, now: Duration, content: Content) -> Effect {
        let record = self.record(now, content);
        let (was_suspect, was_held) = (!record.starts.is_empty(), record.held);
        *record = Record { completed_at: Some(now), ..Record::new(now) };
        match (was_held, was_suspect) {
            (true, _) => Effect::Released,
            (false, true) => Effect::Cleared,
            (false, false) => Effect::None,
        }
    }

    /// Applies another instance's report that the request is refused.
    fn hold(&mut self, now: Duration, content: Content, age: Duration) -> Effect {
        let last = now.saturating_sub(age);
        let known = self.records.get(&content);
        if known.and_then(|record| record.completed_at).is_some_and(|completed_at| completed_at > last) {
            return Effect::Disproved;
        }
        // By the time a message arrives, the crash is older than the message says by the
        // transit time. If that were taken for a later crash, messages circulating between
        // instances would extend a refusal forever.
        if age >= REFUSAL_PERIOD || known.is_some_and(|record| record.refusal_left(now).is_some()) {
            return Effect::None;
        }
        let crashed = known.filter(|record| record.held || !record.starts.is_empty()).map(|record| record.last);
        let record = self.record(now, content);
        record.held = true;
        record.last = crashed.map_or(last, |crashed| crashed.max(last));
        Effect::Held
    }

    /// Returns the record of a request and makes room if it is a new one.
    fn record(&mut self, now: Duration, content: Content) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= MAX_RECORDS {
            self.make_room(now);
        }
        let record = self.records.entry(content).or_insert_with(|| Record::new(now));
        if record.is_expired(now) {
            *record = Record::new(now);
        }
        record
    }

    /// Removes expired records. If that does not suffice, removes the oldest ones:
    /// completed requests first, then suspects, then refused requests.
    fn make_room(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.is_expired(now));
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let rank =
            |(content, record): (&Content, &Record)| (record.held, !record.starts.is_empty(), record.last, *content);
        let mut ranked: Vec<_> = self.records.iter().map(rank).collect();
        ranked.sort_unstable();
        for (.., content) in &ranked[..MAX_RECORDS / 8] {
            self.records.remove(content);
        }
    }
}

/// Returns the number of crashes after which a request, or requests with a part, are refused.
fn crash_limit(content: Content) -> usize {
    if content.is_part() { PART_CRASH_LIMIT } else { CRASH_LIMIT }
}

impl Record {
    fn new(now: Duration) -> Self {
        Self { starts: Vec::new(), held: false, last: now, completed_at: None }
    }

    /// Returns how much longer the request is refused, or `None` if it is not.
    fn refusal_left(&self, now: Duration) -> Option<Duration> {
        let left = (self.last + REFUSAL_PERIOD).saturating_sub(now);
        (self.held && !left.is_zero()).then_some(left)
    }

    /// Returns whether a crash at `now` belongs to the last one that was counted.
    fn is_same_crash(&self, now: Duration, content: Content) -> bool {
        let has_completed = self
            .completed_at
            .is_some_and(|completed_at| !content.is_part() || now < completed_at + PART_COMPLETION_LIFETIME);
        has_completed && !self.starts.is_empty() && now < self.last + SAME_CRASH_WINDOW
    }

    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last)
    }

    fn is_expired(&self, now: Duration) -> bool {
        self.age(now) >= if self.held { REFUSAL_PERIOD + PROBATION } else { REFUSAL_PERIOD }
    }
}
