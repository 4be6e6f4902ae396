//! Explains where a request would be sent now, and why, without sending it.
//!
//! The steps are those of a real request, taken on a copy of the instance's state. So no rule is
//! written twice, and the instance decides afterwards as if nothing had been asked.

mod report;

use std::{borrow::Cow, fmt};

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};

pub use self::report::{Decision, Endpoint, Estimate, Explanation, Queued, Refused, Sent};
use crate::{
    dispatcher::Dispatcher,
    exchange,
    request_params::{RequestParams, Tokens, value},
};

/// A request to explain.
#[derive(Clone)]
pub struct Query {
    /// Method.
    pub method: Method,
    /// Host, as in the header of that name.
    pub host: String,
    /// Path and query.
    pub path: Uri,
    /// Who sends the request.
    pub caller: Caller,
    /// Further headers, by the names that callers use, without that of the key.
    pub headers: HeaderMap,
    /// Parts of the prompt in order, with their numbers of tokens; they replace the header.
    pub parts: Vec<(String, u32)>,
    /// Numbers of tokens; they replace the header.
    pub tokens: Option<Tokens>,
}

/// Who sends a request.
#[derive(Clone)]
pub enum Caller {
    /// Nobody; the request has no key.
    Nobody,
    /// The owner of an access key.
    Key(String),
    /// A team by its name. Any of its keys is used.
    Team(String),
}

/// A query that cannot be explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// Name of the field.
    pub field: Cow<'static, str>,
    /// What is wrong; never the field's value.
    pub cause: &'static str,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid field `{}`: {}", self.field, self.cause)
    }
}

impl std::error::Error for Invalid {}

impl fmt::Debug for Query {
    /// Leaves out what may hold an access key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Query").field("method", &self.method).field("host", &self.host).finish_non_exhaustive()
    }
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nobody => "Nobody",
            Self::Key(_) => "Key",
            Self::Team(_) => "Team",
        })
    }
}

/// Explains what would become of a request.
///
/// `draw` from 0 to 1 is a random number that selects the route's target. If no endpoint takes the
/// request, this waits as long as the request would, at most 250 ms.
///
/// # Errors
///
/// Returns [`Invalid`] if a field cannot be part of a request, the headers hold an access key, or no
/// team has the given name.
pub async fn explain(dispatcher: &Dispatcher, query: &Query, draw: f64) -> Result<Explanation, Invalid> {
    let headers = headers(dispatcher, query)?;
    let params = RequestParams::read(&headers, &dispatcher.dialect.names);
    let mut request = Request::new(());
    *request.method_mut() = query.method.clone();
    *request.uri_mut() = query.path.clone();
    *request.headers_mut() = headers;
    let (head, ()) = request.into_parts();
    let outlook = exchange::explain::explain(dispatcher, head, params, draw).await;
    Ok(Explanation::new(&dispatcher.settings, outlook))
}

/// Returns the headers with which a caller would send the request.
fn headers(dispatcher: &Dispatcher, query: &Query) -> Result<HeaderMap, Invalid> {
    let names = &dispatcher.dialect.names;
    // A key is accepted only where it is treated as a secret.
    if query.headers.contains_key(&names.key) {
        return Err(invalid("headers", "give the key as `key`"));
    }
    let mut headers = query.headers.clone();
    let host = HeaderValue::from_str(&query.host).map_err(|_| invalid("host", "not a host name"))?;
    headers.insert(header::HOST, host);
    match &query.caller {
        Caller::Nobody => {}
        Caller::Key(key) => insert_secret(&mut headers, &names.key, key)?,
        Caller::Team(team) => {
            let catalog = dispatcher.catalog();
            let keys = catalog.as_ref().and_then(|catalog| catalog.keys.as_ref());
            // Without keys the request needs none, and before the first catalog it is refused anyway.
            if let Some(keys) = keys {
                let of_team = keys.iter().find(|(_, customer)| customer.name == *team);
                let (key, _) = of_team.ok_or_else(|| invalid("team", "no team of this name has a key"))?;
                insert_secret(&mut headers, &names.key, key)?;
            }
        }
    }
    if !query.parts.is_empty() {
        let parts: Vec<String> = query.parts.iter().map(|(id, tokens)| format!("{id}:{tokens}")).collect();
        let parts = HeaderValue::from_str(&parts.join(",")).map_err(|_| invalid("parts", "not a header value"))?;
        headers.insert(&names.prompt_parts, parts);
    }
    if let Some(Tokens { prompt, output }) = query.tokens {
        headers.insert(&names.tokens, value(&format!("{prompt},{output}")));
    }
    Ok(headers)
}

fn insert_secret(headers: &mut HeaderMap, name: &HeaderName, key: &str) -> Result<(), Invalid> {
    let mut key = HeaderValue::from_str(key).map_err(|_| invalid("key", "not a header value"))?;
    key.set_sensitive(true);
    headers.insert(name, key);
    Ok(())
}

fn invalid(field: &'static str, cause: &'static str) -> Invalid {
    Invalid { field: field.into(), cause }
}
