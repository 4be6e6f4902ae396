//! Notices, which announce long prompts to the other instances at once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use relay::{
    catalog::Kind,
    dispatcher::{
        Dispatcher,
        fleet::{Job, Notice, short_hash},
        peers::{NoticeRecipients, Status},
    },
    settings::Cores,
};
use tokio::{net::UdpSocket, time::timeout};

use crate::{
    caller,
    server::{Action, Server, header, ok_response},
    site::{SERVICE, Site, StoreContents, catalog, dialect, endpoint, route, settings},
};

const ENDPOINTS: [&str; 3] = ["e0", "e1", "e2"];

/// First byte of a datagram of notices.
const NOTICES_TAG: u8 = 3;

/// Returns an instance that knows three endpoints and another instance.
fn instance_with_endpoints() -> Arc<Dispatcher> {
    let instance = Dispatcher::new(settings(), dialect());
    instance.install(catalog(1, vec![route("/a/", Kind::Idempotent)]));
    for (id, port) in ENDPOINTS.into_iter().zip(9..) {
        instance.register_endpoint(endpoint(id, ([127, 0, 0, 1], port).into()));
    }
    instance.update_peer(
        "other",
        ([127, 0, 0, 1], 1).into(),
        Status { time_to_next: Duration::from_mins(1), ..Status::default() },
    );
    instance
}

/// Returns a job whose last shared part is `part`, if it has one.
pub fn prompt_job(part: Option<u64>, own_tokens: u32) -> Job<'static> {
    Job {
        route: "/a/",
        service: SERVICE,
        model: Some(0),
        size: 1.0,
        affinity: part.map(|part| part << 32),
        whole: None,
        shared_tokens: if part.is_some() { 5_000 } else { 0 },
        own_tokens,
        output_tokens: 0,
        session: 1,
        in_session: false,
        tried: &[],
        barred: &[],
        version: None,
    }
}

/// One instance sends an endpoint a prompt that takes a third of a second to process. Requests
/// of another instance would wait behind it until the next news message arrives; after a notice
/// they go to the other endpoints.
#[tokio::test]
async fn requests_avoid_an_endpoint_with_a_long_prompt_of_another_instance() {
    let (here, there) = (instance_with_endpoints(), instance_with_endpoints());
    let run = here.place(&prompt_job(None, 10_000)).unwrap();
    let notices = here.next_notices().await;
    assert_eq!(notices.len(), 1);
    for notice in notices {
        there.apply_notice(notice);
    }
    for _ in 0..50 {
        assert_ne!(there.place(&prompt_job(None, 100)).unwrap().endpoint.id, run.endpoint.id);
    }
}

/// Load that a notice has announced is left out of the next news message; otherwise the other
/// instances would count it twice.
#[tokio::test]
async fn load_announced_by_a_notice_is_left_out_of_status_updates() {
    let instance = instance_with_endpoints();
    let long = instance.place(&prompt_job(None, 10_000)).unwrap();
    assert_eq!(instance.next_notices().await.len(), 1);
    let short = instance.place(&prompt_job(None, 100)).unwrap();
    let loads = instance.own_loads();
    let load_of = |id: &str| loads.iter().find(|(hash, _)| *hash == short_hash(id)).unwrap().1;
    assert_eq!((load_of(&long.endpoint.id).runs, load_of(&long.endpoint.id).backlog_ms), (1.0, 0.0));
    assert!(load_of(&short.endpoint.id).backlog_ms > 0.0);
    drop((long, short));
    assert!(instance.own_loads().is_empty());
}

/// Another instance has sent a shared part to one endpoint. The next request with that part goes
/// there, whichever endpoint its hash selects.
#[tokio::test]
async fn shared_part_is_reused_where_another_instance_sent_it() {
    for id in ENDPOINTS {
        let instance = instance_with_endpoints();
        let part = Some(7);
        instance.apply_notice(Notice { endpoint: short_hash(id), reading_ms: 0.0, part });
        let run = instance.place(&prompt_job(part.map(u64::from), 100)).unwrap();
        assert!(run.endpoint.id == id && run.choice.preferred);
    }
}

/// A notice may name an endpoint that is already gone here, or not known yet.
#[tokio::test]
async fn notice_of_an_unknown_endpoint_is_harmless() {
    let instance = instance_with_endpoints();
    instance.apply_notice(Notice { endpoint: 1, reading_ms: 300.0, part: Some(7) });
    assert!(instance.place(&prompt_job(Some(7), 100)).is_some());
}

/// The endpoint that has a shared part in its cache is processing a long prompt. The next request
/// with that part goes to another endpoint and names the one to copy it from, so that the part is
/// not processed a second time.
#[tokio::test]
async fn shared_part_is_copied_from_its_busy_holder() {
    let actions = || vec![Action::Write(ok_response("ok")), Action::Write(ok_response("ok"))];
    let servers = [Server::start(actions()).await, Server::start(actions()).await];
    let addresses = servers.each_ref().map(|server| server.address);
    let site = Site::start(vec![route("/a/", Kind::Idempotent)], &addresses).await;
    let headers = "X-Tokens: 6000,20\r\nX-Parts: aa:5000,bb:1000\r\n";
    assert_eq!(caller::call(site.front(), "POST", "/a/x", headers, "prompt").await.status, 200);
    let holder = usize::from(servers[0].requests().is_empty());
    let busy = Notice { endpoint: short_hash(&format!("e{holder}")), reading_ms: 10_000.0, part: None };
    site.relay.dispatcher().apply_notice(busy);
    assert_eq!(caller::call(site.front(), "POST", "/a/x", headers, "prompt").await.status, 200);
    let requests = servers[1 - holder].requests();
    assert_eq!(header(&requests[0], "x-fetch"), Some(addresses[holder].to_string()));
    assert_eq!(header(&servers[holder].requests()[0], "x-fetch"), None);
}

/// Adds `per_domain` instances in each of three failure domains, all at one address; the first of
/// each domain has the most cores.
fn add_instances(instance: &Dispatcher, per_domain: u16, news: SocketAddr) {
    for domain in ["tartu-a", "tartu-b", "voru"] {
        for number in 0..per_domain {
            let cores = Cores(if number == 0 { 50 } else { 12 });
            let update =
                Status { domain: domain.into(), cores, time_to_next: Duration::from_mins(1), ..Status::default() };
            instance.update_peer(&format!("{domain}-{number}"), news, update);
        }
    }
    // Relay instances are selected with each round of news messages.
    let _ = instance.news_recipients(0, 16);
}

/// Sending a notice of each long prompt to each of 294 other instances would take fifty thousand
/// datagrams a second over the fleet and a third of its processor time. Only the relay instance of
/// each failure domain gets it and forwards it there.
#[test]
fn notices_go_to_few_forwarding_instances_in_a_large_fleet() {
    let (small, large) = (instance_with_endpoints(), instance_with_endpoints());
    add_instances(&small, 20, ([127, 0, 0, 1], 2).into());
    add_instances(&large, 98, ([127, 0, 0, 1], 2).into());
    assert!(matches!(small.notice_recipients(), NoticeRecipients::All(all) if all.len() == 61));
    assert!(matches!(large.notice_recipients(), NoticeRecipients::Relays(relays) if relays.len() == 4));
}

/// Detailed news to all others would be two thirds of the bytes between the failure domains of 79
/// instances. Other domains get brief news.
#[test]
fn other_domains_get_brief_news_in_a_fleet_of_dozens() {
    let (small, large) = (instance_with_endpoints(), instance_with_endpoints());
    add_instances(&small, 20, ([127, 0, 0, 1], 2).into());
    add_instances(&large, 26, ([127, 0, 0, 1], 2).into());
    assert_eq!(small.news_recipients(0, 16).far.news.len(), 0);
    let recipients = large.news_recipients(0, 16);
    assert!(!recipients.near.news.is_empty() && !recipients.far.news.is_empty(), "{recipients:?}");
}

/// A relay instance passes a notice on to the other instances of its failure domain, and counts
/// the load itself.
#[tokio::test]
async fn forwarding_instance_passes_a_notice_on() {
    let neighbours = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = neighbours.local_addr().unwrap();
    let start = async |name: &str, cores| {
        let server = endpoint("e0", ([127, 0, 0, 1], 9).into());
        let contents = StoreContents {
            endpoints: vec![server],
            catalog: Some(catalog(1, Vec::new())),
            ..StoreContents::default()
        };
        let site = Site::start_with(contents, |settings| {
            settings.instance = name.into();
            settings.cores = cores;
        });
        site.await
    };
    let (here, relay) = (start("a", Cores(12)).await, start("b", Cores(400)).await);
    let update = Status {
        domain: "tartu-a".into(),
        cores: Cores(400),
        time_to_next: Duration::from_mins(1),
        ..Status::default()
    };
    here.relay.dispatcher().update_peer("b", relay.relay.dispatcher().settings.listeners.news, update);
    for site in [&here, &relay] {
        add_instances(site.relay.dispatcher(), 40, address);
    }
    let job = prompt_job(None, 10_000);
    let before = relay.relay.dispatcher().expected_ms(&job).unwrap();
    let _run = here.relay.dispatcher().place(&job).unwrap();
    let passed_on = async {
        let mut buffer = [0; 2_048];
        while buffer[0] != NOTICES_TAG {
            neighbours.recv(&mut buffer).await.unwrap();
        }
    };
    timeout(Duration::from_secs(5), passed_on)
        .await
        .expect("the notice should reach the failure domain's other instances");
    assert!(relay.relay.dispatcher().expected_ms(&job).unwrap() > before + 100.0);
}
