//! Decides whether a request may be served, and reads its body.

use std::{sync::Arc, task::Poll, time::Duration};

use bytes::Bytes;
use http::{Request, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
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
    connections::Handle,
    dispatcher::{Dispatcher, InFlight, Reservation},
    payload::{self, Payload},
    request_params::{RequestParams, end_to_end},
    uploads::Upload,
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

/// Longest body that counts as short, in bytes. Short bodies arrive within a round trip or two.
const MAX_SHORT_BODY: usize = 64 << 10;

/// Parts of the memory for bodies, as divisors, that long and short bodies of requests leave to others.
/// Long ones leave room to short ones, and these to answers: a request whose answer finds no memory has
/// run in vain.
const LEFT_BY_LONG_BODIES_DIVISOR: usize = 8;
const LEFT_BY_SHORT_BODIES_DIVISOR: usize = 16;

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
    let connection = head.extensions.remove::<Handle>();
    // Removed from a caller's request too: another instance would believe it.
    let carried = carried::take(&mut head.headers);
    let (sent, carried) = match origin {
        Origin::Caller => (0, None),
        Origin::Instance => (forwarding::take_sent(&mut head.headers), carried),
    };
    let params = RequestParams::read(&head.headers, &dispatcher.dialect.names);
    if let Some(connection) = &connection {
        connection.charge_params(params.held_bytes());
    }
    let in_flight = dispatcher.count_in_flight();
    let received = tokio::select! {
        biased;
        received = read(dispatcher, &head, &params, &mut body, carried, connection.as_ref()) => received,
        () = dispatcher.wait_until_serving_ends() => Err(Refusal::Leaving),
    };
    match received {
        Ok(received) => {
            let is_forwarded = origin == Origin::Instance;
            let admitted = exchange(dispatcher, head, params, received);
            Ok((Exchange { sent, is_forwarded, ..admitted }, in_flight))
        }
        Err(refusal) => {
            // One that has given way closes with the refusal.
            let is_open = connection.as_ref().is_none_or(Handle::is_open);
            if is_open && !body.is_end_stream() {
                // Beside the refusal: a caller may send nothing more until it has that.
                tokio::spawn(discard(body, connection, dispatcher.connections.max_discard()));
            }
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
    connection: Option<&Handle>,
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
    let mut memory = dispatcher.reserve_request_memory();
    let reading = read_body(dispatcher, body, max_bytes, &mut memory, clock::now() + time, connection);
    let body = timeout(time, reading).await.unwrap_or(Err(Refusal::Truncated))?;
    // The rest of what the request takes is charged only now: while it arrives, it may give way.
    if connection.is_some_and(|connection| !connection.charge_request()) {
        return Err(Refusal::Memory);
    }
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
    let memory = dispatcher.reserve_request_memory();
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
        failed_tries: 0,
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

/// Reads the rest of a refused request's body for up to `limit`. A connection that is closed with bytes unread is
/// reset, and its caller, who may still be sending, does not get the refusal.
async fn discard(mut body: Incoming, connection: Option<Handle>, limit: Duration) {
    if let Some(connection) = &connection {
        connection.start_discarding();
    }
    let mut discarded = 0;
    let discarding = async {
        while discarded <= MAX_DISCARDED_BYTES
            && let Ok(frame) = timeout(DISCARD_TIMEOUT, body.frame()).await
        {
            let Some(Ok(frame)) = frame else { return true };
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if let Some(connection) = &connection {
                connection.took_data();
            }
        }
        false
    };
    if !timeout(limit, discarding).await.unwrap_or(false) {
        tracing::debug!(discarded, "connection of a refused request is closed before its body has arrived");
    }
    if let Some(connection) = &connection {
        connection.end_discarding();
    }
}

/// Reads a body of up to `max_bytes` bytes until `limit`, and accounts for its memory in `reservation`.
async fn read_body(
    dispatcher: &Dispatcher,
    body: &mut Incoming,
    max_bytes: usize,
    reservation: &mut Reservation,
    limit: Duration,
    connection: Option<&Handle>,
) -> Result<Payload, Refusal> {
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(Refusal::TooLarge);
    }
    let expected = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let (mut whole, mut upload) = (payload::Builder::new(expected), None);
    while let Some(frame) = next_frame(dispatcher, body, &mut upload, connection).await? {
        let Ok(mut data) = frame.into_data() else { continue };
        let arrived = data.len();
        if whole.len() + arrived > max_bytes {
            return Err(Refusal::TooLarge);
        }
        while !data.is_empty() {
            if let Some(block) = whole.next_block() {
                let is_short = expected.unwrap_or(whole.len() + data.len()) <= MAX_SHORT_BODY;
                // Thousands of slow callers with long bodies could otherwise use up the memory and
                // get the process killed, with all requests in flight.
                let demand = Demand { bytes: block, is_short, max_bytes };
                if !demand.reserve(dispatcher, reservation, limit).await {
                    return Err(Refusal::Memory);
                }
                whole.add_block(block);
            }
            whole.fill(&mut data);
        }
        if let Some(connection) = connection {
            connection.took_data();
        }
        if let Some(upload) = &upload {
            upload.record(arrived, reservation.bytes());
        }
    }
    Ok(whole.finish())
}

/// Waits for the next frame of a body; `None` at its end. A body that has to be waited for is listed in
/// `upload` and may be given up.
async fn next_frame(
    dispatcher: &Dispatcher,
    body: &mut Incoming,
    upload: &mut Option<Upload>,
    connection: Option<&Handle>,
) -> Result<Option<Frame<Bytes>>, Refusal> {
    if upload.as_ref().is_some_and(Upload::is_given_up) {
        return Err(Refusal::Memory);
    }
    if let Poll::Ready(frame) = futures::poll!(body.frame()) {
        return frame.transpose().map_err(|_| Refusal::Truncated);
    }
    let upload = upload.get_or_insert_with(|| dispatcher.uploads.add());
    if let Some(connection) = connection {
        connection.await_body(upload);
    }
    let frame = tokio::select! {
        biased;
        frame = timeout(dispatcher.max_body_pause(), body.frame()) => frame,
        () = upload.given_up() => return Err(Refusal::Memory),
    };
    let Ok(frame) = frame else {
        metrics::counter!("relay_uploads_given_up_total", "reason" => "pause").increment(1);
        return Err(Refusal::Stalled);
    };
    frame.transpose().map_err(|_| Refusal::Truncated)
}

/// Memory that a body needs to go on.
struct Demand {
    bytes: usize,
    /// Whether the body is known to be short, or has been so far.
    is_short: bool,
    /// Longest body that the operator allows, in bytes.
    max_bytes: usize,
}

impl Demand {
    /// Reserves the memory until `limit` and returns true, or returns false if there is none.
    ///
    /// Others that have stopped sending or reading give way first: a request must not be refused
    /// because of them.
    async fn reserve(&self, dispatcher: &Dispatcher, reservation: &mut Reservation, limit: Duration) -> bool {
        let free = self.left_to_others(dispatcher.account.body_bound());
        if reservation.grow_leaving(self.bytes, free) {
            return true;
        }
        let left = limit.saturating_sub(clock::now() + MEMORY_WAIT_MARGIN).min(MAX_MEMORY_WAIT);
        dispatcher.make_room(self.is_short, left, || reservation.grow_leaving(self.bytes, free)).await
    }

    /// Returns the memory that has to stay free. One body of the largest legal size always fits.
    fn left_to_others(&self, bound: usize) -> usize {
        let divisor = if self.is_short { LEFT_BY_SHORT_BODIES_DIVISOR } else { LEFT_BY_LONG_BODIES_DIVISOR };
        (bound / divisor).min(bound.saturating_sub(self.max_bytes + payload::MAX_BLOCK_BYTES))
    }
}
