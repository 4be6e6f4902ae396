//! Selects the subset of a target's endpoints that one instance uses.
//!
//! Endpoints and instances are each ordered by hash. An instance uses a contiguous range of
//! endpoints that starts in proportion to its own rank. In this way all endpoints are in
//! nearly the same number of subsets, none is left out, and adding or removing an instance
//! shifts the ranges only slightly. Computing a subset takes one pass over the instances
//! and one over the endpoints, never one over pairs.

use std::collections::HashMap;

use world::{Millis, Timestamp, domain::Domain, endpoint::Endpoint, hash};

use super::{Key, Peer};

/// Number of a target's endpoints used in the instance's own failure domain.
const LOCAL_ENDPOINTS: usize = 24;
/// Number of a target's endpoints used regardless of their failure domain.
const ANY_DOMAIN_ENDPOINTS: usize = 8;
/// Time for which an endpoint that answered "not loaded" is skipped.
const NOT_LOADED_MS: Millis = 2_000;
/// Weight of the latest run in the moving average of the time per token.
const TOKEN_TIME_STEP: f64 = 0.02;

/// Relative change of the estimated run duration with each run.
const RUN_MS_STEP: f64 = 0.005;
/// Estimated run duration before the first run has ended.
const INITIAL_RUN_MS: f64 = 1_000.0;

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
    absent_until: HashMap<Key, Timestamp>,
    /// Typical time per output token, in milliseconds.
    typical_ms_per_token: Option<f64>,
    /// Estimated duration of a run in a batch, in milliseconds.
    run_ms: f64,
}

impl Subset {
    pub fn new(members: Vec<Member>, before: Option<&Self>) -> Self {
        let absent_until = before.map(|b| b.absent_until.clone()).unwrap_or_default();
        Self {
            members,
            absent_until,
            typical_ms_per_token: before.and_then(|b| b.typical_ms_per_token),
            run_ms: before.map_or(INITIAL_RUN_MS, |b| b.run_ms),
        }
    }

    /// Records the duration of a run and returns its time per token relative to the typical
    /// one.
    pub fn observe_run(&mut self, millis: Millis, tokens: u32) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
        let millis = millis.max(1) as f64;
        let ms_per_token = millis / f64::from(tokens.max(1));
        // Tracks the lower quartile, because waits in an engine's queue must not count as
        // time in its batch.
        let step = if millis < self.run_ms { -3.0 * RUN_MS_STEP } else { RUN_MS_STEP };
        self.run_ms *= 1.0 + step;
        let typical = self.typical_ms_per_token.get_or_insert(ms_per_token);
        // Averages logarithms, so that one run that hung for minutes does not make every
        // slow endpoint look typical.
        *typical = (TOKEN_TIME_STEP.mul_add(ms_per_token.ln() - typical.ln(), typical.ln())).exp();
        ms_per_token / *typical
    }

    /// Returns the estimated duration of a run in a batch, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        self.run_ms.max(1.0)
    }

    /// Skips an endpoint that answered that it does not have the target loaded.
    pub fn mark_absent(&mut self, key: Key, now: Timestamp) {
        self.absent_until.insert(key, now.plus(NOT_LOADED_MS));
    }

    /// Records whether an endpoint reports the target as loaded.
    pub fn set_loaded(&mut self, key: Key, is_loaded: bool) {
        if is_loaded {
            self.absent_until.remove(&key);
        } else if self.members.iter().any(|member| member.key == key) {
            self.absent_until.insert(key, Timestamp(u64::MAX));
        }
    }

    pub fn is_absent(&self, key: Key, now: Timestamp) -> bool {
        !self.absent_until.is_empty() && self.absent_until.get(&key).is_some_and(|until| now < *until)
    }
}

/// Ranks of an instance among the live instances.
#[derive(Debug)]
pub(super) struct Ranks {
    local: Rank,
    all: Rank,
}

/// Zero-based rank `index` among `total` instances.
#[derive(Debug, Clone, Copy)]
struct Rank {
    index: usize,
    total: usize,
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
        let mut subset = endpoint_range(local, self.local, LOCAL_ENDPOINTS);
        let spare = LOCAL_ENDPOINTS - subset.len().min(LOCAL_ENDPOINTS);
        for endpoint in endpoint_range(endpoints.iter().collect(), self.all, ANY_DOMAIN_ENDPOINTS + spare) {
            if !subset.iter().any(|selected| std::ptr::eq(*selected, endpoint)) {
                subset.push(endpoint);
            }
        }
        subset
    }
}

fn rank<'a>(me: &Peer, others: impl Iterator<Item = &'a Peer>) -> Rank {
    let sort_key = |peer: &Peer| (hash::stable(peer.id.as_str().as_bytes()), peer.id.clone());
    let own_key = sort_key(me);
    let mut rank = Rank { index: 0, total: 1 };
    for peer in others.filter(|peer| peer.id != me.id) {
        rank.total += 1;
        rank.index += usize::from(sort_key(peer) < own_key);
    }
    rank
}

/// Returns the range of endpoints that starts at the instance's rank.
///
/// If the ranges of all instances would leave some endpoints out, they are extended until
/// they touch.
fn endpoint_range(mut endpoints: Vec<&Endpoint>, rank: Rank, preferred_len: usize) -> Vec<&Endpoint> {
    let count = endpoints.len();
    let wanted = preferred_len.max(count.div_ceil(rank.total));
    if count <= wanted {
        return endpoints;
    }
    endpoints.sort_unstable_by_key(|endpoint| hash::stable(endpoint.id.as_str().as_bytes()));
    let start = rank.index * count / rank.total;
    (start..start + wanted).map(|position| endpoints[position % count]).collect()
}

/// Returns the rendezvous weight of an endpoint for a prefix. The highest weight is
/// preferred.
pub(super) fn rendezvous_weight(prefix: u64, endpoint: u64) -> u64 {
    hash::rendezvous(prefix, &endpoint.to_le_bytes())
}
