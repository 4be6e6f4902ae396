//! After any schedule of faults and their healing, all views agree.

use proptest::{prelude::*, test_runner::RngSeed};

use super::{CONVERGENCE_HEARTBEATS, sim::Sim};

const SIZE: usize = 8;
/// Longest time between two faults in heartbeats: longer than the suspicion
/// timeout and the time for which removed members are remembered.
const MAX_HEARTBEATS_BETWEEN: usize = 80;

#[derive(Debug, Clone)]
enum Fault {
    Cut(usize, usize),
    Partition(usize),
    Heal,
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = || 0..SIZE;
    prop_oneof![
        4 => (node(), node()).prop_map(|(one, other)| Fault::Cut(one, other)),
        2 => node().prop_map(Fault::Partition),
        2 => Just(Fault::Heal),
        2 => node().prop_map(Fault::Kill),
        2 => node().prop_map(Fault::Restart),
        2 => node().prop_map(Fault::Pause),
        2 => node().prop_map(Fault::Resume),
        1 => node().prop_map(Fault::Leave),
    ]
}

fn inject(sim: &mut Sim, fault: &Fault) {
    match *fault {
        Fault::Cut(one, other) => {
            sim.cuts.insert((one, other));
        }
        Fault::Partition(first) => {
            let (ones, others): (Vec<_>, Vec<_>) = (0..SIZE).partition(|index| *index < first);
            sim.partition_groups(&ones, &others);
        }
        Fault::Heal => sim.cuts.clear(),
        Fault::Kill(index) => sim.kill(index),
        Fault::Restart(index) => sim.restart(index),
        Fault::Pause(index) => sim.nodes[index].paused = true,
        Fault::Resume(index) => sim.nodes[index].paused = false,
        Fault::Leave(index) if sim.nodes[index].is_running() => sim.nodes[index].membership.leave(),
        Fault::Leave(_) => {}
    }
}

/// Runs 64 fixed cases by default, or `PROPTEST_CASES` random ones if set.
fn config() -> ProptestConfig {
    let base = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    if std::env::var_os("PROPTEST_CASES").is_some() {
        return base;
    }
    ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), ..base }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn all_agree_after_healing(
        faults in prop::collection::vec((fault(), 0..MAX_HEARTBEATS_BETWEEN), 1..12),
        limit in prop_oneof![Just(SIZE), Just(3), Just(4)],
        seed: u64,
    ) {
        let mut sim = Sim::new(SIZE, limit, seed);
        for (fault, heartbeats) in &faults {
            inject(&mut sim, fault);
            sim.run(*heartbeats);
        }
        sim.cuts.clear();
        sim.nodes.iter_mut().for_each(|node| node.paused = false);
        sim.run(2 * CONVERGENCE_HEARTBEATS);
        prop_assert_eq!(sim.disagreement(), None);
        prop_assert!((0..SIZE).all(|index| sim.links(index) <= limit.max(SIZE - 1)));
    }
}
