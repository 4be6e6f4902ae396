//! The journal as the rest of an instance uses it.

mod bills;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, timeout_at},
};
use world::{
    contract::Customer,
    instance,
    request::{self, Outcome},
    session::{self, Pin},
    time::{Timestamp, millis},
};

use crate::{
    Error, Reason,
    config::Config,
    home::{self, Setting},
    keeper::{self, Kept, Order, Promised},
    op::{Known, Op, Register, Release, Reply},
    placement::{Member, Placement},
    record::{Bind, Claim, Digest, End, Settle, Shard},
    router::{Outbound, Router},
    wire::{self, Request},
};

/// Grace of a second holder before it delivers itself.
const HOLDER_GRACE: Duration = Duration::from_secs(10);
pub use bills::Receipt;

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// The request is this caller's to run, and that is durable.
    First,
    /// It was claimed, or answered, before; it must not run here.
    Known(Known),
}

/// Answer to a registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registered {
    /// Nobody else is known to run it.
    First,
    /// Nobody else runs it now, but an earlier try may have run.
    Again,
    /// It runs at an instance already; join it there.
    RunningAt(instance::Id),
    /// It was answered or claimed before.
    Known(Known),
}

/// The journal of one instance; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    router: Router,
    platform: store::Handle,
    members: Arc<watch::Sender<Arc<Placement>>>,
    keeper: mpsc::UnboundedSender<Order>,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    rng: StdRng,
    runs: HashMap<Digest, Run>,
}

/// A request that runs here.
#[derive(Debug, Clone)]
enum Run {
    Claimed { nonce: u64, made_at: Timestamp },
    Registered(Register, Instant),
}

/// Starts this instance's part of the journal; alone until
/// [`Handle::set_members`] names others.
///
/// Calls for other instances go out on `outbound`. Must run inside a tokio
/// runtime.
#[must_use]
pub fn spawn(config: Config, platform: store::Handle, outbound: mpsc::Sender<Outbound>) -> Handle {
    let mut rng = StdRng::seed_from_u64(config.seed.unwrap_or_else(rand::random));
    let config = Arc::new(config);
    let alone = Member {
        id: config.origin.instance.clone(),
        incarnation: config.origin.incarnation,
        domain: config.domain.clone(),
        live: true,
    };
    let (members, placement) = watch::channel(Arc::new(Placement::new(vec![alone], config.shards)));
    let (keeper, orders) = mpsc::unbounded_channel();
    let (held, mut holding) = mpsc::unbounded_channel();
    let setting =
        Setting { config: config.clone(), platform: platform.clone(), placement: placement.clone(), keeper: held };
    let homes = (0..config.shards).map(|s| home::spawn(Shard(s), setting.clone(), rng.random())).collect();
    let jitter = Arc::new(Mutex::new(StdRng::seed_from_u64(rng.random())));
    let router = Router { config: config.clone(), placement, homes, outbound, rng: jitter };
    keeper::spawn(router.clone(), config.kept, rng.random(), orders);
    let to_keeper = keeper.clone();
    tokio::spawn(async move {
        while let Some(bill) = holding.recv().await {
            let order = Order::Keep { kept: Kept::Bill(bill, Promised::Yes), after: Duration::ZERO, done: None };
            if to_keeper.send(order).is_err() {
                return;
            }
        }
    });
    let shared = Arc::new(Mutex::new(Shared { rng, runs: HashMap::new() }));
    Handle { router, platform, members: Arc::new(members), keeper, shared }
}

impl Handle {
    /// Tells who the members are: live ones are homes, leaving ones finish.
    pub fn set_members(&self, members: Vec<Member>) {
        let old = self.members.borrow().clone();
        let placement = Arc::new(old.follow(members, self.router.config.shards));
        self.members.send_replace(placement.clone());
        self.register_anew(&old, &placement);
    }

    /// Records that a request which must not be repeated is about to run.
    ///
    /// `made_at` is the key's time of making: from the key, or from the
    /// caller's header. There is no claim without one, since keys are only
    /// remembered for a window and an older key must be known by its age.
    ///
    /// # Errors
    ///
    /// [`Error::NotRecorded`]; [`Error::Unknown`] when the claim may stand:
    /// the request must not run then, and the claim is taken back in the
    /// background.
    pub async fn claim(
        &self,
        id: &request::Id,
        made_at: Timestamp,
        fingerprint: u64,
        deadline: Instant,
    ) -> Result<Claimed, Error> {
        let digest = Digest::request(id);
        let nonce = self.nonce();
        let by = self.router.config.origin.clone();
        let claim = Claim { digest, nonce, by, made_at, fingerprint };
        match self.ask(digest, Op::Claim(claim), deadline).await {
            Ok(Reply::Claimed) => {
                self.shared().runs.insert(digest, Run::Claimed { nonce, made_at });
                Ok(Claimed::First)
            }
            Ok(Reply::Known(known)) => Ok(Claimed::Known(known)),
            Err(Error::Unknown) => {
                self.keep_settled(Settle { digest, nonce, made_at, end: End::NotRun });
                Err(Error::Unknown)
            }
            other => Err(unexpected(other)),
        }
    }

    /// Remembers, in memory at the home, that an idempotent request runs here
    /// for `lasts` at most.
    ///
    /// # Errors
    ///
    /// Any: the request may run all the same, it is only not joined.
    pub async fn register(
        &self,
        id: &request::Id,
        fingerprint: u64,
        lasts: Duration,
        deadline: Instant,
    ) -> Result<Registered, Error> {
        let digest = Digest::request(id);
        let register = Register {
            digest,
            nonce: self.nonce(),
            by: self.router.config.origin.clone(),
            fingerprint,
            made_at: id.key.made_at(),
            lasts_ms: millis(lasts),
        };
        let registered = match self.ask(digest, Op::Register(register.clone()), deadline).await {
            Ok(Reply::First) => Registered::First,
            Ok(Reply::Again) => Registered::Again,
            Ok(Reply::RunningAt(instance)) => return Ok(Registered::RunningAt(instance)),
            Ok(Reply::Known(known)) => return Ok(Registered::Known(known)),
            other => return Err(unexpected(other)),
        };
        let run = Run::Registered(register, Instant::now() + lasts);
        self.shared().runs.insert(digest, run);
        Ok(registered)
    }

    /// Records how a request that was claimed or registered here ended.
    ///
    /// # Errors
    ///
    /// Any: it is not durable yet, and goes on being delivered.
    pub async fn settle(&self, id: &request::Id, outcome: Outcome, deadline: Instant) -> Result<(), Error> {
        let digest = Digest::request(id);
        let end = match outcome {
            Outcome::Running => return Ok(()),
            Outcome::Answered => End::Answered,
            Outcome::NotRun => End::NotRun,
            Outcome::Unknown => End::Unknown,
        };
        let run = self.shared().runs.remove(&digest);
        match run {
            None => Ok(()),
            Some(Run::Registered(register, _)) => {
                let release = Op::Release(Release { digest, nonce: register.nonce, end });
                self.ask(digest, release, deadline).await.map(|_| ())
            }
            Some(Run::Claimed { nonce, made_at }) => {
                let settle = Settle { digest, nonce, made_at, end };
                match self.ask(digest, Op::Settle(settle), deadline).await {
                    Ok(Reply::Done) => Ok(()),
                    other => {
                        self.keep_settled(settle);
                        Err(unexpected(other))
                    }
                }
            }
        }
    }

    /// Binds a caller-named session to versions, or finds the binding that
    /// won. A binding equal to `replaces` gives way: so a withdrawal moves a
    /// session once, whoever asks first.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the binding may stand; asking again tells.
    pub async fn bind_session(
        &self,
        customer: &Customer,
        session: &session::Id,
        pins: &[Pin],
        replaces: Option<&[Pin]>,
        deadline: Instant,
    ) -> Result<Vec<Pin>, Error> {
        let digest = Digest::session(customer, session);
        let at = self.router.config.clock.now();
        let bind = Bind { digest, pins: pins.to_vec(), replaces: replaces.map(<[Pin]>::to_vec), at };
        match self.ask(digest, Op::Bind(bind), deadline).await {
            Ok(Reply::Bound(pins)) => Ok(pins),
            other => Err(unexpected(other)),
        }
    }

    /// Tells how a request stands; nothing when the journal has no record of it.
    ///
    /// # Errors
    ///
    /// Any: it cannot be told now.
    pub async fn outcome(&self, id: &request::Id, deadline: Instant) -> Result<Option<Outcome>, Error> {
        let digest = Digest::request(id);
        match self.ask(digest, Op::Outcome(digest), deadline).await {
            Ok(Reply::Outcome(outcome)) => Ok(outcome),
            other => Err(unexpected(other)),
        }
    }

    /// Answers a call that another instance's journal sent out.
    pub async fn serve(&self, bytes: &[u8]) -> Bytes {
        let reply = match wire::decode_request(bytes) {
            Ok(Request::Home(shard, op)) => {
                let deadline = Instant::now() + self.router.config.peer_timeout;
                self.router.ask_here(shard, op, deadline).await.unwrap_or(Reply::Unknown)
            }
            Ok(Request::Hold(bill)) if !self.router.placement.borrow().may_hold(&bill) => {
                Reply::Refused(Reason::NoHome)
            }
            Ok(Request::Hold(bill)) => {
                let kept = self.keep(Kept::Bill(bill, Promised::Yes), HOLDER_GRACE).await;
                if kept { Reply::Held } else { Reply::Refused(Reason::Full) }
            }
            Err(invalid) => {
                tracing::warn!(%invalid, "call of a peer not understood");
                Reply::Unknown
            }
        };
        wire::encode_reply(&reply).into()
    }

    /// Waits until nothing is kept here any more; false at the deadline. For
    /// a shutdown, after the members have heard that this instance leaves.
    pub async fn flush(&self, deadline: Instant) -> bool {
        let (done, flushed) = oneshot::channel();
        if self.keeper.send(Order::Flush(done)).is_err() {
            return false;
        }
        matches!(timeout_at(deadline, flushed).await, Ok(Ok(())))
    }

    /// This run of this instance.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.router.config
    }

    /// Whether a run of an instance is a member.
    #[must_use]
    pub fn knows(&self, instance: &instance::Id, incarnation: instance::Incarnation) -> bool {
        let origin = crate::record::Origin { instance: instance.clone(), incarnation };
        self.router.placement.borrow().knows(&origin)
    }

    async fn ask(&self, digest: Digest, op: Op, deadline: Instant) -> Result<Reply, Error> {
        self.router.ask(digest.shard(self.router.shards()), op, deadline).await
    }

    /// A new home knows nothing of what runs here: tell it.
    fn register_anew(&self, old: &Placement, new: &Placement) {
        let now = Instant::now();
        let shards = self.router.shards();
        let moved: Vec<Register> = {
            let mut shared = self.shared();
            shared.runs.retain(|_, run| !matches!(run, Run::Registered(_, until) if *until <= now));
            let registers = shared.runs.values().filter_map(|run| match run {
                Run::Registered(register, _) => Some(register.clone()),
                Run::Claimed { .. } => None,
            });
            registers.filter(|r| old.home(r.digest.shard(shards)) != new.home(r.digest.shard(shards))).collect()
        };
        for register in moved {
            let handle = self.clone();
            tokio::spawn(async move {
                let deadline = Instant::now() + handle.router.config.peer_timeout;
                let _ = handle.ask(register.digest, Op::Register(register), deadline).await;
            });
        }
    }

    async fn keep(&self, kept: Kept, after: Duration) -> bool {
        let (done, taken) = oneshot::channel();
        let sent = self.keeper.send(Order::Keep { kept, after, done: Some(done) });
        sent.is_ok() && taken.await.unwrap_or(false)
    }

    fn keep_settled(&self, settle: Settle) {
        let order = Order::Keep { kept: Kept::Settle(settle), after: Duration::ZERO, done: None };
        let _ = self.keeper.send(order);
    }

    fn nonce(&self) -> u64 {
        self.shared().rng.random_range(1..=u64::MAX)
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unexpected(reply: Result<Reply, Error>) -> Error {
    match reply {
        Err(error) => error,
        Ok(Reply::Refused(reason)) => Error::NotRecorded(reason),
        Ok(reply) => {
            tracing::warn!(?reply, "reply of another kind from a home; is a peer of another build?");
            Error::Unknown
        }
    }
}
