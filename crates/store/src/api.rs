//! Trait and messages of the object API.

use std::{fmt, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// An object API: over HTTP, or in memory in tests.
pub trait Store: fmt::Debug + Send + Sync {
    /// Makes one call and returns its answer.
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Answer, Fault>>;
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get {
        /// Its key.
        key: String,
    },
    /// Creates an object if its key is free.
    Create {
        /// Its key.
        key: String,
        /// Its value, JSON.
        value: Bytes,
    },
    /// Replaces an object if its version is the given one.
    Update {
        /// Its key.
        key: String,
        /// The version to replace.
        version: u64,
        /// Its new value, JSON.
        value: Bytes,
    },
    /// Deletes an object if its version is the given one.
    Delete {
        /// Its key.
        key: String,
        /// The version to delete.
        version: u64,
    },
    /// Reads objects in the order of their keys.
    List {
        /// Start of the keys.
        prefix: String,
        /// Only keys above this one; empty for all.
        after: String,
        /// Maximum number of objects in the answer.
        limit: usize,
        /// Whether to leave out the values.
        keys_only: bool,
    },
    /// Waits for changes.
    Watch {
        /// Start of the keys.
        prefix: String,
        /// Changes above this version.
        from: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Reads the list of instances.
    Instances,
}

impl Call {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::Create { .. } => "create",
            Self::Update { .. } => "update",
            Self::Delete { .. } => "delete",
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Instances => "instances",
        }
    }

    /// Whether the call changes an object.
    #[must_use]
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Create { .. } | Self::Update { .. } | Self::Delete { .. })
    }
}

/// An answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The object read.
    Found(Object),
    /// No such object.
    Absent,
    /// The write was done; contains the version of the object or of its deletion.
    Written(u64),
    /// The condition did not hold; contains the current version, 0 if there is no object.
    Conflict(u64),
    /// Objects read.
    Listed {
        /// Version of the store that the answer shows.
        version: u64,
        /// The objects, by key.
        objects: Vec<Object>,
        /// Whether further keys follow.
        more: bool,
    },
    /// Changes, oldest first.
    Changed {
        /// Version of the store up to which the changes are complete.
        version: u64,
        /// Objects changed; a deleted one has no value.
        changes: Vec<Object>,
    },
    /// The history since the requested version is no longer kept; list again.
    Compacted {
        /// The oldest version that can be watched from.
        oldest: u64,
    },
    /// The list of instances.
    Instances(Vec<Member>),
}

/// An object as stored, envelope included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Version of its last change.
    pub version: u64,
    /// Its value, JSON; `None` if it was deleted or not requested.
    pub value: Option<Bytes>,
}

/// An entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Whether it accepts work.
    #[serde(rename = "state")]
    pub standing: Standing,
}

/// Role of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the daemon.
    Entry,
    /// A back end.
    Endpoint,
}

/// Whether a listed instance accepts work. The list lags behind reality.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Accepts work.
    Live,
    /// Accepts no new work.
    Leaving,
}

/// Why a call got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The rate limit was exceeded; the call certainly had no effect.
    Busy {
        /// Time after which to try again.
        retry_after: Duration,
    },
    /// The call was not accepted; it certainly had no effect.
    Down {
        /// Cause, as text for logs.
        cause: String,
    },
    /// No answer; a write may or may not have been done.
    Lost {
        /// Cause, as text for logs.
        cause: String,
    },
    /// Rejected permanently; the call certainly had no effect.
    Refused {
        /// The platform's message.
        message: String,
    },
}

impl Fault {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Busy { .. } => "busy",
            Self::Down { .. } => "down",
            Self::Lost { .. } => "lost",
            Self::Refused { .. } => "refused",
        }
    }
}
