//! Tests of the decisions about relayed requests.

mod allowance;
mod balance;
mod canary;
mod content;
mod first_byte_timeout;
mod freshness;
mod fronts;
mod holders;
mod ladder;
mod latency;
mod notice;
mod placement;
mod quarantine;
mod reachability;
mod rejection;
mod reported_placement;
mod throttle;
