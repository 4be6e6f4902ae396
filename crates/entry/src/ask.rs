//! What a caller asks for, read from its headers and body.
//!
//! Everything is checked here, once: what leaves this module is typed, and
//! what cannot be read is a [`Problem`] that names the part at fault. The
//! members of a chat request that we do not need pass on to the engine as
//! they came.

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

/// Names a request so that a repeat is known.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `false` marks a request that must not be repeated.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("arbutuslug-idempotent");
/// Names the session.
pub const SESSION: HeaderName = HeaderName::from_static("arbutuslug-session");
/// Milliseconds from now in which the answer must be whole.
pub const DEADLINE: HeaderName = HeaderName::from_static("arbutuslug-deadline-ms");
/// Names the request class.
pub const CLASS: HeaderName = HeaderName::from_static("arbutuslug-request-class");

/// Class of a request that names none.
const DEFAULT_CLASS: &str = "default";
/// Longest deadline a caller may ask for.
const MAX_DEADLINE_MS: Millis = 60 * 60 * 1_000;
/// Bytes of prompt taken for one token where no better count is known.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of the prompt that decide where its prefix is likely cached.
const PREFIX_BYTES: usize = 256;

/// What every call's headers say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Whose call.
    pub customer: Customer,
    /// Its request.
    pub id: request::Id,
    /// Whether the caller named the key; one of ours nobody can repeat.
    pub keyed: bool,
    /// Whether the caller said it must not be repeated.
    pub never: bool,
    /// The session as the caller named it.
    pub session: Option<String>,
    /// Time to its deadline; the contract's when it names none.
    pub deadline_ms: Option<Millis>,
    /// Its class.
    pub class: Class,
}

impl Terms {
    /// Whether it may be repeated.
    #[must_use]
    pub fn repeat(&self) -> Repeat {
        if self.never { Repeat::Never } else { Repeat::Idempotent }
    }
}

/// The customer whose contract has the caller's key.
///
/// # Errors
///
/// [`Kind::WrongKey`].
pub fn customer(catalog: &Catalog, headers: &HeaderMap) -> Result<Customer, Problem> {
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
    // The table is searched by the key's hash, so that the time it takes
    // tells nothing of the key; the match itself is checked in constant time.
    let contract = catalog.contract(customer).ok_or_else(wrong)?;
    let held = contract.keys.iter().any(|held| held.sha256.as_bytes().ct_eq(digest.as_bytes()).into());
    if held { Ok(customer.clone()) } else { Err(wrong()) }
}

/// Reads a call's terms.
///
/// # Errors
///
/// [`Kind::Malformed`] that names the header, or [`Kind::KeyExpired`].
pub fn terms(customer: Customer, headers: &HeaderMap, now: Timestamp) -> Result<Terms, Problem> {
    let given = text(headers, &KEY)?;
    let keyed = given.is_some();
    let key = match given {
        Some(given) => named(&KEY, request::Key::parse(given))?,
        None => fresh_key(),
    };
    check_age(&key, now)?;
    let never = match text(headers, &IDEMPOTENT)? {
        None | Some("true") => false,
        Some("false") => true,
        Some(_) => return Err(malformed(&IDEMPOTENT, "use `true` or `false`")),
    };
    let deadline_ms = match text(headers, &DEADLINE)? {
        None => None,
        Some(digits) => Some(deadline(digits)?),
    };
    let class = text(headers, &CLASS)?.unwrap_or(DEFAULT_CLASS);
    let class = named(&CLASS, Class::parse(class))?;
    let session = text(headers, &SESSION)?.map(str::to_owned);
    let id = request::Id { customer: customer.clone(), key };
    Ok(Terms { customer, id, keyed, never, session, deadline_ms, class })
}

/// A key of our own making.
#[must_use]
pub fn fresh_key() -> request::Key {
    let text = uuid::Uuid::now_v7().to_string();
    request::Key::parse(&text).unwrap_or_else(|_| unreachable!("a UUID is a name"))
}

/// Refuses keys older than they are remembered: whether such a request ran
/// can no longer be told, and running it again might double it.
fn check_age(key: &request::Key, now: Timestamp) -> Result<(), Problem> {
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

fn deadline(digits: &str) -> Result<Millis, Problem> {
    match digits.parse::<Millis>() {
        Ok(0) | Err(_) => Err(malformed(&DEADLINE, "use a whole number of milliseconds above 0")),
        Ok(millis) => Ok(millis.min(MAX_DEADLINE_MS)),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(name, "send it once"));
    }
    let text = first.to_str().map_err(|_| malformed(name, "use visible ASCII"))?;
    Ok(Some(text.trim()))
}

fn named<T>(header: &HeaderName, parsed: Result<T, world::Invalid>) -> Result<T, Problem> {
    parsed.map_err(|invalid| malformed(header, &invalid.to_string()))
}

fn malformed(header: &HeaderName, detail: &str) -> Problem {
    Problem::not_run(Kind::Malformed, format!("header `{header}`: {detail}"))
}

/// A chat request.
#[derive(Debug, Clone)]
pub struct Chat {
    /// The model it names.
    pub model: model::Id,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Most tokens the caller takes.
    pub max_tokens: Option<u32>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of the prompt's beginning; decides where its cache likely is.
    pub prefix: u64,
    /// Hash of the whole body; two requests with one key must have one body.
    pub fingerprint: u64,
    members: BTreeMap<String, Box<RawValue>>,
}

/// One message, as far as we check it.
#[derive(Debug, Deserialize)]
struct Message<'a> {
    role: String,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

impl Chat {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] that names the member.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let bad = |detail: String| Problem::not_run(Kind::Malformed, detail);
        let members: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(body).map_err(|error| bad(format!("the body is no JSON object: {error}")))?;
        let model: String = required(&members, "model")?;
        let model = model::Id::parse(&model).map_err(|invalid| bad(format!("`model`: {invalid}")))?;
        let messages = members.get("messages").ok_or_else(|| bad("`messages` is missing".into()))?;
        check_messages(messages)?;
        let stream = optional(&members, "stream")?.unwrap_or(false);
        let max_tokens: Option<u32> = match optional(&members, "max_completion_tokens")? {
            Some(limit) => Some(limit),
            None => optional(&members, "max_tokens")?,
        };
        if max_tokens == Some(0) {
            return Err(bad("`max_tokens`: 0 allows no answer; use 1 or more, or leave it out".into()));
        }
        if optional::<u32>(&members, "n")?.is_some_and(|n| n != 1) {
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

    /// The body for an engine: this version, always streamed.
    ///
    /// Streamed also where the caller wants the answer whole, because only a
    /// stream can be resumed after a break.
    #[must_use]
    pub fn body(&self, version: &model::Version, max_tokens: u32) -> Bytes {
        let mut members: BTreeMap<&str, &RawValue> = self.members.iter().map(|(k, v)| (k.as_str(), &**v)).collect();
        let version = raw(&version.to_string());
        let stream = raw(&true);
        let limit = raw(&max_tokens);
        members.insert("model", &version);
        members.insert("stream", &stream);
        members.insert("max_tokens", &limit);
        members.remove("max_completion_tokens");
        serde_json::to_vec(&members).unwrap_or_default().into()
    }
}

fn raw<T: serde::Serialize>(value: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

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

fn required<T: serde::de::DeserializeOwned>(
    members: &BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<T, Problem> {
    optional(members, name)?.ok_or_else(|| Problem::not_run(Kind::Malformed, format!("`{name}` is missing")))
}

fn optional<T: serde::de::DeserializeOwned>(
    members: &BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, Problem> {
    let Some(value) = members.get(name) else {
        return Ok(None);
    };
    serde_json::from_str(value.get()).map_err(|error| Problem::not_run(Kind::Malformed, format!("`{name}`: {error}")))
}

/// The headers that are named, each with its first value.
pub(crate) fn only(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let kept = names.iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
    kept.collect()
}

/// Text for headers, from bytes.
pub(crate) fn encode(bytes: &[u8]) -> String {
    base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes)
}

/// Bytes from header text.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    base64::engine::general_purpose::URL_SAFE_NO_PAD.decode(text).ok()
}
