//! Calls to the store within the budget, with retries and reading back.

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

/// Number of objects requested in a page of a listing.
const PAGE: usize = 500;

/// Handle of the object API with this instance's call budget; cheap to clone.
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
        // The writer's name is part of the seed: if two instances with the same seed in their
        // settings drew the same nonces, each would take the other's value for its own.
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

    /// Returns a handle with another deadline for each operation.
    #[must_use]
    pub fn within(&self, deadline: Duration) -> Self {
        Self { shared: self.shared.clone(), deadline }
    }

    /// Returns the settings with which it was opened.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Returns a receiver that shows whether the platform answers.
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
    /// The result is exact unless the object is deleted before this returns: a deletion hides
    /// a first try whose answer was lost, and the object would be created again. So objects may
    /// only be deleted long after they were created, as when a log is truncated.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the answer was lost and the object could not be read back; after any
    /// other error nothing was changed.
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

    /// Replaces an object if `item` is its current state.
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

    /// Deletes an object if `item` is its current state.
    ///
    /// A deletion leaves no nonce. If its answer was lost, [`Write::Done`] only means that the
    /// object is gone, and of two concurrent deletions both may return it. What only one instance
    /// may do must be decided by [`Handle::update`].
    ///
    /// # Errors
    ///
    /// As [`Handle::create`].
    pub async fn delete(&self, priority: Priority, item: &Item) -> Result<Write, Error> {
        let call = Call::Delete { key: item.key.clone(), version: item.version };
        let base = item.nonces.first().copied();
        self.write(priority, Attempt { call, own: self.nonce(), base, nonces: Vec::new() }).await
    }

    /// Reads all objects with a prefix, in the order of their keys.
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
            // The version of the first page is kept: changes made between two pages have
            // higher versions, so a watch from there returns them all.
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

    /// Watches a prefix from the version of a listing on.
    #[must_use]
    pub fn watch(&self, priority: Priority, prefix: &str, from: u64) -> Watch {
        Watch::new(self.clone(), priority, prefix, from)
    }

    /// Reads the platform's list of instances, which lags behind reality.
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

    /// Makes one call of a watch, without retries.
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

    /// Reads with retries until a deadline. `misses` is the number of answers lost so far.
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

    /// Writes with retries until the outcome is certain or the deadline passes.
    async fn write(&self, priority: Priority, attempt: Attempt) -> Result<Write, Error> {
        let until = Instant::now() + self.deadline;
        let mut backoff = self.backoff();
        // Once an answer was lost, the write stays in doubt: even if reading back shows no
        // effect, that try may still take effect later.
        let (mut in_doubt, mut misses) = (false, 0);
        let mut last = Fault::Down { cause: "no budget for a try before the deadline".into() };
        loop {
            if !self.take(until, &self.shared.writes, priority).await {
                return Err(attempt.failure(in_doubt, &last));
            }
            let fault = match self.call(attempt.call.clone(), self.patience(until, misses)).await {
                Ok(Answer::Written(version)) => return Ok(Write::Done(attempt.item(version, &self.shared.settings))),
                // Without a lost answer the conflict is with another writer.
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

    /// Reads back after a lost answer; `None` if that failed.
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
