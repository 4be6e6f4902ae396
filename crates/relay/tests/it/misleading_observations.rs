//! Observations and statements that say little about an endpoint, and what they must not cause.

use std::{collections::HashMap, time::Duration};

use relay::{
    dispatcher::{
        fleet::{Job, Load, Run, start_hash},
        peers::Status,
    },
    settings::Capacity,
};

use crate::learned_capacity::{ENDPOINTS, instance, long_job, news_address, registration, reporter};

/// One caller states the largest possible output. Engines with a few runs of other instances must
/// still have room for the next requests, or all go to the one engine without any.
#[tokio::test]
async fn stated_maximum_output_leaves_room_for_other_requests() {
    let instance = instance(Capacity::Learned);
    let load = Load { runs: 3.0, backlog_ms: 0.0 };
    let loads: HashMap<u32, Load> = (1..ENDPOINTS).map(|number| (start_hash(&registration(number, 1)), load)).collect();
    let status = Status { time_to_next: Duration::from_mins(1), loads, ..Status::default() };
    instance.update_peer(&reporter(0), news_address(0), status);
    for session in 0..40 {
        drop(instance.place(&long_job(1_000, session)).unwrap());
    }
    drop(instance.place(&Job { output_tokens: u32::MAX, ..long_job(1_000, 40) }).unwrap());
    let runs: Vec<Run> = (0..12).map(|session| instance.place(&long_job(1_000, session)).unwrap()).collect();
    assert!(runs.iter().any(|run| run.endpoint.id != "e0"), "no engine with runs has room");
}
