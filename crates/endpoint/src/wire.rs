//! Wire types of engines and the rating service.

use serde::{Deserialize, Serialize};

use crate::frame::{Reason, Usage};

/// Names an attempt to an engine or a plain service.
pub(crate) const ATTEMPT_HEADER: &str = "arbutuslug-attempt";
/// Rank among an engine's waiting runs, 0 first.
pub(crate) const PRIORITY_HEADER: &str = "arbutuslug-priority";
/// Milliseconds after which a refused call may be tried again.
pub(crate) const RETRY_AFTER_HEADER: &str = "retry-after-ms";
/// Data of a stream's last event.
pub(crate) const DONE: &str = "[DONE]";

/// One event of a streamed answer.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default)]
    pub usage: Option<Usage>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Choice {
    #[serde(default)]
    pub delta: Delta,
    #[serde(default)]
    pub finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Delta {
    #[serde(default)]
    pub content: Option<String>,
}

impl From<String> for Reason {
    fn from(text: String) -> Self {
        match text.as_str() {
            "stop" => Self::Stop,
            "length" => Self::Length,
            _ => Self::Other(text),
        }
    }
}

/// Answer of `POST /rate`.
#[derive(Debug, Deserialize)]
pub(crate) struct Rated {
    pub pass: bool,
}

/// Answer of `POST /v1/orders` when the fencing number is old.
#[derive(Debug, Deserialize)]
pub(crate) struct Fenced {
    pub fence: u64,
}

/// Answer of `POST /v1/orders`.
#[derive(Debug, Deserialize)]
pub(crate) struct Ordered {
    pub loaded: Vec<world::model::Version>,
}

/// Body of `POST /v1/orders`.
#[derive(Debug, Serialize)]
pub(crate) struct Order<'a> {
    pub fence: u64,
    pub load: &'a [world::model::Version],
    pub unload: &'a [world::model::Version],
}
