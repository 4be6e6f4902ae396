//! Header names, paths and body formats, supplied by the embedding program.
//!
//! This crate knows what each header is for, but not how a deployment names it.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderName;

/// Names and formats in the HTTP messages of callers, endpoints and this instance.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Header names.
    pub names: Names,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Path at which callers request the addresses of instances.
    pub addresses_path: &'static str,
    /// Reads the caller's failure domain from the query of an address request.
    pub parse_caller_domain: fn(&str) -> Option<String>,
    /// Builds the body that lists addresses and for how many seconds to cache them.
    pub build_addresses: fn(&[SocketAddr], u32) -> Bytes,
    /// Path at which an engine lists its prompt cache.
    pub cache_path: &'static str,
    /// Parses the list of a prompt cache, skipping invalid entries.
    pub parse_cached: fn(&[u8]) -> Vec<CachedPart>,
}

/// A part of a prompt that an engine holds in its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPart {
    /// Id of the part, as callers write it.
    pub part: String,
    /// Name of the model that processed the part.
    pub model: String,
}

/// Header names.
#[derive(Debug, Clone)]
pub struct Names {
    /// Request id chosen by the caller and echoed in the answer.
    pub request: HeaderName,
    /// Milliseconds left until the answer is due.
    pub deadline: HeaderName,
    /// Access key of the caller; never forwarded.
    pub key: HeaderName,
    /// Customer that owns the access key, sent to endpoints.
    pub customer: HeaderName,
    /// Name of the only endpoint that may run the request.
    pub expect_endpoint: HeaderName,
    /// Requested model.
    pub model: HeaderName,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub tokens: HeaderName,
    /// Number of output tokens that the caller expects.
    pub expected_output: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS` separated by commas.
    pub prompt_parts: HeaderName,
    /// Session of the caller.
    pub session: HeaderName,
    /// Rank of the request at the engine; 0 is served first.
    pub rank: HeaderName,
    /// Number of the last event that the receiver of a stream has.
    pub last_event: HeaderName,
    /// Present if the endpoint did not and will not run the request.
    pub not_run: HeaderName,
    /// Signature of the endpoint over its answer.
    pub signature: HeaderName,
    /// Confidence of the model in its answer, 0 to 100.
    pub confidence: HeaderName,
    /// Rate limit of the endpoint, in requests per second over all instances; in force until
    /// an answer comes without it.
    pub rate_limit: HeaderName,
    /// Number of rejections per second, over all instances, above which the endpoint crashes;
    /// in force until an answer comes without it.
    pub max_rejections: HeaderName,
    /// Says in an endpoint's answers that it is shutting down and should get no new requests.
    pub leaving: HeaderName,
    /// Endpoint from whose prompt cache the shared prefix is to be copied first.
    pub copy_from: HeaderName,
    /// Headers that only this instance sets; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}
