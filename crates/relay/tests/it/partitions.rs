//! Instances that are partitioned from all endpoints, while callers, the store and other
//! instances still reach them.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use relay::{
    catalog::Kind,
    dispatcher::{fleet::Job, peers::Caller},
};
use tokio::time::sleep;

use crate::{
    caller::{self, Response},
    network::{Counting, Cuttable, Mode, Stalled},
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{SERVICE, Site, StoreContents, catalog, endpoint, route},
};

/// Time after the start of a partition in which the instances have to adapt to it.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of addresses in a list for callers.
const MAX_LISTED: usize = 64;

/// Number of events in a stream of the endpoints.
const EVENTS: u32 = 40;

/// Instances in one failure domain but for the last one, and the endpoints behind them.
struct Fleet {
    sites: Vec<Site>,
    networks: Vec<Arc<Cuttable>>,
    servers: Vec<Server>,
}

impl Fleet {
    /// Starts endpoints that perform `actions`, and instances that all know each other.
    async fn start(instances: usize, actions: &[Action]) -> Self {
        let mut servers = Vec::new();
        for _ in 0..4 {
            servers.push(Server::start(actions.to_vec()).await);
        }
        let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address));
        let routes = vec![
            route("/get/", Kind::Idempotent),
            route("/post/", Kind::NonIdempotent),
            route("/stream/", Kind::Stream { resumable: true }),
        ];
        let contents = StoreContents {
            catalog: Some(catalog(1, routes)),
            endpoints: endpoints.collect(),
            ..StoreContents::default()
        };
        let (mut sites, mut networks): (Vec<Site>, Vec<Arc<Cuttable>>) = (Vec::new(), Vec::new());
        for number in 0..instances {
            let seeds = sites.iter().map(|site| site.relay.dispatcher().settings.listeners.news).collect();
            let network = Arc::new(Cuttable::new(servers.iter().map(|server| server.address)));
            let site = Site::start_with(contents.clone(), |settings| {
                settings.instance = format!("instance-{number}");
                settings.seeds = seeds;
                settings.network = network.clone();
                if number == instances - 1 {
                    settings.domain = "voru".into();
                }
            });
            sites.push(site.await);
            networks.push(network);
        }
        for site in &sites {
            while site.relay.dispatcher().caller_addresses(&Caller::default()).len() < instances.min(MAX_LISTED) {
                sleep(Duration::from_millis(2)).await;
            }
        }
        Self { sites, networks, servers }
    }

    /// Sets the mode of the first `count` instances' connections to endpoints.
    fn cut(&self, count: usize, mode: Mode) {
        for network in &self.networks[..count] {
            network.set(mode);
        }
    }

    async fn get(&self, instance: usize) -> Response {
        caller::call(self.sites[instance].front(), "GET", "/get/x", "x-deadline: 4000\r\n", "").await
    }

    /// Returns the number of requests that the endpoints have received.
    fn received(&self) -> usize {
        self.servers.iter().map(|server| server.requests().len()).sum()
    }

    /// Returns the addresses that an instance gives to callers.
    fn listed(&self, instance: usize) -> Vec<SocketAddr> {
        self.sites[instance].relay.dispatcher().caller_addresses(&Caller::default())
    }

    /// Sends requests to the first `count` instances for the time that they have to adapt to a
    /// partition.
    async fn adapt(&self, count: usize) {
        let started = Instant::now();
        while started.elapsed() < ADAPTATION_TIME {
            for site in &self.sites[..count] {
                let front = site.front();
                tokio::spawn(async move { caller::call(front, "GET", "/get/x", "x-deadline: 4000\r\n", "").await });
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

fn ok() -> Action {
    Action::Write(ok_response("ok"))
}

fn slow_stream() -> Action {
    let events = (1..=EVENTS).map(event);
    Action::WriteSlowly(std::iter::once(stream_head(90)).chain(events).chain([LAST_CHUNK.to_owned()]).collect())
}

/// Returns the numbers of the events in a complete stream.
fn received_events(response: &Response) -> Vec<String> {
    assert!(response.complete, "{response:?}");
    response.body.lines().filter_map(|line| Some(line.strip_prefix("id: ")?.to_owned())).collect()
}

fn all_events() -> Vec<String> {
    (1..=EVENTS).map(|number| number.to_string()).collect()
}

/// Cuts off the first `cut` of four instances and checks that their callers are served at the
/// first try nevertheless, and again after the partition.
async fn check_served(cut: usize, mode: Mode) {
    let fleet = Fleet::start(4, &[ok()]).await;
    fleet.cut(cut, mode);
    fleet.adapt(cut).await;
    for turn in 0..20 {
        let front = fleet.sites[turn % cut].front();
        let get = caller::call(front, "GET", "/get/x", "x-deadline: 4000\r\n", "").await;
        assert_eq!((get.status, get.body.as_str()), (200, "ok"), "{get:?}");
        let post = caller::call(front, "POST", "/post/x", "x-deadline: 4000\r\n", "sheet").await;
        assert_eq!((post.status, post.body.as_str()), (200, "ok"), "{post:?}");
    }
    fleet.cut(cut, Mode::Open);
    sleep(ADAPTATION_TIME).await;
    for network in &fleet.networks[cut..] {
        network.set(Mode::NewRefused);
    }
    let response = fleet.get(0).await;
    assert_eq!(response.status, 200, "after the partition: {response:?}");
}

macro_rules! served {
    ($($name:ident: $cut:expr, $mode:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_served($cut, Mode::$mode).await;
        }
    )*};
}

// Callers of an instance that reaches no endpoint must not wait for its deadline or be refused
// while other instances reach the endpoints.
served! {
    callers_are_served_when_connections_hang: 1, Hung;
    callers_are_served_when_connections_are_reset: 1, Reset;
    callers_are_served_when_new_connections_are_refused: 1, NewRefused;
    callers_are_served_when_most_of_a_domain_hangs: 2, Hung;
    callers_are_served_when_most_of_a_domain_is_reset: 2, Reset;
    callers_are_served_when_most_of_a_domain_is_refused: 2, NewRefused;
    callers_are_served_when_a_whole_domain_hangs: 3, Hung;
    callers_are_served_when_a_whole_domain_is_reset: 3, Reset;
    callers_are_served_when_a_whole_domain_is_refused: 3, NewRefused;
}

/// Cuts off the first `cut` of four instances and checks that callers are served who come while
/// the instances do not know of it yet.
async fn check_beginning(cut: usize, mode: Mode) {
    let fleet = Fleet::start(4, &[ok()]).await;
    fleet.cut(cut, mode);
    let mut requests = Vec::new();
    for turn in 0..30 {
        let front = fleet.sites[turn % cut].front();
        let (method, path) = if turn % 2 == 0 { ("GET", "/get/x") } else { ("POST", "/post/x") };
        requests.push(tokio::spawn(async move { caller::call(front, method, path, "x-deadline: 4000\r\n", "").await }));
        sleep(Duration::from_millis(20)).await;
    }
    for request in requests {
        let response = request.await.unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, "ok"), "{response:?}");
    }
}

macro_rules! served_from_the_beginning {
    ($($name:ident: $cut:expr, $mode:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_beginning($cut, Mode::$mode).await;
        }
    )*};
}

// Requests that were not sent yet must be served although the instance still has to find out
// that it reaches no endpoint.
served_from_the_beginning! {
    first_callers_are_served_when_connections_hang: 1, Hung;
    first_callers_are_served_when_connections_are_reset: 1, Reset;
    first_callers_are_served_when_new_connections_are_refused: 1, NewRefused;
    first_callers_are_served_when_most_of_a_domain_hangs: 2, Hung;
    first_callers_are_served_when_a_whole_domain_hangs: 3, Hung;
    first_callers_are_served_when_a_whole_domain_is_reset: 3, Reset;
    first_callers_are_served_when_a_whole_domain_is_refused: 3, NewRefused;
}

/// A stream that comes through another instance must not notice that the partition ends, and
/// callers must be served while it does.
#[tokio::test]
async fn end_of_a_partition_disturbs_nobody() {
    let fleet = Fleet::start(3, &[slow_stream()]).await;
    fleet.cut(1, Mode::Hung);
    fleet.adapt(1).await;
    let front = fleet.sites[0].front();
    let stream = tokio::spawn(async move { caller::call(front, "POST", "/stream/x", "", "prompt").await });
    sleep(Duration::from_millis(150)).await;
    fleet.cut(1, Mode::Open);
    for _ in 0..20 {
        let response = caller::call(front, "POST", "/stream/x", "x-deadline: 4000\r\n", "prompt").await;
        assert_eq!(received_events(&response), all_events());
    }
    assert_eq!(received_events(&stream.await.unwrap()), all_events());
}

/// In a fleet that is too large for news to reach all instances at once, callers of a whole
/// failure domain are cut off from the endpoints. `LARGE_FLEET` gives another size by hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn callers_are_served_when_a_domain_of_a_large_fleet_hangs() {
    let instances = std::env::var("LARGE_FLEET").ok().and_then(|text| text.parse().ok()).unwrap_or(72);
    let fleet = Fleet::start(instances, &[ok()]).await;
    let cut = instances / 3;
    fleet.cut(cut, Mode::Hung);
    fleet.adapt(cut).await;
    let mut failed = Vec::new();
    for instance in 0..cut {
        let response = fleet.get(instance).await;
        if response.status != 200 {
            failed.push((instance, response));
        }
    }
    assert!(failed.len() <= 10 + cut / 50, "{} of {cut}: {failed:?}", failed.len());
}

/// Callers must not be sent to an instance that reaches no endpoint while others do.
#[tokio::test]
async fn instance_without_endpoints_is_not_listed() {
    let fleet = Fleet::start(4, &[ok()]).await;
    fleet.cut(1, Mode::NewRefused);
    fleet.adapt(1).await;
    for instance in 0..4 {
        let listed = fleet.listed(instance);
        assert!(!listed.contains(&fleet.sites[0].front()), "instance {instance} lists {listed:?}");
        assert_eq!(listed.len(), 3);
    }
    fleet.cut(1, Mode::Open);
    sleep(ADAPTATION_TIME).await;
    assert_eq!(fleet.listed(3).len(), 4);
}

/// A service whose endpoints are all deregistered is not out of reach: an instance that has
/// lost it before must be listed again.
#[tokio::test]
async fn instance_is_listed_if_a_lost_service_has_no_endpoints_left() {
    let fleet = Fleet::start(4, &[ok()]).await;
    fleet.cut(1, Mode::NewRefused);
    fleet.adapt(1).await;
    assert_eq!(fleet.listed(3).len(), 3);
    for site in &fleet.sites {
        site.store.change(|contents| contents.endpoints.clear());
    }
    sleep(ADAPTATION_TIME).await;
    assert_eq!(fleet.listed(3).len(), 4);
}

/// Most endpoints are down, and an instance often finds several of them in a row. It must not
/// take that for a partition which has ended, and forget their backoffs each time.
#[tokio::test]
async fn crashed_endpoints_stay_in_backoff_beside_a_sound_one() {
    let healthy = Server::start(vec![ok()]).await;
    let network = Arc::new(Counting::default());
    let closed = (1..=8).map(|port| ([127, 0, 0, 1], port).into());
    let endpoints = closed.chain([healthy.address]).enumerate();
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/get/", Kind::Idempotent)])),
        endpoints: endpoints.map(|(n, address)| endpoint(&format!("e{n}"), address)).collect(),
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |settings| settings.network = network.clone()).await;
    let requests = 60;
    for _ in 0..requests {
        let response = caller::call(site.front(), "GET", "/get/x", "", "").await;
        assert_eq!(response.status, 200, "{response:?}");
        sleep(Duration::from_millis(10)).await;
    }
    let failed = network.connections() - healthy.requests().len();
    assert!(failed < requests, "{failed} connections to crashed endpoints for {requests} requests");
}

/// When no instance reaches an endpoint, callers must be refused at once, not at their deadline.
#[tokio::test]
async fn request_without_any_reachable_endpoint_is_refused_at_once() {
    let fleet = Fleet::start(3, &[ok()]).await;
    fleet.cut(3, Mode::Hung);
    fleet.adapt(3).await;
    let received_before = fleet.received();
    for instance in 0..3 {
        for (method, path) in [("GET", "/get/x"), ("POST", "/post/x"), ("POST", "/stream/x")] {
            let started = Instant::now();
            let front = fleet.sites[instance].front();
            let response = caller::call(front, method, path, "x-deadline: 4000\r\n", "").await;
            assert_eq!(response.status, 503, "{response:?}");
            assert!(started.elapsed() < Duration::from_millis(500), "refused after {:?}", started.elapsed());
            let after: f64 = response.header("retry-after").unwrap().parse().unwrap();
            // The outage has lasted for most of the time to adapt, and may last as long again.
            assert!((1.0..5.0).contains(&after), "{after}");
        }
    }
    assert_eq!(fleet.received(), received_before, "a request was told \"not run\" and has run");
}

/// Plays a partition in the middle of a stream, and checks that the caller receives each event
/// once.
async fn check_stream(mode: Mode) {
    let fleet = Fleet::start(3, &[slow_stream()]).await;
    let front = fleet.sites[0].front();
    let stream = tokio::spawn(async move { caller::call(front, "POST", "/stream/x", "", "prompt").await });
    while fleet.servers.iter().all(|server| server.requests().is_empty()) {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(Duration::from_millis(100)).await;
    fleet.cut(1, mode);
    let response = stream.await.unwrap();
    assert_eq!(received_events(&response), all_events());
}

/// A stream whose connection falls silent must go on through another instance.
#[tokio::test]
async fn hung_stream_goes_on_elsewhere() {
    check_stream(Mode::Hung).await;
}

/// A stream whose connection is reset must go on through another instance.
#[tokio::test]
async fn reset_stream_goes_on_elsewhere() {
    check_stream(Mode::Reset).await;
}

/// A stream whose connection outlives the path for new ones must not be disturbed.
#[tokio::test]
async fn stream_on_an_open_connection_goes_on() {
    check_stream(Mode::NewRefused).await;
}

/// Endpoints must not see access keys or what instances tell each other, and no more attempts
/// than the route allows, also when a request is forwarded after an attempt.
#[tokio::test]
async fn forwarded_request_reaches_endpoints_like_any_other() {
    let fleet = Fleet::start(2, &[Action::Reset(stream_head(90) + &event(1))]).await;
    fleet.cut(1, Mode::NewRefused);
    fleet.adapt(1).await;
    let front = fleet.sites[0].front();
    let response = caller::call(front, "POST", "/stream/x", "x-request-is: stream\r\n", "prompt").await;
    assert!(!response.complete, "{response:?}");
    let requests: Vec<String> = fleet.servers.iter().flat_map(Server::requests).collect();
    let streams: Vec<_> = requests.iter().filter(|request| request.contains("x-request-is: stream")).collect();
    assert!((1..=3).contains(&streams.len()), "{streams:#?}");
    for request in requests {
        assert!(!request.contains("x-key:") && !request.contains("relay-"), "{request}");
    }
}

/// Starts an instance on a thread of its own. It freezes for each duration that is sent to it.
fn start_on_thread(contents: StoreContents, seeds: Vec<SocketAddr>) -> mpsc::Sender<Duration> {
    let (freeze, frozen) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let site = Site::start_with(contents, |settings| {
                settings.instance = "freezing".into();
                settings.seeds = seeds;
            });
            let _site = site.await;
            loop {
                match frozen.try_recv() {
                    Ok(duration) => std::thread::sleep(duration),
                    Err(mpsc::TryRecvError::Empty) => sleep(Duration::from_millis(5)).await,
                    Err(mpsc::TryRecvError::Disconnected) => return,
                }
            }
        });
    });
    freeze
}

/// A partitioned instance forwards requests to one that freezes. Requests that may run twice
/// must go to another instance well before their deadline.
#[tokio::test]
async fn frozen_instance_does_not_hold_forwarded_requests() {
    let fleet = Fleet::start(2, &[ok()]).await;
    let addresses: Vec<SocketAddr> = fleet.servers.iter().map(|server| server.address).collect();
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/get/", Kind::Idempotent)])),
        endpoints: addresses.iter().enumerate().map(|(n, at)| endpoint(&format!("e{n}"), *at)).collect(),
        ..StoreContents::default()
    };
    let seeds = vec![fleet.sites[0].relay.dispatcher().settings.listeners.news];
    let freeze = start_on_thread(contents, seeds);
    while fleet.listed(0).len() < 3 {
        sleep(Duration::from_millis(2)).await;
    }
    fleet.cut(1, Mode::NewRefused);
    fleet.adapt(1).await;
    freeze.send(Duration::from_secs(6)).unwrap();
    sleep(Duration::from_millis(20)).await;
    let front = fleet.sites[0].front();
    let requests: Vec<_> = (0..10)
        .map(|_| tokio::spawn(async move { caller::call(front, "GET", "/get/x", "x-deadline: 4000\r\n", "").await }))
        .collect();
    for request in requests {
        let response = request.await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// A caller that leaves must not keep endpoints busy through another instance.
#[tokio::test]
async fn forwarded_request_ends_when_its_caller_leaves() {
    let fleet = Fleet::start(2, &[Action::Hang(String::new())]).await;
    let disconnects = || fleet.servers.iter().map(Server::disconnects).sum::<u32>();
    let runs = || fleet.servers.iter().map(|server| server.requests().len()).sum::<usize>();
    fleet.cut(1, Mode::NewRefused);
    let front = fleet.sites[0].front();
    let call = tokio::spawn(async move { caller::call(front, "POST", "/post/x", "", "sheet").await });
    while runs() == 0 {
        assert!(!call.is_finished(), "the request should run");
        sleep(Duration::from_millis(1)).await;
    }
    call.abort();
    let left_at = Instant::now();
    while disconnects() == 0 {
        assert!(left_at.elapsed() < Duration::from_millis(500), "the endpoint still runs the request");
        sleep(Duration::from_millis(1)).await;
    }
}

/// A partitioned instance must not take endpoints that it cannot reach for crashed ones.
/// Otherwise a request that several partitions interrupt is quarantined.
#[tokio::test]
async fn partitions_do_not_quarantine_a_request() {
    let fleet = Fleet::start(1, &[Action::Hang(stream_head(90) + &event(1))]).await;
    let site = &fleet.sites[0];
    for (round, server) in fleet.servers[..3].iter().enumerate() {
        list_only(site, &fleet.servers, round).await;
        let front = site.front();
        let stream = tokio::spawn(async move { caller::call(front, "POST", "/stream/x", "", "prompt").await });
        while server.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        fleet.cut(1, Mode::Reset);
        stream.await.unwrap();
        fleet.cut(1, Mode::Open);
        sleep(ADAPTATION_TIME).await;
    }
    assert_eq!(site.relay.dispatcher().refused_requests(1), []);
}

/// Answers that a partition held up arrive when it ends, seconds after their requests. Taken for
/// the endpoints' own time, they would make the instance expect late answers from then on.
#[tokio::test]
async fn answers_that_a_partition_held_up_do_not_count_as_slow() {
    let late = Action::Pause(String::new(), Duration::from_millis(60), ok_response("ok"));
    let fleet = Fleet::start(2, &[late]).await;
    let expected_ms = || fleet.sites[0].relay.dispatcher().expected_ms(&job()).unwrap();
    let front = fleet.sites[0].front();
    fleet.adapt(1).await;
    let before = expected_ms();
    let received = fleet.received();
    let held_up: Vec<_> = (0..20)
        .map(|_| tokio::spawn(async move { caller::call(front, "POST", "/post/x", "", "sheet").await }))
        .collect();
    while fleet.received() < received + held_up.len() {
        sleep(Duration::from_millis(1)).await;
    }
    fleet.cut(1, Mode::Hung);
    fleet.adapt(1).await;
    fleet.cut(1, Mode::Open);
    for response in held_up {
        assert_eq!(response.await.unwrap().status, 200);
    }
    let after = expected_ms();
    assert!(after < 1.3 * before, "{before} ms expected before, {after} ms after");
}

fn job() -> Job<'static> {
    Job {
        route: "/a/",
        service: SERVICE,
        model: None,
        size: 1.0,
        affinity: None,
        whole: None,
        shared_tokens: 0,
        own_tokens: 0,
        output_tokens: 0,
        session: 0,
        in_session: false,
        tried: &[],
        barred: &[],
        version: None,
    }
}

/// An endpoint that refuses one instance and serves others has not crashed. A request that is
/// interrupted at three of them must not be quarantined.
#[tokio::test]
async fn endpoints_that_refuse_one_instance_do_not_quarantine_a_request() {
    let fleet = Fleet::start(2, &[Action::Hang(stream_head(90) + &event(1))]).await;
    let (site, network) = (&fleet.sites[0], &fleet.networks[0]);
    for (round, server) in fleet.servers[..3].iter().enumerate() {
        network.cut_only([server.address]);
        list_only(site, &fleet.servers, round).await;
        let front = site.front();
        let stream = tokio::spawn(async move { caller::call(front, "POST", "/stream/x", "", "prompt").await });
        while server.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        network.set(Mode::Reset);
        sleep(Duration::from_millis(500)).await;
        stream.abort();
        network.set(Mode::Open);
        sleep(Duration::from_millis(1_200)).await;
    }
    assert_eq!(site.relay.dispatcher().refused_requests(1), []);
}

/// Registers all endpoints but one as leaving, and waits until the instance knows.
async fn list_only(site: &Site, servers: &[Server], only: usize) {
    site.store.change(|contents| {
        for (number, endpoint) in contents.endpoints.iter_mut().enumerate() {
            endpoint.draining = number != only;
            endpoint.revision.number += 1;
        }
    });
    let is_known = || {
        let known = site.relay.dispatcher().known_endpoints();
        known.iter().all(|endpoint| endpoint.draining == (endpoint.address != servers[only].address))
    };
    while !is_known() {
        sleep(Duration::from_millis(2)).await;
    }
}

/// A request whose connections only timed out was never sent. Told that it may have run, a
/// caller does not retry it.
#[tokio::test]
async fn request_that_was_never_sent_counts_as_not_run() {
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route("/post/", Kind::NonIdempotent)])),
        endpoints: vec![endpoint("e0", ([127, 0, 0, 1], 1).into())],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |settings| settings.network = Arc::new(Stalled)).await;
    let response = caller::call(site.front(), "POST", "/post/x", "x-deadline: 300\r\n", "sheet").await;
    assert_eq!(response.status, 503, "{response:?}");
}
