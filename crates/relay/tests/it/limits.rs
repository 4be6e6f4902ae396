//! Endpoints that announce how many requests they accept from all instances together.

use std::time::{Duration, Instant};

use relay::catalog::Kind;
use tokio::time::sleep;

use crate::{
    caller,
    server::{Action, Server, ok_response},
    site::{Site, StoreContents, catalog, endpoint, route, settings},
};

/// Requests per second that the endpoint accepts.
const LIMIT_PER_S: f64 = 2.0;

/// Seconds of the window in which requests are counted.
const WINDOW_S: f64 = 4.0;

/// Writes a complete response that announces the limit.
fn limited() -> Action {
    Action::Write(ok_response("ok").replace("\r\n\r\n", &format!("\r\nx-limit: {LIMIT_PER_S}\r\n\r\n")))
}

fn unlimited() -> Action {
    Action::Write(ok_response("ok"))
}

/// Starts instances in front of `servers` and waits until each knows all others.
async fn start_instances(count: usize, servers: &[&Server]) -> Vec<Site> {
    let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address));
    let catalog = catalog(1, vec![route("/a/", Kind::Idempotent)]);
    let contents = StoreContents { catalog: Some(catalog), endpoints: endpoints.collect(), ..StoreContents::default() };
    let mut sites: Vec<Site> = Vec::new();
    for number in 0..count {
        let seeds = sites.iter().map(|site| site.relay.dispatcher().settings.listeners.news).collect();
        let site = Site::start_with(contents.clone(), |settings| {
            settings.instance = format!("instance-{number}");
            settings.seeds = seeds;
        });
        sites.push(site.await);
    }
    for site in &sites {
        while site.relay.dispatcher().live_instance_count() < count {
            sleep(Duration::from_millis(2)).await;
        }
    }
    sites
}

/// Sends requests to the instances in turn, at many times the rate that a limited endpoint
/// accepts.
async fn send_requests(sites: &[Site], calls: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for turn in 0..calls {
        let front = sites[turn % sites.len()].front();
        statuses.push(caller::call(front, "GET", "/a/x", "", "").await.status);
        sleep(Duration::from_millis(20)).await;
    }
    statuses
}

/// Returns the number of requests that the endpoint may receive after `since`, when the
/// instances have learned of its limit.
fn max_requests(since: Instant) -> f64 {
    1.5 * LIMIT_PER_S * since.elapsed().as_secs_f64().max(WINDOW_S) + 5.0
}

fn request_count(server: &Server) -> f64 {
    f64::from(u32::try_from(server.requests().len()).unwrap())
}

/// Checks that an overloaded endpoint that announces a limit receives no more requests than the
/// limit, rather than its full share.
async fn check_limit(instance_count: usize) {
    let (overloaded, other) = (Server::start(vec![limited()]).await, Server::start(vec![unlimited()]).await);
    let sites = start_instances(instance_count, &[&overloaded, &other]).await;
    while overloaded.requests().is_empty() {
        send_requests(&sites, 1).await;
    }
    // All instances are notified at once; the limit need not hold in the first half second.
    sleep(Duration::from_millis(500)).await;
    let (since, before) = (Instant::now(), request_count(&overloaded));
    let statuses = send_requests(&sites, 150).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let received = request_count(&overloaded) - before;
    assert!(received <= max_requests(since), "{received} requests in {:?}", since.elapsed());
    assert!(received >= 1.0, "the endpoint should still get requests");
}

#[tokio::test]
async fn endpoint_gets_no_more_than_its_limit() {
    check_limit(1).await;
}

#[tokio::test]
async fn instances_share_the_limit_of_an_endpoint() {
    check_limit(3).await;
}

/// An endpoint announces its limit in a refusal, before it has answered any request.
#[tokio::test]
async fn limit_in_a_refusal_applies() {
    let busy = "HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\nx-limit: 2\r\ncontent-length: 0\r\n\r\n";
    let (overloaded, other) =
        (Server::start(vec![Action::Write(busy.into())]).await, Server::start(vec![unlimited()]).await);
    let sites = start_instances(1, &[&overloaded, &other]).await;
    while overloaded.requests().is_empty() {
        send_requests(&sites, 1).await;
    }
    let (since, before) = (Instant::now(), request_count(&overloaded));
    send_requests(&sites, 150).await;
    let received = request_count(&overloaded) - before;
    assert!(received <= max_requests(since), "{received} requests in {:?}", since.elapsed());
}

/// The registration of a limited endpoint expires and comes back several times, as when the store is
/// away again and again. The limit goes on.
#[tokio::test]
async fn limit_outlasts_the_registration() {
    let (overloaded, other) = (Server::start(vec![limited()]).await, Server::start(vec![unlimited()]).await);
    let sites = start_instances(1, &[&overloaded, &other]).await;
    while overloaded.requests().is_empty() {
        send_requests(&sites, 1).await;
    }
    let (since, before) = (Instant::now(), request_count(&overloaded));
    for _ in 0..30 {
        let mut expired = Vec::new();
        sites[0].store.change(|contents| expired = contents.endpoints.drain(0..1).collect());
        send_requests(&sites, 3).await;
        sites[0].store.change(|contents| contents.endpoints.splice(0..0, expired).for_each(drop));
        send_requests(&sites, 3).await;
    }
    let received = request_count(&overloaded) - before;
    assert!(received <= max_requests(since), "{received} requests in {:?}", since.elapsed());
}

/// Every endpoint has announced a limit, and it is used up. A request that could only wait until
/// it is refused is refused at once, with the time at which the next one is accepted; a caller
/// that retries then is served.
#[tokio::test]
async fn request_beyond_every_limit_is_refused_at_once() {
    let overloaded = Server::start(vec![limited()]).await;
    let sites = start_instances(1, &[&overloaded]).await;
    let front = sites[0].front();
    let call = || caller::call(front, "GET", "/a/x", "", "");
    let refused = loop {
        let response = call().await;
        if response.status != 200 {
            break response;
        }
        assert!(overloaded.requests().len() < 30, "every request was forwarded");
    };
    assert_eq!(refused.status, 503, "{refused:?}");
    let after: f64 =
        refused.header("retry-after").expect("the response should have a retry-after header").parse().unwrap();
    assert!((0.05..2.0).contains(&after), "{after}");
    sleep(Duration::from_secs_f64(after)).await;
    assert_eq!(call().await.status, 200);
}

/// The endpoint has recovered and announces no limit any more: it gets its share again at once.
#[tokio::test]
async fn limit_ends_with_the_first_answer_without_one() {
    let overloaded = Server::start(vec![limited(), unlimited()]).await;
    let sites = start_instances(1, &[&overloaded]).await;
    let mut served = 0;
    for _ in 0..200 {
        served += u32::from(send_requests(&sites, 1).await == [200]);
        if served == 20 {
            return;
        }
    }
    panic!("{served} of 200 requests served");
}

/// An instance that starts later has had no response from the endpoint, and learns of the limit
/// from another instance.
#[tokio::test]
async fn instance_that_starts_later_learns_of_a_limit() {
    let overloaded = Server::start(vec![limited()]).await;
    let mut sites = start_instances(1, &[&overloaded]).await;
    send_requests(&sites, 1).await;
    let store = std::sync::Arc::clone(&sites[0].store);
    let seeds = vec![sites[0].relay.dispatcher().settings.listeners.news];
    sites.push(Site::start_on(store, relay::Settings { instance: "late".into(), seeds, ..settings() }).await);
    let instance = sites[1].relay.dispatcher();
    while instance.recent_limits(1).is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
}
