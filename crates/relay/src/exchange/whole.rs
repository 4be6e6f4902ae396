//! Reads answers that are handed to callers as a whole.

use http::{Response, StatusCode};

use crate::{
    buffer,
    dispatcher::Reservation,
    payload::Payload,
    upstream::{Answer, Outcome},
};

/// Longest answer that is buffered, in bytes: several times the longest request. All answers and
/// request bodies together are limited by the settings.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reads an answer to its end.
pub(super) async fn read_whole(answer: Answer, memory: Reservation) -> Result<Response<Payload>, Outcome> {
    let status = answer.response.status();
    if promises_not_run(status) {
        // A signed answer shows that the request ran. This status would tell the caller
        // that it did not, and changing it would invalidate the signature.
        return Err(Outcome::Unknown(format!("answered {status} without saying that it did not run")));
    }
    let mut whole = Response::new(());
    *whole.status_mut() = status;
    whole.headers_mut().clone_from(answer.response.headers());
    let (body, _connection) = answer.into_body();
    let bytes = buffer::read_blocks(body, MAX_ANSWER_BYTES, memory).await?;
    Ok(whole.map(|()| bytes))
}

/// Returns whether callers understand a status as a promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT)
}
