//! Hashing that every instance must agree on.
//!
//! Seeds and algorithm are part of the protocol between instances: two builds
//! that hash differently would disagree about a key's home.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
