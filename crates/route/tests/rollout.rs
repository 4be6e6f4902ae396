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

fn rollout_object(name: &str, version: &str, predecessor: &str, state: &str, share: f64) -> String {
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

fn stops_with(number: &str, name: &str) -> Stops {
    let mut stops = Stops::default();
    let rollout = world::rollout::Id::parse(name).unwrap();
    stops.insert(Stop { version: version(number), rollout, reason: "bad".into() });
    stops
}

/// Checks the shares of 10,000 new sessions that may start on versions 1, 2 and 3,
/// in percent.
fn check_shares(rollouts: &str, stops: &Stops, customer: &str, wanted: [u64; 3]) {
    let catalog = catalog(rollouts);
    let contract = contract(&catalog, customer);
    let mut counts = [0u64; 3];
    for unit in 0..10_000u64 {
        let open =
            rollout::startable_versions(&catalog, stops, contract, &Id::parse("m").unwrap(), Unit(unit * 0x9E37_79B9));
        assert!(open.contains(&version("9")), "other tiers stay available");
        for (index, number) in ["1", "2", "3"].into_iter().enumerate() {
            counts[index] += u64::from(open.contains(&version(number)));
        }
        assert!(open.len() <= 2, "one version per tier: {open:?}");
    }
    for (count, wanted) in counts.into_iter().zip(wanted.map(|percent| percent * 100)) {
        // Shares of 0 and 100 percent must be exact.
        let matches_share = if wanted % 10_000 == 0 { count == wanted } else { count.abs_diff(wanted) <= 150 };
        assert!(matches_share, "{count} sessions, {wanted} expected");
    }
}

macro_rules! cases {
    ($($name:ident: [$($rollout:expr),*], $stops:expr, $customer:literal => $wanted:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut rollouts = String::new();
            $(rollouts.push_str(&$rollout);)*
            check_shares(&rollouts, &$stops, $customer, $wanted);
        })*
    };
}

cases! {
    loading_version_exposes_no_session: [rollout_object("r", "2", "1", "loading", 0.2), rollout_object("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [100, 0, 0];
    exposing_version_receives_its_share: [rollout_object("r", "2", "1", "exposing", 0.2), rollout_object("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [80, 20, 0];
    paused_rollout_accepts_no_new_sessions: [rollout_object("r", "2", "1", "paused", 0.2), rollout_object("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [100, 0, 0];
    promoted_version_receives_all_sessions: [rollout_object("r", "2", "1", "promoted", 1.0), rollout_object("s", "3", "2", "loading", 0.1)],
        Stops::default(), "all" => [0, 100, 0];
    withdrawn_version_receives_no_session: [rollout_object("r", "2", "1", "withdrawn", 1.0), rollout_object("s", "3", "1", "loading", 0.1)],
        Stops::default(), "all" => [100, 0, 0];
    next_rollout_takes_its_share_from_the_promoted_version: [rollout_object("r", "2", "1", "promoted", 1.0), rollout_object("s", "3", "2", "exposing", 0.5)],
        Stops::default(), "all" => [0, 50, 50];
    stop_overrides_the_exposing_state_of_the_catalog: [rollout_object("r", "2", "1", "exposing", 0.2), rollout_object("s", "3", "2", "loading", 0.1)],
        stops_with("2", "r"), "all" => [100, 0, 0];
    stop_of_a_promoted_version_restores_its_predecessor: [rollout_object("r", "2", "1", "promoted", 1.0), rollout_object("s", "3", "2", "loading", 0.1)],
        stops_with("2", "r"), "all" => [100, 0, 0];
    contract_caps_the_share: [rollout_object("r", "2", "1", "exposing", 0.2), rollout_object("s", "3", "2", "loading", 0.1)],
        Stops::default(), "careful" => [98, 2, 0];
    contract_without_the_new_version_keeps_its_predecessor: [rollout_object("r", "2", "1", "promoted", 1.0), rollout_object("s", "3", "2", "loading", 0.1)],
        Stops::default(), "old" => [100, 0, 0];
}

/// A stop must last until the catalog withdraws the version; otherwise the version
/// would receive sessions again in between.
#[test]
fn stop_is_dropped_once_the_catalog_withdraws_the_version() {
    let mut stops = stops_with("2", "r");
    stops.prune(&catalog(&rollout_object("r", "2", "1", "exposing", 0.2)));
    assert!(stops.contains(&version("2")));
    stops.prune(&catalog(&rollout_object("r", "2", "1", "withdrawn", 0.2)));
    assert!(!stops.contains(&version("2")));
}

/// Customers whose contract caps the share must have the same ratio of control to
/// exposed sessions as others; otherwise the arms would contain different mixes of
/// customers.
#[test]
fn control_ratio_is_the_same_for_all_customers() {
    let catalog = catalog(&rollout_object("r", "2", "1", "exposing", 0.2));
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
fn plan_depends_on_rollout_state() {
    let base = |state: &str| {
        let catalog = catalog(&rollout_object("r", "2", "1", state, 0.2));
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
    fn exposure_is_monotonic_in_the_share(unit: u64, small in 0.0f64..1.0, more in 0.0f64..1.0) {
        let is_exposed_at = |share: f64| {
            let catalog = catalog(&rollout_object("r", "2", "1", "exposing", share));
            rollout::is_exposed(&catalog, &Stops::default(), contract(&catalog, "all"), &version("2"), Unit(unit))
        };
        let large = (small + more).min(1.0);
        prop_assert!(!is_exposed_at(small) || is_exposed_at(large));
        prop_assert!(is_exposed_at(1.0) && !is_exposed_at(0.0));
    }
}
