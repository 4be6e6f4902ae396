//! Wire forms of records, questions and replies (protocol buffers).
//!
//! Every enum of ours is a message of optional parts here, so that a member
//! that a newer build adds is skipped by an older one.

mod call;
mod convert;
mod message;

use std::fmt;

use prost::Message as _;

pub use call::{Request, decode_reply, decode_request, encode_reply, encode_request};
pub(crate) use message::Batch;

use crate::{bill::Bill, record::Record};

/// Why bytes are no message of ours.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid(pub String);

impl Invalid {
    fn missing(what: &str) -> Self {
        Self(format!("`{what}` is missing"))
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a journal message: {}; was it written by another program?", self.0)
    }
}

impl std::error::Error for Invalid {}

impl From<prost::DecodeError> for Invalid {
    fn from(error: prost::DecodeError) -> Self {
        Self(error.to_string())
    }
}

impl From<world::Invalid> for Invalid {
    fn from(invalid: world::Invalid) -> Self {
        Self(invalid.to_string())
    }
}

/// Records as bytes.
#[must_use]
pub fn encode_records(records: &[Record]) -> Vec<u8> {
    Batch { records: records.iter().map(Into::into).collect() }.encode_to_vec()
}

/// Records from bytes. Records of a kind that this build does not know are left out.
///
/// # Errors
///
/// [`Invalid`] when the bytes are no records.
pub fn decode_records(bytes: &[u8]) -> Result<Vec<Record>, Invalid> {
    let batch = Batch::decode(bytes)?;
    batch.records.into_iter().filter_map(|record| Option::<Record>::try_from(record).transpose()).collect()
}

/// Bytes one record adds to a segment, at most.
#[must_use]
pub fn encoded_len(record: &Record) -> usize {
    const TAG_AND_LENGTH: usize = 6;
    message::Record::from(record).encoded_len() + TAG_AND_LENGTH
}

/// A bill as bytes, the same for equal bills.
#[must_use]
pub fn encode_bill(bill: &Bill) -> Vec<u8> {
    message::Bill::from(bill).encode_to_vec()
}
