//! Whether a request may be served at all, and its body.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use route::relay::{content::Content, ladder::Urgency};
use tokio::time::timeout;

use super::tries::Exchange;
use crate::{
    answer::Refusal,
    ask::{Ask, end_to_end},
    catalog::{Route, Team},
    clock,
    desk::{Desk, Held},
};

/// Kept back of a request's time for the way of its answer.
const ANSWER_TIME: Duration = Duration::from_millis(15);

/// Longest wait for a caller that says nothing of its deadline.
const NO_DEADLINE: Duration = Duration::from_mins(1);

/// What a request may use, under one catalog.
#[derive(Debug, Clone)]
pub struct Pass {
    /// Its route.
    pub route: Arc<Route>,
    /// Whose key it has.
    pub team: Option<Arc<Team>>,
    /// How urgent the route is among those that have a ladder.
    pub urgency: Urgency,
    /// The catalog's version.
    pub version: u64,
}

/// Admits a request and reads its body.
pub async fn admit(desk: &Arc<Desk>, request: Request<Incoming>) -> Result<Exchange, (Ask, Refusal)> {
    let started = clock::now();
    let flight = desk.enter();
    let (head, body) = request.into_parts();
    let ask = Ask::read(&head.headers, &desk.dialect.names);
    let host = host(&head.headers, &head.uri);
    desk.started().await;
    let pass = match check(desk, &host, head.uri.path(), &ask) {
        Ok(pass) => pass,
        Err(refusal) => return Err((ask, refusal)),
    };
    if desk.leaves_within(pass.route.timeout) {
        return Err((ask, Refusal::Leaving));
    }
    if ask.tokens.is_some() {
        // A prompt that is sent before it is known who has read it is read again.
        desk.caches_known().await;
    }
    let time = ask.deadline.unwrap_or(NO_DEADLINE).min(pass.route.timeout);
    let limit = started + time.saturating_sub(ANSWER_TIME);
    let longest = desk.catalog().map_or(0, |catalog| catalog.limits.body_bytes);
    let mut memory = desk.hold_none();
    let body = match timeout(time, read(body, longest, &mut memory)).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return Err((ask, refusal)),
        Err(_) => return Err((ask, Refusal::Truncated)),
    };
    let team = pass.team.as_ref().map(|team| team.name.as_str());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let content = Content::of(team, head.method.as_str(), &host, path, &body);
    let mut headers = end_to_end(&head.headers);
    for name in &desk.dialect.names.reserved {
        headers.remove(name);
    }
    Ok(Exchange {
        desk: Arc::clone(desk),
        flight: Some(flight),
        _held: memory,
        content,
        service: String::new(),
        host,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        started,
        limit,
        tried: Vec::new(),
        sent: 0,
        unreachable: 0,
        may_have_run: false,
        cause: String::new(),
        draw: rand::random(),
        version: None,
        check: None,
        pass,
        ask,
    })
}

/// Checks a request against the catalog and keys in force now.
pub fn check(desk: &Desk, host: &str, path: &str, ask: &Ask) -> Result<Pass, Refusal> {
    let catalog = desk.catalog().ok_or(Refusal::NotStarted)?;
    // An operator may have moved or dropped the route seconds ago, and a request
    // without a key would go on to where it led for good.
    if !desk.catalog_holds() {
        return Err(Refusal::Replaced);
    }
    // What a replaced catalog lacks the newer one may have: callers that are told
    // 404 or 401 do not come back.
    let unknown = |refusal| if desk.behind() { Refusal::Replaced } else { refusal };
    let route = catalog.route(host, path).ok_or_else(|| unknown(Refusal::NoRoute))?;
    let team = match &catalog.keys {
        Some(keys) if !route.public => {
            // A key that was taken away while this instance was out of touch
            // must not work: with old knowledge no key is believed.
            if !desk.fresh() {
                return Err(Refusal::KeysStale { elsewhere: desk.fresh_elsewhere() });
            }
            let team = ask.key.as_deref().and_then(|key| keys.get(key));
            Some(Arc::clone(team.ok_or_else(|| unknown(Refusal::NoKey))?))
        }
        _ => None,
    };
    let urgency = catalog.urgency(route);
    Ok(Pass { route: Arc::clone(route), team, urgency, version: catalog.version })
}

fn host(headers: &http::HeaderMap, uri: &http::Uri) -> String {
    let named = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = named.or_else(|| uri.authority().map(http::uri::Authority::as_str)).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

async fn read(mut body: Incoming, longest: usize, held: &mut Held) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > u64::try_from(longest).unwrap_or(u64::MAX) {
        return Err(Refusal::TooLarge);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Refusal::Truncated)?.into_data() else { continue };
        if whole.len() + data.len() > longest {
            return Err(Refusal::TooLarge);
        }
        // Thousands of slow callers with long bodies would otherwise take all
        // memory, and the process would be killed with everything it runs.
        if !held.grow(data.len()) {
            return Err(Refusal::Memory);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
