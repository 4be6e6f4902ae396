//! Sends a request once to one endpoint, on a connection of its own.
//!
//! A connection serves one try. Reusing connections would save a round trip, but
//! then data that a server sends after a complete answer, or a close that crosses
//! the next request, breaks that request, and one that must not run twice cannot be
//! sent again. A new connection rules both out.

use std::{io, net::SocketAddr, str::FromStr, time::Duration};

use bytes::Bytes;
use http::{HeaderName, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::{dialect::Names, dispatcher::fleet::Announcement, network::Network};

/// Time limit for connecting: many round trips, and well below the time after which TCP
/// resends a lost first packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Outcome of a try.
#[derive(Debug)]
pub enum Outcome {
    /// No connection was made, so nothing was sent.
    Unreachable(Unreachable),
    /// Nothing was sent, since the endpoint asked for no more requests before the connection was
    /// open.
    Withdrawn,
    /// The endpoint said that it did not and will not run the request.
    NotRun(StatusCode),
    /// The request may have run; no trustworthy answer came.
    Unknown(String),
    /// The request may have run; the endpoint closed the connection before the answer was
    /// complete.
    Broken(String),
    /// An answer whose body is still being received.
    Answer(Box<Answer>),
}

impl Outcome {
    /// Returns the label of the outcome in metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Withdrawn => "withdrawn",
            Self::NotRun(_) => "not run",
            Self::Unknown(_) => "unknown",
            Self::Broken(_) => "broken",
            Self::Answer(_) => "answer",
        }
    }
}

/// Outcome of a try, with what the endpoint said about further requests.
#[derive(Debug)]
pub struct TryResult {
    /// Outcome of the try.
    pub outcome: Outcome,
    /// What the endpoint said about its rate limit, in requests per second.
    pub limit: Announcement<f64>,
    /// What the endpoint said about the rejections per second that it survives.
    pub max_rejections: Announcement<u32>,
    /// Whether the endpoint said that it is leaving.
    pub is_leaving: bool,
    /// Time for which the endpoint asked this instance to send it nothing.
    pub pause: Option<Duration>,
}

impl From<Outcome> for TryResult {
    /// Converts the outcome of a try in which the endpoint said nothing about further requests.
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            limit: Announcement::Nothing,
            max_rejections: Announcement::Nothing,
            is_leaving: false,
            pause: None,
        }
    }
}

/// Why no connection was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreachable {
    /// Cause, as text for a log line.
    pub cause: String,
    /// Whether the connection was refused, which means that the endpoint's process is gone. A
    /// broken network path or a full accept queue causes a timeout instead.
    pub is_refused: bool,
}

/// An open HTTP connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Connected {
    /// Sends requests over the connection.
    pub sender: http1::SendRequest<Full<Bytes>>,
    connection: AbortOnDropHandle<()>,
}

/// An answer whose body is still being received; dropping it cancels the run.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    connection: AbortOnDropHandle<()>,
}

impl Answer {
    /// Whether the answer has neither a length nor chunks, so that its body ends with the
    /// connection, and a closed connection does not show that the body is whole.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        let headers = self.response.headers();
        !headers.contains_key(header::CONTENT_LENGTH) && !headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the body and the task that drives its connection.
    pub fn into_body(self) -> (Incoming, AbortOnDropHandle<()>) {
        (self.response.into_body(), self.connection)
    }
}

/// Sends a request over a connection to an endpoint and waits for the head of its answer.
///
/// `id` is the caller's id of the request, which the answer has to echo.
pub async fn send(
    connected: Connected,
    request: Request<Full<Bytes>>,
    id: &str,
    names: &Names,
    time_limit: Duration,
) -> TryResult {
    let answer = match exchange(connected, request, time_limit).await {
        Ok(answer) => answer,
        Err(outcome) => return outcome.into(),
    };
    let per_s = parse_limit(&answer.response, &names.rate_limit);
    let max_rejections = parse_limit(&answer.response, &names.max_rejections);
    // Another server at the endpoint's address speaks for itself only.
    let is_endpoint = answer.response.status() != StatusCode::MISDIRECTED_REQUEST;
    let is_leaving = is_endpoint && answer.response.headers().contains_key(&names.leaving);
    let pause = parse_pause(&answer.response);
    let outcome = check_answer(answer, id, names);
    let is_answer = matches!(outcome, Outcome::Answer(_));
    let limit = announcement(per_s.filter(|per_s: &f64| per_s.is_finite() && *per_s >= 0.0), is_answer);
    let max_rejections = announcement(max_rejections, is_answer);
    TryResult { outcome, limit, max_rejections, is_leaving, pause }
}

/// Sends a request over a connection and waits for the head of its answer, which is not
/// checked.
///
/// # Errors
///
/// Returns the outcome if there is no answer.
pub async fn exchange(
    connected: Connected,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Answer, Outcome> {
    let Connected { mut sender, connection } = connected;
    match tokio::time::timeout(time_limit, sender.try_send_request(request)).await {
        Err(_) => Err(Outcome::Unknown("no answer in time".into())),
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let cause = error.into_error().to_string();
            Err(if unsent { Outcome::Unreachable(Unreachable::without_answer(cause)) } else { Outcome::Broken(cause) })
        }
        Ok(Ok(response)) => Ok(Answer { response, connection }),
    }
}

/// Returns a limit in an answer's headers, if it is valid.
fn parse_limit<T: FromStr>(response: &Response<Incoming>, name: &HeaderName) -> Option<T> {
    let text = response.headers().get(name)?.to_str().ok()?;
    let limit = text.trim().parse().ok();
    if limit.is_none() {
        tracing::debug!(%name, text, "endpoint's limit cannot be parsed");
    }
    limit
}

/// Returns the time for which a rejection asks this instance to send nothing more. Only the form
/// in seconds is understood, not a date.
fn parse_pause(response: &Response<Incoming>) -> Option<Duration> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds = response.headers().get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|pause| !pause.is_zero())
}

/// Returns what an answer says with a limit or without one. An endpoint that rejects a request
/// need not name its limit.
fn announcement<T>(limit: Option<T>, is_answer: bool) -> Announcement<T> {
    match limit {
        Some(limit) => Announcement::Limit(limit),
        None if is_answer => Announcement::NoLimit,
        None => Announcement::Nothing,
    }
}

/// Connects to an endpoint or another instance.
///
/// # Errors
///
/// Returns [`Unreachable`] with the cause.
pub async fn connect(
    network: &dyn Network,
    address: SocketAddr,
    time_limit: Duration,
) -> Result<Connected, Unreachable> {
    let stream = open_connection(network, address, time_limit).await?;
    stream.set_nodelay(true).map_err(|error| Unreachable::without_answer(error.to_string()))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| Unreachable::without_answer(error.to_string()))?;
    let connection = AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection to an endpoint ended");
        }
    }));
    Ok(Connected { sender, connection })
}

/// Returns whether an endpoint's address refuses connections.
pub async fn is_refused(network: &dyn Network, address: SocketAddr) -> bool {
    probe(network, address).await.is_err_and(|unreachable| unreachable.is_refused)
}

/// Connects to an endpoint to find out whether it can be reached.
///
/// # Errors
///
/// Returns [`Unreachable`] with the cause if it cannot.
pub async fn probe(network: &dyn Network, address: SocketAddr) -> Result<(), Unreachable> {
    open_connection(network, address, CONNECT_TIMEOUT).await.map(drop)
}

/// Opens a TCP connection to an endpoint.
async fn open_connection(
    network: &dyn Network,
    address: SocketAddr,
    time_limit: Duration,
) -> Result<TcpStream, Unreachable> {
    match tokio::time::timeout(CONNECT_TIMEOUT.min(time_limit), network.connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
            Err(Unreachable { cause: error.to_string(), is_refused })
        }
        Err(_) => Err(Unreachable::without_answer("no connection in time".into())),
    }
}

impl Unreachable {
    fn without_answer(cause: String) -> Self {
        Self { cause, is_refused: false }
    }
}

/// Checks an answer's headers to find whether the request ran and the answer is valid.
pub fn check_answer(answer: Answer, id: &str, names: &Names) -> Outcome {
    let headers = answer.response.headers();
    let status = answer.response.status();
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(status);
    }
    // A faulty server may send the answer of another request; without this check it would
    // reach the wrong caller.
    if headers.get(&names.request).is_none_or(|echo| echo.as_bytes() != id.as_bytes()) {
        return Outcome::Unknown("the answer belongs to another request".into());
    }
    if !headers.contains_key(&names.signature) {
        return Outcome::Unknown("the answer is not signed".into());
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Outcome::Unknown("the answer has a content encoding that was not requested".into());
    }
    Outcome::Answer(Box::new(answer))
}
