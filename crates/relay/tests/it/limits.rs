//! Endpoints that announce how many requests they accept from all instances together.

use std::time::{Duration, Instant};

use relay::catalog::Kind;
use tokio::time::sleep;

use crate::{
    caller,
    server::{Act, Server, whole},
    site::{Kept, Site, catalog, endpoint, route, settings},
};

/// Requests per second that the endpoint accepts.
const PER_S: f64 = 2.0;

/// Seconds of the window in which requests are counted.
const WINDOW_S: f64 = 4.0;

/// Writes a complete response that announces the limit.
fn limited() -> Act {
    Act::Write(whole("ok").replace("\r\n\r\n", &format!("\r\nx-limit: {PER_S}\r\n\r\n")))
}

fn sound() -> Act {
    Act::Write(whole("ok"))
}

/// Starts instances in front of `servers` and waits until each knows all others.
async fn instances(count: usize, servers: &[&Server]) -> Vec<Site> {
    let endpoints = servers.iter().enumerate().map(|(n, server)| endpoint(&format!("e{n}"), server.address));
    let catalog = catalog(1, vec![route("/a/", Kind::Idempotent)]);
    let kept = Kept { catalog: Some(catalog), endpoints: endpoints.collect(), ..Kept::default() };
    let mut sites: Vec<Site> = Vec::new();
    for number in 0..count {
        let seeds = sites.iter().map(|site| site.relay.desk().settings.listeners.news).collect();
        let site = Site::open_with(kept.clone(), |settings| {
            settings.instance = format!("instance-{number}");
            settings.seeds = seeds;
        });
        sites.push(site.await);
    }
    for site in &sites {
        while site.relay.desk().members() < count {
            sleep(Duration::from_millis(2)).await;
        }
    }
    sites
}

/// Sends requests to the instances in turn, at many times the rate that a limited endpoint
/// accepts.
async fn crowd(sites: &[Site], calls: usize) -> Vec<u16> {
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
fn allowed(since: Instant) -> f64 {
    1.5 * PER_S * since.elapsed().as_secs_f64().max(WINDOW_S) + 5.0
}

fn count(server: &Server) -> f64 {
    f64::from(u32::try_from(server.seen().len()).unwrap())
}

/// An overloaded endpoint announces a limit. It still received its full share of all requests,
/// as if there were none.
async fn check_share(count_of_instances: usize) {
    let (needy, other) = (Server::open(vec![limited()]).await, Server::open(vec![sound()]).await);
    let sites = instances(count_of_instances, &[&needy, &other]).await;
    while needy.seen().is_empty() {
        crowd(&sites, 1).await;
    }
    // All instances are notified at once; the endpoint tolerates half a second.
    sleep(Duration::from_millis(500)).await;
    let (since, before) = (Instant::now(), count(&needy));
    let statuses = crowd(&sites, 150).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let got = count(&needy) - before;
    assert!(got <= allowed(since), "{got} requests in {:?}", since.elapsed());
    assert!(got >= 1.0, "it still takes some");
}

#[tokio::test]
async fn endpoint_gets_no_more_than_it_names() {
    check_share(1).await;
}

#[tokio::test]
async fn instances_keep_to_a_limit_together() {
    check_share(3).await;
}

/// An endpoint announces its limit in a refusal, before it has answered any request.
#[tokio::test]
async fn limit_in_a_refusal_counts() {
    let busy = "HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\nx-limit: 2\r\ncontent-length: 0\r\n\r\n";
    let (needy, other) = (Server::open(vec![Act::Write(busy.into())]).await, Server::open(vec![sound()]).await);
    let sites = instances(1, &[&needy, &other]).await;
    while needy.seen().is_empty() {
        crowd(&sites, 1).await;
    }
    let (since, before) = (Instant::now(), count(&needy));
    crowd(&sites, 150).await;
    let got = count(&needy) - before;
    assert!(got <= allowed(since), "{got} requests in {:?}", since.elapsed());
}

/// Every endpoint has announced a limit, and it is used up. A request that could only wait until
/// it is refused is refused at once, with the time at which the next one is accepted; a caller
/// that retries then is served.
#[tokio::test]
async fn request_that_no_endpoint_takes_is_refused_at_once() {
    let needy = Server::open(vec![limited()]).await;
    let sites = instances(1, &[&needy]).await;
    let front = sites[0].front();
    let call = || caller::call(front, "GET", "/a/x", "", "");
    let refused = loop {
        let got = call().await;
        if got.status != 200 {
            break got;
        }
        assert!(needy.seen().len() < 30, "everything is sent on");
    };
    assert_eq!(refused.status, 503, "{refused:?}");
    let after: f64 = refused.header("retry-after").expect("it says when").parse().unwrap();
    assert!((0.05..2.0).contains(&after), "{after}");
    sleep(Duration::from_secs_f64(after)).await;
    assert_eq!(call().await.status, 200);
}

/// The endpoint has recovered and announces no limit any more: it gets its share again at once.
#[tokio::test]
async fn limit_ends_with_the_first_answer_that_names_none() {
    let needy = Server::open(vec![limited(), sound()]).await;
    let sites = instances(1, &[&needy]).await;
    let mut served = 0;
    for _ in 0..200 {
        served += u32::from(crowd(&sites, 1).await == [200]);
        if served == 20 {
            return;
        }
    }
    panic!("{served} of 200 served");
}

/// An instance that starts later has had no response from the endpoint itself.
#[tokio::test]
async fn instance_that_starts_later_hears_of_a_limit() {
    let needy = Server::open(vec![limited()]).await;
    let mut sites = instances(1, &[&needy]).await;
    crowd(&sites, 1).await;
    let store = std::sync::Arc::clone(&sites[0].store);
    let seeds = vec![sites[0].relay.desk().settings.listeners.news];
    sites.push(Site::open_on(store, relay::Settings { instance: "late".into(), seeds, ..settings() }).await);
    let desk = sites[1].relay.desk();
    while desk.limits(1).is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
}
