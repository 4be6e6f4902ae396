//! Budget grants: escrow cut from a customer's budget.
//!
//! The customer's budget of a period is one object ([`account`]). Each
//! instance that serves the customer holds a grant in it, cut by conditional
//! update ahead of need and sized to the spending rate ([`wallet`]). A
//! request reserves its price ceiling from the grant before it runs; its bill
//! names the grant. A lost instance's grant is settled from its bills, after
//! the journal was told to take no more of them. [`spawn`] starts the task
//! and returns its [`Handle`].

pub mod account;
mod error;
mod handle;
mod job;
pub mod period;
mod purse;
mod task;
pub mod wallet;

use std::time::Duration;

use journal::{Clock, Origin};
use tokio::sync::mpsc;

pub use error::Error;
pub use handle::{Handle, Reservation};
pub use period::Period;
pub use wallet::Sizing;

/// How an instance's budgets are set up.
#[derive(Debug, Clone)]
pub struct Config {
    /// This run of this instance.
    pub origin: Origin,
    /// Wall-clock time.
    pub clock: Clock,
    /// How grants are sized.
    pub sizing: Sizing,
    /// Longest wait for the platform while a request waits.
    pub patience: Duration,
    /// How often wallets are tended.
    pub tick: Duration,
    /// A wallet unused for this long is given back.
    pub idle_after: Duration,
    /// A holder that is no member for this long is settled. Longer than the
    /// bills of a lost instance take to arrive from their second holder.
    pub settle_after: Duration,
    /// Longest wait for one settlement's closing.
    pub settle_patience: Duration,
    /// Records what becomes of grants.
    pub recorder: Option<timeline::Recorder>,
}

impl Config {
    /// Defaults for one instance.
    #[must_use]
    pub fn new(origin: Origin) -> Self {
        Self {
            origin,
            clock: Clock::System,
            sizing: Sizing::default(),
            patience: Duration::from_secs(2),
            tick: Duration::from_secs(10),
            idle_after: Duration::from_mins(5),
            settle_after: Duration::from_mins(1),
            settle_patience: Duration::from_secs(30),
            recorder: None,
        }
    }
}

/// Starts this instance's budgets. Must run inside a tokio runtime.
#[must_use]
pub fn spawn(config: Config, platform: store::Handle, journal: journal::Handle) -> Handle {
    let (tasks, inbox) = mpsc::unbounded_channel();
    tokio::spawn(task::Task::new(config, platform, journal).run(inbox));
    Handle { tasks }
}
