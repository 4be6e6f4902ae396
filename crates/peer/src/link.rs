//! One link: two streams of frames over a connection of its own.

use std::{error::Error, io, net::SocketAddr};

use tokio::{sync::mpsc, time::timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming};
use world::instance::Id;

use crate::{
    generated::{Frame, frame::Kind},
    pool::Pool,
    relay::Message,
    settings::Settings,
    spread::Heartbeat,
    wire::{self, Greeting},
};

/// A link after both greetings.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) greeting: Greeting,
    pub(crate) sender: mpsc::Sender<Frame>,
    pub(crate) incoming: Streaming<Frame>,
}

/// Why a dialled link did not come about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection, or no greeting in time.
    Unreachable,
    /// Nobody listens at the address.
    NobodyThere,
    /// The other side has a link with us already, or is this instance itself.
    Duplicate,
    /// A later run under our name is known there.
    Superseded,
    /// Another key or protocol version.
    Refused,
}

/// What came over a link.
#[derive(Debug)]
pub(crate) enum Received {
    Heartbeat(Heartbeat),
    Message(Message),
    /// A kind of a later build, or news over the allowance.
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
    timeout(settings.timing.dial(), opening).await.unwrap_or(Err(Failure::Unreachable))
}

async fn open(address: SocketAddr, greeting: Greeting, pool: &Pool, frames: usize) -> Result<Opened, Failure> {
    let mut client = pool.fresh(address).await.map_err(|error| connecting(&error))?;
    let (sender, receiver) = mpsc::channel(frames);
    sender.try_send(wire::frame(greeting)).map_err(|_| Failure::Unreachable)?;
    let reply = client.link(pool.request(ReceiverStream::new(receiver))).await;
    let mut incoming = reply.map_err(|status| failure(status.code()))?.into_inner();
    let greeting = greeting_from(&mut incoming).await.ok_or(Failure::Refused)?;
    Ok(Opened { greeting, sender, incoming })
}

fn connecting(error: &tonic::transport::Error) -> Failure {
    let mut source = error.source();
    while let Some(cause) = source {
        if cause.downcast_ref::<io::Error>().is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return Failure::NobodyThere;
        }
        source = cause.source();
    }
    Failure::Unreachable
}

fn failure(code: Code) -> Failure {
    match code {
        Code::AlreadyExists => Failure::Duplicate,
        Code::Aborted => Failure::Superseded,
        Code::Unauthenticated | Code::FailedPrecondition => Failure::Refused,
        _ => Failure::Unreachable,
    }
}

/// Takes the first frame, which has to be a greeting that we understand.
pub(crate) async fn greeting_from(incoming: &mut Streaming<Frame>) -> Option<Greeting> {
    match incoming.message().await.ok()??.kind? {
        Kind::Greeting(greeting) => greeting.try_into().ok(),
        _ => None,
    }
}

/// Whose frames a reader brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Source {
    pub(crate) id: Id,
    /// Tells a link from an earlier one with the same peer.
    pub(crate) serial: u64,
}
