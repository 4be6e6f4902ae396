//! Estimates of first-byte times, learned from prompts of very different lengths.

use route::relay::latency::Estimate;

/// Nearly all prompts are short and take 25 ms regardless of length; one in fifty has
/// 40,000 tokens and takes a second. Short prompts must not inflate the estimate for long
/// ones to a minute, nor long prompts the estimate for short ones.
#[test]
fn short_prompts_do_not_inflate_long_estimates() {
    let mut estimate = Estimate::new(15.0, 0.03);
    for round in 0..2_000 {
        let units = if round % 50 == 0 { 40_000.0 } else { 20.0 };
        estimate.learn(units, 25.0 + units * 0.025);
    }
    assert!((20.0..40.0).contains(&estimate.first_byte_ms(20.0)), "{estimate:?}");
    assert!((900.0..1_300.0).contains(&estimate.first_byte_ms(40_000.0)), "{estimate:?}");
}

/// Half of the endpoints are five times slower for a while.
#[test]
fn slow_endpoints_do_not_raise_the_estimate() {
    let mut estimate = Estimate::new(15.0, 0.03);
    for round in 0..400 {
        let slow = if round % 2 == 0 { 5.0 } else { 1.0 };
        estimate.learn(2_000.0, slow * 75.0);
    }
    assert!(estimate.first_byte_ms(2_000.0) < 120.0, "{estimate:?}");
}

#[test]
fn plain_calls_have_only_a_fixed_part() {
    let mut estimate = Estimate::new(50.0, 0.0);
    for _ in 0..200 {
        estimate.learn(0.0, 30.0);
    }
    assert!((29.0..33.0).contains(&estimate.first_byte_ms(0.0)), "{estimate:?}");
}
