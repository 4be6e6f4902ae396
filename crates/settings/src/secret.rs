//! Secrets that never show.

use std::fmt;

use subtle::ConstantTimeEq;

/// Shortest secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// A secret's bytes; `Debug` shows none of them.
#[derive(Clone)]
pub struct Secret(std::sync::Arc<[u8]>);

impl Secret {
    /// A secret from bytes at hand.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// The bytes.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    /// Whether `given` is the secret, in time that tells only its length.
    #[must_use]
    pub fn matches(&self, given: &[u8]) -> bool {
        self.0.ct_eq(given).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
