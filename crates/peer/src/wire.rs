//! Conversions between this crate's types and the generated wire types.
//!
//! Messages of other builds are read as far as this build knows them: unknown
//! fields are skipped, a member with an unknown state gets no new work, and an
//! invalid entry is skipped, but not the rest of its message.

use std::net::SocketAddr;

use world::instance::{Id, Incarnation, Instance, State};

use crate::{
    generated as pb,
    member::{Doubt, Member},
    news::{Name, News},
    outbox::Heartbeat,
    relay::Message,
};

#[cfg(test)]
mod tests;

/// Protocol version of this build.
pub const VERSION: u32 = 1;
/// Oldest protocol version that this build understands.
pub const OLDEST_VERSION: u32 = 1;
/// Metadata key of the shared secret.
pub(crate) const KEY_METADATA: &str = "arbutuslug-key-bin";
/// Maximum size of a message without its body, in bytes.
pub(crate) const MAX_OVERHEAD: usize = 64 << 10;

/// An invalid message; the text names the invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid(pub &'static str);

impl From<&Member> for pb::Member {
    fn from(member: &Member) -> Self {
        let instance = &member.instance;
        Self {
            id: instance.id.to_string(),
            incarnation: instance.incarnation.0,
            refutation: member.refutation,
            state: wire_state(instance.state).into(),
            domain: instance.domain.to_string(),
            callers: instance.callers.to_string(),
            peers: instance.peers.to_string(),
            operators: instance.operators.to_string(),
            doubt: pb::Doubt::from(member.doubt).into(),
        }
    }
}

fn wire_state(state: State) -> pb::State {
    match state {
        State::Live | State::Suspect => pb::State::Live,
        State::Leaving => pb::State::Leaving,
        State::Gone => pb::State::Left,
    }
}

impl From<Doubt> for pb::Doubt {
    fn from(doubt: Doubt) -> Self {
        match doubt {
            Doubt::None => Self::None,
            Doubt::Suspect => Self::Suspect,
            Doubt::Gone => Self::Gone,
        }
    }
}

impl TryFrom<pb::Member> for Member {
    type Error = Invalid;

    fn try_from(wire: pb::Member) -> Result<Self, Invalid> {
        let state = match wire.state() {
            pb::State::Live => State::Live,
            pb::State::Left => State::Gone,
            // `Unspecified` includes states added by a later build: such a
            // member gets no new work.
            pb::State::Leaving | pb::State::Unspecified => State::Leaving,
        };
        let doubt = match wire.doubt() {
            pb::Doubt::None => Doubt::None,
            pb::Doubt::Suspect => Doubt::Suspect,
            pb::Doubt::Gone => Doubt::Gone,
        };
        let instance = Instance {
            id: Id::parse(&wire.id).map_err(|_| Invalid("id"))?,
            incarnation: Incarnation(wire.incarnation),
            domain: wire.domain.parse().map_err(|_| Invalid("domain"))?,
            callers: parse_address(&wire.callers).ok_or(Invalid("callers"))?,
            peers: parse_address(&wire.peers).ok_or(Invalid("peers"))?,
            operators: parse_address(&wire.operators).ok_or(Invalid("operators"))?,
            state,
        };
        Ok(Self { instance, refutation: wire.refutation, doubt })
    }
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

impl From<Heartbeat> for pb::Heartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            members: heartbeat.members.iter().map(Into::into).collect(),
            digests: heartbeat.digests.into_iter().map(|(topic, value)| pb::Digest { topic, value }).collect(),
            view: heartbeat.view,
            want_all: heartbeat.want_all,
        }
    }
}

impl From<pb::Heartbeat> for Heartbeat {
    fn from(wire: pb::Heartbeat) -> Self {
        Self {
            members: wire.members.into_iter().filter_map(|m| m.try_into().ok()).collect(),
            digests: wire.digests.into_iter().map(|d| (d.topic, d.value)).collect(),
            view: wire.view,
            want_all: wire.want_all,
        }
    }
}

impl From<News> for pb::News {
    fn from(news: News) -> Self {
        Self {
            origin: news.origin.to_string(),
            incarnation: news.incarnation.0,
            sequence: news.sequence,
            topic: news.topic,
            body: news.body,
            hops: news.hops,
            relay: news.relay,
            stamp: news.stamp,
        }
    }
}

impl TryFrom<pb::News> for News {
    type Error = Invalid;

    fn try_from(wire: pb::News) -> Result<Self, Invalid> {
        Ok(Self {
            origin: Id::parse(&wire.origin).map_err(|_| Invalid("origin"))?,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            topic: wire.topic,
            body: wire.body,
            hops: wire.hops,
            relay: wire.relay,
            stamp: wire.stamp,
        })
    }
}

impl From<Name> for pb::Name {
    fn from(name: Name) -> Self {
        Self { origin: name.origin.to_string(), incarnation: name.incarnation.0, sequence: name.sequence }
    }
}

impl TryFrom<pb::Name> for Name {
    type Error = Invalid;

    fn try_from(wire: pb::Name) -> Result<Self, Invalid> {
        let origin = Id::parse(&wire.origin).map_err(|_| Invalid("origin"))?;
        Ok(Self { origin, incarnation: Incarnation(wire.incarnation), sequence: wire.sequence })
    }
}

/// The first frame on a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Greeting {
    /// Entry of the sender.
    pub sender: Member,
    /// Whether the sender has no room for this link and will close a link soon.
    pub full: bool,
}

impl From<Greeting> for pb::Greeting {
    fn from(greeting: Greeting) -> Self {
        Self { version: VERSION, oldest: OLDEST_VERSION, sender: Some((&greeting.sender).into()), full: greeting.full }
    }
}

impl TryFrom<pb::Greeting> for Greeting {
    type Error = Invalid;

    fn try_from(wire: pb::Greeting) -> Result<Self, Invalid> {
        if wire.version < OLDEST_VERSION || wire.oldest > VERSION {
            return Err(Invalid("version"));
        }
        let sender = wire.sender.ok_or(Invalid("sender"))?.try_into()?;
        Ok(Self { sender, full: wire.full })
    }
}

/// Wraps a message in a frame.
#[must_use]
pub fn frame(kind: impl Into<pb::frame::Kind>) -> pb::Frame {
    pb::Frame { kind: Some(kind.into()) }
}

impl From<Heartbeat> for pb::frame::Kind {
    fn from(heartbeat: Heartbeat) -> Self {
        Self::Heartbeat(heartbeat.into())
    }
}

impl From<Message> for pb::frame::Kind {
    fn from(message: Message) -> Self {
        match message {
            Message::News(news) => Self::News(news.into()),
            Message::Have(name) => Self::Have(name.into()),
            Message::Want(name) => Self::Want(name.into()),
            Message::Prune => Self::Prune(pb::Prune {}),
        }
    }
}

impl From<Greeting> for pb::frame::Kind {
    fn from(greeting: Greeting) -> Self {
        Self::Greeting(greeting.into())
    }
}
