//! Stamps on messages, so that an effect's event never comes before its cause's.

use timeline::{Recorder, Stamp};

/// On the wire: the sender has no clock.
const NONE: u64 = 0;

/// The process's hybrid logical clock, if it has one.
#[derive(Debug, Clone)]
pub(crate) struct Ticks(Option<Recorder>);

impl Ticks {
    pub(crate) fn new(recorder: Option<Recorder>) -> Self {
        Self(recorder)
    }

    /// For a message about to be sent.
    pub(crate) fn stamp(&self) -> u64 {
        self.0.as_ref().map_or(NONE, |recorder| recorder.clock().0)
    }

    /// Of a message just received, before anything acts on it.
    pub(crate) fn observe(&self, stamp: u64) {
        if let Some(recorder) = &self.0
            && stamp != NONE
        {
            recorder.observe(Stamp(stamp));
        }
    }
}
