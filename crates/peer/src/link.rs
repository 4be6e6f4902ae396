//! Dialling a link: one stream of frames in each direction over a dedicated
//! connection.

use std::{error::Error, io, net::SocketAddr};

use tokio::{sync::mpsc, time::timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming};
use world::instance::Id;

use crate::{
    generated::{Frame, frame::Kind},
    outbox::Heartbeat,
    pool::Pool,
    relay::Message,
    settings::Settings,
    wire::{self, Greeting},
};

/// A dialled link on which both sides have sent their greetings.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) greeting: Greeting,
    pub(crate) sender: mpsc::Sender<Frame>,
    pub(crate) incoming: Streaming<Frame>,
}

/// Reason why dialling a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was made, or no greeting arrived in time.
    Unreachable,
    /// The connection was refused: no process listens at the address.
    NobodyThere,
    /// The peer already has a link with this instance, or is this instance.
    Duplicate,
    /// The peer knows a later run under this instance's name.
    Superseded,
    /// The peer uses another key or an incompatible protocol version.
    Refused,
}

/// A decoded frame from a link.
#[derive(Debug)]
pub(crate) enum Received {
    Heartbeat(Heartbeat),
    Message(Message),
    /// A frame to ignore: unexpected, malformed, of a kind known only to later
    /// builds, or news over the rate limit.
    Other,
}

/// Dials a peer and exchanges greetings.
pub(crate) async fn dial(
    address: SocketAddr,
    greeting: Greeting,
    pool: &Pool,
    settings: &Settings,
) -> Result<Opened, Failure> {
    let opening = open(address, greeting, pool, settings.limits.frames);
    timeout(settings.timing.dial_timeout(), opening).await.unwrap_or(Err(Failure::Unreachable))
}

async fn open(address: SocketAddr, greeting: Greeting, pool: &Pool, queue_len: usize) -> Result<Opened, Failure> {
    let mut client = pool.connect_new(address).await.map_err(|error| connect_failure(&error))?;
    let (sender, receiver) = mpsc::channel(queue_len);
    sender.try_send(wire::frame(greeting)).map_err(|_| Failure::Unreachable)?;
    let reply = client.link(pool.request(ReceiverStream::new(receiver))).await;
    let mut incoming = reply.map_err(|status| status_failure(status.code()))?.into_inner();
    let greeting = read_greeting(&mut incoming).await.ok_or(Failure::Refused)?;
    Ok(Opened { greeting, sender, incoming })
}

fn connect_failure(error: &tonic::transport::Error) -> Failure {
    let mut source = error.source();
    while let Some(cause) = source {
        if cause.downcast_ref::<io::Error>().is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return Failure::NobodyThere;
        }
        source = cause.source();
    }
    Failure::Unreachable
}

fn status_failure(code: Code) -> Failure {
    match code {
        Code::AlreadyExists => Failure::Duplicate,
        Code::Aborted => Failure::Superseded,
        Code::Unauthenticated | Code::FailedPrecondition => Failure::Refused,
        _ => Failure::Unreachable,
    }
}

/// Reads the first frame; returns `None` unless it is a greeting of a
/// compatible version.
pub(crate) async fn read_greeting(incoming: &mut Streaming<Frame>) -> Option<Greeting> {
    match incoming.message().await.ok()??.kind? {
        Kind::Greeting(greeting) => greeting.try_into().ok(),
        _ => None,
    }
}

/// Identifier of a link, unique in this run of the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LinkId {
    pub(crate) peer: Id,
    /// Distinguishes this link from earlier ones with the same peer.
    pub(crate) serial: u64,
}
