//! Hybrid logical clock stamps on messages, so that an event in the timeline
//! is never ordered before its cause on another instance.

use timeline::{Recorder, Stamp};

/// Stamp on the wire of a sender without a clock.
const NONE: u64 = 0;

/// The process's hybrid logical clock, if it has one.
#[derive(Debug, Clone)]
pub(crate) struct HybridClock(Option<Recorder>);

impl HybridClock {
    pub(crate) fn new(recorder: Option<Recorder>) -> Self {
        Self(recorder)
    }

    /// Returns the stamp for a message about to be sent.
    pub(crate) fn stamp(&self) -> u64 {
        self.0.as_ref().map_or(NONE, |recorder| recorder.clock().0)
    }

    /// Advances the clock past the stamp of a received message. Call this before
    /// the message takes effect.
    pub(crate) fn observe(&self, stamp: u64) {
        if let Some(recorder) = &self.0
            && stamp != NONE
        {
            recorder.observe(Stamp(stamp));
        }
    }
}
