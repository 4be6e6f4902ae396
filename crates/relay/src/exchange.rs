//! Handles one request: admits it, tries endpoints and answers the caller.
//!
//! A request is sent to one endpoint after another until an answer is accepted, within
//! the route's attempts, the retry allowance and the deadline. A request that must not
//! run twice is sent again only if no endpoint can have run it: each one so far was
//! unreachable or said that it did not run the request.
//! Nothing is sent to the caller before an answer is accepted. After that, a stream
//! may continue at another endpoint after a whole event, under the headers of the
//! first one.

mod admit;
mod answer_length;
mod carried;
mod crash_check;
pub(crate) mod explain;
mod forwarding;
mod hop;
mod passage;
pub(crate) mod plan;
mod read_ahead;
mod send;
mod silent;
mod stream;
mod tries;
mod whole;

use std::sync::Arc;

use http::{Request, Response, header};
use hyper::body::Incoming;

use crate::{
    answer::{Body, Refusal},
    clock,
    dispatcher::Dispatcher,
    request_params::{RequestParams, end_to_end},
    unsent::Unsent,
    write_timeout::WriteTimeout,
};

pub use forwarding::is_forwarded;

/// Who sent a request to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which forwards a caller's request.
    Instance,
}

/// Serves one request and returns the response.
pub async fn serve(dispatcher: Arc<Dispatcher>, request: Request<Incoming>, origin: Origin) -> Response<Body> {
    let unsent = request.extensions().get::<Unsent>().cloned().unwrap_or_default();
    let write_timeout = request.extensions().get::<WriteTimeout>().cloned();
    let version = request.version();
    let (mut exchange, in_flight) = match admit::admit(&dispatcher, request, origin).await {
        Ok(admitted) => admitted,
        Err((params, refusal)) => return refuse(&dispatcher, &params, &refusal, None, origin),
    };
    if let Some(write_timeout) = write_timeout {
        write_timeout.set(exchange.limit.saturating_sub(exchange.started), &dispatcher.stalled_callers);
    }
    let limit = tokio::time::Instant::now() + exchange.left();
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout_at(limit, exchange.run()) => {
            result.unwrap_or_else(|_| Err(exchange.refusal_for_caller(Refusal::Expired)))
        }
        // Else the end of the process would close the connection without a word.
        () = dispatcher.wait_until_serving_ends() => Err(exchange.refusal_for_caller(Refusal::Leaving)),
    };
    let mut response = match result {
        Ok(tries::AcceptedAnswer::Whole(response)) => response,
        Ok(tries::AcceptedAnswer::Stream(active)) => stream::forward(exchange, *active),
        Err(refusal) => refuse(&dispatcher, &exchange.params, &refusal, Some(&exchange), origin),
    };
    if dispatcher.is_draining() {
        response.headers_mut().insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    unsent.track(response, version, in_flight)
}

/// Logs and counts a refused request and builds the response.
fn refuse(
    dispatcher: &Dispatcher,
    params: &RequestParams,
    refusal: &Refusal,
    exchange: Option<&tries::Exchange>,
    origin: Origin,
) -> Response<Body> {
    if !refusal.is_at_will() || dispatcher.refusal_log.admits() {
        log_refused(dispatcher, params, refusal, exchange);
    }
    metrics::counter!("relay_refusals_total", "status" => refusal.status().as_str().to_owned()).increment(1);
    let mut response = refusal.to_response(rand::random());
    if origin == Origin::Instance {
        forwarding::mark_refused(&mut response, refusal);
    }
    if matches!(refusal, Refusal::TooLarge | Refusal::Truncated | Refusal::Memory | Refusal::Stalled)
        || dispatcher.is_draining()
    {
        // The rest of the body may still arrive and must not be read as the next request.
        response.headers_mut().insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}

fn log_refused(dispatcher: &Dispatcher, params: &RequestParams, refusal: &Refusal, exchange: Option<&tries::Exchange>) {
    let age = dispatcher.keys_age().map(clock::millis);
    let catalog = dispatcher.catalog().map(|catalog| catalog.version);
    tracing::info!(
        request = params.id,
        content = exchange.map(|e| e.work.request.to_string()),
        refused = ?refusal,
        status = refusal.status().as_u16(),
        route = exchange.map(|e| e.admission.route.name.as_str()),
        service = exchange.map(|e| e.service.as_str()),
        team = exchange.and_then(|e| e.admission.customer.as_ref()).map(|customer| customer.name.as_str()),
        rank = exchange.map(tries::Exchange::rank),
        tries = exchange.map(|e| e.sent),
        cause = exchange.map(|e| e.cause.as_str()),
        took_ms = exchange.map(|e| clock::millis(clock::now().saturating_sub(e.started))),
        catalog,
        keys_age_ms = age,
        "request refused"
    );
}

/// Returns the headers of an endpoint's answer that are forwarded to the caller.
fn forwarded_headers<B>(response: &Response<B>) -> http::HeaderMap {
    let mut headers = end_to_end(response.headers());
    forwarding::remove_instance_headers(&mut headers);
    headers
}
