//! One write over all its tries, and what a read-back says about it.

use crate::{
    Error, Item, Settings,
    api::{Call, Fault},
    envelope::{self, Fate, Nonce},
};

/// What became of a write; each of them is certain.
#[derive(Debug, Clone)]
pub enum Write {
    /// Done. The item is the value written; another may have come since.
    Done(Item),
    /// The condition did not hold, nothing was changed.
    Lost {
        /// The version that stands there, 0 when the key is free.
        version: u64,
    },
}

impl Write {
    /// Whether it was done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }
}

/// One write over all its tries.
pub(crate) struct Attempt {
    pub(crate) call: Call,
    pub(crate) own: Nonce,
    pub(crate) base: Option<Nonce>,
    pub(crate) nonces: Vec<Nonce>,
}

/// What a read-back says.
pub(crate) enum Verdict {
    /// Certain.
    Settled(Write),
    /// Not done so far.
    Again,
    /// Cannot be told, now or later.
    Unknown,
}

impl Attempt {
    pub(crate) fn key(&self) -> &str {
        match &self.call {
            Call::Create { key, .. } | Call::Update { key, .. } | Call::Delete { key, .. } => key,
            _ => "",
        }
    }

    /// Judges by the object that stands now; see [`crate::envelope`].
    pub(crate) fn judge(&self, found: Option<Item>, settings: &Settings) -> Verdict {
        let Some(item) = found else {
            return match self.call {
                Call::Create { .. } => Verdict::Again,
                Call::Delete { .. } => Verdict::Settled(Write::Done(self.item(0, settings))),
                // Deleted since; ours may have come before that or not.
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
        // A short trail shows every write since the key was free, and the base
        // is not among them: it was freed since.
        let whole = item.nonces.len() < envelope::TRAIL;
        let fate = match self.call {
            // A created key's trail starts with its creation.
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

    /// Our write's version, as far as the present object tells: a later
    /// write hides it, and 0 then makes a further update on it lose at once.
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

/// The caller's view of a fault after which certainly nothing was done.
pub(crate) fn down(fault: &Fault) -> Error {
    let cause = match fault {
        Fault::Busy { .. } => "past its rate".to_owned(),
        Fault::Down { cause } | Fault::Lost { cause } => cause.clone(),
        Fault::Refused { message } => return Error::Refused { message: message.clone() },
    };
    Error::Down { cause }
}
