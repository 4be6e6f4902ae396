//! `/healthz`, `/readyz`, `/metrics`.
//!
//! Health is told to anybody: the machines' supervisor has no key, and the
//! answers name no customer. Metrics do, and need the operators' key.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;

use super::{Handles, Phase, access};

/// Answers a request that is no call of the service.
pub(super) fn respond<B>(request: &Request<B>, allowed: bool, handles: &Handles) -> Response<Full<Bytes>> {
    if request.method() != Method::GET && request.method() != Method::HEAD {
        return text(StatusCode::METHOD_NOT_ALLOWED, "use GET");
    }
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok"),
        "/readyz" => ready(handles),
        "/metrics" if allowed => text(StatusCode::OK, &handles.metrics.render()),
        "/metrics" => {
            access::count_refusal();
            unauthorized()
        }
        _ => text(StatusCode::NOT_FOUND, "use /healthz, /readyz, /metrics, or the tool `arbutuslug`"),
    }
}

/// Whether callers' work is taken here.
fn ready(handles: &Handles) -> Response<Full<Bytes>> {
    match handles.duty.borrow().phase {
        Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        Phase::Leaving | Phase::Finished => text(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
        Phase::Serving if !handles.config.fresh() => {
            text(StatusCode::SERVICE_UNAVAILABLE, "configuration too old: neither platform nor peers confirm it")
        }
        Phase::Serving => text(StatusCode::OK, "ready"),
    }
}

fn unauthorized() -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::UNAUTHORIZED, "send the operators' key: `Authorization: Bearer KEY`");
    response.headers_mut().insert(header::WWW_AUTHENTICATE, header::HeaderValue::from_static("Bearer"));
    response
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", body.trim_end()))));
    *response.status_mut() = status;
    let plain = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
