//! Who may ask.

use http::{HeaderMap, header::AUTHORIZATION};
use settings::Secret;

const SCHEME: &[u8] = b"Bearer ";

/// Whether a request carries the operators' key.
///
/// Compared in a time that does not tell how much was right: otherwise a
/// guesser finds the key byte by byte.
pub(super) fn allowed(headers: &HeaderMap, key: &Secret) -> bool {
    let given = headers.get(AUTHORIZATION).and_then(|value| value.as_bytes().strip_prefix(SCHEME));
    given.is_some_and(|given| key.matches(given))
}

/// Counts a request turned away.
pub(super) fn count_refusal() {
    metrics::counter!("operator_refused_total", "why" => "key").increment(1);
}
