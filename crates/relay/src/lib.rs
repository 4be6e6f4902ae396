//! Requests passed through unchanged, by host and path.
//!
//! Callers ask any instance for addresses, connect and send requests; the
//! instance finds the route in the catalog, chooses an endpoint of the route's
//! service, forwards the request and hands the answer back as the endpoint
//! gave it. [`spawn`] starts it all:
//!
//! - `follow` keeps the catalog, the endpoints and roll-outs in step with a
//!   [`source::Source`]; `join` registers this instance and finds the others,
//!   `report` moves roll-outs on;
//! - `news` exchanges loads, evidence and membership with other instances;
//! - `quarantine` keeps requests under which endpoints crash in the source;
//! - `share` passes the catalog on to instances that cannot read it themselves;
//! - `front` and `directory` listen; `exchange` is the life of one request,
//!   `upstream` one try of it, `events` a stream of events resumed on the way.
//!
//! Decisions are made in [`route::relay`]. Names of headers, paths and formats
//! on the wire come from outside as a [`dialect::Dialect`].

mod answer;
pub mod ask;
mod caches;
pub mod catalog;
pub mod clock;
pub mod desk;
pub mod dialect;
mod directory;
mod events;
mod exchange;
mod follow;
mod front;
mod handle;
mod join;
mod news;
mod quarantine;
mod report;
pub mod rollout;
pub mod settings;
mod share;
mod silence;
pub mod source;
mod upstream;

pub use handle::{Error, Handle, spawn};
pub use settings::Settings;
