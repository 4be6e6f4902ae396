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
/// bill that stands in a segment and in a chunk counts once; of two bills for
/// one request the first in the log counts.
///
/// # Errors
///
/// [`wire::Invalid`] when an object of the journal does not read.
pub fn bills<'a>(objects: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Result<Vec<Bill>, wire::Invalid> {
    let mut set: BTreeMap<request::Id, (u64, Bill)> = BTreeMap::new();
    for (key, value) in objects {
        let (seq, records) = read(key, value)?;
        for record in records {
            let Record::Bill(bill) = record else {
                continue;
            };
            match set.get_mut(&bill.id) {
                Some(first) if first.0 <= seq => {}
                Some(first) => *first = (seq, bill),
                None => {
                    set.insert(bill.id.clone(), (seq, bill));
                }
            }
        }
    }
    Ok(set.into_values().map(|(_, bill)| bill).collect())
}

/// Every record of one object; none when it is not the journal's.
///
/// # Errors
///
/// [`wire::Invalid`] when an object of the journal does not read.
pub fn records(key: &str, value: &[u8]) -> Result<Vec<Record>, wire::Invalid> {
    Ok(read(key, value)?.1)
}

/// An object's records and its place in the log; chunks come before segments.
fn read(key: &str, value: &[u8]) -> Result<(u64, Vec<Record>), wire::Invalid> {
    let Some((_, rest)) = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/')) else {
        return Ok((0, Vec::new()));
    };
    let unreadable = || wire::Invalid(format!("`{key}` holds no JSON"));
    let body = store::envelope::open(value).ok_or_else(unreadable)?.body;
    let invalid = |error: serde_json::Error| wire::Invalid(format!("`{key}`: {error}"));
    match rest.split_once('/') {
        Some(("s", _)) => {
            let segment: Segment = serde_json::from_str(body.get()).map_err(invalid)?;
            Ok((segment.seq, unseal(&segment.data)?))
        }
        Some(("k" | "b", _)) => {
            let chunk: Chunk = serde_json::from_str(body.get()).map_err(invalid)?;
            Ok((0, unseal(&chunk.data)?))
        }
        _ => Ok((0, Vec::new())),
    }
}
