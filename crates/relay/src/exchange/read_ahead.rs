//! Receives a stream ahead of its caller.
//!
//! A caller may read more slowly than an endpoint writes. If the stream were received at the
//! caller's pace, its run would occupy a slot of the endpoint for as long as the caller takes. So a
//! task of its own receives the stream into memory, and the run ends when the endpoint has ended it.
//! The response consists of the same frames in the same order.
//!
//! The memory of all streams together is a part of the memory for bodies, and one stream takes no
//! more of it than it leaves to others. A frame counts until it is written to the caller. A stream
//! that has used up its share is received at its caller's pace, until its deadline. Dropping the
//! response, as happens when the caller disconnects, ends the task and cancels the run.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use hyper::body::{Body, Frame};
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    clock,
    dispatcher::{Dispatcher, ReadAheadMemory},
};

/// Time after which a stream without memory tries to reserve some again, since others may have
/// released theirs.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Body of a response whose stream is received ahead of the caller.
#[derive(Debug)]
pub struct ReadAhead {
    queue: Arc<Queue>,
    receiving: AbortOnDropHandle<io::Result<()>>,
    /// How the stream ended, once it has.
    end: Option<io::Result<()>>,
}

impl ReadAhead {
    /// Starts to receive a stream, which may wait for memory until `limit`.
    pub fn spawn(
        dispatcher: &Arc<Dispatcher>,
        limit: Duration,
        frames: impl Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
    ) -> Self {
        let queue = Arc::new(Queue::new(dispatcher.reserve_read_ahead_memory()));
        let receiving = AbortOnDropHandle::new(tokio::spawn(receive(frames, Arc::clone(&queue), limit)));
        Self { queue, receiving, end: None }
    }

    /// Notes how the stream ended.
    fn poll_end(&mut self, cx: &mut Context<'_>) {
        if self.end.is_some() {
            return;
        }
        if let Poll::Ready(end) = Pin::new(&mut self.receiving).poll(cx) {
            self.end = Some(end.unwrap_or_else(|error| Err(io::Error::other(error))));
        }
    }
}

impl Body for ReadAhead {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        // Before the queue: frames that arrive in between are in it, and not lost.
        self.poll_end(cx);
        if let Some(frame) = self.queue.pop() {
            return Poll::Ready(Some(Ok(Frame::data(frame))));
        }
        if let Some(end) = self.end.take() {
            self.end = Some(Ok(()));
            return Poll::Ready(end.err().map(Err));
        }
        if self.queue.wake_when_filled(cx) { Poll::Pending } else { self.poll_frame(cx) }
    }
}

/// Receives frames until the stream ends, or there is no memory for one at `limit`. The caller gets those
/// that were received.
async fn receive(
    frames: impl Stream<Item = io::Result<Frame<Bytes>>> + Send,
    queue: Arc<Queue>,
    limit: Duration,
) -> io::Result<()> {
    let mut frames = std::pin::pin!(frames);
    while let Some(frame) = frames.next().await {
        if let Ok(bytes) = frame?.into_data()
            && !queue.push(bytes, limit).await
        {
            tracing::info!("stream ended at its deadline, as its caller has not taken what was received");
            metrics::counter!("relay_streams_broken_off_total").increment(1);
            return Err(io::Error::other("no memory was left for the stream until its deadline"));
        }
    }
    Ok(())
}

/// Frames that were received and not taken by the caller yet.
#[derive(Debug)]
struct Queue {
    state: Mutex<State>,
    memory: ReadAheadMemory,
}

#[derive(Debug, Default)]
struct State {
    /// Each holds its memory until it is dropped.
    frames: VecDeque<Bytes>,
    /// Task that waits for a frame.
    waiting: Option<Waker>,
}

impl Queue {
    fn new(memory: ReadAheadMemory) -> Self {
        Self { state: Mutex::default(), memory }
    }

    /// Adds a frame and returns true, and waits first until there is memory for it. Returns false if
    /// there is none until `limit`.
    async fn push(&self, bytes: Bytes, limit: Duration) -> bool {
        let held = loop {
            if let Some(held) = self.memory.hold(&bytes) {
                break held;
            }
            let left = limit.saturating_sub(clock::now());
            if left.is_zero() {
                return false;
            }
            // The end of the wait needs no notice: the memory is checked again in any case.
            let _ = timeout(RETRY_INTERVAL.min(left), self.memory.wait_for_release()).await;
        };
        let mut state = self.lock();
        state.frames.push_back(held);
        if let Some(waiting) = state.waiting.take() {
            waiting.wake();
        }
        true
    }

    /// Takes the first frame.
    fn pop(&self) -> Option<Bytes> {
        self.lock().frames.pop_front()
    }

    /// Wakes a task when there is a frame; returns false if there is one already.
    fn wake_when_filled(&self, cx: &Context<'_>) -> bool {
        let mut state = self.lock();
        if !state.frames.is_empty() {
            return false;
        }
        state.waiting = Some(cx.waker().clone());
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic ends one stream at worst, and must not end those who look at it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
