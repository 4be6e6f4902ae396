//! Reads that leave the buffer of the HTTP library at its smallest size.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

/// Most bytes that one read takes. The HTTP library doubles the buffer of a connection that fills it in
/// one read, up to its limit, and this is just too little for the smallest buffer.
const MAX_BYTES: u64 = (8 << 10) - 1;

/// Reads no more than leaves the buffer at its smallest size.
///
/// # Errors
///
/// Returns the error of the stream.
pub fn poll<S>(stream: &mut S, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>>
where
    S: AsyncRead + Unpin,
{
    Pin::new(&mut stream.take(MAX_BYTES)).poll_read(cx, buffer)
}
