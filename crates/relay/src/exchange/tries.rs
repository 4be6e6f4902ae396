//! Sends a request to endpoints until an answer is accepted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Method, Response, StatusCode, Uri};
use route::relay::{content::Work, placement::Choice};
use tokio::{task::JoinHandle, time::timeout};

use super::{
    admit::Admission,
    crash_check,
    hop::Hop,
    silent::{SilentTries, SilentTry},
    whole::read_whole,
};
use crate::{
    admission::Permit,
    answer::{self, Body, Refusal},
    buffer,
    catalog::Kind,
    clock,
    dispatcher::{
        Dispatcher, Reservation,
        fleet::{Key, Run, RunOutcome},
    },
    payload::Payload,
    request_params::RequestParams,
    source::Endpoint,
    upstream::{Answer, Outcome, Unreachable},
};

/// Time before the deadline at which an unfinished answer is given up. The deadline itself cancels
/// the try, and the endpoint's failure would not be recorded: it would get as many requests as
/// before.
pub(super) const RECORDING_TIME: Duration = Duration::from_millis(3);

/// A request being served.
#[derive(Debug)]
pub struct Exchange {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) _body_memory: Reservation,
    pub(super) work: Work,
    pub(super) params: RequestParams,
    pub(super) admission: Admission,
    /// Service selected from the route's targets; empty before the first try.
    pub(super) service: String,
    pub(super) host: String,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Payload,
    pub(super) started: Duration,
    /// Deadline of the request, less the time reserved for sending the answer.
    pub(super) limit: Duration,
    /// Endpoints at which a try failed; they are not tried again.
    pub(super) tried: Vec<Key>,
    /// Whether the request may wait where it is rather than be sent to such an endpoint again.
    pub(super) avoids_tried: bool,
    /// Number of times the request was sent, not counting unreachable endpoints.
    pub(super) sent: u32,
    /// Number of tries that found the endpoint unreachable.
    pub(super) unreachable: u32,
    /// Whether another instance forwarded the request to this one.
    pub(super) is_forwarded: bool,
    /// Instances to which the request was forwarded.
    pub(super) tried_instances: Vec<SocketAddr>,
    /// Whether any endpoint may have run the request, apart from the silent ones.
    pub(super) may_have_run: bool,
    /// Endpoints of the silent tries, of which it is not known whether they run the request. They get it no
    /// second time meanwhile.
    pub(super) silent_at: Vec<Key>,
    /// Number of tries that failed at an endpoint. Further ones say little about a version.
    pub(super) failed_tries: u32,
    /// Cause of the last failed try, for logs.
    pub(super) cause: String,
    /// Random number that selects the route's target, the same for all tries.
    pub(super) target_draw: f64,
    /// Version of the endpoint that started the stream, preferred when resuming.
    pub(super) version: Option<String>,
    /// Task that checks whether the endpoint of the last try has crashed, if its answer broke
    /// off.
    pub(super) crash_check: Option<JoinHandle<()>>,
    /// Permission to run the request, once it has passed admission control.
    pub(super) permit: Option<Permit>,
}

/// An answer that is accepted for the caller.
#[derive(Debug)]
pub enum AcceptedAnswer {
    /// A complete answer.
    Whole(Response<Body>),
    /// A stream that has begun.
    Stream(Box<ActiveStream>),
}

/// A stream that an endpoint is sending, directly or through another instance.
#[derive(Debug)]
pub struct ActiveStream {
    /// The endpoint's answer.
    pub answer: Answer,
    /// Where it comes from.
    pub hop: Hop,
    /// Index of the answering model in the route's ladder, if this instance chose it.
    pub model: Option<usize>,
}

/// An answer with a server error.
pub(super) struct Failure {
    response: Response<Body>,
    status: StatusCode,
    endpoint: Arc<Endpoint>,
    choice: Choice,
    /// When it was received.
    at: Duration,
}

/// What to do with the request after one try.
pub(super) enum NextStep {
    Accepted(AcceptedAnswer),
    /// No further try can succeed.
    Refused(Refusal),
    /// No memory is left for the answer, so a further run would be lost as well.
    Lost,
    /// A server error; it is returned to the caller if no later try gives a better answer.
    Failed(Failure),
    /// The endpoint is silent; its run is kept beside the next tries.
    Silent(Box<SilentTry>),
    Retry,
}

impl Exchange {
    /// Returns the time left until the deadline.
    pub fn left(&self) -> Duration {
        self.limit.saturating_sub(clock::now())
    }

    /// Whether the answer is a stream that may go on at another endpoint.
    pub(super) fn is_resumable(&self) -> bool {
        matches!(self.admission.route.kind, Kind::Stream { resumable: true })
    }

    /// Tries endpoints until an answer is accepted or no further try is allowed.
    pub async fn run(&mut self) -> Result<AcceptedAnswer, Refusal> {
        let mut model = self.start_model();
        self.pass_gate(model).await?;
        let mut failed: Option<Failure> = None;
        let mut silent = SilentTries::default();
        loop {
            for step in self.next_step(&mut model, &mut silent).await {
                let step = match step {
                    NextStep::Lost => NextStep::Refused(Refusal::Lost),
                    NextStep::Refused(refusal) => {
                        let failed_at = failed.as_ref().map(|failure| failure.at);
                        self.await_silent(&mut silent, refusal, failed_at).await
                    }
                    other => other,
                };
                match step {
                    NextStep::Accepted(accepted) => return Ok(accepted),
                    NextStep::Failed(failure) => failed = Some(failure),
                    NextStep::Silent(kept) => self.keep(&mut silent, *kept),
                    NextStep::Retry | NextStep::Lost => {}
                    NextStep::Refused(refusal) => {
                        let Some(failure) = failed else { return Err(refusal) };
                        self.log_answer(&failure.endpoint, failure.choice, failure.status, None, None);
                        return Ok(AcceptedAnswer::Whole(failure.response));
                    }
                }
            }
        }
    }

    /// Makes one try.
    pub(super) async fn try_next(&mut self, model: &mut Option<usize>) -> NextStep {
        let last_event = self.params.last_event;
        match self.next_hop(*model).await {
            Ok(Hop::Endpoint(run)) => self.try_at(*run, model, last_event).await,
            Ok(Hop::Instance(instance)) => self.forward(instance).await,
            Err(refusal) => NextStep::Refused(refusal),
        }
    }

    /// Whether any endpoint may have run the request, or may run it still.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run || !self.silent_at.is_empty()
    }

    /// Returns the refusal for the caller, which must not claim that a request did not run
    /// if it may have run.
    pub(super) fn refusal_for_caller(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run() {
            return refusal;
        }
        match refusal {
            Refusal::Expired => Refusal::TimedOut,
            _ => Refusal::Lost,
        }
    }

    /// Sends the request once and decides what to do with the answer.
    async fn try_at(&mut self, mut run: Run, model: &mut Option<usize>, last_event: Option<u64>) -> NextStep {
        let ran_before = self.may_have_run;
        match self.send_until_silent(&mut run, *model, last_event).await {
            Ok(Outcome::Answer(answer)) => self.take_answer(*answer, run, model).await,
            Ok(other) => {
                self.record_failed_try(&mut run, &other);
                NextStep::Retry
            }
            Err((answer, cause)) => {
                self.record_failed_try(&mut run, &Outcome::Unknown(cause.into()));
                if !self.may_run_beside_retry() {
                    return NextStep::Retry;
                }
                // Its end tells whether the request has run there.
                self.may_have_run = ran_before;
                self.silent_at.push(run.key);
                NextStep::Silent(Box::new(SilentTry { run, answer }))
            }
        }
    }

    /// Decides what to do with an answer that has begun.
    async fn take_answer(&mut self, answer: Answer, mut run: Run, model: &mut Option<usize>) -> NextStep {
        run.record_first_byte();
        self.record_first_byte();
        let status = answer.response.status();
        let stream = matches!(self.admission.route.kind, Kind::Stream { .. });
        if status.is_success() && stream {
            run.record_verdict(false);
            // No larger model could be asked, and the caller would get no answer at all.
            let is_repeatable = self.admission.route.kind.repeatable();
            if let Some(escalation) = is_repeatable.then(|| self.escalation(&answer, *model)).flatten() {
                tracing::info!(
                    request = self.params.id,
                    content = %self.work.request,
                    endpoint = run.endpoint.id,
                    from = *model,
                    to = escalation.to,
                    confidence = self.confidence(&answer),
                    urgency = ?self.admission.urgency,
                    reason = escalation.reason,
                    gain = escalation.gain,
                    took_ms = clock::millis(clock::now().saturating_sub(self.started)),
                    "answer dropped for a larger model"
                );
                *model = Some(escalation.to);
                return NextStep::Retry;
            }
            return {
                let hop = Hop::Endpoint(Box::new(run));
                NextStep::Accepted(AcceptedAnswer::Stream(Box::new(ActiveStream { answer, hop, model: *model })))
            };
        }
        self.read_whole_answer(answer, run).await
    }

    /// Records that the endpoint of a run is silent, and that another one is looked for.
    pub(super) fn record_stall(&mut self, run: &Run) {
        if !self.tried.contains(&run.key) {
            self.tried.push(run.key);
        }
        "no event in time".clone_into(&mut self.cause);
        tracing::info!(
            request = self.params.id,
            content = %self.work.request,
            endpoint = run.endpoint.id,
            silence_ms = clock::millis(run.silence()),
            "stream stalled, looking for another endpoint"
        );
    }

    /// Records a try that gave no usable answer.
    pub(super) fn record_failed_try(&mut self, run: &mut Run, outcome: &Outcome) {
        self.tried.push(run.key);
        let (ended, cause) = match outcome {
            Outcome::Unreachable(Unreachable { cause, is_refused }) => {
                self.unreachable += 1;
                self.sent -= 1;
                run.record_failed_connection(cause);
                if *is_refused {
                    let endpoint = Arc::clone(&run.endpoint);
                    tokio::spawn(crash_check::confirm_crash(Arc::clone(&self.dispatcher), run.key, endpoint));
                }
                (if *is_refused { RunOutcome::Down } else { RunOutcome::Unreachable }, cause.clone())
            }
            Outcome::Withdrawn => {
                self.sent -= 1;
                (RunOutcome::Unsent, "it asked for no more requests meanwhile".to_owned())
            }
            Outcome::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                (RunOutcome::Replaced, "another server stands at its address".to_owned())
            }
            Outcome::NotRun(status) => {
                self.record_rejection();
                (RunOutcome::Full, format!("turned away with {status}"))
            }
            Outcome::Unknown(cause) => (RunOutcome::Broken, cause.clone()),
            Outcome::NotHeld(cause) => (RunOutcome::Unsent, cause.clone()),
            Outcome::Broken(cause) => {
                let check =
                    crash_check::check_for_crash(Arc::clone(&self.dispatcher), run.key, Arc::clone(&run.endpoint));
                self.crash_check = Some(tokio::spawn(check));
                (RunOutcome::Broken, cause.clone())
            }
            Outcome::Answer(_) => (RunOutcome::Good, String::new()),
        };
        self.record_failure(run, ended, cause);
    }

    /// Records and logs a failed try.
    fn record_failure(&mut self, run: &mut Run, ended: RunOutcome, cause: String) {
        run.record_outcome(ended);
        self.failed_tries += u32::from(matches!(ended, RunOutcome::Failed | RunOutcome::Broken));
        tracing::info!(
            request = self.params.id,
            content = %self.work.request,
            endpoint = run.endpoint.id,
            how = ?ended,
            cause,
            parts = self.work.parts_text(),
            wait_ms = run.choice.wait_ms,
            preferred = run.choice.preferred,
            "try failed"
        );
        self.cause = cause;
    }

    /// Reads an answer to its end. One that breaks off may be retried like a lost answer.
    async fn read_whole_answer(&mut self, answer: Answer, mut run: Run) -> NextStep {
        let memory = self.dispatcher.reserve_answer_memory();
        let limit = self.left().saturating_sub(RECORDING_TIME);
        let whole = timeout(limit, read_whole(answer, memory)).await;
        match whole.unwrap_or_else(|_| Err(buffer::Fault::Unfinished.into())) {
            Ok(whole) => self.accept_whole(whole, run),
            Err(outcome) => self.give_up_answer(&mut run, &outcome),
        }
    }

    /// Records an answer that could not be read to its end, and decides what to do next.
    pub(super) fn give_up_answer(&mut self, run: &mut Run, outcome: &Outcome) -> NextStep {
        self.record_failed_try(run, outcome);
        if matches!(outcome, Outcome::NotHeld(_)) { NextStep::Lost } else { NextStep::Retry }
    }

    /// Decides what to do with an answer that was read to its end.
    pub(super) fn accept_whole(&mut self, whole: Response<Payload>, mut run: Run) -> NextStep {
        let headers = self.headers_from(&run.endpoint, &whole);
        let (status, body) = (whole.status(), whole.into_body());
        let failed = status.is_server_error();
        run.record_verdict(failed);
        if status.is_success() {
            // Errors come sooner than answers and would be taken for short runs.
            self.complete_run();
        }
        let mut response = Response::new(answer::payload_body(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let (endpoint, choice) = (Arc::clone(&run.endpoint), run.choice);
        if failed {
            self.record_failure(&mut run, RunOutcome::Failed, format!("failed with {status}"));
            self.tried.push(run.key);
            return NextStep::Failed(Failure { response, status, endpoint, choice, at: clock::now() });
        }
        run.record_outcome(RunOutcome::Good);
        self.log_answer(&endpoint, choice, status, None, None);
        NextStep::Accepted(AcceptedAnswer::Whole(response))
    }

    /// Logs an accepted answer and records how long it took.
    pub(super) fn log_answer(
        &self,
        endpoint: &Endpoint,
        choice: Choice,
        status: StatusCode,
        model: Option<usize>,
        confidence: Option<u32>,
    ) {
        let took = clock::millis(clock::now().saturating_sub(self.started));
        tracing::info!(
            request = self.params.id,
            content = %self.work.request,
            route = self.admission.route.name,
            service = self.service,
            endpoint = endpoint.id,
            status = status.as_u16(),
            tries = self.sent,
            took_ms = took,
            wait_ms = choice.wait_ms,
            preferred = choice.preferred,
            copied = choice.source.is_some(),
            model,
            confidence,
            tokens = self.params.tokens.map(|tokens| tokens.prompt),
            catalog = self.admission.version,
            "answered"
        );
        metrics::histogram!("relay_answer_ms", "service" => self.service.clone()).record(took);
    }
}
