//! Checked names.
//!
//! Names travel in URLs, object keys and metric labels, so they are kept to
//! a small alphabet once, here, and never escaped anywhere else.

use std::fmt;

/// Longest name, in bytes.
pub const MAX_NAME_LEN: usize = 128;

/// Why a text is no name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// The refused text.
    pub text: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a name; use 1 to {MAX_NAME_LEN} of a-z, A-Z, 0-9, `.`, `_`, `-`, and start with a letter or digit",
            self.text.escape_debug()
        )
    }
}

impl std::error::Error for Invalid {}

/// Checks the alphabet and length every name shares.
pub(crate) fn check(text: &str) -> Result<(), Invalid> {
    let good_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let good_rest = text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    if good_start && good_rest && text.len() <= MAX_NAME_LEN {
        return Ok(());
    }
    Err(Invalid { text: text.chars().take(MAX_NAME_LEN).collect() })
}

/// Defines a checked name type: cheap to clone, ordered, serialised as text.
macro_rules! name {
    ($(#[$doc:meta])* $ty:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $ty(std::sync::Arc<str>);

        impl $ty {
            /// Parses a name.
            ///
            /// # Errors
            ///
            /// [`Invalid`](crate::Invalid) for an empty, long or oddly spelt text.
            pub fn parse(text: &str) -> Result<Self, crate::Invalid> {
                crate::name::check(text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $ty {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $ty {
            type Error = crate::Invalid;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::parse(&text)
            }
        }

        impl From<$ty> for String {
            fn from(name: $ty) -> Self {
                name.0.as_ref().into()
            }
        }

        impl std::str::FromStr for $ty {
            type Err = crate::Invalid;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::parse(text)
            }
        }
    };
}

pub(crate) use name;
