//! Paces beside what an instance knows by itself: an endpoint's slots, its slowness, usual ratios.

use route::relay::pace::{Usual, effective_slots, unexplained_slowness};

/// An instance that starts knows no usual ratio; its first observations must not count as slow.
#[test]
fn first_observation_agrees_with_what_is_known() {
    assert!((Usual::default().observe(3.0, 0.4) - 0.4).abs() < 1e-9);
}

macro_rules! slots_cases {
    ($($name:ident: $slots:expr, $pace:expr, $room:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!((effective_slots($slots, $pace, $room) - $expected).abs() < 1e-9);
        }
    )*};
}

slots_cases! {
    unknown_endpoint_has_its_declared_slots: 48, None, None => 48.0;
    slow_endpoint_has_fewer_effective_slots: 48, Some(2.0), None => 24.0;
    fast_endpoint_has_more_effective_slots: 48, Some(0.8), None => 60.0;
    room_is_at_most_the_declared_slots: 48, None, Some(100) => 48.0;
    room_limits_effective_slots: 48, Some(2.0), Some(36) => 18.0;
}

macro_rules! slowness_cases {
    ($($name:ident: $slowness:expr, $before:expr, $pace:expr => $expected:expr;)*) => {$(
        /// Guards against slowness that counts twice, by the pace and by itself, and against one
        /// that does not count at all because a pace is in effect.
        #[test]
        fn $name() {
            assert!((unexplained_slowness($slowness, $before, $pace) - $expected).abs() < 1e-9);
        }
    )*};
}

slowness_cases! {
    pace_that_takes_effect_explains_slowness: 3.0, 1.0, 3.0 => 1.0;
    bad_path_is_left_beside_a_pace: 6.0, 1.0, 1.5 => 4.0;
    bad_path_is_left_beside_an_ordinary_pace: 6.0, 1.0, 1.05 => 6.0;
    pace_that_falls_explains_nothing: 3.0, 3.0, 1.0 => 3.0;
    fast_endpoint_does_not_look_slow: 1.0, 1.0, 0.5 => 1.0;
    pace_explains_no_more_than_the_slowness: 1.2, 1.0, 3.0 => 1.0;
}
