//! News between instances: datagrams, small, lost now and then.
//!
//! Each piece holds an instance's whole word, so a lost one is made good by
//! the next. Nothing that must not be lost travels here.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::seq::SliceRandom;
use route::relay::canary::{Lateness, Stage, Tally};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    clock,
    desk::{
        Desk,
        fleet::Load,
        peers::Word,
        track,
        trials::{Report, Tallies},
    },
    rollout::Rollout,
    source::Endpoint,
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

/// Other instances named in a piece, so that strangers meet.
const NAMED: usize = 4;

/// Largest piece; a larger one would be split on the way and lost more often.
const LARGEST: usize = 16 << 10;

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
enum Packet {
    News(Piece),
    Question(Question),
    Reply(Reply),
}

/// A question on the wire; the number ties the reply to it.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    number: u64,
    revision: u64,
}

/// A reply on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Reply {
    number: u64,
    catalog: u64,
    proof_age_ms: u32,
    revision: u64,
    gap: bool,
    changes: Vec<Change>,
    rollouts: Vec<Ordered>,
}

/// A change to an endpoint on the wire.
#[derive(Debug, Serialize, Deserialize)]
enum Change {
    Known {
        id: String,
        service: String,
        address: SocketAddr,
        domain: String,
        version: String,
        slots: u32,
        draining: bool,
        cold_ms: u32,
    },
    Gone(String),
}

/// An order for a roll-out on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Ordered {
    service: String,
    target: String,
    over_ms: u32,
    stage: Option<u8>,
    revision: u64,
}

/// A piece of news on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Piece {
    name: String,
    run: u64,
    front: SocketAddr,
    ready: bool,
    fresh: bool,
    in_touch: bool,
    domain: String,
    pause_ms: u32,
    named: Vec<(String, SocketAddr)>,
    loads: Vec<(u32, u16, u16)>,
    orders: Vec<Order>,
}

/// A version's record on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    runs: u32,
    bad: u32,
    timed: u32,
    sum: f64,
    squares: f64,
}

impl From<Tally> for Counts {
    fn from(tally: Tally) -> Self {
        let Lateness { runs, sum, squares } = tally.lateness;
        Self { runs: tally.runs, bad: tally.bad, timed: runs, sum, squares }
    }
}

impl From<&Counts> for Tally {
    fn from(counts: &Counts) -> Self {
        let lateness = Lateness { runs: counts.timed, sum: counts.sum, squares: counts.squares };
        Self { runs: counts.runs, bad: counts.bad, lateness }
    }
}

/// A roll-out on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Order {
    hash: u32,
    stage: u8,
    elapsed_ms: u32,
    new: Counts,
    old: Counts,
}

fn number(stage: Stage) -> u8 {
    match stage {
        Stage::Trial => 0,
        Stage::Shift => 1,
        Stage::Done => 2,
        Stage::Reverted => 3,
    }
}

fn stage(number: u8) -> Stage {
    match number {
        1 => Stage::Shift,
        2 => Stage::Done,
        3 => Stage::Reverted,
        _ => Stage::Trial,
    }
}

fn short_ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl From<track::Change> for Change {
    fn from(change: track::Change) -> Self {
        match change {
            track::Change::Gone(id) => Self::Gone(id),
            track::Change::Known(endpoint) => Self::Known {
                id: endpoint.id,
                service: endpoint.service,
                address: endpoint.address,
                domain: endpoint.domain,
                version: endpoint.version,
                slots: endpoint.slots,
                draining: endpoint.draining,
                cold_ms: short_ms(endpoint.cold),
            },
        }
    }
}

impl From<Change> for track::Change {
    fn from(change: Change) -> Self {
        match change {
            Change::Gone(id) => Self::Gone(id),
            Change::Known { id, service, address, domain, version, slots, draining, cold_ms } => {
                let cold = Duration::from_millis(u64::from(cold_ms));
                Self::Known(Endpoint { id, service, address, domain, version, slots, draining, cold })
            }
        }
    }
}

impl From<Rollout> for Ordered {
    fn from(rollout: Rollout) -> Self {
        Self {
            service: rollout.service,
            target: rollout.target,
            over_ms: short_ms(rollout.over),
            stage: rollout.stage.map(number),
            revision: rollout.revision,
        }
    }
}

impl From<Ordered> for Rollout {
    fn from(ordered: Ordered) -> Self {
        Self {
            service: ordered.service,
            target: ordered.target,
            over: Duration::from_millis(u64::from(ordered.over_ms)),
            stage: ordered.stage.map(stage),
            revision: ordered.revision,
        }
    }
}

impl Reply {
    fn new(number: u64, reply: track::Reply) -> Self {
        Self {
            number,
            catalog: reply.catalog,
            proof_age_ms: short_ms(reply.proof_age).saturating_add(1),
            revision: reply.revision,
            gap: reply.gap,
            changes: reply.changes.into_iter().map(Change::from).collect(),
            rollouts: reply.orders.into_iter().map(Ordered::from).collect(),
        }
    }
}

impl From<Reply> for track::Reply {
    fn from(reply: Reply) -> Self {
        Self {
            catalog: reply.catalog,
            proof_age: Duration::from_millis(u64::from(reply.proof_age_ms)),
            revision: reply.revision,
            gap: reply.gap,
            changes: reply.changes.into_iter().map(track::Change::from).collect(),
            orders: reply.rollouts.into_iter().map(Rollout::from).collect(),
        }
    }
}

impl From<&Report> for Order {
    fn from(report: &Report) -> Self {
        Self {
            hash: report.order,
            stage: number(report.stage),
            elapsed_ms: short_ms(report.elapsed),
            new: report.own.new.into(),
            old: report.own.old.into(),
        }
    }
}

impl From<&Order> for Report {
    fn from(order: &Order) -> Self {
        Self {
            order: order.hash,
            stage: stage(order.stage),
            elapsed: Duration::from_millis(u64::from(order.elapsed_ms)),
            own: Tallies { new: (&order.new).into(), old: (&order.old).into() },
        }
    }
}

impl From<&Piece> for Word {
    fn from(piece: &Piece) -> Self {
        let load = |&(hash, runs, backlog): &(u32, u16, u16)| {
            (hash, Load { runs: f64::from(runs), backlog_ms: f64::from(backlog) })
        };
        Self {
            front: Some(piece.front),
            run: piece.run,
            ready: piece.ready,
            fresh: piece.fresh,
            domain: piece.domain.clone(),
            in_touch: piece.in_touch,
            pause: Duration::from_millis(u64::from(piece.pause_ms)),
            loads: piece.loads.iter().map(load).collect::<HashMap<_, _>>(),
            reports: piece.orders.iter().map(Report::from).collect(),
        }
    }
}

/// Sends and hears news for good.
pub async fn exchange(desk: Arc<Desk>, socket: Arc<UdpSocket>) {
    // Wall time only orders the starts of one instance; a start that looks
    // older than the one before is heard once that one has gone silent.
    let run = u64::try_from(clock::now().as_nanos()).unwrap_or(0);
    let asked = Mutex::default();
    tokio::join!(tell(&desk, &socket, run), ask(&desk, &socket, &asked), hear(&desk, &socket, &asked));
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
        sleep(ASK).await;
    }
}

async fn tell(desk: &Desk, socket: &UdpSocket, run: u64) {
    for seed in &desk.settings.seeds {
        send(socket, *seed, &encode(&Packet::News(piece(desk, run, PAUSE))));
    }
    let mut turn = 0;
    loop {
        let mut audience = desk.audience();
        audience.sort_unstable();
        let rounds = audience.len().div_ceil(AUDIENCE).max(1);
        let pause = PAUSE * u32::try_from(rounds).unwrap_or(u32::MAX);
        let bytes = encode(&Packet::News(piece(desk, run, pause)));
        for (_, news) in audience.iter().skip(turn % rounds).step_by(rounds) {
            send(socket, *news, &bytes);
        }
        turn += 1;
        tokio::select! {
            () = sleep(PAUSE) => {}
            () = desk.hurry() => {}
        }
    }
}

fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        tracing::debug!(%to, %error, "news not sent; the next piece makes up for it");
    }
}

async fn hear(desk: &Desk, socket: &UdpSocket, asked: &Asked) {
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
                desk.hear(&piece.name, from, Word::from(&piece));
            }
            Ok(Packet::Question(question)) => {
                let question = (question.number, track::Question { revision: question.revision });
                if let Some(reply) = desk.reply(question.1, CHANGES) {
                    send(socket, from, &encode(&Packet::Reply(Reply::new(question.0, reply))));
                }
            }
            Ok(Packet::Reply(reply)) => {
                let mut asked = asked.lock().unwrap_or_else(PoisonError::into_inner);
                // Only the reply to the last question: an older one would
                // prove less than its age says.
                if let Some((_, at)) = asked.take_if(|(number, _)| *number == reply.number) {
                    drop(asked);
                    desk.take_reply(at, reply.into());
                }
            }
            Err(error) => tracing::warn!(%from, %error, "news does not read; instances of another build?"),
        }
    }
}

fn piece(desk: &Desk, run: u64, pause: Duration) -> Piece {
    let mut named = desk.audience();
    named.shuffle(&mut rand::rng());
    named.truncate(NAMED);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the type's range")]
    let short = |value: f64| value.clamp(0.0, f64::from(u16::MAX)) as u16;
    Piece {
        name: desk.settings.instance.clone(),
        run,
        front: desk.settings.listeners.front,
        ready: desk.ready(),
        fresh: desk.fresh(),
        in_touch: desk.in_touch(),
        domain: desk.settings.domain.clone(),
        pause_ms: short_ms(pause),
        named,
        loads: desk
            .own_loads()
            .into_iter()
            .map(|(hash, load)| (hash, short(load.runs), short(load.backlog_ms)))
            .collect(),
        orders: desk.trial_reports().iter().map(Order::from).collect(),
    }
}

fn encode(packet: &Packet) -> Vec<u8> {
    postcard::to_allocvec(packet).unwrap_or_else(|error| {
        tracing::error!(%error, "news not encoded");
        Vec::new()
    })
}

/// Binds the socket that news comes by.
pub async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}
