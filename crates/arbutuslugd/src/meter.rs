//! The process's metrics, and the duty that operators see.

use std::{sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::operators::Duty;

/// Bounds of every span's buckets, in seconds. Buckets and no quantiles: those
/// of several instances cannot be added up.
const SPANS: [f64; 14] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.42, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Bounds of every other distribution's buckets.
const COUNTS: [f64; 10] = [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0];

/// Bounds of the buckets of models' confidences, which are compared with answers checked elsewhere.
const CONFIDENCES: [f64; 10] = [10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 100.0];

/// How often samples are gathered into buckets.
const GATHER: Duration = Duration::from_secs(5);

/// The metrics of this process. Daemons that share a process, as in a trial,
/// share them: the `metrics` facade has one recorder per process.
pub fn handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new()
        .set_buckets(&COUNTS)
        .and_then(|builder| builder.set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &SPANS))
        .and_then(|builder| builder.set_buckets_for_metric(Matcher::Full("relay_confidence".into()), &CONFIDENCES))
        .expect("there are bounds");
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        tracing::warn!("another metrics recorder is installed; /metrics stays empty");
    }
    handle
}

/// Gathers samples while nobody reads them: each is kept until then, so that
/// an instance without a scraper would grow with its requests.
pub async fn gather(metrics: PrometheusHandle) {
    let mut ticks = interval(GATHER);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}

/// Keeps the duty's count of requests, until either side ends.
pub async fn count(mut in_flight: watch::Receiver<u64>, duty: watch::Sender<Duty>) {
    loop {
        let now = *in_flight.borrow_and_update();
        duty.send_modify(|duty| duty.in_flight = now);
        if in_flight.changed().await.is_err() {
            return;
        }
    }
}
