//! Sums of the loads of all live instances, by endpoint.
//!
//! Sums are updated incrementally: the loads in a news message replace those in the sender's
//! previous one. The cost depends on the loads in these two messages and not on the number of
//! instances or endpoints.
//! Loads in news are whole numbers, so adding and subtracting them is exact.
//!
//! The age of a sum is the mean age of the runs in it. It is kept as a sum over the runs of the
//! time at which each was reported, so there is one number for each endpoint and none for each
//! instance.

use std::{collections::HashMap, time::Duration};

use crate::dispatcher::fleet::Load;

/// Sums by the hash of the endpoint's start.
#[derive(Debug, Clone, Default)]
pub(super) struct Sums {
    sums: HashMap<u32, Sum>,
    /// Endpoints whose sums may have changed since the last [`Sums::take_changed`].
    changed: Vec<u32>,
}

#[derive(Debug, Clone, Default)]
struct Sum {
    /// Number of instances that contribute.
    instances: u32,
    load: Load,
    /// Sum over the runs of the time at which each was reported, in milliseconds.
    reported_at_ms: u128,
}

impl Sums {
    /// Returns the load of all live instances on an endpoint.
    pub(super) fn of(&self, endpoint: u32) -> Load {
        self.sums.get(&endpoint).map(|sum| sum.load).unwrap_or_default()
    }

    /// Returns the mean time at which the runs on an endpoint were reported, or `None` if there are
    /// none.
    pub(super) fn reported_at(&self, endpoint: u32) -> Option<Duration> {
        let sum = self.sums.get(&endpoint)?;
        let mean_ms = sum.reported_at_ms.checked_div(whole(sum.load.runs))?;
        Some(Duration::from_millis(u64::try_from(mean_ms).unwrap_or(u64::MAX)))
    }

    /// Adds an instance's loads, reported at `at`.
    pub(super) fn add(&mut self, loads: &HashMap<u32, Load>, at: Duration) {
        for (endpoint, load) in loads {
            let sum = self.sums.entry(*endpoint).or_default();
            sum.instances += 1;
            sum.load.runs += load.runs;
            sum.load.backlog_ms += load.backlog_ms;
            sum.reported_at_ms += whole(load.runs) * at.as_millis();
            self.changed.push(*endpoint);
        }
    }

    /// Subtracts an instance's loads that were added before with the same time.
    pub(super) fn subtract(&mut self, loads: &HashMap<u32, Load>, at: Duration) {
        for (endpoint, load) in loads {
            let Some(sum) = self.sums.get_mut(endpoint) else { continue };
            sum.instances -= 1;
            sum.load.runs -= load.runs;
            sum.load.backlog_ms -= load.backlog_ms;
            sum.reported_at_ms -= whole(load.runs) * at.as_millis();
            if sum.instances == 0 {
                self.sums.remove(endpoint);
            }
            self.changed.push(*endpoint);
        }
    }

    /// Returns the endpoints whose sums may have changed since the last call.
    pub(super) fn take_changed(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.changed)
    }
}

/// Returns a number of runs, which is a whole number.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "runs in news are u16")]
pub(super) fn whole(runs: f64) -> u128 {
    runs as u128
}
