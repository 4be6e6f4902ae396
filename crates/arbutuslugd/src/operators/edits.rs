//! Operators' edits as the configuration takes them.

use std::collections::BTreeMap;

use config::{Conflict, Error, Expected, Revision};
use operator::{Action, Applied, Edit, Fault, Outcome, What};
use world::{
    Catalog, Timestamp,
    object::{Key, Object},
    rollout,
};

/// An edit in the configuration's terms.
pub(super) fn to_config(edit: Edit) -> config::Edit {
    let expected = match edit.expected {
        None => Expected::Any,
        Some(0) => Expected::Absent,
        Some(generation) => Expected::At(generation),
    };
    match edit.what {
        What::Put(object) => config::Edit::Put(object, expected),
        What::Delete(key) => config::Edit::Delete(key, expected),
    }
}

/// What became of a change, in operators' terms.
///
/// # Errors
///
/// A refusal that is about no object: the platform is down, say.
pub(super) fn outcome(result: Result<config::Applied, Error>, changed: Vec<Key>) -> Result<Outcome, Error> {
    match result {
        Ok(applied) => {
            let changed = if applied.changed { changed } else { Vec::new() };
            Ok(Outcome::Applied(Applied { generation: applied.generation, changed }))
        }
        Err(Error::Invalid(faults)) => Ok(Outcome::Refused(faults.iter().map(fault).collect())),
        Err(Error::Conflict(conflict)) => Ok(Outcome::Conflict(self::conflict(*conflict))),
        Err(error @ Error::Unknown { .. }) => Ok(Outcome::Unknown { message: error.to_string() }),
        Err(error) => Err(error),
    }
}

/// What edits would do to a catalog: what is wrong, and the keys they change.
pub(super) fn check(catalog: &Catalog, revision: impl Fn(&Key) -> Option<Revision>, edits: Vec<Edit>) -> Checked {
    let mut objects: BTreeMap<Key, Object> = catalog.objects().map(|object| (object.key(), object)).collect();
    let mut checked = Checked::default();
    for edit in edits {
        let key = edit.key();
        if let Some(fault) = stale(&edit, objects.contains_key(&key), revision(&key)) {
            checked.faults.push(fault);
        }
        let changed = match edit.what {
            What::Put(object) => objects.insert(key.clone(), object.clone()).as_ref() != Some(&object),
            What::Delete(_) => objects.remove(&key).is_some(),
        };
        checked.changed.extend(changed.then_some(key));
    }
    if let Err(faults) = Catalog::build(catalog.generation() + 1, objects.into_values()) {
        checked.faults.extend(faults.iter().map(fault));
    }
    checked
}

/// What edits would do.
#[derive(Debug, Default)]
pub(super) struct Checked {
    pub(super) faults: Vec<Fault>,
    pub(super) changed: Vec<Key>,
}

/// A roll-out's edit, conditional on the roll-out as it is in force here.
///
/// # Errors
///
/// A refusal that names the remedy.
pub(super) fn rollout(
    catalog: &Catalog,
    revision: Option<&Revision>,
    name: &rollout::Id,
    action: &Action,
) -> Result<config::Edit, Fault> {
    let object = control::operate::resulting_object(catalog, name, &to_control(action));
    let key = Key { kind: world::object::Kind::Rollout, name: name.to_string() };
    let mut object = object.map_err(|error| Fault { object: key, message: error.to_string() })?;
    if let Object::Rollout(_, rollout) = &mut object {
        refine(rollout, action);
    }
    let exists = catalog.rollouts().contains_key(name);
    let expected = match revision {
        Some(revision) if exists => Expected::At(revision.generation),
        _ => Expected::Absent,
    };
    Ok(config::Edit::Put(object, expected))
}

fn to_control(action: &Action) -> control::operate::Action {
    use control::operate::Action as Control;
    match action {
        Action::Start { version, predecessor, .. } => {
            Control::Start { version: version.clone(), predecessor: predecessor.clone() }
        }
        Action::Pause { .. } => Control::Pause,
        Action::Resume => Control::Resume,
        Action::Promote => Control::Promote,
        Action::Withdraw { reason } => Control::Withdraw { reason: reason.clone() },
    }
}

/// Sets what only the operator knows.
fn refine(rollout: &mut rollout::Rollout, action: &Action) {
    match action {
        Action::Start { steps, step_ms, .. } => {
            if !steps.is_empty() {
                rollout.steps.clone_from(steps);
            }
            rollout.step_ms = step_ms.unwrap_or(rollout.step_ms);
        }
        Action::Pause { reason } => rollout.reason = Some(reason.clone()),
        Action::Resume | Action::Promote | Action::Withdraw { .. } => {}
    }
}

fn stale(edit: &Edit, exists: bool, revision: Option<Revision>) -> Option<Fault> {
    let found = if exists { revision.map_or(0, |revision| revision.generation) } else { 0 };
    let expected = edit.expected.filter(|expected| *expected != found)?;
    let message = format!("was read at generation {expected} and stands at {found}; read it again");
    Some(Fault { object: edit.key(), message })
}

fn fault(fault: &world::catalog::Fault) -> Fault {
    Fault { object: fault.object.clone(), message: format!("field `{}`: {}", fault.field, fault.message) }
}

fn conflict(conflict: Conflict) -> operator::Conflict {
    let Conflict { object, expected, found, exists } = conflict;
    let expected = match expected {
        Expected::Any | Expected::Absent => 0,
        Expected::At(generation) => generation,
    };
    let (generation, author, at) =
        found.map_or((0, String::new(), Timestamp::default()), |found| (found.generation, found.author, found.at));
    operator::Conflict { object, expected, found: if exists { generation } else { 0 }, author, at }
}
