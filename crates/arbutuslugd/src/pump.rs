//! Carries messages between the links and the owners of their topics.

use std::time::Duration;

use bytes::Bytes;
use config::Scope;
use peer::{Inbound, Topic};
use rand::seq::IteratorRandom;
use tokio::sync::{mpsc, oneshot};
use world::instance::{self, Instance};

use crate::{list, members, operators};

/// Longest wait for a peer's answer about configuration.
const CONFIG_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for a peer's answer about the journal; its own deadline, inside
/// this, is the journal's.
const JOURNAL_WAIT: Duration = Duration::from_secs(4);

/// Owners of the topics.
#[derive(Debug, Clone)]
pub struct Owners {
    /// [`Topic::Config`].
    pub config: config::Handle,
    /// [`Topic::Journal`].
    pub journal: journal::Handle,
    /// [`Topic::Load`].
    pub list: list::Latest,
    /// [`Topic::Request`].
    pub entry: entry::Handle,
    /// [`Topic::Stop`].
    pub control: control::Handle,
    /// [`Topic::Operator`].
    pub operators: operators::Handles,
}

/// Hands what peers send to its owner, until the links end.
pub async fn inbound(mut messages: mpsc::Receiver<Inbound>, owners: Owners) {
    while let Some(message) = messages.recv().await {
        match message {
            Inbound::Call { topic, body, reply, .. } => call(&owners, topic, body, reply),
            Inbound::Stream { topic: Topic::Request, body, sink, .. } => {
                let entry = owners.entry.clone();
                tokio::spawn(async move { entry.serve(body, sink).await });
            }
            Inbound::News { topic, body, .. } => news(&owners, topic, body).await,
            // A stream of a topic that has none ends at once: its sink is
            // dropped here. Digests only repeat what owners ask for anyway.
            Inbound::Stream { .. } | Inbound::Digest { .. } => {}
        }
    }
}

/// Answers a call in a task of its own, so that a slow one holds up no other.
fn call(owners: &Owners, topic: Topic, body: Bytes, reply: oneshot::Sender<Bytes>) {
    let owners = owners.clone();
    tokio::spawn(async move {
        let answer = match topic {
            Topic::Config => owners.config.serve(&body),
            Topic::Journal => owners.journal.serve(&body).await,
            Topic::Load => owners.list.serve(),
            Topic::Operator => operators::answer(&owners.operators, &body),
            // Dropping the reply tells the caller that nobody answered.
            Topic::Request | Topic::Statistics | Topic::Stop | Topic::Timeline => return,
        };
        drop(reply.send(answer));
    });
}

async fn news(owners: &Owners, topic: Topic, body: Bytes) {
    match topic {
        Topic::Config => owners.config.offer(body).await,
        Topic::Stop => owners.control.receive(body),
        _ => tracing::debug!(?topic, "news of a topic that has none"),
    }
}

/// Sends the configuration's news and questions, until it ends.
pub async fn configuration(
    mut messages: mpsc::Receiver<config::Outbound>,
    config: config::Handle,
    peers: peer::Handle,
) {
    while let Some(message) = messages.recv().await {
        match message {
            config::Outbound::News(bytes) => drop(peers.publish(Topic::Config, bytes).await),
            config::Outbound::Request { scope, bytes } => {
                for to in targets(&peers, scope) {
                    drop(tokio::spawn(want(peers.clone(), config.clone(), to, bytes.clone())));
                }
            }
        }
    }
}

async fn want(peers: peer::Handle, config: config::Handle, to: instance::Id, bytes: Bytes) {
    if let Ok(answer) = peers.call(&to, Topic::Config, bytes, CONFIG_WAIT).await {
        config.offer(answer).await;
    }
}

/// Whom to ask: the own domain's reader, or any other live instance where this
/// one is the reader; or one live instance in each domain.
fn targets(peers: &peer::Handle, scope: Scope) -> Vec<instance::Id> {
    let members = peers.members().borrow().clone();
    let mut rng = rand::rng();
    let others = || members.live().filter(|i| i.id != members.me.id);
    let mut any = |wanted: &dyn Fn(&&Instance) -> bool| others().filter(wanted).choose(&mut rng).map(|i| i.id.clone());
    match scope {
        Scope::One => {
            let reader = members::reader(&members);
            if reader != members.me.id {
                return vec![reader];
            }
            any(&|_| true).into_iter().collect()
        }
        Scope::EachDomain => {
            let domains = members::domains(&members);
            domains.iter().filter_map(|domain| any(&|i| i.domain == *domain)).collect()
        }
    }
}

/// Brings the journal's questions to other homes, until it ends.
pub async fn journal(mut messages: mpsc::Receiver<journal::Outbound>, peers: peer::Handle) {
    while let Some(journal::Outbound { to, bytes, reply }) = messages.recv().await {
        let peers = peers.clone();
        tokio::spawn(async move {
            // Dropping the reply tells the journal that the call failed.
            if let Ok(answer) = peers.call(&to, Topic::Journal, bytes, JOURNAL_WAIT).await {
                drop(reply.send(answer));
            }
        });
    }
}

/// Publishes what control found out, until it ends.
pub async fn control(mut news: mpsc::Receiver<Bytes>, peers: peer::Handle) {
    while let Some(bytes) = news.recv().await {
        drop(peers.publish(Topic::Stop, bytes).await);
    }
}
