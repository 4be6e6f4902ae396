//! Claims, bills and caller-named sessions, kept in the platform.
//!
//! Records fall into shards by their key. A shard's log is a run of segments
//! in the platform ([`object`]); its state is a pure function of the log
//! ([`state`]). Each shard has one home among the live instances
//! ([`placement`]), which groups records into segments (`home`) and proves
//! by every write that it still is the home. [`spawn`] starts an instance's
//! part and returns its [`Handle`]; questions for other homes leave as
//! [`Outbound`] messages and are answered there by [`Handle::serve`].

pub mod audit;
pub mod bill;
mod books;
pub mod clock;
mod compact;
pub mod config;
pub mod error;
mod handle;
mod home;
mod keeper;
mod load;
pub mod object;
pub mod op;
pub mod placement;
pub mod record;
mod router;
pub mod state;
pub mod wire;

pub use bill::Bill;
pub use clock::Clock;
pub use config::{BillWait, Config};
pub use error::{Error, Reason};
pub use handle::{Claimed, Handle, Receipt, Registered, spawn};
pub use op::Known;
pub use placement::Member;
pub use record::Origin;
pub use router::Outbound;
