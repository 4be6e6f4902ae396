//! Roll-outs moved on, and their stages reported to the store.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{desk::Desk, silence::SILENCE, source::Source};

/// Pause between looks at roll-outs.
const ROLLOUT_PAUSE: Duration = Duration::from_millis(250);

/// Looks after which any instance reports a stage that the store does not show,
/// the one whose duty it is having failed to.
const OTHERS_TURN: u32 = 8;

/// Moves roll-outs on and reports their stages to the store.
///
/// Every instance does; the one whose name comes first and those that watch the
/// store report, and the others if they fail to. Reports are conditional writes, so whoever is late changes
/// nothing.
pub async fn roll_out(desk: Arc<Desk>, source: Arc<dyn Source>) {
    let mut unsaid_for = 0;
    loop {
        sleep(ROLLOUT_PAUSE).await;
        let unsaid = desk.advance_trials();
        if unsaid.is_empty() {
            unsaid_for = 0;
            continue;
        }
        unsaid_for += 1;
        // Those that watch the store have the most evidence and know first.
        if !desk.leads() && !desk.watches_store() && unsaid_for < OTHERS_TURN {
            continue;
        }
        for (rollout, stage) in unsaid {
            match timeout(SILENCE, source.report(&rollout, stage)).await {
                Ok(Ok(())) => {
                    tracing::info!(service = rollout.service, target = rollout.target, ?stage, "stage reported");
                    unsaid_for = 0;
                }
                Ok(Err(fault)) => tracing::info!(service = rollout.service, ?stage, %fault, "stage not reported"),
                Err(_) => tracing::info!(service = rollout.service, ?stage, "stage not reported: no answer in time"),
            }
        }
    }
}
