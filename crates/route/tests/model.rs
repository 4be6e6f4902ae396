//! Choices respect contract, configuration and session, and minimize cost at the
//! quality target.

use std::collections::BTreeSet;

use route::{
    model::{self, Choice, Inputs, Rater, Refusal},
    quality::{Cell, Estimates, Stage},
    rollout::{Stop, Stops, Unit},
};
use world::{
    Catalog, Timestamp,
    contract::Customer,
    model::{Id, Version},
    money::Amount,
    object::Object,
    request::{Class, Repeat},
    session::{Pin, Session},
};

const NOW: Timestamp = Timestamp(1_000_000);
const MODEL: &str = r#"
kind: model
name: m
spec:
  versions:
    - { version: "1", tier: 0, price: { input: "1", output: "1", currency: EUR } }
    - { version: "2", tier: 0, price: { input: "1", output: "1", currency: EUR } }
    - { version: "9", tier: 1, price: { input: "10", output: "10", currency: EUR } }
"#;

struct Case {
    catalog: Catalog,
    session: Option<Session>,
    unit: Unit,
    repeat: Repeat,
    left_ms: u64,
    ceiling: Amount,
    rater: Rater,
    quality: Estimates,
    stops: Stops,
}

fn parse_version(value: &str) -> Version {
    Version::parse(value).expect("a version")
}

fn case(contract: &str, more_objects: &str) -> Case {
    let contract = format!(
        "kind: contract\nname: c\nspec: {{ keys: [], budget: {{ amount: \"9\", currency: EUR, period: day }}, {contract} }}"
    );
    let objects =
        Object::parse_file(&format!("{MODEL}---\n{contract}\n{more_objects}")).expect("objects are well formed");
    Case {
        catalog: Catalog::build(7, objects).expect("objects fit each other"),
        session: None,
        unit: Unit(1),
        repeat: Repeat::Idempotent,
        left_ms: 60_000,
        ceiling: Amount(u64::MAX),
        rater: Rater::Available,
        quality: Estimates::default(),
        stops: Stops::default(),
    }
}

fn cell() -> Cell {
    Cell::new(&Customer::parse("c").expect("valid name"), &Class::parse("k").expect("valid name"))
}

impl Case {
    fn pinned(mut self, versions: &[(u8, &str)]) -> Self {
        let pins =
            versions.iter().map(|(tier, v)| Pin { tier: *tier, version: parse_version(v), left: None }).collect();
        self.session = Some(Session { customer: Customer::parse("c").expect("valid name"), pins });
        self
    }

    fn rated(mut self, version: &str, stage: Stage, passes: u32, fails: u32) -> Self {
        for n in 0..passes + fails {
            self.quality.record_rating(cell(), &parse_version(version), stage, n < passes);
        }
        self
    }

    fn choose(&self) -> Result<Choice, Refusal> {
        model::choose(&Inputs {
            catalog: &self.catalog,
            customer: &Customer::parse("c").expect("valid name"),
            model: &Id::parse("m").expect("valid name"),
            class: &Class::parse("k").expect("valid name"),
            session: self.session.as_ref(),
            unit: self.unit,
            stops: &self.stops,
            repeat: self.repeat,
            prompt_tokens: 1_000,
            max_tokens: Some(1_000),
            now: NOW,
            left_ms: self.left_ms,
            ceiling: self.ceiling,
            rater: self.rater,
            quality: &self.quality,
        })
    }
}

fn steps(choice: &Choice) -> Vec<String> {
    choice.steps().iter().map(|step| step.version().to_string()).collect()
}

fn check_choice(case: &Case, expected: Result<&[&str], Refusal>) {
    let chosen = case.choose().map(|choice| steps(&choice));
    let expected = expected.map(|steps| steps.iter().map(ToString::to_string).collect::<Vec<_>>());
    assert_eq!(chosen, expected);
}

macro_rules! choice_tests {
    ($($name:ident: $case:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check_choice(&$case, $expected); })*
    };
}

const ALL: &str = "models: [{ model: m, versions: [\"1\", \"2\", \"9\"] }]";
const EXPENSIVE_ONLY: &str = "models: [{ model: m, versions: [\"9\"] }]";
const HELD: &str = "---\nkind: rollout\nname: r\nspec: { version: m@2, predecessor: \"1\", state: paused }";
const WITHDRAWN: &str = "---\nkind: rollout\nname: r\nspec: { version: m@2, predecessor: \"1\", state: withdrawn }";
const PROMOTED: &str = "---\nkind: rollout\nname: r\nspec: { version: m@2, predecessor: \"1\", state: promoted }";

fn cheap_version_meets_target() -> Case {
    case(ALL, "").rated("m@2", Stage::First, 97, 3).rated("m@9", Stage::First, 99, 1)
}

fn cheap_version_misses_target() -> Case {
    case(ALL, "").rated("m@2", Stage::First, 700, 300).rated("m@9", Stage::First, 970, 30).rated(
        "m@9",
        Stage::Escalated,
        900,
        100,
    )
}

choice_tests! {
    cheapest_version_alone_if_it_meets_the_target: cheap_version_meets_target() => Ok(&["m@2"]);
    escalation_if_the_cheapest_version_alone_misses_the_target: cheap_version_misses_target() => Ok(&["m@2", "m@9"]);
    no_escalation_for_a_request_that_must_not_run_twice: Case { repeat: Repeat::Never, ..cheap_version_misses_target() } => Ok(&["m@9"]);
    no_escalation_while_the_rating_service_is_down: Case { rater: Rater::Unavailable, ..cheap_version_misses_target() } => Ok(&["m@9"]);
    only_versions_that_the_contract_allows: case(EXPENSIVE_ONLY, "") => Ok(&["m@9"]);
    no_new_session_on_a_held_version: case(ALL, HELD).rated("m@1", Stage::First, 99, 1) => Ok(&["m@1"]);
    a_held_version_keeps_its_sessions: case(ALL, HELD).pinned(&[(0, "m@2")]).rated("m@2", Stage::First, 99, 1) => Ok(&["m@2"]);
    a_session_keeps_a_replaced_version: case(ALL, PROMOTED).pinned(&[(0, "m@1")]).rated("m@1", Stage::First, 99, 1) => Ok(&["m@1"]);
    a_promoted_version_takes_new_sessions: case(ALL, PROMOTED).rated("m@2", Stage::First, 99, 1) => Ok(&["m@2"]);
    withdrawal_overrides_a_pin: case(ALL, WITHDRAWN).pinned(&[(0, "m@2")]).rated("m@1", Stage::First, 99, 1) => Ok(&["m@1"]);
    a_pin_outside_the_contract_is_dropped: case(EXPENSIVE_ONLY, "").pinned(&[(0, "m@1")]) => Ok(&["m@9"]);
    refused_if_every_allowed_version_is_withdrawn: case("models: [{ model: m, versions: [\"2\"] }]", WITHDRAWN) => Err(Refusal::NoVersion);
    refused_if_the_contract_lacks_the_model: case("models: []", "") => Err(Refusal::ModelNotAllowed);
    refused_if_no_version_fits_the_price_ceiling: Case { ceiling: Amount(1), ..cheap_version_meets_target() } => Err(Refusal::Budget { needed: Amount(2_000_000), left: Amount(1) });
    price_ceiling_prevents_escalation: Case { ceiling: Amount(20_000_000), ..cheap_version_misses_target() } => Ok(&["m@9"]);
    deadline_prevents_escalation: Case { left_ms: 1_500, ..cheap_version_misses_target() } => Ok(&["m@9"]);
}

/// Evidence from a peer stops a version before the configuration withdraws it. A
/// session pinned to the version is moved at once, and the reason names the version
/// that it left.
#[test]
fn a_stop_takes_effect_before_the_catalog_changes() {
    let mut case = case(ALL, "").pinned(&[(0, "m@2")]).rated("m@1", Stage::First, 99, 1);
    let before = case.choose().expect("some version may run");
    let rollout = world::rollout::Id::parse("r").expect("valid name");
    case.stops.insert(Stop { version: parse_version("m@2"), rollout, reason: "errors".into() });

    let after = case.choose().expect("some version may run");
    assert_eq!(steps(&after), ["m@1"]);
    assert_eq!(after.reason().moved, [parse_version("m@2")]);
    assert!(
        before
            .steps()
            .iter()
            .all(|step| step.version() != &parse_version("m@2") || step.renew(&case.catalog, &case.stops).is_none())
    );
}

/// Both versions that a session is pinned to are stopped at once. The answer may come
/// from either tier, so the reason must name the version left in each tier that the
/// ladder uses, and none of other tiers.
#[test]
fn reason_names_every_version_that_a_session_leaves() {
    let mut case = cheap_version_misses_target().pinned(&[(0, "m@1"), (1, "m@9")]);
    let steps_before = steps(&case.choose().expect("some version may run"));
    assert_eq!(steps_before, ["m@1", "m@9"]);
    let rollout = world::rollout::Id::parse("r").expect("valid name");
    for version in ["m@1", "m@9"] {
        case.stops.insert(Stop { version: parse_version(version), rollout: rollout.clone(), reason: "errors".into() });
    }
    let after = case.choose().expect("some version may run");
    let tiers: Vec<u8> = after.steps().iter().map(route::model::Permit::tier).collect();
    let expected: Vec<_> = [(0, "m@1"), (1, "m@9")].iter().filter(|(tier, _)| tiers.contains(tier)).collect();
    let expected: Vec<_> = expected.into_iter().map(|(_, version)| parse_version(version)).collect();
    assert_eq!(after.reason().moved, expected, "{:?}", steps(&after));
}

/// A version is withdrawn between the choice and the dispatch of its step. The
/// permit must not be renewed, otherwise the withdrawn version would run once more.
#[test]
fn a_permit_is_not_renewed_after_a_withdrawal() {
    let before = cheap_version_misses_target().choose().expect("some version may run");
    let later = case(ALL, WITHDRAWN);
    let renewed: Vec<_> =
        before.steps().iter().map(|step| step.renew(&later.catalog, &later.stops).is_some()).collect();
    assert_eq!(steps(&before), ["m@2", "m@9"]);
    assert_eq!(renewed, [false, true]);
}

#[test]
fn pins_of_unused_tiers_are_kept() {
    let case = cheap_version_misses_target().pinned(&[(0, "m@1"), (1, "m@9")]).rated("m@1", Stage::First, 990, 10);
    let choice = case.choose().expect("some version may run");
    let pins: BTreeSet<_> = choice.pins(case.session.as_ref()).into_iter().map(|pin| pin.version.to_string()).collect();
    assert_eq!(steps(&choice), ["m@1"]);
    assert_eq!(pins, BTreeSet::from(["m@1".into(), "m@9".into()]));
}
