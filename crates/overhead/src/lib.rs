//! Limits what a server sends besides the data of a body.
//!
//! The HTTP library limits a head, chunk extensions and trailers, but skips interim responses,
//! zeros before a chunk size and blanks after it, however many there are. A server that sends them
//! without end would be read until the deadline.

pub mod short_read;

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Longest head of an answer, in bytes: twice what operators allow callers. It is also the size of
/// a connection's read buffer, of which an instance with 4,000 descriptors may have 2,000 at a time.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of bytes that are received without any data of a body: many heads, and many
/// times what the buffers between the socket and the body hold.
const MAX_OVERHEAD_BYTES: usize = 256 << 10;

/// Number of bytes that a connection has received since data of a body was last taken.
#[derive(Debug, Clone, Default)]
pub struct Overhead(Arc<AtomicUsize>);

impl Overhead {
    /// Starts counting anew, as each request on a connection does.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Adds received bytes and returns whether they are too many.
    fn is_exceeded_by(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_OVERHEAD_BYTES
    }
}

/// A connection that fails when the server sends too much besides data.
#[derive(Debug)]
pub struct Limited {
    stream: TcpStream,
    overhead: Overhead,
}

impl Limited {
    /// Wraps a new connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, overhead: Overhead::default() }
    }

    /// Returns the count, for the body of the answer.
    #[must_use]
    pub fn overhead(&self) -> Overhead {
        self.overhead.clone()
    }
}

impl AsyncRead for Limited {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(short_read::poll(&mut self.stream, cx, buffer))?;
        let count = buffer.filled().len() - before;
        if self.overhead.is_exceeded_by(count) {
            return Poll::Ready(Err(io::Error::other("the server sends no data but goes on")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Limited {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of an answer. Taking data from it resets the count of its connection.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    overhead: Overhead,
}

impl AnswerBody {
    /// Wraps a body that is received over a connection with this count.
    #[must_use]
    pub fn new(body: Incoming, overhead: Overhead) -> Self {
        Self { body, overhead }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.overhead.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
