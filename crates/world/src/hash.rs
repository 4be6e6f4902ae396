//! Hashing that every instance must agree on.
//!
//! Seeds and algorithm are part of the protocol between instances: two builds
//! that hash differently would disagree about a key's home.

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Hash of a text, the same in every process and build.
#[must_use]
pub fn stable(text: &[u8]) -> u64 {
    xxh3_64(text)
}

/// Rendezvous weight of `node` for `key`; the highest weight wins.
#[must_use]
pub fn rendezvous(key: u64, node: &[u8]) -> u64 {
    xxh3_64_with_seed(node, key)
}

/// Same as [`rendezvous`] for a node in several parts.
#[must_use]
pub fn rendezvous_of_parts<'a>(key: u64, parts: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Xxh3::with_seed(key);
    parts.for_each(|part| hasher.update(part));
    hasher.digest()
}
