//! What is wrong with a settings file.

use std::{fmt, path::PathBuf};

/// Why settings could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The file could not be opened.
    Unreadable {
        /// Which file.
        path: PathBuf,
        /// The system's words.
        cause: String,
    },
    /// The file's content is wrong.
    Invalid {
        /// All faults found, by line.
        faults: Vec<Fault>,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, cause } => {
                write!(f, "cannot read settings {}: {cause}; give a readable file with --settings", path.display())
            }
            Self::Invalid { faults } => {
                let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// One thing wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No YAML, or not of the expected shape.
    Syntax {
        /// From 1; 0 when not known.
        line: u64,
        /// The parser's words.
        message: String,
    },
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
    /// A number outside its range.
    Range {
        /// From 1.
        line: u64,
        /// Which field.
        field: &'static str,
        /// As written.
        value: String,
        /// Least allowed.
        least: String,
        /// Most allowed.
        most: String,
        /// Unit of the numbers.
        unit: &'static str,
    },
    /// A text that is not what the field holds.
    Value {
        /// From 1.
        line: u64,
        /// Which field.
        field: &'static str,
        /// What is wrong and what to write.
        message: String,
    },
    /// Two listeners that would take the same port.
    Overlap {
        /// Line of the second.
        line: u64,
        /// The first.
        first: &'static str,
        /// The second.
        second: &'static str,
        /// The address both want.
        address: std::net::SocketAddr,
    },
    /// A secret that cannot be had from where the file says.
    Secret {
        /// From 1.
        line: u64,
        /// Which field.
        field: &'static str,
        /// What is wrong and what to do; never the secret.
        message: String,
    },
}

impl Fault {
    /// Its line in the file, from 1; 0 when not known.
    #[must_use]
    pub fn line(&self) -> u64 {
        match self {
            Self::Syntax { line, .. }
            | Self::UnknownField { line, .. }
            | Self::MissingField { line, .. }
            | Self::Range { line, .. }
            | Self::Value { line, .. }
            | Self::Overlap { line, .. }
            | Self::Secret { line, .. } => *line,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line() > 0 {
            write!(f, "line {}: ", self.line())?;
        }
        match self {
            Self::Syntax { message, .. } => write!(f, "{message}"),
            Self::UnknownField { field, nearest, known, .. } => {
                write!(f, "unknown field `{}`", field.escape_debug())?;
                if let Some(nearest) = nearest {
                    write!(f, ", did you mean `{nearest}`?")?;
                }
                write!(f, " Known here: {}", known.join(", "))
            }
            Self::MissingField { field, .. } => write!(f, "field `{field}` is missing; add it"),
            Self::Range { field, value, least, most, unit, .. } => {
                write!(f, "`{field}` is {value}; give {least} to {most} {unit}")
            }
            Self::Value { field, message, .. } | Self::Secret { field, message, .. } => {
                write!(f, "`{field}`: {message}")
            }
            Self::Overlap { first, second, address, .. } => {
                write!(f, "`{second}` and `{first}` both bind {address}; give each its own port")
            }
        }
    }
}
