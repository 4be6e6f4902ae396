//! One attempt: what it was asked, what it has given so far, how it ended.

use std::sync::atomic::AtomicBool;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use world::Timestamp;

use crate::{answer::Pace, fault::wall_clock};

/// The engine's own record of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The sender's name for it, `Arbutuslug-Attempt`.
    pub attempt: String,
    /// `model@number`.
    pub version: String,
    /// 0 highest.
    pub priority: u8,
    /// What was asked.
    pub prompt: String,
    /// When it came.
    pub received: Timestamp,
    /// Tokens made so far.
    pub tokens: u64,
    /// How it ended, if it has.
    pub end: Option<End>,
    /// When it ended, if it has.
    pub ended: Option<Timestamp>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Made its whole answer.
    Completed,
    /// Was cancelled by its sender.
    Cancelled,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) tokens: usize,
    pub(super) end: Option<End>,
    pub(super) ended: Option<Timestamp>,
}

impl Progress {
    /// Marks how and when it ended.
    pub(super) fn finish(&mut self, end: End) {
        self.end = Some(end);
        self.ended = Some(wall_clock());
    }
}

/// What usage an answer states.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Usage {
    #[serde(rename = "prompt_tokens")]
    pub(super) prompt: u64,
    #[serde(rename = "completion_tokens")]
    pub(super) completion: u64,
    #[serde(rename = "cached_tokens")]
    pub(super) cached: u64,
}

/// An attempt with its answer, which only `progress` makes visible.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: String,
    pub(super) version: String,
    pub(super) priority: u8,
    pub(super) prompt: String,
    pub(super) received: Timestamp,
    pub(super) answer: Vec<String>,
    pub(super) finish: &'static str,
    pub(super) usage: Usage,
    pub(super) pace: Pace,
    pub(super) progress: watch::Sender<Progress>,
    pub(super) cancel: CancellationToken,
    /// Known to the record only: its stream cannot be resumed.
    pub(super) forgotten: AtomicBool,
}

impl Attempt {
    pub(super) fn record(&self) -> Record {
        let Progress { tokens, end, ended } = *self.progress.borrow();
        Record {
            attempt: self.id.clone(),
            version: self.version.clone(),
            priority: self.priority,
            prompt: self.prompt.clone(),
            received: self.received,
            tokens: tokens as u64,
            end,
            ended,
        }
    }

    /// Makes the answer token by token, whoever listens.
    pub(super) async fn run(&self) {
        tokio::select! {
            () = self.cancel.cancelled() => {}
            () = self.make() => {}
        }
        let end = if self.cancel.is_cancelled() { End::Cancelled } else { End::Completed };
        self.progress.send_modify(|progress| progress.finish(end));
    }

    async fn make(&self) {
        crate::fault::pause(self.pace.first).await;
        for index in 0..self.answer.len() {
            if index > 0 {
                crate::fault::pause(self.pace.next).await;
            }
            self.progress.send_modify(|progress| progress.tokens = index + 1);
        }
    }
}
