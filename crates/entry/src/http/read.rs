//! Reads a request within its size and time limits.

use std::{error::Error, time::Duration};

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use salvo::Request;
use tokio::time::timeout;

use crate::problem::{Kind, Problem};

/// Returns an error if the headers are larger than the limit.
pub(super) fn check_headers(headers: &HeaderMap, limit: usize) -> Result<(), Problem> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= limit {
        return Ok(());
    }
    Err(Problem::not_run(Kind::HeadersTooLarge, format!("{size} bytes of headers; the limit is {limit}")))
}

/// Reads the complete body.
///
/// Both length and time are limited: a caller that sends one byte a minute could
/// otherwise hold memory and a connection for an unlimited time.
pub(super) async fn body(request: &mut Request, limit: usize, within: Duration) -> Result<Bytes, Problem> {
    let too_large = || Problem::not_run(Kind::BodyTooLarge, format!("the limit is {limit} bytes"));
    let content_length = request.headers().get(http::header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    if content_length.and_then(|digits| digits.parse::<usize>().ok()).is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let body = Limited::new(request.take_body(), limit).collect();
    match timeout(within, body).await {
        Err(_) => Err(Problem::not_run(Kind::SlowBody, format!("not whole after {} ms", within.as_millis()))),
        Ok(Err(error)) if is_too_long(&*error) => Err(too_large()),
        Ok(Err(error)) => Err(Problem::not_run(Kind::Malformed, format!("the body broke off: {error}"))),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

fn is_too_long(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if error.is::<LengthLimitError>() {
            return true;
        }
        cause = error.source();
    }
    false
}
