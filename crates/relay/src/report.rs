//! Advances rollouts and reports their stages to the store.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{dispatcher::Dispatcher, silence::SILENCE_TIMEOUT, source::Source};

/// Pause between checks of the rollouts.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

/// The same near the end of a roll-out's time, in which all sessions move to the version and it is decided
/// about.
const LAST_CHECKS_PAUSE: Duration = Duration::from_millis(100);

/// Number of checks after which any instance reports a stage that the store does not show
/// yet, because the instances that should report it have failed to.
const FALLBACK_CHECKS: u32 = 8;

/// Advances rollouts and reports their stages to the store; never returns.
///
/// Every instance advances rollouts. The instance whose name sorts first and those that
/// watch the store report the stages, and the others if these fail to. Reports are
/// conditional writes, so a late one changes nothing.
pub async fn advance_rollouts(dispatcher: Arc<Dispatcher>, source: Arc<dyn Source>) {
    let mut unreported_checks = 0;
    loop {
        sleep(if dispatcher.decides_soon() { LAST_CHECKS_PAUSE } else { CHECK_PAUSE }).await;
        let unreported = dispatcher.advance_rollouts();
        if unreported.is_empty() {
            unreported_checks = 0;
            continue;
        }
        unreported_checks += 1;
        // Instances that watch the store have the most evidence and see a stage end first.
        if !dispatcher.is_leader() && !dispatcher.watches_store() && unreported_checks < FALLBACK_CHECKS {
            continue;
        }
        for (rollout, stage) in unreported {
            match timeout(SILENCE_TIMEOUT, source.report_stage(&rollout, stage)).await {
                Ok(Ok(())) => {
                    tracing::info!(service = rollout.service, target = rollout.target, ?stage, "stage reported");
                    unreported_checks = 0;
                }
                Ok(Err(fault)) => tracing::info!(service = rollout.service, ?stage, %fault, "stage not reported"),
                Err(_) => tracing::info!(service = rollout.service, ?stage, "stage not reported: no answer in time"),
            }
        }
    }
}
