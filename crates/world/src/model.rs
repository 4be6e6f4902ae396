//! Models and their versions.
//!
//! Callers name a model. Its versions stand in tiers: tier 0 is the cheapest
//! start of the cascade, the highest tier its last step. Versions of one tier
//! are releases that replace each other through roll-outs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{money, name};

crate::name::name!(
    /// A model's name.
    Id
);

crate::name::name!(
    /// A version's name within its model, such as `4`.
    Number
);

/// A version of a model, written `model@number`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Version {
    /// The model.
    pub model: Id,
    /// Which of its versions.
    pub number: Number,
}

impl Version {
    /// Parses `model@number`.
    ///
    /// # Errors
    ///
    /// [`name::Invalid`] when either part is no name or the `@` is missing.
    pub fn parse(text: &str) -> Result<Self, name::Invalid> {
        let invalid = || name::Invalid { text: text.into() };
        let (model, number) = text.split_once('@').ok_or_else(invalid)?;
        Ok(Self { model: Id::parse(model)?, number: Number::parse(number)? })
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.number)
    }
}

impl TryFrom<String> for Version {
    type Error = name::Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text)
    }
}

impl From<Version> for String {
    fn from(version: Version) -> Self {
        version.to_string()
    }
}

/// A model as its object states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its versions, withdrawn ones included.
    pub versions: Vec<Release>,
}

/// One version of a model as its object states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Its name within the model.
    pub version: Number,
    /// Its step in the cascade, 0 the cheapest.
    #[serde(default)]
    pub tier: u8,
    /// What its tokens cost.
    pub price: money::Price,
    /// Most tokens one answer may have.
    #[serde(default = "default_max_output")]
    pub max_output: u32,
    /// Whether it serves.
    #[serde(default)]
    pub state: State,
}

fn default_max_output() -> u32 {
    2_048
}

/// Whether a version takes work; a running roll-out narrows `Serving`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    #[default]
    Serving,
    /// Takes no new work, for good.
    Withdrawn,
}
