//! Reading bills from the objects themselves.

use std::collections::BTreeMap;

use world::request;

use crate::{
    Bill,
    object::{Chunk, PREFIX, Segment, unseal},
    record::Record,
    wire,
};

/// Every bill among some objects of the platform, each once, by request.
///
/// Takes keys and values as the object API gives them (JSON, with or without
/// the platform client's envelope) and skips what is not the journal's. A
/// bill that stands in a segment and in a chunk counts once.
///
/// # Errors
///
/// [`wire::Invalid`] when an object of the journal does not read.
pub fn bills<'a>(objects: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Result<Vec<Bill>, wire::Invalid> {
    let mut set: BTreeMap<request::Id, Bill> = BTreeMap::new();
    for (key, value) in objects {
        for record in records(key, value)? {
            if let Record::Bill(bill) = record {
                set.entry(bill.id.clone()).or_insert(bill);
            }
        }
    }
    Ok(set.into_values().collect())
}

/// Every record of one object; none when it is not the journal's.
///
/// # Errors
///
/// [`wire::Invalid`] when an object of the journal does not read.
pub fn records(key: &str, value: &[u8]) -> Result<Vec<Record>, wire::Invalid> {
    let Some((_, rest)) = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/')) else {
        return Ok(Vec::new());
    };
    let unreadable = || wire::Invalid(format!("`{key}` holds no JSON"));
    let body = platform::envelope::open(value).ok_or_else(unreadable)?.body;
    let invalid = |error: serde_json::Error| wire::Invalid(format!("`{key}`: {error}"));
    match rest.split_once('/') {
        Some(("s", _)) => unseal(&serde_json::from_str::<Segment>(body.get()).map_err(invalid)?.data),
        Some(("k" | "b", _)) => unseal(&serde_json::from_str::<Chunk>(body.get()).map_err(invalid)?.data),
        _ => Ok(Vec::new()),
    }
}
