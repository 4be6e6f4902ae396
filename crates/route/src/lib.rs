//! The decisions, pure: no I/O, no clock, no global random source.
//!
//! Every function takes what it needs, time and random source included, and
//! returns the decision with its reason, so that `explain` can print why.

pub mod address;
pub mod admission;
pub mod endpoint;
pub mod guard;
pub mod model;
pub mod quality;
pub mod relay;
pub mod retry;
pub mod rollout;
