//! Secrets that never show.

use std::fmt;

use subtle::ConstantTimeEq;

/// Shortest secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// A secret, printable ASCII; `Debug` shows none of it.
#[derive(Clone)]
pub struct Secret(std::sync::Arc<str>);

impl Secret {
    /// A secret at hand.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// The secret itself.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `given` is the secret, in time that tells only its length.
    #[must_use]
    pub fn matches(&self, given: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(given).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
