//! Sessions: a caller's requests that stay on one version.

use serde::{Deserialize, Serialize};

use crate::{contract::Customer, instance, model, request};

crate::name::name!(
    /// A session's name, given by the caller.
    Id
);

/// The versions a session is pinned to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Whose session.
    pub customer: Customer,
    /// Its pins, one per model and tier.
    pub pins: Vec<Pin>,
}

/// One pinned version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The step of the cascade.
    pub tier: u8,
    /// The version of that step.
    pub version: model::Version,
    /// What was left for this version, where the journal keeps the pin.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<Left>,
}

/// What a session was moved off.
///
/// The move is bound before the request that caused it is answered. If that
/// answer is lost, the caller still believes the session to be on the old
/// version; so whoever serves it next has to tell, until an answer has told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Left {
    /// The old versions: several if the session moved again before its caller
    /// was told.
    pub versions: Vec<model::Version>,
    /// The request that moved the session.
    pub by: request::Key,
    /// Whose answer has told the caller.
    pub told: Option<Teller>,
}

/// An answer that told of a move, and who gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Teller {
    /// The request.
    pub request: request::Key,
    /// The instance that answered.
    pub instance: instance::Id,
    /// Which run of it.
    pub incarnation: instance::Incarnation,
}

impl Left {
    /// Whether the answer to a request has to tell of the move.
    ///
    /// An answer is noted as having told before it ends. It may be lost after
    /// that: so a repeat of its request is told again, and so is the next request
    /// if the instance that answered has ended since. A caller that had heard all
    /// the same is told once more.
    #[must_use]
    pub fn concerns(&self, request: &request::Key, lives: impl Fn(&Teller) -> bool) -> bool {
        let Some(told) = &self.told else { return true };
        self.by == *request || told.request == *request || !lives(told)
    }
}

/// Versions that a session left and that an answer to `request` has to tell of,
/// which may come from any of `answering`.
///
/// Of every one of them, since a later step of a cascade may answer: told of the
/// first alone, the caller would find the session moved without a word.
pub fn untold<'a>(
    pins: &'a [Pin],
    answering: &[&model::Version],
    request: &request::Key,
    lives: impl Fn(&Teller) -> bool,
) -> impl Iterator<Item = &'a model::Version> {
    let answers = |pin: &&Pin| answering.contains(&&pin.version);
    let left = pins.iter().filter(answers).filter_map(|pin| pin.left.as_ref());
    left.filter(move |left| left.concerns(request, &lives)).flat_map(|left| &left.versions)
}

/// Notes on `pins` which of the versions `before` they replace, and for whom.
#[must_use]
pub fn replace(pins: Vec<Pin>, before: &[Pin], by: &request::Key) -> Vec<Pin> {
    let note = |mut pin: Pin| {
        let same = |old: &&Pin| old.tier == pin.tier && old.version.model == pin.version.model;
        let Some(old) = before.iter().find(same) else { return pin };
        pin.left = if old.version == pin.version { old.left.clone() } else { Some(leave(old, by)) };
        pin
    };
    pins.into_iter().map(note).collect()
}

/// What a session leaves with a pin; what its caller has not heard of yet is left
/// as well.
fn leave(old: &Pin, by: &request::Key) -> Left {
    let untold = old.left.as_ref().filter(|left| left.told.is_none());
    let mut versions = untold.map(|left| left.versions.clone()).unwrap_or_default();
    versions.push(old.version.clone());
    Left { versions, by: by.clone(), told: None }
}
