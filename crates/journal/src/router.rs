//! Brings a question to a shard's home, wherever that is at the time.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout_at},
};
use world::instance;

use crate::{
    Error, Reason,
    config::Config,
    home::Message,
    op::{Op, Reply},
    placement::Placement,
    record::Shard,
    wire::{self, Request},
};

/// First and longest pause before a home is asked again.
const PAUSES: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(400));

/// A call for another instance; the daemon carries it over a peer link.
#[derive(Debug)]
pub struct Outbound {
    /// Where to.
    pub to: instance::Id,
    /// What [`Handle::serve`](crate::Handle::serve) takes there.
    pub bytes: Bytes,
    /// Takes what it returned; dropped when the call failed.
    pub reply: oneshot::Sender<Bytes>,
}

/// Brings a question to a shard's home.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    pub config: Arc<Config>,
    pub placement: watch::Receiver<Arc<Placement>>,
    pub homes: Arc<[mpsc::Sender<Message>]>,
    pub outbound: mpsc::Sender<Outbound>,
    pub rng: Arc<Mutex<StdRng>>,
}

impl Router {
    pub fn shards(&self) -> u16 {
        self.config.shards
    }

    /// Asks until the home answers, at new homes too.
    ///
    /// Asking again is safe: claims and settlements carry a nonce, bills and
    /// bindings are recorded once.
    pub async fn ask(&self, shard: Shard, op: Op, deadline: Instant) -> Result<Reply, Error> {
        let mut in_doubt = false;
        let mut pause = PAUSES.0;
        loop {
            let home = self.placement.borrow().home(shard).cloned();
            let asked = match &home {
                None => Some(Reply::NotHome),
                Some(home) if *home == self.config.origin.instance => self.ask_here(shard, op.clone(), deadline).await,
                Some(home) => {
                    let request = Request::Home(shard, op.clone());
                    self.ask_peer(home, &request, deadline).await
                }
            };
            match asked {
                Some(Reply::NotHome) => {}
                Some(Reply::Unknown) | None => in_doubt = true,
                // A refusal speaks of this try only: an earlier one that was
                // not answered may be on its way to the platform still.
                Some(Reply::Refused(reason)) if in_doubt && !reason.is_conclusive() => return Err(Error::Unknown),
                Some(reply) => return Ok(reply),
            }
            let wait = pause.mul_f64(self.spread());
            if Instant::now() + wait >= deadline {
                return Err(if in_doubt { Error::Unknown } else { Error::NotRecorded(Reason::NoHome) });
            }
            sleep(wait).await;
            pause = (pause * 2).min(PAUSES.1);
        }
    }

    /// Spreads askers that failed at the same time.
    fn spread(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.5..1.0)
    }

    /// Asks one instance once; nothing when no answer came.
    pub async fn ask_peer(&self, to: &instance::Id, request: &Request, deadline: Instant) -> Option<Reply> {
        let until = deadline.min(Instant::now() + self.config.peer_timeout);
        let (reply, answer) = oneshot::channel();
        let bytes = wire::encode_request(request).into();
        timeout_at(until, self.outbound.send(Outbound { to: to.clone(), bytes, reply })).await.ok()?.ok()?;
        let bytes = timeout_at(until, answer).await.ok()?.ok()?;
        wire::decode_reply(&bytes).ok()
    }

    /// Asks this instance's own task; nothing when no answer came.
    pub async fn ask_here(&self, shard: Shard, op: Op, deadline: Instant) -> Option<Reply> {
        let Some(home) = self.homes.get(usize::from(shard.0)) else {
            return Some(Reply::NotHome);
        };
        let (reply, answer) = oneshot::channel();
        timeout_at(deadline, home.send(Message { op, reply })).await.ok()?.ok()?;
        timeout_at(deadline, answer).await.ok()?.ok()
    }
}
