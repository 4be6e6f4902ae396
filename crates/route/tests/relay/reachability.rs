//! When a service counts as unreachable from an instance.

use std::time::Duration;

use route::relay::reachability::{Reach, Reachability};

/// A connection to an endpoint.
#[derive(Debug, Clone, Copy)]
enum Connection {
    Failed(u32),
    Succeeded,
}

use Connection::{Failed, Succeeded};

/// Checks whether a service with `endpoint_count` endpoints is lost a second after `connections`.
fn check(endpoint_count: usize, connections: &[Connection], expected: bool) {
    let mut reachability = Reachability::default();
    for (second, connection) in (1..).zip(connections) {
        let now = Duration::from_secs(second);
        match connection {
            Failed(endpoint) => {
                reachability.record_failure(now, *endpoint, endpoint_count);
            }
            Succeeded => {
                reachability.record_connection(now);
            }
        }
    }
    let later = Duration::from_secs(connections.len() as u64 + 1);
    assert_eq!(reachability.reach(later) == Reach::Lost, expected);
}

macro_rules! reachability {
    ($($name:ident: $count:expr, [$($connection:expr),*] => $lost:expr;)*) => {$(
        #[test]
        fn $name() {
            check($count, &[$($connection),*], $lost);
        }
    )*};
}

reachability! {
    unknown_service_counts_as_reachable: 18, [] => false;
    one_crashed_endpoint_is_not_a_lost_path: 18, [Failed(1), Failed(1), Failed(1), Failed(1)] => false;
    several_failing_endpoints_are_a_lost_path: 18, [Failed(1), Failed(2), Failed(1), Failed(3)] => true;
    success_in_between_shows_that_the_path_is_sound: 18, [Failed(1), Failed(2), Succeeded, Failed(3)] => false;
    path_comes_back_with_a_connection: 18, [Failed(1), Failed(2), Failed(3), Succeeded] => false;
    path_is_lost_again: 18, [Failed(1), Failed(2), Failed(3), Succeeded, Failed(1), Failed(2), Failed(3)] => true;
    all_endpoints_of_a_small_service: 2, [Failed(1), Failed(2)] => true;
    only_endpoint_of_a_service: 1, [Failed(1)] => true;
    endpoint_that_is_no_longer_registered: 0, [Failed(1)] => true;
}

/// Nearly all endpoints may be down while the last one works. The instance must not give up
/// before it had the time to try that one.
#[test]
fn path_is_doubtful_at_first() {
    let ms = Duration::from_millis;
    let mut reachability = Reachability::default();
    for endpoint in 1..=3 {
        reachability.record_failure(ms(1_000), endpoint, 18);
    }
    assert_eq!(reachability.reach(ms(1_001)), Reach::Doubtful);
    assert_eq!(reachability.reach(ms(2_000)), Reach::Lost);
}

/// All endpoints of a service were down, and a new one is registered. Requests must be sent
/// there instead of being refused until a probe has succeeded.
#[test]
fn new_endpoint_makes_a_lost_service_doubtful() {
    let ms = Duration::from_millis;
    let mut reachability = Reachability::default();
    reachability.record_failure(ms(1_000), 1, 1);
    assert_eq!(reachability.reach(ms(5_000)), Reach::Lost);
    reachability.record_registration(ms(5_000));
    assert_eq!(reachability.reach(ms(5_001)), Reach::Doubtful);
    assert_eq!(reachability.reach(ms(6_000)), Reach::Lost);
}

/// A run that was sent before a partition, or during it, was held up by it.
#[test]
fn runs_that_overlap_with_a_lost_path_are_known() {
    let ms = Duration::from_millis;
    let mut reachability = Reachability::default();
    assert!(!reachability.was_lost_since(ms(0)));
    reachability.record_failure(ms(1_000), 1, 1);
    assert!(reachability.was_lost_since(ms(1_500)));
    reachability.record_connection(ms(2_000));
    assert!(reachability.was_lost_since(ms(900)) && reachability.was_lost_since(ms(1_900)));
    assert!(!reachability.was_lost_since(ms(2_001)));
}

#[test]
fn changes_are_reported_once_with_their_duration() {
    let seconds = Duration::from_secs;
    let mut reachability = Reachability::default();
    let reports: Vec<bool> =
        (1..=5).map(|n| reachability.record_failure(seconds(n), u32::try_from(n).unwrap(), 18)).collect();
    assert_eq!(reports, [false, false, true, false, false]);
    assert_eq!(reachability.record_connection(seconds(8)), Some(seconds(5)));
    assert_eq!(reachability.record_connection(seconds(9)), None);
}
