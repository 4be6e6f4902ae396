//! What an endpoint states about itself in the head of a response.
//!
//! All statements are read here, whatever the request was, so that none is seen on one path and
//! missed on another.

use std::{str::FromStr, time::Duration};

use http::{HeaderMap, HeaderName, Response, StatusCode, header};

use crate::dialect::Names;

/// Longest time in a rejection that is taken for a pause. A longer one is a mistake, such as a
/// time since the epoch.
const MAX_PLAUSIBLE_PAUSE: Duration = Duration::from_hours(24);

/// Values by which an endpoint says that it does not leave.
const NEGATIONS: [&[u8]; 3] = [b"", b"0", b"false"];

/// What a response revealed about one of the endpoint's limits.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Announcement<T> {
    /// Nothing: no answer was received, or a refusal that states no limit.
    #[default]
    Nothing,
    /// The response states a limit, for all instances together.
    Limit(T),
    /// The response states no limit.
    NoLimit,
}

/// What an endpoint states about itself.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statements {
    /// Its rate limit, in requests per second.
    pub rate_limit: Announcement<f64>,
    /// The rejections per second that it survives.
    pub max_rejections: Announcement<u32>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this instance.
    pub pause: Option<Duration>,
}

impl Statements {
    /// Reads the statements in a response.
    ///
    /// With `is_answer`, a limit that is missing is none. A rejection, or the response to a query,
    /// need not name its limits.
    #[must_use]
    pub fn read<B>(response: &Response<B>, names: &Names, is_answer: bool) -> Self {
        // Another server at the endpoint's address speaks for itself only.
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Self::default();
        }
        let per_s = parse(response, &names.rate_limit).filter(|per_s: &f64| per_s.is_finite() && *per_s >= 0.0);
        Self {
            rate_limit: announcement(per_s, is_answer),
            max_rejections: announcement(parse(response, &names.max_rejections), is_answer),
            is_leaving: says_leaving(response.headers(), names),
            pause: parse_pause(response),
        }
    }
}

/// Whether the headers of a response say that its endpoint leaves.
pub fn says_leaving(headers: &HeaderMap, names: &Names) -> bool {
    headers.get(&names.leaving).is_some_and(|value| !NEGATIONS.contains(&value.as_bytes().trim_ascii()))
}

/// Returns what a response says with a limit or without one.
fn announcement<T>(limit: Option<T>, is_answer: bool) -> Announcement<T> {
    match limit {
        Some(limit) => Announcement::Limit(limit),
        None if is_answer => Announcement::NoLimit,
        None => Announcement::Nothing,
    }
}

/// Returns the time for which a rejection asks this instance to send nothing more. Only the form
/// in seconds is understood, not a date.
fn parse_pause<B>(response: &Response<B>) -> Option<Duration> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let pause = Duration::try_from_secs_f64(parse(response, &header::RETRY_AFTER)?).ok()?;
    (!pause.is_zero() && pause <= MAX_PLAUSIBLE_PAUSE).then_some(pause)
}

/// Returns the value of a header, if it is valid.
fn parse<T: FromStr, B>(response: &Response<B>, name: &HeaderName) -> Option<T> {
    let text = response.headers().get(name)?.to_str().ok()?;
    let value = text.trim().parse().ok();
    if value.is_none() {
        tracing::debug!(%name, text, "statement of an endpoint cannot be parsed");
    }
    value
}
