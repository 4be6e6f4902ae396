//! A shard's home: one task per shard and instance, most of them away.
//!
//! While a segment is on its way to the platform, questions that need a
//! record gather; when it is durable they are decided in order, against a
//! state that is durable whole, and go out as the next segment. So there is
//! never more than one segment under way, a batch grows by itself when the
//! platform is slow, and a reply is never given before its record is durable.
//!
//! Two homes at once. A new home reads the log and writes an opening segment
//! into the next slot. An old home that still thinks it is the home finds its
//! own next write refused, drops its state and answers [`Reply::NotHome`]: it
//! has given nobody a claim since the opening. What it may answer from memory
//! until then is true for ever or does no harm; what would be a promise ("not
//! run", "no record") waits for a read that shows the next slot untouched.

mod active;
mod events;
mod patience;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use store::Write;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    Bill, Reason,
    compact::{self, Done},
    config::Config,
    object::{Keys, Layout},
    op::{Op, Reply},
    placement::Placement,
    record::Shard,
    state::{Context, Decision},
};
use active::{Active, Opening};

/// Pause before a home that was replaced, or failed to open, opens again.
const REOPEN: Duration = Duration::from_millis(300);
/// How often expired keys are dropped.
const EXPIRE_EVERY: Duration = Duration::from_secs(30);
/// An idle home saves up turns of so long: a claim that follows another closely
/// need not wait then. Longer, the homes' savings together come to more than
/// the platform takes, and its refusals cost more than a turn.
const SAVED: Duration = Duration::from_millis(200);
/// Bytes of records in one segment, at most.
const SEGMENT_BYTES: usize = 400_000;

/// A question at a home.
#[derive(Debug)]
pub(crate) struct Message {
    pub op: Op,
    pub reply: oneshot::Sender<Reply>,
}

/// What a home works with.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub config: Arc<Config>,
    pub platform: store::Handle,
    pub placement: watch::Receiver<Arc<Placement>>,
    /// Takes bills that this home said it holds.
    pub keeper: mpsc::UnboundedSender<Bill>,
}

/// Starts the task; it ends when the last sender is dropped.
pub(crate) fn spawn(shard: Shard, setting: Setting, seed: u64) -> mpsc::Sender<Message> {
    let (sender, inbox) = mpsc::channel(setting.config.queue.max(1));
    let task = Task {
        shard,
        keys: Keys::new(shard, setting.config.ring),
        rng: StdRng::seed_from_u64(seed),
        setting,
        queue: VecDeque::new(),
        phase: Phase::Away { until: Instant::now() },
        jobs: JoinSet::new(),
        stalled: false,
        expire_at: Instant::now() + EXPIRE_EVERY,
    };
    tokio::spawn(task.run(inbox));
    sender
}

struct Task {
    shard: Shard,
    keys: Keys,
    setting: Setting,
    rng: StdRng,
    queue: VecDeque<Message>,
    phase: Phase,
    jobs: JoinSet<Event>,
    /// The platform has not answered for longer than its patience.
    stalled: bool,
    expire_at: Instant,
}

enum Phase {
    /// Not the home, and not to open before a time.
    Away { until: Instant },
    /// Reading the log and writing the opening segment.
    Opening { since: Instant },
    /// The home, as far as it knows.
    Home(Box<Active>),
}

enum Event {
    Opened(Result<Box<Active>, Opening>),
    Written { token: u64, result: Result<Write, store::Error> },
    Covered { token: u64, done: Done },
    Proved { token: u64, proof: Proof },
}

/// Whether this is the home still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Proof {
    Home,
    Replaced,
    Unproved,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        loop {
            self.advance();
            let wake = self.wake_at();
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Some(Ok(event)) = self.jobs.join_next() => self.on_event(event),
                changed = self.setting.placement.changed() => if changed.is_err() {
                    return;
                },
                () = sleep_until(wake) => {}
            }
        }
    }

    fn wanted(&self) -> bool {
        self.setting.placement.borrow().home(self.shard) == Some(&self.setting.config.origin.instance)
    }

    /// Answers from memory where it can, else queues.
    fn take(&mut self, message: Message) {
        if matches!(self.phase, Phase::Away { .. }) && !self.wanted() {
            return reply(message, Reply::NotHome);
        }
        let Some(message) = self.answer_at_once(message) else {
            return;
        };
        if self.stalled {
            return self.turn_down(message);
        }
        if self.queue.len() >= self.setting.config.queue {
            return reply(message, Reply::Refused(Reason::Full));
        }
        self.queue.push_back(message);
    }

    /// Gives the message back when it needs a record or has to wait.
    fn answer_at_once(&mut self, message: Message) -> Option<Message> {
        let Phase::Home(active) = &mut self.phase else {
            return Some(message);
        };
        let placement = self.setting.placement.borrow();
        let context = Context { now: self.setting.config.clock.now(), placement: &placement };
        match active.state.decide(&message.op, &context, &self.setting.config.bounds) {
            Decision::Answer(answer) => reply(message, answer),
            Decision::Promise(answer) => active.promises.push((message.reply, answer)),
            Decision::Record(..) | Decision::Wait => return Some(message),
        }
        None
    }

    /// Does whatever can be done now.
    fn advance(&mut self) {
        let now = Instant::now();
        let wanted = self.wanted();
        match &mut self.phase {
            Phase::Away { until } if wanted && now >= *until => self.open(),
            Phase::Away { .. } if !wanted => self.leave(),
            Phase::Away { .. } | Phase::Opening { .. } => {}
            Phase::Home(active) if !wanted && active.flight.is_none() => self.leave(),
            Phase::Home(_) => self.write(now),
        }
        self.prove();
        self.cut_off();
        self.check_patience(now);
        if now >= self.expire_at {
            self.expire_at = now + EXPIRE_EVERY;
            if let Phase::Home(active) = &mut self.phase {
                active.state.expire(self.setting.config.clock.now(), &self.setting.config.bounds);
            }
        }
    }

    fn open(&mut self) {
        self.phase = Phase::Opening { since: Instant::now() };
        let (platform, keys) = (self.setting.platform.clone(), self.keys);
        let home = self.setting.config.origin.clone();
        let layout = Layout { shards: self.setting.config.shards, ring: self.setting.config.ring };
        let token = self.rng.random();
        self.jobs.spawn(async move { Event::Opened(active::open(&platform, keys, layout, &home, token).await) });
    }

    /// Gives the shard up: what waits is asked again elsewhere.
    fn leave(&mut self) {
        self.phase = Phase::Away { until: Instant::now() };
        self.stalled = false;
        for message in self.queue.drain(..) {
            reply(message, Reply::NotHome);
        }
    }

    /// Sends the next segment when there is something to record and its turn has come.
    fn write(&mut self, now: Instant) {
        let Phase::Home(active) = &mut self.phase else {
            return;
        };
        if active.flight.is_some() || self.queue.is_empty() || now < active.next_write || active.is_ring_full(self.keys)
        {
            return;
        }
        let placement = self.setting.placement.borrow().clone();
        let context = Context { now: self.setting.config.clock.now(), placement: &placement };
        let seq = active.last.next();
        let (mut records, mut bytes) = (Vec::new(), 0);
        let mut waiting = Vec::new();
        let mut later = VecDeque::new();
        while bytes < SEGMENT_BYTES
            && let Some(message) = self.queue.pop_front()
        {
            // A claim whose caller has given up would only block its key.
            if matches!(message.op, Op::Claim(_)) && message.reply.is_closed() {
                continue;
            }
            match active.state.decide(&message.op, &context, &self.setting.config.bounds) {
                Decision::Answer(answer) => reply(message, answer),
                Decision::Promise(answer) => active.promises.push((message.reply, answer)),
                Decision::Wait => later.push_back(message),
                Decision::Record(record, answer) => {
                    bytes += crate::wire::encoded_len(&record);
                    active.state.apply(&record, seq);
                    records.push(record);
                    waiting.push((message, answer));
                }
            }
        }
        later.append(&mut self.queue);
        self.queue = later;
        if records.is_empty() {
            return;
        }
        let token = self.rng.random();
        let pace = pace(&self.setting.config, &placement);
        let flight = active.seal(self.keys, &self.setting.config.origin, token, &records, waiting);
        active.next_write = active.next_write.max(now.checked_sub(SAVED).unwrap_or(now)) + pace;
        metrics::counter!("journal_segments_total").increment(1);
        metrics::histogram!("journal_segment_records").record(count(records.len()));
        let platform = self.setting.platform.clone();
        self.jobs.spawn(async move { Event::Written { token, result: flight.run(&platform).await } });
    }

    /// Proves that this is the home still, for the promises that wait.
    fn prove(&mut self) {
        let Phase::Home(active) = &mut self.phase else {
            return;
        };
        if active.promises.is_empty() || active.proving.is_some() {
            return;
        }
        let token = self.rng.random();
        active.proving = Some((token, std::mem::take(&mut active.promises)));
        let question = active.question(self.keys);
        let platform = self.setting.platform.clone();
        let patience = self.setting.config.patience;
        self.jobs.spawn(async move { Event::Proved { token, proof: question.ask(&platform.within(patience)).await } });
    }

    fn cut_off(&mut self) {
        let Phase::Home(active) = &mut self.phase else {
            return;
        };
        // Another home's cut-off may be past all that is known here.
        let uncovered = (active.last.0 + 1).saturating_sub(active.floor.0);
        let due = uncovered >= self.setting.config.ring / 2;
        if !due || active.flight.is_some() || active.covering.is_some() || Instant::now() < active.cover_at {
            return;
        }
        let token = self.rng.random();
        let job = active.job(self.keys, token, self.setting.config.clock.now());
        let platform = self.setting.platform.clone();
        self.jobs.spawn(async move { Event::Covered { token, done: compact::run(platform, job).await } });
    }

    fn wake_at(&self) -> Instant {
        let mut wake = self.expire_at;
        if let Some(end) = self.patience_ends().filter(|_| !self.stalled) {
            wake = wake.min(end);
        }
        match &self.phase {
            Phase::Away { until } if self.wanted() => wake = wake.min(*until),
            Phase::Away { .. } | Phase::Opening { .. } => {}
            Phase::Home(active) => {
                if active.flight.is_none() && !self.queue.is_empty() && !active.is_ring_full(self.keys) {
                    wake = wake.min(active.next_write.max(Instant::now()));
                }
                if active.is_ring_full(self.keys) || active.cover_at > Instant::now() {
                    wake = wake.min(active.cover_at.max(Instant::now() + Duration::from_millis(10)));
                }
            }
        }
        wake
    }
}

/// Time between two segments of one shard: this instance's share of writes is
/// dealt over the shards it is home of.
fn pace(config: &Config, placement: &Placement) -> Duration {
    let own = (0..config.shards).filter(|s| placement.home(Shard(*s)) == Some(&config.origin.instance)).count();
    Duration::from_secs_f64(count(own.max(1)) / config.segments_per_s.max(0.001))
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn count(n: usize) -> f64 {
    n as f64
}

fn reply(message: Message, answer: Reply) {
    // A caller that is gone asks again under the same nonce, or not at all.
    let _ = message.reply.send(answer);
}
