//! Budget tasks for the instances of a test fleet.

use budget::{Config, Handle};

use crate::fleet::Fleet;

/// Starts the budget task of instance `n`, on the clock of its journal.
pub fn open(fleet: &Fleet, n: usize) -> Handle {
    let node = &fleet.nodes[n];
    let mut config = Config::new(node.journal.config().origin.clone());
    config.clock = node.journal.config().clock;
    budget::spawn(config, node.store.clone(), node.journal.clone())
}
