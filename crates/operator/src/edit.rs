//! What operators change.

use world::{
    Millis,
    model::{self, Version},
    object::{Key, Kind, Object},
    rollout,
};

use crate::{Malformed, wire};

/// A change: edits that are made together or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Unique text; found again in the history when an answer is lost.
    pub id: String,
    /// Who changes.
    pub author: String,
    /// The edits, one per object.
    pub edits: Vec<Edit>,
}

/// One object's edit.
#[derive(Debug, Clone, PartialEq)]
pub struct Edit {
    /// Generation of the object's last change that was read; 0 for no such
    /// object; nothing for any.
    pub expected: Option<u64>,
    /// The edit.
    pub what: What,
}

/// What an edit does.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// Creates or replaces the object.
    Put(Object),
    /// Deletes the object.
    Delete(Key),
}

impl Edit {
    /// The object it is about.
    #[must_use]
    pub fn key(&self) -> Key {
        match &self.what {
            What::Put(object) => object.key(),
            What::Delete(key) => key.clone(),
        }
    }
}

/// What to do with a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Creates it.
    Start {
        /// The new version.
        version: Version,
        /// The version it replaces.
        predecessor: model::Number,
        /// Shares at each step; empty takes the default.
        steps: Vec<f64>,
        /// Least time at one step; nothing takes the default.
        step_ms: Option<Millis>,
    },
    /// Keeps its sessions, takes no new ones.
    Pause {
        /// Why, for people.
        reason: String,
    },
    /// Goes on after a pause.
    Resume,
    /// Replaces the predecessor at once.
    Promote,
    /// Stops for good.
    Withdraw {
        /// Why, for people.
        reason: String,
    },
}

impl From<&Key> for wire::ObjectKey {
    fn from(key: &Key) -> Self {
        Self { kind: key.kind.to_string(), name: key.name.clone() }
    }
}

impl TryFrom<wire::ObjectKey> for Key {
    type Error = Malformed;

    fn try_from(key: wire::ObjectKey) -> Result<Self, Malformed> {
        let kind: Kind = key.kind.parse().map_err(|e| Malformed::new("kind", &e))?;
        // Every kind's names share one alphabet.
        model::Id::parse(&key.name).map_err(|e| Malformed::new("name", &e))?;
        Ok(Self { kind, name: key.name })
    }
}

impl From<&Edit> for wire::Edit {
    fn from(edit: &Edit) -> Self {
        let what = match &edit.what {
            What::Put(object) => wire::edit::What::Put(encode(object)),
            What::Delete(key) => wire::edit::What::Delete(key.into()),
        };
        Self { expected: edit.expected, what: Some(what) }
    }
}

impl TryFrom<wire::Edit> for Edit {
    type Error = Malformed;

    fn try_from(edit: wire::Edit) -> Result<Self, Malformed> {
        let what = match edit.what.ok_or_else(|| Malformed::missing("what"))? {
            wire::edit::What::Put(object) => What::Put(decode(&object)?),
            wire::edit::What::Delete(key) => What::Delete(key.try_into()?),
        };
        Ok(Self { expected: edit.expected, what })
    }
}

impl From<&Change> for wire::ApplyRequest {
    fn from(change: &Change) -> Self {
        let edits = change.edits.iter().map(Into::into).collect();
        Self { edits, change: change.id.clone(), author: change.author.clone() }
    }
}

impl TryFrom<wire::ApplyRequest> for Change {
    type Error = Malformed;

    fn try_from(request: wire::ApplyRequest) -> Result<Self, Malformed> {
        if request.change.is_empty() {
            return Err(Malformed::missing("change"));
        }
        if request.edits.is_empty() {
            return Err(Malformed::new("edits", &"hold no edit"));
        }
        let edits = request.edits.into_iter().map(Edit::try_from).collect::<Result<Vec<_>, _>>()?;
        if let Some(key) = repeated(&edits) {
            return Err(Malformed::new("edits", &format!("hold {key} twice; keep one")));
        }
        Ok(Self { id: request.change, author: request.author, edits })
    }
}

/// An object that two edits are about.
fn repeated(edits: &[Edit]) -> Option<Key> {
    let mut keys: Vec<_> = edits.iter().map(Edit::key).collect();
    keys.sort();
    keys.windows(2).find(|pair| pair[0] == pair[1]).map(|pair| pair[0].clone())
}

impl From<&Action> for wire::rollout_request::Action {
    fn from(action: &Action) -> Self {
        match action {
            Action::Start { version, predecessor, steps, step_ms } => Self::Start(wire::Start {
                version: version.to_string(),
                predecessor: predecessor.to_string(),
                steps: steps.clone(),
                step_ms: *step_ms,
            }),
            Action::Pause { reason } => Self::Pause(wire::Pause { reason: reason.clone() }),
            Action::Resume => Self::Resume(wire::Resume {}),
            Action::Promote => Self::Promote(wire::Promote {}),
            Action::Withdraw { reason } => Self::Withdraw(wire::Withdraw { reason: reason.clone() }),
        }
    }
}

impl TryFrom<wire::rollout_request::Action> for Action {
    type Error = Malformed;

    fn try_from(action: wire::rollout_request::Action) -> Result<Self, Malformed> {
        use wire::rollout_request::Action as Wire;
        Ok(match action {
            Wire::Start(start) => Self::Start {
                version: Version::parse(&start.version).map_err(|e| Malformed::new("version", &e))?,
                predecessor: model::Number::parse(&start.predecessor).map_err(|e| Malformed::new("predecessor", &e))?,
                steps: start.steps,
                step_ms: start.step_ms,
            },
            Wire::Pause(pause) => Self::Pause { reason: pause.reason },
            Wire::Resume(_) => Self::Resume,
            Wire::Promote(_) => Self::Promote,
            Wire::Withdraw(withdraw) => Self::Withdraw { reason: withdraw.reason },
        })
    }
}

/// A roll-out's name out of a request.
///
/// # Errors
///
/// [`Malformed`] when it is no name.
pub(crate) fn rollout_name(text: &str) -> Result<rollout::Id, Malformed> {
    rollout::Id::parse(text).map_err(|e| Malformed::new("name", &e))
}

impl wire::RolloutRequest {
    /// The roll-out, what to do with it, and the change's id and author.
    ///
    /// # Errors
    ///
    /// [`Malformed`] for a bad name, version or a missing action.
    pub fn into_parts(self) -> Result<(rollout::Id, Action, Change), Malformed> {
        let name = rollout_name(&self.name)?;
        let action = self.action.ok_or_else(|| Malformed::missing("action"))?.try_into()?;
        if self.change.is_empty() {
            return Err(Malformed::missing("change"));
        }
        Ok((name, action, Change { id: self.change, author: self.author, edits: Vec::new() }))
    }
}

/// An object in its JSON form.
pub(crate) fn encode(object: &Object) -> bytes::Bytes {
    object.to_json().to_string().into_bytes().into()
}

pub(crate) fn decode(json: &[u8]) -> Result<Object, Malformed> {
    let value: serde_json::Value = serde_json::from_slice(json).map_err(|e| Malformed::new("object", &e))?;
    Object::from_json(&value).map_err(|e| Malformed::new("object", &e))
}
