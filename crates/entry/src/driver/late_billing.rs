//! Bills that are stored only after the caller received a problem.
//!
//! A request that must not be repeated can have a complete answer whose bill neither
//! the platform nor a second instance stores in time. The caller gets a problem.
//! Its bill may nevertheless have been recorded, and a repeat does not run the request
//! again. If the answer were dropped, the caller could pay for an answer that it can no
//! longer get. So the answer is kept, and a repeat waits for the bill and gets the
//! answer.

use std::time::Duration;

use timeline::Ran;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, sleep},
};
use world::request::Repeat;

use super::Driver;
use crate::{machine::State, problem::Kind};

/// How long storing a bill is retried after the caller got the problem; equals the
/// time for which finished answers are kept.
const LATE_BILLING_PERIOD: Duration = Duration::from_mins(2);
/// Longest duration of one attempt.
const LATE_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const LATE_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl Driver {
    /// Returns a permit to keep a complete answer whose bill is not stored.
    ///
    /// Returns `None` if the request ended in any other way, or if too many requests
    /// already continue in the background.
    pub(super) fn late_billing_permit(&self) -> Option<OwnedSemaphorePermit> {
        let is_unbilled = self.cause.as_ref().is_some_and(|cause| cause.kind == Kind::BillNotHeld);
        let is_kept = self.request.repeat == Repeat::Never && self.request.terms.has_caller_key;
        if self.machine.state() != State::Failed || !is_unbilled || !is_kept {
            return None;
        }
        self.shared.late_permits.clone().try_acquire_owned().ok()
    }

    /// Reports to the caller that the bill is not stored, and keeps trying to store it.
    pub(super) async fn bill_in_background(&mut self, _permit: OwnedSemaphorePermit) {
        self.admission = None;
        let buffer = self.buffer.copy_without_end();
        self.shared.answers.replace(self.request.id(), &self.buffer, &buffer);
        self.end_with_problem(self.failure_problem(Ran::Yes));
        self.buffer = buffer;
        let give_up = Instant::now() + LATE_BILLING_PERIOD;
        while Instant::now() < give_up {
            sleep(LATE_RETRY_PAUSE).await;
            if let Ok((bill, receipt)) = self.store_bill(Instant::now() + LATE_ATTEMPT_TIMEOUT).await {
                self.end_budget_reservation(Some(receipt));
                self.record_bill(&bill, receipt);
                return self.deliver().await;
            }
        }
        tracing::warn!(request = %self.request.id(), "unbilled answer dropped, its bill may have been recorded");
        self.fail(Ran::Yes).await;
    }
}
