//! Tokens of runs against the memory of engines.

use route::relay::engine_memory::{Demand, MeanRun, Memory};

const CAPACITY: u64 = 670_000;

const IDLE: Memory = Memory { capacity: CAPACITY, own: 0, other_runs: 0.0, mean_run: 0.0 };

const REQUEST: Demand = Demand { prompt: 30_000, cached: 0, output: 2_000 };

macro_rules! room_cases {
    ($($name:ident: $memory:expr, $demand:expr => $fits:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($memory.fits($demand), $fits);
        }
    )*};
}

room_cases! {
    idle_engine_has_room: IDLE, REQUEST => true;
    own_runs_take_room: Memory { own: 650_000, ..IDLE }, REQUEST => false;
    runs_of_other_instances_take_room: Memory { other_runs: 40.0, mean_run: 16_000.0, ..IDLE }, REQUEST => false;
    cached_prompt_needs_no_room: Memory { own: 650_000, ..IDLE }, Demand { cached: 30_000, ..REQUEST } => true;
    run_that_fits_exactly_has_room: Memory { own: CAPACITY - 32_000, ..IDLE }, REQUEST => true;
    negative_loads_free_no_room:
        Memory { own: 650_000, other_runs: -40.0, mean_run: 16_000.0, ..IDLE }, REQUEST => false;
}

/// A request must not be refused that an engine could run: its output may be shorter than the
/// maximum that the caller gives.
#[test]
fn only_prompts_that_fill_the_memory_exceed_it() {
    let of = |prompt| Demand { prompt, cached: 0, output: u32::MAX };
    assert!(!of(669_999).exceeds(CAPACITY));
    assert!(of(670_000).exceeds(CAPACITY));
}

/// One caller states the largest possible output, before any other request or after them. Runs of
/// other instances must not count as many times their size for the next hundred requests.
#[test]
fn stated_maximum_output_moves_the_mean_only_slightly() {
    let huge = Demand { prompt: 1_000, cached: 0, output: u32::MAX }.within(CAPACITY).added();
    assert_eq!(huge, CAPACITY);
    let mut mean = MeanRun::default();
    (0..100).for_each(|_| mean.observe(2_000, CAPACITY));
    mean.observe(huge, CAPACITY);
    assert!((2_000.0..2_400.0).contains(&mean.tokens()), "{mean:?}");
    let mut first = MeanRun::default();
    first.observe(huge, CAPACITY);
    assert!(first.tokens() < 40_000.0, "{first:?}");
    (0..200).for_each(|_| first.observe(30_000, CAPACITY));
    assert!((first.tokens() - 30_000.0).abs() < 100.0, "{first:?}");
}
