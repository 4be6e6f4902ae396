//! Orders to engines, sent only while this instance holds the lease.
//!
//! Some engines refuse an order with an old fencing number, others ignore the
//! number. For the latter an order is sent only while the remaining term
//! exceeds the order's time limit, and the term is checked again before each
//! step of the sending: a process that was paused in between resumes, sees
//! that its term has ended and sends nothing. An order states the wanted
//! result, so sending it twice does no harm.

use std::{fmt, future::poll_fn, net::SocketAddr, pin::pin, task::Poll, time::Duration};

use endpoint::order::Order;
use tokio::sync::{mpsc, oneshot};
use world::model::Version;

use crate::lease::Term;

/// Time limit of an order; [`crate::lease::Settings::grace`] must be at least this.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// A call to an engine.
#[derive(Debug)]
pub enum Call {
    /// Sends an order.
    Order {
        /// Address of the engine.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Lease term under which the order is given.
        term: Term,
        /// Receives the versions that are loaded or being loaded.
        reply: oneshot::Sender<Result<Vec<Version>, Error>>,
    },
    /// Queries which versions are loaded.
    Loaded {
        /// Address of the engine.
        address: SocketAddr,
        /// Receives the versions, or `None` if the engine did not respond.
        reply: oneshot::Sender<Option<Vec<Version>>>,
    },
}

/// Reason why an order is not known to have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The remaining term was too short; nothing was sent.
    Lapsed,
    /// The term ended while the order was being sent; its effect is unknown.
    Cut,
    /// The engine or the connection to it failed.
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

/// Capacity of the queue of calls, in messages.
const QUEUE_CAPACITY: usize = 64;

/// Starts the task that passes calls on to engines.
#[must_use]
pub fn spawn(endpoint: endpoint::Handle) -> mpsc::Sender<Call> {
    let (sender, mut calls) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            tokio::spawn(forward(endpoint.clone(), call));
        }
    });
    sender
}

/// Carries out a call and replies with its result.
async fn forward(endpoint: endpoint::Handle, call: Call) {
    match call {
        Call::Order { address, order, term, reply } => {
            let sent = async {
                let sent = endpoint.order(address, &order, TIMEOUT).await;
                sent.map_err(Error::Endpoint)
            };
            let _ = reply.send(send_within(term, sent).await);
        }
        Call::Loaded { address, reply } => {
            let load = endpoint.load(address).await;
            let _ = reply.send(load.ok().map(|load| load.versions));
        }
    }
}

/// Runs `sending` for as long as the term lasts.
///
/// # Errors
///
/// [`Error::Lapsed`] if nothing was sent, [`Error::Cut`] if the term ended
/// during the sending.
pub async fn send_within<T>(term: Term, sending: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    if term.remaining() <= TIMEOUT {
        return Err(Error::Lapsed);
    }
    let mut sending = pin!(sending);
    // A timeout around the sending would check the clock only after the
    // sending had been polled: a process that resumes from a pause would write
    // first and notice the end of its lease afterwards. So the clock is read
    // before each poll.
    poll_fn(|context| {
        if term.remaining().is_zero() {
            return Poll::Ready(Err(Error::Cut));
        }
        sending.as_mut().poll(context)
    })
    .await
}
