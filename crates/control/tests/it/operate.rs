//! Tests of which actions are accepted in which state of a roll-out.

use control::operate::{self, Action};
use world::{
    Catalog,
    model::{Number, Version},
    object::Object,
    rollout::{Id, Rollout, State},
};

const MODEL: &str = r#"
kind: model
name: m
spec:
  versions:
    - { version: "1", price: { input: "1", output: "1", currency: EUR } }
    - { version: "2", price: { input: "1", output: "1", currency: EUR } }
    - { version: "3", price: { input: "1", output: "1", currency: EUR } }
"#;

fn catalog(state: State) -> Catalog {
    let mut objects = Object::parse_file(MODEL).unwrap();
    let rollout = Rollout { state, ..Rollout::new(Version::parse("m@2").unwrap(), Number::parse("1").unwrap()) };
    objects.push(Object::Rollout(Id::parse("r").unwrap(), rollout));
    Catalog::build(1, objects).unwrap()
}

/// Checks the state that an action results in; `None` if it must be refused.
fn check(state: State, action: &Action, wanted: Option<State>) {
    let result = operate::resulting_object(&catalog(state), &Id::parse("r").unwrap(), action);
    let resulting_state = result.ok().map(|object| match object {
        Object::Rollout(_, rollout) => rollout.state,
        other => panic!("not a roll-out: {other:?}"),
    });
    assert_eq!(resulting_state, wanted, "{action:?} on a roll-out that is {state:?}");
}

#[test]
fn actions_by_state() {
    use State::{Exposing, Loading, Paused, Promoted, Withdrawn};
    let withdraw = Action::Withdraw { reason: "why".into() };
    for (state, pause, resume, promote, withdrawn) in [
        (Loading, Some(Paused), None, None, Some(Withdrawn)),
        (Exposing, Some(Paused), None, Some(Promoted), Some(Withdrawn)),
        (Paused, None, Some(Loading), Some(Promoted), Some(Withdrawn)),
        (Promoted, None, None, None, Some(Withdrawn)),
        (Withdrawn, None, None, None, None),
    ] {
        check(state, &Action::Pause, pause);
        check(state, &Action::Resume, resume);
        check(state, &Action::Promote, promote);
        check(state, &withdraw, withdrawn);
    }
}

#[test]
fn start_needs_a_free_name_and_tier() {
    let start = |state, name: &str, version: &str, predecessor: &str| {
        let (version, predecessor) = (Version::parse(version).unwrap(), Number::parse(predecessor).unwrap());
        operate::resulting_object(&catalog(state), &Id::parse(name).unwrap(), &Action::Start { version, predecessor })
    };
    assert!(matches!(start(State::Promoted, "r", "m@3", "2"), Err(operate::Error::Exists(_))));
    assert!(matches!(start(State::Exposing, "s", "m@3", "2"), Err(operate::Error::Busy(_))));
    assert!(matches!(start(State::Paused, "s", "m@3", "1"), Err(operate::Error::Busy(_))));
    assert!(start(State::Promoted, "s", "m@3", "2").is_ok());
    assert!(start(State::Withdrawn, "s", "m@3", "1").is_ok());
}
