//! Latency and load by endpoint choice.

use crate::{
    site::{self, Caller, Outcome, Plan, Policy},
    table::Table,
};

/// Requests as a share of capacity.
const LOADS: [f64; 3] = [0.6, 0.9, 1.3];
/// Length of a run, in milliseconds.
const SPAN_MS: u64 = 320_000;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// How late load reports are, in milliseconds.
const REPORT_LATE_MS: u64 = 2_000;

/// The tables of this question.
pub fn tables(seed: u64) -> Vec<Table> {
    LOADS.iter().map(|load| table(seed, *load)).collect()
}

fn table(seed: u64, load: f64) -> Table {
    let columns = [
        "endpoint choice",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "deadline missed",
        "of them late",
        "largest to mean load",
        "prefix hits",
    ];
    let title = format!("Load at {:.0}% of capacity, reports {} s late", load * 100.0, REPORT_LATE_MS / 1_000);
    let mut table = Table::new(title, &columns);
    for policy in Policy::ALL {
        let outcome = site::run(&Plan {
            seed,
            policy,
            span_ms: SPAN_MS,
            deadline_ms: DEADLINE_MS,
            report_late_ms: REPORT_LATE_MS,
            callers: vec![Caller { customer: "c".parse().expect("a name"), weight: 1, load }],
            admission: true,
        });
        table.row(row(policy, &outcome));
    }
    table
}

fn row(policy: Policy, outcome: &Outcome) -> Vec<String> {
    let quantile = |q| outcome.times[0].value_at_quantile(q).to_string();
    vec![
        policy.name().into(),
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
        format!("{:.4}", f64::from(outcome.missed[0]) / f64::from(outcome.requests[0])),
        format!("{:.4}", f64::from(outcome.missed[0] - outcome.refused[0]) / f64::from(outcome.requests[0])),
        format!("{:.2}", outcome.imbalance),
        format!("{:.3}", f64::from(outcome.hits) / f64::from(outcome.runs)),
    ]
}
