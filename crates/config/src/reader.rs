//! Watches the log in the platform on behalf of a failure domain.

use std::sync::Arc;

use store::{Batch, Change as Event, Item};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};

use crate::{
    error::Error,
    log::{self, Log, Tail},
    observer::{Message, Origin},
    record::Change,
    settings::Settings,
    state::State,
};

/// A task that watches the log and runs until it is aborted or the observer ends.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) settings: Arc<Settings>,
    pub(crate) log: Log,
    pub(crate) state: watch::Receiver<Arc<State>>,
    pub(crate) inbox: mpsc::WeakSender<Message>,
}

impl Reader {
    pub(crate) async fn run(self) {
        let mut watch = self.start().await;
        loop {
            watch.relist_after(&log::change_key(self.generation()));
            let events = match watch.next().await {
                Ok(Batch::Changes { changes, .. }) => changes,
                // After a gap only a read of the log can tell which entries
                // follow the state in force.
                Ok(Batch::Relisted(_)) => {
                    watch = self.start().await;
                    continue;
                }
                // Needs no handling: the watch backs off by itself, and the
                // observer's own reads detect that the platform is unavailable.
                Err(_) => continue,
            };
            let changes = match parse(events) {
                Ok(changes) if changes.is_empty() => continue,
                Ok(changes) => changes,
                Err(error) => {
                    self.send(Message::ReaderFailed(error)).await;
                    continue;
                }
            };
            if !self.send(Message::Tail { tail: Tail::from_changes(changes), origin: Origin::Watch, done: None }).await
            {
                return;
            }
        }
    }

    /// Reads the log after the state in force and returns a watch that continues from there.
    async fn start(&self) -> store::Watch {
        loop {
            let sent_at = Instant::now();
            match self.log.read_after(self.generation()).await {
                Ok(tail) => {
                    let version = tail.version;
                    let origin = Origin::Read { sent_at };
                    self.send(Message::Tail { tail, origin, done: None }).await;
                    return self.log.watch(version).waiting(self.settings.watch_wait);
                }
                // The store client has already retried with backoff until its deadline.
                Err(error) => {
                    self.send(Message::ReaderFailed(error)).await;
                    sleep(self.settings.interval()).await;
                }
            }
        }
    }

    fn generation(&self) -> u64 {
        self.state.borrow().generation()
    }

    async fn send(&self, message: Message) -> bool {
        let Some(inbox) = self.inbox.upgrade() else { return false };
        inbox.send(message).await.is_ok()
    }
}

fn parse(events: Vec<Event>) -> Result<Vec<Change>, Error> {
    let items: Vec<Item> = events.into_iter().filter_map(written_item).collect();
    items.iter().filter_map(log::parse_change).collect()
}

/// Returns a written item; deletions come from truncation and are ignored.
fn written_item(event: Event) -> Option<Item> {
    match event {
        Event::Put(item) => Some(item),
        Event::Deleted { .. } => None,
    }
}
