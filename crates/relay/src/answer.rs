//! Responses that this instance generates itself.
//!
//! Callers take 503 as a promise that the request did not and will not run, so it
//! is used only where that holds; where it helps, a `Retry-After` header goes with
//! it. A request that may have run gets 502 or 504.

use std::{fmt, io, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

use crate::{admission::Refused, payload::Payload};

/// Response body sent to a caller; an error closes the caller's connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a request gets no answer from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// This instance has not read a catalog yet.
    NotStarted,
    /// The last confirmation of the access keys is too old to check a key.
    KeysStale {
        /// Whether another instance has a recent confirmation.
        elsewhere: bool,
    },
    /// A newer catalog is known to exist and this instance has not read it.
    Replaced,
    /// This instance is shutting down and may stop before the request could complete.
    Leaving,
    /// No route matches the host and path.
    NoRoute,
    /// The access key is missing or unknown.
    NoKey,
    /// The body is longer than allowed.
    TooLarge,
    /// The body ended early or did not arrive in time.
    Truncated,
    /// The memory for what connections hold is used up.
    Memory,
    /// The body has stopped arriving.
    Stalled,
    /// The route's service has no endpoint that accepts requests.
    NoEndpoint,
    /// Neither this instance nor, as far as it knows, any other one reaches an endpoint of the
    /// route's service.
    Unreachable {
        /// Time for which this instance has reached none.
        lost_for: Duration,
    },
    /// The endpoints survive few rejections, and this instance has no share of them.
    NoShare,
    /// All failure domains with endpoints of the route's service are evacuated.
    Evacuated,
    /// All endpoints of the route's service are leaving.
    EndpointsLeaving,
    /// No try succeeded and no further one is allowed.
    TurnedAway,
    /// The request is quarantined because endpoints crashed while running it.
    Quarantined {
        /// Time until the quarantine ends.
        left: Duration,
    },
    /// All endpoints are at the rate limits that they report.
    Throttled {
        /// Time until an endpoint accepts a request again.
        after: Duration,
    },
    /// All endpoints have asked this instance for a pause.
    Paused {
        /// Time after which the caller should come back.
        after: Duration,
    },
    /// The prompt does not fit into the memory of any engine.
    ExceedsMemory,
    /// The service is above its capacity, and the request would wait for too long.
    Overloaded {
        /// Time until capacity is available.
        after: Duration,
        /// Time in which the callers that were refused can be served.
        spread: Duration,
        /// Expected time in the queue.
        wait: Duration,
        /// Time that was left until the request had to end.
        left: Duration,
        /// Age of the oldest demands of another instance that were used.
        oldest_news: Duration,
    },
    /// The deadline passed before the request ran.
    Expired,
    /// The request may have run, and no answer came in time.
    TimedOut,
    /// The request may have run, and its answer was lost or invalid.
    Lost,
}

/// `Retry-After` when another instance can serve the request at once.
const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(20);
/// `Retry-After` while the instance starts, the store is unreachable, all failure domains are
/// evacuated or all endpoints are leaving: about the duration of one watch.
const RETRY_AFTER_STARTING: Duration = Duration::from_secs(1);
/// `Retry-After` when endpoints are missing or full: the usual queueing time.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(400);
/// Longest `Retry-After` while no endpoint can be reached. Callers that come back late after the
/// end of an outage lose the time that they would have been served in.
const MAX_RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(3);

impl Refusal {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotStarted
            | Self::Leaving
            | Self::KeysStale { .. }
            | Self::Replaced
            | Self::Memory
            | Self::NoEndpoint
            | Self::Unreachable { .. }
            | Self::NoShare
            | Self::Evacuated
            | Self::EndpointsLeaving
            | Self::TurnedAway
            | Self::Quarantined { .. }
            | Self::Throttled { .. }
            | Self::Paused { .. }
            | Self::ExceedsMemory
            | Self::Overloaded { .. }
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Truncated => StatusCode::BAD_REQUEST,
            // A promise that it has not run, unlike 400.
            Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether anybody can cause the refusal at will and as often as they like, with requests that are
    /// never sent to an endpoint.
    #[must_use]
    pub fn is_at_will(&self) -> bool {
        matches!(self, Self::NoRoute | Self::NoKey | Self::TooLarge | Self::Truncated | Self::Memory | Self::Stalled)
    }

    /// Returns the time after which the caller should retry, before jitter.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            // The instance that announced the newer catalog has it.
            Self::Leaving | Self::Replaced | Self::NoShare | Self::KeysStale { elsewhere: true } => {
                Some(RETRY_AFTER_ELSEWHERE)
            }
            Self::NotStarted | Self::KeysStale { elsewhere: false } | Self::Evacuated | Self::EndpointsLeaving => {
                Some(RETRY_AFTER_STARTING)
            }
            Self::Memory | Self::NoEndpoint | Self::TurnedAway | Self::Expired => Some(RETRY_AFTER_BUSY),
            // An outage that has lasted for a while is likely to last as long again.
            Self::Unreachable { lost_for } => Some((*lost_for).clamp(RETRY_AFTER_BUSY, MAX_RETRY_AFTER_OUTAGE)),
            Self::Quarantined { left: after }
            | Self::Throttled { after }
            | Self::Paused { after }
            | Self::Overloaded { after, .. } => Some(*after),
            _ => None,
        }
    }

    /// Returns the longest time by which `Retry-After` is lengthened, so that callers do not all
    /// retry at once.
    pub(crate) fn retry_spread(&self, after: Duration) -> Duration {
        match self {
            Self::Overloaded { spread, .. } => *spread,
            _ => after / 2,
        }
    }

    /// Builds the response; `jitter` from 0 to 1 lengthens `Retry-After`.
    #[must_use]
    pub fn to_response(&self, jitter: f64) -> Response<Body> {
        let mut response = Response::new(text_body(self.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        if let Some(after) = self.retry_after() {
            let seconds = after.as_secs_f64() + self.retry_spread(after).as_secs_f64() * jitter;
            headers.insert(header::RETRY_AFTER, crate::request_params::value(&format!("{seconds:.2}")));
        }
        response
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        let Refused { after, spread, wait, left, oldest_news } = refused;
        Self::Overloaded { after, spread, wait, left, oldest_news }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotStarted => "not run: no configuration read yet; try again shortly",
            Self::KeysStale { .. } => "not run: access keys cannot be checked now; try another address",
            Self::Replaced => "not run: this instance has an old configuration; use another address",
            Self::Leaving => "not run: this instance is leaving; use another address",
            Self::NoRoute => "no route for this host and path",
            Self::NoKey => "the access key is missing or unknown",
            Self::TooLarge => "the body is longer than allowed",
            Self::Truncated => "the body ended early",
            Self::Stalled => "not run: its body has stopped arriving; send it again",
            Self::Memory => "not run: too many requests and bodies under way; try again shortly",
            Self::NoEndpoint => "not run: no endpoint takes requests now; try again shortly",
            Self::Unreachable { .. } => "not run: no endpoint can be reached now; try again shortly",
            Self::NoShare => "not run: only other instances may use the endpoints now; use another address",
            Self::Evacuated => "not run: every endpoint is in an evacuated failure domain; try again shortly",
            Self::EndpointsLeaving => "not run: every endpoint is leaving; try again shortly",
            Self::TurnedAway => "not run: every endpoint tried was full or unreachable; try again shortly",
            Self::Quarantined { .. } => "not run: endpoints crashed under it several times; it is refused for a while",
            Self::Throttled { .. } | Self::Paused { .. } => {
                "not run: no endpoint takes more requests now; try again when told"
            }
            Self::ExceedsMemory => "not run: its prompt is longer than any engine can hold; shorten it",
            Self::Overloaded { .. } => "not run: the service is above its capacity; try again when told",
            Self::Expired => "not run: its time ran out first",
            Self::TimedOut => "it may have run; no answer came in time",
            Self::Lost => "it may have run; its answer was lost",
        })
    }
}

/// Returns a body that holds `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that consists of blocks.
pub fn payload_body(payload: Payload) -> Body {
    payload.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with an empty body.
#[must_use]
pub fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = code;
    response
}

fn text_body(content: String) -> Body {
    full_body(Bytes::from(content))
}
