//! The edge to the platform's object API.
//!
//! Everything that two instances could disagree about is settled by one
//! conditional write here, so this crate's job is to never guess what became
//! of a write. [`open`] returns a [`Handle`]; its calls
//!
//! - stay within this instance's share of the platform's rates ([`budget`]),
//!   claims first;
//! - try again after refusals and outages, with full jitter ([`backoff`]);
//! - mark every value with a nonce ([`envelope`]) and read back after a lost
//!   answer, so that the caller hears *done*, *lost the race* or, when even
//!   reading was impossible until the deadline, [`Error::Unknown`].
//!
//! Behind the handle stands one trait, [`api::Store`]: the HTTP client in
//! [`http`], or the scripted in-memory [`fake`] in tests.

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

/// Largest value the platform takes, in bytes, envelope included.
pub const MAX_VALUE: usize = 1 << 20;

/// Opens the platform's object API over HTTP; connects at the first call.
///
/// Must run inside a tokio runtime: the call budget is a task.
#[must_use]
pub fn open(settings: Settings) -> Handle {
    let store = http::Client::open(settings.address);
    open_with(settings, Arc::new(store))
}

/// Opens any store, such as a [`fake::Client`].
#[must_use]
pub fn open_with(settings: Settings, store: Arc<dyn api::Store>) -> Handle {
    Handle::open(settings, store)
}
