//! What a home does while the platform does not answer.

use tokio::time::Instant;

use super::{Message, Phase, Task, reply};
use crate::{
    Known, Reason,
    op::{Op, Reply},
};

/// An opening reads before it writes, and may take this many times longer
/// than one answer before the platform counts as down.
const OPENING_ANSWERS: u32 = 5;

impl Task {
    /// Notices an outage: whatever is not on its way yet is certainly not
    /// recorded, and is refused rather than left to its deadline.
    pub(super) fn check_patience(&mut self, now: Instant) {
        if self.patience_ends().is_none_or(|end| now < end) {
            // A shard that is away after a failed opening stays as it was.
            self.stalled &= matches!(self.phase, Phase::Away { .. });
            return;
        }
        if !self.stalled {
            tracing::warn!(shard = self.shard.0, "no answer from the platform; claims are refused, bills held");
        }
        self.stalled = true;
        for message in std::mem::take(&mut self.queue) {
            self.turn_down(message);
        }
        for message in self.bills_under_way() {
            self.turn_down(message);
        }
    }

    /// When the platform counts as down unless it answers before.
    pub(super) fn patience_ends(&self) -> Option<Instant> {
        let patience = self.setting.config.patience;
        match &self.phase {
            Phase::Away { .. } => None,
            Phase::Opening { since } => Some(*since + patience * OPENING_ANSWERS),
            Phase::Home(active) => active.flight.as_ref().map(|flight| flight.since + patience),
        }
    }

    fn bills_under_way(&mut self) -> Vec<Message> {
        let Phase::Home(active) = &mut self.phase else {
            return Vec::new();
        };
        let Some(flight) = &mut active.flight else {
            return Vec::new();
        };
        flight.waiting.extract_if(.., |(message, _)| matches!(message.op, Op::Bill(_))).map(|(m, _)| m).collect()
    }

    /// What is known of a claim's key although its latest record is not
    /// durable yet.
    ///
    /// Refused as not recorded, the caller would be told "not run" of a key
    /// that has run, since its bill waits for the platform.
    fn known_of(&self, op: &Op) -> Option<Known> {
        let (Phase::Home(active), Op::Claim(claim)) = (&self.phase, op) else {
            return None;
        };
        active.state.known(claim, &self.setting.placement.borrow())
    }

    /// Refuses what certainly is not recorded; takes bills into memory.
    pub(super) fn turn_down(&self, message: Message) {
        let Op::Bill(bill) = &message.op else {
            let answer = self.known_of(&message.op).map_or(Reply::Refused(Reason::PlatformDown), Reply::Known);
            return reply(message, answer);
        };
        let held = self.setting.placement.borrow().may_hold(bill) && self.setting.keeper.send(bill.clone()).is_ok();
        reply(message, if held { Reply::Held } else { Reply::Unknown });
    }
}
