//! Tokens of runs against the memory of engines.

use route::relay::engine_memory::{Demand, Memory};

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
