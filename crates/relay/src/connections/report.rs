//! Log lines and metrics about connections that gave way.
//!
//! A crowd may make thousands of connections give way each second. One line at regular intervals says how
//! many, why, and whose connections hold most.

use std::{collections::HashMap, fmt::Write, net::IpAddr, time::Duration};

use super::{Connections, entry::Phase};
use crate::{clock, memory::Account};

/// Shortest time between two lines.
const INTERVAL: Duration = Duration::from_secs(5);

/// Addresses that a line names.
const NAMED: usize = 3;

/// Why a connection, or the request on it, ends before its peer ends it.
#[derive(Debug, Clone, Copy)]
pub enum Reason {
    /// Another connection or request needs its place.
    Displaced,
    /// Its head, or the rest of a refused request, takes too long.
    Overdue,
    /// There is no place for it.
    NoPlace,
}

impl Reason {
    fn label(self) -> &'static str {
        match self {
            Self::Displaced => "displaced",
            Self::Overdue => "overdue",
            Self::NoPlace => "no place",
        }
    }
}

/// What has happened since the last line.
#[derive(Debug, Default)]
pub(super) struct Report {
    displaced: u64,
    overdue: u64,
    no_place: u64,
    last: Option<Duration>,
}

impl Report {
    /// Counts a connection that was closed.
    pub(super) fn count(&mut self, reason: Reason) {
        metrics::counter!("relay_connections_closed_total", "reason" => reason.label()).increment(1);
        match reason {
            Reason::Displaced => self.displaced += 1,
            Reason::Overdue => self.overdue += 1,
            Reason::NoPlace => self.no_place += 1,
        }
    }

    /// Returns the counts since the last line if another one is due.
    fn take_due(&mut self) -> Option<Self> {
        let now = clock::now();
        let is_due = self.last.is_none_or(|last| now >= last + INTERVAL);
        let has_any = self.displaced + self.overdue + self.no_place > 0;
        (is_due && has_any).then(|| std::mem::replace(self, Self { last: Some(now), ..Self::default() }))
    }
}

/// Connections by what they do, and by whose they are.
#[derive(Debug, Default)]
struct Census {
    idle: usize,
    heads: usize,
    bodies: usize,
    busy: usize,
    discarding: usize,
    /// Number of connections and memory that is charged for them, by address.
    owners: HashMap<IpAddr, (usize, usize)>,
}

impl Census {
    fn take(connections: &Connections) -> Self {
        let mut census = Self::default();
        for entry in connections.lock().values() {
            match entry.phase {
                Phase::Idle => census.idle += 1,
                Phase::Head => census.heads += 1,
                Phase::Body(_) => census.bodies += 1,
                Phase::Busy => census.busy += 1,
                Phase::Discarding => census.discarding += 1,
            }
            let (count, bytes) = census.owners.entry(entry.ip).or_default();
            *count += 1;
            *bytes += entry.charged;
        }
        census
    }

    /// Returns the addresses that hold most as text.
    fn largest(&self) -> String {
        let mut owners: Vec<_> = self.owners.iter().collect();
        owners.sort_by_key(|(_, (_, bytes))| std::cmp::Reverse(*bytes));
        let mut text = String::new();
        for (ip, (count, bytes)) in owners.into_iter().take(NAMED) {
            let separator = if text.is_empty() { "" } else { ", " };
            write!(text, "{separator}{ip}: {count} connections, {bytes} bytes").expect("text can be written to");
        }
        text
    }
}

/// Reports what connections hold, and logs which gave way since the last line.
pub(super) fn tell(connections: &Connections, account: &Account, unlogged_refusals: impl FnOnce() -> u64) {
    account.report();
    #[expect(clippy::cast_precision_loss, reason = "a process has far fewer than 2^53 descriptors")]
    metrics::gauge!("relay_connections").set(connections.len() as f64);
    let Some(Report { displaced, overdue, no_place, .. }) = connections.report().take_due() else { return };
    let census = Census::take(connections);
    tracing::warn!(
        displaced,
        overdue,
        no_place,
        unlogged_refusals = unlogged_refusals(),
        held_bytes = account.connections(),
        body_bytes = account.bodies(),
        connections = connections.len(),
        idle = census.idle,
        heads = census.heads,
        bodies = census.bodies,
        busy = census.busy,
        discarding = census.discarding,
        largest = census.largest(),
        "connections gave way"
    );
}
