//! Events handled by the task that owns the links, and its monotonic clock.

use std::{fmt, net::SocketAddr, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};
use tonic::{Status, Streaming};
use world::{Millis, instance::Id};

use crate::{
    generated::Frame,
    link::{Failure, LinkId, Opened, Received},
    member::Member,
    wire::Greeting,
};

/// An input to the task from the server, a link reader or a spawned operation.
pub(crate) enum Event {
    /// A peer dialled this instance and sent its greeting.
    Accept {
        greeting: Greeting,
        incoming: Streaming<Frame>,
        reply: oneshot::Sender<Result<mpsc::Receiver<Frame>, Status>>,
    },
    /// An outgoing dial succeeded or failed. `wanted` is the member expected at
    /// the address; `None` if any instance may answer there.
    Dialled { address: SocketAddr, wanted: Option<Id>, outcome: Result<Opened, Failure> },
    /// A frame arrived on a link.
    Received(LinkId, Received),
    /// The incoming stream of a link ended.
    Closed(LinkId),
    /// A peer requested this instance's own entry. It sent its copy of that
    /// entry, which may carry a doubt for this instance to refute.
    Asked(Member, oneshot::Sender<Member>),
    /// A probe ended, with the member's own entry if it was reached.
    Probed { id: Id, entry: Option<Member> },
}

impl Event {
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Accept { .. } => "accept",
            Self::Dialled { .. } => "dialled",
            Self::Received(..) => "received",
            Self::Closed(_) => "closed",
            Self::Asked(..) => "asked",
            Self::Probed { .. } => "probed",
        }
    }
}

impl fmt::Debug for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind())
    }
}

/// Monotonic clock that counts milliseconds since it was started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Converts a time of this clock to an [`Instant`].
    pub(crate) fn at(self, time: Millis) -> Instant {
        self.0 + Duration::from_millis(time)
    }

    pub(crate) fn now(self) -> Millis {
        u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
