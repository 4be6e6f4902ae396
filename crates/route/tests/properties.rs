//! Property test: no choice breaks a rule of contract, withdrawal, session, budget or
//! deadline, with generated contracts, configurations, ratings and run times.

use std::{collections::BTreeSet, fmt::Write as _};

use proptest::{prelude::*, test_runner::RngSeed};
use route::{
    model::{self, Inputs, Rater, Reason, Refusal},
    quality::{Cell, Estimates, Stage},
    rollout::{self, Stop, Stops, Unit},
};
use world::{
    Catalog, Timestamp,
    catalog::Standing,
    contract::{Contract, Customer},
    model::{Id, Version},
    money::Amount,
    object::Object,
    request::{Class, Repeat},
    session::{Pin, Session},
};

const NOW: Timestamp = Timestamp(1_000_000);
const PROMPT: u32 = 1_000;
const STATES: [&str; 5] = ["loading", "exposing", "paused", "promoted", "withdrawn"];
const OBJECTIVES: [&str; 3] = ["cost", "latency", "exposure"];

#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "every combination must be generated")]
struct Release {
    tier: u8,
    price: u32,
    withdrawn: bool,
    allowed: bool,
    stopped: bool,
    pinned: bool,
    /// Index of the state of its roll-out in [`STATES`], if it has one. The predecessor is
    /// the previous release of the same tier.
    rollout: Option<usize>,
    passes: u32,
    fails: u32,
    runs_ms: u64,
}

#[derive(Debug, Clone)]
struct Case {
    releases: Vec<Release>,
    target: f64,
    share: f64,
    objective: usize,
    unit: u64,
    must_not_repeat: bool,
    rater_down: bool,
    left_ms: u64,
    ceiling: u64,
    max_tokens: Option<u32>,
    owns_session: bool,
}

fn release() -> impl Strategy<Value = Release> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let rollout = prop_oneof![2 => Just(None), 1 => (0..STATES.len()).prop_map(Some)];
    (0..4u8, 1..100u32, flags, rollout, 0..60u32, 0..60u32, 0..20_000u64).prop_map(
        |(tier, price, (withdrawn, allowed, stopped, pinned), rollout, passes, fails, runs_ms)| Release {
            tier,
            price,
            withdrawn: withdrawn && passes % 3 == 0,
            allowed: allowed || fails % 2 == 0,
            stopped: stopped && fails % 4 == 0,
            pinned: pinned && passes % 2 == 0,
            rollout,
            passes,
            fails,
            runs_ms,
        },
    )
}

fn case() -> impl Strategy<Value = Case> {
    let request = (any::<u64>(), any::<bool>(), any::<bool>(), 0..60_000u64, 0..400_000_000u64);
    let contract = (0.0..=1.0f64, 0.0..=1.0f64, 0..OBJECTIVES.len());
    let more_inputs = (proptest::option::of(1..4_000u32), prop::bool::weighted(0.9));
    (proptest::collection::vec(release(), 1..8), contract, request, more_inputs).prop_map(
        |(
            releases,
            (target, share, objective),
            (unit, must_not_repeat, rater_down, left_ms, ceiling),
            (max_tokens, owns_session),
        )| {
            Case {
                releases,
                target,
                share,
                objective,
                unit,
                must_not_repeat,
                rater_down,
                left_ms,
                ceiling,
                max_tokens,
                owns_session,
            }
        },
    )
}

fn version(index: usize) -> Version {
    Version::parse(&format!("m@{index}")).expect("a version")
}

impl Case {
    fn catalog(&self) -> Catalog {
        let mut text = String::from("kind: model\nname: m\nspec:\n  versions:\n");
        for (index, release) in self.releases.iter().enumerate() {
            let state = if release.withdrawn { "withdrawn" } else { "serving" };
            let _ = writeln!(
                text,
                "    - {{ version: \"{index}\", tier: {}, state: {state}, price: {{ input: \"{}\", output: \"{}\", currency: EUR }} }}",
                release.tier, release.price, release.price
            );
        }
        for (index, release) in self.releases.iter().enumerate() {
            let before = (0..index).rev().find(|before| self.releases[*before].tier == release.tier);
            let (Some(state), Some(before)) = (release.rollout, before) else { continue };
            let _ = writeln!(
                text,
                "---\nkind: rollout\nname: r{index}\nspec: {{ version: m@{index}, predecessor: \"{before}\", steps: [0.3, 0.7], state: {} }}",
                STATES[state]
            );
        }
        let allowed: Vec<_> = self.releases.iter().enumerate().filter(|(_, r)| r.allowed).collect();
        let names: Vec<_> = allowed.iter().map(|(index, _)| format!("\"{index}\"")).collect();
        let models =
            if names.is_empty() { String::new() } else { format!("{{ model: m, versions: [{}] }}", names.join(", ")) };
        let _ = writeln!(
            text,
            "---\nkind: contract\nname: c\nspec: {{ keys: [], models: [{models}], quality: {{ target: {} }}, objective: {}, \
             exposure: {{ new_version_share: {} }}, budget: {{ amount: \"9\", currency: EUR, period: day }} }}",
            self.target, OBJECTIVES[self.objective], self.share
        );
        let objects = Object::parse_file(&text).expect("objects are well formed");
        Catalog::build(3, objects).expect("objects fit each other")
    }

    fn session(&self) -> Session {
        let pinned = self.releases.iter().enumerate().filter(|(_, release)| release.pinned);
        let mut tiers = BTreeSet::new();
        let pins = pinned.filter(|(_, r)| tiers.insert(r.tier)).map(|(i, r)| Pin {
            tier: r.tier,
            version: version(i),
            left: None,
        });
        let customer = if self.owns_session { "c" } else { "another" };
        Session { customer: Customer::parse(customer).expect("valid name"), pins: pins.collect() }
    }

    fn stops(&self) -> Stops {
        let mut stops = Stops::default();
        for (index, _) in self.releases.iter().enumerate().filter(|(_, release)| release.stopped) {
            let rollout = world::rollout::Id::parse("r").expect("valid name");
            stops.insert(Stop { version: version(index), rollout, reason: "errors".into() });
        }
        stops
    }

    fn quality(&self, cell: Cell) -> Estimates {
        let mut quality = Estimates::default();
        for (index, release) in self.releases.iter().enumerate() {
            for n in 0..release.passes + release.fails {
                let stage = if n % 2 == 0 { Stage::First } else { Stage::Escalated };
                quality.record_rating(cell, &version(index), stage, n < release.passes);
            }
            if release.runs_ms > 0 {
                quality.record_run(cell, &version(index), release.runs_ms, 100, NOW);
            }
        }
        quality
    }

    fn max_cost(&self, catalog: &Catalog, version: &Version) -> Amount {
        let release = catalog.release(version).expect("the catalog contains the version");
        let tokens = self.max_tokens.unwrap_or(u32::MAX).min(release.max_output);
        release.price.cost(PROMPT.into(), tokens.into())
    }
}

fn allowed(contract: &Contract, version: &Version) -> bool {
    contract.models.iter().any(|a| a.model == version.model && a.versions.contains(&version.number))
}

/// Returns whether the request may run on a version: it is allowed, not stopped, and
/// either serving, exposed to the request, or pinned. Implements the rules
/// independently of [`model::choose`].
fn may_run(
    case: &Case,
    catalog: &Catalog,
    stops: &Stops,
    contract: &Contract,
    session: &Session,
    at: &Version,
) -> bool {
    let pinned = case.owns_session && session.pins.iter().any(|pin| pin.version == *at);
    let standing = match catalog.standing(at) {
        Standing::Serving => true,
        Standing::Exposed { share, .. } => {
            let exposure_objective = OBJECTIVES[case.objective] == "exposure";
            let max_share =
                (if exposure_objective { share * share } else { share }).min(contract.exposure.new_version_share);
            pinned || (max_share > 0.0 && rollout::is_exposed(catalog, stops, contract, at, Unit(case.unit)))
        }
        Standing::Held { .. } => pinned,
        Standing::Withdrawn | Standing::Unknown => false,
    };
    standing && allowed(contract, at) && !stops.contains(at)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_choice_breaks_a_rule(case in case()) {
        let customer = Customer::parse("c").expect("valid name");
        let class = Class::parse("k").expect("valid name");
        let (catalog, stops, session) = (case.catalog(), case.stops(), case.session());
        let contract = catalog.contract(&customer).expect("the catalog contains the contract");
        let cell = Cell::new(&customer, &class);
        let quality = case.quality(cell);
        let chosen = model::choose(&Inputs {
            catalog: &catalog,
            customer: &customer,
            model: &Id::parse("m").expect("valid name"),
            class: &class,
            session: Some(&session),
            unit: Unit(case.unit),
            stops: &stops,
            repeat: if case.must_not_repeat { Repeat::Never } else { Repeat::Idempotent },
            prompt_tokens: PROMPT,
            max_tokens: case.max_tokens,
            now: NOW,
            left_ms: case.left_ms,
            ceiling: Amount(case.ceiling),
            rater: if case.rater_down { Rater::Unavailable } else { Rater::Available },
            quality: &quality,
        });
        let open: Vec<_> = (0..case.releases.len())
            .map(version)
            .filter(|version| may_run(&case, &catalog, &stops, contract, &session, version))
            .collect();

        let choice = match chosen {
            Ok(choice) => choice,
            Err(Refusal::ModelNotAllowed) => {
                prop_assert!(contract.models.is_empty());
                return Ok(());
            }
            Err(Refusal::NoVersion) => {
                prop_assert!(open.is_empty(), "{open:?} may run");
                return Ok(());
            }
            Err(Refusal::Budget { needed, left }) => {
                prop_assert!(needed > left && left == Amount(case.ceiling));
                return Ok(());
            }
            Err(Refusal::Deadline { needed_ms, left_ms }) => {
                prop_assert!(needed_ms >= left_ms && left_ms == case.left_ms);
                return Ok(());
            }
            Err(Refusal::NoContract) => return Err(TestCaseError::fail("the customer has a contract")),
        };

        let steps: Vec<_> = choice.steps().iter().map(|step| step.version().clone()).collect();
        prop_assert!(!steps.is_empty());
        prop_assert!(steps.iter().all(|step| open.contains(step)), "{steps:?} of {open:?}");
        prop_assert!(choice.steps().iter().all(|step| step.renew(&catalog, &stops).is_some()));
        prop_assert!(choice.steps().is_sorted_by(|a, b| a.tier() < b.tier()));
        if case.must_not_repeat || case.rater_down {
            prop_assert_eq!(steps.len(), 1);
        }

        let kept = |pin: &&Pin| case.owns_session && rollout::may_continue(&catalog, &stops, contract, &pin.version);
        for pin in session.pins.iter().filter(kept) {
            let step = choice.steps().iter().find(|step| step.tier() == pin.tier);
            prop_assert!(step.is_none_or(|step| *step.version() == pin.version), "moved away from its pin {}", pin.version);
        }

        let max_cost = steps.iter().fold(Amount::ZERO, |sum, step| sum.saturating_add(case.max_cost(&catalog, step)));
        prop_assert_eq!(choice.ceiling(), max_cost);
        prop_assert!(max_cost <= Amount(case.ceiling));
        let min_ms: f64 = steps.iter().map(|step| quality.speed(cell, step, NOW).plausible_min_ms()).sum();
        prop_assert!(min_ms <= f64::from(u32::try_from(case.left_ms).expect("less than a minute")));

        let reason = choice.reason();
        prop_assert!((0.0..=1.0).contains(&reason.quality.mean) && reason.quality.deviation.is_finite());
        prop_assert!(reason.to_string().starts_with(&steps[0].to_string()));
        let text = serde_json::to_string(reason).expect("the reason serializes");
        let back: Reason = serde_json::from_str(&text).expect("the reason deserializes");
        prop_assert_eq!(back.to_string(), reason.to_string());
    }
}
