//! Which instances watch the store for the others.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use world::hash;

use super::{Desk, State};
use crate::{clock, settings::Cores};

/// Instances that watch the store: when one is lost, the others ask the next
/// one and a further one takes its place within a second.
const WATCHERS: usize = 2;

/// Silence after which an instance watches the store itself: three questions.
const UNANSWERED: Duration = Duration::from_millis(1_100);

/// An instance that may watch the store for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watcher {
    /// Where it hears questions.
    pub news: SocketAddr,
    /// Its place among the instances.
    pub rank: Rank,
    /// Whether it stands in the same failure domain.
    pub near: bool,
}

/// An instance's place among those that may watch the store, first come lowest.
///
/// Over a narrow link a change is at its watcher a second late, and so at all
/// others; over a wide one a catalog of a megabyte takes some 50 ms. So those with
/// wide links come first, then those with more processor, since a watcher answers
/// the whole fleet's questions; the hash of the name decides among alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_narrow: bool,
    cores: Reverse<Cores>,
    hash: u64,
}

impl Rank {
    /// The place of an instance, by its link, its processor and the hash of its name.
    #[must_use]
    pub fn new(is_narrow: bool, cores: Cores, hash: u64) -> Self {
        Self { is_narrow, cores: Reverse(cores), hash }
    }
}

impl State {
    /// The other instances that rank first among those in touch with the store.
    fn first_watchers(&self, now: Duration) -> Vec<Watcher> {
        let mut watchers: Vec<Watcher> = self.peers.watchers(now, true).collect();
        watchers.sort_unstable_by_key(|watcher| watcher.rank);
        watchers.truncate(WATCHERS);
        watchers
    }
}

impl Desk {
    /// Whether another instance keeps this one in step, so that it need not
    /// watch the store.
    #[must_use]
    pub fn led(&self) -> bool {
        let now = clock::now();
        let state = self.lock();
        // One that is cut off from the store does not count as watching it.
        let answered = state.track.answered.is_some_and(|at| now < at + UNANSWERED);
        answered && !(state.in_touch && self.watches(&state, now, true))
    }

    /// Whether this instance is one of the few that look for a lost store
    /// often; the others hear from them when it is back.
    #[must_use]
    pub fn looks_first(&self) -> bool {
        let state = self.lock();
        self.watches(&state, clock::now(), false)
    }

    /// Whether this instance ranks among those that watch the store.
    #[must_use]
    pub fn watches_store(&self) -> bool {
        let state = self.lock();
        self.watches(&state, clock::now(), true)
    }

    /// Where the instances that watch the store hear news, this one left out.
    #[must_use]
    pub fn watchers(&self) -> Vec<SocketAddr> {
        self.lock().first_watchers(clock::now()).into_iter().map(|watcher| watcher.news).collect()
    }

    /// Whom to ask, nearest first: nobody if this instance is to watch the
    /// store itself. `turn` moves on when a question was not answered.
    #[must_use]
    pub fn whom_to_ask(&self, turn: usize) -> Option<SocketAddr> {
        let now = clock::now();
        let state = self.lock();
        if state.track.revision == 0 || (state.in_touch && self.watches(&state, now, true)) {
            return None;
        }
        let mut watchers = state.first_watchers(now);
        watchers.sort_by_key(|watcher| !watcher.near);
        let turn = turn + usize::try_from(state.track.doubts).unwrap_or_default();
        watchers.get(turn % watchers.len().max(1)).map(|watcher| watcher.news)
    }

    /// Whether this instance is one of those that watch the store: the few that
    /// rank first, the same by everybody's reckoning.
    fn watches(&self, state: &State, now: Duration, in_touch: bool) -> bool {
        let hash = hash::stable(self.settings.instance.as_bytes());
        let me = Rank::new(state.is_narrow, self.settings.cores, hash);
        let mut before = state.peers.watchers(now, in_touch).filter(|other| other.rank < me);
        before.nth(WATCHERS - 1).is_none()
    }
}
