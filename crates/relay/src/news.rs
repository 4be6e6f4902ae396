//! News between instances: datagrams, small, lost now and then.
//!
//! Each piece holds an instance's whole word, so a lost one is made good by
//! the next. Nothing that must not be lost travels here.

mod spread;
mod wire;

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use route::relay::quarantine;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::sleep,
};

use crate::{
    clock,
    desk::{
        Desk,
        fleet::{self, short_hash},
        peers::{Sighting, Turn, Word},
        track,
        trials::Report,
    },
    front,
};

use self::{
    spread::{BATCHED, Lanes},
    wire::{Finding, Limit, Notice, Order, Packet, Piece, Question, Reply, Seen, short, short_ms},
};

/// Pause between pieces of news. Loads change within a run's length, some
/// hundred milliseconds; a shorter pause costs wake-ups at every instance.
const PAUSE: Duration = Duration::from_millis(250);

/// Instances that a piece goes to, in turn. At a few all hear each piece; at
/// many this bounds what news costs, and each hears each other less often.
const AUDIENCE: usize = 16;

/// Pause between questions to an instance that watches the store. A change
/// must be in force well within the operator's bound of a few seconds.
const ASK: Duration = Duration::from_millis(350);

/// Changes in a reply at most; about a datagram's worth.
const CHANGES: usize = 60;

/// Turns of news, on average, of which one brings reminders along: they only make up for
/// datagrams that were lost and instances that were cut off.
const REMINDED: u32 = 4;

/// Limits of endpoints that go out with a piece of news: drawn anew each time, so that
/// instances that missed the word of one hear of it within a few.
const LIMITS_REMINDED: usize = 16;

/// Other instances named in a piece, so that strangers meet.
const NAMED: usize = 4;

/// The same in a brief piece.
const NAMED_IN_BRIEF: usize = 1;

/// The same in a piece for an instance that was heard for the first time.
const NAMED_TO_STRANGERS: usize = 24;

/// Time in which those heard for the first time are gathered.
const GREETING: Duration = Duration::from_millis(10);

/// Sightings in a piece: with 300 instances, eight pieces each quarter of a second
/// tell four times a second of each.
const SIGHTED: usize = 40;

/// Free ports tried until one is free for connections as well.
const PORTS_TRIED: u32 = 16;

/// Largest piece; a larger one would be split on the way and lost more often.
const LARGEST: usize = 16 << 10;

/// Sends and hears news for good.
pub async fn exchange(desk: Arc<Desk>, socket: Arc<UdpSocket>) {
    // Wall time only orders the starts of one instance. Time since the machine's
    // start would begin anew when it loses power, and nobody would hear it.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let run = u64::try_from(since_epoch.as_nanos()).unwrap_or(0);
    let (asked, lanes) = (Mutex::default(), Lanes::new());
    tokio::join!(
        tell(&desk, &socket, run),
        lanes.serve(&desk, &socket),
        ask(&desk, &socket, &asked),
        hear(&desk, &socket, &asked, &lanes)
    );
}

/// The last question and when it was sent; nothing once it was answered.
type Asked = Mutex<Option<(u64, Duration)>>;

/// Asks an instance that watches the store what has changed.
async fn ask(desk: &Desk, socket: &UdpSocket, asked: &Asked) {
    let (mut number, mut turn) = (rand::random(), 0);
    loop {
        if let Some(watcher) = desk.whom_to_ask(turn) {
            number += 1;
            let last = asked.lock().unwrap_or_else(PoisonError::into_inner).replace((number, clock::now()));
            if last.is_some() {
                turn += 1;
            }
            let question = Question { number, revision: desk.question().revision };
            send(socket, watcher, &encode(&Packet::Question(question)));
        }
        report(desk, socket);
        sleep(ASK).await;
    }
}

/// Brings evidence on roll-outs together at the instances that watch the store.
///
/// In a large fleet each instance sees a few of a bad version's runs, and by news
/// alone it took many seconds until anybody knew of enough of them.
fn report(desk: &Desk, socket: &UdpSocket) {
    let orders: Vec<Order> = desk.trial_reports().iter().map(Order::from).collect();
    if orders.is_empty() {
        return;
    }
    let bytes = encode(&Packet::Evidence(short_hash(&desk.settings.instance), orders));
    for watcher in desk.watchers() {
        send(socket, watcher, &bytes);
    }
}

async fn tell(desk: &Desk, socket: &UdpSocket, run: u64) {
    // A new socket takes nothing before it has been waited for once.
    if let Err(error) = socket.writable().await {
        tracing::warn!(%error, "seeds are not told of this start");
    }
    for seed in &desk.settings.seeds {
        send(socket, *seed, &encode(&Packet::News(piece(desk, run, PAUSE, NAMED))));
    }
    let mut turn = 0;
    loop {
        let Turn { near, far } = desk.audience(turn, AUDIENCE);
        let pause_told = PAUSE * u32::try_from(near.rounds).unwrap_or(u32::MAX);
        let bytes = encode(&Packet::News(piece(desk, run, pause_told, NAMED)));
        // Drawn, not counted: by a count the same instances would be left out each round.
        let reminders = if rand::random_ratio(1, REMINDED) { reminders(desk) } else { Vec::new() };
        for news in near.news.into_iter().chain(desk.strangers()) {
            send_news(socket, news, &bytes, &reminders);
        }
        if !far.news.is_empty() {
            let pause = PAUSE * u32::try_from(far.rounds).unwrap_or(u32::MAX);
            let bytes = encode(&Packet::News(brief(desk, run, pause)));
            for news in far.news {
                send_news(socket, news, &bytes, &reminders);
            }
        }
        turn += 1;
        let mut pause = pin!(sleep(PAUSE));
        loop {
            tokio::select! {
                () = &mut pause => break,
                () = desk.hurry() => break,
                () = desk.greetings() => greet(desk, socket, run, pause_told).await,
            }
        }
    }
}

/// Tells instances that were heard for the first time at once: one that starts
/// finds the others by that. When a fleet starts, those of a moment together.
async fn greet(desk: &Desk, socket: &UdpSocket, run: u64, pause: Duration) {
    sleep(GREETING).await;
    let bytes = encode(&Packet::News(piece(desk, run, pause, NAMED_TO_STRANGERS)));
    let reminders = reminders(desk);
    for news in desk.greeted() {
        send_news(socket, news, &bytes, &reminders);
    }
}

/// Requests that are refused and limits of endpoints, for instances that were not told
/// or started later; nothing where there are none.
fn reminders(desk: &Desk) -> Vec<Vec<u8>> {
    let findings: Vec<Finding> = desk.refused_requests(BATCHED).into_iter().map(Finding::from).collect();
    let limits: Vec<Limit> = desk.limits(LIMITS_REMINDED).into_iter().map(Limit::from).collect();
    let findings = (!findings.is_empty()).then_some(Packet::Findings(findings));
    let limits = (!limits.is_empty()).then_some(Packet::Limits(limits));
    findings.iter().chain(&limits).map(encode).collect()
}

fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        tracing::debug!(%to, %error, "news not sent; the next piece makes up for it");
    }
}

/// Sends a piece of news, and reminders after it.
fn send_news(socket: &UdpSocket, to: SocketAddr, piece: &[u8], reminders: &[Vec<u8>]) {
    send(socket, to, piece);
    for reminder in reminders {
        send(socket, to, reminder);
    }
}

/// Takes notices in but for this instance's own, which relays send back as well.
fn take_notices(desk: &Desk, notices: Vec<Notice>) {
    let me = short_hash(&desk.settings.instance);
    for notice in notices.into_iter().filter(|notice| notice.origin != me) {
        desk.take_notice(notice.into());
    }
}

fn take_findings(desk: &Desk, findings: &[Finding]) {
    desk.take_findings(findings.iter().copied().map(quarantine::Finding::from));
}

async fn hear(desk: &Desk, socket: &UdpSocket, asked: &Asked, lanes: &Lanes) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "news not received");
                sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(Packet::News(piece)) => {
                for (name, news) in &piece.named {
                    desk.meet(name, *news);
                }
                desk.take_sightings(piece.sightings.iter().map(Sighting::from));
                desk.hear(&piece.name, from, Word::from(&piece));
            }
            Ok(Packet::Evidence(name, orders)) => desk.take_reports(name, orders.iter().map(Report::from).collect()),
            Ok(Packet::Notices(notices)) => take_notices(desk, notices),
            Ok(Packet::PassOn(notices)) => {
                lanes.notices.add(notices.clone());
                take_notices(desk, notices);
            }
            Ok(Packet::Findings(findings)) => take_findings(desk, &findings),
            Ok(Packet::PassOnFindings(findings)) => {
                lanes.findings.add(findings.clone());
                take_findings(desk, &findings);
            }
            Ok(Packet::Limits(limits)) => desk.take_limits(limits.iter().map(fleet::Limit::from)),
            Ok(Packet::PassOnLimits(limits)) => {
                desk.take_limits(limits.iter().map(fleet::Limit::from));
                lanes.limits.add(limits);
            }
            Ok(Packet::Question(question)) => {
                let asked = track::Question { revision: question.revision };
                if let Some(reply) = desk.reply(asked, CHANGES) {
                    send(socket, from, &encode(&Packet::Reply(Reply::new(question.number, reply))));
                }
            }
            Ok(Packet::Reply(reply)) => {
                let mut asked = asked.lock().unwrap_or_else(PoisonError::into_inner);
                // Only the reply to the last question: an older one would
                // prove less than its age says.
                if let Some((_, at)) = asked.take_if(|(number, _)| *number == reply.number) {
                    drop(asked);
                    desk.note_teller(from, reply.catalog);
                    desk.take_reply(at, reply.into());
                }
            }
            Err(error) => tracing::warn!(%from, %error, "news does not read; instances of another build?"),
        }
    }
}

fn piece(desk: &Desk, run: u64, pause: Duration, named: usize) -> Piece {
    Piece {
        name: desk.settings.instance.clone(),
        run,
        front: desk.settings.listeners.front,
        phase: desk.phase().into(),
        fresh: desk.fresh(),
        in_touch: desk.in_touch(),
        narrow: desk.is_narrow(),
        centicores: desk.settings.cores.0,
        domain: desk.settings.domain.clone(),
        pause_ms: short_ms(pause),
        named: desk.some_peers(named),
        sightings: sightings(desk, pause),
        loads: desk
            .own_loads()
            .into_iter()
            .map(|(hash, load)| (hash, short(load.runs), short(load.backlog_ms)))
            .collect(),
        sessions: desk.settled_sessions(),
        orders: desk.trial_reports().iter().map(Order::from).collect(),
        catalog: desk.catalog().map_or(0, |catalog| catalog.version),
    }
}

/// A piece without what would be old before the next one comes.
fn brief(desk: &Desk, run: u64, pause: Duration) -> Piece {
    Piece { loads: Vec::new(), sightings: Vec::new(), ..piece(desk, run, pause, NAMED_IN_BRIEF) }
}

/// Where a round of news takes several turns, when others were heard.
fn sightings(desk: &Desk, pause: Duration) -> Vec<Seen> {
    if pause <= PAUSE {
        return Vec::new();
    }
    desk.sightings(SIGHTED).into_iter().map(Seen::from).collect()
}

fn encode(packet: &Packet) -> Vec<u8> {
    postcard::to_allocvec(packet).unwrap_or_else(|error| {
        tracing::error!(%error, "news not encoded");
        Vec::new()
    })
}

/// Binds the socket that news comes by, and a listener for copies of the catalog
/// at the same port.
pub async fn bind(address: SocketAddr) -> io::Result<(Arc<UdpSocket>, TcpListener)> {
    let mut left = if address.port() == 0 { PORTS_TRIED } else { 1 };
    loop {
        left -= 1;
        let socket = UdpSocket::bind(address).await?;
        match front::bind(socket.local_addr()?) {
            Ok(listener) => return Ok((Arc::new(socket), listener)),
            // A free port for datagrams may be taken for connections.
            Err(error) if left == 0 => return Err(error),
            Err(error) => tracing::debug!(%error, "another port is tried"),
        }
    }
}
