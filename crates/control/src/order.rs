//! Orders to engines, sent only while the lease lasts.
//!
//! Some engines refuse an order with an old fencing number, others ignore the
//! number. For those an order is sent only while the holder's term leaves more
//! than the order's time limit, and the term is looked at again at every step
//! of the sending: a process that was paused in between wakes, finds its term
//! over and sends nothing. Orders state the wanted end, so that one sent twice
//! does no harm.

use std::{fmt, future::poll_fn, net::SocketAddr, pin::pin, task::Poll, time::Duration};

use endpoint::order::Order;
use tokio::sync::{mpsc, oneshot};
use world::model::Version;

use crate::lease::Term;

/// Longest time of an order; [`crate::lease::Settings::grace`] is at least this.
pub const LIMIT: Duration = Duration::from_secs(2);

/// A call to an engine.
#[derive(Debug)]
pub enum Call {
    /// Gives an order.
    Order {
        /// The engine.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// The lease it is given under.
        term: Term,
        /// Gets the versions loaded or under way.
        reply: oneshot::Sender<Result<Vec<Version>, Error>>,
    },
    /// Asks which versions are loaded.
    Loaded {
        /// The engine.
        address: SocketAddr,
        /// Gets the versions; nothing when it did not answer.
        reply: oneshot::Sender<Option<Vec<Version>>>,
    },
}

/// Why an order had no effect that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The term leaves too little time; nothing was sent.
    Lapsed,
    /// The term ended while it was sent; its effect is unknown.
    Cut,
    /// The engine or the way to it failed.
    Endpoint(endpoint::order::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lapsed => f.write_str("not sent, the lease is about to end; its next holder sends it"),
            Self::Cut => f.write_str("cut off, the lease ended meanwhile; its next holder sends it again"),
            Self::Endpoint(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// Calls that may wait for the engines.
const QUEUE: usize = 64;

/// Starts the task that passes calls on to engines.
#[must_use]
pub fn spawn(endpoint: endpoint::Handle) -> mpsc::Sender<Call> {
    let (sender, mut calls) = mpsc::channel(QUEUE);
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            tokio::spawn(pass(endpoint.clone(), call));
        }
    });
    sender
}

async fn pass(endpoint: endpoint::Handle, call: Call) {
    match call {
        Call::Order { address, order, term, reply } => {
            let sent = async {
                let sent = endpoint.order(address, &order, LIMIT).await;
                sent.map_err(Error::Endpoint)
            };
            let _ = reply.send(within(term, sent).await);
        }
        Call::Loaded { address, reply } => {
            let load = endpoint.load(address).await;
            let _ = reply.send(load.ok().map(|load| load.versions));
        }
    }
}

/// Sends while the term lasts.
///
/// # Errors
///
/// [`Error::Lapsed`] before the first byte, [`Error::Cut`] after.
pub async fn within<T>(term: Term, sending: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    if term.left() <= LIMIT {
        return Err(Error::Lapsed);
    }
    let mut sending = pin!(sending);
    // A timeout beside the sending would look at the clock only after it had
    // written: a process that wakes from a pause would send first and learn
    // of its ended lease next. So the clock is read before each step.
    poll_fn(|context| {
        if term.left().is_zero() {
            return Poll::Ready(Err(Error::Cut));
        }
        sending.as_mut().poll(context)
    })
    .await
}
