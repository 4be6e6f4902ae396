//! Decisions about requests that pass through, by the load they answer.

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
