//! Which moves of a session an answer has to tell of.

use world::{
    instance::{Id, Incarnation},
    model::Version,
    request::Key,
    session::{Left, Pin, Teller, replace, untold},
};

fn version(text: &str) -> Version {
    Version::parse(text).expect("a version")
}

fn key(text: &str) -> Key {
    Key::parse(text).expect("a key")
}

fn pin(tier: u8, text: &str) -> Pin {
    Pin { tier, version: version(text), left: None }
}

fn told(text: &str, instance: &str) -> Teller {
    Teller { request: key(text), instance: Id::parse(instance).expect("a name"), incarnation: Incarnation(1) }
}

/// Sessions bound as `before` move to `after` by request `mover`; `told` is whose
/// answer has told. What an answer to `request` says, which may come from any of
/// `answering`, with instance `lost` gone.
struct Case {
    before: &'static [(u8, &'static str)],
    after: &'static [(u8, &'static str)],
    told: Option<(&'static str, &'static str)>,
    request: &'static str,
    answering: &'static [&'static str],
}

fn check(case: &Case, expected: &[&str]) {
    let pins = |of: &[(u8, &str)]| of.iter().map(|(tier, text)| pin(*tier, text)).collect::<Vec<_>>();
    let mut moved = replace(pins(case.after), &pins(case.before), &key("mover"));
    for left in moved.iter_mut().filter_map(|pin| pin.left.as_mut()) {
        left.told = case.told.map(|(request, instance)| told(request, instance));
    }
    let answering: Vec<Version> = case.answering.iter().map(|text| version(text)).collect();
    let answering: Vec<&Version> = answering.iter().collect();
    let lives = |teller: &Teller| teller.instance.as_str() != "lost";
    let said: Vec<String> = untold(&moved, &answering, &key(case.request), lives).map(ToString::to_string).collect();
    assert_eq!(said, expected);
}

macro_rules! moves {
    ($($name:ident: $case:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check(&$case, &$expected); })*
    };
}

const BOTH: Case = Case {
    before: &[(0, "m@1"), (1, "m@8")],
    after: &[(0, "m@2"), (1, "m@9")],
    told: None,
    request: "next",
    answering: &["m@2", "m@9"],
};

// The request that moved the session was lost before its answer. The next answer
// tells, and may come from either tier. Whoever told is noted before the answer
// ends: its repeats are told again, and so is the next request when the instance
// that told is gone, since nobody knows whether the answer got through.
moves! {
    both_tiers_are_told: BOTH => ["m@1", "m@8"];
    tier_that_does_not_answer_is_left_for_later: Case { answering: &["m@2"], ..BOTH } => ["m@1"];
    later_tier_alone_is_told: Case { answering: &["m@9"], ..BOTH } => ["m@8"];
    told_once: Case { told: Some(("teller", "alive")), ..BOTH } => [""; 0];
    repeat_of_the_mover: Case { told: Some(("teller", "alive")), request: "mover", ..BOTH } => ["m@1", "m@8"];
    repeat_of_the_teller: Case { told: Some(("teller", "alive")), request: "teller", ..BOTH } => ["m@1", "m@8"];
    told_by_an_instance_that_is_lost: Case { told: Some(("teller", "lost")), ..BOTH } => ["m@1", "m@8"];
    tier_that_stayed: Case { after: &[(0, "m@2"), (1, "m@8")], answering: &["m@2", "m@8"], ..BOTH } => ["m@1"];
}

/// A session moves twice before its caller hears of it. The caller knows the first
/// version, so that has to be told too.
#[test]
fn session_that_moves_on_untold_has_left_both() {
    let once = replace(vec![pin(0, "m@2")], &[pin(0, "m@1")], &key("a"));
    let twice = replace(vec![pin(0, "m@3")], &once, &key("b"));
    let versions = |pins: &[Pin]| pins[0].left.as_ref().map(|left| left.versions.clone()).unwrap_or_default();
    assert_eq!(versions(&twice), [version("m@1"), version("m@2")]);

    let heard = Left { told: Some(told("a", "alive")), ..once[0].left.clone().expect("it moved") };
    let heard = [Pin { left: Some(heard), ..once[0].clone() }];
    let twice = replace(vec![pin(0, "m@3")], &heard, &key("b"));
    assert_eq!(versions(&twice), [version("m@2")]);
}
