//! Endpoints that crash if they have to reject too many requests within a second.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    brittle_server::{
        Behavior, BrittleServer, check_rejections, check_served, send_requests, start_instances, store_of,
    },
    network::{Cuttable, Mode},
};

/// Time in which instances learn that endpoints are brittle.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// Overloads three brittle endpoints through instances, and checks that none has to reject more
/// than it survives once the instances have learned of it.
async fn check(instances: usize, behavior: Behavior, per_s: u32, min_served_percent: usize) {
    let servers = BrittleServer::start_many(3, behavior).await;
    let sites = start_instances(instances, &store_of(&servers), |_, _| {}).await;
    send_requests(&sites, 5, LEARNING_TIME).await;
    let since = Instant::now();
    let report = send_requests(&sites, per_s, Duration::from_secs(3)).await;
    check_rejections(&servers, since, &report);
    check_served(&report, min_served_percent);
}

macro_rules! brittle {
    ($($name:ident: $instances:expr, $slots:expr, $per_s:expr => $min_served_percent:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check($instances, Behavior { slots: $slots, ..Behavior::default() }, $per_s, $min_served_percent).await;
        }
    )*};
}

// An overload must not crash brittle endpoints by rejections, and they must still get work.
brittle! {
    overload_does_not_crash_brittle_endpoints: 1, 4, 200 => 10;
    overload_through_several_instances_does_not_crash_brittle_endpoints: 3, 4, 200 => 10;
    more_instances_than_rejections_do_not_crash_brittle_endpoints: 8, 2, 200 => 5;
    brittle_endpoints_serve_usual_load: 3, 8, 40 => 100;
}

/// Rejections whose answers come late must not let further requests through meanwhile.
#[tokio::test]
async fn late_rejections_do_not_crash_brittle_endpoints() {
    let (run_time, rejection_delay) = (Duration::from_millis(500), Duration::from_millis(700));
    check(3, Behavior { slots: 1, run_time, rejection_delay, ..Behavior::default() }, 200, 1).await;
}

/// Instances that come back from a partition must not use shares that others have taken over.
#[tokio::test]
async fn instances_back_from_a_partition_do_not_crash_brittle_endpoints() {
    const INSTANCES: usize = 9;
    const PARTITIONED: usize = 6;
    const PHASE: Duration = Duration::from_millis(2_500);
    let servers = BrittleServer::start_many(6, Behavior { slots: 2, ..Behavior::default() }).await;
    let cuttable = || Arc::new(Cuttable::new(servers.iter().map(BrittleServer::address)));
    let networks: Vec<Arc<Cuttable>> = (0..PARTITIONED).map(|_| cuttable()).collect();
    let sites = start_instances(INSTANCES, &store_of(&servers), |number, settings| {
        if let Some(network) = networks.get(number) {
            settings.network = Arc::<Cuttable>::clone(network);
        }
    })
    .await;
    send_requests(&sites, 20, LEARNING_TIME).await;
    let since = Instant::now();
    let partitions = async {
        for mode in [Mode::Reset, Mode::Open, Mode::Reset, Mode::Open] {
            for network in &networks {
                network.set(mode);
            }
            sleep(PHASE).await;
        }
    };
    let (report, ()) = tokio::join!(send_requests(&sites, 200, 4 * PHASE), partitions);
    check_rejections(&servers, since, &report);
}
