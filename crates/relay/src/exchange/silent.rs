//! Tries whose endpoints are silent for longer than a first byte may take.
//!
//! Such an endpoint may be sound and go on. So its run is kept, and listened to, beside the next tries, and
//! given up only when another answer has been accepted, and the next try when an answer of a silent one is
//! whole or its stream has begun. If nobody else takes the request, it is waited for until the deadline,
//! and the others are asked again from time to time.

use std::{fmt, sync::Arc, time::Duration};

use futures::{
    FutureExt,
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use http::Response;
use tokio::{task::JoinHandle, time::timeout};

use super::{
    crash_check::check_for_crash,
    hop::{ENDPOINT_WAIT, Hop, MIN_TRY_TIME},
    tries::{AcceptedAnswer, ActiveStream, Exchange, NextStep, RECORDING_TIME},
    whole::read_whole,
};
use crate::{
    answer::Refusal,
    catalog::Kind,
    clock,
    dispatcher::fleet::{Key, Run},
    payload::Payload,
    source::Endpoint,
    upstream::{self, Answer, Outcome, Pending, TryResult},
};

/// Longest time for which the failure of one endpoint is kept while others are silent. They may be gone,
/// and the caller may have a use for the time that is left.
const FAILURE_WAIT: Duration = Duration::from_secs(1);

/// A try whose endpoint is silent.
pub(super) struct SilentTry {
    pub run: Run,
    pub answer: Pending,
}

impl fmt::Debug for SilentTry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SilentTry").field("run", &self.run).finish_non_exhaustive()
    }
}

/// The end of a try that was silent.
enum LateResult {
    /// The whole answer, so that nothing is given up for one that breaks off.
    Whole(Run, Response<Payload>),
    /// A stream that has begun, of a route without models. Its caller waits for its events.
    Stream(Run, Box<Answer>),
    /// The connection broke. It is being checked whether the endpoint has crashed.
    Broken { key: Key, endpoint: Arc<Endpoint>, cause: String, check: JoinHandle<()> },
    /// Another failure.
    Failed(Run, Outcome),
}

impl LateResult {
    /// Whether there is an answer that is worth more than a try that is under way.
    fn is_usable(&self) -> bool {
        match self {
            Self::Whole(_, whole) => !whole.status().is_server_error(),
            Self::Stream(..) => true,
            Self::Broken { .. } | Self::Failed(..) => false,
        }
    }

    /// Whether the endpoint may have run the request.
    fn may_have_run(&self) -> bool {
        !matches!(self, Self::Failed(_, Outcome::Unreachable(_) | Outcome::Withdrawn | Outcome::NotRun(_)))
    }

    fn endpoint(&self) -> &Endpoint {
        match self {
            Self::Whole(run, _) | Self::Stream(run, _) | Self::Failed(run, _) => &run.endpoint,
            Self::Broken { endpoint, .. } => endpoint,
        }
    }

    fn key(&self) -> Key {
        match self {
            Self::Whole(run, _) | Self::Stream(run, _) | Self::Failed(run, _) => run.key,
            Self::Broken { key, .. } => *key,
        }
    }

    fn label(&self) -> &'static str {
        match self {
            Self::Whole(..) | Self::Stream(..) => "answer",
            Self::Broken { .. } => "broken",
            Self::Failed(_, outcome) => outcome.label(),
        }
    }
}

/// The silent tries of a request.
#[derive(Default)]
pub(super) struct SilentTries(FuturesUnordered<BoxFuture<'static, LateResult>>);

impl SilentTries {
    /// Returns the next try that has ended; never if there is none.
    async fn next(&mut self) -> LateResult {
        match self.0.next().await {
            Some(late) => late,
            None => std::future::pending().await,
        }
    }
}

impl Exchange {
    /// Whether a silent run may go on beside the next tries. A slow engine would process the prompt
    /// beside the engine that gets it next.
    pub(super) fn may_run_beside_retry(&self) -> bool {
        let route = &self.admission.route;
        match route.kind {
            Kind::Idempotent => true,
            Kind::Stream { .. } => route.models.is_empty() && !self.dispatcher.has_engines(&self.service),
            Kind::NonIdempotent => false,
        }
    }

    /// Keeps a silent try beside the next ones.
    pub(super) fn keep(&self, silent: &mut SilentTries, SilentTry { mut run, answer }: SilentTry) {
        let (id, names) = (self.params.id.clone(), self.dispatcher.dialect.names.clone());
        let memory = self.dispatcher.reserve_answer_memory();
        // The run goes on, and may crash its endpoint.
        run.record_return(self.work.clone());
        let dispatcher = Arc::clone(&self.dispatcher);
        let is_stream = matches!(self.admission.route.kind, Kind::Stream { .. });
        let late = async move {
            let TryResult { outcome, statements } = upstream::check_try(answer.await, &id, &names);
            run.record_statements(statements);
            let result = match outcome {
                Outcome::Answer(answer) => {
                    run.record_first_byte();
                    if is_stream && answer.response.status().is_success() {
                        return LateResult::Stream(run, answer);
                    }
                    read_whole(*answer, memory).await
                }
                other => Err(other),
            };
            match result {
                Ok(whole) => LateResult::Whole(run, whole),
                Err(Outcome::Broken(cause)) => {
                    // The failure was counted when the endpoint fell silent. Now the run counts as unfinished,
                    // and the check looks for such runs.
                    let (key, endpoint) = (run.key, Arc::clone(&run.endpoint));
                    drop(run);
                    let check = tokio::spawn(check_for_crash(dispatcher, key, Arc::clone(&endpoint)));
                    LateResult::Broken { key, endpoint, cause, check }
                }
                Err(outcome) => LateResult::Failed(run, outcome),
            }
        };
        silent.0.push(late.boxed());
    }

    /// Makes the next try. The answer of a silent one that is whole, or begins as a stream, first is taken
    /// instead.
    pub(super) async fn next_step(&mut self, model: &mut Option<usize>, silent: &mut SilentTries) -> Vec<NextStep> {
        let mut failed = Vec::new();
        let first = {
            let mut next = std::pin::pin!(self.try_next(model));
            loop {
                tokio::select! {
                    biased;
                    late = silent.next() => {
                        if late.is_usable() {
                            break Err(late);
                        }
                        failed.push(late);
                    }
                    step = &mut next => break Ok(step),
                }
            }
        };
        let mut steps: Vec<NextStep> = failed.into_iter().map(|late| self.take_late(late)).collect();
        match first {
            Ok(accepted @ NextStep::Accepted(_)) => vec![accepted],
            Ok(step) => {
                // A refusal was decided on before the ends of the silent tries were known.
                let is_outdated = !steps.is_empty() && matches!(step, NextStep::Refused(_));
                steps.push(if is_outdated { NextStep::Retry } else { step });
                steps
            }
            Err(late) => vec![self.take_late(late)],
        }
    }

    /// Waits for a silent try after the other ways to an answer have ended with `refusal`, and retries
    /// if they may be open again. A failure that was received at `failed_at` is kept for a while only.
    pub(super) async fn await_silent(
        &mut self,
        silent: &mut SilentTries,
        refusal: Refusal,
        failed_at: Option<Duration>,
    ) -> NextStep {
        if silent.0.is_empty() {
            return NextStep::Refused(refusal);
        }
        tracing::debug!(request = self.params.id, ?refusal, "waiting for silent endpoints, as no other one answers");
        let limit = self.limit.saturating_sub(RECORDING_TIME);
        let end = failed_at.map_or(limit, |failed_at| limit.min(failed_at + FAILURE_WAIT));
        loop {
            let left = end.saturating_sub(clock::now());
            if left.is_zero() {
                return NextStep::Refused(self.refusal_for_caller(Refusal::Expired));
            }
            if let Ok(late) = timeout(left.min(ENDPOINT_WAIT), silent.next()).await {
                return self.take_late(late);
            }
            if self.may_send_again() && self.left() >= MIN_TRY_TIME {
                return NextStep::Retry;
            }
        }
    }

    /// Decides what to do with the end of a try that was silent.
    fn take_late(&mut self, late: LateResult) -> NextStep {
        tracing::info!(
            request = self.params.id,
            content = %self.work.request,
            endpoint = late.endpoint().id,
            outcome = late.label(),
            took_ms = clock::millis(clock::now().saturating_sub(self.started)),
            "silent endpoint went on"
        );
        metrics::counter!("relay_silent_tries_total", "outcome" => late.label()).increment(1);
        if let Some(place) = self.silent_at.iter().position(|key| *key == late.key()) {
            self.silent_at.swap_remove(place);
        }
        self.may_have_run |= late.may_have_run();
        match late {
            LateResult::Whole(run, whole) => {
                self.record_first_byte();
                self.accept_whole(whole, run)
            }
            LateResult::Stream(mut run, answer) => {
                self.record_first_byte();
                run.record_verdict(false);
                let hop = Hop::Endpoint(Box::new(run));
                NextStep::Accepted(AcceptedAnswer::Stream(Box::new(ActiveStream { answer: *answer, hop, model: None })))
            }
            LateResult::Broken { cause, check, .. } => {
                self.crash_check = Some(check);
                self.cause = cause;
                NextStep::Retry
            }
            LateResult::Failed(_, Outcome::Unknown(cause)) => {
                // Counted as a failure when the endpoint fell silent.
                self.cause = cause;
                NextStep::Retry
            }
            LateResult::Failed(mut run, outcome) => self.give_up_answer(&mut run, &outcome),
        }
    }
}
