//! The operators' command-line tool, as a library that tests can call.
//!
//! [`run`] reads the command line (`command`, `invocation`), asks the
//! instances (`fleet`) and writes to a [`Console`]. What one verb does is in
//! `verb`, a module each.

mod command;
mod console;
mod describe;
mod environment;
mod exit;
mod fleet;
mod invocation;
mod table;
mod verb;

use std::ffi::OsString;

pub use command::command;
pub use console::{Console, Format};
pub use environment::Environment;
pub use exit::{Exit, Failure};
pub use invocation::{Invocation, Stop, Verb};

/// Runs one command line, program name included.
pub async fn run(
    args: impl IntoIterator<Item = OsString>,
    environment: &Environment,
    console: &mut Console<'_>,
) -> Exit {
    let invocation = match Invocation::parse(args, environment) {
        Ok(invocation) => invocation,
        Err(stop) => return stop.report(console),
    };
    console.set_format(invocation.format);
    match verb::run(&invocation, console).await {
        Ok(()) => Exit::Done,
        Err(failure) => failure.report(console),
    }
}
