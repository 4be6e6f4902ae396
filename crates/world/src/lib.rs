//! Plain objects every crate speaks of, and their checks.
//!
//! Nothing here does I/O, reads a clock or draws a random number. Objects
//! arrive as YAML or JSON ([`object`]), are checked one by one and against
//! each other, and are then read through one immutable [`catalog::Catalog`]
//! per generation.

pub mod catalog;
pub mod contract;
pub mod domain;
pub mod endpoint;
pub mod hash;
pub mod instance;
pub mod model;
pub mod money;
mod name;
pub mod object;
pub mod pool;
pub mod request;
pub mod rollout;
pub mod service;
pub mod session;
pub mod time;
pub mod yaml;

pub use catalog::Catalog;
pub use name::{Invalid, MAX_NAME_LEN};
pub use time::{Millis, Timestamp};
