//! What starts of endpoints have stated about themselves, and this instance's part of it.
//!
//! A registration may expire while the store is away and come back with it, or be written anew.
//! That is no new start of the endpoint. So statements are kept by the hash of a start, and set
//! aside while it has no registration.

use std::{collections::HashMap, time::Duration};

use route::relay::{rejection::Guard, throttle::Throttle};

use super::{Fleet, Run, departures::MAX_LEAVING_TIME, start_hash};
use crate::{
    clock,
    dispatcher::{Dispatcher, era::REWRITE_TIME},
    source::Endpoint,
    statements::Statements,
};

/// Time for which statements are kept without a registration. Endpoints register again within
/// seconds of the store's return, and outages of the store last some minutes at most.
const MAX_UNREGISTERED_TIME: Duration = Duration::from_mins(10);

/// What one start of an endpoint has stated.
#[derive(Debug, Clone, Default)]
pub(super) struct Stated {
    /// Rate at which this instance may send requests, if the endpoint announces a limit.
    pub throttle: Throttle,
    /// Keeps this instance from crashing the endpoint by requests that it rejects.
    pub guard: Guard,
    /// Time until which the endpoint counts as leaving by its own word.
    pub leaving_until: Duration,
    /// Removal of its registration, while it has none.
    pub removal: Option<Removal>,
    /// End of the pause that the endpoint has asked this instance for.
    pub paused_until: Duration,
    /// Rate at which this instance may send requests for some time after that.
    pub return_throttle: Throttle,
    /// Time in which that rate doubles; zero before the first pause.
    pub doubling_time: Duration,
}

/// Removal of a start's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Removal {
    /// Era of the store in which this instance learned of it.
    pub era: u64,
    /// Whether the registration said that the endpoint leaves.
    pub was_draining: bool,
}

impl Removal {
    /// Returns for how long the endpoint counts as leaving if its registration is seen again in an
    /// era. A store that came back from an older copy shows what was removed until it is removed
    /// again; within one era, an endpoint that registers again is back.
    pub fn holds_for(self, era: u64) -> Duration {
        match self {
            Self { era: removed_in, .. } if era <= removed_in => Duration::ZERO,
            Self { was_draining: true, .. } => MAX_LEAVING_TIME,
            Self { was_draining: false, .. } => REWRITE_TIME,
        }
    }
}

/// Statements of starts that have no registration, with the time at which they are forgotten.
#[derive(Debug, Clone, Default)]
pub(super) struct Unregistered(HashMap<u32, (Stated, Duration)>);

impl Unregistered {
    /// Sets statements aside whose registration is gone.
    pub fn insert(&mut self, start: u32, stated: Stated, now: Duration) {
        self.0.retain(|_, (_, until)| now < *until);
        self.0.insert(start, (stated, now + MAX_UNREGISTERED_TIME));
    }

    /// Takes the statements of a start that is registered; none if it has made none.
    pub fn take(&mut self, start: u32) -> Stated {
        self.0.remove(&start).map_or_else(Stated::default, |(stated, _)| stated)
    }

    /// Whether a start had said that it leaves before its registration was removed.
    fn has_left(&self, start: u32, now: Duration) -> bool {
        self.0.get(&start).is_some_and(|(stated, _)| {
            now < stated.leaving_until || stated.removal.is_some_and(|removal| removal.was_draining)
        })
    }

    /// Returns the statements of a start, which may not be registered yet.
    fn entry(&mut self, start: u32, now: Duration) -> &mut Stated {
        self.0.retain(|_, (_, until)| now < *until);
        let (stated, until) = self.0.entry(start).or_default();
        *until = now + MAX_UNREGISTERED_TIME;
        stated
    }
}

impl Fleet {
    /// Whether a start without a registration had said that it leaves.
    pub(super) fn has_left(&self, start: u32, now: Duration) -> bool {
        self.unregistered.has_left(start, now)
    }

    /// Returns the statements of a start, registered or not.
    pub(super) fn stated(&mut self, start: u32, now: Duration) -> &mut Stated {
        match self.by_hash.get(&start).and_then(|key| self.servers.get_mut(*key)) {
            Some(server) => &mut server.stated,
            None => self.unregistered.entry(start, now),
        }
    }
}

impl Run {
    /// Records what the endpoint states about itself in its response to this run's request.
    pub fn record_statements(&self, statements: Statements) {
        self.dispatcher.record_statements(&self.endpoint, statements, self.started);
    }
}

impl Dispatcher {
    /// Records what an endpoint states about itself in its response to a request that was sent
    /// at `sent_at`.
    pub fn record_statements(&self, endpoint: &Endpoint, statements: Statements, sent_at: Duration) {
        let Statements { rate_limit, max_rejections, is_leaving, pause } = statements;
        let (start, now) = (start_hash(endpoint), clock::now());
        self.record_limit(start, rate_limit, sent_at, now);
        self.record_max_rejections(endpoint, max_rejections, sent_at, now);
        if is_leaving {
            self.record_departure(start);
        }
        if let Some(pause) = pause {
            self.record_pause(endpoint, pause, now);
        }
    }
}
