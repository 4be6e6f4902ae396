//! What all instances are told at once: long prompts, crashes, limits of endpoints.
//!
//! In a large fleet a word goes to a relay in each failure domain, which passes it
//! on to its neighbours with others of the same moment.

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

/// Time in which a relay gathers what it passes on.
const BATCH: Duration = Duration::from_millis(30);

/// Words in a datagram at most.
pub(super) const BATCHED: usize = 64;

/// Lanes of what is told at once.
#[derive(Debug)]
pub(super) struct Lanes {
    /// Long prompts.
    pub(super) notices: Lane<Notice>,
    /// Requests under which endpoints crash.
    pub(super) findings: Lane<Finding>,
    /// Limits that endpoints name.
    pub(super) limits: Lane<Limit>,
}

impl Lanes {
    /// Lanes on which nothing is told yet.
    pub(super) fn new() -> Self {
        Self {
            notices: Lane::new(Packet::Notices, Packet::PassOn),
            findings: Lane::new(Packet::Findings, Packet::PassOnFindings),
            limits: Lane::new(Packet::Limits, Packet::PassOnLimits),
        }
    }

    /// Tells what this instance has to tell, and passes on what others do, for good.
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

/// Words of one kind, and what waits to be passed on.
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

    /// Has words passed on with the next datagrams.
    pub(super) fn add(&self, words: impl IntoIterator<Item = T>) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).extend(words);
        self.added.notify_one();
    }

    /// Sends words to all instances, in a large fleet by way of relays.
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

    /// Passes on to the neighbours what other instances tell, some at a time.
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

    /// Waits for the first word and for those that come right after it.
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
