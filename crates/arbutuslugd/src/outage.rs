//! Records the platform's outages, as seen from here.

#[cfg(test)]
mod tests;

use timeline::{Event, OutageStep, Recorder};
use tokio::{sync::watch, time::Instant};
use world::time::millis;

/// Follows whether the platform answers, until its handle is gone.
pub async fn record(mut reachable: watch::Receiver<bool>, recorder: Recorder) {
    let mut begun: Option<Instant> = None;
    while reachable.changed().await.is_ok() {
        let answers = *reachable.borrow_and_update();
        match (answers, begun) {
            (false, None) => {
                begun = Some(Instant::now());
                recorder.record(Event::Outage { step: OutageStep::Begun });
            }
            (true, Some(since)) => {
                begun = None;
                let lasted_ms = millis(since.elapsed());
                recorder.record(Event::Outage { step: OutageStep::Ended { lasted_ms } });
            }
            _ => {}
        }
    }
}
