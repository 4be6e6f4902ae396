//! Endpoints that crash if they have to reject too many requests within a second, behind so
//! many instances that each may send to few of them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use relay::source::Endpoint;
use tokio::time::sleep;

use crate::{
    brittle_server::{
        Behavior, BrittleServer, check_rejections, check_served, send_requests, start_instances, store_of,
    },
    network::{Cuttable, Mode},
};

const INSTANCES: usize = 74;

const ENDPOINTS: usize = 60;

/// An endpoint completes four requests a second.
const BEHAVIOR: Behavior = Behavior { slots: 2, run_time: Duration::from_millis(500), rejection_delay: Duration::ZERO };

/// Rate of requests that the endpoints complete.
const LEARNING_PER_S: u32 = 200;

/// Rate of requests at which most endpoints are full at any time.
const OVERLOAD_PER_S: u32 = 450;

/// Time in which each instance learns that endpoints are brittle, from its own requests.
const LEARNING_TIME: Duration = Duration::from_secs(4);

/// Longer than an instance remembers what an endpoint has stated once.
const LONG_OVERLOAD: Duration = Duration::from_secs(13);

/// Instances must not forget that endpoints are brittle to which they may not send.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_overload_through_a_large_fleet_does_not_crash_brittle_endpoints() {
    let servers = BrittleServer::start_many(ENDPOINTS, BEHAVIOR).await;
    let sites = start_instances(INSTANCES, &store_of(&servers), |_, _| {}).await;
    send_requests(&sites, LEARNING_PER_S, LEARNING_TIME).await;
    let since = Instant::now();
    let statuses = send_requests(&sites, OVERLOAD_PER_S, LONG_OVERLOAD).await;
    check_rejections(&servers, since, &statuses);
}

/// Endpoints that restart in an overload must not be crashed by all instances at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_brittle_endpoints_survive_an_overload_through_a_large_fleet() {
    const RESTARTED: usize = 20;
    let servers = BrittleServer::start_many(ENDPOINTS, BEHAVIOR).await;
    let restarted = BrittleServer::start_many(RESTARTED, BEHAVIOR).await;
    let store = store_of(&servers);
    let sites = start_instances(INSTANCES, &store, |_, _| {}).await;
    send_requests(&sites, LEARNING_PER_S, LEARNING_TIME).await;
    let since = Instant::now();
    let restart = async {
        sleep(Duration::from_secs(2)).await;
        store.change(|contents| {
            for (registered, server) in contents.endpoints.iter_mut().zip(&restarted) {
                let id = registered.id.clone();
                *registered = Endpoint { started_at_ms: Some(1), revision: 1, ..server.registration(&id) };
            }
        });
    };
    let (statuses, ()) = tokio::join!(send_requests(&sites, OVERLOAD_PER_S, Duration::from_secs(4)), restart);
    check_rejections(&restarted, since, &statuses);
}

/// Callers of instances that may send to few endpoints must be served while others have room.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_loaded_brittle_endpoints_serve_a_large_fleet() {
    const HALF_LOAD_PER_S: u32 = 120;
    let servers = BrittleServer::start_many(ENDPOINTS, BEHAVIOR).await;
    let sites = start_instances(INSTANCES, &store_of(&servers), |_, _| {}).await;
    send_requests(&sites, LEARNING_PER_S, LEARNING_TIME).await;
    let since = Instant::now();
    let statuses = send_requests(&sites, HALF_LOAD_PER_S, Duration::from_secs(4)).await;
    check_rejections(&servers, since, &statuses);
    check_served(&statuses, 98);
}

/// Callers of the many instances that may send to no endpoint must be served by the few that may.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn few_brittle_endpoints_serve_a_large_fleet() {
    const FEW_ENDPOINTS: usize = 5;
    const PER_S: u32 = 120;
    let behavior = Behavior { slots: 6, run_time: Duration::from_millis(60), rejection_delay: Duration::ZERO };
    let servers = BrittleServer::start_many(FEW_ENDPOINTS, behavior).await;
    let sites = start_instances(INSTANCES, &store_of(&servers), |_, _| {}).await;
    send_requests(&sites, PER_S, LEARNING_TIME).await;
    let since = Instant::now();
    let statuses = send_requests(&sites, PER_S, Duration::from_secs(4)).await;
    check_rejections(&servers, since, &statuses);
    check_served(&statuses, 98);
}

/// Callers of partitioned instances must be served by the few others that may send.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partitioned_instances_are_served_by_those_that_may_send_to_few_brittle_endpoints() {
    const FEW_ENDPOINTS: usize = 5;
    const PARTITIONED: usize = 20;
    const PER_S: u32 = 60;
    /// Time in which the instances have to adapt to the partition.
    const ADAPTATION_TIME: Duration = Duration::from_secs(3);
    let behavior = Behavior { slots: 6, run_time: Duration::from_millis(60), rejection_delay: Duration::ZERO };
    let servers = BrittleServer::start_many(FEW_ENDPOINTS, behavior).await;
    let network = Arc::new(Cuttable::new(servers.iter().map(BrittleServer::address)));
    let sites = start_instances(INSTANCES, &store_of(&servers), |number, settings| {
        if number < PARTITIONED {
            settings.network = Arc::<Cuttable>::clone(&network);
        }
    })
    .await;
    send_requests(&sites, PER_S, LEARNING_TIME).await;
    network.set(Mode::Reset);
    send_requests(&sites, PER_S, ADAPTATION_TIME).await;
    let since = Instant::now();
    let statuses = send_requests(&sites[..PARTITIONED], PER_S, Duration::from_secs(4)).await;
    check_rejections(&servers, since, &statuses);
    check_served(&statuses, 98);
}
