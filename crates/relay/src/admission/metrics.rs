//! Metrics of admission control. Their labels are services, ranks and places, which are few;
//! never teams or callers.

use std::{collections::BTreeMap, time::Duration};

use route::admission::demand::Class;

/// Number of teams whose demands are shown, by their place in the order of size.
const MAX_TEAMS: usize = 3;

/// Counts a decision on a request.
pub(super) fn count(service: &str, rank: u8, outcome: &'static str) {
    let (service, rank) = (service.to_owned(), rank.min(9).to_string());
    metrics::counter!("relay_admission_total", "service" => service, "rank" => rank, "outcome" => outcome).increment(1);
}

/// Shows the queue of a service.
#[expect(clippy::cast_precision_loss, reason = "a count of requests")]
pub(super) fn show_queue(service: &str, waiting: usize, wait: Duration) {
    metrics::gauge!("relay_admission_waiting", "service" => service.to_owned()).set(waiting as f64);
    metrics::gauge!("relay_admission_wait_ms", "service" => service.to_owned()).set(crate::clock::millis(wait));
}

/// Shows a service's demand over its capacity, and those of its largest teams.
pub(super) fn show_demand(service: &str, pressure: f64, classes: &BTreeMap<Class, f64>) {
    metrics::gauge!("relay_admission_pressure", "service" => service.to_owned()).set(pressure);
    let mut teams: BTreeMap<u32, f64> = BTreeMap::new();
    for (class, demand) in classes {
        *teams.entry(class.team).or_default() += demand;
    }
    let mut demands: Vec<f64> = teams.into_values().collect();
    demands.sort_by(|a, b| b.total_cmp(a));
    demands.resize(MAX_TEAMS, 0.0);
    for (place, demand) in demands.into_iter().enumerate() {
        let place = (place + 1).to_string();
        metrics::gauge!("relay_admission_team_demand", "service" => service.to_owned(), "place" => place).set(demand);
    }
}
