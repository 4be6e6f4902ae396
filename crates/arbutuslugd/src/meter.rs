//! The process's metrics, and the duty that operators see.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::sync::watch;

use crate::operators::Duty;

/// The metrics of this process. Daemons that share a process, as in a trial,
/// share them: the `metrics` facade has one recorder per process.
pub fn handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        tracing::warn!("another metrics recorder is installed; /metrics stays empty");
    }
    handle
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
