//! Selects the instances that watch the store on behalf of the others.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use world::hash;

use super::{Dispatcher, State};
use crate::{clock, settings::Cores, source::Revision};

/// Number of instances that watch the store. When one is lost, the instances that asked it
/// ask the other one, and the next in rank becomes a watcher within a second.
const WATCHER_COUNT: usize = 2;

/// Time without a reply after which an instance watches the store itself. Three questions
/// are sent within this time.
const MAX_REPLY_SILENCE: Duration = Duration::from_millis(1_100);

/// An instance that may watch the store for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watcher {
    /// Address at which it receives questions.
    pub news: SocketAddr,
    /// Its rank among the instances.
    pub rank: Rank,
    /// Whether it is in this instance's failure domain.
    pub is_near: bool,
}

/// Rank of an instance among those that may watch the store; the lowest ranks watch it.
///
/// Over a narrow link a change reaches the watcher, and so all others, a second late; over
/// a wide one a catalog of a megabyte takes some 50 ms. Instances with wide links therefore
/// come first, then those with more processor cores, since a watcher answers the
/// questions of the whole fleet. The hash of the name breaks ties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_narrow: bool,
    cores: Reverse<Cores>,
    hash: u64,
}

impl Rank {
    /// Returns the rank of an instance by its link, its processor cores and the hash of its name.
    #[must_use]
    pub fn new(is_narrow: bool, cores: Cores, hash: u64) -> Self {
        Self { is_narrow, cores: Reverse(cores), hash }
    }
}

impl State {
    /// Returns the first in rank of the other instances whose own calls to the store succeed.
    fn top_watchers(&self, now: Duration) -> Vec<Watcher> {
        let mut watchers: Vec<Watcher> = self.peers.watchers(now, true).collect();
        watchers.sort_unstable_by_key(|watcher| watcher.rank);
        watchers.truncate(WATCHER_COUNT);
        watchers
    }
}

impl Dispatcher {
    /// Whether this instance is synchronized through another one, so that it need not watch
    /// the store itself.
    #[must_use]
    pub fn is_synchronized(&self) -> bool {
        let now = clock::now();
        let state = self.lock();
        // This instance is a watcher only while its own calls to the store succeed.
        let answered = state.synchronization.last_reply.is_some_and(|at| now < at + MAX_REPLY_SILENCE);
        answered && !(state.last_store_call_succeeded && self.is_watcher(&state, now, true))
    }

    /// Whether this instance is one of the few that probe an unreachable store often; the
    /// others learn from them when it is back.
    #[must_use]
    pub fn probes_store_often(&self) -> bool {
        let state = self.lock();
        self.is_watcher(&state, clock::now(), false)
    }

    /// Whether this instance is one of those that watch the store.
    #[must_use]
    pub fn watches_store(&self) -> bool {
        let state = self.lock();
        self.is_watcher(&state, clock::now(), true)
    }

    /// Returns the addresses of the other instances that watch the store.
    #[must_use]
    pub fn watchers(&self) -> Vec<SocketAddr> {
        self.lock().top_watchers(clock::now()).into_iter().map(|watcher| watcher.news).collect()
    }

    /// Returns the address of the watcher to ask, those in the same failure domain first, or
    /// `None` if this instance is to watch the store itself. `turn` increases when a
    /// question was not answered.
    #[must_use]
    pub fn watcher_to_ask(&self, turn: usize) -> Option<SocketAddr> {
        let now = clock::now();
        let state = self.lock();
        if state.synchronization.revision == Revision::default()
            || (state.last_store_call_succeeded && self.is_watcher(&state, now, true))
        {
            return None;
        }
        let mut watchers = state.top_watchers(now);
        watchers.sort_by_key(|watcher| !watcher.is_near);
        let failures = state.synchronization.doubtful_replies + state.synchronization.gaps;
        let turn = turn + usize::try_from(failures).unwrap_or_default();
        watchers.get(turn % watchers.len().max(1)).map(|watcher| watcher.news)
    }

    /// Whether this instance ranks among the first few, which watch the store. All instances
    /// compute the same ranking. With `only_in_touch`, other instances are left out of it
    /// unless their own calls to the store succeed.
    fn is_watcher(&self, state: &State, now: Duration, only_in_touch: bool) -> bool {
        let hash = hash::stable(self.settings.instance.as_bytes());
        let me = Rank::new(state.is_narrow, self.settings.cores, hash);
        let mut before = state.peers.watchers(now, only_in_touch).filter(|other| other.rank < me);
        before.nth(WATCHER_COUNT - 1).is_none()
    }
}
