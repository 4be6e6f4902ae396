//! Bills that are held later than their caller waits.
//!
//! An answer that must not run twice is whole, and neither the platform nor a
//! second instance takes its bill in time. The caller is told so; dropped then,
//! the answer would be paid for and lost, since its bill may be recorded all the
//! same and a repeat runs nothing. So it is kept, and a repeat waits for the bill
//! and gets the answer.

use std::time::Duration;

use timeline::Ran;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, sleep},
};
use world::request::Repeat;

use super::Driver;
use crate::{life::State, problem::Kind};

/// How long a bill is tried after its caller was told; as long as answers are held.
const LATE_FOR: Duration = Duration::from_mins(2);
/// Longest that one go takes.
const LATE_WITHIN: Duration = Duration::from_secs(5);
/// Pause between two goes.
const LATE_PAUSE: Duration = Duration::from_secs(1);

impl Driver {
    /// Leave to keep a whole answer whose bill is not held; nothing for every
    /// other end, and where too much is kept already.
    pub(super) fn late_bill(&self) -> Option<OwnedSemaphorePermit> {
        let is_unbilled = self.cause.as_ref().is_some_and(|cause| cause.kind == Kind::BillNotHeld);
        let is_kept = self.request.repeat == Repeat::Never && self.request.terms.keyed;
        if self.life.state() != State::Failed || !is_unbilled || !is_kept {
            return None;
        }
        self.shared.late.clone().try_acquire_owned().ok()
    }

    /// Tells the caller that the bill is not held, and goes on until it is.
    pub(super) async fn bill_late(&mut self, _leave: OwnedSemaphorePermit) {
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
