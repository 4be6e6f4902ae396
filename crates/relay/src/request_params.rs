//! Headers of a caller's request, decoded once, and helpers for header values.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use route::relay::content::Content;
use world::hash;

use crate::dialect::Names;

/// Parameters that a caller's request gives in its headers.
#[derive(Debug, Clone, Default)]
pub struct RequestParams {
    /// Request id that the caller chose.
    pub id: String,
    /// Time that the caller waits, counted from the request's arrival.
    pub deadline: Option<Duration>,
    /// Access key of the caller.
    pub key: Option<String>,
    /// Prompt length and maximum output length.
    pub tokens: Option<Tokens>,
    /// Number of output tokens that the caller expects; often far off.
    pub expected_output: Option<u32>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Hash of the caller's session.
    pub session: Option<u64>,
    /// Number of the last stream event that the caller has received.
    pub last_event: Option<u64>,
    /// Whether the caller lets this instance choose the model.
    pub any_model: bool,
}

/// Token counts of a generation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub output: u32,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part's id.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl RequestParams {
    /// Decodes the headers of a request.
    #[must_use]
    pub fn read(headers: &HeaderMap, names: &Names) -> Self {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            id: text(&names.request).unwrap_or_default().to_owned(),
            deadline: text(&names.deadline).and_then(|text| text.trim().parse().ok()).map(Duration::from_millis),
            key: text(&names.key).map(|key| key.trim().to_owned()),
            tokens: text(&names.tokens).and_then(tokens),
            expected_output: text(&names.expected_output).and_then(|text| text.trim().parse().ok()),
            parts: text(&names.prompt_parts).map(parts).unwrap_or_default(),
            session: text(&names.session).map(|session| hash::stable(session.as_bytes())),
            last_event: text(&names.last_event).and_then(|text| text.trim().parse().ok()),
            any_model: text(&names.model) == Some("*"),
        }
    }

    /// Returns the memory that the parameters take besides the head, in bytes, with that of the identities
    /// of the prompt's parts.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let parts = self.parts.capacity() * size_of::<Part>() + self.parts.len() * size_of::<Content>();
        self.id.len() + self.key.as_ref().map_or(0, String::len) + parts
    }

    /// Returns the longest prefix of the prompt that other requests share: the hash of its
    /// last part, and the tokens of all its parts. The prompt's last part is never shared.
    #[must_use]
    pub fn shared(&self) -> Option<Part> {
        let (_, shared) = self.parts.split_last()?;
        let last = shared.last()?;
        Some(Part { id: last.id, tokens: shared.iter().map(|part| part.tokens).sum() })
    }

    /// Returns the parts of the prompt that other requests may have as well.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of prompt tokens outside the shared prefix.
    #[must_use]
    pub fn own_tokens(&self) -> u32 {
        let prompt = self.tokens.map_or(0, |tokens| tokens.prompt);
        prompt.saturating_sub(self.shared().map_or(0, |part| part.tokens))
    }
}

fn tokens(text: &str) -> Option<Tokens> {
    let (prompt, output) = text.split_once(',')?;
    Some(Tokens { prompt: prompt.trim().parse().ok()?, output: output.trim().parse().ok()? })
}

fn parts(text: &str) -> Vec<Part> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(Part { id: hash::stable(id.as_bytes()), tokens: tokens.trim().parse().ok()? })
    };
    let mut parts: Vec<Part> = text.split(',').filter_map(part).collect();
    parts.shrink_to_fit();
    parts
}

/// Headers that apply to one connection only; the HTTP library sets its own.
const HOP_BY_HOP: [HeaderName; 9] = [
    http::header::CONNECTION,
    http::header::CONTENT_LENGTH,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::EXPECT,
];

/// Copies the headers that are forwarded, leaving out hop-by-hop headers.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name) || name == "keep-alive" || name == "proxy-connection";
        if !is_hop_by_hop && !named.iter().any(|other| other == name.as_str()) {
            copy.append(name, value.clone());
        }
    }
    copy
}

/// Returns a header value for `text`.
///
/// `text` comes from a number, the catalog or a header that was already decoded. A text
/// that is not a valid header value becomes empty, which no endpoint mistakes for
/// another value.
#[must_use]
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
