//! Protects endpoints that crash if they have to reject too many requests within a second.
//!
//! Such an endpoint states in its answers how many rejections it survives, from all instances
//! together. A few instances, selected by rendezvous hashing, share that number, and the others
//! send it nothing while the statement is in force. In a large fleet most instances thus get no
//! answer from most endpoints, and an endpoint that has just started has answered nobody. What
//! other endpoints of its service state, to any instance, applies to it meanwhile.
//!
//! Each of these instances has a part of the endpoint's slots and sends no more than it has
//! slots, so that a full endpoint rejects nothing. Parts are not made too small: a small one is
//! often full while others are idle. A request may be rejected nevertheless, as when runs of
//! other instances are still there. So an instance also counts each request as a possible
//! rejection until its first byte arrives or a full endpoint has rejected it for certain, and
//! sends no more than could all be rejected. After a rejection it waits longer, until one that
//! is read late on a busy processor would be too old to matter.

use std::{collections::VecDeque, time::Duration};

use super::throttle::{Sender, sender, sender_names};

/// Window in which an endpoint counts rejections.
const WINDOW: Duration = Duration::from_secs(1);

/// Time after which a request has been accepted that was not rejected. A full endpoint rejects
/// within a round trip. Rejections that are read later are at most as many as the slots, since
/// the requests count as runs until then.
const ACCEPTANCE_TIME: Duration = Duration::from_millis(50);

/// Time after which a request matters no longer, whether it was rejected or not: the rejection
/// has left the window even if the request took long to arrive.
const MAX_PENDING_TIME: Duration = Duration::from_millis(1_300);

/// Time after a rejection for which [`MAX_PENDING_TIME`] applies: others' runs or a change of the
/// endpoint's size take up this instance's part of the slots.
const FULL_MEMORY: Duration = Duration::from_secs(3);

/// Minimum number of slots in an instance's part, if the endpoint has so many.
const MIN_PART_SLOTS: u32 = 4;

/// Part of the rejections that is used. The rest covers periods in which instances disagree
/// about the membership.
const USABLE_FRACTION: f64 = 0.9;

/// Time after which a statement expires that no answer has repeated.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(10);

/// What an endpoint's answer says about rejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Rejections per second that the endpoint survives; `None` if any number.
    pub max_per_s: Option<u32>,
    /// When the answer was received, or when its request was sent if it states no limit: it
    /// may be older than a limit that arrived before it.
    pub at: Duration,
}

/// An endpoint that survives few rejections.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    /// Hash that identifies its start.
    pub hash: u32,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Rejections per second that it survives.
    pub max_per_s: u32,
}

/// One instance's part of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Rejections per second that the instance may cause; 0 if it may not send requests.
    pub rejections: usize,
    /// Number of the instance's runs for which there is a slot.
    pub slots: u32,
}

impl Endpoint {
    /// Returns the number of rejections per second that all instances together may cause.
    fn usable_rejections(self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a fraction of a u32")]
        let usable = (USABLE_FRACTION * f64::from(self.max_per_s)) as u32;
        usable.max(1)
    }

    /// Returns the number of instances that may send it requests, if there are so many.
    fn max_senders(self) -> usize {
        let by_slots = (self.slots / MIN_PART_SLOTS).max(1);
        self.usable_rejections().min(by_slots) as usize
    }

    /// Returns the instances that may send it requests, of those given by the hashes of their
    /// names.
    #[must_use]
    pub fn senders(self, instances: impl Iterator<Item = u64>) -> Vec<u64> {
        sender_names(self.max_senders(), self.hash, instances)
    }

    /// Computes one instance's part. `me` and `others` are the hashes of the names of the
    /// instances that serve callers.
    ///
    /// All of them together cause at most `max_per_s` rejections, or one if that is less.
    #[must_use]
    pub fn share(self, me: u64, others: impl Iterator<Item = u64>) -> Share {
        let Some(Sender { rank, count }) = sender(self.max_senders(), self.hash, me, others) else {
            return Share::default();
        };
        let (rank, count) = (u32::try_from(rank).unwrap_or(u32::MAX), u32::try_from(count).unwrap_or(u32::MAX));
        // The first ones get what cannot be divided.
        let slots = self.slots / count + u32::from(rank < self.slots % count);
        Share { rejections: (self.usable_rejections() / count) as usize, slots: slots.max(1) }
    }
}

impl Statement {
    /// Returns whether the statement has not expired.
    #[must_use]
    pub fn is_in_force(&self, now: Duration) -> bool {
        now < self.at + STATEMENT_LIFETIME
    }
}

/// Limits the requests that this instance sends to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Guard {
    /// The endpoint's own last statement to this instance.
    own: Option<Statement>,
    /// The last statement of any endpoint of its service.
    of_service: Option<Statement>,
    share: Share,
    /// Requests that may still be rejected.
    sends: VecDeque<Pending>,
    /// Times of the rejections within the window.
    rejections: VecDeque<Duration>,
    last_rejection: Option<Duration>,
}

/// A request that may be rejected.
#[derive(Debug, Clone, Copy)]
struct Pending {
    at: Duration,
    /// When it counts as accepted.
    accepted_at: Duration,
}

impl Guard {
    /// Records what an answer of the endpoint says, unless a later one is known.
    pub fn record(&mut self, statement: Statement) {
        if self.own.is_none_or(|known| known.at <= statement.at) {
            self.own = Some(statement);
        }
    }

    /// Sets what endpoints of the service state.
    pub fn set_statement_of_service(&mut self, statement: Option<Statement>) {
        self.of_service = statement;
    }

    /// Returns the number of rejections per second that the endpoint survives, or `None` if
    /// it is not known to have a limit.
    #[must_use]
    pub fn max_per_s(&self, now: Duration) -> Option<u32> {
        let in_force = |statement: &Statement| statement.is_in_force(now);
        let (own, of_service) = (self.own.filter(in_force), self.of_service.filter(in_force));
        match (own, of_service) {
            (Some(own), Some(of_service)) if own.max_per_s.is_none() && own.at < of_service.at => of_service.max_per_s,
            (Some(own), _) => own.max_per_s,
            (None, of_service) => of_service?.max_per_s,
        }
    }

    /// Sets this instance's part of the endpoint.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Returns whether this instance may cause rejections at all.
    #[must_use]
    pub fn has_share(&self, now: Duration) -> bool {
        self.max_per_s(now).is_none() || self.share.rejections > 0
    }

    /// Returns whether a request may be sent while this instance has `runs` there.
    #[must_use]
    pub fn may_send(&self, now: Duration, runs: u32) -> bool {
        if self.max_per_s(now).is_none() {
            return true;
        }
        if runs >= self.share.slots {
            return false;
        }
        let pending = self.sends.iter().filter(|send| now < send.accepted_at).count();
        let rejections = self.rejections.iter().filter(|at| now < **at + WINDOW).count();
        pending + rejections < self.share.rejections
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Duration) {
        if self.max_per_s(now).is_none() {
            return;
        }
        self.sends.retain(|send| now < send.accepted_at);
        let was_full = self.last_rejection.is_some_and(|at| now < at + FULL_MEMORY);
        let span = if was_full { MAX_PENDING_TIME } else { ACCEPTANCE_TIME };
        self.sends.push_back(Pending { at: now, accepted_at: now + span });
    }

    /// Records that the endpoint accepted the request that was sent at `sent_at`, or that it
    /// did not receive it.
    pub fn record_acceptance(&mut self, sent_at: Duration) {
        if let Some(index) = self.sends.iter().position(|send| send.at == sent_at) {
            self.sends.remove(index);
        }
    }

    /// Records that the endpoint rejected the request that was sent at `sent_at`.
    pub fn record_rejection(&mut self, now: Duration, sent_at: Duration) {
        self.record_acceptance(sent_at);
        self.rejections.retain(|at| now < *at + WINDOW);
        self.rejections.push_back(now);
        self.last_rejection = Some(now);
    }
}
