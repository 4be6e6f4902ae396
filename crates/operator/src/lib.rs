//! The operators' service: wire types, their conversions, and the client.
//!
//! [`wire`] is generated from `proto/operator.proto`. Both ends turn wire
//! messages into the types here at once, so that a malformed message is
//! refused at the edge and named by its field. Objects and events travel in
//! the JSON form that crates `world` and `timeline` own: a second schema of
//! every kind here would have to be kept true to the first.

mod answer;
mod bill;
mod client;
mod edit;
mod error;
mod page;
mod status;

pub use answer::{Applied, Conflict, Fault, Outcome, Revision, Stored};
pub use bill::{Account, Bill};
pub use client::{Client, MAX_MESSAGE_BYTES, Messages, Target};
pub use edit::{Action, Change, Edit, What};
pub use error::{Error, Malformed};
pub use page::{Events, Seen};
pub use status::{Draining, Member, Progress, Status};

/// Generated messages, client and server.
#[expect(clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod wire;
