//! News: gossip between instances in small UDP datagrams, some of which are lost.
//!
//! Each news message holds the full state that an instance reports, so the next
//! message makes up for a lost one. Nothing that must not be lost is sent this way.
//! Besides news, instances that do not watch the store ask one that does for
//! changes, and urgent items are broadcast at once (`spread`).

mod paces;
mod spread;
#[cfg(test)]
mod tests;
mod wire;

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures::future::{Either, select};
use route::relay::quarantine;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::sleep,
};

use crate::{
    clock,
    dispatcher::{
        Dispatcher,
        fleet::{self, short_hash},
        peers::{NewsRecipients, Sighting, Status},
        synchronization,
    },
    front,
};

use self::{
    spread::{Broadcasts, MAX_BATCH},
    wire::{
        Demands, Limit, NewsMessage, Notice, Packet, Question, RejectionLimit, Reply, RolloutEvidence, RouteEvidence,
        SerializedSighting, Withdrawal, clamp_to_u16, divide, millis_u32,
    },
};

/// Pause between news messages. Loads change within the length of a run, some hundred
/// milliseconds; a shorter pause costs wake-ups at every instance.
const NEWS_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of receivers of a news message; the known instances take turns. In a
/// small fleet all receive each message. In a large one this bounds the cost of news, and
/// each instance receives another's news less often.
const MAX_RECEIVERS: usize = 16;

/// Pause between questions to an instance that watches the store. A change must be in
/// force well within the operator's bound of a few seconds.
const QUESTION_PAUSE: Duration = Duration::from_millis(350);

/// Maximum number of changes in a reply; about as many as fit into a datagram.
const MAX_REPLY_CHANGES: usize = 60;

/// One in this many news messages, on average, is sent with reminders of quarantined requests,
/// endpoint limits and withdrawals. They only make up for lost datagrams and for instances that were cut
/// off.
const REMINDER_RATIO: u32 = 4;

/// Maximum number of endpoint limits in a reminder. They are drawn at random each time, so
/// that instances that missed a limit receive it within a few reminders.
const MAX_REMINDER_LIMITS: usize = 16;

/// Maximum number of endpoints in a reminder that leave or have asked for pauses, drawn likewise.
const MAX_REMINDER_WITHDRAWALS: usize = 16;

/// Number of other instances named in a news message, so that instances discover each other.
const MAX_NAMED: usize = 4;

/// Number of other instances named in a brief news message.
const MAX_NAMED_IN_BRIEF: usize = 1;

/// Number of other instances named in a greeting to a newly discovered instance.
const MAX_NAMED_IN_GREETING: usize = 24;

/// Time for which newly discovered instances are collected before they are greeted
/// together.
const GREETING_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of sightings in a news message; a sighting says when another instance was
/// last heard from. With 300 instances, an instance that receives eight messages each
/// quarter of a second gets four sightings of each other instance per second.
const MAX_SIGHTINGS: usize = 40;

/// Number of free UDP ports tried until one is free for TCP as well.
const MAX_PORTS_TRIED: u32 = 16;

/// Largest datagram that is received, in bytes. Larger ones would be fragmented and lost
/// more often.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Number of messages about demands in a row that must be missing before the demands are
/// forgotten, as with loads: one may be lost, and the next one late.
const MAX_MISSING_DEMANDS: u32 = 4;

/// Bounds of the time for which another instance's demands hold without a message.
const MIN_DEMANDS_LIFETIME: Duration = Duration::from_millis(1_100);
const MAX_DEMANDS_LIFETIME: Duration = Duration::from_secs(20);

/// Number of lists at the end of a message that earlier builds leave out.
const MAX_MISSING_LISTS: usize = 3;

/// Sends and receives datagrams; never returns.
pub async fn exchange(dispatcher: Arc<Dispatcher>, socket: Arc<UdpSocket>) {
    // Wall-clock time is only used to order the starts of one instance. Time since boot
    // would restart after a power loss, and others would ignore the instance as outdated.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start_time = u64::try_from(since_epoch.as_nanos()).unwrap_or(0);
    let (last_question, broadcasts) = (Mutex::default(), Broadcasts::new());
    tokio::join!(
        send_periodically(&dispatcher, &socket, start_time),
        broadcasts.serve(&dispatcher, &socket),
        ask_watchers(&dispatcher, &socket, &last_question),
        receive(&dispatcher, &socket, &last_question, &broadcasts)
    );
}

/// Number of the last question and the time at which it was sent; `None` once answered.
type LastQuestion = Mutex<Option<(u64, Duration)>>;

/// Periodically asks an instance that watches the store for changes.
async fn ask_watchers(dispatcher: &Dispatcher, socket: &UdpSocket, last_question: &LastQuestion) {
    let (mut number, mut turn) = (rand::random(), 0);
    loop {
        if let Some(watcher) = dispatcher.watcher_to_ask(turn) {
            number += 1;
            let last = last_question.lock().unwrap_or_else(PoisonError::into_inner).replace((number, clock::now()));
            if last.is_some() {
                turn += 1;
            }
            let question = Question { number, revision: dispatcher.question().revision.into() };
            send(socket, watcher, &encode(&Packet::Question(question)));
        }
        send_evidence(dispatcher, socket, &dispatcher.watchers());
        // Another instance may go on sending to a version that was reverted until it knows.
        let pause = sleep(dispatcher.question_pause(QUESTION_PAUSE));
        if let Either::Left(_) = select(pin!(dispatcher.wait_for_decision()), pin!(pause)).await {
            send_evidence(dispatcher, socket, &dispatcher.live_peers());
        }
    }
}

/// Sends this instance's evidence and stages of rollouts to other instances: regularly to those that watch
/// the store, and to all after a decision.
///
/// In a large fleet each instance sees only a few runs of a bad version. With news alone it
/// takes many seconds until any instance has enough evidence.
fn send_evidence(dispatcher: &Dispatcher, socket: &UdpSocket, recipients: &[SocketAddr]) {
    let reports = dispatcher.rollout_reports();
    if reports.is_empty() {
        return;
    }
    let (evidence, routes) = (reports.iter().map(RolloutEvidence::from).collect(), RouteEvidence::of(&reports));
    let bytes = encode(&Packet::Evidence(short_hash(&dispatcher.settings.instance), evidence, routes));
    for recipient in recipients {
        send(socket, *recipient, &bytes);
    }
}

/// Announces this start to the seeds, then periodically sends news.
async fn send_periodically(dispatcher: &Dispatcher, socket: &UdpSocket, start_time: u64) {
    // `try_send_to` fails on a new socket until its readiness was awaited once.
    if let Err(error) = socket.writable().await {
        tracing::warn!(%error, "cannot announce this start to the seeds");
    }
    for seed in &dispatcher.settings.seeds {
        send(socket, *seed, &encode(&Packet::News(news_message(dispatcher, start_time, NEWS_PAUSE, MAX_NAMED))));
    }
    let mut turn = 0;
    loop {
        let NewsRecipients { near, far } = dispatcher.news_recipients(turn, MAX_RECEIVERS);
        let recipients: Vec<SocketAddr> = near.news.iter().chain(&far.news).copied().collect();
        let time_to_next = NEWS_PAUSE * u32::try_from(near.turns).unwrap_or(u32::MAX);
        let bytes = encode(&Packet::News(news_message(dispatcher, start_time, time_to_next, MAX_NAMED)));
        // Random, because with a counter the same instances would miss the reminders in each
        // round.
        let reminders = if rand::random_ratio(1, REMINDER_RATIO) { reminders(dispatcher) } else { Vec::new() };
        let demands = demands(dispatcher, time_to_next);
        for receiver in near.news.into_iter().chain(dispatcher.take_extra_recipients()) {
            send_news(socket, receiver, &bytes, &reminders);
            send_all(socket, receiver, &demands);
        }
        if !far.news.is_empty() {
            let pause = NEWS_PAUSE * u32::try_from(far.turns).unwrap_or(u32::MAX);
            let bytes = encode(&Packet::News(brief_message(dispatcher, start_time, pause)));
            let demands = self::demands(dispatcher, pause);
            for receiver in far.news {
                send_news(socket, receiver, &bytes, &reminders);
                send_all(socket, receiver, &demands);
            }
        }
        turn += 1;
        paces::send_paces(dispatcher, socket, &recipients);
        let mut pause = pin!(sleep(NEWS_PAUSE));
        loop {
            tokio::select! {
                () = &mut pause => break,
                () = dispatcher.wait_for_urgent_news() => break,
                () = dispatcher.wait_for_new_peers() => greet(dispatcher, socket, start_time, time_to_next).await,
            }
        }
    }
}

/// Sends news to newly discovered instances at once, so that a starting instance discovers
/// the others. When a fleet starts, those found at about the same time are greeted together.
async fn greet(dispatcher: &Dispatcher, socket: &UdpSocket, start_time: u64, pause: Duration) {
    sleep(GREETING_DELAY).await;
    let bytes = encode(&Packet::News(news_message(dispatcher, start_time, pause, MAX_NAMED_IN_GREETING)));
    let reminders = reminders(dispatcher);
    for receiver in dispatcher.take_new_peers() {
        send_news(socket, receiver, &bytes, &reminders);
    }
}

/// Returns encoded datagrams with quarantined requests, endpoint limits and withdrawals, for
/// instances that missed them or started later; empty if there are none.
fn reminders(dispatcher: &Dispatcher) -> Vec<Vec<u8>> {
    let (findings, _) = divide(dispatcher.refused_requests(MAX_BATCH));
    let limits: Vec<Limit> = dispatcher.recent_limits(MAX_REMINDER_LIMITS).into_iter().map(Limit::from).collect();
    let findings = (!findings.is_empty()).then_some(Packet::Findings(findings));
    let limits = (!limits.is_empty()).then_some(Packet::Limits(limits));
    let withdrawals: Vec<Withdrawal> =
        dispatcher.recent_withdrawals(MAX_REMINDER_WITHDRAWALS).into_iter().map(Withdrawal::from).collect();
    let withdrawals = (!withdrawals.is_empty()).then_some(Packet::Withdrawals(withdrawals));
    findings.iter().chain(&limits).chain(&withdrawals).map(encode).collect()
}

fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        tracing::debug!(%to, %error, "sending a datagram failed; a later one makes up for it");
    }
}

/// Returns encoded datagrams with the demands of this instance's callers at services that may be
/// above about half of their capacity; none without admission control. `pause` is the time until
/// the receivers get the next ones.
fn demands(dispatcher: &Dispatcher, pause: Duration) -> Vec<Vec<u8>> {
    let Some(gate) = &dispatcher.gate else { return Vec::new() };
    gate.set_instances(dispatcher.live_instance_count());
    let origin = short_hash(&dispatcher.settings.instance);
    gate.reports().iter().map(|report| encode(&Packet::Demands(Demands::new(origin, report, pause)))).collect()
}

/// Records demands that another instance tells, until it is due to have told others three times.
fn apply_demands(dispatcher: &Dispatcher, demands: Demands) {
    let Some(gate) = &dispatcher.gate else { return };
    let lifetime = (demands.pause() * MAX_MISSING_DEMANDS).clamp(MIN_DEMANDS_LIFETIME, MAX_DEMANDS_LIFETIME);
    gate.record_report(demands.origin, demands.into(), lifetime);
}

/// Sends a news message and then reminders.
fn send_news(socket: &UdpSocket, to: SocketAddr, message: &[u8], reminders: &[Vec<u8>]) {
    send(socket, to, message);
    send_all(socket, to, reminders);
}

fn send_all(socket: &UdpSocket, to: SocketAddr, messages: &[Vec<u8>]) {
    for message in messages {
        send(socket, to, message);
    }
}

/// Applies notices, except this instance's own, which relay instances send back to it.
fn apply_notices(dispatcher: &Dispatcher, notices: Vec<Notice>) {
    let me = short_hash(&dispatcher.settings.instance);
    for notice in notices.into_iter().filter(|notice| notice.origin != me) {
        dispatcher.apply_notice(notice.into());
    }
}

fn apply_findings<F: Copy + Into<quarantine::Finding>>(dispatcher: &Dispatcher, findings: &[F]) {
    dispatcher.apply_findings(findings.iter().copied().map(Into::into));
}

fn apply_withdrawals(dispatcher: &Dispatcher, withdrawals: &[Withdrawal]) {
    dispatcher.apply_withdrawals(withdrawals.iter().map(fleet::Withdrawal::from));
}

/// Receives datagrams, applies them and answers questions.
async fn receive(dispatcher: &Dispatcher, socket: &UdpSocket, last_question: &LastQuestion, broadcasts: &Broadcasts) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + MAX_MISSING_LISTS];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer[..MAX_DATAGRAM_BYTES]).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "receiving a datagram failed");
                sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        match decode(&mut buffer, length) {
            Ok(Packet::News(message)) => {
                for (name, news) in &message.named {
                    dispatcher.discover_peer(name, *news);
                }
                dispatcher.apply_sightings(message.sightings.iter().map(Sighting::from));
                dispatcher.apply_rejection_limits(message.rejection_limits.iter().map(fleet::RejectionLimit::from));
                dispatcher.update_peer(&message.name, from, Status::from(&message));
            }
            Ok(Packet::Evidence(name, evidence, routes)) => {
                dispatcher.apply_reports(name, wire::reports(&evidence, &routes));
            }
            Ok(Packet::Notices(notices)) => apply_notices(dispatcher, notices),
            Ok(Packet::PassOn(notices)) => {
                broadcasts.notices.enqueue(notices.clone());
                apply_notices(dispatcher, notices);
            }
            Ok(Packet::Findings(findings)) => apply_findings(dispatcher, &findings),
            Ok(Packet::PassOnFindings(findings)) => {
                broadcasts.findings.enqueue(findings.clone());
                apply_findings(dispatcher, &findings);
            }
            Ok(Packet::PartCrashes(crashes)) => apply_findings(dispatcher, &crashes),
            Ok(Packet::PassOnPartCrashes(crashes)) => {
                broadcasts.part_crashes.enqueue(crashes.clone());
                apply_findings(dispatcher, &crashes);
            }
            Ok(Packet::Limits(limits)) => dispatcher.apply_limits(limits.iter().map(fleet::Limit::from)),
            Ok(Packet::PassOnLimits(limits)) => {
                dispatcher.apply_limits(limits.iter().map(fleet::Limit::from));
                broadcasts.limits.enqueue(limits);
            }
            Ok(Packet::Withdrawals(withdrawals)) => apply_withdrawals(dispatcher, &withdrawals),
            Ok(Packet::PassOnWithdrawals(withdrawals)) => {
                apply_withdrawals(dispatcher, &withdrawals);
                broadcasts.withdrawals.enqueue(withdrawals);
            }
            Ok(Packet::Paces(name, paces)) => {
                dispatcher.apply_paces(name, from, paces.into_iter().map(fleet::PaceReport::from));
            }
            Ok(Packet::Demands(demands)) => apply_demands(dispatcher, demands),
            Ok(Packet::Question(question)) => {
                let asked = synchronization::Question { revision: question.revision.into() };
                if let Some(reply) = dispatcher.reply(asked, MAX_REPLY_CHANGES) {
                    send(socket, from, &encode(&Packet::Reply(Reply::new(question.number, reply))));
                }
            }
            Ok(Packet::Reply(reply)) => {
                let mut last_question = last_question.lock().unwrap_or_else(PoisonError::into_inner);
                // Only a reply to the last question counts: the proof in an earlier one is
                // older than computed from the last question's time.
                if let Some((_, at)) = last_question.take_if(|(number, _)| *number == reply.number) {
                    drop(last_question);
                    dispatcher.record_newer_catalog_peer(from, reply.catalog);
                    dispatcher.apply_reply(at, reply.into());
                }
            }
            Err(error) => tracing::warn!(%from, %error, "invalid datagram; instances of another build?"),
        }
    }
}

/// Builds a news message; `pause` is the time until the receiver gets the next one, and
/// `named` the number of other instances to name.
fn news_message(dispatcher: &Dispatcher, start_time: u64, pause: Duration, named: usize) -> NewsMessage {
    let reports = dispatcher.rollout_reports();
    NewsMessage {
        name: dispatcher.settings.instance.clone(),
        run: start_time,
        front: dispatcher.settings.listeners.front,
        phase: dispatcher.phase().into(),
        fresh: dispatcher.is_fresh(),
        in_touch: dispatcher.is_in_touch_with_store(),
        narrow: dispatcher.is_narrow(),
        centicores: dispatcher.settings.cores.0,
        domain: dispatcher.settings.domain.clone(),
        pause_ms: millis_u32(pause),
        named: dispatcher.sample_peers(named),
        sightings: recent_sightings(dispatcher, pause),
        loads: dispatcher
            .own_loads()
            .into_iter()
            .map(|(hash, load)| (hash, clamp_to_u16(load.runs), clamp_to_u16(load.backlog_ms)))
            .collect(),
        sessions: dispatcher.old_version_sessions(),
        orders: reports.iter().map(RolloutEvidence::from).collect(),
        catalog: dispatcher.catalog().map_or(0, |catalog| catalog.version),
        unreachable: dispatcher.lost_services(),
        rejection_limits: dispatcher.rejection_limits().into_iter().map(RejectionLimit::from).collect(),
        route_evidence: RouteEvidence::of(&reports),
    }
}

/// Builds a news message without the parts that would be outdated before the next one.
fn brief_message(dispatcher: &Dispatcher, start_time: u64, pause: Duration) -> NewsMessage {
    NewsMessage {
        loads: Vec::new(),
        sightings: Vec::new(),
        ..news_message(dispatcher, start_time, pause, MAX_NAMED_IN_BRIEF)
    }
}

/// Returns when other instances were last heard from, if a round of news takes several
/// messages.
fn recent_sightings(dispatcher: &Dispatcher, pause: Duration) -> Vec<SerializedSighting> {
    if pause <= NEWS_PAUSE {
        return Vec::new();
    }
    dispatcher.recent_sightings(MAX_SIGHTINGS).into_iter().map(SerializedSighting::from).collect()
}

/// Decodes the datagram in the first `length` bytes of a buffer that is longer by
/// [`MAX_MISSING_LISTS`] or more.
///
/// Earlier builds ignore what follows the fields that they know. Lists that they leave out at
/// the end are decoded as empty, from zero bytes after the datagram.
fn decode(buffer: &mut [u8], length: usize) -> postcard::Result<Packet> {
    let padded = length + MAX_MISSING_LISTS;
    buffer[length..padded].fill(0);
    postcard::from_bytes(&buffer[..padded])
}

fn encode(packet: &Packet) -> Vec<u8> {
    postcard::to_allocvec(packet).unwrap_or_else(|error| {
        tracing::error!(%error, "encoding a datagram failed");
        Vec::new()
    })
}

/// Binds the UDP socket for news and, at the same port, a TCP listener that serves copies
/// of the catalog.
pub async fn bind(address: SocketAddr) -> io::Result<(Arc<UdpSocket>, TcpListener)> {
    let mut left = if address.port() == 0 { MAX_PORTS_TRIED } else { 1 };
    loop {
        left -= 1;
        let socket = UdpSocket::bind(address).await?;
        match front::bind(socket.local_addr()?) {
            Ok(listener) => return Ok((Arc::new(socket), listener)),
            // A port that is free for UDP may be in use for TCP.
            Err(error) if left == 0 => return Err(error),
            Err(error) => tracing::debug!(%error, "port is not free for TCP; trying another one"),
        }
    }
}
