//! Sends a request once to one endpoint, on a connection of its own.
//!
//! A connection serves one try. Reusing connections would save a round trip, but
//! then data that a server sends after a complete answer, or a close that crosses
//! the next request, breaks that request, and one that must not run twice cannot be
//! sent again. A new connection rules both out.

use std::{io, net::SocketAddr, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response, StatusCode, header};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use overhead::{AnswerBody, Limited, MAX_HEAD_BYTES, Overhead};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::{buffer, dialect::Names, network::Network, payload::Payload, statements::Statements};

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
    /// The request has run, and no memory is left here for its answer, whichever endpoint gives it.
    NotHeld(String),
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
            Self::NotHeld(_) => "not held",
            Self::Answer(_) => "answer",
        }
    }
}

impl From<buffer::Fault> for Outcome {
    fn from(fault: buffer::Fault) -> Self {
        match fault {
            buffer::Fault::Broken(cause) => Self::Broken(cause),
            buffer::Fault::Memory => Self::NotHeld(fault.to_string()),
            buffer::Fault::TooLong | buffer::Fault::Unfinished => Self::Unknown(fault.to_string()),
        }
    }
}

/// Outcome of a try, with what the endpoint stated about itself.
#[derive(Debug)]
pub struct TryResult {
    /// Outcome of the try.
    pub outcome: Outcome,
    /// What the endpoint stated about itself.
    pub statements: Statements,
}

impl From<Outcome> for TryResult {
    /// Converts the outcome of a try in which the endpoint stated nothing.
    fn from(outcome: Outcome) -> Self {
        Self { outcome, statements: Statements::default() }
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
    sender: http1::SendRequest<Payload>,
    connection: AbortOnDropHandle<()>,
    overhead: Overhead,
}

/// An answer whose body is still being received; dropping it cancels the run.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<AnswerBody>,
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
    pub fn into_body(self) -> (AnswerBody, AbortOnDropHandle<()>) {
        (self.response.into_body(), self.connection)
    }
}

/// An answer that is awaited, for as long as it takes. Dropping it cancels the run.
pub type Pending = BoxFuture<'static, Result<Answer, Outcome>>;

/// Sends a request over a connection, which serves no other one.
#[must_use]
pub fn start(connected: Connected, request: Request<Payload>) -> Pending {
    let Connected { mut sender, connection, overhead } = connected;
    let answer = async move {
        match sender.try_send_request(request).await {
            Ok(response) if !is_final(response.status()) => {
                Err(Outcome::Unknown(format!("{} is no status of an answer", response.status().as_str())))
            }
            Ok(response) => Ok(Answer { response: response.map(|body| AnswerBody::new(body, overhead)), connection }),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(if unsent {
                    Outcome::Unreachable(Unreachable::without_answer(cause))
                } else {
                    Outcome::Broken(cause)
                })
            }
        }
    };
    answer.boxed()
}

/// Whether a status is one that a final response may have, by RFC 9110, section 15. The HTTP library takes
/// any other number of three digits for a status too.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends a request over a connection and waits for the head of its answer, of which only the status is
/// checked. The connection serves no other request.
///
/// # Errors
///
/// Returns the outcome if there is no answer.
pub async fn exchange(
    connected: Connected,
    request: Request<Payload>,
    time_limit: Duration,
) -> Result<Answer, Outcome> {
    let answer = tokio::time::timeout(time_limit, start(connected, request)).await;
    answer.unwrap_or_else(|_| Err(Outcome::Unknown("no answer in time".into())))
}

/// Checks an endpoint's answer, and reads what it states about the endpoint.
///
/// `id` is the caller's id of the request, which the answer has to echo.
pub fn check_try(answer: Result<Answer, Outcome>, id: &str, names: &Names) -> TryResult {
    let answer = match answer {
        Ok(answer) => answer,
        Err(outcome) => return outcome.into(),
    };
    let fault = find_fault(&answer.response, id, names);
    let statements = Statements::read(&answer.response, names, fault.is_none());
    TryResult { outcome: fault.unwrap_or_else(|| Outcome::Answer(Box::new(answer))), statements }
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
    let stream = Limited::new(stream);
    let overhead = stream.overhead();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Unreachable::without_answer(error.to_string()))?;
    let connection = AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection to an endpoint ended");
        }
    }));
    Ok(Connected { sender, connection, overhead })
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
    find_fault(&answer.response, id, names).unwrap_or_else(|| Outcome::Answer(Box::new(answer)))
}

/// Returns the outcome of a try whose answer is a rejection or invalid.
fn find_fault<B>(response: &Response<B>, id: &str, names: &Names) -> Option<Outcome> {
    let (headers, status) = (response.headers(), response.status());
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Outcome::NotRun(status));
    }
    // A faulty server may send the answer of another request; without this check it would
    // reach the wrong caller.
    if headers.get(&names.request).is_none_or(|echo| echo.as_bytes() != id.as_bytes()) {
        return Some(Outcome::Unknown("the answer belongs to another request".into()));
    }
    if !headers.contains_key(&names.signature) {
        return Some(Outcome::Unknown("the answer is not signed".into()));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Some(Outcome::Unknown("the answer has a content encoding that was not requested".into()));
    }
    None
}
