//! Hybrid logical clock: wall-clock time that never runs against causality.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use uhlc::{HLC, HLCBuilder, ID, NTP64};
use world::Timestamp;

/// How far ahead of ours another instance's clock may run, in milliseconds.
pub const MAX_SKEW_MS: u64 = 10_000;

/// A point in the order of all events; later means "cannot have caused".
///
/// 64-bit NTP time whose lowest bits count events of one tick. As text it is
/// a decimal number, because JSON readers round integers above 2^53.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Stamp(pub u64);

impl Stamp {
    /// The wall-clock part.
    #[must_use]
    pub fn timestamp(self) -> Timestamp {
        let millis = NTP64(self.0).to_duration().as_millis();
        Timestamp(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// The earliest stamp of a wall-clock time.
    #[must_use]
    pub fn at(time: Timestamp) -> Self {
        Self(NTP64::from(Duration::from_millis(time.0)).as_u64())
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Stamp {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl TryFrom<String> for Stamp {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Stamp> for String {
    fn from(stamp: Stamp) -> Self {
        stamp.to_string()
    }
}

/// A stamp too far ahead of the own wall clock to be taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Skew {
    /// Milliseconds the stamp lies ahead.
    pub ahead_ms: u64,
}

impl fmt::Display for Skew {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a peer's clock runs {} ms ahead, more than {MAX_SKEW_MS}; set the instances' clocks", self.ahead_ms)
    }
}

impl std::error::Error for Skew {}

/// A process's clock.
pub struct Clock {
    hlc: HLC,
    wall: fn() -> NTP64,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::over(uhlc::system_time_clock)
    }
}

impl Clock {
    /// A clock over a source of wall-clock time.
    ///
    /// # Panics
    ///
    /// Never: the identity is a constant that the library takes.
    #[must_use]
    pub fn over(wall: fn() -> NTP64) -> Self {
        // The library's own identity is unused: records name their instance.
        let id = ID::try_from(1_u8).expect("1 is an identity");
        let delta = Duration::from_millis(MAX_SKEW_MS);
        Self { hlc: HLCBuilder::new().with_id(id).with_clock(wall).with_max_delta(delta).build(), wall }
    }

    /// The next stamp, later than every stamp given or observed before.
    #[must_use]
    pub fn tick(&self) -> Stamp {
        Stamp(self.hlc.new_timestamp().get_time().as_u64())
    }

    /// Moves on beyond another process's stamp.
    ///
    /// # Errors
    ///
    /// [`Skew`] when the stamp is too far ahead. One instance with a wrong
    /// clock would otherwise drag every other along; its events merge by
    /// their own stamps instead, and the skew is reported.
    pub fn observe(&self, stamp: Stamp) -> Result<(), Skew> {
        let remote = uhlc::Timestamp::new(NTP64(stamp.0), *self.hlc.get_id());
        if self.hlc.update_with_timestamp(&remote).is_ok() {
            return Ok(());
        }
        let now = Stamp((self.wall)().as_u64()).timestamp();
        Err(Skew { ahead_ms: stamp.timestamp().since(now) })
    }
}
