//! Bound on retries over the whole fleet and at one instance.

use std::time::Duration;

use proptest::prelude::*;
use route::relay::allowance::{Allowance, Policy, Purpose};

const POLICY: Policy = Policy { ratio: 0.9, reserve: 54.0, window: Duration::from_secs(10) };

/// All servers of a service fail for a while, so every instance would retry every request.
/// Over any window, the retries of all instances together must stay within the ratio of the
/// callers' requests plus the reserve.
#[test]
fn retries_of_a_fleet_stay_within_the_bound() {
    let instances = 7;
    let mut fleet: Vec<_> = (0..instances).map(|_| Allowance::new(POLICY)).collect();
    let (mut firsts, mut extras) = (Vec::new(), Vec::new());
    for step in 0_u64..6_000 {
        let now = Duration::from_millis(step * 10);
        for allowance in &mut fleet {
            // A pause halfway: allowance earned before it must not be used after it.
            if step % 3 == 0 && !(2_000..4_000).contains(&step) {
                allowance.record_first_dispatch(now);
                firsts.push(now);
            }
            if allowance.try_extra_dispatch(now, instances, Purpose::Retry) {
                extras.push(now);
            }
        }
    }
    for end in (0..60_000).step_by(250).map(Duration::from_millis) {
        let within = |all: &[Duration]| all.iter().filter(|at| **at <= end && **at + POLICY.window > end).count();
        #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
        let bound = POLICY.ratio * within(&firsts) as f64 + POLICY.reserve;
        #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
        let spent = within(&extras) as f64;
        assert!(spent <= bound, "{spent} retries of {bound} allowed until {end:?}");
    }
    assert!(extras.len() > firsts.len() / 2, "{} of {}", extras.len(), firsts.len());
}

#[test]
fn escalations_leave_room_for_retries() {
    let mut allowance = Allowance::new(POLICY);
    let now = Duration::from_secs(100);
    for _ in 0..100 {
        allowance.record_first_dispatch(now);
    }
    while allowance.try_extra_dispatch(now, 7, Purpose::Escalation) {}
    assert!(allowance.try_extra_dispatch(now, 7, Purpose::Retry));
}

proptest! {
    /// A single instance keeps the bound for any sequence of requests.
    #[test]
    fn one_instance_keeps_the_bound(steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400)) {
        let mut allowance = Allowance::new(POLICY);
        let (mut now, mut firsts, mut extras) = (Duration::ZERO, Vec::new(), Vec::new());
        for (pause, first) in steps {
            now += Duration::from_millis(pause);
            if first {
                allowance.record_first_dispatch(now);
                firsts.push(now);
            } else if allowance.try_extra_dispatch(now, 1, Purpose::Retry) {
                extras.push(now);
            }
            let within = |all: &[Duration]| all.iter().filter(|at| **at + POLICY.window > now).count();
            #[expect(clippy::cast_precision_loss, reason = "a few hundred")]
            let bound = POLICY.ratio * within(&firsts) as f64 + POLICY.reserve;
            #[expect(clippy::cast_precision_loss, reason = "a few hundred")]
            let spent = within(&extras) as f64;
            prop_assert!(spent <= bound);
        }
    }
}
