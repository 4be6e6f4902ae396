//! Streams whose events paused for too long, at all instances ([`route::relay::pauses`]).
//!
//! Each instance tells the others how many streams of each service it had and at which endpoints
//! some paused for too long. That is the full state, so a lost message does no harm. Nothing is
//! counted or sent unless [`Interruptions::Learned`] is set.

use std::{collections::HashMap, time::Duration};

use route::relay::interruptions::{self, Count};

use super::{Fleet, Run, Server, short_hash};
use crate::{clock, dispatcher::Dispatcher, settings::Interruptions};

/// Age at which another instance's observations no longer count: it has been lost by then.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Time between updates of the sums over all instances.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Count below which a service or endpoint is left out of reports and forgotten.
const MIN_COUNT: f64 = 0.05;

/// Maximum number of endpoints in a report.
const MAX_ENDPOINTS: usize = 64;

/// An instance's observations of streams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InterruptionReport {
    /// Number of streams by the short hash of their service.
    pub streams: Vec<(u32, f64)>,
    /// Number of streams that paused for too long, by the hash of the endpoint's start.
    pub late: Vec<(u32, f64)>,
}

/// What is observed of pauses in streams.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// This instance's streams by the short hash of their service.
    streams: HashMap<u32, Count>,
    /// This instance's streams that paused for too long, by the hash of the endpoint's start.
    late: HashMap<u32, Count>,
    /// The latest reports of other instances and when they came, by the short hash of the
    /// instance's name.
    reports: HashMap<u32, (Duration, InterruptionReport)>,
    /// Sums over all instances as of the last update.
    sums: Sums,
    next_update: Duration,
}

#[derive(Debug, Default)]
struct Sums {
    streams: HashMap<u32, f64>,
    late: HashMap<u32, f64>,
}

impl Observations {
    fn record(&mut self, service: u32, endpoint: u32, is_late: bool, now: Duration) {
        self.streams.entry(service).or_default().increment(now);
        if is_late {
            self.late.entry(endpoint).or_default().increment(now);
        }
    }

    /// Returns this instance's observations, and forgets those that have decayed.
    fn report(&mut self, now: Duration) -> InterruptionReport {
        let counts = |counts: &mut HashMap<u32, Count>| -> Vec<(u32, f64)> {
            counts.retain(|_, count| count.at(now) >= MIN_COUNT);
            counts.iter().map(|(hash, count)| (*hash, count.at(now))).collect()
        };
        let mut late = counts(&mut self.late);
        late.sort_by(|a, b| b.1.total_cmp(&a.1));
        late.truncate(MAX_ENDPOINTS);
        InterruptionReport { streams: counts(&mut self.streams), late }
    }

    /// Recomputes the sums over all instances if they are out of date.
    fn update(&mut self, now: Duration) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        let own = self.report(now);
        self.reports.retain(|_, (at, _)| now < *at + MAX_REPORT_AGE);
        let mut sums = Sums::default();
        for report in self.reports.values().map(|(_, report)| report).chain([&own]) {
            for (service, streams) in &report.streams {
                *sums.streams.entry(*service).or_default() += streams;
            }
            for (endpoint, late) in &report.late {
                *sums.late.entry(*endpoint).or_default() += late;
            }
        }
        self.sums = sums;
    }
}

impl Fleet {
    /// Updates what is known of pauses in streams before a decision.
    pub(super) fn update_interruptions(&mut self, now: Duration) {
        self.interruptions.update(now);
    }

    /// Returns the share of an endpoint's streams that paused for too long, where its service has
    /// `endpoints`.
    pub(super) fn late_share(&self, server: &Server, endpoints: usize) -> f64 {
        let Some(late) = self.interruptions.sums.late.get(&server.hash) else { return 0.0 };
        let streams = self.interruptions.sums.streams.get(&server.service_hash).copied().unwrap_or_default();
        #[expect(clippy::cast_precision_loss, reason = "endpoints are far fewer than 2^53")]
        let mean_streams = streams / endpoints.max(1) as f64;
        interruptions::late_share(*late, mean_streams)
    }
}

impl Run {
    /// Records the time for which a whole event was waited for, not counting the first one.
    pub fn record_event_wait(&mut self, waited: Duration, target: Duration) {
        self.has_streamed = true;
        self.has_paused_late |= waited > target;
    }

    /// Counts the run's stream.
    pub(super) fn record_stream(&mut self, fleet: &mut Fleet, now: Duration) {
        if !std::mem::take(&mut self.has_streamed)
            || self.dispatcher.settings.policies.interruptions == Interruptions::Ignored
        {
            return;
        }
        let Some(endpoint) = fleet.servers.get(self.key).map(|server| server.hash) else { return };
        if self.has_paused_late {
            metrics::counter!("relay_interrupted_streams_total", "service" => self.endpoint.service.clone())
                .increment(1);
        }
        fleet.interruptions.record(short_hash(&self.endpoint.service), endpoint, self.has_paused_late, now);
    }
}

impl Dispatcher {
    /// Returns this instance's observations of pauses in streams; `None` if there are none to
    /// send.
    #[must_use]
    pub fn interruption_report(&self) -> Option<InterruptionReport> {
        if self.settings.policies.interruptions == Interruptions::Ignored {
            return None;
        }
        let report = self.lock().fleet.interruptions.report(clock::now());
        (!report.streams.is_empty()).then_some(report)
    }

    /// Applies the observations of another instance, given by the short hash of its name.
    pub fn apply_interruption_report(&self, instance: u32, report: InterruptionReport) {
        if self.settings.policies.interruptions == Interruptions::Learned {
            self.lock().fleet.interruptions.reports.insert(instance, (clock::now(), report));
        }
    }
}
