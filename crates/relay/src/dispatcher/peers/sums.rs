//! Sums of the loads of all live instances, by endpoint.
//!
//! Sums are updated incrementally: the loads in a news message replace those in the sender's
//! previous one. The cost depends on the loads in these two messages and not on the number of
//! instances or endpoints.
//! Loads in news are whole numbers, so adding and subtracting them is exact.

use std::collections::HashMap;

use crate::dispatcher::fleet::Load;

/// Sums by the hash of the endpoint's start.
#[derive(Debug, Default)]
pub(super) struct Sums {
    sums: HashMap<u32, Sum>,
    /// Endpoints whose sums may have changed since the last [`Sums::take_changed`].
    changed: Vec<u32>,
}

#[derive(Debug, Default)]
struct Sum {
    /// Number of instances that contribute.
    instances: u32,
    load: Load,
}

impl Sums {
    /// Returns the load of all live instances on an endpoint.
    pub(super) fn of(&self, endpoint: u32) -> Load {
        self.sums.get(&endpoint).map(|sum| sum.load).unwrap_or_default()
    }

    /// Adds an instance's loads.
    pub(super) fn add(&mut self, loads: &HashMap<u32, Load>) {
        for (endpoint, load) in loads {
            let sum = self.sums.entry(*endpoint).or_default();
            sum.instances += 1;
            sum.load.runs += load.runs;
            sum.load.backlog_ms += load.backlog_ms;
            self.changed.push(*endpoint);
        }
    }

    /// Subtracts an instance's loads that were added before.
    pub(super) fn subtract(&mut self, loads: &HashMap<u32, Load>) {
        for (endpoint, load) in loads {
            let Some(sum) = self.sums.get_mut(endpoint) else { continue };
            sum.instances -= 1;
            sum.load.runs -= load.runs;
            sum.load.backlog_ms -= load.backlog_ms;
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
