//! Decides whether a request may be served, and reads its body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use route::relay::{
    content::{Content, Work},
    ladder::Urgency,
};
use tokio::time::timeout;

use super::{Origin, carried, forwarding, tries::Exchange};
use crate::{
    answer::Refusal,
    catalog::{Customer, Route},
    clock,
    dispatcher::{Dispatcher, InFlight, Reservation},
    payload::{self, Payload},
    request_params::{RequestParams, end_to_end},
};

/// Part of a request's time that is reserved for sending the answer to the caller.
const ANSWER_TIME_RESERVE: Duration = Duration::from_millis(15);

/// Longest pause in the rest of a refused request's body. Callers that pause for longer lose their
/// connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes of a refused request's body that are read.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Longest wait for memory of callers that have stopped reading: refusals come within 75 ms.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(75);

/// Time before the end of a request at which the wait for memory ends. The refusal would else blame the
/// caller's body.
const MEMORY_WAIT_MARGIN: Duration = Duration::from_millis(2);

/// Deadline of a request that gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

/// The result of checking a request against one version of the catalog.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Customer that owns the request's access key; `None` if no key is needed.
    pub customer: Option<Arc<Customer>>,
    /// Urgency of the route compared with the other routes that have a ladder of models.
    pub urgency: Urgency,
    /// Version of the catalog.
    pub version: u64,
    /// Whether another instance has made the check, for a request that may have run.
    pub is_carried: bool,
}

/// Checks a request and reads its body.
pub async fn admit(
    dispatcher: &Arc<Dispatcher>,
    request: Request<Incoming>,
    origin: Origin,
) -> Result<(Exchange, InFlight), (RequestParams, Refusal)> {
    let (mut head, mut body) = request.into_parts();
    // Removed from a caller's request too: another instance would believe it.
    let carried = carried::take(&mut head.headers);
    let (sent, carried) = match origin {
        Origin::Caller => (0, None),
        Origin::Instance => (forwarding::take_sent(&mut head.headers), carried),
    };
    let params = RequestParams::read(&head.headers, &dispatcher.dialect.names);
    let in_flight = dispatcher.count_in_flight();
    let received = tokio::select! {
        biased;
        received = read(dispatcher, &head, &params, &mut body, carried) => received,
        () = dispatcher.wait_until_serving_ends() => Err(Refusal::Leaving),
    };
    match received {
        Ok(received) => {
            let is_forwarded = origin == Origin::Instance;
            let admitted = exchange(dispatcher, head, params, received);
            Ok((Exchange { sent, is_forwarded, ..admitted }, in_flight))
        }
        Err(refusal) => {
            // Beside the refusal: a caller may send nothing more until it has that.
            tokio::spawn(discard(body));
            Err((params, refusal))
        }
    }
}

/// An admitted request's body, and what it was admitted with.
struct Received {
    started: Duration,
    limit: Duration,
    admission: Admission,
    memory: Reservation,
    body: Payload,
}

/// Checks a request, unless its admission was carried here, and reads its body if it is admitted.
async fn read(
    dispatcher: &Arc<Dispatcher>,
    head: &Parts,
    params: &RequestParams,
    body: &mut Incoming,
    carried: Option<Admission>,
) -> Result<Received, Refusal> {
    let started = clock::now();
    let host = host(&head.headers, &head.uri);
    dispatcher.wait_until_started().await;
    let admission = match carried {
        Some(admission) => admission,
        None => check(dispatcher, &host, head.uri.path(), params)?,
    };
    let time = time_allowed(dispatcher, &admission, params)?;
    if params.tokens.is_some() {
        // Until it is known which engines have the prompt cached, the request might be sent
        // to one that has to process the prompt again.
        dispatcher.wait_until_caches_known().await;
    }
    let limit = started + time.saturating_sub(ANSWER_TIME_RESERVE);
    let max_bytes = dispatcher.catalog().map_or(0, |catalog| catalog.limits.body_bytes);
    let mut memory = dispatcher.reserve_body_memory();
    let reading = read_body(dispatcher, body, max_bytes, &mut memory, clock::now() + time);
    let body = timeout(time, reading).await.unwrap_or(Err(Refusal::Truncated))?;
    Ok(Received { started, limit, admission, memory, body })
}

/// Returns the time that a request may take, or the refusal if this instance may be gone before.
fn time_allowed(dispatcher: &Dispatcher, admission: &Admission, params: &RequestParams) -> Result<Duration, Refusal> {
    if dispatcher.leaves_within(admission.route.timeout) {
        return Err(Refusal::Leaving);
    }
    Ok(params.deadline.unwrap_or(DEFAULT_DEADLINE).min(admission.route.timeout))
}

/// Returns the exchange of a caller's request whose body would be empty, without reading any, or the
/// refusal.
pub fn exchange_without_body(
    dispatcher: &Arc<Dispatcher>,
    head: Parts,
    params: RequestParams,
) -> Result<Exchange, Refusal> {
    let started = clock::now();
    let admission = check(dispatcher, &host(&head.headers, &head.uri), head.uri.path(), &params)?;
    let time = time_allowed(dispatcher, &admission, &params)?;
    let limit = started + time.saturating_sub(ANSWER_TIME_RESERVE);
    let memory = dispatcher.reserve_body_memory();
    Ok(exchange(dispatcher, head, params, Received { started, limit, admission, memory, body: Payload::default() }))
}

/// Returns the exchange of an admitted request of a caller.
fn exchange(dispatcher: &Arc<Dispatcher>, head: Parts, params: RequestParams, received: Received) -> Exchange {
    let Received { started, limit, admission, memory, body } = received;
    let host = host(&head.headers, &head.uri);
    let customer = admission.customer.as_ref().map(|customer| customer.name.as_str());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let request = Content::of_blocks(customer, head.method.as_str(), &host, path, body.blocks());
    let parts = params.shared_parts().iter().map(|part| Content::of_part(part.id)).collect();
    let mut headers = end_to_end(&head.headers);
    for name in &dispatcher.dialect.names.reserved {
        headers.remove(name);
    }
    Exchange {
        dispatcher: Arc::clone(dispatcher),
        _body_memory: memory,
        work: Work { request, parts },
        service: String::new(),
        host,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        started,
        limit,
        tried: Vec::new(),
        avoids_tried: false,
        sent: 0,
        unreachable: 0,
        is_forwarded: false,
        tried_instances: Vec::new(),
        may_have_run: false,
        silent_at: Vec::new(),
        cause: String::new(),
        target_draw: rand::random(),
        version: None,
        crash_check: None,
        permit: None,
        admission,
        params,
    }
}

/// Checks a request against the catalog and access keys in force now.
pub fn check(dispatcher: &Dispatcher, host: &str, path: &str, params: &RequestParams) -> Result<Admission, Refusal> {
    let catalog = dispatcher.catalog().ok_or(Refusal::NotStarted)?;
    // An operator may have moved or deleted the route. Requests without a key would
    // otherwise be forwarded by the old route indefinitely.
    if !dispatcher.is_catalog_valid() {
        return Err(Refusal::Replaced);
    }
    // A newer catalog may have the route or key that this one lacks, and callers that
    // get 404 or 401 do not retry.
    let or_replaced = |refusal| if dispatcher.is_behind() { Refusal::Replaced } else { refusal };
    let route = catalog.route(host, path).ok_or_else(|| or_replaced(Refusal::NoRoute))?;
    let customer = match &catalog.keys {
        Some(keys) if !route.public => {
            // A key may have been revoked while this instance had no contact with the store,
            // so no key is accepted without a recent confirmation.
            if !dispatcher.is_fresh() {
                return Err(Refusal::KeysStale { elsewhere: dispatcher.is_fresh_elsewhere() });
            }
            let customer = params.key.as_deref().and_then(|key| keys.get(key));
            Some(Arc::clone(customer.ok_or_else(|| or_replaced(Refusal::NoKey))?))
        }
        _ => None,
    };
    let urgency = catalog.urgency(route);
    Ok(Admission { route: Arc::clone(route), customer, urgency, version: catalog.version, is_carried: false })
}

/// Returns the request's host in lower case, without the port.
fn host(headers: &http::HeaderMap, uri: &http::Uri) -> String {
    let named = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = named.or_else(|| uri.authority().map(http::uri::Authority::as_str)).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

/// Reads the rest of a refused request's body. A connection that is closed with bytes unread is
/// reset, and its caller, who may still be sending, does not get the refusal.
async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while discarded <= MAX_DISCARDED_BYTES
        && let Ok(frame) = timeout(DISCARD_TIMEOUT, body.frame()).await
    {
        let Some(Ok(frame)) = frame else { return };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
    tracing::info!(discarded, "connection of a refused request is closed before its body has arrived");
}

/// Reads a body of up to `max_bytes` bytes until `limit`, and accounts for its memory in `reservation`.
async fn read_body(
    dispatcher: &Dispatcher,
    body: &mut Incoming,
    max_bytes: usize,
    reservation: &mut Reservation,
    limit: Duration,
) -> Result<Payload, Refusal> {
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(Refusal::TooLarge);
    }
    let expected = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut whole = payload::Builder::new(expected);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(|_| Refusal::Truncated)?.into_data() else { continue };
        if whole.len() + data.len() > max_bytes {
            return Err(Refusal::TooLarge);
        }
        while !data.is_empty() {
            if let Some(block) = whole.next_block() {
                // Thousands of slow callers with long bodies could otherwise use up the memory and
                // get the process killed, with all requests in flight.
                if !reserve(dispatcher, reservation, block, limit).await {
                    return Err(Refusal::Memory);
                }
                whole.add_block(block);
            }
            whole.fill(&mut data);
        }
    }
    Ok(whole.finish())
}

/// Reserves `bytes` more until `limit` and returns true, or returns false if there is no memory.
///
/// Callers that have stopped reading lose their responses first: a request must not be refused
/// because of them.
async fn reserve(dispatcher: &Dispatcher, reservation: &mut Reservation, bytes: usize, limit: Duration) -> bool {
    if reservation.grow(bytes) {
        return true;
    }
    let left = limit.saturating_sub(clock::now() + MEMORY_WAIT_MARGIN);
    dispatcher.stalled_callers.make_room(left.min(MAX_MEMORY_WAIT), || reservation.grow(bytes)).await
}
