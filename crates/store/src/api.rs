//! The one trait between this process and the object API, with its messages.

use std::{fmt, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// An object API: over HTTP, or in memory in tests.
pub trait Store: fmt::Debug + Send + Sync {
    /// Makes one call and waits for its answer.
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
    /// Replaces an object if its version still is this one.
    Update {
        /// Its key.
        key: String,
        /// The version to replace.
        version: u64,
        /// Its new value, JSON.
        value: Bytes,
    },
    /// Deletes an object if its version still is this one.
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
        /// Most objects in the answer.
        limit: usize,
        /// Leaves out the values.
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

    /// Whether it changes anything.
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
    /// The write is done; the object's (or deletion's) version.
    Written(u64),
    /// The condition did not hold; the present version, 0 when absent.
    Conflict(u64),
    /// Objects read.
    Listed {
        /// The store's version of this answer.
        version: u64,
        /// The objects, by key.
        objects: Vec<Object>,
        /// Whether further keys follow.
        more: bool,
    },
    /// Changes, oldest first.
    Changed {
        /// The store's version up to which they are all here.
        version: u64,
        /// Objects changed; a deleted one has no value.
        changes: Vec<Object>,
    },
    /// The version to watch from is gone; list again.
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
    /// Its value, JSON; nothing when deleted or not asked for.
    pub value: Option<Bytes>,
}

/// A line of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Whether it takes work.
    #[serde(rename = "state")]
    pub standing: Standing,
}

/// What a listed instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the daemon.
    Entry,
    /// A back end.
    Endpoint,
}

/// Whether a listed instance takes work, as the lagging list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Past the rate; certainly not done.
    Busy {
        /// When to try again.
        retry_after: Duration,
    },
    /// Not taken; certainly not done.
    Down {
        /// For people.
        cause: String,
    },
    /// No answer; a write may or may not be done.
    Lost {
        /// For people.
        cause: String,
    },
    /// Refused for good; certainly not done.
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
