//! Objects are read whole, or refused with the line and the remedy.

use world::{
    Catalog,
    catalog::Standing,
    contract,
    model::Version,
    money::{Amount, Price},
    object::Object,
    request::Key,
};

const MODEL: &str = r#"
kind: model
name: summary
spec:
  versions:
    - { version: "3", price: { input: "0.20", output: "0.60", currency: EUR } }
    - { version: "4", price: { input: "0.20", output: "0.60", currency: EUR } }
"#;

fn rollout(state: &str) -> String {
    format!(
        "{MODEL}\n---\nkind: rollout\nname: r\nspec: {{ version: summary@4, predecessor: \"3\", steps: [0.1, 1.0], state: {state} }}\n"
    )
}

fn check_refused(text: &str, expected: &str) {
    let message = match Object::parse_file(text) {
        Err(error) => error.to_string(),
        Ok(objects) => {
            let faults = Catalog::build(1, objects).expect_err("the text is at fault");
            faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        }
    };
    assert!(message.contains(expected), "`{expected}` is not in:\n{message}");
}

macro_rules! refused {
    ($($name:ident: $text:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check_refused($text, $expected); })*
    };
}

refused! {
    unknown_kind_lists_the_known: "kind: contrakt\nname: a\nspec: {}" => "contract, model, rollout, pool, service";
    unknown_field_names_its_line: "kind: model\nname: m\nspec:\n  versions: []\n  wersions: []" => "line 5: unknown field `wersions`, did you mean `versions`?";
    unknown_word_lists_the_known: "kind: contract\nname: c\nspec:\n  objective: speed" => "line 4: unknown word; use one of cost, latency, exposure";
    missing_field_names_its_line: "kind: contract\nname: c\nspec:\n  keys: []" => "field `budget` is missing";
    unknown_field_of_the_envelope: "kind: model\nname: m\nspec: { versions: [] }\nspek: {}" => "line 4: unknown field `spek`, did you mean `spec`?";
    line_counts_from_the_file: &format!("{MODEL}---\nkind: model\nname: m\nspec: {{ bad: 1 }}") => "object at line 9";
    name_with_a_slash: "kind: model\nname: a/b\nspec: { versions: [] }" => "is not a name";
    price_without_currency: "kind: model\nname: m\nspec: { versions: [ { version: \"1\", price: { input: \"1\", output: \"1\" } } ] }" => "currency";
    contract_of_missing_version: &format!("{MODEL}---\nkind: contract\nname: c\nspec: {{ keys: [], models: [{{ model: summary, versions: [\"9\"] }}], budget: {{ amount: \"1\", currency: EUR, period: day }} }}") => "no version `9`";
    contract_in_other_currency: &format!("{MODEL}---\nkind: contract\nname: c\nspec: {{ keys: [], models: [{{ model: summary, versions: [\"3\"] }}], budget: {{ amount: \"1\", currency: PHP, period: day }} }}") => "priced in EUR";
    rollout_past_its_steps: &format!("{MODEL}---\nkind: rollout\nname: r\nspec: {{ version: summary@4, predecessor: \"3\", step: 9 }}") => "past the last step";
    rollout_of_itself: &format!("{MODEL}---\nkind: rollout\nname: r\nspec: {{ version: summary@4, predecessor: \"4\" }}") => "is the version itself";
    pool_of_missing_version: "kind: pool\nname: p\nspec: { domain: d, serves: { versions: [m@1] }, endpoints: [] }" => "no version `m@1`";
}

fn check_standing(state: &str, expected: &Standing) {
    let objects = Object::parse_file(&rollout(state)).expect("objects are well formed");
    let catalog = Catalog::build(1, objects).expect("objects fit each other");
    let version = Version::parse("summary@4").expect("a version");
    assert_eq!(catalog.standing(&version), *expected);
}

macro_rules! standing {
    ($($name:ident: $state:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check_standing($state, &$expected); })*
    };
}

standing! {
    loading_version_takes_nothing: "loading" => Standing::Held { rollout: "r".parse().unwrap() };
    exposing_version_takes_its_share: "exposing" => Standing::Exposed { share: 0.1, rollout: "r".parse().unwrap() };
    paused_version_takes_no_new_sessions: "paused" => Standing::Held { rollout: "r".parse().unwrap() };
    promoted_version_serves: "promoted" => Standing::Serving;
    withdrawn_version_is_out: "withdrawn" => Standing::Withdrawn;
}

#[test]
fn every_object_survives_the_platform() {
    for object in Object::parse_file(&rollout("exposing")).expect("objects are well formed") {
        assert_eq!(Object::from_json(&object.to_json()), Ok(object));
    }
}

#[test]
fn cost_rounds_up_and_never_overflows() {
    let price = |input| Price {
        input: Amount(input),
        output: Amount::ZERO,
        currency: "EUR".to_string().try_into().expect("a currency"),
    };
    assert_eq!(price(1).cost(1, 0), Amount(1));
    assert_eq!(price(2_000_000).cost(3, 0), Amount(6));
    assert_eq!(price(u64::MAX).cost(u64::MAX, 0), Amount(u64::MAX));
}

#[test]
fn amounts_are_exact_decimals() {
    assert_eq!(Amount::parse("1200.00"), Ok(Amount(1_200_000_000_000)));
    assert_eq!(Amount::parse("0.000000001"), Ok(Amount(1)));
    assert_eq!(Amount(1_500_000_000).to_string(), "1.50");
    for bad in ["", "-1", "1e3", "1.", ".5", "1.0000000001", "99999999999999999999"] {
        assert!(Amount::parse(bad).is_err(), "{bad} is no amount");
    }
}

#[test]
fn key_age_is_read_from_uuid_v7_only() {
    let made = Key::parse("01890a5d-ac96-774b-bcce-b302099a8057").expect("a key").made_at();
    assert_eq!(made.map(|t| t.0), Some(1_688_096_058_518));
    assert_eq!(Key::parse("order-17").expect("a key").made_at(), None);
}

/// The standard's own example, FIPS 180-4.
#[test]
fn key_is_kept_as_hex_sha256() {
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(contract::Key::of("abc").sha256, expected);
}
