//! Bills that are held later than their caller waits.
//!
//! An answer that must not run twice is whole, and neither the platform nor a
//! second instance takes its bill in time. The caller is told so; dropped then,
//! the answer would be paid for and lost, since its bill may be recorded all the
//! same and a repeat runs nothing. So it is kept, and a repeat waits for the bill
//! and gets the answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use timeline::Ran;
use tokio::time::{Instant, sleep};
use world::request::Repeat;

use super::Driver;
use crate::{life::State, problem::Kind, shared::Shared};

/// How long a bill is tried after its caller was told; as long as answers are held.
const LATE_FOR: Duration = Duration::from_mins(2);
/// Longest that one go takes.
const LATE_WITHIN: Duration = Duration::from_secs(5);
/// Pause between two goes.
const LATE_PAUSE: Duration = Duration::from_secs(1);
/// Most late bills of an instance; past it an answer is given up with its bill.
const MOST_LATE: usize = 256;

/// The place of one among the late bills.
pub(super) struct Late {
    shared: Arc<Shared>,
}

impl Late {
    fn enter(shared: &Arc<Shared>) -> Option<Self> {
        let count: &AtomicUsize = &shared.late_bills;
        let enter = |count| (count < MOST_LATE).then_some(count + 1);
        count.fetch_update(Ordering::AcqRel, Ordering::Acquire, enter).ok()?;
        Some(Self { shared: shared.clone() })
    }
}

impl Drop for Late {
    fn drop(&mut self) {
        self.shared.late_bills.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Driver {
    /// The place of a whole answer whose bill is not held, if it is to be kept.
    pub(super) fn late_bill(&self) -> Option<Late> {
        let is_unbilled = self.cause.as_ref().is_some_and(|cause| cause.kind == Kind::BillNotHeld);
        let is_kept = self.request.repeat == Repeat::Never && self.request.terms.keyed;
        if self.life.state() != State::Failed || !is_unbilled || !is_kept {
            return None;
        }
        Late::enter(&self.shared)
    }

    /// Tells the caller that the bill is not held, and goes on until it is.
    pub(super) async fn bill_late(&mut self, _late: Late) {
        self.turn = None;
        let tape = self.tape.reopen();
        self.shared.held.replace(self.request.id(), &self.tape, &tape);
        self.end_failed(self.problem(Ran::Yes));
        self.tape = tape;
        let give_up = Instant::now() + LATE_FOR;
        while Instant::now() < give_up {
            sleep(LATE_PAUSE).await;
            if let Ok((bill, receipt)) = self.hold_bill(Instant::now() + LATE_WITHIN).await {
                self.end_reservation(Some(receipt));
                self.billed(&bill, receipt);
                return self.deliver().await;
            }
        }
        tracing::warn!(request = %self.request.id(), "an answer is given up, its bill may have been recorded");
        self.fail(Ran::Yes).await;
    }
}
