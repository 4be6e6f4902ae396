//! Tests of leases, orders and roll-outs under seeded faults, on a paused
//! clock.

mod engines;
mod lease;
mod operate;
mod orders;
mod rollout;
mod site;
mod steps;
mod support;
