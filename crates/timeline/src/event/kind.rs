//! Kinds of events.

use std::fmt;

use serde::{Deserialize, Serialize};

#[cfg(doc)]
use super::Event;

/// What an event is about; filters and labels use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Event::Request`].
    Request,
    /// [`Event::Configuration`] and [`Event::Freshness`].
    Configuration,
    /// [`Event::Edit`].
    Edit,
    /// [`Event::Rollout`].
    Rollout,
    /// [`Event::Order`].
    Order,
    /// [`Event::Stop`].
    Stop,
    /// [`Event::TakeOver`] and [`Event::HandOver`].
    TakeOver,
    /// [`Event::Membership`].
    Membership,
    /// [`Event::Grant`].
    Grant,
    /// [`Event::Outage`].
    Outage,
    /// [`Event::Lifecycle`].
    Lifecycle,
    /// [`Event::ClockSkew`].
    Clock,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 12] = [
        Self::Request,
        Self::Configuration,
        Self::Edit,
        Self::Rollout,
        Self::Order,
        Self::Stop,
        Self::TakeOver,
        Self::Membership,
        Self::Grant,
        Self::Outage,
        Self::Lifecycle,
        Self::Clock,
    ];

    /// The kind as commands and labels spell it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Configuration => "configuration",
            Self::Edit => "edit",
            Self::Rollout => "rollout",
            Self::Order => "order",
            Self::Stop => "stop",
            Self::TakeOver => "take_over",
            Self::Membership => "membership",
            Self::Grant => "grant",
            Self::Outage => "outage",
            Self::Lifecycle => "lifecycle",
            Self::Clock => "clock",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or_else(|| UnknownKind(text.into()))
    }
}

/// A text that names no kind of event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKind(pub String);

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
        write!(f, "unknown kind of event `{}`; use one of {}", self.0.escape_debug(), known.join(", "))
    }
}

impl std::error::Error for UnknownKind {}
