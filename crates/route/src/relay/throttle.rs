//! Limits that endpoints name, kept to by all instances together.
//!
//! The load pattern: an endpoint in need says in its answers how many requests a
//! second it takes from all instances. Each of them kept to it alone would send
//! the limit times their number; each kept to an even part would round up to one
//! request at a time, which in a fleet of hundreds is far more than the endpoint
//! takes. So a few instances, drawn by rendezvous hashing, share the limit
//! evenly, and the others send nothing while it holds.
//!
//! A sender's tokens come evenly, and few are saved up: one where there are as many
//! senders as there may be. Over any window an endpoint then gets its part of the
//! limit, and at most one request more for each sender that there may be.

use std::time::Duration;

use world::hash;

/// Part of a limit that is used. The rest is for the moments in which instances
/// disagree about who is there.
const USED: f64 = 0.9;

/// Most senders to an endpoint, besides one for each request a second that it takes,
/// and so the tokens that all of them may have saved up. More would send more at the
/// same moment than an endpoint with a small limit bears.
const SENDERS: usize = 4;

/// Time without a word from the endpoint after which its limit is believed no more.
const LASTS: Duration = Duration::from_mins(1);

/// A limit that an endpoint names; nothing is one that it names no more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Requests a second, from all instances together.
    pub per_s: Option<f64>,
    /// When the endpoint said so; of an answer without a limit, when its request was
    /// sent, since the answer may be older than a limit that came before it.
    pub at: Duration,
}

/// An instance's part of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    /// Tokens a second; none if it is no sender.
    pub rate: f64,
    /// Tokens that may be saved up.
    pub saved: f64,
}

/// What an instance may send to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    word: Option<Word>,
    share: Share,
    tokens: f64,
    filled: Duration,
}

impl Throttle {
    /// Takes a word in unless a later one is known; whether it changes what holds.
    pub fn hear(&mut self, now: Duration, word: Word) -> bool {
        if self.word.is_some_and(|known| known.at > word.at) {
            return false;
        }
        let before = self.limit(now);
        if before.is_none() {
            self.tokens = 1.0;
            self.filled = now;
        }
        self.word = Some(word);
        before != self.limit(now)
    }

    /// Requests a second that the endpoint takes; nothing if it names no limit, or
    /// has not for long.
    #[must_use]
    pub fn limit(&self, now: Duration) -> Option<f64> {
        self.word.filter(|word| now < word.at + LASTS)?.per_s
    }

    /// The last word of the endpoint, also if it ended a limit or has lapsed.
    #[must_use]
    pub fn word(&self) -> Option<Word> {
        self.word
    }

    /// Sets this instance's part.
    pub fn share(&mut self, now: Duration, share: Share) {
        self.tokens = self.tokens_at(now);
        self.filled = now;
        self.share = share;
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn takes(&self, now: Duration) -> bool {
        self.limit(now).is_none() || (self.share.rate > 0.0 && self.tokens_at(now) >= 1.0)
    }

    /// Counts a request that is sent.
    pub fn spend(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.filled = now;
    }

    /// Time until the endpoint takes a request: of this instance, or of whichever has
    /// a part, if this one has none.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        let Some(per_s) = self.limit(now) else { return Duration::ZERO };
        let Share { rate, .. } = self.share;
        let (missing, rate) = if rate > 0.0 { (1.0 - self.tokens_at(now), rate) } else { (1.0, USED * per_s) };
        Duration::try_from_secs_f64(missing.max(0.0) / rate).map_or(LASTS, |wait| wait.min(LASTS))
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        (self.tokens + passed * self.share.rate).min(self.share.saved.max(1.0))
    }
}

/// One instance's part of the limit of an endpoint. `me` and `others` are hashes of the names of those that serve callers.
#[must_use]
pub fn share(per_s: f64, endpoint: u32, me: u64, others: impl Iterator<Item = u64>) -> Share {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to a small range")]
    let senders = SENDERS + per_s.clamp(0.0, 1e6) as usize;
    let weight = |name: u64| (hash::rendezvous(name, &endpoint.to_le_bytes()), name);
    let mine = weight(me);
    let (mut count, mut before) = (1, 0);
    for other in others {
        count += 1;
        before += usize::from(weight(other) > mine);
    }
    if before >= senders {
        return Share::default();
    }
    #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
    let (most, parts) = (senders as f64, senders.min(count) as f64);
    Share { rate: USED * per_s / parts, saved: most / parts }
}
