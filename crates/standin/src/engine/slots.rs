//! Slots, and who waits for one: by priority, then by coming.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

/// Runs in their slots and runs that wait.
#[derive(Debug)]
pub(super) struct Slots {
    limit: usize,
    queue: usize,
    running: usize,
    came: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// What became of asking for a slot.
#[derive(Debug)]
pub(super) enum Asked {
    /// It has one.
    Taken,
    /// It is told when it has one.
    Waiting(oneshot::Receiver<()>),
    /// The queue is full too.
    Full,
}

impl Slots {
    pub(super) fn new(limit: usize, queue: usize) -> Self {
        Self { limit, queue, running: 0, came: 0, waiting: BTreeMap::new() }
    }

    pub(super) fn running(&self) -> usize {
        self.running
    }

    pub(super) fn queued(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn ask(&mut self, priority: u8) -> Asked {
        if self.running < self.limit {
            self.running += 1;
            return Asked::Taken;
        }
        self.waiting.retain(|_, sender| !sender.is_closed());
        if self.waiting.len() >= self.queue {
            return Asked::Full;
        }
        self.came += 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert((priority, self.came), sender);
        Asked::Waiting(receiver)
    }

    /// Gives a slot back: the first that still waits takes it over.
    pub(super) fn free(&mut self) {
        while let Some((_, sender)) = self.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        self.running -= 1;
    }
}
