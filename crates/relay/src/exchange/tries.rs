//! Sends a request to endpoints until an answer is accepted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use route::relay::{allowance::Purpose, content::Work, placement::Choice, reachability::Reach};
use tokio::task::JoinHandle;

use super::{
    admit::{self, Admission},
    crash_check, forwarded_headers,
    forwarding::MAX_FORWARDS,
};
use crate::{
    answer::{self, Body, Refusal},
    catalog::Kind,
    clock,
    dispatcher::{
        Dispatcher, InFlight, Reservation,
        fleet::{Key, Run, RunOutcome},
    },
    request_params::RequestParams,
    source::Endpoint,
    upstream::{self, Answer, Outcome, TryResult, Unreachable},
};

/// Number of unreachable endpoints after which a request is refused.
///
/// These tries are cheap: nothing has run, and a closed port answers within a round trip.
/// When endpoints crash together, about half of those listed may be gone. Then one request
/// in 65,000 finds 16 closed ports in a row; with a limit of four it would be one in 16.
const MAX_UNREACHABLE: u32 = 16;

/// Minimum time left for another try.
const MIN_TRY_TIME: Duration = Duration::from_millis(30);

/// Longest answer that is buffered, in bytes: several times the longest request. Without
/// a limit, an answer that never ends would take all memory.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Longest wait for the crash check of an endpoint; one that has crashed refuses
/// connections within a round trip.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest wait for an endpoint if none of the service accepts the request.
const ENDPOINT_WAIT: Duration = Duration::from_millis(250);

/// Longest wait of a forwarded request for a share of endpoints' rejections.
const FORWARDED_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Number of other instances that are asked for their shares of endpoints' rejections. With
/// more, an overload would multiply the work of all instances.
const MAX_FORWARDS_FOR_SHARES: usize = 2;

/// A request being served.
#[derive(Debug)]
pub struct Exchange {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) in_flight: Option<InFlight>,
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
    pub(super) body: Bytes,
    pub(super) started: Duration,
    /// Deadline of the request, less the time reserved for sending the answer.
    pub(super) limit: Duration,
    /// Endpoints at which a try failed; they are not tried again.
    pub(super) tried: Vec<Key>,
    /// Number of times the request was sent, not counting unreachable endpoints.
    pub(super) sent: u32,
    /// Number of tries that found the endpoint unreachable.
    pub(super) unreachable: u32,
    /// Whether another instance forwarded the request to this one.
    pub(super) is_forwarded: bool,
    /// Instances to which the request was forwarded.
    pub(super) tried_instances: Vec<SocketAddr>,
    /// Whether any endpoint may have run the request.
    pub(super) may_have_run: bool,
    /// Cause of the last failed try, for logs.
    pub(super) cause: String,
    /// Random number that selects the route's target, the same for all tries.
    pub(super) target_draw: f64,
    /// Version of the endpoint that started the stream, preferred when resuming.
    pub(super) version: Option<String>,
    /// Task that checks whether the endpoint of the last try has crashed, if its answer broke
    /// off.
    pub(super) crash_check: Option<JoinHandle<()>>,
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

/// Where a request is sent.
#[derive(Debug)]
pub enum Hop {
    /// To an endpoint.
    Endpoint(Box<Run>),
    /// To another instance, which chooses the endpoint.
    Instance(SocketAddr),
}

/// An answer with a server error.
pub(super) struct Failure {
    response: Response<Body>,
    status: StatusCode,
    endpoint: Arc<Endpoint>,
    choice: Choice,
}

/// What to do with the request after one try.
pub(super) enum NextStep {
    Accepted(AcceptedAnswer),
    /// No further try can succeed.
    Refused(Refusal),
    /// A server error; it is returned to the caller if no later try gives a better answer.
    Failed(Failure),
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
        let mut failed: Option<Failure> = None;
        loop {
            let last_event = self.params.last_event;
            let step = match self.next_hop(model).await {
                Ok(Hop::Endpoint(run)) => self.try_at(*run, &mut model, last_event).await,
                Ok(Hop::Instance(instance)) => self.forward(instance).await,
                Err(refusal) => NextStep::Refused(refusal),
            };
            match step {
                NextStep::Accepted(accepted) => return Ok(accepted),
                NextStep::Failed(failure) => failed = Some(failure),
                NextStep::Retry => {}
                NextStep::Refused(refusal) => {
                    let Some(failure) = failed else { return Err(refusal) };
                    self.log_answer(&failure.endpoint, failure.choice, failure.status, None, None);
                    return Ok(AcceptedAnswer::Whole(failure.response));
                }
            }
        }
    }

    /// Chooses where to send the request next, or returns why no further try is possible.
    pub(super) async fn next_hop(&mut self, model: Option<usize>) -> Result<Hop, Refusal> {
        self.await_crash_check().await;
        if let Some(left) = self.dispatcher.remaining_quarantine(&self.work) {
            return Err(self.refusal_for_caller(Refusal::Quarantined { left }));
        }
        // The catalog may have changed since the last check: a revoked key or an old route
        // must not be used again.
        self.admission = admit::check(&self.dispatcher, &self.host, self.uri.path(), &self.params)
            .map_err(|r| self.refusal_for_caller(r))?;
        if self.left() < MIN_TRY_TIME {
            return Err(self.refusal_for_caller(Refusal::Expired));
        }
        let may_try = !self.may_have_run || self.admission.route.kind.repeatable();
        if !may_try || self.sent >= self.admission.route.attempts || self.unreachable >= MAX_UNREACHABLE {
            return Err(self.refusal_for_caller(Refusal::TurnedAway));
        }
        self.admission.route.target(self.target_draw).ok_or(Refusal::NoRoute)?.clone_into(&mut self.service);
        let reach = self.dispatcher.reach(&self.service);
        if reach != Reach::Sound
            && let Some(instance) = self.next_instance()
        {
            return Ok(Hop::Instance(instance));
        }
        // The instance that forwarded the request chooses another one sooner than this one
        // finds an endpoint.
        if reach == Reach::Lost || (reach == Reach::Doubtful && self.is_forwarded) {
            let lost_for = self.dispatcher.lost_for(&self.service);
            return Err(self.refusal_for_caller(Refusal::Unreachable { lost_for }));
        }
        let run = match self.place(model) {
            Some(run) => run,
            None if self.dispatcher.is_service_evacuated(&self.service) => {
                return Err(self.refusal_for_caller(Refusal::Evacuated));
            }
            None if self.dispatcher.is_rejection_share_used_up(&self.service) => {
                if let Some(instance) = self.next_instance_with_share() {
                    return Ok(Hop::Instance(instance));
                }
                if !self.dispatcher.has_rejection_share(&self.service) {
                    let were_others_asked = !self.tried_instances.is_empty();
                    let refusal = if were_others_asked { Refusal::NoEndpoint } else { Refusal::NoShare };
                    return Err(self.refusal_for_caller(refusal));
                }
                self.wait_for_share(model).await?
            }
            None => self.wait_for_place(model, ENDPOINT_WAIT, Refusal::NoEndpoint).await?,
        };
        if self.sent > 0 && !self.dispatcher.try_extra_dispatch(&self.service, Purpose::Retry) {
            return Err(self.refusal_for_caller(Refusal::TurnedAway));
        }
        Ok(Hop::Endpoint(Box::new(run)))
    }

    /// Returns another instance that may reach the service, unless enough were tried.
    fn next_instance(&mut self) -> Option<SocketAddr> {
        if self.is_forwarded || self.tried_instances.len() >= MAX_FORWARDS {
            return None;
        }
        let instance = self.dispatcher.instance_reaching(&self.service, &self.tried_instances)?;
        self.tried_instances.push(instance);
        Some(instance)
    }

    /// Returns another instance that may send the request to an endpoint that survives few
    /// rejections, unless enough were tried.
    fn next_instance_with_share(&mut self) -> Option<SocketAddr> {
        if self.is_forwarded || self.tried_instances.len() >= MAX_FORWARDS_FOR_SHARES {
            return None;
        }
        let instance = self.dispatcher.instance_with_rejection_share(&self.service, &self.tried_instances)?;
        self.tried_instances.push(instance);
        Some(instance)
    }

    /// Waits until it is known whether the endpoint of the last try has crashed. If the
    /// request is the cause, it would crash the next endpoint as well.
    async fn await_crash_check(&mut self) {
        let Some(crash_check) = self.crash_check.take() else { return };
        if tokio::time::timeout(CRASH_CHECK_TIMEOUT, crash_check).await.is_err() {
            tracing::debug!(request = self.params.id, "retrying before the crash check of the last endpoint has ended");
        }
    }

    /// Waits until this instance may send the request to an endpoint that survives few
    /// rejections. A forwarded request waits for a shorter time, since the instance that
    /// forwarded it can ask another one.
    async fn wait_for_share(&self, model: Option<usize>) -> Result<Run, Refusal> {
        let (wait, refusal) = if self.is_forwarded {
            (FORWARDED_REQUEST_WAIT, Refusal::NoShare)
        } else {
            (ENDPOINT_WAIT, Refusal::NoEndpoint)
        };
        self.wait_for_place(model, wait, refusal).await
    }

    /// Retries placement until an endpoint accepts the request or the wait is over, and returns
    /// `refusal` in that case.
    async fn wait_for_place(&self, model: Option<usize>, wait: Duration, refusal: Refusal) -> Result<Run, Refusal> {
        let until = clock::now() + wait.min(self.left());
        while clock::now() < until {
            if let Some(after) = self.dispatcher.throttle_wait(&self.service)
                && clock::now() + after > until
            {
                return Err(self.refusal_for_caller(Refusal::Throttled { after }));
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
            if let Some(run) = self.place(model) {
                return Ok(run);
            }
        }
        Err(self.refusal_for_caller(refusal))
    }

    /// Returns the refusal for the caller, which must not claim that a request did not run
    /// if it may have run.
    pub(super) fn refusal_for_caller(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run {
            return refusal;
        }
        match refusal {
            Refusal::Expired => Refusal::TimedOut,
            _ => Refusal::Lost,
        }
    }

    /// Places a run at an endpoint; `None` if no endpoint accepts the request.
    fn place(&self, model: Option<usize>) -> Option<Run> {
        self.dispatcher.place(&self.job(model))
    }

    /// Sends the request once and decides what to do with the answer.
    async fn try_at(&mut self, mut run: Run, model: &mut Option<usize>, last_event: Option<u64>) -> NextStep {
        let outcome = self.send(&mut run, *model, last_event).await;
        let answer = match outcome {
            Outcome::Answer(answer) => *answer,
            other => {
                self.record_failed_try(&mut run, &other);
                return NextStep::Retry;
            }
        };
        run.record_first_byte();
        let status = answer.response.status();
        let stream = matches!(self.admission.route.kind, Kind::Stream { .. });
        if status.is_success() && stream {
            run.record_verdict(false);
            if let Some(next) = self.escalation(&answer, *model) {
                tracing::info!(
                    request = self.params.id,
                    content = %self.work.request,
                    endpoint = run.endpoint.id,
                    from = *model,
                    to = next,
                    confidence = self.confidence(&answer),
                    urgency = ?self.admission.urgency,
                    took_ms = clock::millis(clock::now().saturating_sub(self.started)),
                    "answer dropped for a larger model"
                );
                *model = Some(next);
                return NextStep::Retry;
            }
            return {
                let hop = Hop::Endpoint(Box::new(run));
                NextStep::Accepted(AcceptedAnswer::Stream(Box::new(ActiveStream { answer, hop, model: *model })))
            };
        }
        self.read_whole_answer(answer, run).await
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
            Outcome::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                (RunOutcome::Replaced, "another server stands at its address".to_owned())
            }
            Outcome::NotRun(status) => (RunOutcome::Full, format!("turned away with {status}")),
            Outcome::Unknown(cause) => (RunOutcome::Broken, cause.clone()),
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

    /// Sends the request to the endpoint of a run.
    pub(super) async fn send(&mut self, run: &mut Run, model: Option<usize>, last_event: Option<u64>) -> Outcome {
        let left = self.left();
        let request = self.request(run, model, last_event, left);
        self.sent += 1;
        let first_byte_timeout = self.first_byte_timeout(run).min(left);
        let network = &*self.dispatcher.settings.network;
        let connected = match upstream::connect(network, run.endpoint.address, first_byte_timeout).await {
            Ok(connected) => connected,
            Err(unreachable) => return Outcome::Unreachable(unreachable),
        };
        run.record_connection();
        run.mark_sent(self.work.clone());
        if self.sent == 1 {
            self.dispatcher.record_first_dispatch(&self.service);
        }
        // The deadline may pass and cancel this call while the try is in flight. From here
        // on the caller must not be told that the request did not run.
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let names = &self.dispatcher.dialect.names;
        let TryResult { outcome, limit, max_rejections } =
            upstream::send(connected, request, &self.params.id, names, first_byte_timeout).await;
        run.record_limit(limit);
        run.record_max_rejections(max_rejections);
        if matches!(outcome, Outcome::Unreachable(_) | Outcome::NotRun(_)) {
            self.may_have_run = ran_before;
        }
        outcome
    }

    /// Reads an answer to its end. One that breaks off may be retried like a lost answer.
    async fn read_whole_answer(&mut self, answer: Answer, mut run: Run) -> NextStep {
        let headers = forwarded_headers(&answer.response);
        let status = answer.response.status();
        if promises_not_run(status) {
            // A signed answer shows that the request ran. This status would tell the caller
            // that it did not, and changing it would invalidate the signature.
            self.record_failed_try(
                &mut run,
                &Outcome::Unknown(format!("answered {status} without saying that it did not run")),
            );
            return NextStep::Retry;
        }
        let (body, _connection) = answer.into_body();
        let bytes = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                self.record_failed_try(&mut run, &Outcome::Broken(error.to_string()));
                return NextStep::Retry;
            }
        };
        let failed = status.is_server_error();
        run.record_verdict(failed);
        let mut response = Response::new(answer::full_body(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let (endpoint, choice) = (Arc::clone(&run.endpoint), run.choice);
        if failed {
            self.record_failure(&mut run, RunOutcome::Failed, format!("failed with {status}"));
            self.tried.push(run.key);
            return NextStep::Failed(Failure { response, status, endpoint, choice });
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

/// Returns whether callers understand a status as a promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT)
}
