//! Broadcasts urgent items to all instances: long prompts, crashes, endpoint limits.
//!
//! In a large fleet an item is sent to one relay instance in each failure domain,
//! which passes it on to the instances of that domain together with other items that
//! arrive at about the same time.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use super::{
    encode, send,
    wire::{Finding, Limit, Notice, Packet, PartCrash, Withdrawal, divide},
};
use crate::dispatcher::{Dispatcher, fleet::short_hash, peers::NoticeRecipients};

/// Time for which a relay instance collects items before it passes them on.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of items in a datagram.
pub(super) const MAX_BATCH: usize = 64;

/// The broadcasts, one for each kind of item.
#[derive(Debug)]
pub(super) struct Broadcasts {
    /// Notices of long prompts.
    pub(super) notices: Broadcast<Notice>,
    /// Findings about requests that crash endpoints.
    pub(super) findings: Broadcast<Finding>,
    /// Crashes under parts of prompts.
    pub(super) part_crashes: Broadcast<PartCrash>,
    /// Rate limits that endpoints report.
    pub(super) limits: Broadcast<Limit>,
    /// Endpoints that leave or have asked for pauses.
    pub(super) withdrawals: Broadcast<Withdrawal>,
}

impl Broadcasts {
    /// Creates broadcasts without queued items.
    pub(super) fn new() -> Self {
        Self {
            notices: Broadcast::new(Packet::Notices, Packet::PassOn),
            findings: Broadcast::new(Packet::Findings, Packet::PassOnFindings),
            part_crashes: Broadcast::new(Packet::PartCrashes, Packet::PassOnPartCrashes),
            limits: Broadcast::new(Packet::Limits, Packet::PassOnLimits),
            withdrawals: Broadcast::new(Packet::Withdrawals, Packet::PassOnWithdrawals),
        }
    }

    /// Broadcasts this instance's items and passes on those of others; never returns.
    pub(super) async fn serve(&self, dispatcher: &Dispatcher, socket: &UdpSocket) {
        tokio::join!(
            self.send_notices(dispatcher, socket),
            self.send_findings(dispatcher, socket),
            self.send_limits(dispatcher, socket),
            self.send_withdrawals(dispatcher, socket),
            self.notices.pass_on(dispatcher, socket),
            self.findings.pass_on(dispatcher, socket),
            self.part_crashes.pass_on(dispatcher, socket),
            self.limits.pass_on(dispatcher, socket),
            self.withdrawals.pass_on(dispatcher, socket)
        );
    }

    async fn send_notices(&self, dispatcher: &Dispatcher, socket: &UdpSocket) {
        let origin = short_hash(&dispatcher.settings.instance);
        loop {
            let notices: Vec<Notice> =
                dispatcher.next_notices().await.into_iter().map(|notice| Notice::new(notice, origin)).collect();
            metrics::counter!("relay_notices_total").increment(u64::try_from(notices.len()).unwrap_or_default());
            self.notices.send_to_all(dispatcher, socket, &notices);
        }
    }

    async fn send_findings(&self, dispatcher: &Dispatcher, socket: &UdpSocket) {
        loop {
            let (findings, part_crashes) = divide(dispatcher.next_findings().await);
            self.findings.send_to_all(dispatcher, socket, &findings);
            self.part_crashes.send_to_all(dispatcher, socket, &part_crashes);
        }
    }

    async fn send_limits(&self, dispatcher: &Dispatcher, socket: &UdpSocket) {
        loop {
            let limits: Vec<Limit> = dispatcher.next_limits().await.into_iter().map(Limit::from).collect();
            self.limits.send_to_all(dispatcher, socket, &limits);
        }
    }

    async fn send_withdrawals(&self, dispatcher: &Dispatcher, socket: &UdpSocket) {
        loop {
            let withdrawals: Vec<Withdrawal> =
                dispatcher.next_withdrawals().await.into_iter().map(Withdrawal::from).collect();
            self.withdrawals.send_to_all(dispatcher, socket, &withdrawals);
        }
    }
}

/// Broadcast of items of one kind, with the items that wait to be passed on.
#[derive(Debug)]
pub(super) struct Broadcast<T> {
    queue: Mutex<Vec<T>>,
    queued: Notify,
    to_all: fn(Vec<T>) -> Packet,
    to_relays: fn(Vec<T>) -> Packet,
}

impl<T: Clone> Broadcast<T> {
    fn new(to_all: fn(Vec<T>) -> Packet, to_relays: fn(Vec<T>) -> Packet) -> Self {
        Self { queue: Mutex::default(), queued: Notify::new(), to_all, to_relays }
    }

    /// Queues items to be passed on.
    pub(super) fn enqueue(&self, items: impl IntoIterator<Item = T>) {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).extend(items);
        self.queued.notify_one();
    }

    /// Sends items to all instances; in a large fleet, to the relay instances.
    fn send_to_all(&self, dispatcher: &Dispatcher, socket: &UdpSocket, items: &[T]) {
        let me = dispatcher.settings.listeners.news;
        for items in items.chunks(MAX_BATCH) {
            let (receivers, packet) = match dispatcher.notice_recipients() {
                NoticeRecipients::All(all) => (all, (self.to_all)(items.to_vec())),
                NoticeRecipients::Relays(relays) => {
                    if relays.contains(&me) {
                        self.enqueue(items.iter().cloned());
                    }
                    (relays, (self.to_relays)(items.to_vec()))
                }
            };
            let bytes = encode(&packet);
            for receiver in receivers.into_iter().filter(|receiver| *receiver != me) {
                send(socket, receiver, &bytes);
            }
        }
    }

    /// Passes queued items on to the instances of this failure domain, in batches; never
    /// returns.
    async fn pass_on(&self, dispatcher: &Dispatcher, socket: &UdpSocket) {
        loop {
            let items = self.next_batch().await;
            let peers_in_domain = dispatcher.live_peers_in_domain();
            for items in items.chunks(MAX_BATCH) {
                let bytes = encode(&(self.to_all)(items.to_vec()));
                for receiver in &peers_in_domain {
                    send(socket, *receiver, &bytes);
                }
            }
        }
    }

    /// Waits for an item, then for [`BATCH_DELAY`], and takes all queued items.
    async fn next_batch(&self) -> Vec<T> {
        loop {
            self.queued.notified().await;
            sleep(BATCH_DELAY).await;
            let items = std::mem::take(&mut *self.queue.lock().unwrap_or_else(PoisonError::into_inner));
            if !items.is_empty() {
                return items;
            }
        }
    }
}
