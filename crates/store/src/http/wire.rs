//! JSON bodies of the object API.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api::{self, Answer, Fault};

/// Decodes a body. If that fails, the call may still have had an effect.
pub(super) fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|error| Fault::Lost { cause: format!("the answer does not read: {error}") })
}

#[derive(Deserialize)]
pub(super) struct Version {
    pub(super) version: u64,
}

#[derive(Deserialize)]
pub(super) struct Oldest {
    pub(super) oldest: u64,
}

#[derive(Deserialize)]
pub(super) struct Object {
    key: String,
    version: u64,
    #[serde(default)]
    value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
pub(super) struct Listing {
    version: u64,
    items: Vec<Object>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
pub(super) struct Changes {
    version: u64,
    events: Vec<Object>,
}

#[derive(Deserialize)]
pub(super) struct Instances<'a> {
    #[serde(borrow)]
    pub(super) instances: Vec<&'a RawValue>,
}

impl From<Object> for api::Object {
    fn from(object: Object) -> Self {
        let value = object.value.map(|raw| Bytes::copy_from_slice(raw.get().as_bytes()));
        Self { key: object.key, version: object.version, value }
    }
}

impl From<Listing> for Answer {
    fn from(listing: Listing) -> Self {
        let objects = listing.items.into_iter().map(Into::into).collect();
        Self::Listed { version: listing.version, objects, more: listing.more }
    }
}

impl From<Changes> for Answer {
    fn from(changes: Changes) -> Self {
        let objects = changes.events.into_iter().map(Into::into).collect();
        Self::Changed { version: changes.version, changes: objects }
    }
}
