//! The daemon: one per entry instance.
//!
//! [`Daemon::spawn`] starts the tasks of every crate and wires their messages
//! together; nothing is decided here. [`process::Process`] runs a daemon on a
//! thread of its own, for trials and tests that hold many in one process.

pub mod daemon;
pub mod explain;
mod list;
mod members;
mod meter;
pub mod operators;
mod outage;
pub mod process;
mod pump;
mod registry;
pub mod relaying;

pub use daemon::Daemon;
pub use process::Process;
