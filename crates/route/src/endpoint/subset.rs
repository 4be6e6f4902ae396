//! The part of a target's endpoints that one instance works with.
//!
//! Endpoints and instances are each ordered by hash. An instance takes a run
//! of endpoints that starts at its own rank: every endpoint is in as many
//! subsets as any other (give or take one), none is left out, and one instance
//! more or less shifts the runs by a little. Ranks need one look at each
//! instance and each endpoint, never at pairs of them.

use std::collections::HashMap;

use world::{Millis, Timestamp, domain::Domain, endpoint::Endpoint, hash};

use super::{Key, Peer};

/// Endpoints of a target taken in the instance's own failure domain.
const LOCAL: usize = 24;
/// Endpoints of a target taken wherever they stand.
const ANYWHERE: usize = 8;
/// How long an endpoint that answered "not loaded" is left out.
const ABSENT_MS: Millis = 2_000;
/// Share of the newest run in the typical pace.
const STEP: f64 = 0.02;

/// Step by which the time of a run follows.
const RUN_STEP: f64 = 0.005;
/// Time of a run before the first has ended.
const BLANK_RUN_MS: f64 = 1_000.0;

/// One endpoint of a subset.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member {
    pub key: Key,
    pub hash: u64,
    pub local: bool,
}

/// The endpoints of one target.
#[derive(Debug)]
pub(super) struct Subset {
    pub members: Vec<Member>,
    absent: HashMap<Key, Timestamp>,
    pace: Option<f64>,
    run_ms: f64,
}

impl Subset {
    pub fn new(members: Vec<Member>, before: Option<&Self>) -> Self {
        let absent = before.map(|b| b.absent.clone()).unwrap_or_default();
        Self { members, absent, pace: before.and_then(|b| b.pace), run_ms: before.map_or(BLANK_RUN_MS, |b| b.run_ms) }
    }

    /// Takes in a run's time and says how slow it was against the typical one.
    pub fn observe(&mut self, millis: Millis, tokens: u32) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
        let millis = millis.max(1) as f64;
        let pace = millis / f64::from(tokens.max(1));
        // Follows the lower quartile: waits in an engine's queue must not count
        // as time in its batch.
        let step = if millis < self.run_ms { -3.0 * RUN_STEP } else { RUN_STEP };
        self.run_ms *= 1.0 + step;
        let typical = self.pace.get_or_insert(pace);
        // A mean of logarithms: one run that hung for minutes must not make
        // every slow endpoint look typical.
        *typical = (STEP.mul_add(pace.ln() - typical.ln(), typical.ln())).exp();
        pace / *typical
    }

    /// Time of a run in a batch, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        self.run_ms.max(1.0)
    }

    pub fn absent(&mut self, key: Key, now: Timestamp) {
        self.absent.insert(key, now.plus(ABSENT_MS));
    }

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

/// An instance's place among the live ones.
#[derive(Debug)]
pub(super) struct Ranks {
    local: Rank,
    all: Rank,
}

/// A place: the `at`th of `of`.
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

    /// The endpoints of a target that this instance works with: a run of its
    /// own failure domain's, and a run of all for when that one is full or gone.
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

/// A run of endpoints that starts at the instance's rank.
///
/// Where the runs of all instances would leave some endpoints out, they are
/// lengthened until they touch.
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

/// How strongly a prefix prefers an endpoint; the highest wins.
pub(super) fn weight(prefix: u64, endpoint: u64) -> u64 {
    hash::rendezvous(prefix, &endpoint.to_le_bytes())
}
