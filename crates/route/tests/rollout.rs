//! Exposure of sessions to versions under roll-out, and the next move of a roll-out.

use proptest::prelude::*;
use route::{
    guard::Verdict,
    rollout::{self, Arm, Plan, Progress, Stop, Stops, Unit, Waiting},
};
use world::{
    Catalog,
    contract::{Contract, Customer},
    model::{Id, Version},
    object::Object,
};

const OBJECTS: &str = r#"
kind: model
name: m
spec:
  versions:
    - { version: "1", price: { input: "1", output: "1", currency: EUR } }
    - { version: "2", price: { input: "1", output: "1", currency: EUR } }
    - { version: "3", price: { input: "1", output: "1", currency: EUR } }
    - { version: "9", tier: 1, price: { input: "9", output: "9", currency: EUR } }
---
kind: contract
name: all
spec: { keys: [], models: [{ model: m, versions: ["1", "2", "3", "9"] }], budget: { amount: "1", currency: EUR, period: day } }
---
kind: contract
name: old
spec: { keys: [], models: [{ model: m, versions: ["1", "9"] }], budget: { amount: "1", currency: EUR, period: day } }
---
kind: contract
name: careful
spec: { keys: [], models: [{ model: m, versions: ["1", "2", "3", "9"] }], budget: { amount: "1", currency: EUR, period: day }, exposure: { new_version_share: 0.02 } }
"#;

fn catalog(rollouts: &str) -> Catalog {
    let mut objects = Object::parse_file(OBJECTS).unwrap();
    objects.extend(Object::parse_file(rollouts).unwrap());
    Catalog::build(1, objects).unwrap()
}

fn rolling(name: &str, version: &str, predecessor: &str, state: &str, share: f64) -> String {
    format!(
        "---\nkind: rollout\nname: {name}\nspec: {{ version: m@{version}, predecessor: \"{predecessor}\", steps: [{share}], state: {state} }}\n"
    )
}

fn contract<'a>(catalog: &'a Catalog, name: &str) -> &'a Contract {
    catalog.contract(&Customer::parse(name).unwrap()).unwrap()
}

fn version(number: &str) -> Version {
    Version::parse(&format!("m@{number}")).unwrap()
}

fn stopped(number: &str, name: &str) -> Stops {
    let mut stops = Stops::default();
    let rollout = world::rollout::Id::parse(name).unwrap();
    stops.insert(Stop { version: version(number), rollout, reason: "bad".into() });
    stops
}

/// Checks the shares of 10,000 new sessions that may start on versions 1, 2 and 3,
/// in percent.
fn check(rollouts: &str, stops: &Stops, customer: &str, wanted: [u64; 3]) {
    let catalog = catalog(rollouts);
    let contract = contract(&catalog, customer);
    let mut met = [0u64; 3];
    for unit in 0..10_000u64 {
        let open = rollout::open(&catalog, stops, contract, &Id::parse("m").unwrap(), Unit(unit * 0x9E37_79B9));
        assert!(open.contains(&version("9")), "other tiers stay available");
        for (place, number) in ["1", "2", "3"].into_iter().enumerate() {
            met[place] += u64::from(open.contains(&version(number)));
        }
        assert!(open.len() <= 2, "one version per tier: {open:?}");
    }
    for (met, wanted) in met.into_iter().zip(wanted.map(|percent| percent * 100)) {
        // Shares of 0 and 100 percent must be exact.
        let near = if wanted % 10_000 == 0 { met == wanted } else { met.abs_diff(wanted) <= 150 };
        assert!(near, "{met} sessions, {wanted} expected");
    }
}

macro_rules! cases {
    ($($name:ident: [$($rollout:expr),*], $stops:expr, $customer:literal => $wanted:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut rollouts = String::new();
            $(rollouts.push_str(&$rollout);)*
            check(&rollouts, &$stops, $customer, $wanted);
        })*
    };
}

cases! {
    loading_meets_nobody: [rolling("r", "2", "1", "loading", 0.2), rolling("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [100, 0, 0];
    exposing_meets_its_share: [rolling("r", "2", "1", "exposing", 0.2), rolling("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [80, 20, 0];
    paused_takes_no_new_sessions: [rolling("r", "2", "1", "paused", 0.2), rolling("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [100, 0, 0];
    promoted_takes_all: [rolling("r", "2", "1", "promoted", 1.0), rolling("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [0, 100, 0];
    withdrawn_meets_nobody: [rolling("r", "2", "1", "withdrawn", 1.0), rolling("s", "3", "1", "loading", 0.1)],
        Stops::default(), "all" => [100, 0, 0];
    next_after_promotion: [rolling("r", "2", "1", "promoted", 1.0), rolling("s", "3", "2", "exposing", 0.5)],
        Stops::default(), "all" => [0, 50, 50];
    stop_signal_beats_the_catalog: [rolling("r", "2", "1", "exposing", 0.2), rolling("s", "3", "2", "loading", 0.1)],
        stopped("2", "r"), "all" => [100, 0, 0];
    stop_of_a_promoted_version_gives_back: [rolling("r", "2", "1", "promoted", 1.0), rolling("s", "3", "2", "loading", 0.1)],
        stopped("2", "r"), "all" => [100, 0, 0];
    contract_caps_the_share: [rolling("r", "2", "1", "exposing", 0.2), rolling("s", "3", "2", "loading", 0.1)],
        Stops::default(), "careful" => [98, 2, 0];
    contract_without_the_version: [rolling("r", "2", "1", "promoted", 1.0), rolling("s", "3", "2", "loading", 0.1)],
        Stops::default(), "old" => [100, 0, 0];
}

/// A stop must last until the catalog withdraws the version; otherwise the version
/// would receive sessions again in between.
#[test]
fn stops_settle_into_the_catalog() {
    let mut stops = stopped("2", "r");
    stops.settle(&catalog(&rolling("r", "2", "1", "exposing", 0.2)));
    assert!(stops.contains(&version("2")));
    stops.settle(&catalog(&rolling("r", "2", "1", "withdrawn", 0.2)));
    assert!(!stops.contains(&version("2")));
}

/// Customers whose contract caps the share must have the same ratio of control to
/// exposed sessions as others; otherwise the arms would contain different mixes of
/// customers.
#[test]
fn arms_keep_the_mix_of_customers() {
    let catalog = catalog(&rolling("r", "2", "1", "exposing", 0.2));
    for customer in ["all", "careful"] {
        let contract = contract(&catalog, customer);
        let arms = (0..200_000u64).map(|unit| rollout::arm(0.2, contract, &version("2"), Unit(unit * 0x9E37_79B9)));
        let arms: Vec<_> = arms.collect();
        let of = |arm: Arm| arms.iter().filter(|a| **a == arm).count();
        let ratio = of(Arm::Control) * 10 / of(Arm::New);
        assert!((38..=42).contains(&ratio), "{customer}: {ratio} tenths, 40 expected");
    }
}

#[test]
fn plans_by_state() {
    let base = |state: &str| {
        let catalog = catalog(&rolling("r", "2", "1", state, 0.2));
        catalog.rollouts().values().next().unwrap().clone()
    };
    let plan = |state: &str, verdict: Verdict, at_step_ms, loaded| {
        rollout::plan(&base(state), &verdict, &Progress { at_step_ms, loaded, wanted: 2 })
    };
    assert_eq!(plan("loading", Verdict::Continue, 0, 1), Plan::Wait(Waiting::Load));
    assert_eq!(plan("loading", Verdict::Continue, 0, 2), Plan::Expose);
    assert_eq!(plan("exposing", Verdict::Advance, 59_999, 2), Plan::Wait(Waiting::Time));
    assert_eq!(plan("exposing", Verdict::Continue, 60_000, 2), Plan::Wait(Waiting::Evidence));
    assert_eq!(plan("exposing", Verdict::Advance, 60_000, 1), Plan::Wait(Waiting::Load));
    assert_eq!(plan("exposing", Verdict::Advance, 60_000, 2), Plan::Promote);
    assert_eq!(plan("paused", Verdict::Advance, 60_000, 2), Plan::Wait(Waiting::Operator));
    assert_eq!(plan("withdrawn", Verdict::Advance, 60_000, 2), Plan::Wait(Waiting::End));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// A session that is exposed at one share is exposed at every larger share.
    #[test]
    fn exposure_only_grows(unit: u64, small in 0.0f64..1.0, more in 0.0f64..1.0) {
        let meets = |share: f64| {
            let catalog = catalog(&rolling("r", "2", "1", "exposing", share));
            rollout::exposed(&catalog, &Stops::default(), contract(&catalog, "all"), &version("2"), Unit(unit))
        };
        let large = (small + more).min(1.0);
        prop_assert!(!meets(small) || meets(large));
        prop_assert!(meets(1.0) && !meets(0.0));
    }
}
