//! News between instances: datagrams, small, lost now and then.
//!
//! Each piece holds an instance's whole word, so a lost one is made good by
//! the next. Nothing that must not be lost travels here.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::SliceRandom;
use route::relay::canary::{Stage, Tally};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    clock,
    desk::{
        Desk,
        fleet::Load,
        peers::Word,
        trials::{Report, Tallies},
    },
};

/// Pause between pieces of news. Loads change within a run's length, some
/// hundred milliseconds; a shorter pause costs wake-ups at every instance.
const PAUSE: Duration = Duration::from_millis(250);

/// Instances that a piece goes to. At a few all hear each piece; at many this
/// bounds what news costs, and each hears each other one less often.
const AUDIENCE: usize = 12;

/// Other instances named in a piece, so that strangers meet.
const NAMED: usize = 4;

/// Largest piece; a larger one would be split on the way and lost more often.
const LARGEST: usize = 8 << 10;

/// A piece of news on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Piece {
    name: String,
    run: u64,
    front: SocketAddr,
    ready: bool,
    fresh: bool,
    leaving: bool,
    named: Vec<(String, SocketAddr)>,
    loads: Vec<(u32, u16, u16)>,
    orders: Vec<Order>,
}

/// A roll-out on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Order {
    hash: u32,
    stage: u8,
    elapsed_ms: u32,
    new: (u32, u32),
    old: (u32, u32),
}

impl From<&Report> for Order {
    fn from(report: &Report) -> Self {
        let pair = |tally: Tally| (tally.runs, tally.bad);
        Self {
            hash: report.order,
            stage: match report.stage {
                Stage::Trial => 0,
                Stage::Shift => 1,
                Stage::Done => 2,
                Stage::Reverted => 3,
            },
            elapsed_ms: u32::try_from(report.elapsed.as_millis()).unwrap_or(u32::MAX),
            new: pair(report.own.new),
            old: pair(report.own.old),
        }
    }
}

impl From<&Order> for Report {
    fn from(order: &Order) -> Self {
        let tally = |(runs, bad): (u32, u32)| Tally { runs, bad };
        Self {
            order: order.hash,
            stage: match order.stage {
                1 => Stage::Shift,
                2 => Stage::Done,
                3 => Stage::Reverted,
                _ => Stage::Trial,
            },
            elapsed: Duration::from_millis(u64::from(order.elapsed_ms)),
            own: Tallies { new: tally(order.new), old: tally(order.old) },
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
    tokio::join!(tell(Arc::clone(&desk), Arc::clone(&socket), run), hear(desk, socket));
}

async fn tell(desk: Arc<Desk>, socket: Arc<UdpSocket>, run: u64) {
    for seed in desk.settings.seeds.clone() {
        send(&socket, seed, &encode(&piece(&desk, run)));
    }
    loop {
        let bytes = encode(&piece(&desk, run));
        let mut audience = desk.audience();
        audience.shuffle(&mut rand::rng());
        for (_, news) in audience.into_iter().take(AUDIENCE) {
            send(&socket, news, &bytes);
        }
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

async fn hear(desk: Arc<Desk>, socket: Arc<UdpSocket>) {
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
        let piece: Piece = match postcard::from_bytes(&buffer[..length]) {
            Ok(piece) => piece,
            Err(error) => {
                tracing::warn!(%from, %error, "news does not read; instances of another build?");
                continue;
            }
        };
        for (name, news) in &piece.named {
            desk.meet(name, *news);
        }
        if piece.leaving {
            tracing::debug!(instance = piece.name, "instance is leaving");
        }
        desk.hear(&piece.name, from, Word::from(&piece));
    }
}

fn piece(desk: &Desk, run: u64) -> Piece {
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
        leaving: desk.draining(),
        named,
        loads: desk
            .own_loads()
            .into_iter()
            .map(|(hash, load)| (hash, short(load.runs), short(load.backlog_ms)))
            .collect(),
        orders: desk.trial_reports().iter().map(Order::from).collect(),
    }
}

fn encode(piece: &Piece) -> Vec<u8> {
    postcard::to_allocvec(piece).unwrap_or_else(|error| {
        tracing::error!(%error, "news not encoded");
        Vec::new()
    })
}

/// Binds the socket that news comes by.
pub async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}
