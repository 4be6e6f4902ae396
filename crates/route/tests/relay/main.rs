//! Tests of the decisions about relayed requests.

mod allowance;
mod canary;
mod content;
mod first_byte_timeout;
mod freshness;
mod fronts;
mod holders;
mod ladder;
mod ladder_calibration;
mod ladder_gain;
mod ladder_values;
mod latency;
mod notice;
mod placement;
mod quarantine;
mod reachability;
mod rejection;
mod throttle;
