//! A bounded run of records that remembers what it dropped.

use std::{collections::VecDeque, sync::Arc};

use crate::{Stamp, recorder::Record};

/// The latest records, up to a capacity.
#[derive(Debug)]
pub(crate) struct Ring {
    records: VecDeque<Arc<Record>>,
    capacity: usize,
    dropped: Option<Dropped>,
}

/// The last record a ring dropped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dropped {
    pub(crate) at: Stamp,
    pub(crate) number: u64,
}

impl Ring {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { records: VecDeque::new(), capacity: capacity.max(1), dropped: None }
    }

    pub(crate) fn push(&mut self, record: Arc<Record>) {
        if self.records.len() == self.capacity
            && let Some(oldest) = self.records.pop_front()
        {
            self.dropped = Some(Dropped { at: oldest.at, number: oldest.number });
        }
        self.records.push_back(record);
    }

    /// Records after a number, oldest first.
    pub(crate) fn after(&self, number: u64) -> impl DoubleEndedIterator<Item = &Arc<Record>> {
        let start = self.records.partition_point(|record| record.number <= number);
        self.records.range(start..)
    }

    /// The last record dropped after a number.
    pub(crate) fn dropped_after(&self, number: u64) -> Option<Dropped> {
        self.dropped.filter(|dropped| dropped.number > number)
    }
}
