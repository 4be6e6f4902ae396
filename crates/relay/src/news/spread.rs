//! Broadcasts urgent items to all instances: long prompts, crashes, endpoint limits.
//!
//! In a large fleet an item is sent to one relay instance in each failure domain,
//! which passes it on to its neighbours together with other items that arrive at
//! about the same time.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use super::{
    encode, send,
    wire::{Finding, Limit, Notice, Packet},
};
use crate::desk::{Desk, fleet::short_hash, peers::Audience};

/// Time for which a relay collects items before it passes them on.
const BATCH: Duration = Duration::from_millis(30);

/// Maximum number of items in a datagram.
pub(super) const BATCHED: usize = 64;

/// The broadcasts, one for each kind of item.
#[derive(Debug)]
pub(super) struct Lanes {
    /// Notices of long prompts.
    pub(super) notices: Lane<Notice>,
    /// Findings about requests that crash endpoints.
    pub(super) findings: Lane<Finding>,
    /// Rate limits that endpoints report.
    pub(super) limits: Lane<Limit>,
}

impl Lanes {
    /// Creates broadcasts without queued items.
    pub(super) fn new() -> Self {
        Self {
            notices: Lane::new(Packet::Notices, Packet::PassOn),
            findings: Lane::new(Packet::Findings, Packet::PassOnFindings),
            limits: Lane::new(Packet::Limits, Packet::PassOnLimits),
        }
    }

    /// Broadcasts this instance's items and passes on those of others; never returns.
    pub(super) async fn serve(&self, desk: &Desk, socket: &UdpSocket) {
        tokio::join!(
            self.tell_notices(desk, socket),
            self.tell_findings(desk, socket),
            self.tell_limits(desk, socket),
            self.notices.pass_on(desk, socket),
            self.findings.pass_on(desk, socket),
            self.limits.pass_on(desk, socket)
        );
    }

    async fn tell_notices(&self, desk: &Desk, socket: &UdpSocket) {
        let origin = short_hash(&desk.settings.instance);
        loop {
            let notices: Vec<Notice> =
                desk.notices().await.into_iter().map(|notice| Notice::new(notice, origin)).collect();
            metrics::counter!("relay_notices_total").increment(u64::try_from(notices.len()).unwrap_or_default());
            self.notices.tell(desk, socket, &notices);
        }
    }

    async fn tell_findings(&self, desk: &Desk, socket: &UdpSocket) {
        loop {
            let findings: Vec<Finding> = desk.findings().await.into_iter().map(Finding::from).collect();
            self.findings.tell(desk, socket, &findings);
        }
    }

    async fn tell_limits(&self, desk: &Desk, socket: &UdpSocket) {
        loop {
            let limits: Vec<Limit> = desk.limits_to_tell().await.into_iter().map(Limit::from).collect();
            self.limits.tell(desk, socket, &limits);
        }
    }
}

/// Broadcast of items of one kind, with the items that wait to be passed on.
#[derive(Debug)]
pub(super) struct Lane<T> {
    waiting: Mutex<Vec<T>>,
    added: Notify,
    to_all: fn(Vec<T>) -> Packet,
    to_relays: fn(Vec<T>) -> Packet,
}

impl<T: Clone> Lane<T> {
    fn new(to_all: fn(Vec<T>) -> Packet, to_relays: fn(Vec<T>) -> Packet) -> Self {
        Self { waiting: Mutex::default(), added: Notify::new(), to_all, to_relays }
    }

    /// Queues items to be passed on.
    pub(super) fn add(&self, words: impl IntoIterator<Item = T>) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).extend(words);
        self.added.notify_one();
    }

    /// Sends items to all instances; in a large fleet, to the relays.
    fn tell(&self, desk: &Desk, socket: &UdpSocket, words: &[T]) {
        let me = desk.settings.listeners.news;
        for words in words.chunks(BATCHED) {
            let (audience, packet) = match desk.notice_audience() {
                Audience::All(all) => (all, (self.to_all)(words.to_vec())),
                Audience::Relays(relays) => {
                    if relays.contains(&me) {
                        self.add(words.iter().cloned());
                    }
                    (relays, (self.to_relays)(words.to_vec()))
                }
            };
            let bytes = encode(&packet);
            for news in audience.into_iter().filter(|news| *news != me) {
                send(socket, news, &bytes);
            }
        }
    }

    /// Passes queued items on to the neighbours, in batches; never returns.
    async fn pass_on(&self, desk: &Desk, socket: &UdpSocket) {
        loop {
            let words = self.next().await;
            let neighbours = desk.neighbours();
            for words in words.chunks(BATCHED) {
                let bytes = encode(&(self.to_all)(words.to_vec()));
                for news in &neighbours {
                    send(socket, *news, &bytes);
                }
            }
        }
    }

    /// Waits for an item and for those that follow within the collecting time, and takes them.
    async fn next(&self) -> Vec<T> {
        loop {
            self.added.notified().await;
            sleep(BATCH).await;
            let words = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
            if !words.is_empty() {
                return words;
            }
        }
    }
}
