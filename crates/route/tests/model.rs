//! Choices respect contract, configuration and session, and minimize cost at the
//! quality target.

use std::collections::BTreeSet;

use route::{
    model::{self, Choice, Inputs, Rater, Refusal},
    quality::{Book, Cell, Stage},
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
    book: Book,
    stops: Stops,
}

fn text(value: &str) -> Version {
    Version::parse(value).expect("a version")
}

fn case(contract: &str, more: &str) -> Case {
    let contract = format!(
        "kind: contract\nname: c\nspec: {{ keys: [], budget: {{ amount: \"9\", currency: EUR, period: day }}, {contract} }}"
    );
    let objects = Object::parse_file(&format!("{MODEL}---\n{contract}\n{more}")).expect("objects are well formed");
    Case {
        catalog: Catalog::build(7, objects).expect("objects fit each other"),
        session: None,
        unit: Unit(1),
        repeat: Repeat::Idempotent,
        left_ms: 60_000,
        ceiling: Amount(u64::MAX),
        rater: Rater::Up,
        book: Book::default(),
        stops: Stops::default(),
    }
}

fn cell() -> Cell {
    Cell::new(&Customer::parse("c").expect("valid name"), &Class::parse("k").expect("valid name"))
}

impl Case {
    fn pinned(mut self, versions: &[(u8, &str)]) -> Self {
        let pins = versions.iter().map(|(tier, v)| Pin { tier: *tier, version: text(v), left: None }).collect();
        self.session = Some(Session { customer: Customer::parse("c").expect("valid name"), pins });
        self
    }

    fn rated(mut self, version: &str, stage: Stage, passes: u32, fails: u32) -> Self {
        for n in 0..passes + fails {
            self.book.rate(cell(), &text(version), stage, n < passes);
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
            book: &self.book,
        })
    }
}

fn steps(choice: &Choice) -> Vec<String> {
    choice.steps().iter().map(|step| step.version().to_string()).collect()
}

fn check(case: &Case, expected: Result<&[&str], Refusal>) {
    let chosen = case.choose().map(|choice| steps(&choice));
    let expected = expected.map(|steps| steps.iter().map(ToString::to_string).collect::<Vec<_>>());
    assert_eq!(chosen, expected);
}

macro_rules! chooses {
    ($($name:ident: $case:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check(&$case, $expected); })*
    };
}

const ALL: &str = "models: [{ model: m, versions: [\"1\", \"2\", \"9\"] }]";
const DEAR: &str = "models: [{ model: m, versions: [\"9\"] }]";
const HELD: &str = "---\nkind: rollout\nname: r\nspec: { version: m@2, predecessor: \"1\", state: paused }";
const WITHDRAWN: &str = "---\nkind: rollout\nname: r\nspec: { version: m@2, predecessor: \"1\", state: withdrawn }";
const PROMOTED: &str = "---\nkind: rollout\nname: r\nspec: { version: m@2, predecessor: \"1\", state: promoted }";

fn proven() -> Case {
    case(ALL, "").rated("m@2", Stage::First, 97, 3).rated("m@9", Stage::First, 99, 1)
}

fn middling() -> Case {
    case(ALL, "").rated("m@2", Stage::First, 700, 300).rated("m@9", Stage::First, 970, 30).rated(
        "m@9",
        Stage::Escalated,
        900,
        100,
    )
}

chooses! {
    cheap_alone_where_it_meets_the_target: proven() => Ok(&["m@2"]);
    cascade_where_cheap_alone_does_not: middling() => Ok(&["m@2", "m@9"]);
    no_cascade_for_a_request_that_must_not_repeat: Case { repeat: Repeat::Never, ..middling() } => Ok(&["m@9"]);
    no_cascade_without_ratings: Case { rater: Rater::Down, ..middling() } => Ok(&["m@9"]);
    only_what_the_contract_allows: case(DEAR, "") => Ok(&["m@9"]);
    no_new_session_on_a_held_version: case(ALL, HELD).rated("m@1", Stage::First, 99, 1) => Ok(&["m@1"]);
    a_held_version_keeps_its_sessions: case(ALL, HELD).pinned(&[(0, "m@2")]).rated("m@2", Stage::First, 99, 1) => Ok(&["m@2"]);
    a_session_keeps_a_replaced_version: case(ALL, PROMOTED).pinned(&[(0, "m@1")]).rated("m@1", Stage::First, 99, 1) => Ok(&["m@1"]);
    a_promoted_version_takes_new_sessions: case(ALL, PROMOTED).rated("m@2", Stage::First, 99, 1) => Ok(&["m@2"]);
    withdrawal_beats_a_pin: case(ALL, WITHDRAWN).pinned(&[(0, "m@2")]).rated("m@1", Stage::First, 99, 1) => Ok(&["m@1"]);
    a_pin_past_the_contract_is_dropped: case(DEAR, "").pinned(&[(0, "m@1")]) => Ok(&["m@9"]);
    nothing_allowed_serves: case("models: [{ model: m, versions: [\"2\"] }]", WITHDRAWN) => Err(Refusal::NoVersion);
    model_not_in_the_contract: case("models: []", "") => Err(Refusal::ModelNotAllowed);
    nothing_fits_the_ceiling: Case { ceiling: Amount(1), ..proven() } => Err(Refusal::Budget { needed: Amount(2_000_000), left: Amount(1) });
    the_ceiling_forbids_the_cascade: Case { ceiling: Amount(20_000_000), ..middling() } => Ok(&["m@9"]);
    the_deadline_forbids_the_cascade: Case { left_ms: 1_500, ..middling() } => Ok(&["m@9"]);
}

/// Evidence from a peer stops a version before the configuration withdraws it. A
/// session pinned to the version is moved at once, and the reason names the version
/// that it left.
#[test]
fn a_stop_heard_from_a_peer_counts_at_once() {
    let mut case = case(ALL, "").pinned(&[(0, "m@2")]).rated("m@1", Stage::First, 99, 1);
    let before = case.choose().expect("some version may run");
    let rollout = world::rollout::Id::parse("r").expect("valid name");
    case.stops.insert(Stop { version: text("m@2"), rollout, reason: "errors".into() });

    let after = case.choose().expect("some version may run");
    assert_eq!(steps(&after), ["m@1"]);
    assert_eq!(after.reason().moved, [text("m@2")]);
    assert!(
        before
            .steps()
            .iter()
            .all(|step| step.version() != &text("m@2") || step.renew(&case.catalog, &case.stops).is_none())
    );
}

/// Both versions that a session is pinned to are stopped at once. The answer may come
/// from either tier, so the reason must name the version left in each tier that the
/// ladder uses, and none of other tiers.
#[test]
fn every_version_that_a_session_leaves_is_named() {
    let mut case = middling().pinned(&[(0, "m@1"), (1, "m@9")]);
    let cascade = steps(&case.choose().expect("some version may run"));
    assert_eq!(cascade, ["m@1", "m@9"]);
    let rollout = world::rollout::Id::parse("r").expect("valid name");
    for version in ["m@1", "m@9"] {
        case.stops.insert(Stop { version: text(version), rollout: rollout.clone(), reason: "errors".into() });
    }
    let after = case.choose().expect("some version may run");
    let tiers: Vec<u8> = after.steps().iter().map(route::model::Permit::tier).collect();
    let expected: Vec<_> = [(0, "m@1"), (1, "m@9")].iter().filter(|(tier, _)| tiers.contains(tier)).collect();
    let expected: Vec<_> = expected.into_iter().map(|(_, version)| text(version)).collect();
    assert_eq!(after.reason().moved, expected, "{:?}", steps(&after));
}

/// A version is withdrawn between the choice and the dispatch of its step. The
/// permit must not be renewed, otherwise the withdrawn version would run once more.
#[test]
fn a_permit_does_not_outlive_a_withdrawal() {
    let before = middling().choose().expect("some version may run");
    let later = case(ALL, WITHDRAWN);
    let renewed: Vec<_> =
        before.steps().iter().map(|step| step.renew(&later.catalog, &later.stops).is_some()).collect();
    assert_eq!(steps(&before), ["m@2", "m@9"]);
    assert_eq!(renewed, [false, true]);
}

#[test]
fn pins_keep_the_other_tiers_of_a_session() {
    let case = middling().pinned(&[(0, "m@1"), (1, "m@9")]).rated("m@1", Stage::First, 990, 10);
    let choice = case.choose().expect("some version may run");
    let pins: BTreeSet<_> = choice.pins(case.session.as_ref()).into_iter().map(|pin| pin.version.to_string()).collect();
    assert_eq!(steps(&choice), ["m@1"]);
    assert_eq!(pins, BTreeSet::from(["m@1".into(), "m@9".into()]));
}
