//! The platform's list of instances, decoded entry by entry.
//!
//! An entry that cannot be decoded is left out; the others are followed all the same. It is logged and counted
//! when it appears, not each time that the list is read.

use std::{
    collections::HashSet,
    hash::{BuildHasher, RandomState},
    sync::{Mutex, PoisonError},
};

use serde_json::value::RawValue;

use super::wire;
use crate::{Member, api::Fault};

/// Maximum number of characters of an entry that are logged.
const MAX_LOGGED: usize = 200;

/// Decodes lists and remembers their odd entries.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    hasher: RandomState,
    /// Hashes of the odd entries of the latest list.
    odd: Mutex<HashSet<u64>>,
}

impl Decoder {
    /// Decodes the body of an answer.
    pub(super) fn decode(&self, body: &[u8]) -> Result<Vec<Member>, Fault> {
        let wire::Instances { instances } = wire::read(body)?;
        let mut members = Vec::with_capacity(instances.len());
        let mut odd = HashSet::new();
        let mut known = self.odd.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in instances {
            match member(entry) {
                Ok(member) => members.push(member),
                Err(error) => {
                    let hash = self.hasher.hash_one(entry.get());
                    if odd.insert(hash) && !known.contains(&hash) {
                        report(entry, &error);
                    }
                }
            }
        }
        metrics::gauge!("platform_undecodable_members").set(f64::from(u32::try_from(odd.len()).unwrap_or(u32::MAX)));
        *known = odd;
        Ok(members)
    }
}

fn member(entry: &RawValue) -> serde_json::Result<Member> {
    // Structs are decoded from lists of their fields too.
    if !entry.get().starts_with('{') {
        return Err(serde::de::Error::custom("it is no object"));
    }
    serde_json::from_str(entry.get())
}

fn report(entry: &RawValue, error: &serde_json::Error) {
    metrics::counter!("platform_undecodable_members_total").increment(1);
    let shown: String = entry.get().chars().take(MAX_LOGGED).collect();
    tracing::warn!(entry = shown, %error, "entry of the list of instances cannot be decoded, ignored");
}
