//! Requests that wait at a service: their places, turns and refusals.

use std::time::Duration;

use route::{
    admission::{Cause, Key, Order, Pace, Refusal, Ticket, share::Grant},
    relay::content::Content,
};
use tokio::sync::oneshot;
use world::{Timestamp, contract::Customer};

use super::{Decision, Fleet, Outcome, Service, Waiter};
use crate::{
    admission::{
        entry::{Entry, Refused},
        metrics,
        permit::Pass,
    },
    clock,
};

/// Part of the time until its target by which a request has to be expected to end, or it does not
/// wait. The rest is for shares that shrink while it waits: a request that was let wait should be
/// served, and its target time kept.
const QUEUED_PART_OF_TARGET: f64 = 0.8;

/// Number of runs that have to fit into that time, or the request may wait until its deadline. Long
/// prompts would otherwise be refused whenever anything waits.
const MIN_RUNS_UNTIL_TARGET: f64 = 2.0;

/// Demand over capacity below which the queue is taken to empty, so that requests may wait until
/// their deadlines.
const DRAINING_BELOW: f64 = 0.9;

/// Units of the weights of teams in the queue, which are whole numbers.
const WEIGHT_SCALE: f64 = 1e6;

impl Service {
    /// Adds a request to the queue, or refuses it.
    pub(super) fn enqueue(&mut self, entry: &Entry<'_>, pass: Pass, grant: Grant, now: Duration) -> Decision {
        let class = pass.class;
        let at = timestamp(now);
        let customer = customer(class.team);
        // The target is the time to the first byte, the deadline that to the end.
        let run_ms = pass.first_byte_ms + pass.usual_wait_ms / 2.0;
        let rest_ms = (pass.run_ms - pass.first_byte_ms).max(0.0);
        let deadline = at.plus(whole_millis(clock::millis(entry.left) - rest_ms));
        let target = at.plus(whole_millis(clock::millis(entry.target_left)));
        // While more is demanded than can be served, each request that is served late takes the
        // place of one that could be served in time.
        let is_over = self.division.demand > DRAINING_BELOW * self.correction.capacity();
        let early = at.plus(whole_millis(clock::millis(entry.target_left) * QUEUED_PART_OF_TARGET));
        let can_be_early = !entry.is_resumption && early.since(at) > whole_millis(run_ms * MIN_RUNS_UNTIL_TARGET);
        let latest_end = (is_over && can_be_early && target < deadline).then_some(early);
        // A class that is no longer limited may still queue behind its own requests; with less weight
        // than its demand, its team would wait for the queues of all others.
        let allocation = self.division.limited_allocation(class.team).max(grant.allocation);
        let ticket = Ticket {
            customer: &customer,
            weight: u32::try_from(whole_millis(allocation * WEIGHT_SCALE)).unwrap_or(u32::MAX),
            deadline,
            run_ms: whole_millis(run_ms),
            draw: 0,
        };
        let order = Order {
            // Its caller has waited before.
            rank: if entry.is_resumption { 0 } else { class.rank },
            target: Some(target),
            latest_end,
            size: whole_millis(pass.cost * 1_000.0),
            cost: pass.cost,
            rank_per_ms: (grant.is_limited && !entry.is_resumption)
                .then_some(grant.paced(self.correction.pace().min(1.0))),
        };
        self.queue.set_pace(Pace { per_ms: self.per_ms, debt: self.bucket.debt() });
        match self.queue.offer_ordered(&ticket, order, at) {
            Err(refusal) => {
                metrics::count(&self.name, class.rank, "refused");
                Decision::Refuse(self.refuse(pass, entry.content, refusal, now))
            }
            Ok(key) => {
                let (reply, receiver) = oneshot::channel();
                self.waiters.insert(key, Waiter { reply, pass });
                let waiting = self.waiting_by_class.entry(class).or_default();
                waiting.count += 1;
                waiting.cost += pass.cost;
                let needs_driver = !std::mem::replace(&mut self.is_driven, true);
                Decision::Wait { key, receiver, needs_driver }
            }
        }
    }

    /// Returns what a refused request is told.
    fn refuse(&mut self, pass: Pass, content: Content, refusal: Refusal, now: Duration) -> Refused {
        let grant = self.division.grant(pass.class);
        let of_class = if grant.is_limited { grant.paced(self.correction.pace()) } else { 0.0 };
        // The part of a class that has told no demand lately is not known.
        let per_ms = if of_class > 0.0 { of_class } else { self.per_ms };
        let (wait_ms, left_ms) = match refusal.cause {
            Cause::Deadline { wait_ms, left_ms } => (wait_ms, left_ms),
            Cause::Full => (refusal.retry_after_ms, 0),
        };
        let (after, spread) =
            self.refusals.record(pass.class, pass.cost, per_ms, refusal.retry_after_ms, pass.left, now);
        if let Some(counted_at) = pass.counted_at {
            self.refusals.expect_return(content, counted_at, now + after + spread, now);
        }
        Refused {
            after,
            spread,
            wait: Duration::from_millis(wait_ms),
            left: Duration::from_millis(left_ms),
            oldest_news: self.remotes.oldest(now),
        }
    }

    /// Grants waiting requests as far as the bucket allows and refuses hopeless ones. Returns the
    /// time until more can be granted, or `None` if none is left.
    pub fn release(&mut self, fleet: Fleet, now: Duration) -> (Vec<Outcome>, Option<Duration>) {
        self.refresh(fleet, now);
        self.bucket.refill(now);
        let mut outcomes = Vec::new();
        while self.bucket.may_start() {
            let Some(admitted) = self.queue.next(timestamp(now)) else { break };
            let Some(Waiter { reply, mut pass }) = self.take_waiter(admitted.key) else { continue };
            self.bucket.charge(pass.cost);
            pass.priority = self.priority(pass.class, self.division.grant(pass.class));
            metrics::count(&self.name, pass.class.rank, "admitted");
            outcomes.push(Outcome { reply, result: Ok(pass) });
        }
        for (key, refusal) in self.queue.shed(timestamp(now)) {
            let Some(Waiter { reply, pass }) = self.take_waiter(key) else { continue };
            metrics::count(&self.name, pass.class.rank, "shed");
            let refused = self.refuse(pass, pass.content, refusal, now);
            outcomes.push(Outcome { reply, result: Err(refused) });
        }
        self.is_driven = !self.waiters.is_empty();
        (outcomes, self.is_driven.then(|| self.bucket.wait()))
    }

    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Removes a request whose caller does not wait any more, if it is still waiting.
    pub fn cancel(&mut self, key: Key) {
        self.queue.cancel(key);
        self.take_waiter(key);
    }

    fn take_waiter(&mut self, key: Key) -> Option<Waiter> {
        let waiter = self.waiters.remove(&key)?;
        if let Some(waiting) = self.waiting_by_class.get_mut(&waiter.pass.class) {
            waiting.count -= 1;
            waiting.cost -= waiter.pass.cost;
            if waiting.count == 0 {
                self.waiting_by_class.remove(&waiter.pass.class);
            }
        }
        Some(waiter)
    }
}

/// Returns the name under which a team's requests wait.
fn customer(team: u32) -> Customer {
    Customer::parse(&format!("{team:08x}")).expect("hexadecimal digits are a valid name")
}

pub(super) fn timestamp(now: Duration) -> Timestamp {
    Timestamp(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
fn whole_millis(millis: f64) -> u64 {
    millis.clamp(0.0, 1e12).ceil() as u64
}
