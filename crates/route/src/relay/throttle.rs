//! Rate limits that endpoints announce, kept by all instances together.
//!
//! An overloaded endpoint announces in its answers how many requests per second it accepts
//! from all instances. If each instance applied the limit alone, they would send the limit
//! times their number. If each applied an equal part, parts would round up to one request
//! at a time, which in a fleet of hundreds is far more than the endpoint accepts. So a few
//! instances, selected by rendezvous hashing, share the limit evenly, and the others send
//! nothing while it is in force.
//!
//! A sender's tokens accrue at a constant rate and only a few can be saved: one if there
//! are as many senders as allowed. Over any window an endpoint thus gets at most its limit
//! plus one request for each sender that is allowed.

use std::{cmp::Reverse, time::Duration};

use world::hash;

/// Part of a limit that is used. The rest covers periods in which instances disagree about
/// the membership.
const USABLE_FRACTION: f64 = 0.9;

/// Number of senders allowed to an endpoint in addition to one for each request per second
/// that it accepts. All senders together can save as many tokens as senders are allowed.
/// More senders would send more requests at once than an endpoint with a small limit can
/// take.
const MIN_SENDERS: usize = 4;

/// Requests per second by which a sender's rate to a warming endpoint is below the number that
/// it may send in any second, so that rounding never adds one.
const WARMUP_RATE_MARGIN: f64 = 0.05;

/// Time after the endpoint's last announcement at which its limit expires.
const LIMIT_LIFETIME: Duration = Duration::from_mins(1);

/// A limit that an endpoint announced, or its announcement that there is none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Announcement {
    /// Requests per second from all instances together; `None` if the endpoint has no
    /// limit.
    pub per_s: Option<f64>,
    /// Time of the announcement. For an answer without a limit this is the time at which
    /// its request was sent, since the answer may be older than a limit that arrived before
    /// it.
    pub at: Duration,
}

/// An instance's part of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    /// Tokens per second; 0 if the instance is not a sender.
    pub rate: f64,
    /// Maximum number of saved tokens.
    pub max_tokens: f64,
}

/// Token bucket for the requests that this instance may send to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    announcement: Option<Announcement>,
    share: Share,
    tokens: f64,
    /// Time for which `tokens` was last computed.
    filled: Duration,
}

impl Throttle {
    /// Records an announcement unless a later one is known. Returns whether the limit in
    /// force changes.
    pub fn record(&mut self, now: Duration, announcement: Announcement) -> bool {
        if self.announcement.is_some_and(|known| known.at > announcement.at) {
            return false;
        }
        let limit_before = self.limit(now);
        if limit_before.is_none() {
            self.tokens = 1.0;
            self.filled = now;
        }
        self.announcement = Some(announcement);
        limit_before != self.limit(now)
    }

    /// Returns the limit in requests per second, or `None` if there is none or it has
    /// expired.
    #[must_use]
    pub fn limit(&self, now: Duration) -> Option<f64> {
        self.announcement.filter(|announcement| now < announcement.at + LIMIT_LIFETIME)?.per_s
    }

    /// Returns the endpoint's last announcement, even if it ended a limit or has expired.
    #[must_use]
    pub fn last_announcement(&self) -> Option<Announcement> {
        self.announcement
    }

    /// Sets this instance's part of the limit.
    pub fn set_share(&mut self, now: Duration, share: Share) {
        self.tokens = self.tokens_at(now);
        self.filled = now;
        self.share = share;
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn may_send(&self, now: Duration) -> bool {
        self.limit(now).is_none() || (self.share.rate > 0.0 && self.tokens_at(now) >= 1.0)
    }

    /// Takes a token for a request that is sent.
    pub fn take_token(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.filled = now;
    }

    /// Returns the time until the endpoint accepts a request from this instance, or from
    /// any sender if this instance is not one.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        let Some(per_s) = self.limit(now) else { return Duration::ZERO };
        let Share { rate, .. } = self.share;
        let (missing, rate) =
            if rate > 0.0 { (1.0 - self.tokens_at(now), rate) } else { (1.0, USABLE_FRACTION * per_s) };
        Duration::try_from_secs_f64(missing.max(0.0) / rate).map_or(LIMIT_LIFETIME, |wait| wait.min(LIMIT_LIFETIME))
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        (self.tokens + passed * self.share.rate).min(self.share.max_tokens.max(1.0))
    }
}

/// Computes one instance's part of the rate that a warming endpoint tolerates. `me` and
/// `others` are the hashes of the names of the instances that may send it requests.
///
/// All of them together send it at most `max_per_s` requests in any second, or one if that is
/// less.
#[must_use]
pub fn warmup_share(max_per_s: f64, endpoint: u32, me: u64, others: impl Iterator<Item = u64>) -> Share {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to a small range")]
    let senders = max_per_s.clamp(1.0, 1e6) as usize;
    let Some(active_senders) = active_senders(senders, endpoint, me, others) else { return Share::default() };
    // A whole number each: with one saved token and less than that accruing in a second, an
    // instance never sends more.
    let max_each = (max_per_s / active_senders).floor().max(1.0);
    Share { rate: max_each - WARMUP_RATE_MARGIN, max_tokens: 1.0 }
}

/// Computes one instance's part of an endpoint's limit. `me` and `others` are the hashes of
/// the names of the instances that serve callers.
#[must_use]
pub fn share(per_s: f64, endpoint: u32, me: u64, others: impl Iterator<Item = u64>) -> Share {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to a small range")]
    let senders = MIN_SENDERS + per_s.clamp(0.0, 1e6) as usize;
    let Some(active_senders) = active_senders(senders, endpoint, me, others) else { return Share::default() };
    #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
    let max_senders = senders as f64;
    Share { rate: USABLE_FRACTION * per_s / active_senders, max_tokens: max_senders / active_senders }
}

/// An instance among those that are selected to send requests to an endpoint.
pub(super) struct Sender {
    /// Number of selected instances that come before it.
    pub rank: usize,
    /// Number of selected instances.
    pub count: usize,
}

/// Selects at most `senders` instances by rendezvous hashing, and returns this instance's place
/// among them if it is one.
pub(super) fn sender(senders: usize, endpoint: u32, me: u64, others: impl Iterator<Item = u64>) -> Option<Sender> {
    let own_weight = weight(me, endpoint);
    let (mut count, mut rank) = (1, 0);
    for other in others {
        count += 1;
        rank += usize::from(weight(other, endpoint) > own_weight);
    }
    (rank < senders).then_some(Sender { rank, count: senders.min(count) })
}

/// Selects at most `senders` instances as [`sender`] does, and returns their number if this
/// instance is one of them.
fn active_senders(senders: usize, endpoint: u32, me: u64, others: impl Iterator<Item = u64>) -> Option<f64> {
    #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
    sender(senders, endpoint, me, others).map(|sender| sender.count as f64)
}

/// Returns the names of the at most `senders` instances that [`sender`] selects.
pub(super) fn sender_names(senders: usize, endpoint: u32, names: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut ranked: Vec<u64> = names.collect();
    ranked.sort_unstable_by_key(|name| Reverse(weight(*name, endpoint)));
    ranked.truncate(senders);
    ranked
}

/// Returns the rendezvous weight of an instance's name for an endpoint. The name breaks ties.
fn weight(name: u64, endpoint: u32) -> (u64, u64) {
    (hash::rendezvous(name, &endpoint.to_le_bytes()), name)
}
