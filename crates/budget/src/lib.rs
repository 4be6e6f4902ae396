//! Budget grants: money reserved for this instance out of a customer's budget.
//!
//! A customer's budget for one period is one object in the platform
//! ([`account`]). Each instance that serves the customer holds a grant in that
//! object. It extends the grant by conditional updates ahead of demand, by an
//! amount that follows the spending rate ([`wallet`]). A request reserves its
//! price ceiling from the grant before it runs, and its bill names the grant.
//! The grant of a lost instance is settled from its bills, after the journal
//! has been told to reject further bills against it. [`spawn`] starts the task
//! and returns its [`Handle`].

pub mod account;
mod error;
mod escrow;
mod grant;
mod handle;
pub mod period;
mod task;
pub mod wallet;

use std::time::Duration;

use journal::{Clock, Origin};
use tokio::sync::mpsc;

pub use error::Error;
pub use handle::{Handle, Reservation};
pub use period::Period;
pub use wallet::Sizing;

/// Configuration of one instance's budget task.
#[derive(Debug, Clone)]
pub struct Config {
    /// Instance and incarnation that hold the grants.
    pub origin: Origin,
    /// Clock that decides which budget period is current.
    pub clock: Clock,
    /// How grants are sized.
    pub sizing: Sizing,
    /// Time limit of a platform call that a request waits for.
    pub platform_timeout: Duration,
    /// Interval of the maintenance of wallets: closing unused ones, returning
    /// excess money, settling grants of lost holders.
    pub maintenance_interval: Duration,
    /// Time without a reservation after which a wallet is closed and its
    /// unspent money returned.
    pub idle_after: Duration,
    /// Time that a holder must have been absent from the membership before its
    /// grant is settled. Must be longer than the peer that keeps copies of a
    /// lost instance's bills takes to deliver them.
    pub settle_after: Duration,
    /// Time limit for closing a lost holder in the journal.
    pub settle_timeout: Duration,
    /// Recorder for grant events; `None` records nothing.
    pub recorder: Option<timeline::Recorder>,
}

impl Config {
    /// Returns the default configuration for one instance.
    #[must_use]
    pub fn new(origin: Origin) -> Self {
        Self {
            origin,
            clock: Clock::System,
            sizing: Sizing::default(),
            platform_timeout: Duration::from_secs(2),
            maintenance_interval: Duration::from_secs(10),
            idle_after: Duration::from_mins(5),
            settle_after: Duration::from_mins(1),
            settle_timeout: Duration::from_secs(30),
            recorder: None,
        }
    }
}

/// Starts this instance's budget task. Must run inside a tokio runtime.
#[must_use]
pub fn spawn(config: Config, platform: store::Handle, journal: journal::Handle) -> Handle {
    let (messages, inbox) = mpsc::unbounded_channel();
    tokio::spawn(task::Task::new(config, platform, journal).run(inbox));
    Handle { messages }
}
