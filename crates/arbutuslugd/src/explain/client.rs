//! Sends a query to an instance.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use relay::explain::Explanation;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

use crate::relaying::listener::EXPLAIN_PATH;

/// Longest time for the whole exchange. An instance with a tenth of a core explains within a second.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Longest answer, in bytes; several times an explanation with a thousand endpoints.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why there is no explanation.
#[derive(Debug)]
pub enum Failure {
    /// The instance does not accept the query.
    Invalid { field: String, cause: String },
    /// The instance has not started yet.
    Starting,
    /// The instance does not know explanations.
    TooOld,
    /// The instance cannot be reached, or its answer did not arrive.
    Unreachable(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { field, cause } => write!(f, "invalid field `{field}`: {cause}"),
            Self::Starting => f.write_str("the instance has not started yet; try again shortly"),
            Self::TooOld => f.write_str("the instance is too old to explain decisions, or no relay listens there"),
            Self::Unreachable(cause) => write!(f, "the instance cannot be reached: {cause}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Asks the instance at an operators' address.
pub async fn ask(address: &str, query: &Value) -> Result<Explanation, Failure> {
    let (status, body) = match timeout(TIMEOUT, post(address, query)).await {
        Ok(answer) => answer.map_err(|error| Failure::Unreachable(error.to_string()))?,
        Err(_) => return Err(Failure::Unreachable(format!("no answer within {} s", TIMEOUT.as_secs()))),
    };
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(|_| Failure::TooOld),
        StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Starting),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            let answer: Value = serde_json::from_slice(&body).map_err(|_| Failure::TooOld)?;
            let text = |name: &str| answer.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
            Err(Failure::Invalid { field: text("field"), cause: text("cause") })
        }
        _ => Err(Failure::TooOld),
    }
}

async fn post(address: &str, query: &Value) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri(EXPLAIN_PATH)
        .header(header::HOST, address)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(query.to_string())))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?;
    Ok((status, body.to_bytes()))
}
