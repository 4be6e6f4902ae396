//! Watching a prefix without missing a change.

use std::time::Duration;

use crate::{Error, Handle, Item, Listing, Priority, api, backoff::Backoff};

/// Changes of one prefix, in order. Each wait is one read of the budget.
#[derive(Debug)]
pub struct Watch {
    handle: Handle,
    priority: Priority,
    prefix: String,
    from: u64,
    wait: Duration,
    relist_after: String,
    lagging: bool,
    backoff: Option<Backoff>,
}

/// What one wait brought.
#[derive(Debug, Clone)]
pub enum Batch {
    /// Changes since the last batch, oldest first; none when the wait ran out,
    /// which confirms that there are none.
    Changes {
        /// Complete up to this version.
        version: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Changes were missed; these are all objects as they stand now. What is
    /// not among them has been deleted.
    Relisted(Listing),
}

/// One change.
#[derive(Debug, Clone)]
pub enum Change {
    /// Created or updated.
    Put(Item),
    /// Deleted.
    Deleted {
        /// The key.
        key: String,
        /// Version of the deletion.
        version: u64,
    },
}

impl Watch {
    pub(crate) fn new(handle: Handle, priority: Priority, prefix: &str, from: u64) -> Self {
        let wait = handle.settings().watch_wait;
        let prefix = prefix.into();
        Self { handle, priority, prefix, from, wait, relist_after: String::new(), lagging: false, backoff: None }
    }

    /// Waits this long for changes before an empty batch.
    #[must_use]
    pub fn waiting(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// After a gap, lists only keys above this one: a log's reader needs no
    /// entry that it has already.
    pub fn relist_after(&mut self, key: &str) {
        key.clone_into(&mut self.relist_after);
    }

    /// Waits for changes; dropping the future loses none.
    ///
    /// # Errors
    ///
    /// [`Error::Down`] after one failed try, so that the caller notices the
    /// silence; the next call waits out the backoff first.
    pub async fn next(&mut self) -> Result<Batch, Error> {
        if let Some(backoff) = &mut self.backoff {
            self.handle.pause(backoff, Duration::ZERO).await;
        }
        let polled = if self.lagging { self.relist().await } else { self.poll().await };
        match polled {
            Ok(batch) => {
                self.backoff = None;
                Ok(batch)
            }
            Err(error) => {
                self.backoff.get_or_insert_with(|| self.handle.backoff());
                Err(error)
            }
        }
    }

    async fn poll(&mut self) -> Result<Batch, Error> {
        match self.handle.wait(self.priority, &self.prefix, self.from, self.wait).await? {
            // A replica behind the one that answered last may name an older
            // version: going back would hand out changes twice.
            api::Answer::Changed { version, changes } => {
                let changes = changes.into_iter().filter(|c| c.version > self.from).map(Change::parse);
                let changes = changes.collect::<Result<Vec<_>, _>>()?;
                self.from = self.from.max(version);
                Ok(Batch::Changes { version: self.from, changes })
            }
            api::Answer::Compacted { .. } => {
                self.lagging = true;
                self.relist().await
            }
            other => Err(Error::Refused { message: format!("watch answered {other:?}") }),
        }
    }

    async fn relist(&mut self) -> Result<Batch, Error> {
        let listing = self.handle.list_after(self.priority, &self.prefix, &self.relist_after).await?;
        // A replica that has not seen what we saw cannot fill the gap.
        if listing.version < self.from {
            return Err(Error::Down { cause: "the list is older than the watch".into() });
        }
        self.from = listing.version;
        self.lagging = false;
        Ok(Batch::Relisted(listing))
    }
}

impl Change {
    fn parse(object: api::Object) -> Result<Self, Error> {
        if object.value.is_none() {
            return Ok(Self::Deleted { key: object.key, version: object.version });
        }
        Item::parse(object).map(Self::Put)
    }
}
