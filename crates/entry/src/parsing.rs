//! Parsing of a caller's headers and body.
//!
//! Everything is checked once, in this module: its results are typed, and input
//! that cannot be parsed gives a [`Problem`] that names the faulty part. Members of
//! a chat request that are not needed here are passed to the engine unchanged.

use std::collections::BTreeMap;

use base64::Engine;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, header};
use serde::Deserialize;
use serde_json::value::RawValue;
use subtle::ConstantTimeEq;
use world::{
    Catalog, Millis, Timestamp,
    contract::{self, Customer},
    hash, model, request,
    request::{Class, Repeat},
};

use crate::problem::{Kind, Problem};

/// Header with the request's key, by which repeats are recognized.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header whose value `false` marks a request that must not be repeated.
pub const IDEMPOTENT_HEADER: HeaderName = HeaderName::from_static("arbutuslug-idempotent");
/// Header that names the session.
pub const SESSION_HEADER: HeaderName = HeaderName::from_static("arbutuslug-session");
/// Header with the number of milliseconds within which the answer must be complete.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("arbutuslug-deadline-ms");
/// Header that names the request class.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("arbutuslug-request-class");

/// Class of a request that does not name one.
const DEFAULT_CLASS: &str = "default";
/// Longest deadline of a request, in milliseconds; longer ones are cut to it.
const MAX_DEADLINE_MS: Millis = 60 * 60 * 1_000;
/// Number of prompt bytes that are counted as one token; the exact number of tokens
/// is not known.
const BYTES_PER_TOKEN: usize = 4;
/// Number of leading bytes of the prompt whose hash identifies its cached prefix.
const PREFIX_BYTES: usize = 256;

/// The terms of a call, given by its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Customer that sent the request.
    pub customer: Customer,
    /// Identifier of the request.
    pub id: request::Id,
    /// Whether the caller supplied the key; a generated key is never sent again.
    pub has_caller_key: bool,
    /// Whether the caller marked the request as not to be repeated.
    pub forbids_repeat: bool,
    /// Session header as sent by the caller.
    pub session: Option<String>,
    /// Time until the deadline; `None` for the contract's default.
    pub deadline_ms: Option<Millis>,
    /// Request class.
    pub class: Class,
}

impl Terms {
    /// Returns whether the request may be repeated.
    #[must_use]
    pub fn repeat(&self) -> Repeat {
        if self.forbids_repeat { Repeat::Never } else { Repeat::Idempotent }
    }
}

/// Returns the customer whose contract lists the caller's API key.
///
/// # Errors
///
/// [`Kind::WrongKey`] if there is no key or no contract lists it.
pub fn authenticate(catalog: &Catalog, headers: &HeaderMap) -> Result<Customer, Problem> {
    let refused = |detail: &str| Problem::not_run(Kind::WrongKey, detail);
    let value = headers.get(header::AUTHORIZATION).ok_or_else(|| refused("no Authorization header"))?;
    let value = value.to_str().map_err(|_| refused("the Authorization header is not text"))?;
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(refused("the Authorization header is not `Bearer KEY`"));
    }
    let digest = contract::Key::of(key.trim()).sha256;
    let wrong = || refused("no contract lists this key");
    let customer = catalog.customer_by_key(&digest).ok_or_else(wrong)?;
    // The lookup uses the key's hash, so that its duration reveals nothing about the
    // key; the match itself is checked in constant time.
    let contract = catalog.contract(customer).ok_or_else(wrong)?;
    let is_listed = contract.keys.iter().any(|listed| listed.sha256.as_bytes().ct_eq(digest.as_bytes()).into());
    if is_listed { Ok(customer.clone()) } else { Err(wrong()) }
}

/// Parses a call's terms from its headers.
///
/// # Errors
///
/// [`Kind::Malformed`], naming the header, or [`Kind::KeyExpired`].
pub fn parse_terms(customer: Customer, headers: &HeaderMap, now: Timestamp) -> Result<Terms, Problem> {
    let given = header_text(headers, &KEY_HEADER)?;
    let has_caller_key = given.is_some();
    let key = match given {
        Some(given) => parsed_header(&KEY_HEADER, request::Key::parse(given))?,
        None => fresh_key(),
    };
    check_key_age(&key, now)?;
    let forbids_repeat = match header_text(headers, &IDEMPOTENT_HEADER)? {
        None | Some("true") => false,
        Some("false") => true,
        Some(_) => return Err(malformed_header(&IDEMPOTENT_HEADER, "use `true` or `false`")),
    };
    let deadline_ms = match header_text(headers, &DEADLINE_HEADER)? {
        None => None,
        Some(digits) => Some(deadline(digits)?),
    };
    let class = header_text(headers, &CLASS_HEADER)?.unwrap_or(DEFAULT_CLASS);
    let class = parsed_header(&CLASS_HEADER, Class::parse(class))?;
    let session = header_text(headers, &SESSION_HEADER)?.map(str::to_owned);
    let id = request::Id { customer: customer.clone(), key };
    Ok(Terms { customer, id, has_caller_key, forbids_repeat, session, deadline_ms, class })
}

/// Generates a key for a request whose caller gave none.
#[must_use]
pub fn fresh_key() -> request::Key {
    let text = uuid::Uuid::now_v7().to_string();
    request::Key::parse(&text).unwrap_or_else(|_| unreachable!("a UUID is a name"))
}

/// Refuses keys that are older than the period for which keys are stored.
///
/// Whether such a request ran is no longer known, and running it might run it twice.
/// Keys dated too far ahead of this instance's clock are refused too.
fn check_key_age(key: &request::Key, now: Timestamp) -> Result<(), Problem> {
    let Some(made) = key.made_at() else {
        return Ok(());
    };
    if now.since(made) > request::KEY_WINDOW {
        let detail = format!("the key was made {} ms ago; keys are kept {} ms", now.since(made), request::KEY_WINDOW);
        return Err(Problem::new(Kind::KeyExpired, timeline::Ran::Unknown, detail));
    }
    if made.since(now) > request::KEY_SKEW {
        let detail = format!("the key is dated {} ms ahead; set the caller's clock", made.since(now));
        return Err(Problem::not_run(Kind::Malformed, detail));
    }
    Ok(())
}

/// Parses the value of the deadline header.
fn deadline(digits: &str) -> Result<Millis, Problem> {
    match digits.parse::<Millis>() {
        Ok(0) | Err(_) => Err(malformed_header(&DEADLINE_HEADER, "use a whole number of milliseconds above 0")),
        Ok(millis) => Ok(millis.min(MAX_DEADLINE_MS)),
    }
}

/// Returns the trimmed value of a header that may be sent at most once.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed_header(name, "send it once"));
    }
    let text = first.to_str().map_err(|_| malformed_header(name, "use visible ASCII"))?;
    Ok(Some(text.trim()))
}

/// Adds the header's name to a parse error of its value.
fn parsed_header<T>(header: &HeaderName, parsed: Result<T, world::Invalid>) -> Result<T, Problem> {
    parsed.map_err(|invalid| malformed_header(header, &invalid.to_string()))
}

fn malformed_header(header: &HeaderName, detail: &str) -> Problem {
    Problem::not_run(Kind::Malformed, format!("header `{header}`: {detail}"))
}

/// A parsed chat request.
#[derive(Debug, Clone)]
pub struct Chat {
    /// Requested model.
    pub model: model::Id,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Maximum number of tokens that the caller accepts.
    pub max_tokens: Option<u32>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt's beginning; used to find endpoints that likely cache it.
    pub prefix: u64,
    /// Hash of the complete body; requests with the same key must have the same body.
    pub fingerprint: u64,
    /// All members of the body as sent.
    members: BTreeMap<String, Box<RawValue>>,
}

/// The members of a message that are checked here.
#[derive(Debug, Deserialize)]
struct Message<'a> {
    role: String,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

impl Chat {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`], naming the member.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let bad = |detail: String| Problem::not_run(Kind::Malformed, detail);
        let members: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(body).map_err(|error| bad(format!("the body is no JSON object: {error}")))?;
        let model: String = required_member(&members, "model")?;
        let model = model::Id::parse(&model).map_err(|invalid| bad(format!("`model`: {invalid}")))?;
        let messages = members.get("messages").ok_or_else(|| bad("`messages` is missing".into()))?;
        check_messages(messages)?;
        let stream = optional_member(&members, "stream")?.unwrap_or(false);
        let max_tokens: Option<u32> = match optional_member(&members, "max_completion_tokens")? {
            Some(limit) => Some(limit),
            None => optional_member(&members, "max_tokens")?,
        };
        if max_tokens == Some(0) {
            return Err(bad("`max_tokens`: 0 allows no answer; use 1 or more, or leave it out".into()));
        }
        if optional_member::<u32>(&members, "n")?.is_some_and(|n| n != 1) {
            return Err(bad("`n`: one answer a request; send several requests".into()));
        }
        let prompt = messages.get().as_bytes();
        Ok(Self {
            model,
            stream,
            max_tokens,
            prompt_tokens: u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            prefix: hash::stable(&prompt[..prompt.len().min(PREFIX_BYTES)]),
            fingerprint: hash::stable(body),
            members,
        })
    }

    /// Returns the body to send to an engine that runs `version`.
    ///
    /// It always asks for a stream, even if the caller wants the answer in one piece,
    /// because only a stream can be resumed after a break.
    #[must_use]
    pub fn body(&self, version: &model::Version, max_tokens: u32) -> Bytes {
        let mut members: BTreeMap<&str, &RawValue> = self.members.iter().map(|(k, v)| (k.as_str(), &**v)).collect();
        let version = raw_json(&version.to_string());
        let stream = raw_json(&true);
        let limit = raw_json(&max_tokens);
        members.insert("model", &version);
        members.insert("stream", &stream);
        members.insert("max_tokens", &limit);
        members.remove("max_completion_tokens");
        serde_json::to_vec(&members).unwrap_or_default().into()
    }
}

/// Serializes a value to raw JSON.
fn raw_json<T: serde::Serialize>(value: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Checks that there is a message and that each has a role and the content it needs.
fn check_messages(messages: &RawValue) -> Result<(), Problem> {
    let bad = |detail: String| Problem::not_run(Kind::Malformed, detail);
    let messages: Vec<Message<'_>> =
        serde_json::from_str(messages.get()).map_err(|error| bad(format!("`messages`: {error}")))?;
    if messages.is_empty() {
        return Err(bad("`messages`: at least one message is needed".into()));
    }
    let empty = messages.iter().position(|m| m.role.is_empty() || (m.content.is_none() && m.role == "user"));
    match empty {
        Some(index) => Err(bad(format!("`messages[{index}]`: a message needs `role` and `content`"))),
        None => Ok(()),
    }
}

/// Parses a member that must be present.
fn required_member<T: serde::de::DeserializeOwned>(
    members: &BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<T, Problem> {
    optional_member(members, name)?.ok_or_else(|| Problem::not_run(Kind::Malformed, format!("`{name}` is missing")))
}

/// Parses a member if it is present.
fn optional_member<T: serde::de::DeserializeOwned>(
    members: &BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, Problem> {
    let Some(value) = members.get(name) else {
        return Ok(None);
    };
    serde_json::from_str(value.get()).map_err(|error| Problem::not_run(Kind::Malformed, format!("`{name}`: {error}")))
}

/// Returns the headers listed in `names`, each with its first value.
pub(crate) fn select_headers(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let kept = names.iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
    kept.collect()
}

/// Encodes bytes as URL-safe base64 without padding.
pub(crate) fn encode_base64(bytes: &[u8]) -> String {
    base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes URL-safe base64 without padding; `None` if the text is invalid.
pub(crate) fn decode_base64(text: &str) -> Option<Vec<u8>> {
    base64::engine::general_purpose::URL_SAFE_NO_PAD.decode(text).ok()
}
