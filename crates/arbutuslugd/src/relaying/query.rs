//! The body of a query for an explanation.
//!
//! ```json
//! {"method": "POST", "host": "chat.example", "path": "/v1/chat", "team": "club",
//!  "headers": {"Arbutuslug-Model": "*"}, "tokens": {"prompt": 900, "output": 64},
//!  "parts": [{"id": "a1", "tokens": 700}, {"id": "b2", "tokens": 200}]}
//! ```
//!
//! `host` is required, and so is `path`. `key` may stand instead of `team`.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use relay::{
    explain::{Caller, Invalid, Query},
    request_params::Tokens,
};
use serde_json::{Map, Value};

/// Longest name of an unknown field that is repeated in the answer, in characters.
const MAX_FIELD_CHARS: usize = 32;

const FIELDS: [&str; 8] = ["method", "host", "path", "key", "team", "headers", "parts", "tokens"];

/// Parses a query.
///
/// # Errors
///
/// Returns the name of the first field that is not valid.
pub fn parse(body: &[u8]) -> Result<Query, Invalid> {
    let value: Value = serde_json::from_slice(body).map_err(|_| invalid("body", "not JSON"))?;
    let Value::Object(fields) = value else { return Err(invalid("body", "not a JSON object")) };
    if let Some(unknown) = fields.keys().find(|name| !FIELDS.contains(&name.as_str())) {
        let name: String = unknown.chars().take(MAX_FIELD_CHARS).collect();
        return Err(Invalid { field: name.into(), cause: "no such field" });
    }
    let method = match text(&fields, "method")? {
        Some(method) => Method::from_bytes(method.as_bytes()).map_err(|_| invalid("method", "not an HTTP method"))?,
        None => Method::GET,
    };
    let host = text(&fields, "host")?.ok_or_else(|| invalid("host", "missing"))?;
    let path = text(&fields, "path")?.ok_or_else(|| invalid("path", "missing"))?;
    let path = if path.starts_with('/') { path.parse::<Uri>().ok() } else { None };
    let path = path.ok_or_else(|| invalid("path", "not a path that starts with `/`"))?;
    let caller = match (text(&fields, "key")?, text(&fields, "team")?) {
        (Some(_), Some(_)) => return Err(invalid("team", "given besides `key`")),
        (Some(key), None) => Caller::Key(key.to_owned()),
        (None, Some(team)) => Caller::Team(team.to_owned()),
        (None, None) => Caller::Nobody,
    };
    Ok(Query {
        method,
        host: host.to_owned(),
        path,
        caller,
        headers: headers(&fields)?,
        parts: parts(&fields)?,
        tokens: tokens(&fields)?,
    })
}

fn text<'a>(fields: &'a Map<String, Value>, name: &'static str) -> Result<Option<&'a str>, Invalid> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(invalid(name, "not a text")),
    }
}

fn headers(fields: &Map<String, Value>) -> Result<HeaderMap, Invalid> {
    let mut headers = HeaderMap::new();
    let Some(value) = fields.get("headers") else { return Ok(headers) };
    let Value::Object(given) = value else { return Err(invalid("headers", "not a JSON object")) };
    for (name, value) in given {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| invalid("headers", "a name is not valid"))?;
        let value = value.as_str().and_then(|value| HeaderValue::from_str(value).ok());
        let value = value.ok_or_else(|| invalid("headers", "a value is not a header's text"))?;
        // Names are equal in upper and lower case.
        if headers.insert(name, value).is_some() {
            return Err(invalid("headers", "a name is repeated"));
        }
    }
    Ok(headers)
}

fn parts(fields: &Map<String, Value>) -> Result<Vec<(String, u32)>, Invalid> {
    let Some(value) = fields.get("parts") else { return Ok(Vec::new()) };
    let Value::Array(given) = value else { return Err(invalid("parts", "not a list")) };
    let part = |value: &Value| {
        let id = value.get("id")?.as_str().filter(|id| !id.is_empty() && !id.contains([',', ':']))?;
        Some((id.to_owned(), count(value.get("tokens"))?))
    };
    let parts: Option<Vec<_>> = given.iter().map(part).collect();
    parts.ok_or_else(|| invalid("parts", "a part has no `id` without `,` and `:`, or no number of `tokens`"))
}

fn tokens(fields: &Map<String, Value>) -> Result<Option<Tokens>, Invalid> {
    let Some(value) = fields.get("tokens") else { return Ok(None) };
    let tokens = || Some(Tokens { prompt: count(value.get("prompt"))?, output: count(value.get("output"))? });
    tokens().map(Some).ok_or_else(|| invalid("tokens", "no whole numbers `prompt` and `output`"))
}

fn count(value: Option<&Value>) -> Option<u32> {
    value?.as_u64()?.try_into().ok()
}

fn invalid(field: &'static str, cause: &'static str) -> Invalid {
    Invalid { field: field.into(), cause }
}
