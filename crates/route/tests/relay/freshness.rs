//! Keys are believed no longer than a withdrawn one may work.

use std::time::Duration;

use route::relay::freshness::{Freshness, Proof};

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

macro_rules! ages {
    ($($(#[$doc:meta])* $name:ident: $proof:expr, at $now:expr => $holds:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut freshness = Freshness::new(Some(BOUND));
            freshness.renew(at(10_000), $proof);
            assert_eq!(freshness.holds(at($now)), $holds);
        }
    )*};
}

ages! {
    just_read: Proof::Read, at 10_001 => true;
    within_the_bound: Proof::Read, at 14_500 => true;
    at_the_bound: Proof::Read, at 15_000 => false;
    // A watch may hear nothing for a second before it is cut.
    quiet_watch_proves_less: Proof::Quiet, at 13_500 => true;
    quiet_watch_past_its_bound: Proof::Quiet, at 13_700 => false;
    // The instance slept through the withdrawal and wakes.
    after_a_sleep: Proof::Read, at 60_000 => false;
}

#[test]
fn nothing_is_believed_before_the_first_proof() {
    assert!(!Freshness::new(Some(BOUND)).holds(at(0)));
    assert!(Freshness::new(None).holds(at(0)));
}

/// An answer that was long under way arrives after a newer one: it proves
/// nothing more.
#[test]
fn late_answer_takes_nothing_back() {
    let mut freshness = Freshness::new(Some(BOUND));
    freshness.renew(at(10_000), Proof::Read);
    freshness.renew(at(7_000), Proof::Read);
    assert_eq!(freshness.age(at(11_000)), Some(at(1_000)));
}
