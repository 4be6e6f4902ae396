//! Notices of long prompts: the backlog that they add and the rate at which they are sent.

use std::time::Duration;

use route::relay::notice::{Backlog, Budget, MIN_PROCESSING_MS};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An endpoint gets two long prompts, the second one while it processes the first. The
/// backlog must shrink without a message about their completion.
#[test]
fn backlog_shrinks_as_prompts_are_processed() {
    let mut backlog = Backlog::default();
    backlog.add(ms(10_000), 300.0);
    backlog.add(ms(10_100), 200.0);
    for (at, left) in [(10_100, 400.0), (10_300, 200.0), (10_500, 0.0), (11_000, 0.0)] {
        assert!((backlog.left_ms(ms(at)) - left).abs() < 1e-3, "at {at}");
    }
}

/// A long idle period of an endpoint must not reduce its later backlog.
#[test]
fn idle_time_does_not_reduce_later_backlog() {
    let mut backlog = Backlog::default();
    backlog.add(ms(1_000), 100.0);
    backlog.add(ms(60_000), 100.0);
    assert!((backlog.left_ms(ms(60_000)) - 100.0).abs() < 1e-3);
}

/// Counts the notices that an instance sends to `others` other instances within ten seconds
/// when long prompts arrive continuously.
fn sent_notices(others: usize) -> usize {
    let mut budget = Budget::new(ms(0));
    (0..10_000).filter(|&at| budget.try_notify(ms(at), MIN_PROCESSING_MS, false, others)).count()
}

/// The number of datagrams that an instance sends for many long prompts must stay bounded
/// for any fleet size.
#[test]
fn datagrams_stay_bounded_at_any_fleet_size() {
    for others in [1, 6, 60, 73, 750] {
        let datagrams = sent_notices(others) * others;
        assert!(datagrams <= 5_000 + 10 * others, "{datagrams} datagrams to {others} others");
        assert!(datagrams >= 3_000, "{datagrams} datagrams to {others} others");
    }
}

#[test]
fn only_relevant_prompts_are_announced() {
    let mut budget = Budget::new(ms(0));
    assert!(!budget.try_notify(ms(0), MIN_PROCESSING_MS - 1.0, false, 6));
    assert!(
        budget.try_notify(ms(0), 5.0, true, 6),
        "a shared prefix worth caching is announced whatever its processing time"
    );
    assert!(!budget.try_notify(ms(0), 500.0, true, 0), "there are no other instances");
}
