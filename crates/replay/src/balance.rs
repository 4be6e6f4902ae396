//! Even load by loads that are out of date.

mod method;
mod simulation;

use self::{
    method::Method,
    simulation::{Endpoint, Outcome, Plan},
};
use crate::table::Table;

/// Numbers of instances: the smallest, usual and largest fleets.
const INSTANCES: [usize; 3] = [8, 62, 300];

/// Intervals at which instances report their loads, which are thus up to this old, in milliseconds.
const REPORTS_MS: [u64; 4] = [0, 250, 1_250, 2_000];

/// Requests as a share of capacity.
const LOADS: [f64; 3] = [0.5, 0.8, 0.95];

/// Length of a run by nominal pace, with a service that has such runs, in milliseconds.
const RUNS: [(f64, Service); 3] = [(30.0, PLAIN), (100.0, PLAIN), (1_000.0, ENGINES)];

/// Simulated time, in milliseconds.
const SPAN_MS: u64 = 8_000;

/// Traffic of each fourth instance as a multiple of the others'.
const SKEW: f64 = 3.0;

/// Requests as a share of capacity, and the interval of reports in milliseconds, where one endpoint
/// hangs.
const HANGING_LOAD: f64 = 0.7;
const HANGING_REPORT_MS: u64 = 250;

/// Pace of endpoints in turn where they are unequal: two thirds are fast.
const UNEQUAL: [f64; 3] = [0.7, 0.7, 1.7];

/// Endpoints of a service.
#[derive(Debug, Clone, Copy)]
struct Service {
    endpoints: usize,
    slots: u32,
    max_queue: usize,
    /// Time after which a request is given up, in milliseconds.
    deadline_ms: f64,
}

/// A service of short runs.
const PLAIN: Service = Service { endpoints: 12, slots: 6, max_queue: 24, deadline_ms: 1_500.0 };

/// A service of model engines.
const ENGINES: Service = Service { endpoints: 60, slots: 48, max_queue: 100, deadline_ms: 20_000.0 };

impl Service {
    fn endpoints(self, run_ms: f64, paces: &[f64]) -> Vec<Endpoint> {
        let Self { endpoints, slots, max_queue, .. } = self;
        let paces = paces.iter().cycle().take(endpoints);
        paces.map(|pace| Endpoint { slots, max_queue, run_ms: run_ms * pace, hangs_ms: None }).collect()
    }
}

/// The tables of this question.
pub fn tables(seed: u64) -> Vec<Table> {
    std::thread::scope(|scope| {
        let threads = RUNS.map(|(run_ms, service)| scope.spawn(move || tables_of(seed, run_ms, service)));
        threads.into_iter().flat_map(|thread| thread.join().expect("no simulation fails")).collect()
    })
}

fn tables_of(seed: u64, run_ms: f64, service: Service) -> Vec<Table> {
    let mut tables = Vec::new();
    for (paces, kind) in [(&[1.0][..], "equal"), (&UNEQUAL[..], "unequal")] {
        for load in LOADS {
            let endpoints = service.endpoints(run_ms, paces);
            tables.push(table(seed, &endpoints, load, &format!("{run_ms:.0} ms runs, {kind} endpoints")));
        }
    }
    tables.push(table_of_hanging(seed, run_ms, service));
    tables
}

/// One endpoint accepts requests and does not answer them.
fn table_of_hanging(seed: u64, run_ms: f64, service: Service) -> Table {
    let mut endpoints = service.endpoints(run_ms, &[1.0]);
    endpoints[0].hangs_ms = Some(service.deadline_ms);
    let title = format!(
        "{run_ms:.0} ms runs, one of {} endpoints hangs, {:.0}% of capacity (requests lost there in % / p95 wait \
         elsewhere in ms)",
        endpoints.len(),
        HANGING_LOAD * 100.0
    );
    let columns = INSTANCES.map(|instances| format!("{instances}, {HANGING_REPORT_MS} ms"));
    let columns: Vec<String> = ["instances, age".to_owned()].into_iter().chain(columns).collect();
    let names: Vec<&str> = columns.iter().map(String::as_str).collect();
    let mut table = Table::new(title, &names);
    for method in Method::ALL {
        let cell = |instances: usize| {
            let (endpoints, load, span_ms) = (endpoints.clone(), HANGING_LOAD, SPAN_MS);
            let report_ms = HANGING_REPORT_MS;
            let plan = Plan { seed, method, instances, endpoints, load, report_ms, span_ms, skew: SKEW };
            let outcome = simulation::run(&plan);
            format!("{:.2} / {:.0}", 100.0 * outcome.hung_share(), outcome.p95_wait_ms())
        };
        table.row([method.name().to_owned()].into_iter().chain(INSTANCES.map(cell)).collect());
    }
    table
}

fn table(seed: u64, endpoints: &[Endpoint], load: f64, what: &str) -> Table {
    let title = format!(
        "{what}, {:.0}% of capacity (p95 wait in ms / rejected in % / largest to mean load / idle slots while others \
         queue in %)",
        load * 100.0
    );
    let columns =
        REPORTS_MS.iter().flat_map(|report_ms| INSTANCES.map(|instances| format!("{instances}, {report_ms} ms")));
    let columns: Vec<String> = ["instances, age".to_owned()].into_iter().chain(columns).collect();
    let names: Vec<&str> = columns.iter().map(String::as_str).collect();
    let mut table = Table::new(title, &names);
    for method in Method::ALL {
        let cell = |report_ms: u64, instances: usize| {
            let endpoints = endpoints.to_vec();
            let span_ms = SPAN_MS;
            cell(&simulation::run(&Plan { seed, method, instances, endpoints, load, report_ms, span_ms, skew: SKEW }))
        };
        let cells = REPORTS_MS.iter().flat_map(|report_ms| INSTANCES.map(|instances| cell(*report_ms, instances)));
        table.row([method.name().to_owned()].into_iter().chain(cells).collect());
    }
    table
}

fn cell(outcome: &Outcome) -> String {
    format!(
        "{:.0} / {:.1} / {:.2} / {:.1}",
        outcome.p95_wait_ms(),
        100.0 * outcome.rejected_share(),
        outcome.imbalance(),
        100.0 * outcome.idle_share()
    )
}
