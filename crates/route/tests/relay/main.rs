//! Tests of the decisions about relayed requests.

mod allowance;
mod canary;
mod content;
mod freshness;
mod fronts;
mod holders;
mod ladder;
mod notice;
mod pace;
mod patience;
mod placement;
mod quarantine;
mod throttle;
