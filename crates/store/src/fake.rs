//! In-memory object API with scripted faults, for the tests of all crates.
//!
//! [`Platform`] is the store and [`Client`] the connection of an instance to it; faults can be
//! scripted for either. Waits use tokio's clock, so that runs with a paused clock are
//! deterministic.

mod data;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::BoxFuture;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    Member,
    api::{Answer, Call, Fault, Object, Store},
};
use data::Data;

/// Store that all clients share; cheap to clone.
#[derive(Debug, Clone)]
pub struct Platform {
    shared: Arc<Mutex<Shared>>,
    version: watch::Sender<u64>,
}

/// Connection of an instance to the platform; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    platform: Platform,
    path: Arc<Mutex<Path>>,
}

/// Fault of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The write does not arrive, and the caller gets no answer.
    Before,
    /// The write takes effect, and its answer is lost.
    After,
    /// The write takes effect after this time, when the caller's try has failed already.
    Late(Duration),
    /// The write is rejected and has no effect.
    Refused,
    /// The write takes effect, and the client is cut off from then on, as if its instance was
    /// lost at this step.
    Death,
}

/// Record of a call, for assertions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Time since the platform was opened.
    pub at: Duration,
    /// Name of the call.
    pub call: &'static str,
    /// Its key or prefix.
    pub key: String,
    /// Size of the value sent, in bytes.
    pub sent: usize,
    /// Size of the values in the answer, in bytes.
    pub received: usize,
}

#[derive(Debug)]
struct Shared {
    data: Data,
    opened: Instant,
    path: Path,
    records: Vec<Record>,
    instances: Vec<Member>,
    stale_by: u64,
}

/// Scripted faults of a connection, or of all connections.
#[derive(Debug, Default)]
struct Path {
    down: bool,
    slow: Duration,
    writes: u64,
    losses: BTreeMap<u64, Loss>,
    reads: u64,
    lost_reads: BTreeMap<u64, Fault>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::open()
    }
}

impl Platform {
    /// Creates an empty store.
    #[must_use]
    pub fn open() -> Self {
        let shared = Shared {
            data: Data::default(),
            opened: Instant::now(),
            path: Path::default(),
            records: Vec::new(),
            instances: Vec::new(),
            stale_by: 0,
        };
        Self { shared: Arc::new(Mutex::new(shared)), version: watch::Sender::new(0) }
    }

    /// Connects a new instance.
    #[must_use]
    pub fn client(&self) -> Client {
        Client { platform: self.clone(), path: Arc::default() }
    }

    /// Sets whether every call is rejected.
    pub fn set_down(&self, down: bool) {
        self.lock().path.down = down;
        // Wakes waiting watches, which then fail as well.
        self.version.send_modify(|_| {});
    }

    /// Delays every answer.
    pub fn set_slow(&self, by: Duration) {
        self.lock().path.slow = by;
    }

    /// Scripts a fault of the `n`th write of any client from now on; 1 is the next.
    pub fn lose(&self, n: u64, loss: Loss) {
        let path = &mut self.lock().path;
        let at = path.writes + n;
        path.losses.insert(at, loss);
    }

    /// Makes watches show a state that is a number of versions old.
    pub fn set_stale_watches(&self, versions: u64) {
        self.lock().stale_by = versions;
        self.version.send_modify(|_| {});
    }

    /// Discards the history of changes; watches from earlier versions fail as compacted.
    pub fn compact(&self) {
        self.lock().data.compact();
        self.version.send_modify(|_| {});
    }

    /// Sets the list of instances.
    pub fn set_instances(&self, instances: Vec<Member>) {
        self.lock().instances = instances;
    }

    /// Returns all calls so far, including rejected ones.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.lock().records.clone()
    }

    /// Returns all objects; their values include the envelopes.
    #[must_use]
    pub fn objects(&self) -> Vec<Object> {
        self.lock().data.list("", "", usize::MAX).0
    }

    /// Returns all changes since the last compaction, oldest first.
    #[must_use]
    pub fn history(&self) -> Vec<Object> {
        self.lock().data.history().to_vec()
    }

    /// Returns the version of the store.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.lock().data.version()
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Executes a call.
    fn apply(&self, call: &Call) -> Answer {
        let mut shared = self.lock();
        let instances = shared.instances.clone();
        let answer = shared.data.apply(call, &instances);
        let version = shared.data.version();
        drop(shared);
        self.version.send_if_modified(|seen| std::mem::replace(seen, version) != version);
        answer
    }

    fn record(&self, call: &Call) -> usize {
        let mut shared = self.lock();
        let at = shared.opened.elapsed();
        let (key, sent) = key_of(call);
        shared.records.push(Record { at, call: call.name(), key, sent, received: 0 });
        shared.records.len() - 1
    }

    fn record_answer(&self, index: usize, answer: &Answer) {
        self.lock().records[index].received = received(answer);
    }
}

impl Client {
    /// Sets whether this client is cut off.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.platform.version.send_modify(|_| {});
    }

    /// Delays this client's answers.
    pub fn set_slow(&self, by: Duration) {
        self.lock().slow = by;
    }

    /// Scripts a fault of this client's `n`th write from now on; 1 is the next.
    pub fn lose(&self, n: u64, loss: Loss) {
        let mut path = self.lock();
        let at = path.writes + n;
        path.losses.insert(at, loss);
    }

    /// Makes this client's `n`th read from now on fail; 1 is the next.
    pub fn lose_read(&self, n: u64, fault: Fault) {
        let mut path = self.lock();
        let at = path.reads + n;
        path.lost_reads.insert(at, fault);
    }

    fn lock(&self) -> MutexGuard<'_, Path> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_down(&self) -> bool {
        self.lock().down || self.platform.lock().path.down
    }

    async fn delay(&self) {
        let slow = self.lock().slow + self.platform.lock().path.slow;
        if !slow.is_zero() {
            sleep(slow).await;
        }
    }

    async fn answer(&self, call: Call) -> Result<Answer, Fault> {
        let index = self.platform.record(&call);
        if self.is_down() {
            return Err(down());
        }
        let answer = match call {
            Call::Watch { prefix, from, wait } => self.wait(&prefix, from, wait).await?,
            call if call.is_write() => self.write(call).await?,
            call => self.read(&call).await?,
        };
        self.platform.record_answer(index, &answer);
        Ok(answer)
    }

    async fn read(&self, call: &Call) -> Result<Answer, Fault> {
        let fault = {
            let mut path = self.lock();
            path.reads += 1;
            let at = path.reads;
            path.lost_reads.remove(&at)
        };
        if let Some(fault) = fault {
            return Err(fault);
        }
        let answer = self.platform.apply(call);
        self.delay().await;
        Ok(answer)
    }

    async fn write(&self, call: Call) -> Result<Answer, Fault> {
        let own = next_loss(&mut self.lock());
        let common = next_loss(&mut self.platform.lock().path);
        match own.or(common) {
            None => {
                let answer = self.platform.apply(&call);
                self.delay().await;
                Ok(answer)
            }
            Some(Loss::Before) => Err(lost()),
            Some(Loss::After) => {
                self.platform.apply(&call);
                Err(lost())
            }
            Some(Loss::Late(by)) => {
                let platform = self.platform.clone();
                tokio::spawn(async move {
                    sleep(by).await;
                    platform.apply(&call);
                });
                Err(lost())
            }
            Some(Loss::Refused) => Err(down()),
            Some(Loss::Death) => {
                self.platform.apply(&call);
                self.set_down(true);
                Err(lost())
            }
        }
    }

    async fn wait(&self, prefix: &str, from: u64, wait: Duration) -> Result<Answer, Fault> {
        let mut version = self.platform.version.subscribe();
        let until = Instant::now() + wait;
        loop {
            version.mark_unchanged();
            if self.is_down() {
                return Err(down());
            }
            let answer = {
                let shared = self.platform.lock();
                shared.data.changes(prefix, from, shared.stale_by)
            };
            let empty = matches!(&answer, Answer::Changed { changes, .. } if changes.is_empty());
            let left = until.saturating_duration_since(Instant::now());
            if !empty || left.is_zero() {
                self.delay().await;
                return Ok(answer);
            }
            let _ = timeout(left, version.changed()).await;
        }
    }
}

impl Store for Client {
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Answer, Fault>> {
        Box::pin(self.answer(call))
    }
}

fn next_loss(path: &mut Path) -> Option<Loss> {
    path.writes += 1;
    let at = path.writes;
    path.losses.remove(&at)
}

fn down() -> Fault {
    Fault::Down { cause: "scripted outage".into() }
}

fn lost() -> Fault {
    Fault::Lost { cause: "scripted loss".into() }
}

fn key_of(call: &Call) -> (String, usize) {
    match call {
        Call::Get { key } | Call::Delete { key, .. } => (key.clone(), 0),
        Call::Create { key, value } | Call::Update { key, value, .. } => (key.clone(), value.len()),
        Call::List { prefix, .. } | Call::Watch { prefix, .. } => (prefix.clone(), 0),
        Call::Instances => (String::new(), 0),
    }
}

fn received(answer: &Answer) -> usize {
    let size = |object: &Object| object.value.as_ref().map_or(0, bytes::Bytes::len);
    match answer {
        Answer::Found(object) => size(object),
        Answer::Listed { objects, .. } | Answer::Changed { changes: objects, .. } => objects.iter().map(size).sum(),
        _ => 0,
    }
}
