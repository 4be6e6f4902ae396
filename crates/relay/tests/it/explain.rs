//! Explanations of decisions, without a network but for the endpoints that ask for a pause.

mod effects;
mod queued;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use http::{HeaderMap, HeaderValue, Method};
use relay::{
    catalog::{Catalog, Kind, Route, Service, Warmup},
    clock,
    dispatcher::{
        Dispatcher,
        evacuations::Snapshot,
        fleet::{Job, Limit, RejectionLimit, RunOutcome, short_hash, start_hash},
        peers::Status,
    },
    explain::{self, Caller, Decision, Explanation, Query, Refused, Sent},
    request_params::Tokens,
    settings::{Capacity, Ladder, Placement, Settings},
    source,
};
use route::relay::{content::Content, freshness::Proof};

use crate::{
    caller,
    notices::prompt_job,
    server::{Action, Server},
    site::{self, HOST, KEY, SERVICE, Site, cascade_route, dialect, endpoint, revision, route},
};

const CATALOG: u64 = 3;

fn query() -> Query {
    Query {
        method: Method::POST,
        host: HOST.into(),
        path: "/a/x".parse().unwrap(),
        caller: Caller::Key(KEY.into()),
        headers: HeaderMap::new(),
        parts: Vec::new(),
        tokens: None,
    }
}

fn with_header(name: &'static str, value: &'static str, query: Query) -> Query {
    let mut headers = query.headers.clone();
    headers.insert(name, HeaderValue::from_static(value));
    Query { headers, ..query }
}

/// A prompt with a shared part for whichever model the instance chooses.
fn prompt() -> Query {
    let parts = vec![("p1".to_owned(), 2_000), ("p2".to_owned(), 100)];
    let tokens = Some(Tokens { prompt: 2_100, output: 50 });
    with_header("x-model", "*", Query { path: "/s/x".parse().unwrap(), parts, tokens, ..query() })
}

fn routes() -> Vec<Route> {
    vec![route("/a/", Kind::Idempotent), cascade_route("/s/")]
}

/// Returns an instance without endpoints that has confirmed its keys.
fn bare_instance(catalog: Catalog, adjust: impl FnOnce(&mut Settings)) -> Arc<Dispatcher> {
    let mut settings = site::settings();
    adjust(&mut settings);
    let instance = Dispatcher::new(settings, dialect());
    instance.set_identity();
    instance.install(catalog);
    instance.record_listing(revision(10));
    instance.record_orders_revision(revision(10));
    instance.mark_listed();
    instance.renew(clock::now(), Proof::Read);
    instance
}

fn add_endpoints(instance: &Dispatcher, count: u16) {
    for number in 0..count {
        instance.register_endpoint(endpoint(&format!("e{number}"), ([127, 0, 0, 1], 9 + number).into()));
    }
}

fn instance_with(count: u16, adjust: impl FnOnce(&mut Settings)) -> Arc<Dispatcher> {
    let instance = bare_instance(site::catalog(CATALOG, routes()), adjust);
    add_endpoints(&instance, count);
    instance
}

async fn explain(instance: &Dispatcher, query: &Query) -> Explanation {
    explain::explain(instance, query, 0.5).await.unwrap()
}

fn refused(explanation: &Explanation) -> &Refused {
    let Decision::Refused(refused) = &explanation.decision else { panic!("{explanation:?}") };
    refused
}

fn sent(explanation: &Explanation) -> &Sent {
    let Decision::Sent(sent) = &explanation.decision else { panic!("{explanation:?}") };
    sent
}

/// Returns the standing of an endpoint.
fn standing<'a>(explanation: &'a Explanation, id: &str) -> &'a str {
    &explanation.endpoints.iter().find(|endpoint| endpoint.id == id).unwrap().standing
}

fn leave(instance: &Dispatcher) {
    for endpoint in instance.known_endpoints() {
        instance.record_departure(start_hash(&endpoint));
    }
}

fn evacuate(instance: &Dispatcher) {
    instance.replace_evacuations(Snapshot { revision: revision(4), domains: vec!["tartu-a".into()] });
}

fn throttle(instance: &Dispatcher, id: &str, per_s: f64) {
    let start = start_hash(&endpoint(id, ([127, 0, 0, 1], 9).into()));
    instance.apply_limits([Limit { start, per_s: Some(per_s), age: Duration::ZERO }]);
}

/// Has connections to all endpoints fail and waits until the service counts as lost.
fn lose(instance: &Arc<Dispatcher>) {
    for session in 0..40 {
        let mut run = instance.place(&Job { session, ..prompt_job(None, 10) }).unwrap();
        run.record_failed_connection("no route");
        run.record_outcome(RunOutcome::Unreachable);
    }
    std::thread::sleep(Duration::from_millis(450));
}

fn quarantine(instance: &Dispatcher) {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let content = Content::of_part(world::hash::stable(b"p1"));
    instance.restore_quarantine([source::Refused { content, since: u64::try_from(since).unwrap() }]);
}

/// Returns an instance whose service has engines with memory for 1,000 tokens.
fn instance_with_small_engines() -> Arc<Dispatcher> {
    let mut catalog = site::catalog(CATALOG, routes());
    let service = Service { name: SERVICE.into(), memory_tokens: Some(1_000), warmup: None };
    catalog.services = HashMap::from([(SERVICE.to_owned(), Arc::new(service))]);
    let instance = bare_instance(catalog, |settings| settings.policies.capacity = Capacity::Learned);
    add_endpoints(&instance, 2);
    instance
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident: $instance:expr, $query:expr => $reason:literal, $status:literal;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let instance: Arc<Dispatcher> = $instance;
            let explanation = explain(&instance, &$query).await;
            let refused = refused(&explanation);
            assert_eq!((refused.reason.as_str(), refused.status), ($reason, $status), "{refused:?}");
            assert_eq!(explanation.endpoints.iter().filter(|endpoint| endpoint.is_selected).count(), 0);
        }
    )*};
}

/// Applies a change to an instance with two endpoints.
fn changed(change: impl FnOnce(&Arc<Dispatcher>)) -> Arc<Dispatcher> {
    let instance = instance_with(2, |_| {});
    change(&instance);
    instance
}

// Each refusal before the first send is explained as the caller would get it; a command that says
// `sent` where a request is refused, or names another reason, misleads the operator.
refusals! {
    instance_without_catalog: Dispatcher::new(site::settings(), dialect()), query() => "NotStarted", 503;
    keys_without_confirmation: {
        let instance = Dispatcher::new(site::settings(), dialect());
        instance.install(site::catalog(CATALOG, routes()));
        instance
    }, query() => "KeysStale", 503;
    replaced_catalog: {
        let instance = instance_with(2, |settings| settings.replacement_bound = Some(Duration::ZERO));
        let status = Status { catalog: CATALOG + 1, time_to_next: Duration::from_mins(1), ..Status::default() };
        instance.update_peer("there", ([127, 0, 0, 9], 7).into(), status);
        std::thread::sleep(Duration::from_millis(5));
        instance
    }, query() => "Replaced", 503;
    leaving_instance: {
        let instance = instance_with(2, |settings| settings.grace = Duration::from_millis(1));
        instance.start_draining();
        std::thread::sleep(Duration::from_millis(5));
        instance
    }, query() => "Leaving", 503;
    unknown_path: instance_with(2, |_| {}), Query { path: "/other".parse().unwrap(), ..query() } => "NoRoute", 404;
    unknown_host: instance_with(2, |_| {}), Query { host: "other.example".into(), ..query() } => "NoRoute", 404;
    unknown_key: instance_with(2, |_| {}), Query { caller: Caller::Key("no-key".into()), ..query() } => "NoKey", 401;
    missing_key: instance_with(2, |_| {}), Query { caller: Caller::Nobody, ..query() } => "NoKey", 401;
    service_without_endpoints: instance_with(0, |_| {}), query() => "NoEndpoint", 503;
    lost_service: changed(lose), query() => "Unreachable", 503;
    evacuated_service: changed(|instance| evacuate(instance)), query() => "Evacuated", 503;
    endpoints_that_leave: changed(|instance| leave(instance)), query() => "EndpointsLeaving", 503;
    quarantined_part: changed(|instance| quarantine(instance)), prompt() => "Quarantined", 503;
    endpoints_at_their_rate_limits: changed(|instance| {
        throttle(instance, "e0", 0.1);
        throttle(instance, "e1", 0.1);
        while instance.place(&prompt_job(None, 10)).is_some() {}
    }), query() => "Throttled", 503;
    prompt_beyond_every_memory: instance_with_small_engines(), prompt() => "ExceedsMemory", 503;
    time_that_is_over: instance_with(2, |_| {}), with_header("x-deadline", "5", query()) => "Expired", 503;
}

/// All endpoints survive few rejections, and an instance that leaves has no share of them.
#[tokio::test]
async fn instance_without_a_share_of_rejections() {
    let instance = instance_with(2, |settings| settings.grace = Duration::from_mins(1));
    instance.start_draining();
    let limit = RejectionLimit { service: short_hash(SERVICE), max_per_s: Some(1), age: Duration::ZERO };
    instance.apply_rejection_limits([limit]);
    let explanation = explain(&instance, &query()).await;
    assert_eq!(refused(&explanation).reason, "NoShare");
    assert_eq!(standing(&explanation, "e0"), "excluded: it survives few rejections and might reject this");
}

/// The pause that endpoints have asked for is the reason, and their rest the `Retry-After`.
#[tokio::test]
async fn endpoints_that_have_asked_for_a_pause() {
    let rejection = "HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\nretry-after: 5\r\ncontent-length: 0\r\n\r\n";
    let server = Server::start(vec![Action::Write(rejection.into())]).await;
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[server.address]).await;
    caller::call(site.front(), "GET", "/a/x", "", "").await;
    let explanation = explain(site.relay.dispatcher(), &query()).await;
    let refused = refused(&explanation);
    assert_eq!(refused.reason, "Paused");
    assert!((4_000.0..=5_000.0).contains(&refused.retry_after_ms.unwrap()), "{refused:?}");
    assert_eq!(standing(&explanation, "e0"), "excluded: it has asked for a pause");
}

/// Every endpoint that gets nothing says why, and the others how they took part.
#[tokio::test]
async fn excluded_endpoints_are_shown_with_their_reasons() {
    let mut catalog = site::catalog(CATALOG, routes());
    let warmup = Some(Warmup { duration: Duration::from_secs(20), per_s: 0.1 });
    let service = Service { name: SERVICE.into(), memory_tokens: None, warmup };
    catalog.services = HashMap::from([(SERVICE.to_owned(), Arc::new(service))]);
    let instance = bare_instance(catalog, |_| {});
    let register = |id: &str, change: &dyn Fn(&mut source::Endpoint)| {
        let mut registered = endpoint(id, ([127, 0, 0, 1], 9).into());
        change(&mut registered);
        instance.register_endpoint(registered);
    };
    register("failing", &|_| {});
    let mut run = instance.place(&prompt_job(None, 10)).unwrap();
    run.record_outcome(RunOutcome::Unreachable);
    register("limited", &|_| {});
    throttle(&instance, "limited", 0.1);
    while instance.place(&prompt_job(None, 10)).is_some_and(|run| run.endpoint.id == "limited") {}
    register("warming", &|endpoint| endpoint.warmup_left = Duration::from_secs(20));
    while instance.place(&prompt_job(None, 10)).is_some_and(|run| run.endpoint.id == "warming") {}
    register("leaving", &|endpoint| endpoint.draining = true);
    register("far", &|endpoint| endpoint.domain = "voru".into());
    instance.replace_evacuations(Snapshot { revision: revision(4), domains: vec!["voru".into()] });
    register("newer", &|endpoint| endpoint.version = "v2".into());
    register("sound", &|_| {});
    let explanation = explain(&instance, &query()).await;
    assert!(standing(&explanation, "failing").starts_with("excluded: connections failed, in backoff for "));
    assert_eq!(standing(&explanation, "limited"), "excluded: the share of its rate limit is used up");
    assert_eq!(standing(&explanation, "warming"), "excluded: it warms up, and the share of its rate is used up");
    assert_eq!(standing(&explanation, "leaving"), "excluded: it is leaving");
    assert_eq!(standing(&explanation, "far"), "excluded: its failure domain is evacuated");
    assert_eq!(standing(&explanation, "newer"), "excluded: the request is assigned to another version");
    assert_eq!(standing(&explanation, "sound"), "compared");
    assert_eq!(sent(&explanation).endpoint.as_deref(), Some("sound"));
}

/// Without any candidate, an endpoint of a version to which the request is not assigned must not look as
/// if it had been left out by chance.
#[tokio::test]
async fn endpoint_of_another_version_is_shown_without_a_candidate() {
    let instance = instance_with(1, |_| {});
    leave(&instance);
    let newer = endpoint("newer", ([127, 0, 0, 1], 20).into());
    instance.register_endpoint(source::Endpoint { version: "v2".into(), ..newer });
    let explanation = explain(&instance, &query()).await;
    refused(&explanation);
    assert_eq!(standing(&explanation, "e0"), "excluded: it is leaving");
    assert_eq!(standing(&explanation, "newer"), "excluded: the request is assigned to another version");
}

/// What the instance knows of the request and of the endpoints is shown, and one draw is said to be one.
#[tokio::test]
async fn sent_request_is_shown_with_what_decided() {
    let instance = instance_with(8, |_| {});
    instance.record_era(2);
    let team = Query { caller: Caller::Team("club".into()), ..query() };
    let explanation = explain(&instance, &team).await;
    let Explanation { catalog, era, route, team, rank, service, .. } = &explanation;
    assert_eq!((*catalog, *era, *rank), (Some(CATALOG), Some(2), Some(1)));
    assert_eq!([route, team, service].map(Option::as_deref), [Some("a"), Some("club"), Some(SERVICE)]);
    assert!(explanation.is_drawn);
    let selected = explanation.endpoints.iter().find(|endpoint| endpoint.is_selected).unwrap();
    assert_eq!(sent(&explanation).endpoint.as_ref(), Some(&selected.id));
    assert_eq!((explanation.endpoints.len(), selected.standing.as_str()), (8, "compared"));
}

/// The turns of a rotation are no draw, but its candidates are drawn from a large service. One draw must
/// not be shown as certain.
#[tokio::test]
async fn draw_from_a_large_service_is_said_to_be_one() {
    for (count, is_drawn) in [(8, false), (100, true)] {
        let instance = instance_with(count, |settings| settings.policies.placement = Placement::Balanced);
        let explanation = explain(&instance, &query()).await;
        sent(&explanation);
        assert_eq!(explanation.is_drawn, is_drawn, "{count} endpoints");
    }
}

/// A catalog or era that arrives while the explanation waits for an endpoint has not decided, so it must
/// not be shown as if it had.
#[tokio::test]
async fn catalog_and_era_are_those_of_the_decision() {
    let instance = instance_with(0, |_| {});
    instance.record_era(2);
    let news = async {
        instance.install(site::catalog(CATALOG + 1, routes()));
        instance.record_era(3);
    };
    let started = clock::now();
    let (explanation, ()) = tokio::join!(async { explain(&instance, &query()).await }, news);
    assert!(clock::now().saturating_sub(started) > Duration::from_millis(100), "the news came while it waited");
    assert_eq!((explanation.catalog, explanation.era), (Some(CATALOG), Some(2)));
}

/// The endpoint that holds the shared part is preferred, and the explanation says so.
#[tokio::test]
async fn holder_of_the_shared_part_is_shown() {
    let instance = instance_with(4, |_| {});
    let explanation = explain(&instance, &prompt()).await;
    let target = sent(&explanation).endpoint.clone().unwrap();
    assert_eq!(explanation.model.as_deref(), Some("small"));
    assert!(explanation.endpoints.iter().all(|endpoint| !endpoint.holds_part), "{target}");
    let engine = instance.known_endpoints().into_iter().find(|endpoint| endpoint.id == "e2").unwrap();
    let part = relay::dialect::CachedPart { part: "p1".into(), model: "small".into() };
    instance.record_cache(&engine, &[part]);
    let explanation = explain(&instance, &prompt()).await;
    assert_eq!(sent(&explanation).endpoint.as_deref(), Some("e2"));
    assert!(explanation.endpoints.iter().all(|endpoint| endpoint.holds_part == (endpoint.id == "e2")));
}

/// The values of right answers decide about the model where they are set, and are shown.
#[tokio::test]
async fn model_is_explained_by_values_or_times() {
    let fixed = instance_with(2, |_| {});
    let explanation = explain(&fixed, &prompt()).await;
    assert!(explanation.model_reason.unwrap().starts_with("expected times"));
    assert_eq!(explanation.models.iter().map(|m| m.name.as_str()).collect::<Vec<_>>(), ["small", "large"]);
    let ladder = Ladder::ExpectedValue { values: vec![20.0, 5.0] };
    let valued = instance_with(2, |settings| settings.policies.ladder = ladder);
    let reason = explain(&valued, &prompt()).await.model_reason.unwrap();
    assert!(reason.starts_with("a right answer is worth 5 runs"), "{reason}");
    let named = explain(&fixed, &with_header("x-model", "large", prompt())).await;
    assert_eq!(named.model_reason.as_deref(), Some("the caller names the model"));
    let plain = explain(&fixed, &query()).await;
    assert_eq!(plain.model_reason.as_deref(), Some("the route has no models to choose from"));
}
