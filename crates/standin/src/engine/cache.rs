//! The prompt cache, and its events: late, some never told.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;
use world::Millis;

/// Events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Prefixes now in memory, the one used longest ago first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    prefixes: VecDeque<u64>,
    seq: u64,
    events: VecDeque<Event>,
}

#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Stored,
    Evicted,
}

#[derive(Debug)]
struct Event {
    at: Instant,
    seq: u64,
    prefix: u64,
    kind: Kind,
    lost: bool,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, prefixes: VecDeque::new(), seq: 0, events: VecDeque::new() }
    }

    /// Uses a prefix; whether it was there. `lost` tells if a new event gets lost.
    pub(super) fn touch(&mut self, prefix: u64, mut lost: impl FnMut() -> bool) -> bool {
        if let Some(place) = self.prefixes.iter().position(|known| *known == prefix) {
            self.prefixes.remove(place);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.prefixes.push_back(prefix);
        self.log(prefix, Kind::Stored, lost());
        if self.prefixes.len() > self.capacity
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.log(oldest, Kind::Evicted, lost());
        }
        false
    }

    /// Events from a sequence number on that are older than the lag.
    pub(super) fn report(&self, from: u64, lag: Millis) -> Value {
        let until = Instant::now().checked_sub(Duration::from_millis(lag));
        let old = self.events.iter().filter(|event| Some(event.at) <= until && event.seq >= from);
        let next = old.clone().next_back().map_or(from, |event| event.seq + 1);
        let told: Vec<_> = old
            .filter(|event| !event.lost)
            .map(|event| json!({ "seq": event.seq, "prefix": format!("{:016x}", event.prefix), "kind": event.kind }))
            .collect();
        json!({ "next": next, "events": told })
    }

    fn log(&mut self, prefix: u64, kind: Kind, lost: bool) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { at: Instant::now(), seq: self.seq, prefix, kind, lost });
        self.seq += 1;
    }
}
