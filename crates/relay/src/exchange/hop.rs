//! Chooses where a request is sent next: to an endpoint, or to another instance that can send
//! it to one.

use std::{net::SocketAddr, time::Duration};

use route::relay::{allowance::Purpose, reachability::Reach};

use super::{admit, forwarding::MAX_FORWARDS, tries::Exchange};
use crate::{answer::Refusal, clock, dispatcher::fleet::Run};

/// Number of unreachable endpoints after which a request is refused.
///
/// These tries are cheap: nothing has run, and a closed port answers within a round trip.
/// When endpoints crash together, about half of those listed may be gone. Then one request
/// in 65,000 finds 16 closed ports in a row; with a limit of four it would be one in 16.
const MAX_UNREACHABLE: u32 = 16;

/// Minimum time left for another try.
pub(super) const MIN_TRY_TIME: Duration = Duration::from_millis(30);

/// Longest wait for the crash check of an endpoint; one that has crashed refuses
/// connections within a round trip.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest wait for an endpoint if none of the service accepts the request.
pub(super) const ENDPOINT_WAIT: Duration = Duration::from_millis(250);

/// Longest wait of a forwarded request for a share of endpoints' rejections.
const FORWARDED_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Number of other instances that are asked for their shares of endpoints' rejections. With
/// more, an overload would multiply the work of all instances.
const MAX_FORWARDS_FOR_SHARES: usize = 2;

/// Where a request is sent.
#[derive(Debug)]
pub enum Hop {
    /// To an endpoint.
    Endpoint(Box<Run>),
    /// To another instance, which chooses the endpoint.
    Instance(SocketAddr),
}

impl Exchange {
    /// Chooses where to send the request next, or returns why no further try is possible.
    pub(super) async fn next_hop(&mut self, model: Option<usize>) -> Result<Hop, Refusal> {
        self.await_crash_check().await;
        self.check_quarantine()?;
        // The catalog may have changed since the last check: a revoked key or an old route must not
        // be used for a request that nobody has run. One that may have run could only be lost.
        if !self.may_have_run() {
            // It may have waited since it was admitted. Sent now, it would be cut off at the end of the process.
            if self.dispatcher.leaves_within(self.left()) {
                return Err(Refusal::Leaving);
            }
            if !self.admission.is_carried {
                self.admission = admit::check(&self.dispatcher, &self.host, self.uri.path(), &self.params)
                    .map_err(|r| self.refusal_for_caller(r))?;
            }
            self.admission.route.target(self.target_draw).ok_or(Refusal::NoRoute)?.clone_into(&mut self.service);
            if self.dispatcher.exceeds_memory(&self.job(model)) {
                return Err(self.refusal_for_caller(Refusal::ExceedsMemory));
            }
        }
        self.choose_hop(model).await
    }

    /// Chooses where a stream that has begun goes on, or returns why it cannot. It stays with its
    /// service and the catalog that admitted it: another catalog applies to requests that are
    /// sent later, and could only break the stream off.
    pub(super) async fn next_hop_of_stream(&mut self, model: Option<usize>) -> Result<Hop, Refusal> {
        self.await_crash_check().await;
        self.check_quarantine()?;
        self.choose_hop(model).await
    }

    /// Refuses a request that is quarantined because of crashes.
    pub(super) fn check_quarantine(&mut self) -> Result<(), Refusal> {
        let Some((content, left)) = self.dispatcher.remaining_quarantine(&self.work) else { return Ok(()) };
        self.cause = format!("{content} is quarantined");
        Err(self.refusal_for_caller(Refusal::Quarantined { left }))
    }

    /// Chooses the next hop within the request's service, time, attempts and allowance.
    async fn choose_hop(&mut self, model: Option<usize>) -> Result<Hop, Refusal> {
        if self.left() < MIN_TRY_TIME {
            return Err(self.refusal_for_caller(Refusal::Expired));
        }
        let may_try = !self.may_have_run() || self.admission.route.kind.repeatable();
        if !may_try || self.sent >= self.admission.route.attempts || self.unreachable >= MAX_UNREACHABLE {
            return Err(self.refusal_for_caller(Refusal::TurnedAway));
        }
        if let Some(hop) = self.hop_past_lost_path()? {
            return Ok(hop);
        }
        let hop = self.hop_by_placement(model).await?;
        let is_repeat = self.sent > 0 && matches!(hop, Hop::Endpoint(_));
        if is_repeat && !self.dispatcher.try_extra_dispatch(&self.service, Purpose::Retry) {
            return Err(self.refusal_for_caller(Refusal::TurnedAway));
        }
        Ok(hop)
    }

    /// Returns another instance as the next hop if this one may not reach the service, or
    /// `None` if it does or no other one is known.
    fn hop_past_lost_path(&mut self) -> Result<Option<Hop>, Refusal> {
        let reach = self.dispatcher.reach(&self.service);
        if reach != Reach::Sound
            && let Some(instance) = self.next_instance()
        {
            return Ok(Some(Hop::Instance(instance)));
        }
        // The instance that forwarded the request chooses another one sooner than this one
        // finds an endpoint.
        if reach == Reach::Lost || (reach == Reach::Doubtful && self.is_forwarded) {
            let lost_for = self.dispatcher.lost_for(&self.service);
            return Err(self.refusal_for_caller(Refusal::Unreachable { lost_for }));
        }
        Ok(None)
    }

    /// Returns an endpoint that accepts the request as the next hop, or another instance if
    /// this one may cause no more rejections.
    async fn hop_by_placement(&mut self, model: Option<usize>) -> Result<Hop, Refusal> {
        if let Some(run) = self.place(model) {
            return Ok(Hop::Endpoint(Box::new(run)));
        }
        if self.dispatcher.is_service_evacuated(&self.service) {
            return Err(self.refusal_for_caller(Refusal::Evacuated));
        }
        if self.dispatcher.are_endpoints_leaving(&self.service) {
            return Err(self.refusal_for_caller(Refusal::EndpointsLeaving));
        }
        // The pauses are this instance's; the endpoints may still take requests from others.
        if self.dispatcher.pause_left(&self.service).is_some()
            && let Some(instance) = self.next_instance()
        {
            return Ok(Hop::Instance(instance));
        }
        if !self.dispatcher.is_rejection_share_used_up(&self.service) {
            let run = self.wait_for_place(model, ENDPOINT_WAIT, Refusal::NoEndpoint).await?;
            return Ok(Hop::Endpoint(Box::new(run)));
        }
        if let Some(instance) = self.next_instance_with_share() {
            return Ok(Hop::Instance(instance));
        }
        if !self.dispatcher.has_rejection_share(&self.service) {
            let were_others_asked = !self.tried_instances.is_empty();
            let refusal = if were_others_asked { Refusal::NoEndpoint } else { Refusal::NoShare };
            return Err(self.refusal_for_caller(refusal));
        }
        Ok(Hop::Endpoint(Box::new(self.wait_for_share(model).await?)))
    }

    /// Returns another instance that may reach the service, unless enough were tried. If its
    /// endpoints survive few rejections, that is one that may send to some of them: most
    /// instances of a large fleet may not.
    fn next_instance(&mut self) -> Option<SocketAddr> {
        if self.is_forwarded || self.tried_instances.len() >= MAX_FORWARDS {
            return None;
        }
        let (service, tried) = (self.service.as_str(), &self.tried_instances);
        let with_share = self.dispatcher.instance_with_rejection_share(service, tried);
        let instance = with_share.or_else(|| self.dispatcher.instance_reaching(service, tried))?;
        self.tried_instances.push(instance);
        Some(instance)
    }

    /// Returns another instance that may send the request to an endpoint that survives few
    /// rejections, unless enough were tried.
    fn next_instance_with_share(&mut self) -> Option<SocketAddr> {
        if self.is_forwarded || self.tried_instances.len() >= MAX_FORWARDS_FOR_SHARES {
            return None;
        }
        let instance = self.dispatcher.instance_with_rejection_share(&self.service, &self.tried_instances)?;
        self.tried_instances.push(instance);
        Some(instance)
    }

    /// Waits until it is known whether the endpoint of the last try has crashed. If the
    /// request is the cause, it would crash the next endpoint as well.
    async fn await_crash_check(&mut self) {
        let Some(crash_check) = self.crash_check.take() else { return };
        if tokio::time::timeout(CRASH_CHECK_TIMEOUT, crash_check).await.is_err() {
            tracing::debug!(request = self.params.id, "retrying before the crash check of the last endpoint has ended");
        }
    }

    /// Waits until this instance may send the request to an endpoint that survives few
    /// rejections. A forwarded request waits for a shorter time, since the instance that
    /// forwarded it can ask another one.
    async fn wait_for_share(&self, model: Option<usize>) -> Result<Run, Refusal> {
        let (wait, refusal) = if self.is_forwarded {
            (FORWARDED_REQUEST_WAIT, Refusal::NoShare)
        } else {
            // The other instances have waited before they refused the request.
            let waited = FORWARDED_REQUEST_WAIT * u32::try_from(self.tried_instances.len()).unwrap_or(u32::MAX);
            (ENDPOINT_WAIT.saturating_sub(waited), Refusal::NoEndpoint)
        };
        self.wait_for_place(model, wait, refusal).await
    }

    /// Retries placement until an endpoint accepts the request or the wait is over, and returns
    /// `refusal` in that case.
    async fn wait_for_place(&self, model: Option<usize>, wait: Duration, refusal: Refusal) -> Result<Run, Refusal> {
        let until = clock::now() + wait.min(self.left());
        while clock::now() < until {
            if let Some(after) = self.dispatcher.capacity_wait(&self.service)
                && clock::now() + after > until
            {
                let pause = self.dispatcher.pause_left(&self.service);
                let refusal = pause.map_or(Refusal::Throttled { after }, |after| Refusal::Paused { after });
                return Err(self.refusal_for_caller(refusal));
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
            if let Some(run) = self.place(model) {
                return Ok(run);
            }
        }
        Err(self.refusal_for_caller(refusal))
    }

    /// Places a run at an endpoint; `None` if no endpoint accepts the request.
    fn place(&self, model: Option<usize>) -> Option<Run> {
        self.dispatcher.place(&self.job(model))
    }
}
