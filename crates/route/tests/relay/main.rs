//! Decisions about requests that pass through, by the load they answer.

mod allowance;
mod canary;
mod freshness;
mod ladder;
mod pace;
mod placement;
