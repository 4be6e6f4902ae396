//! Loads of all live instances, summed up by endpoint.
//!
//! Kept in step by difference: a word replaces the one before it, so its cost is
//! what the two carry and does not grow with instances or endpoints. Loads in
//! news are whole numbers, so adding and taking away again is exact.

use std::collections::HashMap;

use crate::desk::fleet::Load;

/// Sums by the hash of the endpoint's name.
#[derive(Debug, Default)]
pub(super) struct Sums {
    sums: HashMap<u32, Sum>,
    changed: Vec<u32>,
}

#[derive(Debug, Default)]
struct Sum {
    /// Instances that contribute.
    instances: u32,
    load: Load,
}

impl Sums {
    /// What all live instances put on an endpoint.
    pub(super) fn of(&self, endpoint: u32) -> Load {
        self.sums.get(&endpoint).map(|sum| sum.load).unwrap_or_default()
    }

    /// Adds what an instance puts on endpoints.
    pub(super) fn add(&mut self, loads: &HashMap<u32, Load>) {
        for (endpoint, load) in loads {
            let sum = self.sums.entry(*endpoint).or_default();
            sum.instances += 1;
            sum.load.runs += load.runs;
            sum.load.backlog_ms += load.backlog_ms;
            self.changed.push(*endpoint);
        }
    }

    /// Takes away what was added of an instance.
    pub(super) fn take_away(&mut self, loads: &HashMap<u32, Load>) {
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

    /// Endpoints whose sums may have changed since the last call.
    pub(super) fn take_changed(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.changed)
    }
}
