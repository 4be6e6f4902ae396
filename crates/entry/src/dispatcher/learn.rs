//! Learning from ratings and runs: quality and speed estimates and the version
//! guard's observations.

use std::collections::{HashMap, VecDeque};

use control::observation::{Observation, Outcome};
use endpoint::rating::Rating;
use route::{
    model::Rater,
    quality::{Cell, Estimates, LAPSE_MS, Pending, Stage},
    rollout::Unit,
};
use world::{Catalog, Millis, Timestamp, contract::Customer, model::Version};

use super::UnratedAnswer;

/// Maximum number of answers that wait for a rating. The oldest are dropped first.
const MAX_UNRATED_ANSWERS: usize = 65_536;
/// Time for which the rating service is not used after a failed call, in
/// milliseconds.
const RATER_BACKOFF_MS: Millis = 5_000;

/// Record of a request made when its versions were chosen.
#[derive(Debug, Clone)]
pub struct ChoiceRecord {
    /// Customer that sent the request.
    pub customer: Customer,
    /// Unit that a roll-out assigns to a version: the session, or the request if it has
    /// none.
    pub unit: Unit,
    pub(super) cell: Cell,
    pub(super) pending: Pending,
}

/// Learned estimates, and the answers that wait for a rating.
#[derive(Debug)]
pub(super) struct Learner {
    pub quality: Estimates,
    control: control::Handle,
    unrated: HashMap<String, (Timestamp, UnratedAnswer)>,
    delivery_order: VecDeque<(Timestamp, String)>,
    rater_backoff_until: Timestamp,
}

impl Learner {
    pub fn new(control: control::Handle) -> Self {
        Self {
            quality: Estimates::default(),
            control,
            unrated: HashMap::new(),
            delivery_order: VecDeque::new(),
            rater_backoff_until: Timestamp(0),
        }
    }

    /// Returns whether the rating service can decide a cascade now.
    pub fn rater(&self, now: Timestamp) -> Rater {
        if now < self.rater_backoff_until { Rater::Unavailable } else { Rater::Available }
    }

    /// Suspends cascades for a while after the rating service failed, so that requests
    /// do not each wait for it until a timeout.
    pub fn mark_rater_unavailable(&mut self, now: Timestamp) {
        self.rater_backoff_until = now.plus(RATER_BACKOFF_MS);
    }

    /// Removes the pending rating of a request that produced no answer.
    pub fn discard(&mut self, record: &ChoiceRecord) {
        self.quality.remove_pending(record.cell, record.pending);
    }

    /// Records that a delivered answer will not be rated.
    pub fn expire(&mut self, record: &ChoiceRecord) {
        self.quality.lapse(record.cell, record.pending);
    }

    pub fn escalate(&mut self, record: ChoiceRecord, rate: f64) -> ChoiceRecord {
        let pending = self.quality.update_pending(record.cell, record.pending, rate);
        ChoiceRecord { pending, ..record }
    }

    /// Stores a delivered answer until its rating arrives.
    pub fn await_rating(&mut self, answer: UnratedAnswer, now: Timestamp) {
        self.delivery_order.push_back((now, answer.id.clone()));
        self.unrated.insert(answer.id.clone(), (now, answer));
        while self.delivery_order.len() > MAX_UNRATED_ANSWERS {
            self.expire_oldest();
        }
    }

    fn expire_oldest(&mut self) {
        let Some((_, oldest)) = self.delivery_order.pop_front() else { return };
        if let Some((_, answer)) = self.unrated.remove(&oldest) {
            self.expire(&answer.record);
        }
    }

    /// Records the rating of an answer. `is_final` says whether the answer is the
    /// request's final one.
    pub fn record_rating(
        &mut self,
        record: &ChoiceRecord,
        version: &Version,
        stage: Stage,
        pass: bool,
        is_final: bool,
    ) {
        self.quality.record_rating(record.cell, version, stage, pass);
        if is_final {
            self.quality.record_final_rating(record.cell, record.pending, pass);
        }
        self.observe(record, version, pass);
    }

    /// Records ratings that arrived after delivery, of this instance's answers and of
    /// others'.
    ///
    /// Only ratings of this instance's own answers resolve a pending rating and count
    /// for the version guard: observations are summed over instances, so a rating
    /// counted by every instance would weigh that many times too much. A rating of
    /// another instance's answer does not say whether the answer was the first or an
    /// escalation after a failed one. Escalated requests are the harder
    /// ones and would make an expensive version look worse than it is. So only
    /// first-tier ratings are learned from, because no request escalates to the first
    /// tier.
    ///
    /// An answer expires once an answer delivered more than `LAPSE_MS` later has been
    /// rated. The rating service has skipped it, and it would otherwise stay pending
    /// forever.
    pub fn record_late_ratings(&mut self, ratings: Vec<Rating>, catalog: &Catalog) {
        for rating in ratings {
            let Some((at, answer)) = self.unrated.remove(&rating.id) else {
                if is_first_tier(catalog, &rating.version) {
                    let cell = Cell::new(&rating.customer, &rating.class);
                    self.quality.record_rating(cell, &rating.version, Stage::First, rating.pass);
                }
                continue;
            };
            self.record_rating(&answer.record, &answer.version, answer.stage, rating.pass, true);
            while self.delivery_order.front().is_some_and(|(oldest, _)| at.since(*oldest) > LAPSE_MS) {
                self.expire_oldest();
            }
        }
    }

    fn observe(&self, record: &ChoiceRecord, version: &Version, pass: bool) {
        let (customer, rated) = (record.customer.to_string(), version.to_string());
        let outcome = if pass { "pass" } else { "fail" };
        metrics::counter!("entry_ratings_total", "customer" => customer, "version" => rated, "outcome" => outcome)
            .increment(1);
        self.control.observe(Observation {
            customer: record.customer.clone(),
            unit: record.unit,
            version: version.clone(),
            outcome: Outcome::Rated { pass },
        });
    }
}

fn is_first_tier(catalog: &Catalog, version: &Version) -> bool {
    let releases = catalog.model(&version.model).map_or(&[][..], |model| &model.versions);
    let first = releases.iter().map(|release| release.tier).min();
    catalog.release(version).is_some_and(|release| Some(release.tier) == first)
}
