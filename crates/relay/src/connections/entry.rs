//! What is known of one connection: what it does, what it holds, and what it is worth.

use std::{net::IpAddr, sync::Arc, time::Duration};

use super::{Closer, Peer};
use crate::{clock, uploads::End};

/// Memory of an open connection, in bytes: its task, and the buffers that the HTTP library keeps for
/// reading and writing.
pub(super) const CONNECTION_BYTES: usize = 24 << 10;

/// Memory of a request whose body is awaited besides that of the body, in bytes: its state, and buffers
/// with received bytes.
const BODY_BYTES: usize = 16 << 10;

/// Memory of a request in progress besides its head and body, in bytes: its state, the connection to an
/// endpoint, and an event of a stream that its caller has not taken.
pub(super) const REQUEST_BYTES: usize = 56 << 10;

/// Memory of a received byte of a head, in bytes: the buffer doubles when it is full. The head of a request
/// in progress keeps that buffer, and is written to an endpoint out of another one.
const BYTES_PER_ARRIVING_HEAD_BYTE: usize = 2;
const BYTES_PER_HEAD_BYTE: usize = 3;

/// Memory of a received byte that is not data of a body, in bytes: trailers are kept in a buffer that
/// doubles.
const BYTES_PER_PENDING_BYTE: usize = 2;

/// Time for which a connection must have stood still before it is closed rather than an idle one. A
/// network that loses a packet delays a head for less.
const MIN_STALL: Duration = Duration::from_millis(800);

/// Time for which a new connection may wait for its first byte before it gives way to another new one: a
/// caller's request follows within a round trip.
pub(super) const FIRST_BYTE_TIME: Duration = Duration::from_millis(200);

/// Time from which a body that goes on may give way.
const MIN_AGE: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug, Clone)]
pub(super) enum Phase {
    /// Waiting for a request.
    Idle,
    /// Receiving the head of a request.
    Head,
    /// Receiving the body of a request, which may be given up.
    Body(Arc<End>),
    /// Serving a request that has arrived.
    Busy,
    /// Receiving the rest of a refused request.
    Discarding,
}

/// One connection.
#[derive(Debug)]
pub(super) struct Entry {
    pub ip: IpAddr,
    pub peer: Peer,
    pub phase: Phase,
    /// When the phase began, or since when a body lags.
    pub since: Duration,
    /// When the request began to arrive.
    started: Duration,
    /// Whether a request was served on the connection.
    pub has_served: bool,
    /// Bytes of the head that has arrived so far, or of the request's.
    pub head: usize,
    /// Memory of what was decoded from the head.
    pub params: usize,
    /// Bytes received after the head and since the last data of a body.
    pub pending: usize,
    /// Whether the memory of a request in progress is charged.
    pub has_request: bool,
    /// Memory that is charged for all this.
    pub charged: usize,
    pub closer: Arc<Closer>,
}

/// The order in which connections give way, the first one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Worth {
    /// It stands still within a request.
    Stalled,
    /// It is idle, and no request was served on it.
    IdleStranger,
    /// A request arrives on it, and none was served before.
    Stranger,
    /// It is new, and its first request may be on its way.
    Newcomer,
    /// It is idle after a request.
    Idle,
    /// A request arrives on it.
    Arriving,
    /// A body arrives on it, and has done so for a while.
    Body,
}

impl Entry {
    pub(super) fn new(ip: IpAddr, peer: Peer, closer: Arc<Closer>) -> Self {
        let now = clock::now();
        Self {
            ip,
            peer,
            phase: Phase::Idle,
            since: now,
            started: now,
            has_served: false,
            head: 0,
            params: 0,
            pending: 0,
            has_request: false,
            charged: 0,
            closer,
        }
    }

    /// Begins a phase.
    pub(super) fn enter(&mut self, phase: Phase) {
        self.since = clock::now();
        match phase {
            Phase::Idle => {
                (self.head, self.params, self.pending, self.has_request) = (0, 0, 0, false);
            }
            Phase::Head => self.started = self.since,
            Phase::Body(_) | Phase::Busy | Phase::Discarding => {}
        }
        self.phase = phase;
    }

    /// Returns what the connection is worth, or `None` if it does not give way.
    pub(super) fn worth(&self, now: Duration) -> Option<Worth> {
        let is_stalled = now >= self.since + MIN_STALL;
        Some(match self.phase {
            Phase::Head | Phase::Body(_) | Phase::Discarding if is_stalled => Worth::Stalled,
            Phase::Idle if self.has_served => Worth::Idle,
            Phase::Idle if now < self.since + FIRST_BYTE_TIME => Worth::Newcomer,
            Phase::Idle => Worth::IdleStranger,
            Phase::Head | Phase::Discarding if self.has_served => Worth::Arriving,
            Phase::Head | Phase::Discarding => Worth::Stranger,
            Phase::Body(_) if now >= self.started + MIN_AGE => Worth::Body,
            Phase::Body(_) | Phase::Busy => return None,
        })
    }

    /// Returns the memory that the connection takes besides the blocks of bodies, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let per_head_byte =
            if matches!(self.phase, Phase::Head) { BYTES_PER_ARRIVING_HEAD_BYTE } else { BYTES_PER_HEAD_BYTE };
        let body = if matches!(self.phase, Phase::Body(_) | Phase::Discarding) { BODY_BYTES } else { 0 };
        let request = if self.has_request { REQUEST_BYTES } else { 0 };
        let received = self.head * per_head_byte + self.params + self.pending * BYTES_PER_PENDING_BYTE;
        CONNECTION_BYTES + received + body + request
    }
}
