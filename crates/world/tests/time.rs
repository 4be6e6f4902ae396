//! Clocks and spans become whole milliseconds, also where they do not fit.

use std::time::{Duration, SystemTime};

use world::{Millis, Timestamp, time::millis};

macro_rules! spans {
    ($($name:ident: $span:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(millis($span), $expected); })*
    };
}

spans! {
    parts_of_a_millisecond_are_cut_off: Duration::from_micros(1_999) => 1;
    endless_span_is_the_longest: Duration::MAX => Millis::MAX;
}

#[test]
fn wall_clock_counts_from_the_epoch() {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(1_500);
    assert_eq!(Timestamp::from(time), Timestamp(1_500));
}

/// A machine whose clock was never set must not end the program.
#[test]
fn clock_before_the_epoch_is_the_epoch() {
    let time = SystemTime::UNIX_EPOCH - Duration::from_secs(1);
    assert_eq!(Timestamp::from(time), Timestamp(0));
}
