//! YAML that people write: what does not fit is named by line and by the
//! nearest name that would.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_saphyr::Error;

/// Least likeness, from 0 to 1, at which a known name is offered.
const LIKENESS: f64 = 0.6;

/// What does not fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A field that does not exist.
    UnknownField {
        /// From 1.
        line: u64,
        /// As written.
        field: String,
        /// The known name most like it.
        nearest: Option<&'static str>,
        /// All names known at that place.
        known: Vec<&'static str>,
    },
    /// A required field that is not there.
    MissingField {
        /// Line of the mapping it belongs in.
        line: u64,
        /// Which field.
        field: &'static str,
    },
    /// A word that is none of a closed set. The word itself is left out: it
    /// may be a secret in the wrong place.
    UnknownWord {
        /// From 1.
        line: u64,
        /// All words known at that place.
        known: Vec<&'static str>,
    },
    /// No YAML, or not of the expected shape.
    Syntax {
        /// From 1; 0 when not known.
        line: u64,
        /// The parser's words.
        message: String,
    },
}

/// Reads one document.
///
/// # Errors
///
/// The first [`Fault`].
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    serde_saphyr::from_str(text).map_err(|error| fault(&error))
}

fn fault(error: &Error) -> Fault {
    let line = error.location().map_or(0, |location| location.line());
    match error.without_snippet() {
        Error::SerdeUnknownField { field, expected, .. } => Fault::UnknownField {
            line,
            field: field.clone(),
            nearest: nearest(field, expected),
            known: expected.clone(),
        },
        Error::SerdeMissingField { field, .. } => Fault::MissingField { line, field },
        Error::SerdeUnknownVariant { expected, .. } => Fault::UnknownWord { line, known: expected.clone() },
        other => Fault::Syntax { line, message: other.to_string() },
    }
}

fn nearest(field: &str, known: &[&'static str]) -> Option<&'static str> {
    let likeness = |name: &str| strsim::jaro_winkler(field, name);
    let best = known.iter().copied().max_by(|a, b| likeness(a).total_cmp(&likeness(b)))?;
    (likeness(best) >= LIKENESS).then_some(best)
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownField { line, field, nearest, known } => {
                write!(f, "line {line}: unknown field `{}`", field.escape_debug())?;
                match nearest {
                    Some(nearest) => write!(f, ", did you mean `{nearest}`?")?,
                    None => f.write_str(".")?,
                }
                write!(f, " Known here: {}", known.join(", "))
            }
            Self::MissingField { line, field } => write!(f, "line {line}: field `{field}` is missing; add it"),
            Self::UnknownWord { line, known } => {
                write!(f, "line {line}: unknown word; use one of {}", known.join(", "))
            }
            Self::Syntax { line, message } => write!(f, "line {line}: {message}"),
        }
    }
}

impl std::error::Error for Fault {}
