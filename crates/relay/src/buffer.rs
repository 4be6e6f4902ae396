//! Reads whole bodies of answers into memory.
//!
//! An answer for a caller is held in blocks: one buffer would have to grow, and hold up to three times its
//! bytes meanwhile.

use std::fmt;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::{
    dispatcher::Reservation,
    payload::{self, Payload},
};

/// Why a body was not read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// It broke off or was malformed.
    Broken(String),
    /// It is longer than allowed.
    TooLong,
    /// The memory for bodies is used up.
    Memory,
    /// It did not end in time.
    Unfinished,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(cause) => f.write_str(cause),
            Self::TooLong => f.write_str("the answer is too long to buffer"),
            Self::Memory => f.write_str("no memory is left for the answer"),
            Self::Unfinished => f.write_str("the answer did not end in time"),
        }
    }
}

/// Bytes whose memory is reserved until they are dropped, which is when a caller has taken them.
struct Reserved {
    bytes: Vec<u8>,
    _memory: Option<Reservation>,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of up to `max_bytes` bytes into blocks, whose memory is reserved in `memory` until a
/// caller has taken them.
///
/// # Errors
///
/// Returns the [`Fault`] that ended the reading; the body is given up as soon as it is known.
pub async fn read_blocks<B>(mut body: B, max_bytes: usize, mut memory: Reservation) -> Result<Payload, Fault>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let announced = announced_length(&body, max_bytes)?;
    let mut whole = payload::Builder::new(announced);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(|error| Fault::Broken(error.to_string()))?.into_data() else { continue };
        if whole.len() + data.len() > max_bytes {
            return Err(Fault::TooLong);
        }
        while !data.is_empty() {
            if let Some(block) = whole.next_block() {
                if !memory.grow_within_share(block) {
                    return Err(Fault::Memory);
                }
                whole.add_block(block);
            }
            whole.fill(&mut data);
        }
    }
    Ok(whole.finish().holding(memory))
}

/// Returns the length of a body if it is announced.
fn announced_length(body: &impl Body, max_bytes: usize) -> Result<Option<usize>, Fault> {
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(Fault::TooLong);
    }
    Ok(body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok()))
}

/// Reads a body of up to `max_bytes` bytes into one buffer, and accounts for it in `memory` if that is given.
///
/// The body is copied into one buffer. A list of its pieces would take many times its length if a
/// server sent it in chunks of one byte.
///
/// # Errors
///
/// Returns the [`Fault`] that ended the reading; the body is given up as soon as it is known.
pub async fn read<B>(mut body: B, max_bytes: usize, mut memory: Option<Reservation>) -> Result<Bytes, Fault>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    announced_length(&body, max_bytes)?;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|error| Fault::Broken(error.to_string()))?.into_data() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(Fault::TooLong);
        }
        if memory.as_mut().is_some_and(|memory| !memory.grow_within_share(data.len())) {
            return Err(Fault::Memory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(Reserved { bytes, _memory: memory }))
}
