//! Calls with budget, retries and read-back.

mod retry;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use world::hash;

use crate::{
    Error, Item, Listing, MAX_VALUE, Member, Priority, Settings, Watch, Write,
    api::{Answer, Call, Fault, Object, Store},
    attempt::{Attempt, Verdict, down},
    backoff::Backoff,
    budget::Bucket,
    envelope::{self, Envelope, Nonce},
    reach::Reach,
};

/// Objects asked for in one page of a list.
const PAGE: usize = 500;

/// The object API with this instance's budget; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    deadline: Duration,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    store: Arc<dyn Store>,
    writes: Bucket,
    reads: Bucket,
    rng: Mutex<StdRng>,
    reach: Reach,
}

impl Handle {
    pub(crate) fn open(settings: Settings, store: Arc<dyn Store>) -> Self {
        // The writer goes into the seed: two instances with one seed in their
        // settings must not draw the same nonces, or each would take the
        // other's value for its own.
        let seed = settings.seed.unwrap_or_else(rand::random) ^ hash::stable(settings.writer.as_bytes());
        let deadline = settings.deadline;
        let shared = Shared {
            store,
            writes: Bucket::spawn(settings.writes_per_s),
            reads: Bucket::spawn(settings.reads_per_s),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            reach: Reach::default(),
            settings,
        };
        Self { shared: Arc::new(shared), deadline }
    }

    /// The same platform with another deadline per operation.
    #[must_use]
    pub fn within(&self, deadline: Duration) -> Self {
        Self { shared: self.shared.clone(), deadline }
    }

    /// How it was opened.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Whether the platform answers; a new value with each change.
    #[must_use]
    pub fn reachable(&self) -> watch::Receiver<bool> {
        self.shared.reach.subscribe()
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Refused`], [`Error::Malformed`].
    pub async fn get(&self, priority: Priority, key: &str) -> Result<Option<Item>, Error> {
        let until = Instant::now() + self.deadline;
        self.get_until(until, priority, key, 0).await
    }

    /// Creates an object if its key is free.
    ///
    /// Exact as long as nobody deletes the key before this returns: a
    /// deletion hides a first try whose answer was lost, and the object would
    /// be created again. Keys that are deleted at all must be deleted only
    /// long after they were made, as logs are cut off.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the answer was lost and could not be read back;
    /// with every other error nothing was changed.
    pub async fn create<T: Serialize + ?Sized>(
        &self,
        priority: Priority,
        key: &str,
        value: &T,
    ) -> Result<Write, Error> {
        let own = self.nonce();
        let nonces = vec![own];
        let value = self.seal(key, &nonces, value)?;
        let call = Call::Create { key: key.into(), value };
        self.write(priority, Attempt { call, own, base: None, nonces }).await
    }

    /// Replaces an object if `item` still is its present state.
    ///
    /// # Errors
    ///
    /// As [`Handle::create`].
    pub async fn update<T: Serialize + ?Sized>(
        &self,
        priority: Priority,
        item: &Item,
        value: &T,
    ) -> Result<Write, Error> {
        let own = self.nonce();
        let nonces = envelope::extend(&item.nonces, own);
        let value = self.seal(&item.key, &nonces, value)?;
        let call = Call::Update { key: item.key.clone(), version: item.version, value };
        self.write(priority, Attempt { call, own, base: item.nonces.first().copied(), nonces }).await
    }

    /// Deletes an object if `item` still is its present state.
    ///
    /// A deletion leaves no nonce: when its answer was lost, done means only
    /// that the key was freed, and of two who delete at once both may hear
    /// it. What only one may do must rest on [`Handle::update`].
    ///
    /// # Errors
    ///
    /// As [`Handle::create`].
    pub async fn delete(&self, priority: Priority, item: &Item) -> Result<Write, Error> {
        let call = Call::Delete { key: item.key.clone(), version: item.version };
        let base = item.nonces.first().copied();
        self.write(priority, Attempt { call, own: self.nonce(), base, nonces: Vec::new() }).await
    }

    /// Reads all objects with a prefix, by key, page by page.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Refused`], [`Error::Malformed`].
    pub async fn list(&self, priority: Priority, prefix: &str) -> Result<Listing, Error> {
        self.list_after(priority, prefix, "").await
    }

    /// Reads all objects with a prefix whose keys are above `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Refused`], [`Error::Malformed`].
    pub async fn list_after(&self, priority: Priority, prefix: &str, after: &str) -> Result<Listing, Error> {
        let mut whole = self.list_page(priority, prefix, after, PAGE).await?;
        while whole.more {
            let after = whole.items.last().map_or_else(String::new, |item| item.key.clone());
            let page = self.list_page(priority, prefix, &after, PAGE).await?;
            // The first page's version stays: changes made between two pages
            // are above it, so a watch from there sees them all.
            whole.items.extend(page.items);
            whole.more = page.more;
        }
        Ok(whole)
    }

    /// Reads at most `limit` objects with a prefix whose keys are above `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Refused`], [`Error::Malformed`].
    pub async fn list_page(
        &self,
        priority: Priority,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, Error> {
        let (version, objects, more) = self.page(priority, prefix, after, limit, false).await?;
        let items = objects.into_iter().map(Item::parse).collect::<Result<_, _>>()?;
        Ok(Listing { version, items, more })
    }

    /// Reads at most `limit` keys with a prefix above `after`, in order.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Refused`].
    pub async fn keys(
        &self,
        priority: Priority,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, Error> {
        let (_, objects, _) = self.page(priority, prefix, after, limit, true).await?;
        Ok(objects.into_iter().map(|object| object.key).collect())
    }

    /// Watches a prefix from a version on, as a listing named it.
    #[must_use]
    pub fn watch(&self, priority: Priority, prefix: &str, from: u64) -> Watch {
        Watch::new(self.clone(), priority, prefix, from)
    }

    /// Reads the platform's list of instances, which lags.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Refused`].
    pub async fn instances(&self, priority: Priority) -> Result<Vec<Member>, Error> {
        match self.read(priority, Call::Instances).await? {
            Answer::Instances(members) => Ok(members),
            other => Err(unexpected(&other)),
        }
    }

    async fn page(
        &self,
        priority: Priority,
        prefix: &str,
        after: &str,
        limit: usize,
        keys_only: bool,
    ) -> Result<(u64, Vec<Object>, bool), Error> {
        let call = Call::List { prefix: prefix.into(), after: after.into(), limit, keys_only };
        match self.read(priority, call).await? {
            Answer::Listed { version, objects, more } => Ok((version, objects, more)),
            other => Err(unexpected(&other)),
        }
    }

    /// One wait of a watch, one try.
    pub(crate) async fn wait(
        &self,
        priority: Priority,
        prefix: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Answer, Error> {
        self.shared.reads.take(priority).await;
        let call = Call::Watch { prefix: prefix.into(), from, wait };
        self.call(call, wait + self.shared.settings.call_timeout).await.map_err(|fault| down(&fault))
    }

    pub(crate) fn backoff(&self) -> Backoff {
        Backoff::new(self.shared.settings.backoff_min, self.shared.settings.backoff_max)
    }

    pub(crate) async fn pause(&self, backoff: &mut Backoff, least: Duration) {
        let wait = self.with_rng(|rng| backoff.next(least, rng));
        sleep(wait).await;
    }

    async fn get_until(
        &self,
        until: Instant,
        priority: Priority,
        key: &str,
        misses: u32,
    ) -> Result<Option<Item>, Error> {
        match self.read_until(until, priority, Call::Get { key: key.into() }, misses).await? {
            Answer::Found(object) => Item::parse(object).map(Some),
            Answer::Absent => Ok(None),
            other => Err(unexpected(&other)),
        }
    }

    async fn read(&self, priority: Priority, call: Call) -> Result<Answer, Error> {
        self.read_until(Instant::now() + self.deadline, priority, call, 0).await
    }

    /// Reads, again and again until a deadline, after so many lost answers.
    async fn read_until(
        &self,
        until: Instant,
        priority: Priority,
        call: Call,
        mut misses: u32,
    ) -> Result<Answer, Error> {
        let mut backoff = self.backoff();
        let mut last = Fault::Down { cause: "no budget for a try before the deadline".into() };
        loop {
            if !self.take(until, &self.shared.reads, priority).await {
                return Err(down(&last));
            }
            match self.call(call.clone(), self.patience(until, misses)).await {
                Ok(answer) => return Ok(answer),
                Err(Fault::Refused { message }) => return Err(Error::Refused { message }),
                Err(fault) => {
                    misses += u32::from(matches!(fault, Fault::Lost { .. }));
                    if !self.pause_until(until, &mut backoff, &fault).await {
                        return Err(down(&fault));
                    }
                    last = fault;
                }
            }
        }
    }

    /// Writes, again and again until its fate is certain or the deadline.
    async fn write(&self, priority: Priority, attempt: Attempt) -> Result<Write, Error> {
        let until = Instant::now() + self.deadline;
        let mut backoff = self.backoff();
        // In doubt from the first lost answer on, for good: even after a
        // read-back found nothing, that try may still be on its way and take
        // effect, so that "not done" can no longer be promised.
        let (mut in_doubt, mut misses) = (false, 0);
        let mut last = Fault::Down { cause: "no budget for a try before the deadline".into() };
        loop {
            if !self.take(until, &self.shared.writes, priority).await {
                return Err(attempt.failure(in_doubt, &last));
            }
            let fault = match self.call(attempt.call.clone(), self.patience(until, misses)).await {
                Ok(Answer::Written(version)) => return Ok(Write::Done(attempt.item(version, &self.shared.settings))),
                // Without a lost answer nobody but another can have come first.
                Ok(Answer::Conflict(version)) if !in_doubt => return Ok(Write::Lost { version }),
                Ok(Answer::Absent) if !in_doubt => return Ok(Write::Lost { version: 0 }),
                Ok(Answer::Conflict(_) | Answer::Absent) => None,
                Ok(other) => return Err(unexpected(&other)),
                Err(Fault::Refused { message }) if !in_doubt => return Err(Error::Refused { message }),
                Err(fault) => Some(fault),
            };
            if let Some(fault) = fault {
                misses += u32::from(matches!(fault, Fault::Lost { .. }));
                in_doubt |= misses > 0;
                last = fault;
            }
            if in_doubt {
                match self.read_back(until, priority, &attempt, misses).await {
                    Some(Verdict::Settled(write)) => return Ok(write),
                    Some(Verdict::Again) => {}
                    Some(Verdict::Unknown) | None => return Err(attempt.failure(in_doubt, &last)),
                }
            }
            if !self.pause_until(until, &mut backoff, &last).await {
                return Err(attempt.failure(in_doubt, &last));
            }
        }
    }

    /// Reads what became of a write; nothing when that was impossible.
    async fn read_back(&self, until: Instant, priority: Priority, attempt: &Attempt, misses: u32) -> Option<Verdict> {
        let found = self.get_until(until, priority, attempt.key(), misses).await.ok()?;
        metrics::counter!("platform_read_backs_total").increment(1);
        Some(attempt.judge(found, &self.shared.settings))
    }

    fn seal<T: Serialize + ?Sized>(&self, key: &str, nonces: &[Nonce], body: &T) -> Result<Bytes, Error> {
        let envelope = Envelope { nonces: nonces.to_vec(), writer: self.shared.settings.writer.clone(), body };
        let value = serde_json::to_vec(&envelope)
            .map_err(|error| Error::Malformed { key: key.into(), message: error.to_string() })?;
        if value.len() > MAX_VALUE {
            return Err(Error::TooLarge { key: key.into(), bytes: value.len() });
        }
        Ok(value.into())
    }

    fn nonce(&self) -> Nonce {
        self.with_rng(|rng| Nonce(rng.random()))
    }

    fn with_rng<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.shared.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn unexpected(answer: &Answer) -> Error {
    Error::Refused { message: format!("an answer of another kind: {answer:?}") }
}
