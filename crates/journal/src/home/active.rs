//! A shard while this instance is its home.

use std::{collections::BTreeMap, fmt, time::Duration};

use store::{Item, Priority, Write};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};
use world::time::Timestamp;

use super::{Message, Proof};
use crate::{
    Bill,
    compact::{Done, Job},
    load::{self, Failure, Loaded, bare},
    object::{Keys, Layout, Manifest, Segment, seal},
    op::Reply,
    record::{Origin, Record, Seq},
    state::State,
};

/// Openings that lose their race before giving up for now.
const OPENINGS: usize = 10;
/// Pause after a cut-off that failed.
const COVER_AGAIN: Duration = Duration::from_secs(1);
/// Pause between two goes at a segment whose fate is unknown.
const GO_AGAIN: Duration = Duration::from_millis(100);

/// Replies that are promises, and who waits for them.
pub(super) type Promises = Vec<(oneshot::Sender<Reply>, Reply)>;

/// A shard while this instance is its home.
pub(super) struct Active {
    pub state: State,
    /// Last durable segment.
    pub last: Seq,
    /// First segment that no chunk covers.
    pub floor: Seq,
    pub flight: Option<Flight>,
    /// Not before this time.
    pub next_write: Instant,
    /// Replies that wait for a proof.
    pub promises: Promises,
    /// Replies whose proof is under way.
    pub proving: Option<(u64, Promises)>,
    /// Token of the cut-off under way.
    pub covering: Option<u64>,
    pub cover_at: Instant,
    slots: BTreeMap<String, Item>,
    bills: Vec<Bill>,
    covered: Vec<Bill>,
    manifest: Manifest,
    manifest_item: Option<Item>,
}

/// A segment under way.
pub(super) struct Flight {
    pub token: u64,
    pub since: Instant,
    pub waiting: Vec<(Message, Reply)>,
    bills: Vec<Bill>,
}

/// A segment and the slot it goes into.
pub(super) struct Sending {
    key: String,
    replaces: Option<Item>,
    segment: Segment,
}

/// Why a shard was not opened.
#[derive(Debug)]
pub(super) enum Opening {
    Failed(Failure),
    /// Others kept writing.
    Outrun,
}

impl fmt::Display for Opening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(failure) => failure.fmt(f),
            Self::Outrun => f.write_str("the old home keeps writing"),
        }
    }
}

/// What a proof asks the platform.
pub(super) struct Question {
    key: String,
    version: Option<u64>,
    token: Option<u64>,
}

/// Reads a shard and writes its opening segment.
pub(super) async fn open(
    platform: &store::Handle,
    keys: Keys,
    layout: Layout,
    home: &Origin,
    token: u64,
) -> Result<Box<Active>, Opening> {
    for _ in 0..OPENINGS {
        let loaded = load::load(platform, keys, layout).await.map_err(Opening::Failed)?;
        let mut active = Active::new(loaded);
        let sending = active.sending(keys, home, token, &[]);
        match sending.run(platform).await {
            Ok(Write::Done(item)) => {
                active.begin(token, Vec::new(), Vec::new());
                active.on_durable(bare(item));
                return Ok(Box::new(active));
            }
            // The old home wrote another segment: read that too.
            Ok(Write::Lost { .. }) => {}
            Err(error) => return Err(Opening::Failed(error.into())),
        }
    }
    Err(Opening::Outrun)
}

impl Active {
    fn new(loaded: Loaded) -> Self {
        Self {
            state: loaded.state,
            last: loaded.last,
            floor: loaded.floor,
            flight: None,
            next_write: Instant::now(),
            promises: Promises::new(),
            proving: None,
            covering: None,
            cover_at: Instant::now(),
            slots: loaded.slots,
            bills: loaded.bills,
            covered: Vec::new(),
            manifest: loaded.manifest,
            manifest_item: loaded.manifest_item,
        }
    }

    /// Whether the next slot still holds a segment that no chunk covers.
    pub fn is_ring_full(&self, keys: Keys) -> bool {
        self.last.0 + 1 >= self.floor.0 + keys.ring()
    }

    /// Makes the next segment; its records are in the state already.
    pub fn seal(
        &mut self,
        keys: Keys,
        home: &Origin,
        token: u64,
        records: &[Record],
        waiting: Vec<(Message, Reply)>,
    ) -> Sending {
        let bill = |record: &Record| if let Record::Bill(bill) = record { Some(bill.clone()) } else { None };
        let sending = self.sending(keys, home, token, records);
        self.begin(token, waiting, records.iter().filter_map(bill).collect());
        sending
    }

    fn begin(&mut self, token: u64, waiting: Vec<(Message, Reply)>, bills: Vec<Bill>) {
        self.flight = Some(Flight { token, since: Instant::now(), waiting, bills });
    }

    fn sending(&self, keys: Keys, home: &Origin, token: u64, records: &[Record]) -> Sending {
        let seq = self.last.next();
        let key = keys.segment(seq);
        let segment = Segment {
            seq: seq.0,
            token: format!("{token:016x}"),
            home: format!("{}/{}", home.instance, home.incarnation),
            data: seal(records),
        };
        Sending { replaces: self.slots.get(&key).cloned(), key, segment }
    }

    /// The segment under way is durable: its replies may go.
    pub fn on_durable(&mut self, item: Item) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.last = self.last.next();
        self.state.settle_up_to(self.last);
        self.slots.insert(item.key.clone(), item);
        self.bills.extend(flight.bills);
        for (message, answer) in flight.waiting {
            super::reply(message, answer);
        }
    }

    /// What a cut-off at the last durable segment takes.
    pub fn job(&mut self, keys: Keys, token: u64, now: Timestamp) -> Job {
        self.covering = Some(token);
        self.covered = std::mem::take(&mut self.bills);
        Job {
            keys,
            token,
            now,
            floor: self.last.next(),
            records: self.state.records(),
            bills: self.covered.clone(),
            manifest: self.manifest.clone(),
            manifest_item: self.manifest_item.clone(),
        }
    }

    pub fn on_covered(&mut self, token: u64, done: Done) {
        // One that an earlier opening began: its bills are not this one's.
        if self.covering.take_if(|covering| *covering == token).is_none() {
            return;
        }
        let covered = std::mem::take(&mut self.covered);
        match done {
            Done::Covered { floor, manifest, item } => {
                self.floor = floor;
                (self.manifest, self.manifest_item) = (manifest, Some(item));
                return;
            }
            Done::Moved { floor, manifest, item } => {
                self.floor = self.floor.max(floor);
                (self.manifest, self.manifest_item) = (manifest, Some(item));
            }
            Done::Failed => self.cover_at = Instant::now() + COVER_AGAIN,
        }
        // Bills may end up in two chunks; readers take them as a set.
        self.bills.splice(0..0, covered);
    }

    /// What would show that this is the home still.
    pub fn question(&self, keys: Keys) -> Question {
        let key = keys.segment(self.last.next());
        let version = self.slots.get(&key).map(|item| item.version);
        Question { key, version, token: self.flight.as_ref().map(|flight| flight.token) }
    }
}

impl Sending {
    /// Writes until the segment's fate is certain.
    ///
    /// The segment stays the same at every go. Were a batch made anew after a
    /// lost answer, the old one could still arrive, and the claims of only
    /// one of them would be in the log.
    pub async fn run(self, platform: &store::Handle) -> Result<Write, store::Error> {
        loop {
            let write = match &self.replaces {
                None => platform.create(Priority::Claim, &self.key, &self.segment).await,
                Some(item) => platform.update(Priority::Claim, item, &self.segment).await,
            };
            match write {
                Ok(Write::Done(item)) => return Ok(Write::Done(item)),
                // It may be an earlier go of ours that stands there.
                Ok(Write::Lost { version }) => match platform.get(Priority::Claim, &self.key).await {
                    Ok(Some(item)) if self.is_own(&item) => return Ok(Write::Done(item)),
                    Ok(_) => return Ok(Write::Lost { version }),
                    Err(error) => tracing::debug!(%error, "segment not read back"),
                },
                Err(error @ (store::Error::Refused { .. } | store::Error::TooLarge { .. })) => return Err(error),
                Err(error) => tracing::debug!(%error, "segment not written"),
            }
            sleep(GO_AGAIN).await;
        }
    }

    fn is_own(&self, item: &Item) -> bool {
        item.read::<Segment>().is_ok_and(|segment| segment.token == self.segment.token)
    }
}

impl Question {
    /// Reads the slot that a new home would have taken.
    pub async fn ask(self, platform: &store::Handle) -> Proof {
        match platform.get(Priority::Claim, &self.key).await {
            Err(_) => Proof::Unproved,
            Ok(None) => Proof::Home,
            Ok(Some(item)) if Some(item.version) == self.version => Proof::Home,
            Ok(Some(item)) => self.judge(&item),
        }
    }

    fn judge(&self, item: &Item) -> Proof {
        let Ok(segment) = item.read::<Segment>() else {
            return Proof::Unproved;
        };
        let own = self.token.is_some_and(|token| segment.token == format!("{token:016x}"));
        if own { Proof::Home } else { Proof::Replaced }
    }
}
