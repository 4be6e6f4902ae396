//! An HTTP relay that forwards requests to endpoints by host and path.
//!
//! Callers get instance addresses from any instance, connect and send requests.
//! The instance looks up the route in the catalog, chooses an endpoint of the
//! route's service, forwards the request and returns the endpoint's answer
//! unchanged. [`spawn`] starts these tasks:
//!
//! - `follow` synchronizes the catalog, endpoints and rollouts with a
//!   [`source::Source`]; `join` registers this instance and discovers the others;
//!   `report` advances rollouts;
//! - `news` exchanges loads, rollout evidence and membership with other instances;
//! - `probe` notices when services that could not be reached can be reached again;
//! - `quarantine` stores the requests that are refused because they crash endpoints;
//! - `share` serves the catalog to instances that cannot read it from the store, and
//!   `inquiry` answers them whether an endpoint accepts connections;
//! - `admission` decides when a request may be sent to a service above its capacity;
//! - `front` and `directory` accept connections; `exchange` handles one request,
//!   `upstream` sends it to one endpoint, `events` splits event streams so that
//!   they can be resumed at another endpoint, and `write_timeout` closes connections whose
//!   callers have stopped reading;
//! - `memory` accounts for all that connections hold, and `connections` and `uploads` decide which of
//!   them give way when it or the descriptors run out.
//!
//! Decisions are made in [`route::relay`]. The names of headers, paths and body
//! formats are passed in as a [`dialect::Dialect`].

pub mod admission;
mod answer;
mod buffer;
mod caches;
pub mod catalog;
pub mod clock;
mod connections;
pub mod dialect;
mod directory;
pub mod dispatcher;
mod events;
mod exchange;
pub mod explain;
mod follow;
mod front;
mod handle;
mod inquiry;
mod join;
mod log_limit;
mod memory;
pub mod network;
mod news;
mod payload;
mod probe;
mod quarantine;
mod report;
pub mod request_params;
pub mod rollout;
pub mod settings;
mod share;
mod silence;
pub mod source;
mod statements;
mod unsent;
mod uploads;
mod upstream;
mod write_timeout;

pub use handle::{Error, Handle, spawn};
pub use settings::Settings;
