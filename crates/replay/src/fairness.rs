//! What a small customer sees while a large one sends ten times its share.

use crate::{
    site::{self, Caller, Outcome, Plan, Policy},
    table::Table,
};

/// Length of a run, in milliseconds.
const SPAN_MS: u64 = 320_000;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// How late load reports are, in milliseconds.
const REPORT_LATE_MS: u64 = 2_000;
/// The small customer's load: a quarter of its half of the slots.
const SMALL: f64 = 0.125;
/// The large one's: ten times its half, or what leaves room for all.
const FLOOD: f64 = 5.0;
const CALM: f64 = 0.375;

/// The tables of this question.
pub fn tables(seed: u64) -> Vec<Table> {
    let columns = ["ranking", "small p50 ms", "small p99 ms", "small missed", "large p99 ms", "large missed"];
    let title = "A small customer beside a large one of the same weight that sends ten times its share";
    let mut table = Table::new(title, &columns);
    for (name, load, admission) in [
        ("ours, the large one within its share", CALM, true),
        ("ours, the large one at ten times its share", FLOOD, true),
        ("as they come, the large one within its share", CALM, false),
        ("as they come, the large one at ten times its share", FLOOD, false),
    ] {
        let caller = |name: &str, load| Caller { customer: name.parse().expect("a name"), weight: 1, load };
        let outcome = site::run(&Plan {
            seed,
            policy: Policy::Ours,
            span_ms: SPAN_MS,
            deadline_ms: DEADLINE_MS,
            report_late_ms: REPORT_LATE_MS,
            callers: vec![caller("small", SMALL), caller("large", load)],
            admission,
        });
        table.row(row(name, &outcome));
    }
    vec![table]
}

fn row(name: &str, outcome: &Outcome) -> Vec<String> {
    let quantile = |caller: usize, q| outcome.times[caller].value_at_quantile(q).to_string();
    let missed = |caller: usize| {
        format!("{:.4}", f64::from(outcome.missed[caller]) / f64::from(outcome.requests[caller].max(1)))
    };
    vec![name.into(), quantile(0, 0.5), quantile(0, 0.99), missed(0), quantile(1, 0.99), missed(1)]
}
