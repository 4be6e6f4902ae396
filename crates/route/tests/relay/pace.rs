//! Paces of endpoints, learned by instances that each see few runs at any one endpoint.

use std::{f64::consts::LN_2, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::relay::pace::{
    Assessment, MAX_COUNT, MAX_LOG, Member, Noise, Observations, Sum, Usual, assess, effective_slots,
};

const INSTANCES: usize = 62;
const ENDPOINTS: usize = 60;
const SLOTS: u32 = 48;

/// Requests per second that an instance sends to an endpoint.
const RATE: f64 = 0.3;

/// Time between two messages of an instance to the same receiver.
const GOSSIP_ROUND_MS: u64 = 1_250;

const STEP_MS: u64 = 50;
const ASSESSMENT_MS: u64 = 250;

/// Spread of the times of equal runs at one endpoint: a factor of about 1.35.
const NOISE: f64 = 0.3;

/// A run that is drawn for the simulation.
struct Draw {
    endpoint: usize,
    instance: usize,
    ms: u64,
    load: f64,
}

/// Instances in front of the endpoints of a service, seen from the first instance.
struct Simulation {
    rng: ChaCha8Rng,
    ms: u64,
    rate: f64,
    own: Vec<Vec<Observations>>,
    /// Observations of the other instances as the first one last received them.
    received: Vec<Vec<Observations>>,
    /// Usual ratios of the instances, for each of two classes of requests.
    usual: Vec<[Usual; 2]>,
    noise: Noise,
    assessment: Assessment,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let observations = vec![vec![Observations::default(); ENDPOINTS]; INSTANCES];
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            ms: 0,
            rate: RATE,
            own: observations.clone(),
            received: observations,
            usual: vec![[Usual::default(); 2]; INSTANCES],
            noise: Noise::default(),
            assessment: assess(
                &[Member { observations: Observations::default(), slots: SLOTS }; ENDPOINTS],
                0.25,
                false,
            ),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.ms)
    }

    /// Runs for a time in which the requests of `instances` take `factor` times as long as at an
    /// average endpoint, and calls `check` after each assessment.
    fn run(&mut self, ms: u64, factor: impl Fn(&Draw) -> f64, mut check: impl FnMut(&Self)) {
        let end = self.ms + ms;
        while self.ms < end {
            self.ms += STEP_MS;
            for instance in 0..INSTANCES {
                for endpoint in 0..ENDPOINTS {
                    if self.rng.random_bool(self.rate * 0.05) {
                        self.observe(instance, endpoint, &factor);
                    }
                }
                let phase = (instance as u64 * STEP_MS) % GOSSIP_ROUND_MS;
                if self.ms % GOSSIP_ROUND_MS == phase {
                    let now = self.now();
                    self.received[instance] = self.own[instance].iter().map(|own| own.at(now)).collect();
                }
            }
            if self.ms.is_multiple_of(ASSESSMENT_MS) {
                self.assess();
                check(self);
            }
        }
    }

    fn observe(&mut self, instance: usize, endpoint: usize, factor: &impl Fn(&Draw) -> f64) {
        let deviate: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let load = self.rng.random_range(0.05..1.0);
        let draw = Draw { endpoint, instance, ms: self.ms, load };
        let log = factor(&draw).ln() + NOISE * deviate;
        let known = self.assessment.learned[endpoint].log;
        let class = usize::from(instance % 2 == 1 && endpoint % 2 == 1);
        let observed = self.usual[instance][class].observe(log, known);
        self.noise.observe(observed, known);
        let now = self.now();
        self.own[instance][endpoint].observe(observed, load, now);
    }

    fn assess(&mut self) {
        let now = self.now();
        let member = |endpoint: usize| {
            let reports: Vec<_> = self.received[1..].iter().map(|received| received[endpoint]).collect();
            Member { observations: self.own[0][endpoint].pooled(&reports, now), slots: SLOTS }
        };
        let members: Vec<Member> = (0..ENDPOINTS).map(member).collect();
        self.assessment = assess(&members, self.noise.variance(), self.assessment.differs);
    }

    /// Returns an endpoint's pace in effect.
    fn pace(&self, endpoint: usize) -> f64 {
        self.assessment.learned[endpoint].pace.unwrap_or(1.0)
    }

    fn room(&self, endpoint: usize) -> Option<u32> {
        self.assessment.learned[endpoint].room
    }

    #[expect(clippy::cast_precision_loss, reason = "endpoints are few")]
    fn mean_pace(&self, endpoints: impl Iterator<Item = usize> + Clone) -> f64 {
        endpoints.clone().map(|endpoint| self.pace(endpoint)).sum::<f64>() / endpoints.count() as f64
    }
}

/// A third of the endpoints is slow.
fn is_slow(endpoint: usize) -> bool {
    endpoint.is_multiple_of(3)
}

fn unequal(draw: &Draw) -> f64 {
    if is_slow(draw.endpoint) { 1.7 } else { 0.7 }
}

/// Each endpoint is 2.5 times slower for 600 ms out of 4 s, at a time of its own.
fn spell(draw: &Draw) -> f64 {
    if (draw.ms + 997 * draw.endpoint as u64) % 4_000 < 600 { 2.5 } else { 1.0 }
}

/// The deployment with unequal endpoints: all paces are known within seconds, although each
/// instance sees each endpoint only once in three seconds.
#[test]
fn unequal_endpoints_are_recognized_within_seconds() {
    let mut simulation = Simulation::new(1);
    simulation.run(4_000, unequal, |_| {});
    assert!(simulation.assessment.differs);
    let fast = simulation.mean_pace((0..ENDPOINTS).filter(|e| !is_slow(*e)));
    let slow = simulation.mean_pace((0..ENDPOINTS).filter(|e| is_slow(*e)));
    assert!((2.0..2.9).contains(&(slow / fast)), "{slow} {fast}");
    for endpoint in 0..ENDPOINTS {
        let pace = simulation.pace(endpoint);
        assert!(if is_slow(endpoint) { pace > 1.3 } else { pace < 0.95 }, "{endpoint}: {pace}");
    }
}

/// The same with the spells: a fast endpoint must not count as a slow one because of a spell
/// that is over before the other instances hear of it.
#[test]
fn unequal_endpoints_stay_recognized_during_spells() {
    let mut simulation = Simulation::new(2);
    simulation.run(6_000, |draw| unequal(draw) * spell(draw), |_| {});
    simulation.run(
        20_000,
        |draw| unequal(draw) * spell(draw),
        |simulation| {
            assert!(simulation.assessment.differs);
            for endpoint in (0..ENDPOINTS).filter(|e| !is_slow(*e)) {
                assert!(simulation.pace(endpoint) < 1.2, "{endpoint}: {}", simulation.pace(endpoint));
            }
            for endpoint in (0..ENDPOINTS).filter(|e| is_slow(*e)) {
                assert!(simulation.pace(endpoint) > 1.2, "{endpoint}: {}", simulation.pace(endpoint));
            }
        },
    );
}

/// Requests must not be moved on account of spells that are over.
#[test]
fn spells_at_endpoints_that_are_alike_have_no_effect() {
    let mut simulation = Simulation::new(3);
    simulation.run(30_000, spell, |simulation| assert!(!simulation.assessment.differs));
}

/// Noise must change nothing, at any rate of requests.
fn check_alike(rate: f64) {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed);
        simulation.rate = rate;
        simulation.run(
            20_000,
            |_| 1.0,
            |simulation| {
                let is_unchanged = |endpoint: usize| {
                    simulation.assessment.learned[endpoint].pace.is_none() && simulation.room(endpoint).is_none()
                };
                assert!((0..ENDPOINTS).all(is_unchanged), "seed {seed}: {:?}", simulation.assessment);
            },
        );
    }
}

macro_rules! alike {
    ($($name:ident: $rate:expr;)*) => {$(
        #[test]
        fn $name() {
            check_alike($rate);
        }
    )*};
}

alike! {
    endpoints_that_are_alike_stay_equal: RATE;
    endpoints_that_are_alike_stay_equal_with_few_requests: 0.01;
    endpoints_that_are_alike_stay_equal_with_many_requests: 2.0;
}

/// A slow period of seconds at one endpoint has an effect while it lasts and soon after none.
#[test]
fn slow_period_of_seconds_takes_effect_and_ends() {
    let mut simulation = Simulation::new(5);
    let slow = |draw: &Draw| if draw.endpoint == 7 { 3.0 } else { 1.0 };
    simulation.run(10_000, |_| 1.0, |_| {});
    simulation.run(4_000, slow, |_| {});
    assert!(simulation.pace(7) > 1.6, "{}", simulation.pace(7));
    simulation.run(6_000, |_| 1.0, |_| {});
    assert!(simulation.pace(7) < 1.15, "{}", simulation.pace(7));
}

/// A slow endpoint gets few requests, so that few observations show that it is fast again.
#[test]
fn endpoint_without_requests_recovers() {
    let mut observations = Observations::default();
    for ms in 0..64 {
        observations.observe(1.1, 0.2, Duration::from_millis(ms));
    }
    let mut others = Observations::default();
    for ms in 0..64 {
        others.observe(0.0, 0.2, Duration::from_millis(ms));
    }
    let log_after = |s: u64| {
        let now = Duration::from_secs(s);
        let member = |observations: &Observations| Member { observations: observations.at(now), slots: SLOTS };
        assess(&[member(&observations), member(&others), member(&others)], 0.05, true).learned[0].log
    };
    assert!(log_after(0) > 0.5);
    assert!(log_after(10) < 0.25 * log_after(0));
    assert!(log_after(16) < 0.05);
}

/// At 1.0 to 1.5 of capacity all runs wait, so that nothing is observed. Paces must not return to 1
/// while that lasts for seconds, and an endpoint may not count as slow for ever.
#[test]
fn pace_is_kept_while_all_runs_wait() {
    let mut observations = Observations::default();
    for ms in 0..64 {
        observations.observe(1.0, 0.9, Duration::from_millis(ms));
    }
    let before = observations.pace.count;
    let mut count_after = |from: u64, to: u64| {
        (from..to).for_each(|s| observations.hold(Duration::from_secs(s)));
        observations.at(Duration::from_secs(to)).pace.count
    };
    assert!(count_after(1, 9) > 0.6 * before);
    assert!(count_after(9, 30) < 0.01 * before);
}

/// An endpoint that takes three times as long in its last quarter of slots gets no more runs
/// than it has room for. The others keep all of theirs.
#[test]
fn endpoint_that_slows_down_near_full_has_less_room() {
    let mut simulation = Simulation::new(6);
    let near_full = |draw: &Draw| if draw.endpoint == 3 && draw.load > 0.75 { 3.0 } else { 1.0 };
    simulation.run(15_000, near_full, |_| {});
    assert_eq!(simulation.room(3), Some(36));
    assert!((0..ENDPOINTS).filter(|e| *e != 3).all(|endpoint| simulation.room(endpoint).is_none()));
}

/// Where all endpoints slow down near full, a request has no better place.
#[test]
fn endpoints_that_all_slow_down_near_full_keep_their_slots() {
    let mut simulation = Simulation::new(7);
    simulation.run(15_000, |draw| if draw.load > 0.75 { 3.0 } else { 1.0 }, |_| {});
    let kept = (0..ENDPOINTS).filter(|endpoint| simulation.room(*endpoint).is_none()).count();
    assert_eq!(kept, ENDPOINTS);
}

/// All endpoints slow down near full, but only a few of them are ever so busy. These must keep
/// their slots: nothing shows that the others have more room.
#[test]
fn busy_endpoints_of_a_service_that_slows_down_near_full_keep_their_slots() {
    let member = |is_busy: bool| {
        let mut observations = Observations::default();
        observations.bands[0] = Sum { count: 40.0, log_sum: 0.0 };
        observations.bands[1] = Sum { count: 40.0, log_sum: 0.0 };
        if is_busy {
            observations.bands[3] = Sum { count: 40.0, log_sum: 40.0 * 3.0_f64.ln() };
        }
        Member { observations, slots: SLOTS }
    };
    let members: Vec<Member> = (0..ENDPOINTS).map(|endpoint| member(endpoint < 5)).collect();
    assert!(assess(&members, 0.1, false).learned.iter().all(|learned| learned.room.is_none()));
}

/// The requests of one class take five times as long as expected, and they all go to half of
/// the endpoints, as requests with a shared prefix do.
#[test]
fn slow_class_does_not_make_its_endpoints_look_slow() {
    let mut simulation = Simulation::new(8);
    let slow_class = |draw: &Draw| if draw.instance % 2 == 1 && draw.endpoint % 2 == 1 { 5.0 } else { 1.0 };
    simulation.run(20_000, slow_class, |simulation| assert!(!simulation.assessment.differs));
}

/// Half of the requests take five times as long from one moment on, since a large caller sends
/// other work than before. All endpoints get some of it.
#[test]
fn caller_that_becomes_slow_does_not_make_endpoints_look_slow() {
    let mut simulation = Simulation::new(9);
    simulation.run(5_000, |_| 1.0, |_| {});
    let caller = |draw: &Draw| if draw.instance % 2 == 1 { 5.0 } else { 1.0 };
    simulation.run(15_000, caller, |simulation| assert!(!simulation.assessment.differs));
}

/// The requests of one instance's caller, all to one endpoint, become five times slower.
#[test]
fn slow_caller_at_one_endpoint_does_not_make_it_look_slow() {
    let mut simulation = Simulation::new(10);
    simulation.run(5_000, |_| 1.0, |_| {});
    let caller = |draw: &Draw| if draw.instance == 4 && draw.endpoint == 7 { 5.0 } else { 1.0 };
    simulation.run(15_000, caller, |simulation| assert!(!simulation.assessment.differs));
}

/// An instance sends mostly to the endpoints of its own failure domain. If those are all slow,
/// they are the usual ones for it, and only the other instances' observations show the difference.
#[test]
fn instance_that_uses_slow_endpoints_only_learns_their_pace_from_others() {
    let (mut usual, mut observations) = (Usual::default(), Observations::default());
    let slow_log = 2.0 * LN_2;
    for n in 0..200 {
        let observed = usual.observe(slow_log + 0.1, slow_log);
        observations.observe(observed, 0.1, Duration::from_millis(n));
    }
    assert!((observations.pace.mean() - slow_log.min(MAX_LOG)).abs() < 0.05, "{observations:?}");
}

/// One waiting request must not make an endpoint look slow.
#[test]
fn single_observation_moves_a_pace_only_slightly() {
    let mut slow = Observations::default();
    slow.observe(10.0, 0.1, Duration::ZERO);
    let member = |observations| Member { observations, slots: SLOTS };
    let idle = member(Observations::default());
    let assessment = assess(&[member(slow), idle, idle, idle], 0.25, false);
    assert!(!assessment.differs);
    assert!(assessment.learned[0].log < 0.3, "{assessment:?}");
}

/// Returns an aggregate of equal observations.
fn aggregate(count: f64, log: f64) -> Observations {
    Observations { pace: Sum { count, log_sum: count * log }, ..Observations::default() }
}

/// One instance of 62 reports a wrong pace, as often and as extreme as the datagram allows.
#[test]
fn false_report_is_outvoted() {
    let mut reports = vec![aggregate(0.8, 0.0); INSTANCES - 1];
    reports[5] = aggregate(655.35, -32.767);
    let pooled = Observations::default().pooled(&reports, Duration::ZERO);
    assert!(pooled.pace.mean() > -0.1, "{pooled:?}");
}

/// Where all reports are wrong, paces stay within bounds.
#[test]
fn false_reports_do_not_move_a_pace_beyond_bounds() {
    for log in [-1e9, 1e9, f64::NAN, f64::INFINITY] {
        let pooled = aggregate(3.0, 0.0).pooled(&vec![aggregate(1e9, log); 61], Duration::ZERO);
        let member = |observations| Member { observations, slots: SLOTS };
        let honest = member(aggregate(30.0, 0.0));
        let learned = assess(&[member(pooled), honest, honest, honest], 0.1, true).learned[0];
        let slots = effective_slots(SLOTS, learned.pace, learned.room);
        assert!((12.0..=120.0).contains(&slots), "{log}: {slots}");
    }
}

/// A report that an instance repeats must not count more than its observations.
#[test]
fn evidence_is_bounded() {
    let pooled = aggregate(1e6, 1.0).pooled(&[aggregate(1e6, 1.0)], Duration::ZERO);
    assert!(pooled.pace.count <= MAX_COUNT);
}
