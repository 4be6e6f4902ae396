//! What happens to the task that owns the links, and when by its clock.

use std::{fmt, net::SocketAddr, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};
use tonic::{Status, Streaming};
use world::{Millis, instance::Id};

use crate::{
    generated::Frame,
    link::{Failure, Opened, Received, Source},
    member::Member,
    wire::Greeting,
};

/// What happens.
pub(crate) enum Event {
    /// A peer dialled us.
    Accept {
        greeting: Greeting,
        incoming: Streaming<Frame>,
        reply: oneshot::Sender<Result<mpsc::Receiver<Frame>, Status>>,
    },
    /// Dialling ended.
    Dialled { address: SocketAddr, wanted: Option<Id>, outcome: Result<Opened, Failure> },
    /// A frame came.
    Received(Source, Received),
    /// A link's incoming side ended.
    Closed(Source),
    /// A peer asks us for our word, and may tell a doubt.
    Asked(Member, oneshot::Sender<Member>),
    /// A probe ended.
    Probed { id: Id, word: Option<Member> },
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

/// Milliseconds since the start, monotonic and our own.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn at(self, time: Millis) -> Instant {
        self.0 + Duration::from_millis(time)
    }

    pub(crate) fn now(self) -> Millis {
        u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
