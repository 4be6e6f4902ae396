//! HTTP/1.1 client of the object API (docs/design/outside-protocols.md).

mod members;
mod wire;

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::api::{Answer, Call, Fault, Store};

/// Time limit for connecting. A call without a connection certainly had no effect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which to try again after a 429 that names none.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest answer, in bytes. It is far more than arrives within the time limit of a call, unless it is sent without end.
const MAX_ANSWER: usize = 64 << 20;
/// Header with the time after which to try again, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// The platform's object API at one address.
pub struct Client {
    base: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    members: members::Decoder,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("base", &self.base).finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client that connects at the first call.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { base: format!("http://{address}"), http, members: members::Decoder::default() }
    }

    async fn exchange(&self, call: Call) -> Result<Answer, Fault> {
        let request = self.request(&call)?;
        let response = self.http.request(request).await.map_err(|error| fault_of(&error))?;
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(Fault::Busy { retry_after: retry_after(&response) });
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Fault::Down { cause: "the platform answers 503".into() });
        }
        let body = read_body(response).await?;
        self.answer(&call, status, &body)
    }

    fn answer(&self, call: &Call, status: StatusCode, body: &[u8]) -> Result<Answer, Fault> {
        match (call, status) {
            (_, StatusCode::PRECONDITION_FAILED) => {
                wire::read(body).map(|wire::Version { version }| Answer::Conflict(version))
            }
            (_, StatusCode::GONE) => wire::read(body).map(|wire::Oldest { oldest }| Answer::Compacted { oldest }),
            (_, StatusCode::NOT_FOUND) => Ok(Answer::Absent),
            (Call::Get { .. }, StatusCode::OK) => wire::read::<wire::Object>(body).map(|o| Answer::Found(o.into())),
            (Call::List { .. }, StatusCode::OK) => wire::read::<wire::Listing>(body).map(Answer::from),
            (Call::Watch { .. }, StatusCode::OK) => wire::read::<wire::Changes>(body).map(Answer::from),
            (Call::Instances, StatusCode::OK) => self.members.decode(body).map(Answer::Instances),
            (_, StatusCode::OK | StatusCode::CREATED) => {
                wire::read(body).map(|wire::Version { version }| Answer::Written(version))
            }
            // A 4xx status means that the call had no effect; any other may follow an effect.
            (_, status) if status.is_client_error() => Err(Fault::Refused { message: refusal(status, body) }),
            (_, status) => Err(Fault::Lost { cause: refusal(status, body) }),
        }
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Fault> {
        let (method, path) = target(call);
        let mut builder = Request::builder().method(method).uri(format!("{}{path}", self.base));
        let mut body = Bytes::new();
        match call {
            Call::Create { value, .. } => {
                builder = builder.header(header::IF_NONE_MATCH, "*").header(header::CONTENT_TYPE, "application/json");
                body = value.clone();
            }
            Call::Update { version, value, .. } => {
                builder = builder
                    .header(header::IF_MATCH, format!("\"{version}\""))
                    .header(header::CONTENT_TYPE, "application/json");
                body = value.clone();
            }
            Call::Delete { version, .. } => builder = builder.header(header::IF_MATCH, format!("\"{version}\"")),
            _ => {}
        }
        builder.body(Full::new(body)).map_err(|error| Fault::Refused { message: error.to_string() })
    }
}

impl Store for Client {
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Answer, Fault>> {
        Box::pin(self.exchange(call))
    }
}

/// Returns the method and path of a call. Keys consist of names and `/` (see `world`), so
/// nothing needs escaping.
fn target(call: &Call) -> (Method, String) {
    match call {
        Call::Get { key } => (Method::GET, format!("/objects/{key}")),
        Call::Create { key, .. } | Call::Update { key, .. } => (Method::PUT, format!("/objects/{key}")),
        Call::Delete { key, .. } => (Method::DELETE, format!("/objects/{key}")),
        Call::List { prefix, after, limit, keys_only } => {
            (Method::GET, format!("/objects?prefix={prefix}&after={after}&limit={limit}&keys_only={keys_only}"))
        }
        Call::Watch { prefix, from, wait } => {
            (Method::GET, format!("/watch?prefix={prefix}&from={from}&wait_ms={}", wait.as_millis()))
        }
        Call::Instances => (Method::GET, "/instances".into()),
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> String {
    let text: String = String::from_utf8_lossy(body).chars().take(200).collect();
    format!("{status} {text}")
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, Fault> {
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await;
    Ok(body.map_err(|error| Fault::Lost { cause: error.to_string() })?.to_bytes())
}

fn retry_after(response: &Response<Incoming>) -> Duration {
    let header = response.headers().get(RETRY_AFTER_MS).and_then(|value| value.to_str().ok()?.parse().ok());
    header.map_or(RETRY_AFTER, Duration::from_millis)
}

/// Converts an error of the HTTP client. Only a failed connect shows that the call had no
/// effect: over an open connection the request may have been sent before the error.
fn fault_of(error: &legacy::Error) -> Fault {
    let cause = error.to_string();
    if error.is_connect() { Fault::Down { cause } } else { Fault::Lost { cause } }
}
