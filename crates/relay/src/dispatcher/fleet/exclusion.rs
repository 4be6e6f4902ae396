//! Reasons why an endpoint gets no requests.

use std::time::Duration;

use super::{Fleet, Server};

/// Why an endpoint may not get a request now, whatever the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It is leaving.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It has asked this instance for a pause, or is at the rate that applies after one.
    Paused,
    /// This instance has used up its share of the rate limit that the endpoint announces.
    RateLimited,
    /// The endpoint survives few rejections, and this instance may not risk one.
    FewRejections,
    /// It warms up, and this instance has used up its share of its rate or has none.
    Warming,
}

impl Fleet {
    /// Returns why an endpoint may not get a request now, or `None` if it may if it is reachable.
    pub(super) fn exclusion(&self, server: &Server, now: Duration) -> Option<Exclusion> {
        if let Some(absence) = self.absence(server, now) {
            return Some(absence);
        }
        if !server.may_send_beside_pauses(now) {
            return Some(Exclusion::Paused);
        }
        if !server.stated.throttle.may_send(now) {
            return Some(Exclusion::RateLimited);
        }
        if !server.stated.guard.may_send(now, server.runs) {
            return Some(Exclusion::FewRejections);
        }
        (!server.may_send_while_warming(now)).then_some(Exclusion::Warming)
    }

    /// Returns whether an endpoint may get a request now if it is reachable.
    pub(super) fn takes_requests(&self, server: &Server, now: Duration) -> bool {
        self.exclusion(server, now).is_none()
    }

    /// Returns why an endpoint is out of service, or `None` if it is neither leaving nor in an
    /// evacuated failure domain.
    fn absence(&self, server: &Server, now: Duration) -> Option<Exclusion> {
        if server.is_leaving(now) {
            return Some(Exclusion::Leaving);
        }
        self.evacuations.contains(&server.endpoint.domain).then_some(Exclusion::Evacuated)
    }

    /// Returns whether an endpoint is neither leaving nor in an evacuated failure domain.
    pub(super) fn is_in_service(&self, server: &Server, now: Duration) -> bool {
        self.absence(server, now).is_none()
    }
}
