//! Session handles: a session's pinned versions in signed form, stored by the caller.
//!
//! A handle is `s1.PAYLOAD.MAC`. The payload contains the customer, the session
//! and its pins; the MAC prevents a caller from forging a pin or using another
//! customer's handle. The instances store no state for such a session, and any
//! instance can serve its next request.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use world::{
    contract::Customer,
    session::{Id, Pin, Session},
};

use crate::{
    parsing::{decode_base64, encode_base64},
    problem::{Kind, Problem},
};

/// Prefix of every handle; a session name given by a caller must not start with it.
const PREFIX: &str = "s1.";

/// Keys that sign handles, the current one first.
///
/// While a key is being replaced both are listed, so that an instance with the old
/// settings accepts handles signed by an instance with the new ones.
#[derive(Clone)]
pub struct Keys(Vec<Vec<u8>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({} secret)", self.0.len())
    }
}

impl Keys {
    /// Creates the list of keys, the current one first; `None` if the list is empty or
    /// contains an empty key.
    #[must_use]
    pub fn new(keys: Vec<Vec<u8>>) -> Option<Self> {
        let usable = !keys.is_empty() && keys.iter().all(|key| !key.is_empty());
        usable.then_some(Self(keys))
    }
}

/// A session as identified by a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reference {
    /// A valid handle, which contains the pins.
    Handle {
        /// Identifier of the session.
        id: Id,
        /// The session with its pins.
        session: Session,
    },
    /// A name given by the caller; the pins are in the journal.
    CallerNamed(Id),
}

/// Payload of a handle.
#[derive(Debug, Serialize, Deserialize)]
struct Payload {
    /// Customer.
    c: Customer,
    /// Session.
    s: Id,
    /// Pins.
    p: Vec<Pin>,
}

/// Parses a session header and verifies a handle's signature.
///
/// # Errors
///
/// [`Kind::BadSession`] for a handle that is not signed with one of `keys` or belongs
/// to another customer, [`Kind::Malformed`] for a text that is not a valid name.
pub fn parse(keys: &Keys, customer: &Customer, text: &str) -> Result<Reference, Problem> {
    let Some(rest) = text.strip_prefix(PREFIX) else {
        let id = Id::parse(text).map_err(|invalid| Problem::not_run(Kind::Malformed, format!("session: {invalid}")))?;
        return Ok(Reference::CallerNamed(id));
    };
    let bad = || Problem::not_run(Kind::BadSession, "the handle was not made here, or was changed");
    let (payload, mac) = rest.split_once('.').ok_or_else(bad)?;
    let mac = decode_base64(mac).ok_or_else(bad)?;
    let signed = keys.0.iter().any(|key| new_mac(key, payload).verify_slice(&mac).is_ok());
    if !signed {
        return Err(bad());
    }
    let payload: Payload =
        decode_base64(payload).and_then(|bytes| serde_json::from_slice(&bytes).ok()).ok_or_else(bad)?;
    if payload.c != *customer {
        return Err(bad());
    }
    Ok(Reference::Handle { id: payload.s, session: Session { customer: payload.c, pins: payload.p } })
}

/// Creates and signs a session's handle.
#[must_use]
pub fn sign_handle(keys: &Keys, id: &Id, session: &Session) -> String {
    let payload = Payload { c: session.customer.clone(), s: id.clone(), p: session.pins.clone() };
    let payload = encode_base64(&serde_json::to_vec(&payload).unwrap_or_default());
    let mac = new_mac(&keys.0[0], &payload).finalize().into_bytes();
    format!("{PREFIX}{payload}.{}", encode_base64(&mac))
}

/// Returns the MAC state over a payload, to sign or verify it.
fn new_mac(key: &[u8], payload: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    mac.update(payload.as_bytes());
    mac
}
