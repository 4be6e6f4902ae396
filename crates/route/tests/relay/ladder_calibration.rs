//! Confidences tell how likely answers are right, at the model that gave them and at others.

use route::relay::ladder::calibration::{Reading, Size, mean};

fn probability(size: Size, confidence: u32, of: Size) -> f64 {
    Reading { size, confidence: f64::from(confidence) }.probability(of)
}

/// A threshold would make an answer of 59 and one of 60 look as different as one of 0 and 100.
#[test]
fn probability_rises_smoothly_with_the_confidence() {
    for size in [Size::Smallest, Size::Middle] {
        let steps = (0..100).map(|c| probability(size, c + 1, size) - probability(size, c, size));
        for step in steps {
            assert!((0.0..0.04).contains(&step), "{size:?} {step}");
        }
    }
}

/// A larger model that counted as worse than a smaller one would never be asked.
#[test]
fn larger_models_are_right_more_often() {
    for confidence in 0..=100 {
        let of = |size| probability(Size::Smallest, confidence, size);
        assert!(of(Size::Smallest) < of(Size::Middle) && of(Size::Middle) < of(Size::Largest), "{confidence}");
    }
}

/// The prior says that the smallest model answers about half of the requests correctly.
#[test]
fn smallest_model_is_right_for_about_half() {
    let share = mean(Size::Smallest, |reading| reading.probability(Size::Smallest));
    assert!((0.5..0.6).contains(&share), "{share}");
}

#[test]
fn middle_model_is_right_for_more_than_the_smallest() {
    let share = |size| mean(size, |reading| reading.probability(size));
    assert!((0.05..0.2).contains(&(share(Size::Middle) - share(Size::Smallest))));
}

/// The expectation of a model before it is asked is the mean of the expectations after.
#[test]
fn readings_of_one_model_predict_another() {
    let predicted = mean(Size::Smallest, |reading| reading.probability(Size::Middle));
    let shown = mean(Size::Middle, |reading| reading.probability(Size::Middle));
    assert!((predicted - shown).abs() < 0.001, "{predicted} {shown}");
}

#[test]
fn sizes_follow_the_order_of_the_ladder() {
    let sizes = |models| (0..models).map(|index| Size::of(index, models)).collect::<Vec<_>>();
    assert_eq!(sizes(1), [Size::Largest]);
    assert_eq!(sizes(2), [Size::Smallest, Size::Largest]);
    assert_eq!(sizes(4), [Size::Smallest, Size::Middle, Size::Middle, Size::Largest]);
}
