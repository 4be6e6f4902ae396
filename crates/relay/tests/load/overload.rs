//! Who is served while callers ask for more than the endpoints can do. The bounds are those of
//! docs/LOAD-PARTS.md.

use std::time::Duration;

use relay::settings::Admission;

use crate::fleet::{Fleet, Flow, INSTANCES, Report};

/// Longest time of a refusal.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(75);

/// Least fraction of the slots that is busy.
const MIN_BUSY: f64 = 0.9;

/// Least fraction of the requests that are protected.
const MIN_SERVED: f64 = 0.95;

/// Time of a play.
const TIME: Duration = Duration::from_secs(6);

fn all() -> Vec<usize> {
    (0..INSTANCES).collect()
}

fn check_refusals_and_use(report: &Report) {
    assert!(report.refusal_p99() <= MAX_REFUSAL_TIME, "refusals take {:?}", report.refusal_p99());
    assert!(report.busy > MIN_BUSY, "slots are busy for {:.3} of the time", report.busy);
}

/// One team sends 2.5 times what the endpoints can serve, another a tenth of it, both to every
/// instance. Without shares, the small team is served as rarely as the large one.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn small_team_is_served_beside_a_large_one() {
    let fleet = Fleet::start(Admission::Fair).await;
    let large = Flow { team: "large", prefix: "/usual/", instances: all(), load: |_| 2.5 };
    let small = Flow { team: "small", load: |_| 0.1, ..large.clone() };
    let report = fleet.play(&[large, small], TIME).await;
    report.print("small team beside a large one");
    assert!(report.flows[1].fraction() >= MIN_SERVED, "small team: {:.3}", report.flows[1].fraction());
    check_refusals_and_use(&report);
}

/// The large team sends through one instance, the small one, which asks for half of the capacity,
/// through the seven others. With shares by instance, it would matter who sends through how many.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn distribution_over_instances_makes_no_difference() {
    let fleet = Fleet::start(Admission::Fair).await;
    let large = Flow { team: "large", prefix: "/usual/", instances: vec![0], load: |_| 2.5 };
    let small = Flow { team: "small", instances: (1..INSTANCES).collect(), load: |_| 0.5, ..large.clone() };
    let report = fleet.play(&[large, small], TIME).await;
    report.print("large team at one instance");
    assert!(report.flows[1].fraction() >= MIN_SERVED, "small team: {:.3}", report.flows[1].fraction());
    check_refusals_and_use(&report);
}

/// A route of rank 0 asks for 0.6 of the capacity beside one of rank 2 that asks for twice the
/// capacity. Without an order by rank, the urgent route is served as rarely as the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn urgent_route_is_served_in_time_beside_a_flood() {
    let fleet = Fleet::start(Admission::Fair).await;
    let urgent = Flow { team: "large", prefix: "/urgent/", instances: all(), load: |_| 0.6 };
    let low = Flow { prefix: "/low/", load: |_| 2.0, ..urgent.clone() };
    let report = fleet.play(&[urgent, low], TIME).await;
    report.print("urgent route beside a flood");
    let in_time = report.flows[0].fraction_in_time();
    assert!(in_time >= MIN_SERVED, "urgent route: {in_time:.3}");
    check_refusals_and_use(&report);
}

/// One second of three times the capacity amid 0.5 of it. Requests that arrive when it is over
/// must not suffer from what is left of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn burst_of_a_second_is_over_in_less_than_another() {
    let load = |at: Duration| if (2..3).contains(&at.as_secs()) { 3.0 } else { 0.5 };
    let fleet = Fleet::start(Admission::Fair).await;
    let flow = Flow { team: "large", prefix: "/usual/", instances: all(), load };
    let report = fleet.play(&[flow], TIME).await;
    report.print("burst");
    let seconds = |from, to| report.flows[0].between(Duration::from_millis(from), Duration::from_millis(to));
    let (before, burst, after) = (seconds(0, 2_000), seconds(2_000, 3_000), seconds(3_800, 6_000));
    println!(
        "burst: before {:.3}, during {:.3} (in time {:.3}), after {:.3} (in time {:.3})",
        before.fraction_in_time(),
        burst.fraction(),
        burst.fraction_in_time(),
        after.fraction(),
        after.fraction_in_time()
    );
    assert!(before.fraction_in_time() >= MIN_SERVED, "before: {:.3}", before.fraction_in_time());
    assert!(burst.fraction() >= 0.4, "during: {:.3}", burst.fraction());
    assert!(after.fraction_in_time() >= MIN_SERVED, "after: {:.3}", after.fraction_in_time());
    assert!(report.refusal_p99() <= MAX_REFUSAL_TIME, "refusals take {:?}", report.refusal_p99());
}
