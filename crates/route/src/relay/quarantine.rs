//! Requests under which endpoints crash, kept from the endpoints that are left.
//!
//! The load pattern: an endpoint crashes as soon as it begins to run a certain
//! request, with everything else that it runs. Its caller asks again, at any
//! instance, and each time it is sent to further endpoints, until none is left.
//! An endpoint's end tells of nothing but a suspicion: whatever ran there is a
//! suspect. Who was there by chance ends well elsewhere and is cleared; what was
//! there at the end of several endpoints, one after the other, and never ended well is
//! refused. A popular request is under way at many endpoints at any moment, so several
//! that crash together are one crash to a request that has ended well lately.
//!
//! Instances tell each other what they find, so that a [`Quarantine`] counts
//! the crashes of the whole fleet. It holds a bounded number of records, and each
//! lapses.

use std::{collections::HashMap, time::Duration};

use super::content::Content;

/// Endpoints that crash under a request before it is refused.
pub const CRASHES: usize = 3;

/// Time from the last crash in which a request is refused. The endpoints may have
/// been mended meanwhile.
pub const LASTS: Duration = Duration::from_mins(10);

/// Time in which a request that is not refused any more is refused anew by a single
/// further crash.
const PROBATION: Duration = LASTS;

/// Time in which crashes count as one to a request that has ended well lately.
const TOGETHER: Duration = Duration::from_secs(1);

/// Records kept: of requests that have ended well lately, and of suspects, of which a
/// mass crash brings as many as runs were under way.
const MOST: usize = 2_048;

/// What an instance finds of a request, and tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The start of an endpoint, by its hash, ended under it.
    Crash {
        /// The request.
        content: Content,
        /// Hash of the endpoint's name and start.
        start: u32,
    },
    /// It ended well.
    EndedWell {
        /// The request.
        content: Content,
    },
    /// It is refused.
    Held {
        /// The request.
        content: Content,
        /// Time since its last crash.
        age: Duration,
    },
}

impl Finding {
    /// The request that it is about.
    #[must_use]
    pub fn content(&self) -> Content {
        match self {
            Self::Crash { content, .. } | Self::EndedWell { content } | Self::Held { content, .. } => *content,
        }
    }
}

/// What a finding changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing that was not known.
    None,
    /// A further crash was counted.
    Counted,
    /// The request is refused from now on.
    Held,
    /// It was a suspect, and is none any more.
    Cleared,
    /// It was refused, or on probation after that, and is neither any more.
    Released,
    /// Whoever says that it is refused has not heard that it ended well since.
    Disproved,
}

/// Suspects, and the requests that are refused.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<Content, Record>,
}

#[derive(Debug, Clone)]
struct Record {
    /// Different starts that crashed under it, at most [`CRASHES`].
    starts: Vec<u32>,
    /// Whether it is refused, or on probation after that.
    held: bool,
    /// When the last of them crashed, or when it ended well.
    last: Duration,
    /// When it last ended well.
    good: Option<Duration>,
}

impl Quarantine {
    /// Takes a finding in.
    pub fn take(&mut self, now: Duration, finding: Finding) -> Effect {
        match finding {
            Finding::Crash { content, start } => self.count(now, content, start),
            Finding::EndedWell { content } => self.clear(now, content),
            Finding::Held { content, age } => self.hold(now, content, age),
        }
    }

    /// How much longer a request is refused; nothing if it is not.
    #[must_use]
    pub fn refuses(&self, now: Duration, content: Content) -> Option<Duration> {
        self.records.get(&content)?.refused(now)
    }

    /// Whether an endpoint has crashed under a request and it has not ended well since.
    #[must_use]
    pub fn suspects(&self, now: Duration, content: Content) -> bool {
        self.suspect(now, content).is_some()
    }

    /// Whether a crash under a run that was sent at a time tells more than what is known:
    /// a run that was under way at the last crash may have met the same cause.
    #[must_use]
    pub fn is_further(&self, now: Duration, content: Content, sent: Duration) -> bool {
        self.suspect(now, content).is_none_or(|record| sent > record.last)
    }

    /// Requests that are refused, those that crashed an endpoint last first.
    #[must_use]
    pub fn held(&self, now: Duration, most: usize) -> Vec<Finding> {
        let mut held: Vec<_> = self.records.iter().filter(|(_, record)| record.refused(now).is_some()).collect();
        held.sort_by_key(|(_, record)| std::cmp::Reverse(record.last));
        let finding =
            |(content, record): (&Content, &Record)| Finding::Held { content: *content, age: record.age(now) };
        held.into_iter().take(most).map(finding).collect()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a request with a crash that was not cleared and has not lapsed.
    fn suspect(&self, now: Duration, content: Content) -> Option<&Record> {
        self.records.get(&content).filter(|record| !record.starts.is_empty() && !record.lapsed(now))
    }

    fn count(&mut self, now: Duration, content: Content, start: u32) -> Effect {
        let was_held = self.refuses(now, content).is_some();
        let record = self.record(now, content);
        if record.starts.contains(&start) || record.is_same_crash(now) {
            return Effect::None;
        }
        if record.starts.len() < CRASHES {
            record.starts.push(start);
        }
        record.last = now;
        record.held |= record.starts.len() == CRASHES;
        if record.held && !was_held { Effect::Held } else { Effect::Counted }
    }

    /// One that was refused and ended well after all was under way when it came to that.
    fn clear(&mut self, now: Duration, content: Content) -> Effect {
        let record = self.record(now, content);
        let (was_suspect, was_held) = (!record.starts.is_empty(), record.held);
        *record = Record { good: Some(now), ..Record::new(now) };
        match (was_held, was_suspect) {
            (true, _) => Effect::Released,
            (false, true) => Effect::Cleared,
            (false, false) => Effect::None,
        }
    }

    fn hold(&mut self, now: Duration, content: Content, age: Duration) -> Effect {
        let last = now.saturating_sub(age);
        let known = self.records.get(&content);
        if known.and_then(|record| record.good).is_some_and(|good| good > last) {
            return Effect::Disproved;
        }
        // Each word is older than it says by its way here: taken for a later crash, words
        // that go round would prolong a refusal for good.
        if age >= LASTS || known.is_some_and(|record| record.refused(now).is_some()) {
            return Effect::None;
        }
        let crashed = known.filter(|record| record.held || !record.starts.is_empty()).map(|record| record.last);
        let record = self.record(now, content);
        record.held = true;
        record.last = crashed.map_or(last, |crashed| crashed.max(last));
        Effect::Held
    }

    /// The record of a request; room is made for a new one.
    fn record(&mut self, now: Duration, content: Content) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= MOST {
            self.make_room(now);
        }
        let record = self.records.entry(content).or_insert_with(|| Record::new(now));
        if record.lapsed(now) {
            *record = Record::new(now);
        }
        record
    }

    /// Forgets what has lapsed, or else the oldest: what ended well before suspects, and
    /// these before what is refused.
    fn make_room(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.lapsed(now));
        if self.records.len() < MOST {
            return;
        }
        let rank =
            |(content, record): (&Content, &Record)| (record.held, !record.starts.is_empty(), record.last, *content);
        let mut ranked: Vec<_> = self.records.iter().map(rank).collect();
        ranked.sort_unstable();
        for (.., content) in &ranked[..MOST / 8] {
            self.records.remove(content);
        }
    }
}

impl Record {
    fn new(now: Duration) -> Self {
        Self { starts: Vec::new(), held: false, last: now, good: None }
    }

    /// How much longer it is refused; nothing if it is not.
    fn refused(&self, now: Duration) -> Option<Duration> {
        let left = (self.last + LASTS).saturating_sub(now);
        (self.held && !left.is_zero()).then_some(left)
    }

    /// Whether a crash of now is a part of the last one that was counted.
    fn is_same_crash(&self, now: Duration) -> bool {
        self.good.is_some() && !self.starts.is_empty() && now < self.last + TOGETHER
    }

    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last)
    }

    fn lapsed(&self, now: Duration) -> bool {
        self.age(now) >= if self.held { LASTS + PROBATION } else { LASTS }
    }
}
