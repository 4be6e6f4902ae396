//! Which endpoints have read a shared part of a prompt of late.
//!
//! The load pattern: some 1,600 shared parts of 5,000 tokens, each asked for
//! every ten to twenty seconds by any instance. Without a word between instances a
//! part had to go to the endpoint that its hash names, also when nobody had
//! read it yet: most of the long prompts of a heavy day were placed as if at
//! random and waited up to 0.7 s behind others. Who knows the holders can put a
//! part that nobody has read where the wait is least.

use std::{collections::HashMap, time::Duration};

/// Time that an endpoint is believed to keep a part that it has read. With
/// memory for 400,000 to 660,000 tokens and 30,000 read a second, the least
/// recently used parts yield after some fifteen seconds.
const KEPT: Duration = Duration::from_secs(15);

/// Holders remembered of one part: as many as hot parts are spread over.
const MOST_HOLDERS: usize = 4;

/// Parts remembered: more than an instance hears of within the time above.
const MOST_PARTS: usize = 8_192;

/// Holders of shared parts.
#[derive(Debug, Clone, Default)]
pub struct Holders {
    parts: HashMap<u32, Vec<Holder>>,
}

/// An endpoint that has read a part.
#[derive(Debug, Clone, Copy)]
struct Holder {
    /// Hash of its name.
    endpoint: u32,
    /// When the part was last sent there.
    at: Duration,
}

impl Holders {
    /// Notes that a part was sent to an endpoint.
    pub fn note(&mut self, part: u32, endpoint: u32, now: Duration) {
        if self.parts.len() >= MOST_PARTS && !self.parts.contains_key(&part) {
            self.parts.retain(|_, holders| holders.iter().any(|holder| holder.keeps(now)));
        }
        if self.parts.len() >= MOST_PARTS {
            // Still full of young ones: this part is placed by its hash.
            return;
        }
        let holders = self.parts.entry(part).or_default();
        holders.retain(|holder| holder.endpoint != endpoint && holder.keeps(now));
        if holders.len() >= MOST_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder { endpoint, at: now });
    }

    /// Hashes of the endpoints that are believed to keep a part.
    pub fn of(&self, part: u32, now: Duration) -> impl Iterator<Item = u32> {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders.filter(move |holder| holder.keeps(now)).map(|holder| holder.endpoint)
    }
}

impl Holder {
    fn keeps(&self, now: Duration) -> bool {
        now < self.at + KEPT
    }
}
