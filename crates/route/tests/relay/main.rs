//! Tests of the decisions about relayed requests.

mod allowance;
mod answer_length;
mod balance;
mod canary;
mod content;
mod engine_memory;
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
mod pace;
mod pace_effects;
mod placement;
mod quarantine;
mod reachability;
mod rejection;
mod reported_placement;
mod throttle;
