//! Which instances callers should use, and whether this one takes requests.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{
    answer::{self, Body},
    desk::{Desk, peers::Asking},
    front::Origin,
};

/// How long callers may keep an answer, in seconds. Some keep it three times
/// as long, so this bounds how long an instance that has left is still tried;
/// each answer costs a request's worth of processor time.
pub const KEEP_S: u32 = 2;

/// Answers a question for addresses.
pub fn addresses(desk: &Arc<Desk>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != desk.dialect.addresses_path {
        return answer::empty(StatusCode::NOT_FOUND);
    }
    let fronts = desk.fronts(&asking(desk, request));
    if fronts.is_empty() {
        return answer::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let longest = u32::try_from(desk.settings.keep_addresses.as_secs()).unwrap_or(KEEP_S);
    let mut response = Response::new(answer::full((desk.dialect.addresses)(&fronts, KEEP_S.min(longest.max(1)))));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Answers whether this instance takes requests.
pub fn ready(desk: &Arc<Desk>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != desk.dialect.ready_path {
        return answer::empty(StatusCode::NOT_FOUND);
    }
    answer::empty(if desk.ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Who asks, as far as the question and its connection tell.
fn asking(desk: &Desk, request: &Request<Incoming>) -> Asking {
    let domain = request.uri().query().and_then(desk.dialect.asking_domain);
    Asking { domain, from: request.extensions().get().map(|Origin(address)| *address) }
}
