//! Responses that were handed to a connection and have not been written to its socket yet.
//!
//! A connection takes a whole response at once, and its caller may read it slowly. The request counts as
//! in flight until the last byte is with the operating system, which goes on sending when the process has
//! ended. So an instance that leaves does not end while it still has bytes of a response.
//!
//! A response without a length to a caller that knows no chunks ends with its connection. If it does not come to its
//! end, the connection is reset: an orderly close would make it look whole.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{Response, Version};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{answer::Body, connections, dispatcher::InFlight, write_timeout::TimedStream};

/// Requests of one connection whose responses it holds.
#[derive(Debug, Clone, Default)]
pub struct Unsent(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Requests whose responses the connection has taken.
    requests: Vec<InFlight>,
    /// Number of responses that the connection is still taking.
    open: usize,
    /// Whether a response was given to the connection since it last had written all.
    has_response: bool,
    /// Whether a response that ends with the connection has not come to its end.
    is_unended: bool,
}

impl Unsent {
    /// Has a request of an HTTP version count as in flight until its response has been written.
    pub fn track(&self, response: Response<Body>, version: Version, request: InFlight) -> Response<Body> {
        let mut state = self.lock();
        state.open += 1;
        state.is_unended =
            version < Version::HTTP_11 && hyper::body::Body::size_hint(response.body()).exact().is_none();
        drop(state);
        response.map(|body| Tracked { body, request: Some(request), unsent: self.clone() }.boxed_unsync())
    }

    /// Records that the connection is given a response.
    pub fn record_response(&self) {
        self.lock().has_response = true;
    }

    /// Records that the connection has written all that it holds, and returns whether a whole response
    /// was written with it.
    fn record_written(&self) -> bool {
        let mut state = self.lock();
        state.requests.clear();
        state.open == 0 && std::mem::take(&mut state.has_response)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body whose request is in flight.
struct Tracked {
    body: Body,
    request: Option<InFlight>,
    unsent: Unsent,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        // The connection has taken the last bytes, or is gone and drops what it holds.
        let mut state = self.unsent.lock();
        state.open -= 1;
        state.requests.extend(self.request.take());
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.unsent.lock().is_unended = false;
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

/// A connection that knows which responses it has not written yet, and ends when it is closed for others.
#[derive(Debug)]
pub struct Connection {
    stream: TimedStream,
    unsent: Unsent,
    handle: connections::Handle,
}

impl Connection {
    /// Wraps a connection; `unsent` receives the requests whose responses were handed to it.
    #[must_use]
    pub fn new(stream: TimedStream, unsent: Unsent, handle: connections::Handle) -> Self {
        Self { stream, unsent, handle }
    }
}

fn closed() -> Poll<io::Result<()>> {
    Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
}

impl AsyncRead for Connection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.handle.poll_closed(cx) {
            return closed();
        }
        let before = buffer.filled().len();
        ready!(overhead::short_read::poll(&mut self.stream, cx, buffer))?;
        let count = buffer.filled().len() - before;
        self.handle.received(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
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

    /// The HTTP implementation flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.handle.poll_closed(cx) {
            return closed();
        }
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.unsent.record_written() {
            self.handle.end_request();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.unsent.lock().is_unended {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.unsent.lock().is_unended {
            self.stream.reset_when_dropped();
        }
    }
}
