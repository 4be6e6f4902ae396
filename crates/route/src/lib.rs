//! Routing decisions as pure functions: no I/O, no clock, no global random source.
//!
//! Every function takes all its inputs as arguments, including the current time
//! and the random source, and returns the decision together with its reason,
//! which `explain` prints.

pub mod address;
pub mod admission;
pub mod endpoint;
pub mod guard;
pub mod model;
pub mod quality;
pub mod relay;
pub mod retry;
pub mod rollout;
