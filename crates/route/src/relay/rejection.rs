//! Protects endpoints that crash if they have to reject too many requests within a second.
//!
//! Such an endpoint states in its answers how many rejections it survives, from all instances
//! together. A few instances, selected by rendezvous hashing, share that number, and the others
//! send it nothing while the statement is in force. In a large fleet most instances thus get no
//! answer from most endpoints, and an endpoint that has just started has answered nobody. What
//! other endpoints of its service state, to any instance, applies to it meanwhile. An instance counts a request as a possible
//! rejection until its first byte arrives, or for the time in which a full endpoint has
//! rejected it for certain, and sends no more than could all be rejected.

use std::{collections::VecDeque, time::Duration};

use super::throttle::active_senders;

/// Window in which an endpoint counts rejections.
const WINDOW: Duration = Duration::from_secs(1);

/// Time after which a request that was not rejected has been accepted. A full endpoint rejects
/// within a round trip; the rest is for a busy processor at either end.
const ACCEPTANCE_TIME: Duration = Duration::from_millis(300);

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

/// Computes how many rejections per second by an endpoint one instance may cause. `me` and
/// `others` are the hashes of the names of the instances that serve callers.
///
/// All of them together cause at most `max_per_s`, or one if that is less.
#[must_use]
pub fn share(max_per_s: u32, endpoint: u32, me: u64, others: impl Iterator<Item = u64>) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a fraction of a u32")]
    let usable = (USABLE_FRACTION * f64::from(max_per_s)).max(1.0) as usize;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small whole number")]
    active_senders(usable, endpoint, me, others).map_or(0, |senders| usable / senders as usize)
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
    /// Rejections per second that this instance may cause.
    share: usize,
    /// Times of the requests that may still be rejected.
    sends: VecDeque<Duration>,
    /// Times of the rejections within the window.
    rejections: VecDeque<Duration>,
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

    /// Sets this instance's part of the rejections.
    pub fn set_share(&mut self, share: usize) {
        self.share = share;
    }

    /// Returns whether this instance may cause rejections at all.
    #[must_use]
    pub fn has_share(&self, now: Duration) -> bool {
        self.max_per_s(now).is_none() || self.share > 0
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn may_send(&self, now: Duration) -> bool {
        if self.max_per_s(now).is_none() {
            return true;
        }
        let recent = |times: &VecDeque<Duration>, span| times.iter().filter(|at| now < **at + span).count();
        recent(&self.sends, ACCEPTANCE_TIME) + recent(&self.rejections, WINDOW) < self.share
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Duration) {
        if self.max_per_s(now).is_some() {
            push(&mut self.sends, now, ACCEPTANCE_TIME);
        }
    }

    /// Records that the endpoint accepted the request that was sent at `sent_at`, or that it
    /// did not receive it.
    pub fn record_acceptance(&mut self, sent_at: Duration) {
        if let Some(index) = self.sends.iter().position(|at| *at == sent_at) {
            self.sends.remove(index);
        }
    }

    /// Records that the endpoint rejected the request that was sent at `sent_at`.
    pub fn record_rejection(&mut self, now: Duration, sent_at: Duration) {
        self.record_acceptance(sent_at);
        push(&mut self.rejections, now, WINDOW);
    }
}

/// Adds a time and removes those that are older than `span`.
fn push(times: &mut VecDeque<Duration>, now: Duration, span: Duration) {
    while times.front().is_some_and(|at| now >= *at + span) {
        times.pop_front();
    }
    times.push_back(now);
}
