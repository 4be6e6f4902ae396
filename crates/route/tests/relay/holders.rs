//! Holders of shared prefixes are stored for a limited time and in limited number.

use std::time::Duration;

use route::relay::holders::Prefixes;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn holders_of(holders: &Prefixes, prefix: u32, now: Duration) -> Vec<u32> {
    holders.holders_of(prefix, now).collect()
}

/// A frequently used prefix is processed by one endpoint after another. Each is stored
/// once, until the endpoint has replaced the prefix in its cache.
#[test]
fn holders_are_stored_until_the_cache_lifetime_ends() {
    let mut holders = Prefixes::default();
    holders.record(7, 1, seconds(0));
    holders.record(7, 2, seconds(5));
    holders.record(7, 1, seconds(10));
    assert_eq!(holders_of(&holders, 7, seconds(12)), [2, 1]);
    assert_eq!(holders_of(&holders, 7, seconds(21)), [1]);
    assert!(holders_of(&holders, 7, seconds(26)).is_empty());
    assert!(holders_of(&holders, 8, seconds(12)).is_empty());
}

/// If many endpoints process a prefix, only the latest few are stored.
#[test]
fn latest_holders_are_kept() {
    let mut holders = Prefixes::default();
    (1..=9).for_each(|endpoint| holders.record(7, endpoint, seconds(1)));
    assert_eq!(holders_of(&holders, 7, seconds(2)), [6, 7, 8, 9]);
}

/// Prefixes that are requested only once must not use unbounded memory, and must make room
/// for later ones.
#[test]
fn memory_stays_bounded() {
    let mut holders = Prefixes::default();
    (0..20_000).for_each(|prefix| holders.record(prefix, 1, seconds(1)));
    assert!(holders_of(&holders, 100, seconds(2)) == [1] && holders_of(&holders, 19_999, seconds(2)).is_empty());
    holders.record(19_999, 1, seconds(20));
    assert_eq!(holders_of(&holders, 19_999, seconds(20)), [1]);
}
