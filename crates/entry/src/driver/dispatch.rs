//! Dispatching a request: selecting the endpoint, classifying failures and
//! deciding about retries.

use std::{sync::Arc, time::Duration};

use control::observation::Outcome as Observed;
use endpoint::{Attempt as AttemptId, Dispatch, Error, error::Refusal};
use http::{HeaderName, header};
use route::{endpoint as route_endpoint, endpoint::Failure, endpoint::Target, quality::Cell, retry};
use timeline::{Ran, Step};
use tokio::time::{Instant, sleep};
use world::hash;

use super::{Attempt, Driver};
use crate::{
    buffer::Reply,
    clock,
    dispatcher::{Ending, EndpointQuery, Reservation},
    machine::Event,
    parsing,
    problem::{Kind, Problem},
    request::Work,
};

/// Retry delay in milliseconds for callers whose request no endpoint accepts.
const NO_ENDPOINT_RETRY_MS: u64 = 500;
/// Headers of a plain service's answer that are forwarded to the caller.
const FORWARDED_HEADERS: [HeaderName; 5] =
    [header::CONTENT_TYPE, header::CONTENT_LANGUAGE, header::LOCATION, header::ETAG, header::CACHE_CONTROL];

impl Driver {
    /// Sends the request to an endpoint.
    pub(super) async fn dispatch(&mut self) -> Event {
        if let Err(problem) = self.ensure_version_permitted().await {
            return self.decline(problem);
        }
        let Some(target) = self.request.target(self.version().as_ref()) else {
            return self.decline(Problem::not_run(Kind::Internal, "no version was chosen"));
        };
        let reservation = match self.select_endpoint(target).await {
            Ok(reservation) => reservation,
            Err(problem) => return self.decline(problem),
        };
        self.dispatches += 1;
        self.answer.matched_bytes = 0;
        self.shared.record_step(
            self.request.id(),
            Step::Dispatched {
                attempt: self.dispatches,
                version: self.version(),
                endpoint: reservation.endpoint.clone(),
                reason: reservation.reason.clone(),
            },
        );
        match self.request.work.clone() {
            Work::Chat(_) => self.run(reservation).await,
            Work::Call(call) => {
                let call = call.addressed_to(new_attempt_id(), reservation.address, &self.request);
                self.call(call, reservation).await
            }
        }
    }

    /// Checks that the chosen version may still run, and chooses again if not.
    ///
    /// The version may have been withdrawn while the request waited; a withdrawn
    /// version gets no new work. Once text was sent, the request cannot change
    /// its version and fails with an explicit problem.
    async fn ensure_version_permitted(&mut self) -> Result<(), Problem> {
        let Some(chosen) = &self.chosen else {
            return Ok(());
        };
        let catalog = self.shared.catalog();
        let stops = self.stops();
        if chosen.choice.steps()[chosen.step].renew(&catalog, &stops).is_some() {
            return Ok(());
        }
        if !self.buffer.is_empty() || chosen.step > 0 {
            let detail = "the version was withdrawn before its answer was whole";
            return Err(Problem::not_run(Kind::NoVersion, detail));
        }
        if let Some(chosen) = self.chosen.take() {
            self.shared.dispatcher.discard(chosen.record);
        }
        self.choose_versions().await.map(drop)
    }

    /// Selects an endpoint that serves `target`.
    async fn select_endpoint(&mut self, target: Target) -> Result<Reservation, Problem> {
        let prefix = match &self.request.work {
            Work::Chat(chat) => Some(chat.prefix),
            Work::Call(_) => None,
        };
        let draw = hash::rendezvous(self.request.id().hash(), &self.dispatches.to_le_bytes());
        let cell = Cell::new(self.request.customer(), &self.request.terms.class);
        let stopping = |_| Problem::not_run(Kind::Leaving, "this instance is stopping");
        let query =
            EndpointQuery { target: target.clone(), prefix, avoid: self.excluded_endpoints.clone(), draw, cell };
        let placed = match self.shared.dispatcher.reserve_endpoint(query).await.map_err(stopping)? {
            Err(route_endpoint::Refusal::NoneLeft) if !self.excluded_endpoints.is_empty() => {
                // Every endpoint failed this request once; any may have recovered.
                self.excluded_endpoints.clear();
                let query = EndpointQuery { target, prefix, avoid: Vec::new(), draw, cell };
                self.shared.dispatcher.reserve_endpoint(query).await.map_err(stopping)?
            }
            placed => placed,
        };
        placed.map_err(|refusal| {
            let detail = match refusal {
                route_endpoint::Refusal::NoPool => "no pool serves it; have one added",
                route_endpoint::Refusal::NoneLeft => "all its endpoints are leaving, failing or without the version",
            };
            Problem::not_run(Kind::NoEndpoint, detail).with_retry_after(NO_ENDPOINT_RETRY_MS)
        })
    }

    /// Starts a chat request on the selected endpoint.
    async fn run(&mut self, reservation: Reservation) -> Event {
        let (Work::Chat(chat), Some(chosen)) = (&self.request.work, &self.chosen) else {
            return Event::Fault;
        };
        let permit = &chosen.choice.steps()[chosen.step];
        let limit = chat.max_tokens.map_or(permit.max_output(), |asked| asked.min(permit.max_output()));
        let dispatch = Dispatch {
            attempt: new_attempt_id(),
            address: reservation.address,
            version: permit.version().clone(),
            body: chat.body(permit.version(), limit),
            priority: self.admission.as_ref().map_or(0, |admission| admission.priority),
            deadline: self.request.deadline,
        };
        let started = Instant::now();
        match self.shared.links.endpoint.run(dispatch.clone()).await {
            Ok(run) => {
                self.attempt = Some(Attempt { dispatch, reservation, run: Some(run), started, first_frame: None });
                Event::Started
            }
            Err(error) => self.handle_failure(&error, reservation),
        }
    }

    /// Calls a plain service and takes its complete answer.
    async fn call(&mut self, call: endpoint::service::Call, reservation: Reservation) -> Event {
        let started = Instant::now();
        match self.shared.links.endpoint.call_service(call).await {
            Ok(response) => {
                reservation.end(Ending::Whole { millis: clock::millis(started.elapsed()), tokens: 1 });
                let (parts, body) = response.into_parts();
                let headers = parsing::select_headers(&parts.headers, &FORWARDED_HEADERS);
                self.answer.reply = Some(Arc::new(Reply { status: parts.status, headers, body }));
                Event::Started
            }
            Err(error) => self.handle_failure(&error, reservation),
        }
    }

    /// Records a dispatch that ended without an answer and classifies its failure.
    fn handle_failure(&mut self, error: &Error, reservation: Reservation) -> Event {
        let (ran, failure, event) = match error {
            Error::Refused { refusal, retry_after } => {
                self.failure = retry::Failure::NotRun { retry_after: retry_after.map(clock::millis) };
                let arrived = *refusal != Refusal::Unreachable;
                (Ran::No, endpoint_failure(*refusal), Event::Refused { arrived })
            }
            Error::Unknown { .. } => {
                self.failure = retry::Failure::MayHaveRun;
                (Ran::Unknown, Failure::Broken, Event::Lost)
            }
        };
        let cause = error.to_string();
        self.shared
            .record_step(self.request.id(), Step::Failed { attempt: self.dispatches, ran, cause: cause.clone() });
        let kind = if ran == Ran::No { Kind::NoEndpoint } else { Kind::EndpointFailed };
        let problem = Problem::not_run(kind, cause);
        self.cause = Some(if ran == Ran::No { problem.with_retry_after(self.retry_after()) } else { problem });
        self.expected_ms = reservation.expected_ms;
        self.excluded_endpoints.push(reservation.key());
        reservation.end(Ending::Failed(failure));
        match error {
            Error::Refused { refusal: Refusal::Status(status @ 400..=499), .. } => {
                self.cause = Some(Problem::not_run(Kind::Malformed, format!("the engine refused it: status {status}")));
                Event::Declined
            }
            // The endpoint works but the version does not, so the version guard
            // must count this failure although nothing ran.
            Error::Refused { refusal: Refusal::Status(_), .. } => {
                self.report_to_guard(Observed::Failed);
                self.exclude_failed_version();
                event
            }
            _ => event,
        }
    }

    /// Returns the retry delay for the caller, in milliseconds.
    fn retry_after(&self) -> u64 {
        match self.failure {
            retry::Failure::NotRun { retry_after: Some(after) } => after,
            _ => NO_ENDPOINT_RETRY_MS,
        }
    }

    /// Decides whether to dispatch again, and waits for the decided pause.
    pub(super) async fn retry(&mut self) -> Event {
        let asked = retry::Request {
            repeat: self.request.repeat,
            tries: self.dispatches,
            deadline: self.request.wall_clock_deadline(),
            expected_ms: self.expected_ms,
        };
        match self.shared.dispatcher.request_retry(self.request.customer(), asked, self.failure).await {
            Ok(retry::Decision::Retry { after_ms }) => {
                metrics::counter!("entry_retries_total").increment(1);
                sleep(Duration::from_millis(after_ms)).await;
                Event::Again
            }
            // The final answer is sent at once and contains the retry delay.
            Ok(retry::Decision::GiveUp(reason)) => {
                if let Some(cause) = &mut self.cause {
                    cause.detail = format!("{}; {reason}", cause.detail);
                }
                Event::GiveUp
            }
            Err(_) => Event::GiveUp,
        }
    }
}

/// Returns a new, unique attempt id.
fn new_attempt_id() -> AttemptId {
    AttemptId::parse(&uuid::Uuid::now_v7().to_string()).unwrap_or_else(|_| unreachable!("a UUID is a name"))
}

/// Maps a refusal to the kind of failure counted against the endpoint.
fn endpoint_failure(refusal: Refusal) -> Failure {
    match refusal {
        Refusal::Unreachable => Failure::Broken,
        Refusal::Full => Failure::Full,
        Refusal::NotLoaded => Failure::NotLoaded,
        Refusal::Status(_) => Failure::Error,
    }
}
