//! Typed events with a hybrid logical clock, and their merging over processes.
//!
//! Every process records what it does in a bounded [`Recorder`]. Messages
//! between processes carry a [`Stamp`]; whoever receives one observes it, so
//! that an event caused by a message always has the later stamp, whatever the
//! wall clocks say. [`merge::Timeline`] puts the pages of all instances into
//! one order and names each gap.

mod clock;
mod event;
mod filter;
pub mod follow;
pub mod merge;
mod recorder;
mod ring;

pub use clock::{Clock, MAX_SKEW_MS, Skew, Stamp};
pub use event::{Event, Found, GrantMove, Holding, Kind, OutageStep, Phase, Ran, Step, UnknownKind, Wanted};
pub use filter::{Filter, Subject};
pub use recorder::{Capacity, Page, Record, Recorder, Source};
