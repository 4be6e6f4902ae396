//! Reporting to callers that their session moved off a version.
//!
//! A move is bound in the journal before an answer reports it, and that answer may
//! be lost with its instance or in transit. The journal records with each pin which
//! answer reported the move. As that answer may not have arrived, the code here
//! checks the record before it relies on it, and retracts it when it proves wrong.

use std::{sync::Arc, time::Duration};

use journal::Error;
use route::model::{Choice, Permit};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};
use world::{
    model::Version,
    request,
    session::{Id, Left, Pin, Teller, untold},
};

use super::Driver;
use crate::{join, session::Reference, shared::Shared};

/// Longest time that an answer waits until the moves that it reports are recorded, or
/// for the instance that reported a move before. After it the move is reported again.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time that a refusal waits for the retraction of the report by the request's
/// first answer.
const RETRACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a retraction is retried, possibly after its refusal was sent.
const RETRACT_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a retraction is retried; equals the time for which a home instance
/// remembers a run that left no record in the journal.
const RETRACT_PERIOD: Duration = Duration::from_mins(10);

impl Driver {
    /// Returns the versions that the session left for those of `choice`, now or
    /// before, and that may not have been reported to its caller yet.
    pub(super) async fn unreported_moves(&self, choice: &Choice, pins: &[Pin]) -> Vec<Version> {
        let mut moved = choice.reason().moved.clone();
        let answering: Vec<_> = choice.steps().iter().map(Permit::version).collect();
        let mut unconfirmed = Vec::new();
        for reporter in reporting_answers(pins, &answering) {
            if !self.has_reported_move(reporter).await {
                unconfirmed.push(reporter);
            }
        }
        let is_confirmed = |reporter: &Teller| !unconfirmed.contains(&reporter);
        for version in untold(pins, &answering, &self.request.id().key, is_confirmed) {
            if !moved.contains(version) {
                moved.push(version.clone());
            }
        }
        moved
    }

    /// Returns whether the instance that gave an answer confirms that the answer,
    /// which reported a move, has ended.
    ///
    /// The member list shows an instance as live for seconds after it is lost, so
    /// the instance itself is asked, once for each answer.
    async fn has_reported_move(&self, reporter: &Teller) -> bool {
        let links = &self.shared.links;
        if !links.journal.knows(&reporter.instance, reporter.incarnation) {
            return false;
        }
        let answer = request::Id { customer: self.request.customer().clone(), key: reporter.request.clone() };
        if reporter.instance == self.shared.settings.instance {
            return !self.shared.answers.is_running(&answer);
        }
        if self.shared.is_known_ended(&answer) {
            return true;
        }
        let has_ended = join::has_ended(&links.peer, &reporter.instance, &answer, REPORT_TIMEOUT).await;
        if has_ended {
            self.shared.mark_ended(answer);
        } else {
            let (request, instance) = (self.request.id(), &reporter.instance);
            tracing::info!(%request, %instance, "session move report not confirmed, reporting it again");
        }
        has_ended
    }

    /// Records in the journal that this answer reports a move.
    ///
    /// The record is made after the answer's head was written and before its end. So
    /// a caller whose next request is served after this one does not get the report
    /// twice, and a caller that never received the head gets it from a repeat of this
    /// request or from the next one.
    pub(super) async fn record_reported_moves(&self) {
        let Some(Reference::CallerNamed(id)) = &self.request.session else { return };
        let Some(chosen) = self.chosen.as_ref().filter(|chosen| !chosen.moved.is_empty()) else { return };
        let Some(bound) = chosen.bound.as_deref() else { return };
        let mut updated = bound.to_vec();
        let origin = &self.shared.links.journal.config().origin;
        let teller = Teller {
            request: self.request.id().key.clone(),
            instance: origin.instance.clone(),
            incarnation: origin.incarnation,
        };
        let is_reported = |left: &&mut Left| left.versions.iter().all(|version| chosen.moved.contains(version));
        for left in updated.iter_mut().filter_map(|pin| pin.left.as_mut()).filter(is_reported) {
            left.told = Some(teller.clone());
        }
        if updated == bound {
            return;
        }
        let deadline = self.request.deadline.min(Instant::now() + REPORT_TIMEOUT);
        let journal = &self.shared.links.journal;
        if let Err(error) = journal.bind_session(self.request.customer(), id, &updated, Some(bound), deadline).await {
            tracing::info!(request = %self.request.id(), ?error, "session move will be reported again");
        }
    }

    /// Retracts the record that this request's answer reported session moves.
    ///
    /// The caller sent the key again, so it does not have the first answer. A repeat of a
    /// request that must not run twice gets only a refusal: the answer with the
    /// report is lost for good, and the next one, under another key, would not
    /// contain it. So the retraction comes before the refusal, and continues in the
    /// background if it takes too long.
    pub(super) async fn retract_move_reports(&self) {
        let Some(Reference::CallerNamed(session)) = &self.request.session else { return };
        let retraction =
            Retraction { shared: self.shared.clone(), session: session.clone(), answer: self.request.id().clone() };
        let deadline = self.request.deadline.min(Instant::now() + RETRACT_TIMEOUT);
        let Ok(permit) = self.shared.late_permits.clone().try_acquire_owned() else {
            if let Err(error) = retraction.write(deadline).await {
                tracing::warn!(request = %self.request.id(), %error, "session move may stay unreported");
            }
            return;
        };
        let (done, noted) = oneshot::channel();
        // Runs as its own task because this request may end before it succeeds.
        tokio::spawn(async move {
            retraction.retry_until_written(done).await;
            drop(permit);
        });
        if timeout_at(deadline, noted).await.is_err() {
            tracing::info!(request = %self.request.id(), "session move report is retracted in the background");
        }
    }
}

/// Retraction of the record that an answer reported a session's moves.
struct Retraction {
    shared: Arc<Shared>,
    session: Id,
    answer: request::Id,
}

impl Retraction {
    /// Removes the record from the session's binding.
    async fn write(&self, deadline: Instant) -> Result<(), Error> {
        let (journal, customer) = (&self.shared.links.journal, &self.answer.customer);
        // A session that is not bound yet gets an empty binding, which the next
        // choice replaces.
        let mut bound = journal.bind_session(customer, &self.session, &[], None, deadline).await?;
        loop {
            let retracted = self.without_report(&bound);
            if retracted == bound {
                return Ok(());
            }
            let current = journal.bind_session(customer, &self.session, &retracted, Some(&bound), deadline).await?;
            if current == retracted {
                return Ok(());
            }
            bound = current;
        }
    }

    /// Returns the pins without the record that this answer reported their moves.
    fn without_report(&self, bound: &[Pin]) -> Vec<Pin> {
        let mut pins = bound.to_vec();
        let is_by_this = |left: &&mut Left| left.told.as_ref().is_some_and(|told| told.request == self.answer.key);
        for left in pins.iter_mut().filter_map(|pin| pin.left.as_mut()).filter(is_by_this) {
            left.told = None;
        }
        pins
    }

    /// Retries until the record is removed or the time limit is reached.
    async fn retry_until_written(self, done: oneshot::Sender<()>) {
        let give_up = Instant::now() + RETRACT_PERIOD;
        loop {
            match self.write(Instant::now() + RETRACT_TIMEOUT).await {
                Ok(()) => {
                    // The receiver may have stopped waiting.
                    let _ = done.send(());
                    return;
                }
                Err(error) if Instant::now() >= give_up => {
                    let session = &self.session;
                    tracing::warn!(request = %self.answer, %session, %error, "session move may stay unreported");
                    return;
                }
                Err(_) => sleep(RETRACT_RETRY_PAUSE).await,
            }
        }
    }
}

/// Returns the answers that reported moves to any of the `answering` versions.
fn reporting_answers<'a>(pins: &'a [Pin], answering: &[&Version]) -> Vec<&'a Teller> {
    let answers = |pin: &&Pin| answering.contains(&&pin.version);
    pins.iter().filter(answers).filter_map(|pin| pin.left.as_ref()?.told.as_ref()).collect()
}
