//! Control's failure tests, on a paused clock with seeded faults.

mod engines;
mod lease;
mod operate;
mod orders;
mod rollout;
mod site;
mod steps;
mod support;
