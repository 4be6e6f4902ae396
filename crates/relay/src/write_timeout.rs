//! Closes connections whose caller takes nothing for a long time.
//!
//! A response is kept in memory until its caller has taken it. A caller that stops reading without
//! closing its connection would keep the memory for as long as it likes. A request therefore sets
//! how long its connection may stand still; a caller that reads slowly is not affected. If memory
//! runs out before, those that have stood still for longest are disconnected first, one at a time, and
//! no further ones than the memory takes.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use futures::task::AtomicWaker;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use crate::{clock, log_limit::LogLimit};

/// Shortest time limit: a network that loses some packets in a row makes a connection stand still
/// for a second.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a connection must have stood still before it is closed for lack of memory. One
/// that has lost a packet goes on sooner.
const MIN_STALL: Duration = Duration::from_millis(800);

/// Interval in which it is looked whether a connection still stands still: several times within the
/// shortest stall for which one is closed.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Callers that take nothing, the one that has done so for longest first.
#[derive(Debug, Default)]
pub struct StalledCallers {
    callers: Mutex<Vec<StalledCaller>>,
    log: LogLimit,
}

#[derive(Debug)]
struct StalledCaller {
    since: Duration,
    connection: Arc<Connection>,
}

impl StalledCallers {
    /// Has the caller that has taken nothing for longest disconnected unless it takes something now;
    /// `None` if none has stood still for long enough.
    pub fn disconnect_longest(&self) -> Option<Arc<Connection>> {
        let mut callers = self.lock();
        if callers.first().is_none_or(|caller| clock::now() < caller.since + MIN_STALL) {
            return None;
        }
        let connection = callers.remove(0).connection;
        connection.is_unwanted.store(true, Ordering::Relaxed);
        connection.waker.wake();
        Some(connection)
    }

    fn add(&self, connection: &Arc<Connection>) {
        self.lock().push(StalledCaller { since: clock::now(), connection: Arc::clone(connection) });
    }

    fn remove(&self, connection: &Arc<Connection>) {
        self.lock().retain(|caller| !Arc::ptr_eq(&caller.connection, connection));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<StalledCaller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a connection and the requests on it share.
#[derive(Debug, Default)]
pub struct Connection {
    /// Time limit in milliseconds; 0 if no request has set one.
    limit_ms: AtomicU64,
    /// Whether the connection is closed for lack of memory, unless its caller takes something.
    is_unwanted: AtomicBool,
    /// Task that serves the connection while it stands still.
    waker: AtomicWaker,
    /// Where the connection is listed while it stands still.
    stalled_callers: Mutex<Arc<StalledCallers>>,
}

impl Connection {
    /// Whether the connection is still to be closed for lack of memory.
    pub fn is_unwanted(&self) -> bool {
        self.is_unwanted.load(Ordering::Relaxed)
    }
}

/// Time limit of a connection, as set by the requests on it; there is none at first.
#[derive(Debug, Clone, Default)]
pub struct WriteTimeout(Arc<Connection>);

impl WriteTimeout {
    /// Sets the time limit, and where the connection is listed while it stands still.
    pub fn set(&self, limit: Duration, stalled_callers: &Arc<StalledCallers>) {
        let millis = u64::try_from(limit.max(MIN_TIMEOUT).as_millis()).unwrap_or(u64::MAX);
        self.0.limit_ms.store(millis, Ordering::Relaxed);
        *self.list() = Arc::clone(stalled_callers);
    }

    fn limit(&self) -> Option<Duration> {
        let millis = self.0.limit_ms.load(Ordering::Relaxed);
        (millis > 0).then(|| Duration::from_millis(millis))
    }

    fn list(&self) -> MutexGuard<'_, Arc<StalledCallers>> {
        self.0.stalled_callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that fails when its peer takes nothing within the time limit.
#[derive(Debug)]
pub struct TimedStream {
    stream: TcpStream,
    timeout: WriteTimeout,
    /// Time limit of the current stall.
    stall: Option<Stall>,
}

/// A stall of a connection, listed until it is dropped.
#[derive(Debug)]
struct Stall {
    /// Rest of the time limit.
    left: Pin<Box<Sleep>>,
    /// Time until it is looked whether the peer has taken anything.
    next_look: Pin<Box<Sleep>>,
    connection: Arc<Connection>,
    listed_in: Arc<StalledCallers>,
}

impl Stall {
    fn new(timeout: &WriteTimeout, limit: Duration) -> Self {
        let listed_in = Arc::clone(&timeout.list());
        listed_in.add(&timeout.0);
        let (left, next_look) = (Box::pin(sleep(limit)), Box::pin(sleep(LOOK_INTERVAL)));
        Self { left, next_look, connection: Arc::clone(&timeout.0), listed_in }
    }
}

impl Drop for Stall {
    fn drop(&mut self) {
        self.listed_in.remove(&self.connection);
    }
}

impl TimedStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, timeout: WriteTimeout) -> Self {
        Self { stream, timeout, stall: None }
    }

    /// Waits for the end of the time limit while `bytes` cannot be written.
    ///
    /// A connection is reported as writable only when a third of its send buffer is free, which may
    /// be megabytes. So the buffer is filled before the time begins, and whether the peer has taken
    /// anything since is seen by whether some of `bytes` fit in, which is looked at from time to time.
    fn poll_stalled(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Some(limit) = self.timeout.limit().filter(|_| !bytes.is_empty()) else { return Poll::Pending };
        let connection = &self.timeout.0;
        connection.waker.register(cx.waker());
        let is_unwanted = connection.is_unwanted.load(Ordering::Relaxed);
        let mut is_over = is_unwanted;
        if let Some(stall) = self.stall.as_mut().filter(|_| !is_unwanted) {
            is_over = stall.left.as_mut().poll(cx).is_ready();
            if !is_over {
                ready!(stall.next_look.as_mut().poll(cx));
            }
        }
        match SockRef::from(&self.stream).send(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => {
                self.end_stall();
                return Poll::Ready(result);
            }
        }
        if self.stall.is_some() && is_over {
            let reason = if is_unwanted { "memory is needed for others" } else { "its time is over" };
            return Poll::Ready(Err(give_up(reason, &self.timeout.list().log)));
        }
        if self.stall.is_none() {
            connection.is_unwanted.store(false, Ordering::Relaxed);
        }
        let stall = self.stall.get_or_insert_with(|| Stall::new(&self.timeout, limit));
        stall.next_look.as_mut().reset(Instant::now() + LOOK_INTERVAL);
        // Both wake the task. One that is over already would not.
        if stall.left.as_mut().poll(cx).is_ready() || stall.next_look.as_mut().poll(cx).is_ready() {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    /// Returns the result of a write, or waits for the time limit if there is none yet.
    fn finish(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if written.is_pending() {
            return self.poll_stalled(cx, bytes);
        }
        self.end_stall();
        written
    }

    /// Has the connection reset rather than closed in an orderly way.
    pub fn reset_when_dropped(&self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "connection is closed in an orderly way");
        }
    }

    /// Notes that the peer has taken something.
    fn end_stall(&mut self) {
        if self.stall.take().is_some() {
            self.timeout.0.is_unwanted.store(false, Ordering::Relaxed);
        }
    }
}

/// Logs and counts that a caller is disconnected.
fn give_up(reason: &'static str, log: &LogLimit) -> io::Error {
    metrics::counter!("relay_stalled_callers_total").increment(1);
    if log.admits() {
        tracing::info!(reason, unlogged = log.take_suppressed(), "caller takes nothing, connection closed");
    }
    io::ErrorKind::TimedOut.into()
}

impl AsyncRead for TimedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.finish(cx, written, bytes)
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
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.finish(cx, written, first.map_or(&[], |slice| slice))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
