//! A request at the gate, and what it is told.

use std::time::Duration;

use route::relay::content::Content;

/// A request that asks to be sent to a service.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the team; empty if the route needs no key.
    pub team: &'a str,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Name of the route.
    pub route: &'a str,
    /// Identity by which the request is recognized if it comes again.
    pub content: Content,
    /// Time left until its deadline.
    pub left: Duration,
    /// Time left until its target time; zero if that is over.
    pub target_left: Duration,
    /// The route's target time.
    pub target_time: Duration,
    /// Index of the model to ask first.
    pub model: Option<usize>,
    /// Expected time to the first byte at an idle endpoint, in milliseconds.
    pub first_byte_ms: f64,
    /// Expected time to process its prompt, in milliseconds.
    pub prompt_ms: f64,
    /// Whether the run ends with its first byte, as far as times are concerned: the answer is
    /// not a stream.
    pub is_whole: bool,
    /// Whether the request goes on with one that was admitted before.
    pub is_resumption: bool,
}

/// What a service's endpoints can run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Number of runs at a time.
    pub slots: f64,
    /// Number of prompts that are processed at a time.
    pub engines: f64,
}

/// Refusal of a request, which has not run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Refused {
    /// Time until capacity is available.
    pub after: Duration,
    /// Time in which the callers that were refused can be served.
    pub spread: Duration,
    /// Expected time in the queue.
    pub wait: Duration,
    /// Time that was left until the request had to end.
    pub left: Duration,
    /// Age of the oldest demands of another instance that were used.
    pub oldest_news: Duration,
}
