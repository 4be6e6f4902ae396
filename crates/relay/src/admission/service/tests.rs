//! Decisions at one service, with the time as an argument and without a network.

use std::{sync::Arc, thread::sleep, time::Duration};

use route::{
    admission::demand::{Class, Summary},
    relay::content::Content,
};

use super::{Decision, Fleet, Observation, Refused, Service, kind};
use crate::{
    admission::{
        Gate, Permit,
        entry::{Entry, Supply},
        permit::Pass,
        remote::Remote,
    },
    dispatcher::fleet::short_hash,
};

const FLEET: Fleet = Fleet { instances: 2, is_starting: false };

/// Start of each test; a clock does not begin at zero.
const START: Duration = Duration::from_secs(100);

fn entry(team: &'static str, number: u64) -> Entry<'static> {
    Entry {
        service: "logbook",
        team,
        rank: 1,
        route: "usual",
        content: Content { team: short_hash(team), work: number },
        left: Duration::from_secs(10),
        target_left: Duration::from_secs(5),
        target_time: Duration::from_secs(5),
        model: None,
        first_byte_ms: 100.0,
        prompt_ms: 0.0,
        is_whole: true,
        is_resumption: false,
    }
}

/// A service and its time.
struct Play {
    service: Service,
    now: Duration,
    number: u64,
}

impl Play {
    /// Starts with a service of one slot, which a request of these tests takes for 100 ms.
    fn new() -> Self {
        Self::with(Supply { slots: 1.0, engines: 1.0 })
    }

    fn with(supply: Supply) -> Self {
        let mut service = Service::new(START);
        service.set_supply("logbook", Some(supply), START);
        Self { service, now: START, number: 0 }
    }

    fn decide(&mut self, entry: &Entry<'_>) -> Decision {
        self.service.decide(entry, FLEET, self.now)
    }

    /// Sends a request of a team that was not sent before, and returns what becomes of it.
    fn send(&mut self, team: &'static str) -> (Content, Decision) {
        self.number += 1;
        let entry = entry(team, self.number);
        (entry.content, self.decide(&entry))
    }

    /// Lets 10 ms pass and returns the waiting requests that are let pass.
    fn step(&mut self) -> Vec<Content> {
        self.now += Duration::from_millis(10);
        let (outcomes, _) = self.service.release(FLEET, self.now);
        outcomes.into_iter().filter_map(|outcome| Some(outcome.result.ok()?.content)).collect()
    }

    /// Sends requests of a team that were not sent before, one each 10 ms, and returns those that wait.
    fn flood(&mut self, team: &'static str, count: usize) -> Vec<Content> {
        let mut waiting = Vec::new();
        for _ in 0..count {
            if let (content, Decision::Wait { .. }) = self.send(team) {
                waiting.push(content);
            }
            let passed = self.step();
            waiting.retain(|content| !passed.contains(content));
        }
        waiting
    }

    /// Records that another instance has told a team's demand.
    fn tell(&mut self, team: &str, demand: f64) {
        let class = Class { team: short_hash(team), rank: 1 };
        let summary = Summary { classes: vec![(class, demand)], ..Summary::default() };
        let remote = Remote::new(summary, Vec::new(), self.now, Duration::from_secs(2));
        self.service.record_remote(short_hash(team), remote);
    }

    fn pressure(&mut self) -> f64 {
        self.service.divided_at = Duration::ZERO;
        self.service.pressure(FLEET, self.now)
    }
}

fn refused(decision: &Decision) -> Option<Refused> {
    match decision {
        Decision::Refuse(refused) => Some(*refused),
        _ => None,
    }
}

/// A team that was limited and is not any more while its request waits must not queue behind the
/// flood of another one: its flow would be charged thousands of times its cost.
#[test]
fn class_that_is_no_longer_limited_keeps_its_turns() {
    let mut play = Play::with(Supply { slots: 20.0, engines: 20.0 });
    play.tell("a", 5.0);
    for _ in 0..20 {
        (0..4).for_each(|_| drop(play.send("b")));
        play.step();
    }
    let (first, decision) = play.send("a");
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    play.tell("a", 0.0);
    play.now += Duration::from_millis(20);
    let (second, decision) = play.send("a");
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let mut passed = Vec::new();
    for _ in 0..200 {
        passed.extend(play.step());
        (0..4).for_each(|_| drop(play.send("b")));
    }
    assert!(passed.contains(&first) && passed.contains(&second), "{} of b passed", passed.len());
}

/// A class that is known only from other instances has no allocation here; its first request must
/// not be queued with none.
#[test]
fn class_known_only_from_others_gets_its_part_at_once() {
    let mut play = Play::new();
    play.tell("a", 3.0);
    play.pressure();
    play.send("b");
    play.send("a");
    let grant = play.service.division.grant(Class { team: short_hash("a"), rank: 1 });
    assert!(grant.is_limited && grant.allocation > 0.0, "{grant:?}");
}

/// Requests that wait while arrivals stop and another instance goes on must be served by their
/// team's share, not at a rate that falls with the measured demand.
#[test]
fn requests_that_wait_are_served_after_arrivals_stop() {
    let mut play = Play::new();
    play.tell("other", 3.0);
    let waiting = play.flood("large", 10);
    assert!(waiting.len() >= 3, "{} wait", waiting.len());
    let mut passed = Vec::new();
    for step in 0..400 {
        if step % 25 == 0 {
            play.tell("other", 3.0);
        }
        passed.extend(play.step());
    }
    assert_eq!(passed.len(), waiting.len(), "all that wait are let pass within 4 s");
}

/// Any caller may send the header of a resumption. A flood of them must not pass without bounds.
#[test]
fn flood_of_resumptions_waits() {
    let mut play = Play::new();
    let mut passed = 0;
    for number in 0..40 {
        let resumption = Entry { is_resumption: true, ..entry("large", number) };
        passed += usize::from(matches!(play.decide(&resumption), Decision::Pass(_)));
        play.step();
    }
    assert!((3..=12).contains(&passed), "{passed} of 40 resumptions passed");
}

/// Resumptions that wait go before other requests of their team, even more urgent ones.
#[test]
fn resumption_that_waits_goes_first() {
    let mut play = Play::new();
    play.flood("large", 20);
    play.service.charge(1_000.0);
    let resumption = Entry { is_resumption: true, rank: 3, ..entry("large", 1_000) };
    let decision = play.decide(&resumption);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let first = (0..500).find_map(|_| play.step().first().copied());
    assert_eq!(first, Some(resumption.content));
}

/// Callers state the length of their prompts. One that states an impossible length must not make
/// the service look overloaded afterwards.
#[test]
fn impossible_prompt_is_no_lasting_demand() {
    let mut play = Play::with(Supply { slots: 400.0, engines: 10.0 });
    play.decide(&Entry { prompt_ms: 1e11, first_byte_ms: 1e11, ..entry("a", 0) });
    assert!(play.pressure() < 10.0, "{}", play.pressure());
    for _ in 0..400 {
        play.now += Duration::from_millis(20);
        play.send("a");
    }
    assert!(play.pressure() < 0.1, "{} after 8 s", play.pressure());
}

/// Runs that take three times as long from some moment on, at a third of the capacity, must be learned as
/// such: the assumed capacity would otherwise stay at its lowest.
#[test]
fn lasting_change_of_run_times_is_learned() {
    let mut play = Play::with(Supply { slots: 20.0, engines: 20.0 });
    let usual = entry("a", 0);
    for number in 0..3_000 {
        play.now += Duration::from_millis(33);
        let took_ms = if number < 300 { 100.0 } else { 300.0 };
        let Decision::Pass(pass) = play.send("a").1 else { continue };
        play.service.record_wait((took_ms - pass.first_byte_ms).max(0.0), pass.usual_wait_ms, play.now);
        play.service.record_run(Observation { kind: kind(&usual), took_ms });
        play.step();
    }
    let price = play.service.price(Class { team: 1, rank: 1 }, &usual, Supply { slots: 20.0, engines: 20.0 });
    assert!((250.0..=310.0).contains(&price.run_ms), "{} ms", price.run_ms);
    let capacity = play.service.correction.capacity();
    assert!(capacity > 0.8, "{capacity}");
}

/// A flood of identical requests is as much demand as one of different ones.
#[test]
fn identical_requests_count_as_demand() {
    let mut play = Play::new();
    play.flood("large", 100);
    for _ in 0..100 {
        play.decide(&entry("large", 0));
        play.step();
    }
    let (identical, mut play) = (play.pressure(), Play::new());
    play.flood("large", 200);
    let different = play.pressure();
    assert!(identical > 0.9 * different, "{identical} of {different}");
}

/// A caller that returns seconds after its refusal comes on top of those that arrive now: what was
/// counted of it is forgotten.
#[test]
fn late_return_counts_as_demand() {
    let mut play = Play::new();
    play.flood("large", 300);
    let mut number = 1_000;
    let refused_content = loop {
        number += 1;
        play.step();
        if refused(&play.decide(&entry("large", number))).is_some() {
            break number;
        }
        assert!(number < 2_000, "one is refused");
    };
    let keys: Vec<_> = play.service.waiters.keys().copied().collect();
    for key in keys {
        play.service.cancel(key);
    }
    play.now += Duration::from_millis(2_500);
    let before = play.pressure();
    play.decide(&entry("large", refused_content));
    assert!(play.pressure() > before + 0.1, "{} after {before}", play.pressure());
}

/// A class whose requests take seconds gets a `Retry-After` that is as long as the queue, since a
/// caller that returns sooner is refused again.
#[test]
fn slow_class_is_told_the_time_until_there_is_room() {
    let mut play = Play::new();
    let slow = |number| Entry {
        first_byte_ms: 15_000.0,
        left: Duration::from_mins(1),
        target_left: Duration::from_secs(50),
        target_time: Duration::from_secs(50),
        ..entry("large", number)
    };
    let told = (0..100).find_map(|number| {
        play.step();
        refused(&play.decide(&slow(number)))
    });
    let told = told.expect("one is refused");
    // A run under backlog is given 1.6 times its time and half of the usual wait.
    let run = Duration::from_secs_f64(1.6 * (15.0 + 50.0 / 6.0 / 2.0));
    let expected = (told.wait + run).saturating_sub(told.left);
    assert!(expected > Duration::from_secs(4), "{told:?}");
    assert!(told.after + Duration::from_millis(10) >= expected, "{told:?}, {expected:?} expected");
}

/// A larger model that is asked after the first one takes longer to its first byte. That must not look
/// like a wait at a full endpoint, nor its run like one of the smaller model.
#[test]
fn run_of_a_larger_model_is_judged_by_its_own_time() {
    let (gate, service) = (Gate::new(1), short_hash("logbook"));
    let mut play = Play::new();
    let stream = Entry { is_whole: false, first_byte_ms: 5.0, target_time: Duration::from_millis(60), ..entry("a", 1) };
    let Decision::Pass(pass) = play.decide(&stream) else { panic!("it passes") };
    gate.lock().insert(service, play.service);
    let mut permit = Permit::new(Arc::clone(&gate), service, pass);
    permit.start_run(Some(10_000.0));
    sleep(Duration::from_millis(40));
    permit.record_first_byte();
    permit.complete_run();
    let services = gate.lock();
    assert!(!services[&service].correction.is_late(), "no wait was seen");
    assert!(services[&service].run_times.is_empty(), "no run time was learned");
}

/// Cost that is left for further requests of a limited team after one that ran for 40 ms, elsewhere or
/// not at all, and that cost 100 ms in advance.
fn charge_after_run(has_run: bool) -> f64 {
    let (gate, service) = (Gate::new(1), short_hash("logbook"));
    let mut play = Play::new();
    let Decision::Pass(pass) = play.decide(&entry("a", 1)) else { panic!("it passes") };
    play.service.charge(1_000.0);
    let before = play.service.bucket.debt();
    gate.lock().insert(service, play.service);
    let mut permit = Permit::new(Arc::clone(&gate), service, Pass { is_charged: true, ..pass });
    permit.start_run(None);
    sleep(Duration::from_millis(40));
    if !has_run {
        permit.record_not_run();
    }
    drop(permit);
    before - gate.lock()[&service].bucket.debt()
}

/// A request that is forwarded runs as long as any other one; the time until its end is charged.
#[test]
fn forwarded_run_is_charged() {
    let returned = charge_after_run(true);
    assert!((1.0..=61.0).contains(&returned), "{returned} of 100 were given back");
}

/// One that another instance has not run costs nothing.
#[test]
fn forwarded_request_that_did_not_run_costs_nothing() {
    let returned = charge_after_run(false);
    assert!((returned - 100.0).abs() < 1e-6, "{returned} of 100 were given back");
}

/// A silent run is kept beside the next one, and its answer may come first. Measured from the start of
/// the next one, it looks like a run of a few milliseconds.
#[test]
fn answer_beside_a_later_run_shows_no_times() {
    let (gate, service) = (Gate::new(1), short_hash("logbook"));
    let mut play = Play::new();
    let Decision::Pass(pass) = play.decide(&entry("a", 1)) else { panic!("it passes") };
    gate.lock().insert(service, play.service);
    let mut permit = Permit::new(Arc::clone(&gate), service, pass);
    permit.start_run(None);
    permit.start_run(None);
    permit.record_first_byte();
    permit.complete_run();
    assert!(gate.lock()[&service].run_times.is_empty(), "no run time was learned");
}

/// The waits that another instance's flood causes must not lower the capacity that is assumed here, or
/// a team that asks for just its share is limited. The flood is held back where it comes from.
#[test]
fn waits_of_a_flood_elsewhere_do_not_lower_the_capacity() {
    let mut play = Play::with(Supply { slots: 20.0, engines: 20.0 });
    let mut passed = 0;
    for step in 0..400 {
        if step % 25 == 0 {
            play.tell("other", 2.5);
        }
        if let (_, Decision::Pass(pass)) = play.send("small") {
            passed += 1;
            play.service.record_wait(150.0, pass.usual_wait_ms, play.now);
        }
        play.step();
    }
    assert!(play.service.correction.capacity() > 0.9, "{}", play.service.correction.capacity());
    assert!(passed >= 396, "{passed} of 400 passed");
}
