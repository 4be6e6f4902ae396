//! A fake engine: a batch of slots, a queue by priority, a small prefix cache.

use std::collections::{BTreeSet, VecDeque};

use world::Millis;

/// Prefixes an engine's cache holds.
const CACHED: usize = 40;
/// Time to read a prompt whose prefix is not cached, and one whose is.
const PREFILL_MS: Millis = 600;
const CACHED_PREFILL_MS: Millis = 60;
/// Time per token of a run alone in the batch.
const TOKEN_MS: f64 = 10.0;
/// How much slower a full batch makes each token.
const FULL_BATCH: f64 = 0.5;

pub struct Engine {
    slots: u32,
    running: u32,
    queue: BTreeSet<(u8, u64, usize)>,
    sequence: u64,
    cache: VecDeque<u64>,
}

/// A run that has begun.
pub struct Started {
    pub run_ms: Millis,
    pub hit: bool,
    pub stored: Option<u64>,
    pub evicted: Option<u64>,
}

impl Engine {
    pub fn new(slots: u32) -> Self {
        Self { slots, running: 0, queue: BTreeSet::new(), sequence: 0, cache: VecDeque::new() }
    }

    pub fn push(&mut self, request: usize, priority: u8) {
        self.sequence += 1;
        self.queue.insert((priority, self.sequence, request));
    }

    /// The next waiting request, when a slot is free.
    pub fn next(&mut self) -> Option<usize> {
        if self.running >= self.slots {
            return None;
        }
        self.queue.pop_first().map(|(_, _, request)| request)
    }

    pub fn start(&mut self, prefix: u64, tokens: u32) -> Started {
        self.running += 1;
        let held = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(held) = held {
            self.cache.remove(held);
        }
        self.cache.push_back(prefix);
        let evicted = if self.cache.len() > CACHED { self.cache.pop_front() } else { None };
        let fill = f64::from(self.running) / f64::from(self.slots);
        let hit = held.is_some();
        Started { run_ms: run_ms(tokens, hit, fill), hit, stored: (!hit).then_some(prefix), evicted }
    }

    pub fn finish(&mut self) {
        self.running -= 1;
    }

    pub fn running(&self) -> u32 {
        self.running
    }

    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }
}

/// Time of a run in a batch filled to a share.
pub fn run_ms(tokens: u32, hit: bool, fill: f64) -> Millis {
    let prefill = if hit { CACHED_PREFILL_MS } else { PREFILL_MS };
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some seconds")]
    let decode = (f64::from(tokens) * TOKEN_MS * FULL_BATCH.mul_add(fill, 1.0)) as u64;
    prefill + decode
}
