//! Answers of this instance's own.
//!
//! A status that promises "not run" (503) is given only where nothing was, or
//! will be, run; it says when to come back. What may have run gets 502 or 504.

use std::{fmt, io, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// A body on its way to a caller; an error ends its connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a request has no endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// No catalog has been read yet.
    NotStarted,
    /// What is known of access keys is too old.
    KeysStale {
        /// Whether another instance knows better.
        elsewhere: bool,
    },
    /// The catalog is known to be replaced, and this instance has not read the newer
    /// one.
    Replaced,
    /// This instance ends before the request could.
    Leaving,
    /// No route has its host and path.
    NoRoute,
    /// Its access key is missing or unknown.
    NoKey,
    /// Its body is longer than allowed.
    TooLarge,
    /// Its body ended early.
    Truncated,
    /// Waiting bodies take all the memory there is for them.
    Memory,
    /// The route's service has no endpoint that takes requests.
    NoEndpoint,
    /// Every endpoint tried turned it away.
    TurnedAway,
    /// Endpoints crash under it.
    Quarantined {
        /// How much longer it is refused.
        left: Duration,
    },
    /// No endpoint takes more requests now, by the limits that they name.
    Throttled {
        /// Time until one does.
        after: Duration,
    },
    /// The time for it ran out before it was run.
    Expired,
    /// It may have run, and no answer came in time.
    TimedOut,
    /// It may have run, and the answer was lost or spoiled.
    Lost,
}

/// Wait told where another instance can serve the request at once.
const ELSEWHERE: Duration = Duration::from_millis(20);
/// Wait told while an instance starts or the store is away: a watch's length.
const STARTING: Duration = Duration::from_secs(1);
/// Wait told when endpoints are missing or full: a queue's usual length.
const BUSY: Duration = Duration::from_millis(400);

impl Refusal {
    /// Its status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotStarted
            | Self::Leaving
            | Self::KeysStale { .. }
            | Self::Replaced
            | Self::Memory
            | Self::NoEndpoint
            | Self::TurnedAway
            | Self::Quarantined { .. }
            | Self::Throttled { .. }
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Truncated => StatusCode::BAD_REQUEST,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    /// When the caller should come back.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            // Whoever told of the newer catalog has it.
            Self::Leaving | Self::Replaced | Self::KeysStale { elsewhere: true } => Some(ELSEWHERE),
            Self::NotStarted | Self::KeysStale { elsewhere: false } => Some(STARTING),
            Self::Memory | Self::NoEndpoint | Self::TurnedAway | Self::Expired => Some(BUSY),
            Self::Quarantined { left: after } | Self::Throttled { after } => Some(*after),
            _ => None,
        }
    }

    /// The answer; `spread` from 0 to 1 keeps callers from returning at once.
    #[must_use]
    pub fn answer(&self, spread: f64) -> Response<Body> {
        let mut response = Response::new(text(self.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        if let Some(after) = self.retry_after() {
            let seconds = after.as_secs_f64() * (1.0 + 0.5 * spread);
            headers.insert(header::RETRY_AFTER, crate::ask::value(&format!("{seconds:.2}")));
        }
        response
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
            Self::Memory => "not run: too many bodies under way; try again shortly",
            Self::NoEndpoint => "not run: no endpoint takes requests now; try again shortly",
            Self::TurnedAway => "not run: every endpoint tried was full or unreachable; try again shortly",
            Self::Quarantined { .. } => "not run: endpoints crashed under it several times; it is refused for a while",
            Self::Throttled { .. } => "not run: no endpoint takes more requests now; try again when told",
            Self::Expired => "not run: its time ran out first",
            Self::TimedOut => "it may have run; no answer came in time",
            Self::Lost => "it may have run; its answer was lost",
        })
    }
}

/// A body of a known length.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// An answer without a body.
#[must_use]
pub fn empty(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = code;
    response
}

fn text(words: String) -> Body {
    full(Bytes::from(words))
}
