//! Sends a request once and waits for the beginning of an answer.

use tokio::time::timeout;

use super::tries::Exchange;
use crate::{
    clock,
    dispatcher::fleet::Run,
    upstream::{self, Outcome, Pending, TryResult},
};

/// Cause of a failed try for logs: the first byte took too long.
const NO_ANSWER: &str = "no answer in time";

/// Cause of a failed try for logs: the endpoint may be gone, and its connection does not show it.
const REMOVED: &str = "its registration was removed before an answer came";

impl Exchange {
    /// Sends the request to the endpoint of a run, and gives it up if the endpoint is silent.
    pub(super) async fn send(&mut self, run: &mut Run, model: Option<usize>, last_event: Option<u64>) -> Outcome {
        let result = self.send_until_silent(run, model, last_event).await;
        result.unwrap_or_else(|(_, cause)| Outcome::Unknown(cause.into()))
    }

    /// Sends the request to the endpoint of a run.
    ///
    /// # Errors
    ///
    /// Returns the awaited answer if the endpoint is silent, with the reason why it is waited for no
    /// longer.
    pub(super) async fn send_until_silent(
        &mut self,
        run: &mut Run,
        model: Option<usize>,
        last_event: Option<u64>,
    ) -> Result<Outcome, (Pending, &'static str)> {
        let left = self.left();
        let request = self.request(run, model, last_event, left);
        self.sent += 1;
        let first_byte_timeout = self.first_byte_timeout(run).min(left);
        let network = &*self.dispatcher.settings.network;
        let connected = match upstream::connect(network, run.endpoint.address, first_byte_timeout).await {
            Ok(connected) => connected,
            Err(unreachable) => return Ok(Outcome::Unreachable(unreachable)),
        };
        run.record_connection();
        if self.dispatcher.has_withdrawn(run.key) {
            return Ok(Outcome::Withdrawn);
        }
        self.log_basis(run);
        run.mark_sent(self.work.clone());
        if self.failed_tries > 0 {
            run.exclude_from_evidence();
        }
        self.start_run(model);
        if self.sent == 1 {
            self.dispatcher.record_first_dispatch(&self.service);
        }
        // The deadline may pass and cancel this call while the try is in flight. From here
        // on the caller must not be told that the request did not run.
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let mut pending = upstream::start(connected, request);
        let may_send_again = self.may_send_again();
        let answer = tokio::select! {
            biased;
            answer = timeout(first_byte_timeout, &mut pending) => answer.map_err(|_| NO_ANSWER),
            () = self.dispatcher.wait_until_removed(run), if may_send_again => Err(REMOVED),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(cause) => return Err((pending, cause)),
        };
        let TryResult { outcome, statements } =
            upstream::check_try(answer, &self.params.id, &self.dispatcher.dialect.names);
        run.record_statements(statements);
        if matches!(outcome, Outcome::Unreachable(_) | Outcome::NotRun(_)) {
            self.may_have_run = ran_before;
        }
        Ok(outcome)
    }

    /// Logs what this instance knows of the version under roll-out that a run is sent to.
    fn log_basis(&self, run: &Run) {
        let Some(basis) = run.rollout_basis() else { return };
        tracing::info!(
            request = self.params.id,
            route = self.admission.route.name,
            service = self.service,
            endpoint = run.endpoint.id,
            version = run.endpoint.version,
            stage = ?basis.stage,
            stage_ms = clock::millis(basis.stage_age),
            elapsed_ms = clock::millis(basis.elapsed),
            own = %basis.own,
            told = %basis.told,
            told_by = basis.told_by,
            oldest_ms = basis.oldest_report.map(clock::millis),
            route_new = %basis.route.new,
            route_old = %basis.route.old,
            "sent to version under roll-out"
        );
    }
}
