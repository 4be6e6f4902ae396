//! One try of a request at one endpoint, on a connection of its own.
//!
//! A connection serves one try. A kept one would save a round trip, but what
//! a server sends after a complete answer, or a close that crosses the next
//! request, then spoils that request, and one that must not run twice cannot
//! be sent again. A new connection rules both out.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::{desk::fleet::Said, dialect::Names};

/// Longest wait for a connection: many round trips, and well below the wait
/// for a lost first packet's repetition.
const CONNECT: Duration = Duration::from_millis(400);

/// How a try ended.
#[derive(Debug)]
pub enum Outcome {
    /// No connection; nothing was sent.
    Unreachable(Unreachable),
    /// The endpoint said that it did not and will not run it.
    NotRun(StatusCode),
    /// It may have run; no trustworthy answer came.
    Unknown(String),
    /// It may have run; the endpoint's side ended the connection before the answer's
    /// end.
    Broken(String),
    /// An answer; its body is still on the way.
    Answer(Box<Answer>),
}

/// What a try brought.
#[derive(Debug)]
pub struct Tried {
    /// How it ended.
    pub outcome: Outcome,
    /// What the endpoint said of its limit.
    pub limit: Said,
}

impl From<Outcome> for Tried {
    /// A try of which the endpoint said nothing.
    fn from(outcome: Outcome) -> Self {
        Self { outcome, limit: Said::Nothing }
    }
}

/// Why there is no connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreachable {
    /// In words for a log line.
    pub cause: String,
    /// Whether nobody listens there: the endpoint's process is gone, while a lost
    /// path or a long queue of connections is silent.
    pub is_refused: bool,
}

/// An answer whose body is still on the way; dropping it ends the run.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    connection: AbortOnDropHandle<()>,
}

impl Answer {
    /// The body, and the connection that it comes by.
    pub fn into_body(self) -> (Incoming, AbortOnDropHandle<()>) {
        (self.response.into_body(), self.connection)
    }
}

/// Sends a request to an endpoint and waits for the head of its answer.
///
/// `id` is the caller's id of the request, as the answer has to echo it.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    id: &str,
    names: &Names,
    patience: Duration,
) -> Tried {
    let (mut sender, connection) = match connect(address, patience).await {
        Ok(connected) => connected,
        Err(unreachable) => return Outcome::Unreachable(unreachable).into(),
    };
    let response = match tokio::time::timeout(patience, sender.try_send_request(request)).await {
        Err(_) => return Outcome::Unknown("no answer in time".into()).into(),
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let cause = error.into_error().to_string();
            let outcome =
                if unsent { Outcome::Unreachable(Unreachable::silent(cause)) } else { Outcome::Broken(cause) };
            return outcome.into();
        }
        Ok(Ok(response)) => response,
    };
    let per_s = limit(&response, names);
    let outcome = judge(response, id, names, connection);
    let limit = match (per_s, &outcome) {
        (Some(per_s), _) => Said::Limit(per_s),
        (None, Outcome::Answer(_)) => Said::NoLimit,
        // Who turns a request away may leave its limit out.
        (None, _) => Said::Nothing,
    };
    Tried { outcome, limit }
}

/// The limit that an answer names, if it names one that reads.
fn limit(response: &Response<Incoming>, names: &Names) -> Option<f64> {
    let text = response.headers().get(&names.limit)?.to_str().ok()?;
    let per_s = text.trim().parse().ok().filter(|per_s: &f64| per_s.is_finite() && *per_s >= 0.0);
    if per_s.is_none() {
        tracing::debug!(text, "an endpoint's limit does not read");
    }
    per_s
}

/// Connects to an endpoint; the connection ends with the returned task.
///
/// # Errors
///
/// [`Unreachable`], with the cause.
pub async fn connect(
    address: SocketAddr,
    patience: Duration,
) -> Result<(http1::SendRequest<Full<Bytes>>, AbortOnDropHandle<()>), Unreachable> {
    let stream = open(address, patience).await?;
    stream.set_nodelay(true).map_err(|error| Unreachable::silent(error.to_string()))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| Unreachable::silent(error.to_string()))?;
    let connection = AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection to an endpoint ended");
        }
    }));
    Ok((sender, connection))
}

/// Whether nobody listens at an endpoint's address.
pub async fn is_refused(address: SocketAddr) -> bool {
    open(address, CONNECT).await.is_err_and(|unreachable| unreachable.is_refused)
}

async fn open(address: SocketAddr, patience: Duration) -> Result<TcpStream, Unreachable> {
    match tokio::time::timeout(CONNECT.min(patience), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
            Err(Unreachable { cause: error.to_string(), is_refused })
        }
        Err(_) => Err(Unreachable::silent("no connection in time".into())),
    }
}

impl Unreachable {
    fn silent(cause: String) -> Self {
        Self { cause, is_refused: false }
    }
}

fn judge(response: Response<Incoming>, id: &str, names: &Names, connection: AbortOnDropHandle<()>) -> Outcome {
    let headers = response.headers();
    let status = response.status();
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(status);
    }
    // The answer of an earlier request on a server's confused connection would
    // reach the wrong caller; its id tells.
    if headers.get(&names.request).is_none_or(|echo| echo.as_bytes() != id.as_bytes()) {
        return Outcome::Unknown("the answer is another request's".into());
    }
    if !headers.contains_key(&names.signature) {
        return Outcome::Unknown("the answer is not signed".into());
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Outcome::Unknown("the answer is encoded, which nobody asked for".into());
    }
    Outcome::Answer(Box::new(Answer { response, connection }))
}
