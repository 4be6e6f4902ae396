//! Questions between instances whether an endpoint accepts connections.
//!
//! An endpoint that refuses one instance may have crashed, or only that instance's path to it
//! is cut. Another instance tells these apart.

use std::{net::SocketAddr, time::Duration};

use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    answer::{self, Body},
    dispatcher::Dispatcher,
    network::Network,
    payload::Payload,
    upstream,
};

/// HTTP path of a question, before the endpoint's address.
const PATH: &str = "/accepts/";

/// Time limit for an answer. A request may wait for it before it is retried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Whether a request between instances is a question about an endpoint.
#[must_use]
pub fn is_inquiry<B>(request: &Request<B>) -> bool {
    request.uri().path().starts_with(PATH)
}

/// Answers whether an endpoint accepts connections: 200 if it does, 503 if not.
pub async fn answer(dispatcher: &Dispatcher, request: &Request<Incoming>) -> Response<Body> {
    let address = request.uri().path().strip_prefix(PATH).and_then(|text| text.parse().ok());
    // Connections are made to endpoints only, whatever a request names.
    let Some(address) = address.filter(|address| dispatcher.is_endpoint_address(*address)) else {
        return answer::empty_response(StatusCode::NOT_FOUND);
    };
    let accepts = upstream::probe(&*dispatcher.settings.network, address).await.is_ok();
    answer::empty_response(if accepts { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Asks another instance whether an endpoint accepts connections. Without an answer in time it
/// counts as not accepting them.
pub async fn accepts(network: &dyn Network, instance: SocketAddr, endpoint: SocketAddr) -> bool {
    let status = timeout(ANSWER_TIMEOUT, ask(network, instance, endpoint)).await;
    matches!(status, Ok(Some(StatusCode::OK)))
}

async fn ask(network: &dyn Network, instance: SocketAddr, endpoint: SocketAddr) -> Option<StatusCode> {
    let connected = upstream::connect(network, instance, ANSWER_TIMEOUT).await.ok()?;
    let request = Request::get(format!("{PATH}{endpoint}"))
        .header(header::HOST, instance.to_string())
        .body(Payload::default())
        .ok()?;
    Some(upstream::exchange(connected, request, ANSWER_TIMEOUT).await.ok()?.response.status())
}
