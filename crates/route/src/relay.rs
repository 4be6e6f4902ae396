//! Decisions about requests that pass through unchanged.
//!
//! [`placement`] picks the endpoint, [`allowance`] bounds repeated
//! dispatches over the fleet, [`freshness`] says how long access keys may be
//! believed, [`canary`] deals requests to a version under roll-out and judges
//! it, [`ladder`] picks the model, [`pace`] learns how long reading takes,
//! [`mod@patience`] bounds the wait for a first byte,
//! [`notice`] keeps what endpoints still have to read for other instances,
//! [`holders`] what they have read; [`fronts`] picks the instances that a caller is
//! told of; [`content`] tells requests apart by what they ask for, and
//! [`quarantine`] keeps those from endpoints that crash under them; [`throttle`]
//! shares out the limits that endpoints name. Time is a [`std::time::Duration`]
//! since any fixed moment of the process, on a clock that also counts suspension.

pub mod allowance;
pub mod canary;
pub mod content;
pub mod freshness;
pub mod fronts;
pub mod holders;
pub mod ladder;
pub mod notice;
pub mod pace;
pub mod patience;
pub mod placement;
pub mod quarantine;
pub mod throttle;
