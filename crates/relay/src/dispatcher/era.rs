//! Eras of the store: it may come back from a copy that is some seconds old.
//!
//! What was written there since the copy is gone until its writers have written it again:
//! operators and endpoints within [`REWRITE_TIME`], this system after it has seen the new era. In
//! that time a record that is missing has not been deleted, and an older one says nothing about
//! access keys.
//!
//! Callers with keys are refused if the last confirmation before the loss becomes too old within that
//! time. So the time is counted from when any instance has first seen the era, and the keys are
//! confirmed as soon as it ends. An instance that has started since then learns the time from the others,
//! and discards what the store has confirmed to it before the end.

use std::time::Duration;

use super::Dispatcher;
use crate::clock;

/// Time within which operators and endpoints have written again what the store lost. Endpoints
/// also register again within this time after an outage.
pub const REWRITE_TIME: Duration = Duration::from_millis(2_300);

/// Pause between questions to the instances that watch the store after the end of that time, until
/// the keys are confirmed. The watchers read them within some round trips.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(120);

/// Time after the end of that time from which questions are as far apart as usual again. The watchers
/// have lost the store then, or confirm nothing for another reason.
const MAX_CONFIRMATION_TIME: Duration = Duration::from_secs(1);

/// The store's era, as far as this instance has seen it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Era {
    /// Number of the era; `None` before the first answer of the store.
    pub number: Option<u64>,
    /// When it was first seen, as far as this instance knows; `None` if it is not known to have
    /// followed an earlier one.
    seen_at: Option<Duration>,
    /// Whether this instance itself knew an earlier one.
    is_witnessed: bool,
}

impl Era {
    /// Returns the end of the time in which the store may lack what was written before.
    fn complete_at(self) -> Duration {
        self.seen_at.map_or(Duration::ZERO, |seen_at| seen_at + REWRITE_TIME)
    }
}

impl Dispatcher {
    /// Records the era of an answer of the store.
    pub fn record_era(&self, number: u64) {
        self.record_era_of(number, None);
    }

    /// Records the era of another instance's answer, which that one has first seen at `told_at` if it
    /// knows of an earlier era. Else it cannot tell how complete the store was. The time is counted from
    /// now then if this instance knew an earlier one.
    pub(super) fn record_era_of(&self, number: u64, told_at: Option<Duration>) {
        let now = clock::now();
        let told_at = told_at.map(|told_at| told_at.min(now));
        let (mut is_new, mut is_first_told) = (false, false);
        self.era.send_if_modified(|era| {
            if era.number.is_none_or(|known| number > known) {
                let is_witnessed = era.number.is_some();
                let seen_at = told_at.or(is_witnessed.then_some(now));
                *era = Era { number: Some(number), seen_at, is_witnessed };
                is_new = true;
            } else if era.number == Some(number)
                && let Some(told_at) = told_at
            {
                is_first_told = era.seen_at.is_none();
                era.seen_at = Some(era.seen_at.map_or(told_at, |seen_at| seen_at.min(told_at)));
            }
            is_new
        });
        let era = self.era();
        if is_first_told {
            // Until now the answers of the store were taken for complete.
            self.lock().lease.discard_before(era.complete_at());
        }
        if is_new && era.is_witnessed {
            tracing::warn!(era = number, "store came back from an older copy");
            metrics::counter!("relay_store_restores_total").increment(1);
            self.store_quarantine_again();
        }
    }

    /// Returns the store's era.
    #[must_use]
    pub fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Waits until the store has come back from an older copy since `known` was its era.
    pub async fn wait_for_restore(&self, known: Era) {
        let mut eras = self.era.subscribe();
        // The sender lives as long as this dispatcher.
        eras.wait_for(|era| era.number != known.number && era.is_witnessed).await.ok();
    }

    /// Returns the time since the store's era was first seen, if it is known to have followed an earlier one;
    /// `None` if `number` is another era than the store's, such as that of records that were not read since.
    pub(super) fn era_age(&self, number: u64) -> Option<Duration> {
        let era = self.era();
        era.seen_at.filter(|_| era.number == Some(number)).map(|seen_at| clock::now().saturating_sub(seen_at))
    }

    /// Returns the pause before the next question to an instance that watches the store, which is
    /// `usual` unless the access keys can be confirmed sooner after a restore.
    #[must_use]
    pub fn question_pause(&self, usual: Duration) -> Duration {
        let now = clock::now();
        let complete_at = self.era().complete_at();
        if now < complete_at {
            // Spread, as the time ends at the same moment for all instances.
            let spread = CONFIRMATION_PAUSE.mul_f64(0.5 + 0.5 * rand::random::<f64>());
            return usual.min(complete_at.saturating_sub(now) + spread);
        }
        let is_unconfirmed = || self.keys_age().is_none_or(|age| now.saturating_sub(age) < complete_at);
        if now < complete_at + MAX_CONFIRMATION_TIME && is_unconfirmed() {
            CONFIRMATION_PAUSE.min(usual)
        } else {
            usual
        }
    }

    /// Returns the rest of the time in which the store may lack what was written before it came back
    /// from an older copy; `None` if that is over.
    #[must_use]
    pub fn rewriting_left(&self) -> Option<Duration> {
        let left = self.era().complete_at().saturating_sub(clock::now());
        (!left.is_zero()).then_some(left)
    }

    /// Returns from when on the store can be asked for all that was written before, or `None` if an
    /// answer that it was asked for at `requested_at` shows that.
    #[must_use]
    pub fn complete_after(&self, requested_at: Duration) -> Option<Duration> {
        Some(self.era().complete_at()).filter(|complete_at| requested_at < *complete_at)
    }
}
