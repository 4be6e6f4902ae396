//! Objects as operators write them and the platform keeps them.
//!
//! An object is an envelope (`kind`, `name`, `spec`). Files hold many, parted
//! by `---` lines. Every kind is read into its own type at once, so that an
//! unknown field is named with its line.

use std::fmt;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{contract, model, name, pool, rollout, service, yaml};

/// Line that parts two objects of a file.
const SEPARATOR: &str = "---";

/// One object.
#[derive(Debug, Clone, PartialEq)]
pub enum Object {
    /// A customer's contract.
    Contract(contract::Customer, contract::Contract),
    /// A model with its versions.
    Model(model::Id, model::Model),
    /// A version's roll-out.
    Rollout(rollout::Id, rollout::Rollout),
    /// Endpoints of one kind in one failure domain.
    Pool(pool::Id, pool::Pool),
    /// A plain service.
    Service(service::Id, service::Service),
}

/// The kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Object::Contract`].
    Contract,
    /// [`Object::Model`].
    Model,
    /// [`Object::Rollout`].
    Rollout,
    /// [`Object::Pool`].
    Pool,
    /// [`Object::Service`].
    Service,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 5] = [Self::Contract, Self::Model, Self::Rollout, Self::Pool, Self::Service];

    /// The kind as files spell it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Contract => "contract",
            Self::Model => "model",
            Self::Rollout => "rollout",
            Self::Pool => "pool",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or_else(|| Error::Kind(text.into()))
    }
}

/// What an object is found under.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: String,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// Why a text is no object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The kind is unknown.
    Kind(String),
    /// The text does not fit its kind; the message names line and field.
    Syntax {
        /// First line of the object in its file, from 1.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// The name is no name.
    Name(name::Invalid),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind(kind) => {
                let known: Vec<_> = Kind::ALL.iter().map(|k| k.as_str()).collect();
                write!(f, "unknown kind `{}`; use one of {}", kind.escape_debug(), known.join(", "))
            }
            Self::Syntax { line, message } => write!(f, "object at line {line}: {message}"),
            Self::Name(invalid) => invalid.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<name::Invalid> for Error {
    fn from(invalid: name::Invalid) -> Self {
        Self::Name(invalid)
    }
}

/// The part of the envelope that tells how to read the rest.
#[derive(Deserialize)]
struct Head {
    kind: String,
}

/// The whole envelope.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope<S> {
    kind: Kind,
    name: String,
    spec: S,
}

impl Object {
    /// Reads all objects of a YAML file.
    ///
    /// # Errors
    ///
    /// The first [`Error`], with its line in the file.
    pub fn parse_file(text: &str) -> Result<Vec<Self>, Error> {
        documents(text).into_iter().map(|(line, document)| parse_document(line, &document)).collect()
    }

    /// Reads one object from the JSON the platform keeps.
    ///
    /// # Errors
    ///
    /// [`Error`] when the value is no object of a known kind.
    pub fn from_json(value: &serde_json::Value) -> Result<Self, Error> {
        let kind = value.get("kind").and_then(|k| k.as_str()).unwrap_or_default();
        read(kind, &JsonReader(value))
    }

    /// The JSON the platform keeps.
    ///
    /// # Panics
    ///
    /// Never: every spec has text keys and numbers that JSON can hold.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        let key = self.key();
        let spec = match self {
            Self::Contract(_, spec) => serde_json::to_value(spec),
            Self::Model(_, spec) => serde_json::to_value(spec),
            Self::Rollout(_, spec) => serde_json::to_value(spec),
            Self::Pool(_, spec) => serde_json::to_value(spec),
            Self::Service(_, spec) => serde_json::to_value(spec),
        };
        let spec = spec.expect("specs have text keys and finite numbers");
        serde_json::json!({ "kind": key.kind, "name": key.name, "spec": spec })
    }

    /// What it is found under.
    #[must_use]
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Contract(name, _) => (Kind::Contract, name.as_str()),
            Self::Model(name, _) => (Kind::Model, name.as_str()),
            Self::Rollout(name, _) => (Kind::Rollout, name.as_str()),
            Self::Pool(name, _) => (Kind::Pool, name.as_str()),
            Self::Service(name, _) => (Kind::Service, name.as_str()),
        };
        Key { kind, name: name.into() }
    }
}

/// Parts a file into its documents, each with its first line's number.
///
/// Blank lines are kept in front of each so that the parser's line numbers
/// are the file's own.
fn documents(text: &str) -> Vec<(usize, String)> {
    let mut documents = vec![(1, String::new())];
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == SEPARATOR {
            documents.push((index + 2, "\n".repeat(index + 1)));
            continue;
        }
        let (_, document) = documents.last_mut().expect("starts with one document");
        document.push_str(line);
        document.push('\n');
    }
    documents
        .retain(|(_, document)| document.lines().any(|l| !l.trim().is_empty() && !l.trim_start().starts_with('#')));
    documents
}

fn parse_document(line: usize, document: &str) -> Result<Object, Error> {
    let reader = YamlReader { line, document };
    let head: Head = reader.read()?;
    read(&head.kind, &reader)
}

/// A text or value that any kind can be read from.
trait Reader {
    fn read<T: DeserializeOwned>(&self) -> Result<T, Error>;
}

struct YamlReader<'a> {
    line: usize,
    document: &'a str,
}

impl Reader for YamlReader<'_> {
    fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        yaml::read(self.document).map_err(|fault| Error::Syntax { line: self.line, message: fault.to_string() })
    }
}

struct JsonReader<'a>(&'a serde_json::Value);

impl Reader for JsonReader<'_> {
    fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        T::deserialize(self.0).map_err(|error| Error::Syntax { line: 1, message: error.to_string() })
    }
}

fn read(kind: &str, reader: &impl Reader) -> Result<Object, Error> {
    Ok(match kind.parse()? {
        Kind::Contract => {
            let Envelope { name, spec, .. } = reader.read()?;
            Object::Contract(contract::Customer::parse(&name)?, spec)
        }
        Kind::Model => {
            let Envelope { name, spec, .. } = reader.read()?;
            Object::Model(model::Id::parse(&name)?, spec)
        }
        Kind::Rollout => {
            let Envelope { name, spec, .. } = reader.read()?;
            Object::Rollout(rollout::Id::parse(&name)?, spec)
        }
        Kind::Pool => {
            let Envelope { name, spec, .. } = reader.read()?;
            Object::Pool(pool::Id::parse(&name)?, spec)
        }
        Kind::Service => {
            let Envelope { name, spec, .. } = reader.read()?;
            Object::Service(service::Id::parse(&name)?, spec)
        }
    })
}
