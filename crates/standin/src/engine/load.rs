//! Load reports that lag.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;
use world::{Millis, Timestamp};

use crate::fault::wall_clock;

/// Changes of load kept, so that a report has something old to tell.
const MAX_MARKS: usize = 4_096;

/// How much there is to do at one time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Mark {
    at: Option<Instant>,
    /// Wall clock of the report.
    pub(super) as_of: Timestamp,
    pub(super) running: usize,
    pub(super) queued: usize,
}

/// What the load was lately.
#[derive(Debug, Default)]
pub(super) struct Load {
    marks: VecDeque<Mark>,
}

impl Load {
    pub(super) fn mark(&mut self, running: usize, queued: usize) {
        if self.marks.len() == MAX_MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark { at: Some(Instant::now()), as_of: wall_clock(), running, queued });
    }

    /// What a report says that lags by `lag`: the load as it was then.
    pub(super) fn report(&self, lag: Millis) -> Mark {
        let as_of = Timestamp(wall_clock().0.saturating_sub(lag));
        let until = Instant::now().checked_sub(Duration::from_millis(lag));
        let known = self.marks.iter().rev().find(|mark| mark.at <= until);
        known.map_or(Mark { at: None, as_of, running: 0, queued: 0 }, |mark| Mark { as_of, ..*mark })
    }
}
