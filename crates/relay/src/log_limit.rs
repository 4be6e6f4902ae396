//! Limits log lines that callers can cause at will.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::clock;

/// Most lines in a span. Whoever sends requests that are refused must not fill the operator's log.
const MAX_LINES: u32 = 100;

/// Length of a span.
const SPAN: Duration = Duration::from_secs(5);

/// Decides which lines are logged.
#[derive(Debug, Default)]
pub struct LogLimit(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    began: Duration,
    lines: u32,
    suppressed: u64,
}

impl LogLimit {
    /// Whether another line may be logged; counts it if not.
    pub fn admits(&self) -> bool {
        self.admits_at(clock::now())
    }

    /// Returns the number of lines that were not logged since the last call.
    pub fn take_suppressed(&self) -> u64 {
        std::mem::take(&mut self.lock().suppressed)
    }

    fn admits_at(&self, now: Duration) -> bool {
        let mut state = self.lock();
        if now >= state.began + SPAN {
            (state.began, state.lines) = (now, 0);
        }
        let is_admitted = state.lines < MAX_LINES;
        if is_admitted {
            state.lines += 1;
        } else {
            state.suppressed += 1;
        }
        is_admitted
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
