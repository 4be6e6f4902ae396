//! Explanations one at a time, with pauses between them.
//!
//! An explanation copies the instance's state on the thread that serves requests. A pause in proportion
//! to that time bounds the part of the thread's time that explanations take, whatever the size of the
//! state and however often they are asked for.

use std::{future::poll_fn, pin::pin, time::Duration};

use tokio::{
    sync::Mutex,
    time::{Instant, sleep_until},
};

/// Pause after an explanation as a multiple of the time for which it kept the thread busy, so that
/// explanations take at most a part in eleven of the thread's time.
pub const PAUSE_PER_BUSY_TIME: u32 = 10;

/// Lets futures run in turn.
#[derive(Debug)]
pub struct Turns {
    /// When the next one may start.
    free_at: Mutex<Instant>,
}

impl Default for Turns {
    fn default() -> Self {
        Self { free_at: Mutex::new(Instant::now()) }
    }
}

impl Turns {
    /// Runs a future after the others and the pause that the last one requires. Time in which the
    /// future only waits requires none.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        let mut free_at = self.free_at.lock().await;
        sleep_until(*free_at).await;
        let mut future = pin!(future);
        let mut busy = Duration::ZERO;
        poll_fn(move |context| {
            let started = Instant::now();
            let poll = future.as_mut().poll(context);
            let ended = Instant::now();
            busy += ended.duration_since(started);
            // After each poll, since the future may be dropped before its end.
            *free_at = ended + busy * PAUSE_PER_BUSY_TIME;
            poll
        })
        .await
    }
}
