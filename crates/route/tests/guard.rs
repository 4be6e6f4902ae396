//! False alarm rate and power of the version guard, by seeded simulation.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{
    guard::{self, Count, Evidence, Policy, Tally, Verdict, Window},
    rollout::control_ratio,
};
use world::{
    model::{Number, Version},
    rollout::Rollout,
};

const STEPS: [f64; 4] = [0.01, 0.05, 0.2, 0.5];

fn rollout(step: usize) -> Rollout {
    let mut rollout = Rollout::new(Version::parse("m@2").unwrap(), Number::parse("1").unwrap());
    rollout.step = step;
    rollout
}

/// Adds an answer to a random arm at the share of a step. Returns true if it is an
/// answer of the new version that failed its rating, because the evidence against the
/// version grows only then.
fn add_random_answer(
    random: &mut ChaCha8Rng,
    evidence: &mut Evidence,
    share: f64,
    control_rate: f64,
    new_rate: f64,
) -> bool {
    let new = random.random_bool(1.0 / (1.0 + control_ratio(share)));
    let failed = random.random_bool(if new { new_rate } else { control_rate });
    let tally = if new { &mut evidence.new } else { &mut evidence.control };
    tally.errors.add(false);
    tally.ratings.add(failed);
    new && failed
}

/// Simulates `per_step` answers at each step until the version is stopped, and returns
/// the number of its answers until then, or `None` if it is not stopped.
fn answers_until_stop(policy: &Policy, seed: u64, per_step: usize, rate: impl Fn(usize) -> (f64, f64)) -> Option<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for (step, share) in STEPS.into_iter().enumerate() {
        steps.push(Evidence::default());
        for number in 0..per_step {
            let (control_rate, new_rate) = rate(step * per_step + number);
            if !add_random_answer(&mut random, &mut steps[step], share, control_rate, new_rate) {
                continue;
            }
            if let Verdict::Stop(_) = guard::evaluate(policy, &rollout(step), &steps, &Window::default()) {
                return Some(steps.iter().map(|evidence| evidence.new.errors.n).sum());
            }
        }
    }
    None
}

/// Tests a version that is no worse than its predecessor, while the rate of failed
/// ratings alternates between 2 and 30 in 100 and every tenth customer fails half of
/// its ratings. A test that compares rates over time would attribute the change to the
/// version. With `alpha` of 1 in 20, at most that share of the versions may be stopped.
#[test]
fn false_alarm_rate_stays_below_alpha() {
    let policy = Policy { alpha: 0.05, ..Policy::default() };
    let runs = 1_000;
    let stopped = (0..runs)
        .filter(|seed| {
            let swing = |number: usize| if (number / 500).is_multiple_of(2) { 0.02 } else { 0.30 };
            let rate = |number: usize| if number.is_multiple_of(10) { 0.5 } else { swing(number) };
            answers_until_stop(&policy, *seed, 1_500, |number| (rate(number), rate(number))).is_some()
        })
        .count();
    assert!(stopped <= 50, "{stopped} of {runs} versions stopped that are no worse, alpha allows 50");
    assert!(stopped > 0, "no version stopped: the test is much weaker than alpha allows, or does not run");
}

macro_rules! power_tests {
    ($($name:ident: $control_rate:literal to $new_rate:literal, half within $answers:literal;)*) => {
        $(#[test]
        fn $name() {
            let policy = Policy::default();
            let mut answers: Vec<_> = (0..41)
                .map(|seed| answers_until_stop(&policy, seed, 100_000, |_| ($control_rate, $new_rate)).unwrap_or(u64::MAX))
                .collect();
            answers.sort_unstable();
            assert!(answers[20] <= $answers, "median of {} answers until the stop", answers[20]);
        })*
    };
}

power_tests! {
    // The percentages are shares of the otherwise passing answers that fail on the new version.
    stops_a_version_with_30_percent_more_failed_ratings: 0.05 to 0.335, half within 60;
    stops_a_version_with_10_percent_more_failed_ratings: 0.05 to 0.145, half within 330;
    stops_a_version_with_3_percent_more_failed_ratings: 0.05 to 0.0785, half within 2_500;
    stops_a_version_with_failed_ratings_where_there_were_almost_none: 0.000_1 to 0.3, half within 25;
}

/// A version is good for 40,000 answers of a step and then becomes bad. The counts of
/// the whole step would need thousands of bad answers to show this; the current window
/// shows it after about as many answers as at the start of the step.
#[test]
fn late_regression_is_detected_in_its_window() {
    let policy = Policy::default();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let share = 0.2;
    let mut step = Evidence::default();
    for _ in 0..200_000 {
        add_random_answer(&mut random, &mut step, share, 0.05, 0.05);
    }
    let mut window = Window { number: 4, evidence: Evidence::default() };
    let mut steps = vec![Evidence::default(), Evidence::default(), step];
    let mut answers = 0;
    let stopped = |steps: &[Evidence], window: &Window| {
        matches!(guard::evaluate(&policy, &rollout(2), steps, window), Verdict::Stop(_))
    };
    while !stopped(&steps, &window) {
        let mut sample = Evidence::default();
        add_random_answer(&mut random, &mut sample, share, 0.05, 0.335);
        steps[2] += sample;
        window.evidence += sample;
        answers += sample.new.errors.n;
    }
    assert!(answers <= 150, "{answers} answers since the version became bad");
    assert!(!stopped(&steps, &Window::default()), "the counts of the whole step must not suffice yet");
}

/// At the last step all sessions are exposed and there is no control arm. A version
/// that becomes bad only then must be detected by comparison with the previous step.
#[test]
fn last_step_is_compared_with_the_previous_step() {
    let count = |n, bad| Count { n, bad };
    let tally = |n, failed| Tally { errors: count(n, 0), ratings: count(n, failed), latency: Count::default() };
    let mut steps = vec![Evidence::default(); 5];
    steps[3] = Evidence { new: tally(2_000, 100), control: tally(2_000, 100) };
    let verdict = |steps: &[Evidence]| guard::evaluate(&Policy::default(), &rollout(4), steps, &Window::default());
    steps[4].new = tally(200, 12);
    assert_eq!(verdict(&steps), Verdict::Advance);
    steps[4].new = tally(200, 70);
    assert!(matches!(verdict(&steps), Verdict::Stop(_)));
}

/// While the rating service is down, no step may end on the error counts alone if the
/// policy requires ratings.
#[test]
fn no_step_ends_without_ratings() {
    let mut evidence = Evidence::default();
    evidence.new.errors = Count { n: 1_000, bad: 5 };
    evidence.control.errors = Count { n: 30_000, bad: 150 };
    let judge = |policy: &Policy| guard::evaluate(policy, &rollout(0), &[evidence], &Window::default());
    assert_eq!(judge(&Policy::default()), Verdict::Continue);
    assert_eq!(judge(&Policy { min_rated: 0, ..Policy::default() }), Verdict::Advance);
}
