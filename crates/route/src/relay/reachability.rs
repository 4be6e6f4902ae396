//! Recognizes that this instance has lost its network path to all endpoints of a service.
//!
//! A single failed connection does not show whether the endpoint is gone or the path to it.
//! If connections to several endpoints fail and none succeeds in between, the path is the
//! likelier cause, and trying further endpoints only delays the request. Only new
//! connections count: those that are already open may outlive the path for new ones, and may
//! be silent long after it is lost.

use std::time::Duration;

/// Number of different endpoints to which connections must fail in a row. With half of the
/// endpoints down, one request in eight finds three of them in a row; a successful
/// connection clears that mistake.
const MIN_FAILED_ENDPOINTS: usize = 3;

/// Time after which a lost path is certain. Until then the instance may have tried nothing but
/// crashed endpoints; it goes on connecting to others, which shows the mistake.
const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// Whether an instance reaches endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It does, or nothing is known.
    Sound,
    /// Connections fail, but perhaps only to endpoints that are down. Another instance serves
    /// a request sooner; without one, further endpoints are worth a try.
    Doubtful,
    /// It reaches none. Requests that no other instance can serve are hopeless, and callers are
    /// better off elsewhere.
    Lost,
}

/// Connections of an instance to a service's endpoints.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    /// Different endpoints to which connections failed since the last successful one, at most
    /// [`MIN_FAILED_ENDPOINTS`].
    failed: Vec<u32>,
    /// When the service was found to be unreachable.
    lost_at: Option<Duration>,
    /// When the service was last found to be reachable again.
    restored_at: Option<Duration>,
    /// The same after a loss that was certain, which other instances were told of.
    restored_from_loss_at: Option<Duration>,
    /// When an endpoint was last registered that was not known before.
    registered_at: Option<Duration>,
}

impl Reachability {
    /// Records a failed connection to `endpoint`, one of `endpoint_count` of the service, and
    /// returns whether the service counts as unreachable from now on.
    pub fn record_failure(&mut self, now: Duration, endpoint: u32, endpoint_count: usize) -> bool {
        if self.failed.len() < MIN_FAILED_ENDPOINTS && !self.failed.contains(&endpoint) {
            self.failed.push(endpoint);
        }
        if self.lost_at.is_some() || self.failed.len() < endpoint_count.clamp(1, MIN_FAILED_ENDPOINTS) {
            return false;
        }
        self.lost_at = Some(now);
        true
    }

    /// Records a successful connection, and returns for how long the service was unreachable
    /// if it was.
    pub fn record_connection(&mut self, now: Duration) -> Option<Duration> {
        self.failed.clear();
        if self.reach(now) == Reach::Lost {
            self.restored_from_loss_at = Some(now);
        }
        let lost_at = self.lost_at.take()?;
        self.restored_at = Some(now);
        Some(now.saturating_sub(lost_at))
    }

    /// Returns for how long the service has been unreachable; zero if it is not.
    #[must_use]
    pub fn lost_for(&self, now: Duration) -> Duration {
        self.lost_at.map_or(Duration::ZERO, |lost_at| now.saturating_sub(lost_at))
    }

    /// Returns whether the service was unreachable at any time since `since`. What happened to a
    /// run in that time says nothing about its endpoint.
    #[must_use]
    pub fn was_lost_since(&self, since: Duration) -> bool {
        self.lost_at.is_some() || self.restored_at.is_some_and(|restored_at| restored_at >= since)
    }

    /// Returns whether other instances may have been told since `since` that the service is
    /// unreachable from here.
    #[must_use]
    pub fn was_certainly_lost_since(&self, now: Duration, since: Duration) -> bool {
        self.reach(now) == Reach::Lost || self.restored_from_loss_at.is_some_and(|restored_at| restored_at >= since)
    }

    /// Records that an endpoint was registered to which no connection was tried yet.
    pub fn record_registration(&mut self, now: Duration) {
        self.registered_at = Some(now);
    }

    /// Returns whether endpoints of the service can be reached.
    #[must_use]
    pub fn reach(&self, now: Duration) -> Reach {
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| now < at + CONFIRMATION_TIME);
        if self.lost_at.is_none() {
            Reach::Sound
        } else if is_recent(self.lost_at) || is_recent(self.registered_at) {
            Reach::Doubtful
        } else {
            Reach::Lost
        }
    }
}
