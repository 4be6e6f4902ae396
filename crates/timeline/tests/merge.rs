//! Merging over processes with skewed clocks.

use proptest::{prelude::*, test_runner::RngSeed};
use timeline::{
    Capacity, Clock, Event, Filter, Page, Recorder, Source, Stamp,
    follow::{Follow, Shown},
    merge::{Gap, Timeline},
};
use uhlc::NTP64;
use world::instance;

/// Same cases at every run.
const SEED: u64 = 0x71_6d_65;

/// Instances of a simulated site, each with its own error of the wall clock.
const WALLS: [fn() -> NTP64; 3] = [slow, uhlc::system_time_clock, fast];

fn slow() -> NTP64 {
    uhlc::system_time_clock() - NTP64::from(std::time::Duration::from_secs(3))
}

fn fast() -> NTP64 {
    uhlc::system_time_clock() + NTP64::from(std::time::Duration::from_secs(3))
}

/// What an instance does next.
#[derive(Debug, Clone, Copy)]
enum Act {
    Record {
        at: usize,
    },
    /// Records at `from`, sends its stamp to `to`, which records on receipt.
    Send {
        from: usize,
        to: usize,
    },
}

fn act() -> impl Strategy<Value = Act> {
    let place = 0..WALLS.len();
    prop_oneof![
        place.clone().prop_map(|at| Act::Record { at }),
        (place.clone(), place).prop_map(|(from, to)| Act::Send { from, to }),
    ]
}

fn site(capacity: usize) -> Vec<Recorder> {
    let open = |(index, wall): (usize, &fn() -> NTP64)| {
        let instance = instance::Id::parse(&format!("i{index}")).unwrap();
        let source = Source { instance, incarnation: instance::Incarnation(1) };
        Recorder::over(source, Capacity { requests: capacity, others: capacity }, Clock::over(*wall))
    };
    WALLS.iter().enumerate().map(open).collect()
}

/// Plays acts; each event's generation is its index in the list of causes,
/// which holds the events that must come before it.
struct Player<'a> {
    site: &'a [Recorder],
    causes: Vec<Vec<u64>>,
    latest: Vec<Option<u64>>,
}

impl<'a> Player<'a> {
    fn new(site: &'a [Recorder]) -> Self {
        Self { site, causes: Vec::new(), latest: vec![None; site.len()] }
    }

    fn play(&mut self, acts: &[Act]) {
        for act in acts {
            match *act {
                Act::Record { at } => drop(self.record(at, None)),
                Act::Send { from, to } => {
                    let event = self.record(from, None);
                    let carried = self.site[from].clock();
                    self.site[to].observe(carried);
                    self.record(to, Some(event));
                }
            }
        }
    }

    fn record(&mut self, at: usize, cause: Option<u64>) -> u64 {
        let event = self.causes.len() as u64;
        self.causes.push(self.latest[at].into_iter().chain(cause).collect());
        self.latest[at] = Some(event);
        self.site[at].record(Event::Configuration { generation: event });
        event
    }
}

fn play(site: &[Recorder], acts: &[Act]) -> Vec<Vec<u64>> {
    let mut player = Player::new(site);
    player.play(acts);
    player.causes
}

/// Whether every event comes after its causes.
fn causal(order: &[u64], causes: &[Vec<u64>]) -> bool {
    order.iter().enumerate().all(|(place, event)| {
        let causes = &causes[usize::try_from(*event).expect("few events")];
        causes.iter().all(|cause| order[..place].contains(cause))
    })
}

/// Follows the site as the operators' tool does.
struct Reader<'a> {
    site: &'a [Recorder],
    after: Vec<u64>,
    merge: Follow,
    shown: Vec<Shown>,
}

impl<'a> Reader<'a> {
    fn new(site: &'a [Recorder]) -> Self {
        let mut merge = Follow::default();
        for recorder in site {
            merge.add(recorder.source().instance.clone());
        }
        Self { site, after: vec![0; site.len()], merge, shown: Vec::new() }
    }

    fn read(&mut self, index: usize) {
        let recorder = &self.site[index];
        let now = recorder.clock();
        let page = recorder.query(&Filter { after: self.after[index], ..Filter::default() });
        self.after[index] = page.last;
        self.merge.push(&recorder.source().instance, page.records, now);
        self.shown.extend(self.merge.ready());
    }
}

fn pages(site: &[Recorder]) -> Vec<Page> {
    site.iter().map(|recorder| recorder.query(&Filter::default())).collect()
}

fn generations(timeline: &Timeline) -> Vec<u64> {
    let generation = |record: &timeline::Record| match record.event {
        Event::Configuration { generation } => generation,
        ref other => panic!("recorded {other:?}"),
    };
    timeline.records.iter().map(generation).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever was sent between instances whose clocks are six seconds
    /// apart, no effect comes before its cause, and the order in which the
    /// pages arrive changes nothing.
    #[test]
    fn causes_come_first(acts in prop::collection::vec(act(), 1..60), rotation in 0..WALLS.len()) {
        let site = site(1_000);
        let causes = play(&site, &acts);
        let mut answers = pages(&site);
        let timeline = Timeline::merge(answers.clone(), Vec::new());
        let order = generations(&timeline);
        prop_assert_eq!(order.len(), causes.len());
        prop_assert!(timeline.gaps.is_empty());
        prop_assert!(causal(&order, &causes));
        answers.rotate_left(rotation);
        prop_assert_eq!(generations(&Timeline::merge(answers, Vec::new())), order);
    }

    /// Instances are read at odd times while events go on. What is shown is
    /// in causal order, nothing comes late, and in the end nothing is missing.
    #[test]
    fn following_keeps_the_order(
        rounds in prop::collection::vec((prop::collection::vec(act(), 0..6), 0..WALLS.len()), 1..30),
    ) {
        let site = site(1_000);
        let mut reader = Reader::new(&site);
        let mut player = Player::new(&site);
        for (acts, read) in &rounds {
            player.play(acts);
            reader.read(*read);
        }
        // Clocks must pass the fastest one's last record.
        let last = site[WALLS.len() - 1].clock();
        for recorder in &site {
            recorder.observe(last);
        }
        (0..site.len()).for_each(|index| reader.read(index));
        prop_assert!(reader.shown.iter().all(|shown| !shown.late));
        let timeline = Timeline { records: reader.shown.into_iter().map(|s| s.record).collect(), gaps: Vec::new() };
        let order = generations(&timeline);
        prop_assert_eq!(order.len(), player.causes.len());
        prop_assert!(causal(&order, &player.causes));
    }

    /// With small rings, every missing event lies at or before a named gap of
    /// its own instance, and no gap is named where nothing is missing.
    #[test]
    fn overflow_is_a_named_gap(acts in prop::collection::vec(act(), 1..60), capacity in 1..20_usize) {
        let site = site(capacity);
        play(&site, &acts);
        let timeline = Timeline::merge(pages(&site), Vec::new());
        for recorder in &site {
            let whole = recorder.query(&Filter::default());
            let kept = timeline.records.iter().filter(|r| r.source == *recorder.source()).count() as u64;
            let gap = timeline.gaps.iter().find_map(|gap| match gap {
                Gap::Overflow { source, before } if source == recorder.source() => Some(*before),
                _ => None,
            });
            prop_assert_eq!(gap.is_some(), kept < whole.last);
            let first = whole.records.first().map(|record| record.at);
            prop_assert!(gap.unwrap_or(Stamp(0)) < first.unwrap_or(Stamp(u64::MAX)));
        }
    }
}

/// An instance is gone when the operator asks. The others' events are shown,
/// and the gap names it.
#[test]
fn silent_instance_is_a_named_gap() {
    let site = site(10);
    site[0].record(Event::Configuration { generation: 1 });
    let silent = Gap::Silent { instance: instance::Id::parse("i1").unwrap(), cause: "connection refused".into() };
    let timeline = Timeline::merge(pages(&site[..1]), vec![silent.clone()]);
    assert_eq!(timeline.records.len(), 1);
    assert_eq!(timeline.gaps, [silent]);
}
