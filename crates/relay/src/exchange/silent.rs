//! Tries whose endpoints are silent for longer than a first byte may take.
//!
//! Such an endpoint may be sound and go on. So its run is kept, and listened to, beside the next tries, and
//! given up only when another answer has been accepted. If nobody else takes the request, it is waited
//! for until the deadline.

use std::{fmt, time::Duration};

use futures::{
    FutureExt,
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use tokio::time::timeout;

use super::tries::{Exchange, NextStep, RECORDING_TIME};
use crate::{
    answer::Refusal,
    catalog::Kind,
    clock,
    dispatcher::fleet::Run,
    upstream::{self, Outcome, Pending, TryResult},
};

/// A try whose endpoint is silent.
pub(super) struct SilentTry {
    pub run: Run,
    /// Index of the model in the route's ladder.
    pub model: Option<usize>,
    pub answer: Pending,
}

impl fmt::Debug for SilentTry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SilentTry").field("run", &self.run).field("model", &self.model).finish_non_exhaustive()
    }
}

/// The end of the silence of a try.
#[derive(Debug)]
struct LateResult {
    run: Run,
    model: Option<usize>,
    result: TryResult,
}

impl LateResult {
    /// Whether an answer has begun that is worth more than a try that is under way.
    fn is_usable(&self) -> bool {
        matches!(&self.result.outcome, Outcome::Answer(answer) if !answer.response.status().is_server_error())
    }
}

/// The silent tries of a request.
#[derive(Default)]
pub(super) struct SilentTries(FuturesUnordered<BoxFuture<'static, LateResult>>);

impl SilentTries {
    /// Returns the next try that is no longer silent; never if there is none.
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
    pub(super) fn keep(&self, silent: &mut SilentTries, SilentTry { run, model, answer }: SilentTry) {
        let (id, names) = (self.params.id.clone(), self.dispatcher.dialect.names.clone());
        let late = async move { LateResult { run, model, result: upstream::check_try(answer.await, &id, &names) } };
        silent.0.push(late.boxed());
    }

    /// Makes the next try. The answer of a silent one that begins first is taken instead.
    pub(super) async fn next_step(&mut self, model: &mut Option<usize>, silent: &mut SilentTries) -> Vec<NextStep> {
        let mut next_model = *model;
        let mut failed = Vec::new();
        let first = {
            let mut next = std::pin::pin!(self.try_next(&mut next_model));
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
        match first {
            Ok(accepted @ NextStep::Accepted(_)) => vec![accepted],
            Ok(step) => {
                *model = next_model;
                let mut steps = Vec::new();
                for late in failed {
                    steps.push(self.take_late(late, model).await);
                }
                steps.push(step);
                steps
            }
            Err(late) => vec![self.take_late(late, model).await],
        }
    }

    /// Waits for a silent try after all other ways to an answer have ended with `refusal`.
    pub(super) async fn await_silent(
        &mut self,
        model: &mut Option<usize>,
        silent: &mut SilentTries,
        refusal: Refusal,
    ) -> NextStep {
        if silent.0.is_empty() {
            return NextStep::Refused(refusal);
        }
        let limit: Duration = self.left().saturating_sub(RECORDING_TIME);
        tracing::info!(request = self.params.id, ?refusal, "waiting for silent endpoints, as no other one answers");
        match timeout(limit, silent.next()).await {
            Ok(late) => self.take_late(late, model).await,
            Err(_) => NextStep::Refused(self.refusal_for_caller(Refusal::Expired)),
        }
    }

    /// Decides what to do with the end of a try that was silent.
    async fn take_late(&mut self, late: LateResult, model: &mut Option<usize>) -> NextStep {
        let LateResult { mut run, model: late_model, result: TryResult { outcome, statements } } = late;
        run.record_statements(statements);
        tracing::info!(
            request = self.params.id,
            content = %self.work.request,
            endpoint = run.endpoint.id,
            outcome = outcome.label(),
            took_ms = clock::millis(clock::now().saturating_sub(self.started)),
            "silent endpoint went on"
        );
        metrics::counter!("relay_silent_tries_total", "outcome" => outcome.label()).increment(1);
        match outcome {
            Outcome::Answer(answer) => {
                run.record_return(self.work.clone());
                *model = late_model;
                self.take_answer(*answer, run, model).await
            }
            other => {
                self.record_failed_try(&mut run, &other);
                NextStep::Retry
            }
        }
    }
}
