//! A caller's request, its headers decoded once.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use world::hash;

use crate::dialect::Names;

/// What a request's headers ask for.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// The caller's id of the request.
    pub id: String,
    /// Time the caller will wait, from the request's arrival.
    pub deadline: Option<Duration>,
    /// The caller's access key.
    pub key: Option<String>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
    /// Hash of the caller's session.
    pub session: Option<u64>,
    /// Last event the caller has.
    pub last_event: Option<u64>,
    /// Whether the caller leaves the model to this instance.
    pub any_model: bool,
}

/// Sizes of a generation, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tokens {
    /// Of the prompt.
    pub prompt: u32,
    /// Most that are generated.
    pub output: u32,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl Ask {
    /// Reads a request's headers.
    #[must_use]
    pub fn read(headers: &HeaderMap, names: &Names) -> Self {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            id: text(&names.request).unwrap_or_default().to_owned(),
            deadline: text(&names.deadline).and_then(|text| text.trim().parse().ok()).map(Duration::from_millis),
            key: text(&names.key).map(|key| key.trim().to_owned()),
            tokens: text(&names.tokens).and_then(tokens),
            parts: text(&names.parts).map(parts).unwrap_or_default(),
            session: text(&names.session).map(|session| hash::stable(session.as_bytes())),
            last_event: text(&names.last_event).and_then(|text| text.trim().parse().ok()),
            any_model: text(&names.model) == Some("*"),
        }
    }

    /// Hash of the longest part that other requests share, and its tokens,
    /// with all parts before it; the last part belongs to this request.
    #[must_use]
    pub fn shared(&self) -> Option<Part> {
        let (_, shared) = self.parts.split_last()?;
        let last = shared.last()?;
        Some(Part { id: last.id, tokens: shared.iter().map(|part| part.tokens).sum() })
    }

    /// Prompt tokens in no shared part.
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
    text.split(',').filter_map(part).collect()
}

/// Headers that concern one connection only; the library sets its own.
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

/// Copies the headers that concern more than one connection.
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
        let hop = HOP_BY_HOP.contains(name) || name == "keep-alive" || name == "proxy-connection";
        if !hop && !named.iter().any(|other| other == name.as_str()) {
            copy.append(name, value.clone());
        }
    }
    copy
}

/// A header's value from a number or checked text.
///
/// Texts come from catalogs and headers that were read before; one that is no
/// valid value becomes empty, which no endpoint takes for something else.
#[must_use]
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
