//! One listener, one task per connection, all ended with the last handle.

use std::{convert::Infallible, fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::{CancellationToken, DropGuard};
use world::time::millis;

/// Largest body taken, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Pause after a failed accept, so that a full table of sockets is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Header that tells when to come back, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "retry-after-ms";

/// A running listener; ends with its value.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    _guard: DropGuard,
}

/// The connection ends here, unanswered or amid its answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in broke the connection as its switch says; switch it to `up`")
    }
}

impl std::error::Error for Broken {}

pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;
pub(crate) type Answer = Result<Response<Body>, Broken>;

/// An answer given in place of what was asked for.
pub(crate) type Refusal = Box<Response<Body>>;

/// A request with its body read whole.
pub(crate) type Call = Request<Bytes>;

/// Listens on `addr` and answers every call by `answer`.
pub(crate) async fn bind<S, F, A>(addr: SocketAddr, state: Arc<S>, answer: F) -> io::Result<Server>
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Call) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let stop = CancellationToken::new();
    let guard = stop.clone().drop_guard();
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) => drop(connections.spawn(serve(socket, state.clone(), answer.clone()))),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
    });
    Ok(Server { addr, _guard: guard })
}

async fn serve<S, F, A>(socket: TcpStream, state: Arc<S>, answer: F)
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    drop(socket.set_nodelay(true));
    let answer = &answer;
    let service = service_fn(move |request: Request<Incoming>| {
        let state = state.clone();
        async move {
            let (head, body) = request.into_parts();
            match Limited::new(body, MAX_BODY).collect().await {
                Ok(body) => answer(state, Request::from_parts(head, body.to_bytes())).await,
                Err(_) => Ok(problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is cut short or over 4 MiB")),
            }
        }
    });
    // A broken connection is this program's purpose, so its error is no news.
    drop(http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(socket), service).await);
}

/// An answer of one JSON value.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers have text keys and finite numbers");
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An error with a message for people.
pub(crate) fn problem(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": message }))
}

/// An error that says when to come back.
pub(crate) fn later(status: StatusCode, message: &str, wait: Duration) -> Response<Body> {
    let mut response = problem(status, message);
    let wait = millis(wait).max(1);
    response.headers_mut().insert(RETRY_AFTER_MS, HeaderValue::from(wait));
    response
}

/// A body that is already there.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Reads a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, Refusal> {
    serde_json::from_slice(call.body()).map_err(|error| {
        Box::new(problem(StatusCode::BAD_REQUEST, &format!("the body is not the JSON asked for: {error}")))
    })
}

/// Answers `POST /switch`.
pub(crate) fn switch<T: DeserializeOwned>(call: &Call, set: impl FnOnce(T)) -> Response<Body> {
    match parse(call) {
        Ok(switch) => {
            set(switch);
            json(StatusCode::OK, &serde_json::json!({}))
        }
        Err(refusal) => *refusal,
    }
}

/// A header's text, empty when there is none.
pub(crate) fn header<'a>(call: &'a Call, name: &str) -> &'a str {
    call.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// A query parameter, percent-decoded.
pub(crate) fn query(call: &Call, name: &str) -> Option<String> {
    let pairs = call.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, value)| decode(value))
}

/// A query parameter as a number, `default` when it is none.
pub(crate) fn number(call: &Call, name: &str, default: u64) -> u64 {
    query(call, name).and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Undoes percent encoding.
pub(crate) fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
