//! Client of the platform's object API.
//!
//! Instances resolve every conflict between them by one conditional write, so this crate
//! must never guess the outcome of a write. [`open`] returns a [`Handle`]. Its calls
//!
//! - stay within this instance's share of the platform's rate limits ([`budget`]), with
//!   priority for claims;
//! - are retried after rejections and outages, with full jitter ([`backoff`]);
//! - mark every value with a nonce ([`envelope`]) and read it back after a lost answer. The
//!   caller learns whether the write was done or lost the race or, if reading back failed
//!   until the deadline, gets [`Error::Unknown`].
//!
//! The handle uses the trait [`api::Store`], implemented by the HTTP client in [`http`] and,
//! for tests, by the in-memory [`fake`] with scripted faults.

pub mod api;
mod attempt;
pub mod backoff;
pub mod budget;
pub mod envelope;
mod error;
pub mod fake;
mod handle;
pub mod http;
mod item;
mod reach;
mod settings;
mod watch;

use std::sync::Arc;

pub use api::{Member, Role, Standing};
pub use attempt::Write;
pub use budget::Priority;
pub use error::Error;
pub use handle::Handle;
pub use item::{Item, Listing};
pub use settings::Settings;
pub use watch::{Batch, Change, Watch};

/// Largest value that the platform accepts, in bytes, including the envelope.
pub const MAX_VALUE: usize = 1 << 20;

/// Opens the platform's object API over HTTP; connects at the first call.
///
/// Must be called within a tokio runtime, since it spawns the tasks of the call budget.
#[must_use]
pub fn open(settings: Settings) -> Handle {
    let store = http::Client::open(settings.address);
    open_with(settings, Arc::new(store))
}

/// Opens any implementation of the store, such as a [`fake::Client`].
#[must_use]
pub fn open_with(settings: Settings, store: Arc<dyn api::Store>) -> Handle {
    Handle::open(settings, store)
}
