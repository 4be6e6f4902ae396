//! Long prompts that endpoints got lately, and streams that they interrupted
//! ([`route::relay::interruptions`]).
//!
//! This instance's own prompts count when they are placed, those of others when their notices
//! arrive. Nothing is counted unless [`Interruptions::Avoided`] is set.

use std::time::Duration;

use route::relay::interruptions;

use super::{Fleet, Job, Key, Run, Server};
use crate::{clock, settings::Interruptions};

impl Fleet {
    /// Counts a long prompt of a job that is sent to an endpoint.
    pub(super) fn record_own_prompt(&mut self, key: Key, job: &Job<'_>, processing_ms: f64, now: Duration) {
        let Some(target) = job.target_pause else { return };
        let shortest = self.target_pauses.entry(job.service.to_owned()).or_insert(target);
        *shortest = target.min(*shortest);
        let target = *shortest;
        if let Some(server) = self.servers.get_mut(key) {
            server.record_prompt(processing_ms, target, now);
        }
    }

    /// Counts a long prompt that another instance has announced.
    pub(super) fn record_announced_prompt(&mut self, endpoint: u32, processing_ms: f64, now: Duration) {
        let Some(key) = self.by_hash.get(&endpoint).copied() else { return };
        let Some(server) = self.servers.get_mut(key) else { return };
        let target = self.target_pauses.get(&server.endpoint.service).copied();
        if let Some(target) = target {
            server.record_prompt(processing_ms, target, now);
        }
    }

    /// Returns how much of a service's streams a job's prompt makes late.
    pub(super) fn severity(&self, job: &Job<'_>, processing_ms: f64, policy: Interruptions) -> f64 {
        let target = self.target_pauses.get(job.service).copied().or(job.target_pause);
        match (policy, target) {
            (Interruptions::Avoided, Some(target)) => interruptions::severity(processing_ms, clock::millis(target)),
            _ => 0.0,
        }
    }
}

impl Server {
    fn record_prompt(&mut self, processing_ms: f64, target: Duration, now: Duration) {
        let severity = interruptions::severity(processing_ms, clock::millis(target));
        if severity > 0.0 {
            self.long_prompts.add(severity, now);
        }
    }
}

impl Run {
    /// Records the time for which a whole event was waited for, not counting the first one.
    pub fn record_event_wait(&mut self, waited: Duration, target: Duration) {
        if waited > target && !std::mem::replace(&mut self.was_interrupted, true) {
            metrics::counter!("relay_interrupted_streams_total", "service" => self.endpoint.service.clone())
                .increment(1);
        }
    }
}
