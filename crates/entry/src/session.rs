//! Session handles: pinned versions that the caller keeps for us.
//!
//! A handle is `s1.PAYLOAD.MAC`. The payload names the customer, the session
//! and its pins; the MAC keeps a caller from making up a pin or using another
//! customer's handle. The fleet holds no state for such a session, and any
//! instance can serve its next request.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use world::{
    contract::Customer,
    session::{Id, Pin, Session},
};

use crate::{
    ask::{decode, encode},
    problem::{Kind, Problem},
};

/// Marks a handle; a caller's own name may not start with it.
const PREFIX: &str = "s1.";

/// The keys handles are signed with, the current one first.
///
/// While a key is replaced both are listed, so that handles signed by an
/// instance that has the new settings are taken by one that has the old.
#[derive(Clone)]
pub struct Keys(Vec<Vec<u8>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({} secret)", self.0.len())
    }
}

impl Keys {
    /// The keys, current one first; nothing when there is none.
    #[must_use]
    pub fn new(keys: Vec<Vec<u8>>) -> Option<Self> {
        let usable = !keys.is_empty() && keys.iter().all(|key| !key.is_empty());
        usable.then_some(Self(keys))
    }
}

/// A session as a request names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Named {
    /// A handle of ours, with its pins.
    Handle {
        /// The session's own name.
        id: Id,
        /// What it is pinned to.
        session: Session,
    },
    /// The caller's own name; its pins are in the journal.
    Caller(Id),
}

/// What a handle carries.
#[derive(Debug, Serialize, Deserialize)]
struct Payload {
    c: Customer,
    s: Id,
    p: Vec<Pin>,
}

/// Reads a session header.
///
/// # Errors
///
/// [`Kind::BadSession`] for a handle that is not ours or another customer's,
/// [`Kind::Malformed`] for a text that is no name.
pub fn read(keys: &Keys, customer: &Customer, text: &str) -> Result<Named, Problem> {
    let Some(rest) = text.strip_prefix(PREFIX) else {
        let id = Id::parse(text).map_err(|invalid| Problem::not_run(Kind::Malformed, format!("session: {invalid}")))?;
        return Ok(Named::Caller(id));
    };
    let bad = || Problem::not_run(Kind::BadSession, "the handle was not made here, or was changed");
    let (payload, mac) = rest.split_once('.').ok_or_else(bad)?;
    let mac = decode(mac).ok_or_else(bad)?;
    let signed = keys.0.iter().any(|key| signer(key, payload).verify_slice(&mac).is_ok());
    if !signed {
        return Err(bad());
    }
    let payload: Payload = decode(payload).and_then(|bytes| serde_json::from_slice(&bytes).ok()).ok_or_else(bad)?;
    if payload.c != *customer {
        return Err(bad());
    }
    Ok(Named::Handle { id: payload.s, session: Session { customer: payload.c, pins: payload.p } })
}

/// Makes a session's handle.
#[must_use]
pub fn handle(keys: &Keys, id: &Id, session: &Session) -> String {
    let payload = Payload { c: session.customer.clone(), s: id.clone(), p: session.pins.clone() };
    let payload = encode(&serde_json::to_vec(&payload).unwrap_or_default());
    let mac = signer(&keys.0[0], &payload).finalize().into_bytes();
    format!("{PREFIX}{payload}.{}", encode(&mac))
}

fn signer(key: &[u8], payload: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    mac.update(payload.as_bytes());
    mac
}
