//! Routing decisions as pure functions: no I/O, no clock, no global random source.
//!
//! Functions take all their inputs as arguments, including the current time and
//! random numbers. Choices of versions and endpoints carry their reason, which
//! `arbutuslug explain` prints.

pub mod address;
pub mod admission;
pub mod endpoint;
pub mod guard;
pub mod model;
pub mod quality;
pub mod relay;
pub mod retry;
pub mod rollout;
