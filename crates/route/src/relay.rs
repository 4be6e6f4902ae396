//! Decisions about requests that are relayed to endpoints unchanged.
//!
//! [`placement`] picks the endpoint, [`balance`] does so in turns, [`ladder`] picks the model, and
//! [`mod@first_byte_timeout`] sets the timeout for the first byte, based on the estimate of
//! [`latency`]. [`answer_length`] predicts whether a model's output ends before the deadline.
//! [`pace`] learns how fast each endpoint is, and [`engine_memory`] counts the
//! tokens of runs against engines' memory. [`holders`] tracks which endpoints have a prompt prefix in their cache, and
//! [`notice`] tracks the prompt processing that other instances have sent to them.
//! [`allowance`] bounds retries over the whole fleet, and [`throttle`] divides the rate
//! limits that endpoints announce among the instances, and [`rejection`] the rejections that they
//! survive. [`freshness`] decides how long
//! access keys and the catalog may be used without confirmation. [`canary`] assigns
//! requests to a version under roll-out and evaluates it. [`fronts`] picks the instances
//! that are listed to a caller. [`content`] identifies equal requests, and [`quarantine`]
//! refuses those that crash endpoints. [`reachability`] recognizes that this instance has lost
//! its path to a service.
//!
//! Time is a [`std::time::Duration`] since an arbitrary fixed moment of the process, on a
//! clock that also counts time in which the machine is suspended.

pub mod allowance;
pub mod answer_length;
pub mod balance;
pub mod canary;
pub mod content;
pub mod engine_memory;
pub mod first_byte_timeout;
pub mod freshness;
pub mod fronts;
pub mod holders;
pub mod ladder;
pub mod latency;
pub mod notice;
pub mod pace;
pub mod placement;
pub mod quarantine;
pub mod reachability;
pub mod rejection;
pub mod throttle;
