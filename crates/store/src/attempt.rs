//! A write with all its tries, and the outcome that reading back shows.

use crate::{
    Error, Item, Settings,
    api::{Call, Fault},
    envelope::{self, Fate, Nonce},
};

/// Outcome of a write that is known for certain.
#[derive(Debug, Clone)]
pub enum Write {
    /// It was done. The item is the written value, which may have been replaced since.
    Done(Item),
    /// The condition did not hold, and nothing was changed.
    Lost {
        /// Current version of the object, 0 if there is none.
        version: u64,
    },
}

impl Write {
    /// Whether the write was done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }
}

/// A write with all its tries.
pub(crate) struct Attempt {
    pub(crate) call: Call,
    pub(crate) own: Nonce,
    pub(crate) base: Option<Nonce>,
    pub(crate) nonces: Vec<Nonce>,
}

/// Result of reading back after a lost answer.
pub(crate) enum Verdict {
    /// The outcome is certain.
    Settled(Write),
    /// The write has not taken effect so far; try again.
    Again,
    /// The outcome cannot be determined any more.
    Unknown,
}

impl Attempt {
    pub(crate) fn key(&self) -> &str {
        match &self.call {
            Call::Create { key, .. } | Call::Update { key, .. } | Call::Delete { key, .. } => key,
            _ => "",
        }
    }

    /// Determines the outcome from the current object; see [`crate::envelope`].
    pub(crate) fn judge(&self, found: Option<Item>, settings: &Settings) -> Verdict {
        let Some(item) = found else {
            return match self.call {
                Call::Create { .. } => Verdict::Again,
                Call::Delete { .. } => Verdict::Settled(Write::Done(self.item(0, settings))),
                // The object was deleted meanwhile, before or after this write.
                _ => Verdict::Unknown,
            };
        };
        let replaced = match self.call {
            Call::Update { version, .. } | Call::Delete { version, .. } => version,
            _ => 0,
        };
        if item.version == replaced {
            return Verdict::Again;
        }
        // A trail that is not full contains every write since the object was created. If
        // the base is not among them, the object was deleted meanwhile.
        let whole = item.nonces.len() < envelope::TRAIL;
        let fate = match self.call {
            // The trail of a created object starts with its creation.
            Call::Create { .. } if whole && !item.nonces.contains(&self.own) => Fate::Lost,
            Call::Delete { .. } if whole && self.base.is_some_and(|base| !item.nonces.contains(&base)) => Fate::Done,
            _ => envelope::fate(&item.nonces, self.own, self.base),
        };
        match fate {
            Fate::Done => Verdict::Settled(Write::Done(self.item(self.version_of(&item), settings))),
            Fate::Lost => Verdict::Settled(Write::Lost { version: item.version }),
            Fate::Unknown => Verdict::Unknown,
        }
    }

    /// Returns the version of this write if the current object shows it. If a later write
    /// hides it, returns 0, so that an update based on it loses at once.
    fn version_of(&self, item: &Item) -> u64 {
        if item.nonces.first() == Some(&self.own) { item.version } else { 0 }
    }

    pub(crate) fn item(&self, version: u64, settings: &Settings) -> Item {
        let body = match &self.call {
            Call::Create { value, .. } | Call::Update { value, .. } => envelope::open(value).map(|e| e.body),
            _ => None,
        };
        Item {
            key: self.key().into(),
            version,
            writer: settings.writer.clone(),
            body: body.unwrap_or_default(),
            nonces: self.nonces.clone(),
        }
    }

    pub(crate) fn failure(&self, in_doubt: bool, last: &Fault) -> Error {
        if in_doubt {
            return Error::Unknown { key: self.key().into() };
        }
        down(last)
    }
}

/// Converts a fault after which certainly nothing was done to the caller's error.
pub(crate) fn down(fault: &Fault) -> Error {
    let cause = match fault {
        Fault::Busy { .. } => "past its rate".to_owned(),
        Fault::Down { cause } | Fault::Lost { cause } => cause.clone(),
        Fault::Refused { message } => return Error::Refused { message: message.clone() },
    };
    Error::Down { cause }
}
