//! Selects the subset of a target's endpoints that one instance uses.
//!
//! Endpoints and instances are each ordered by hash. An instance uses a contiguous range of
//! endpoints that starts in proportion to its own rank. Every endpoint is in as many
//! subsets as any other (give or take one), none is left out, and adding or removing an
//! instance shifts the ranges only slightly. Ranks are computed in one pass over the
//! instances and one over the endpoints, never over pairs.

use std::collections::HashMap;

use world::{Millis, Timestamp, domain::Domain, endpoint::Endpoint, hash};

use super::{Key, Peer};

/// Number of a target's endpoints used in the instance's own failure domain.
const LOCAL: usize = 24;
/// Number of a target's endpoints used in any failure domain.
const ANYWHERE: usize = 8;
/// Time for which an endpoint that answered "not loaded" is skipped.
const ABSENT_MS: Millis = 2_000;
/// Weight of the newest run in the typical time per token.
const STEP: f64 = 0.02;

/// Relative step by which the estimated run duration follows each run.
const RUN_STEP: f64 = 0.005;
/// Estimated run duration before the first run has ended.
const BLANK_RUN_MS: f64 = 1_000.0;

/// One endpoint of a subset.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member {
    pub key: Key,
    pub hash: u64,
    pub local: bool,
}

/// The endpoints of one target that this instance uses.
#[derive(Debug)]
pub(super) struct Subset {
    pub members: Vec<Member>,
    /// Endpoints without the target, and the time until which they are skipped.
    absent: HashMap<Key, Timestamp>,
    /// Typical time per output token, in milliseconds.
    pace: Option<f64>,
    /// Estimated duration of a run in a batch, in milliseconds.
    run_ms: f64,
}

impl Subset {
    pub fn new(members: Vec<Member>, before: Option<&Self>) -> Self {
        let absent = before.map(|b| b.absent.clone()).unwrap_or_default();
        Self { members, absent, pace: before.and_then(|b| b.pace), run_ms: before.map_or(BLANK_RUN_MS, |b| b.run_ms) }
    }

    /// Records the duration of a run and returns its time per token relative to the typical
    /// one.
    pub fn observe(&mut self, millis: Millis, tokens: u32) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
        let millis = millis.max(1) as f64;
        let pace = millis / f64::from(tokens.max(1));
        // Tracks the lower quartile, because waits in an engine's queue must not count as
        // time in its batch.
        let step = if millis < self.run_ms { -3.0 * RUN_STEP } else { RUN_STEP };
        self.run_ms *= 1.0 + step;
        let typical = self.pace.get_or_insert(pace);
        // Averages logarithms, so that one run that hung for minutes does not make every
        // slow endpoint look typical.
        *typical = (STEP.mul_add(pace.ln() - typical.ln(), typical.ln())).exp();
        pace / *typical
    }

    /// Returns the estimated duration of a run in a batch, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        self.run_ms.max(1.0)
    }

    /// Skips an endpoint that answered that it does not have the target loaded.
    pub fn absent(&mut self, key: Key, now: Timestamp) {
        self.absent.insert(key, now.plus(ABSENT_MS));
    }

    /// Records whether an endpoint reports the target as loaded.
    pub fn loaded(&mut self, key: Key, loaded: bool) {
        if loaded {
            self.absent.remove(&key);
        } else if self.members.iter().any(|member| member.key == key) {
            self.absent.insert(key, Timestamp(u64::MAX));
        }
    }

    pub fn is_absent(&self, key: Key, now: Timestamp) -> bool {
        !self.absent.is_empty() && self.absent.get(&key).is_some_and(|until| now < *until)
    }
}

/// Ranks of an instance among the live instances.
#[derive(Debug)]
pub(super) struct Ranks {
    local: Rank,
    all: Rank,
}

/// Zero-based rank `at` among `of` instances.
#[derive(Debug, Clone, Copy)]
struct Rank {
    at: usize,
    of: usize,
}

impl Ranks {
    pub fn new(me: &Peer, instances: &[Peer]) -> Self {
        Self {
            local: rank(me, instances.iter().filter(|peer| peer.domain == me.domain)),
            all: rank(me, instances.iter()),
        }
    }

    /// Returns the endpoints of a target that this instance uses: a range of those in its
    /// own failure domain, and a range of all of them for when the local ones are full or
    /// lost.
    pub fn subset<'a>(&self, domain: &Domain, endpoints: &'a [Endpoint]) -> Vec<&'a Endpoint> {
        let local = endpoints.iter().filter(|endpoint| endpoint.domain == *domain).collect();
        let mut subset = run(local, self.local, LOCAL);
        let spare = LOCAL - subset.len().min(LOCAL);
        for endpoint in run(endpoints.iter().collect(), self.all, ANYWHERE + spare) {
            if !subset.iter().any(|held| std::ptr::eq(*held, endpoint)) {
                subset.push(endpoint);
            }
        }
        subset
    }
}

fn rank<'a>(me: &Peer, others: impl Iterator<Item = &'a Peer>) -> Rank {
    let place = |peer: &Peer| (hash::stable(peer.id.as_str().as_bytes()), peer.id.clone());
    let mine = place(me);
    let mut rank = Rank { at: 0, of: 1 };
    for peer in others.filter(|peer| peer.id != me.id) {
        rank.of += 1;
        rank.at += usize::from(place(peer) < mine);
    }
    rank
}

/// Returns the range of endpoints that starts at the instance's rank.
///
/// If the ranges of all instances would leave some endpoints out, they are extended until
/// they touch.
fn run(mut endpoints: Vec<&Endpoint>, rank: Rank, most: usize) -> Vec<&Endpoint> {
    let count = endpoints.len();
    let wanted = most.max(count.div_ceil(rank.of));
    if count <= wanted {
        return endpoints;
    }
    endpoints.sort_unstable_by_key(|endpoint| hash::stable(endpoint.id.as_str().as_bytes()));
    let start = rank.at * count / rank.of;
    (start..start + wanted).map(|position| endpoints[position % count]).collect()
}

/// Returns the rendezvous weight of an endpoint for a prefix. The highest weight is
/// preferred.
pub(super) fn weight(prefix: u64, endpoint: u64) -> u64 {
    hash::rendezvous(prefix, &endpoint.to_le_bytes())
}
