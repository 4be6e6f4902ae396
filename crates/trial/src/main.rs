//! `trial`: both example deployments in one process, with stand-ins for all
//! that is outside, traffic through the public interface, and a check of what
//! callers got against the stand-ins' own records.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    trial::program::run().await
}
