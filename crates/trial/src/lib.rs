//! The trial: example deployments in one process, with stand-ins for all that
//! is outside, traffic through the public interface, and a check of what
//! callers got against the stand-ins' own records.
//!
//! The program runs it whole ([`program`]); tests strike it with faults
//! ([`scenario`]).

mod books;
mod caller;
mod check;
mod client;
mod command;
mod fleet;
mod harm;
mod plan;
pub mod program;
pub mod scenario;
mod serve;
mod site;
mod summary;
mod trace;
mod traffic;
mod withdraw;
