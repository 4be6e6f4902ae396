//! Access keys and catalogs are not used for longer than the bound after a change.

use std::time::Duration;

use route::relay::freshness::{AnnouncedCatalogs, Lease, Proof, Schedule};

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

macro_rules! lease_cases {
    ($($(#[$doc:meta])* $name:ident: $proof:expr, at $now:expr => $is_valid:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut lease = Lease::new(Some(BOUND));
            lease.renew(at(10_000), $proof);
            assert_eq!(lease.is_valid(at($now)), $is_valid);
        }
    )*};
}

lease_cases! {
    just_read: Proof::Read, at 10_001 => true;
    within_the_bound: Proof::Read, at 14_500 => true;
    at_the_bound: Proof::Read, at 15_000 => false;
    // A watch may miss changes for a second before it is cut.
    quiet_watch_confirms_an_earlier_state: Proof::QuietWatch, at 13_500 => true;
    quiet_watch_past_its_bound: Proof::QuietWatch, at 13_700 => false;
    // The instance was suspended during the withdrawal and resumes.
    after_a_suspension: Proof::Read, at 60_000 => false;
}

#[test]
fn lease_is_invalid_before_the_first_proof() {
    assert!(!Lease::new(Some(BOUND)).is_valid(at(0)));
    assert!(Lease::new(None).is_valid(at(0)));
}

/// An answer that was delayed arrives after a newer one and must not shorten the lease.
#[test]
fn late_answer_does_not_shorten_the_lease() {
    let mut lease = Lease::new(Some(BOUND));
    lease.renew(at(10_000), Proof::Read);
    lease.renew(at(7_000), Proof::Read);
    assert_eq!(lease.age(at(11_000)), Some(at(1_000)));
}

macro_rules! read_schedules {
    ($($(#[$doc:meta])* $name:ident: $took:expr, after $passed:expr => $is_due:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut schedule = Schedule::default();
            assert!(schedule.is_due(at(0)));
            schedule.record_read(at($took), at(10_000 + $took));
            assert_eq!(schedule.is_due(at(10_000 + $took + $passed)), $is_due);
        }
    )*};
}

read_schedules! {
    // A small catalog is read after each watch of 900 ms, because a read confirms a more
    // recent state.
    short_read_is_due_after_a_watch: 10, after 900 => true;
    long_read_is_not_due_after_a_watch: 450, after 900 => false;
    // With an earlier read, changes would often arrive during a read and wait for its end.
    long_read_is_not_due_within_its_pause: 450, after 17_900 => false;
    long_read_is_due_after_its_pause: 450, after 18_000 => true;
}

/// Checks whether the catalog in force may be used at `now`, after announcements of
/// versions at given times and the installation of one version.
fn check_announced_catalogs(announced: &[(u64, u64)], installed: u64, now: u64, is_valid: bool) {
    let mut announced_catalogs = AnnouncedCatalogs::new(Some(BOUND));
    for (version, announced_at) in announced {
        announced_catalogs.announce(*version, at(*announced_at));
    }
    announced_catalogs.install(installed);
    assert_eq!(announced_catalogs.is_valid(at(now)), is_valid);
}

macro_rules! announcement_cases {
    ($($(#[$doc:meta])* $name:ident: $announced:expr, installed $installed:expr, at $now:expr => $is_valid:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            check_announced_catalogs($announced, $installed, $now, $is_valid);
        }
    )*};
}

announcement_cases! {
    catalog_is_valid_without_an_announcement: &[], installed 1, at 60_000 => true;
    catalog_is_valid_while_the_newer_one_is_read: &[(2, 10_000)], installed 1, at 14_000 => true;
    // The bound counts from the confirmation, of which this instance was notified later.
    announcement_delay_is_deducted: &[(2, 10_000)], installed 1, at 14_300 => false;
    announced_catalog_is_in_force: &[(2, 10_000)], installed 2, at 14_300 => true;
    // Several changes in quick succession: the catalog in force is newer than some of the
    // announced ones. The first announced version that is newer than it determines the
    // bound.
    first_newer_version_sets_the_bound: &[(2, 10_000), (3, 12_000), (4, 13_000)], installed 2, at 16_000 => true;
    bound_of_the_first_newer_version_expires: &[(2, 10_000), (3, 12_000), (4, 13_000)], installed 2, at 16_300 => false;
    // The same announcement from another instance does not restart the bound.
    repeated_announcement_does_not_restart_the_bound: &[(2, 10_000), (2, 14_000)], installed 1, at 14_300 => false;
    late_announcement_of_an_older_version_changes_nothing: &[(3, 10_000), (2, 14_000)], installed 1, at 14_300 => false;
}

/// There are more changes than are stored separately; none may be lost.
#[test]
fn many_announcements_are_not_lost() {
    let mut announced_catalogs = AnnouncedCatalogs::new(Some(BOUND));
    for version in 2..500 {
        assert!(announced_catalogs.announce(version, at(10_000)));
    }
    announced_catalogs.install(498);
    assert!(announced_catalogs.is_behind() && !announced_catalogs.is_valid(at(15_000)));
    announced_catalogs.install(499);
    assert!(!announced_catalogs.is_behind());
}
