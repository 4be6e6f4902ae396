//! Answers address requests (which instances callers should use) and readiness checks.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{
    answer::{self, Body},
    dispatcher::{Dispatcher, peers::Caller},
    front::CallerIp,
};

/// Longest time that callers may cache a list of addresses, in seconds.
///
/// Some callers keep it three times as long, so a longer time means that an instance
/// that has left is still tried for longer. A shorter time costs more CPU: an address
/// request takes as much as any other request.
pub const ADDRESS_CACHE_S: u32 = 2;

/// Answers an address request.
pub fn addresses(dispatcher: &Arc<Dispatcher>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != dispatcher.dialect.addresses_path {
        return answer::empty_response(StatusCode::NOT_FOUND);
    }
    let instance_addresses = dispatcher.caller_addresses(&parse_caller(dispatcher, request));
    if instance_addresses.is_empty() {
        return answer::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let max_cache_s = u32::try_from(dispatcher.settings.max_address_cache_time.as_secs()).unwrap_or(ADDRESS_CACHE_S);
    let mut response = Response::new(answer::full_body((dispatcher.dialect.build_addresses)(
        &instance_addresses,
        ADDRESS_CACHE_S.min(max_cache_s.max(1)),
    )));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Answers a readiness check: 200 if this instance accepts requests, otherwise 503.
pub fn ready(dispatcher: &Arc<Dispatcher>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != dispatcher.dialect.ready_path {
        return answer::empty_response(StatusCode::NOT_FOUND);
    }
    answer::empty_response(if dispatcher.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Returns the failure domain and IP address of the caller, as far as known.
fn parse_caller(dispatcher: &Dispatcher, request: &Request<Incoming>) -> Caller {
    let domain = request.uri().query().and_then(dispatcher.dialect.parse_caller_domain);
    Caller { domain, from: request.extensions().get().map(|CallerIp(address)| *address) }
}
