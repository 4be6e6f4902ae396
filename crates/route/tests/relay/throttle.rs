//! Rate limits of endpoints, divided among instances under overload.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use route::relay::throttle::{Announcement, Share, Throttle, share, warmup_share};
use world::hash;

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);
const START: Duration = Duration::from_hours(1);

fn announced(per_s: f64, at: Duration) -> Announcement {
    Announcement { per_s: Some(per_s), at }
}

fn names(count: u64) -> Vec<u64> {
    (0..count).map(|number| hash::stable(&number.to_le_bytes())).collect()
}

/// Returns the parts of all instances, each computed from the others' names.
fn shares(per_s: f64, endpoint: u32, names: &[u64]) -> Vec<Share> {
    let of = |me: &u64| share(per_s, endpoint, *me, names.iter().copied().filter(|name| name != me));
    names.iter().map(of).collect()
}

/// Returns the times of the requests that an endpoint gets from instances that always have
/// one to send. `change` may replace their parts of the limit.
fn send_at_capacity(per_s: f64, shares: &[Share], change: impl Fn(Duration) -> Option<Vec<Share>>) -> Vec<Duration> {
    let mut throttles = vec![Throttle::default(); shares.len()];
    for (throttle, share) in throttles.iter_mut().zip(shares) {
        throttle.record(START, announced(per_s, START));
        throttle.set_share(START, *share);
    }
    let (mut now, mut sent) = (START, Vec::new());
    while now < START + 5 * WINDOW {
        for (throttle, share) in throttles.iter_mut().zip(change(now.saturating_sub(START)).unwrap_or_default()) {
            throttle.set_share(now, share);
        }
        for throttle in &mut throttles {
            if throttle.may_send(now) {
                throttle.take_token(now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

/// Returns the largest number of requests in any window of four seconds.
fn max_in_window(sent: &[Duration]) -> usize {
    let within = |from: &Duration| sent.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
    sent.iter().map(within).max().unwrap_or_default()
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn is_allowed(per_s: f64, sent: &[Duration]) -> bool {
    max_in_window(sent) as f64 <= 1.5 * per_s * WINDOW.as_secs_f64() + 5.0
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// All instances have requests at any moment. The endpoint gets little more than its
    /// limit.
    #[test]
    fn overload_keeps_to_the_limit(per_s in 0.05..40.0_f64, count in 1_u64..300, endpoint in any::<u32>()) {
        let sent = send_at_capacity(per_s, &shares(per_s, endpoint, &names(count)), |_| None);
        prop_assert!(is_allowed(per_s, &sent), "{} requests in a window at a limit of {per_s} per second", max_in_window(&sent));
    }

    /// An instance is considered lost by the others while it keeps sending, so that another
    /// sender takes its place.
    #[test]
    fn overload_keeps_to_the_limit_while_a_sender_changes(
        per_s in 0.05..40.0_f64, count in 2_u64..60, endpoint in any::<u32>(), at in 0_u64..10_000,
    ) {
        let names = names(count);
        let before = shares(per_s, endpoint, &names);
        let lost = shares(per_s, endpoint, &names[1..]);
        // The others receive no messages from the first instance, which continues with its
        // part.
        let after: Vec<Share> = before[..1].iter().chain(&lost).copied().collect();
        let at = Duration::from_millis(at);
        let sent = send_at_capacity(per_s, &before, |since| (since >= at).then(|| after.clone()));
        prop_assert!(is_allowed(per_s, &sent), "{} requests in a window at a limit of {per_s} per second", max_in_window(&sent));
    }

    /// The limit is used, even by a fleet of hundreds.
    #[test]
    fn limit_is_used(per_s in 1.0..40.0_f64, count in 1_u64..300, endpoint in any::<u32>()) {
        let sent = send_at_capacity(per_s, &shares(per_s, endpoint, &names(count)), |_| None);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let sent_per_s = sent.len() as f64 / (5.0 * WINDOW.as_secs_f64());
        prop_assert!(sent_per_s >= 0.8 * per_s, "{sent_per_s} requests per second at a limit of {per_s} per second");
    }
}

#[test]
fn endpoint_without_a_limit_allows_everything() {
    let mut throttle = Throttle::default();
    for _ in 0..100 {
        assert!(throttle.may_send(START));
        throttle.take_token(START);
    }
    assert_eq!(throttle.wait(START), Duration::ZERO);
}

#[test]
fn wait_is_until_the_next_token() {
    let mut throttle = Throttle::default();
    throttle.record(START, announced(2.0, START));
    throttle.set_share(START, Share { rate: 0.5, max_tokens: 1.0 });
    assert!(throttle.may_send(START));
    throttle.take_token(START);
    assert!(!throttle.may_send(START));
    assert_eq!(throttle.wait(START), 2 * SECOND);
    assert_eq!(throttle.wait(START + SECOND), SECOND);
    assert!(throttle.may_send(START + 2 * SECOND));
}

/// An instance without a part tells its callers when another instance may send the next
/// request.
#[test]
fn wait_without_a_part_is_the_wait_of_the_fleet() {
    let mut throttle = Throttle::default();
    throttle.record(START, announced(2.0, START));
    throttle.set_share(START, Share::default());
    assert!(!throttle.may_send(START + 30 * SECOND));
    assert!((0.5..0.6).contains(&throttle.wait(START).as_secs_f64()));
}

#[test]
fn limit_of_zero_allows_nothing() {
    let mut throttle = Throttle::default();
    throttle.record(START, announced(0.0, START));
    throttle.set_share(START, share(0.0, 1, 2, std::iter::empty()));
    assert!(!throttle.may_send(START));
    assert_eq!(throttle.wait(START), Duration::from_mins(1));
}

/// An answer without a limit whose request was sent before the endpoint announced its limit
/// does not end the limit.
#[test]
fn older_announcement_changes_nothing() {
    let mut throttle = Throttle::default();
    assert!(throttle.record(START + SECOND, announced(2.0, START + SECOND)));
    assert!(!throttle.record(START + SECOND, Announcement { per_s: None, at: START }));
    assert_eq!(throttle.limit(START + SECOND), Some(2.0));
    assert!(throttle.record(START + 3 * SECOND, Announcement { per_s: None, at: START + 2 * SECOND }));
    assert_eq!(throttle.limit(START + 3 * SECOND), None);
}

/// If no request was sent to the endpoint for a long time, the limit expires, so that some
/// request can find out whether the endpoint has recovered.
#[test]
fn limit_expires() {
    let mut throttle = Throttle::default();
    throttle.record(START, announced(2.0, START));
    assert_eq!(throttle.limit(START + 59 * SECOND), Some(2.0));
    assert_eq!(throttle.limit(START + 60 * SECOND), None);
}

/// Returns the parts of all instances in the rate of a warming endpoint. Each instance
/// remembers the others, also those that it cannot reach.
fn warmup_shares(max_per_s: f64, endpoint: u32, names: &[u64]) -> Vec<Share> {
    let of = |me: &u64| warmup_share(max_per_s, endpoint, *me, names.iter().copied().filter(|name| name != me));
    names.iter().map(of).collect()
}

/// Returns the largest number of requests in any second.
fn most_in_a_second(sent: &[Duration]) -> f64 {
    let within = |from: &Duration| sent.iter().filter(|at| (*from..*from + SECOND).contains(at)).count();
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let most = sent.iter().map(within).max().unwrap_or_default() as f64;
    most
}

/// Checks that a warming endpoint gets no more requests in any second than it may, and at least half
/// of them, from instances that always have one to send.
fn check_warmup(max_per_s: f64, instances: u64) {
    let sent = send_at_capacity(max_per_s, &warmup_shares(max_per_s, 7, &names(instances)), |_| None);
    let most = most_in_a_second(&sent);
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let per_s = sent.len() as f64 / (5 * WINDOW).as_secs_f64();
    assert!(most <= max_per_s, "{most} requests in a second from {instances} instances");
    assert!(per_s >= 0.5 * max_per_s, "{per_s} requests a second from {instances} instances");
}

/// All instances have restarted while the fleet is cut in two halves, which both reach the
/// endpoint. Neither half knows the other, and each divides the rate among its own members.
fn check_warmup_in_two_halves(max_per_s: f64, instances: u64) {
    let names = names(instances);
    let (first, second) = names.split_at(names.len() / 2);
    let shares = [warmup_shares(max_per_s, 7, first), warmup_shares(max_per_s, 7, second)].concat();
    let most = most_in_a_second(&send_at_capacity(max_per_s, &shares, |_| None));
    assert!(most <= 2.0 * max_per_s, "{most} requests in a second from two halves of {instances} instances");
}

macro_rules! warmups {
    ($($name:ident: $check:ident, $max_per_s:expr, $instances:expr;)*) => {
        $(#[test] fn $name() { $check($max_per_s, $instances); })*
    };
}

warmups! {
    warming_endpoint_before_one_instance: check_warmup, 9.0, 1;
    warming_endpoint_before_seven_instances: check_warmup, 9.0, 7;
    warming_endpoint_before_dozens_of_instances: check_warmup, 9.0, 77;
    warming_endpoint_before_hundreds_of_instances: check_warmup, 9.0, 300;
    warming_endpoint_of_a_low_rate: check_warmup, 1.5, 40;
    warming_endpoint_of_a_high_rate: check_warmup, 60.0, 36;
    warming_endpoint_before_two_instances_cut_apart: check_warmup_in_two_halves, 9.0, 2;
    warming_endpoint_before_seven_instances_cut_apart: check_warmup_in_two_halves, 9.0, 7;
    warming_endpoint_before_twenty_instances_cut_apart: check_warmup_in_two_halves, 9.0, 20;
    warming_endpoint_before_dozens_of_instances_cut_apart: check_warmup_in_two_halves, 9.0, 77;
    warming_endpoint_before_hundreds_of_instances_cut_apart: check_warmup_in_two_halves, 9.0, 300;
    warming_endpoint_of_a_high_rate_before_instances_cut_apart: check_warmup_in_two_halves, 60.0, 36;
}
