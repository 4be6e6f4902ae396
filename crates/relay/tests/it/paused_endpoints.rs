//! Endpoints that turn an instance away and ask it for a pause.

use std::{sync::atomic::Ordering, time::Duration};

use relay::{catalog::Kind, source::Endpoint};
use tokio::time::{Instant, sleep};

use crate::{
    caller,
    server::{Action, Server, ok_response},
    site::{SERVICE, Site, StoreContents, catalog, endpoint, route},
    withdrawing_fleet::{Fleet, Reply, Way},
    withdrawing_server::{Arrival, Behavior},
};

/// Most requests that an endpoint may get from an instance in a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

/// Pause that endpoints ask for.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Number of endpoints that ask for it.
const SHEDDING: usize = 2;

fn check_pauses(fleet: &Fleet) {
    let (pauses, most) = fleet.requests_in_pauses();
    assert!(pauses > 0, "no endpoint has asked for a pause");
    assert!(most <= MAX_REQUESTS_IN_PAUSE, "{most} requests in one of {pauses} pauses");
}

/// Has endpoints ask for pauses while requests leave in one way.
async fn check(way: Way) {
    let fleet = Fleet::start(3, 6).await;
    fleet.set(0..SHEDDING, Behavior::Shedding(PAUSE));
    fleet.send_many(way, 150, Duration::from_millis(500)).await;
    fleet.set(SHEDDING..6, way.behavior_of_others());
    fleet.send_many(way, 150, Duration::from_secs(4)).await;
    check_pauses(&fleet);
}

macro_rules! ways {
    ($($name:ident: $way:ident;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            check(Way::$way).await;
        }
    )*};
}

// An endpoint that has asked an instance for a pause must not get more requests from it in that
// time, in whichever way they leave.
ways! {
    calls_are_not_sent_in_a_pause: Call;
    uploads_are_not_sent_in_a_pause: Upload;
    retries_are_not_sent_in_a_pause: Retry;
    streams_are_not_sent_in_a_pause: Stream;
    streams_are_not_resumed_in_a_pause: Resumption;
    larger_models_are_not_asked_in_a_pause: Escalation;
}

/// A partitioned instance forwards its requests. The instances that send them must observe the
/// pauses as for their own callers' requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forwarded_requests_are_not_sent_in_a_pause() {
    let fleet = Fleet::start(3, 4).await;
    fleet.cut(0, true);
    fleet.send_many(Way::Call, 100, Duration::from_secs(1)).await;
    fleet.set(0..SHEDDING, Behavior::Shedding(PAUSE));
    fleet.send_many(Way::Call, 100, Duration::from_secs(4)).await;
    check_pauses(&fleet);
}

/// The registration of an endpoint expires and comes back several times, as when the store is away
/// again and again. The pause goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_outlasts_the_registration() {
    let fleet = Fleet::start(3, 6).await;
    fleet.set(0..SHEDDING, Behavior::Shedding(PAUSE));
    fleet.send_many(Way::Call, 150, Duration::from_millis(600)).await;
    for _ in 0..4 {
        let mut expired = Vec::new();
        fleet.store.change(|contents| expired = contents.endpoints.drain(0..SHEDDING).collect());
        fleet.send_many(Way::Call, 150, Duration::from_millis(100)).await;
        fleet.store.change(|contents| contents.endpoints.splice(0..0, expired).for_each(drop));
        fleet.send_many(Way::Call, 150, Duration::from_millis(300)).await;
    }
    check_pauses(&fleet);
}

/// Instances of a grown deployment before few endpoints, of which most ask for pauses while the
/// store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_fleet_observes_pauses() {
    let fleet = Fleet::start(74, 5).await;
    fleet.store.change(|contents| contents.silent = true);
    fleet.set(0..3, Behavior::Shedding(PAUSE));
    fleet.send_many(Way::Call, 500, Duration::from_secs(4)).await;
    check_pauses(&fleet);
}

/// Endpoints of a large pool, of which each decision examines a few.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endpoints_of_a_large_pool_get_no_requests_in_a_pause() {
    let fleet = Fleet::start(2, 70).await;
    fleet.set(0..60, Behavior::Shedding(PAUSE));
    fleet.send_many(Way::Call, 500, Duration::from_secs(4)).await;
    check_pauses(&fleet);
}

/// On a busy processor, connections open long after their endpoints were chosen. An endpoint may
/// have asked for a pause meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn connections_that_open_in_a_pause_are_not_used() {
    const LATE: usize = 3;
    let fleet = Fleet::start(1, 1).await;
    fleet.set(0..1, Behavior::Shedding(PAUSE));
    fleet.networks[0].is_stalled.store(true, Ordering::Relaxed);
    let late: Vec<_> = (0..LATE).map(|_| tokio::spawn(fleet.send(0, Way::Call))).collect();
    sleep(Duration::from_millis(50)).await;
    fleet.networks[0].is_stalled.store(false, Ordering::Relaxed);
    fleet.send(0, Way::Call).await;
    for call in late {
        call.await.unwrap();
    }
    check_pauses(&fleet);
}

/// After the pause the endpoint must get its part of the requests again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_gets_requests_after_a_pause() {
    let fleet = Fleet::start(1, 3).await;
    fleet.set(0..1, Behavior::Shedding(Duration::from_secs(1)));
    fleet.send_many(Way::Call, 100, Duration::from_millis(300)).await;
    fleet.set(0..1, Behavior::Sound);
    fleet.send_many(Way::Call, 100, Duration::from_secs(2)).await;
    let served = fleet.arrivals().iter().filter(|arrival| arrival.server == 0 && arrival.pause.is_none()).count();
    assert!(served >= 10, "{served} of some 100 requests after the pause");
}

/// After a short pause the endpoint must soon get all requests again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_pause_is_over_soon() {
    let fleet = Fleet::start(1, 1).await;
    fleet.set(0..1, Behavior::Shedding(Duration::from_millis(100)));
    fleet.send(0, Way::Upload).await;
    fleet.set(0..1, Behavior::Sound);
    sleep(Duration::from_millis(600)).await;
    let replies = fleet.send_many(Way::Call, 100, Duration::from_secs(1)).await;
    let served = replies.iter().filter(|reply| reply.response.status == 200).count();
    assert!(100 * served >= 98 * replies.len(), "{served} of {} served", replies.len());
}

/// Every endpoint has asked for a pause. A request that could only wait until it is refused is
/// refused at once, and a caller that comes back when it is told to is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_within_all_pauses_is_refused_at_once() {
    const ENDPOINTS: usize = 4;
    let fleet = Fleet::start(1, ENDPOINTS).await;
    fleet.set(0..ENDPOINTS, Behavior::Shedding(PAUSE));
    fleet.send_many(Way::Call, 100, Duration::from_millis(400)).await;
    fleet.set(0..ENDPOINTS, Behavior::Sound);
    let before = fleet.arrivals().len();
    let started = Instant::now();
    let refused = fleet.send(0, Way::Upload).await.response;
    let (took, received) = (started.elapsed(), fleet.arrivals().len() - before);
    assert_eq!((refused.status, received), (503, 0), "{refused:?}");
    assert!(took < Duration::from_millis(200), "refused after {took:?}");
    let after: f64 = refused.header("retry-after").expect("the response names a time").parse().unwrap();
    assert!((0.5..1.5 * PAUSE.as_secs_f64()).contains(&after), "{after}");
    sleep(Duration::from_secs_f64(after)).await;
    assert_eq!(fleet.send(0, Way::Upload).await.response.status, 200);
}

/// A pause concerns the instance that was asked for it. Others must still send to the endpoint.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_of_one_instance_does_not_bind_others() {
    let fleet = Fleet::start(2, 2).await;
    fleet.set(0..1, Behavior::Shedding(PAUSE));
    while !fleet.arrivals().iter().any(|arrival| arrival.server == 0) {
        assert_eq!(fleet.send(0, Way::Call).await.response.status, 200);
    }
    fleet.set(0..1, Behavior::Sound);
    let asked = fleet.arrivals();
    assert!(asked.iter().all(|arrival| arrival.instance == 0), "{asked:?}");
    for _ in 0..50 {
        fleet.send(1, Way::Call).await;
    }
    let received = |arrival: &&Arrival| (arrival.instance, arrival.server) == (1, 0);
    assert!(fleet.arrivals().iter().filter(received).count() > 0, "no request of the other instance");
    check_pauses(&fleet);
}

/// Callers of an instance that all endpoints have asked for a pause must be served by another
/// instance, to which they still answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_paused_instance_are_served_by_others() {
    const ENDPOINTS: usize = 3;
    let fleet = Fleet::start(3, ENDPOINTS).await;
    fleet.set(0..ENDPOINTS, Behavior::Shedding(PAUSE));
    assert_eq!(fleet.send(0, Way::Call).await.response.status, 503);
    let asked: Vec<_> = fleet.arrivals().iter().map(|arrival| (arrival.instance, arrival.server)).collect();
    assert!((0..ENDPOINTS).all(|server| asked.contains(&(0, server))), "{asked:?}");
    fleet.set(0..ENDPOINTS, Behavior::Sound);
    for way in [Way::Call, Way::Upload, Way::Stream] {
        let response = fleet.send(0, way).await.response;
        assert_eq!(response.status, 200, "{way:?}: {response:?}");
    }
}

/// All endpoints of a large fleet ask for pauses. Callers must be refused early and told when to
/// come back, and must be served again when the endpoints take requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_fleet_refuses_early_while_all_endpoints_ask_for_pauses() {
    const ENDPOINTS: usize = 5;
    const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);
    let fleet = Fleet::start(74, ENDPOINTS).await;
    fleet.send_many(Way::Call, 200, Duration::from_secs(1)).await;
    fleet.set(0..ENDPOINTS, Behavior::Shedding(PAUSE));
    let refused = fleet.send_many(Way::Call, 200, Duration::from_secs(4)).await;
    check_pauses(&fleet);
    let is_refused = |reply: &&Reply| reply.response.status == 503 && reply.response.header("retry-after").is_some();
    assert_eq!(refused.iter().filter(is_refused).count(), refused.len());
    let late = refused.iter().filter(|reply| reply.took > MAX_REFUSAL_TIME).count();
    assert!(20 * late <= refused.len(), "{late} of {} refused late", refused.len());
    fleet.set(0..ENDPOINTS, Behavior::Sound);
    sleep(PAUSE).await;
    let served = fleet.send_many(Way::Call, 200, Duration::from_secs(1)).await;
    let statuses: Vec<u16> = served.iter().map(|reply| reply.response.status).filter(|status| *status != 200).collect();
    assert!(statuses.is_empty(), "{statuses:?} of {}", served.len());
}

/// All endpoints have asked all instances of a large fleet for pauses. When the pauses end one after
/// the other, the first endpoint must not get the requests of the whole fleet, which would make it
/// ask for the next pause, and so on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_fleet_recovers_from_pauses_of_all_endpoints() {
    const ENDPOINTS: usize = 5;
    /// About half of what the endpoints run.
    const PER_S: u32 = 400;
    let bounded = Behavior::Bounded { slots: 8, run_time: Duration::from_millis(50), pause: Duration::from_secs(2) };
    let fleet = Fleet::start(74, ENDPOINTS).await;
    fleet.set(0..ENDPOINTS, Behavior::Shedding(Duration::from_secs(2)));
    fleet.send_many(Way::Call, PER_S, Duration::from_millis(800)).await;
    fleet.set(0..ENDPOINTS, bounded);
    fleet.send_many(Way::Call, PER_S, Duration::from_secs(5)).await;
    let replies = fleet.send_many(Way::Call, PER_S, Duration::from_secs(2)).await;
    let served = replies.iter().filter(|reply| reply.response.status == 200).count();
    assert!(100 * served >= 95 * replies.len(), "{served} of {} served", replies.len());
    check_pauses(&fleet);
}

/// One endpoint's pause ends long before those of the others. It must not get the requests of a
/// whole large fleet at that moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_fleet_does_not_rush_to_the_first_endpoint_after_its_pause() {
    const INSTANCES: usize = 74;
    const ENDPOINTS: usize = 5;
    const SLOTS: u32 = 8;
    const RUN_TIME: Duration = Duration::from_millis(50);
    const WINDOW: Duration = Duration::from_millis(250);
    /// Twice what the endpoint runs in the window.
    const MAX_ARRIVALS: u32 = 2 * SLOTS * 5;
    let fleet = Fleet::start(INSTANCES, ENDPOINTS).await;
    fleet.set(0..1, Behavior::Shedding(Duration::from_millis(1_500)));
    fleet.set(1..ENDPOINTS, Behavior::Shedding(Duration::from_secs(8)));
    let calls: Vec<_> = (0..INSTANCES).map(|instance| tokio::spawn(fleet.send(instance, Way::Call))).collect();
    for call in calls {
        call.await.unwrap();
    }
    fleet.send_many(Way::Call, 800, Duration::from_millis(500)).await;
    fleet
        .set(0..ENDPOINTS, Behavior::Bounded { slots: SLOTS, run_time: RUN_TIME, pause: Duration::from_millis(1_500) });
    let before = fleet.arrivals().len();
    fleet.send_many(Way::Call, 800, Duration::from_secs(3)).await;
    let times: Vec<Duration> = fleet.arrivals()[before..].iter().map(|arrival| arrival.at).collect();
    assert!(!times.is_empty(), "no request after the pause");
    let within = |from: &Duration| times.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
    let most = times.iter().map(within).max().unwrap_or_default();
    assert!(most <= MAX_ARRIVALS as usize, "{most} requests within {WINDOW:?}, {} in all", times.len());
    check_pauses(&fleet);
}

/// The instances that may send to a brittle endpoint are asked for a pause. Others must take their
/// places, as it answers them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn others_send_to_a_brittle_endpoint_while_its_senders_pause() {
    let fleet = Fleet::start(4, 1).await;
    fleet.state("x-brittle: 4");
    fleet.send_many(Way::Call, 100, Duration::from_secs(2)).await;
    let arrivals = fleet.arrivals();
    let sends = |instance| arrivals[arrivals.len() - 50..].iter().any(|arrival| arrival.instance == instance);
    let is_sender: Vec<bool> = (0..4).map(sends).collect();
    assert!(is_sender.contains(&false), "all instances send: {is_sender:?}");
    fleet.set_for(0, &is_sender, Duration::from_secs(4));
    fleet.send_many(Way::Call, 50, Duration::from_secs(1)).await;
    let replies = fleet.send_many(Way::Call, 50, Duration::from_secs(2)).await;
    let served = replies.iter().filter(|reply| reply.response.status == 200).count();
    assert!(100 * served >= 90 * replies.len(), "{served} of {} served", replies.len());
    check_pauses(&fleet);
}

/// A good answer to an earlier request does not end a pause, nor does a shorter one that was asked
/// for later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_outlasts_good_answers_and_shorter_pauses() {
    let fleet = Fleet::start(1, 1).await;
    let run_time = Duration::from_millis(600);
    fleet.set(0..1, Behavior::Bounded { slots: 1, run_time, pause: PAUSE });
    let good = tokio::spawn(fleet.send(0, Way::Call));
    sleep(Duration::from_millis(100)).await;
    let rejected: Vec<_> = (0..2).map(|_| tokio::spawn(fleet.send(0, Way::Upload))).collect();
    sleep(Duration::from_millis(3)).await;
    fleet.set(0..1, Behavior::Shedding(Duration::from_millis(600)));
    for call in rejected {
        assert_eq!(call.await.unwrap().response.status, 503);
    }
    assert_eq!(good.await.unwrap().response.status, 200);
    fleet.set(0..1, Behavior::Sound);
    fleet.send_many(Way::Call, 50, Duration::from_millis(1_200)).await;
    check_pauses(&fleet);
}

/// Formats a rejection that asks for a pause.
fn rejection(status: u16, headers: &str) -> Action {
    Action::Write(format!("HTTP/1.1 {status} X\r\n{headers}content-length: 0\r\n\r\n"))
}

/// Sends requests for about 1.2 s, and returns how many reached an endpoint whose answers are
/// given, beside a sound one.
async fn requests_after(action: Action) -> usize {
    let (asking, other) =
        (Server::start(vec![action]).await, Server::start(vec![Action::Write(ok_response("ok"))]).await);
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &[asking.address, other.address]).await;
    for _ in 0..120 {
        caller::call(site.front(), "GET", "/a/x", "", "").await;
        sleep(Duration::from_millis(8)).await;
    }
    asking.requests().len()
}

macro_rules! rejections {
    ($($name:ident: $status:expr, $headers:expr, $range:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let received = requests_after(rejection($status, $headers)).await;
            assert!($range.contains(&received), "{received} requests");
        }
    )*};
}

// What asks for a pause, and what does not.
rejections! {
    pause_in_fractions_of_a_second_holds: 503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: 30.5\r\n", 1..=1;
    pause_in_a_rejection_without_a_promise_holds: 503, "x-request: {id}\r\nretry-after: 30\r\n", 1..=1;
    rejection_without_a_time_asks_for_no_pause: 503, "x-request: {id}\r\nx-not-run: 1\r\n", 3..=120;
    negative_time_asks_for_no_pause: 503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: -5\r\n", 3..=120;
    unreadable_time_asks_for_no_pause: 503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: soon\r\n", 3..=120;
    empty_time_asks_for_no_pause: 503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: \r\n", 3..=120;
    date_asks_for_no_pause:
        503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: Fri, 31 Dec 2049 23:59:59 GMT\r\n", 3..=120;
    endless_time_asks_for_no_pause: 503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: 1e308\r\n", 3..=120;
    time_of_a_year_asks_for_no_pause:
        503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: 31536000\r\n", 3..=120;
    infinite_time_asks_for_no_pause: 503, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: inf\r\n", 3..=120;
    pause_of_another_server_at_the_address_does_not_count:
        421, "x-request: {id}\r\nx-not-run: 1\r\nretry-after: 30\r\n", 2..=120;
}

/// Slots whose sum no type of 32 bits holds would hide that all endpoints of a service ask for pauses.
#[tokio::test]
async fn pauses_of_endpoints_with_huge_slots_are_known() {
    let pausing = || rejection(503, "x-request: {id}\r\nretry-after: 30\r\n");
    let servers = [Server::start(vec![pausing()]).await, Server::start(vec![pausing()]).await];
    let with_huge_slots = |id: &str, server: &Server| Endpoint { slots: u32::MAX, ..endpoint(id, server.address) };
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: vec![with_huge_slots("e0", &servers[0]), with_huge_slots("e1", &servers[1])],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |_| {}).await;
    while servers.iter().any(|server| server.requests().is_empty()) {
        caller::call(site.front(), "GET", "/a/x", "", "").await;
    }
    assert!(site.relay.dispatcher().pause_left(SERVICE).is_some());
}
