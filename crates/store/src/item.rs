//! Objects as returned by this crate, without their envelopes.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::{
    api,
    envelope::{self, Nonce},
    error::Error,
};

/// An object that was read or written, as needed to update or delete it.
#[derive(Debug, Clone)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Version of its last change.
    pub version: u64,
    /// Last writer: instance and incarnation.
    pub writer: String,
    /// Its value, without the envelope.
    pub body: Box<RawValue>,
    pub(crate) nonces: Vec<Nonce>,
}

/// Objects with one prefix.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Version of the store from which a watch returns all later changes.
    pub version: u64,
    /// The objects, in the order of their keys.
    pub items: Vec<Item>,
    /// Whether further objects follow.
    pub more: bool,
}

impl Item {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if it is not a `T`.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_str(self.body.get())
            .map_err(|error| Error::Malformed { key: self.key.clone(), message: error.to_string() })
    }

    /// Removes the envelope of a stored object.
    pub(crate) fn parse(object: api::Object) -> Result<Self, Error> {
        let malformed = || Error::Malformed { key: object.key.clone(), message: "no JSON value".into() };
        let envelope = object.value.as_deref().and_then(envelope::open).ok_or_else(malformed)?;
        Ok(Self {
            key: object.key,
            version: object.version,
            writer: envelope.writer,
            body: envelope.body,
            nonces: envelope.nonces,
        })
    }
}
