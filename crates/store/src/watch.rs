//! Watches the objects with a prefix without missing a change.

use std::time::Duration;

use crate::{Error, Handle, Item, Listing, Priority, api, backoff::Backoff};

/// Watch of a prefix that returns changes in order. Each call takes one read from the budget.
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

/// Result of waiting for changes.
#[derive(Debug, Clone)]
pub enum Batch {
    /// Changes since the last batch, oldest first. An empty batch confirms that there were
    /// none.
    Changes {
        /// Version of the store up to which the changes are complete.
        version: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Changes were missed. Contains all current objects; any other one was deleted.
    Relisted(Listing),
}

/// A change to an object.
#[derive(Debug, Clone)]
pub enum Change {
    /// It was created or updated.
    Put(Item),
    /// It was deleted.
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

    /// Sets the time after which an empty batch is returned if there are no changes.
    #[must_use]
    pub fn waiting(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Sets the key after which objects are listed if changes were missed: the reader of a log
    /// does not need the entries that it has already read.
    pub fn relist_after(&mut self, key: &str) {
        key.clone_into(&mut self.relist_after);
    }

    /// Waits for changes. No change is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// [`Error::Down`] after one failed try, so that the caller notices the outage. The next call
    /// waits for the backoff first.
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
            // Another replica may be behind the one that answered last. Going back to its
            // older version would return changes twice.
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
        // A replica that is behind the watch does not have the missed changes.
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
