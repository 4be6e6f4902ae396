//! Names of the wire, given from outside.
//!
//! This crate knows what each header is for, not how a site spells it.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderName;

/// How callers, endpoints and this instance spell what they say.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Headers.
    pub names: Names,
    /// Path that tells whether this instance takes requests.
    pub ready_path: &'static str,
    /// Path that callers ask for addresses at.
    pub addresses_path: &'static str,
    /// The caller's failure domain, from the query of such a question.
    pub asking_domain: fn(&str) -> Option<String>,
    /// Body that lists addresses and says for how many seconds to keep them.
    pub addresses: fn(&[SocketAddr], u32) -> Bytes,
    /// Path at which an engine lists its prompt cache.
    pub cache_path: &'static str,
    /// Reads such a list; entries that do not read are left out.
    pub cached: fn(&[u8]) -> Vec<Cached>,
}

/// A part of a prompt that an engine keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cached {
    /// The part's id, as callers spell it.
    pub part: String,
    /// Name of the model that has read it.
    pub model: String,
}

/// Names of headers.
#[derive(Debug, Clone)]
pub struct Names {
    /// Caller's id of a request, echoed by answers.
    pub request: HeaderName,
    /// Milliseconds that are left for the answer.
    pub deadline: HeaderName,
    /// Caller's access key; never passed on.
    pub key: HeaderName,
    /// The key's team, as endpoints hear it.
    pub team: HeaderName,
    /// Endpoint that alone may run the request.
    pub expect_endpoint: HeaderName,
    /// Model asked for.
    pub model: HeaderName,
    /// Prompt tokens and most output tokens, by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt in order, `ID:TOKENS` by commas.
    pub parts: HeaderName,
    /// Caller's session.
    pub session: HeaderName,
    /// Rank at the engine, 0 first.
    pub rank: HeaderName,
    /// Last event that the receiver of a stream has.
    pub last_event: HeaderName,
    /// Says that the endpoint did not and will not run the request.
    pub not_run: HeaderName,
    /// Endpoint's signature over its answer.
    pub signature: HeaderName,
    /// Model's own opinion of its answer, 0 to 100.
    pub confidence: HeaderName,
    /// Requests a second that the endpoint takes from all instances together, while it
    /// says so.
    pub limit: HeaderName,
    /// Endpoint from whose memory a shared part is to be copied first.
    pub fetch: HeaderName,
    /// Set by this instance alone; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}
