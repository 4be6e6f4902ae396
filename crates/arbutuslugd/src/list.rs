//! The platform's list of instances, read once per failure domain.
//!
//! The list lags, but it is the only word on endpoints that leave, and an
//! endpoint must get no new work within two seconds of it. The domain's reader
//! reads it each second; the others ask the reader, and read it themselves
//! when the reader does not answer. So the calls to the platform grow with the
//! failure domains, not with the instances.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use peer::Topic;
use prost::Message;
use store::{Priority, Role, Standing};
use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior, interval},
};
use world::{endpoint, instance};

/// Time between two readings.
const EVERY: Duration = Duration::from_millis(800);
/// Longest wait for the reader's answer.
const ASK_WAIT: Duration = Duration::from_millis(400);
/// Oldest reading that the reader's answer may have.
const MAX_AGE: Duration = Duration::from_millis(900);

/// The list on its way from the reader; its form between instances.
#[derive(Clone, PartialEq, Message)]
struct Answer {
    /// Endpoints that are leaving.
    #[prost(string, repeated, tag = "1")]
    leaving: Vec<String>,
    /// Milliseconds since the reading; nothing when there is none.
    #[prost(uint64, optional, tag = "2")]
    age_ms: Option<u64>,
}

/// The latest reading of this instance.
#[derive(Debug, Clone, Default)]
pub struct Latest(Arc<Mutex<Option<Reading>>>);

#[derive(Debug)]
struct Reading {
    at: Instant,
    leaving: Vec<endpoint::Id>,
}

impl Latest {
    /// Answers another instance of the domain.
    #[must_use]
    pub fn serve(&self) -> Bytes {
        let latest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = latest.as_ref().map_or_else(Answer::default, |reading| Answer {
            leaving: reading.leaving.iter().map(ToString::to_string).collect(),
            age_ms: u64::try_from(reading.at.elapsed().as_millis()).ok(),
        });
        answer.encode_to_vec().into()
    }

    fn set(&self, leaving: &[endpoint::Id]) {
        let reading = Reading { at: Instant::now(), leaving: leaving.to_vec() };
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(reading);
    }
}

/// Reads the list and hands each change on.
#[derive(Debug)]
pub struct Reader {
    /// The platform, for the reader of a domain and as the fallback.
    pub platform: store::Handle,
    /// Links to the domain's reader.
    pub peers: peer::Handle,
    /// The domain's reader; this instance's own name when it is the reader.
    pub asked: watch::Receiver<instance::Id>,
    /// This instance.
    pub me: instance::Id,
    /// Where others are answered from.
    pub latest: Latest,
}

impl Reader {
    /// Reads until `leaving` has no listener any more.
    pub async fn run(self, leaving: watch::Sender<Vec<endpoint::Id>>) {
        let mut ticks = interval(EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if leaving.is_closed() {
                return;
            }
            // With no answer from anywhere the last word stands: a leaving
            // endpoint stays out, and none is taken out on silence.
            if let Some(endpoints) = self.read().await {
                leaving.send_if_modified(|old| std::mem::replace(old, endpoints.clone()) != endpoints);
            }
        }
    }

    async fn read(&self) -> Option<Vec<endpoint::Id>> {
        let reader = self.asked.borrow().clone();
        if reader != self.me
            && let Some(endpoints) = self.ask(&reader).await
        {
            return Some(endpoints);
        }
        let members = self.platform.instances(Priority::Config).await.ok()?;
        let endpoints = leaving_endpoints(&members);
        self.latest.set(&endpoints);
        drop(self.peers.set_listed(instances(&members)).await);
        Some(endpoints)
    }

    async fn ask(&self, reader: &instance::Id) -> Option<Vec<endpoint::Id>> {
        let bytes = self.peers.call(reader, Topic::Load, Bytes::new(), ASK_WAIT).await.ok()?;
        let answer = Answer::decode(bytes).ok()?;
        let age = Duration::from_millis(answer.age_ms?);
        // An old reading means that the reader does not reach the platform;
        // this instance may.
        (age <= MAX_AGE).then(|| answer.leaving.iter().filter_map(|name| name.parse().ok()).collect())
    }
}

fn leaving_endpoints(members: &[store::Member]) -> Vec<endpoint::Id> {
    let leaving = members.iter().filter(|m| m.role == Role::Endpoint && m.standing == Standing::Leaving);
    leaving.filter_map(|member| member.name.parse().ok()).collect()
}

fn instances(members: &[store::Member]) -> Vec<peer::Listed> {
    let entries = members.iter().filter(|m| m.role == Role::Entry);
    let listed = entries.filter_map(|member| {
        let state = match member.standing {
            Standing::Live => peer::ListedState::Live,
            Standing::Leaving => peer::ListedState::Leaving,
        };
        Some(peer::Listed { name: member.name.parse().ok()?, state })
    });
    listed.collect()
}
