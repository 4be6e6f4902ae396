//! What ratings and runs teach: quality, speed, and the version guard.

use std::collections::{HashMap, VecDeque};

use control::observation::{Observation, Outcome};
use endpoint::rating::Rating;
use route::{
    model::Rater,
    quality::{Cell, Estimates, LAPSE_MS, Pending, Stage},
    rollout::Unit,
};
use world::{Catalog, Millis, Timestamp, contract::Customer, model::Version};

use super::Given;

/// Answers that may wait for their rating; the oldest go first.
const MAX_GIVEN: usize = 65_536;
/// Time without the rater after a call to it failed.
const RATER_REST_MS: Millis = 5_000;

/// A request as it was entered at its choice.
#[derive(Debug, Clone)]
pub struct Entered {
    /// Whose.
    pub customer: Customer,
    /// Its session or itself.
    pub unit: Unit,
    pub(super) cell: Cell,
    pub(super) pending: Pending,
}

/// All that is learned, and the answers that wait for a rating.
#[derive(Debug)]
pub(super) struct Learn {
    pub book: Estimates,
    control: control::Handle,
    given: HashMap<String, (Timestamp, Given)>,
    order: VecDeque<(Timestamp, String)>,
    rater_rests_until: Timestamp,
}

impl Learn {
    pub fn new(control: control::Handle) -> Self {
        Self {
            book: Estimates::default(),
            control,
            given: HashMap::new(),
            order: VecDeque::new(),
            rater_rests_until: Timestamp(0),
        }
    }

    /// Whether a cascade can be decided now.
    pub fn rater(&self, now: Timestamp) -> Rater {
        if now < self.rater_rests_until { Rater::Unavailable } else { Rater::Available }
    }

    /// The rating service failed: no cascades for a while, so that requests
    /// do not each wait for it in vain.
    pub fn rater_down(&mut self, now: Timestamp) {
        self.rater_rests_until = now.plus(RATER_REST_MS);
    }

    pub fn void(&mut self, entered: &Entered) {
        self.book.remove_pending(entered.cell, entered.pending);
    }

    pub fn lapse(&mut self, entered: &Entered) {
        self.book.lapse(entered.cell, entered.pending);
    }

    pub fn escalated(&mut self, entered: Entered, rate: f64) -> Entered {
        let pending = self.book.update_pending(entered.cell, entered.pending, rate);
        Entered { pending, ..entered }
    }

    /// An answer was handed over and its rating comes later.
    pub fn given(&mut self, given: Given, now: Timestamp) {
        self.order.push_back((now, given.id.clone()));
        self.given.insert(given.id.clone(), (now, given));
        while self.order.len() > MAX_GIVEN {
            self.lapse_oldest();
        }
    }

    fn lapse_oldest(&mut self) {
        let Some((_, oldest)) = self.order.pop_front() else { return };
        if let Some((_, given)) = self.given.remove(&oldest) {
            self.lapse(&given.entered);
        }
    }

    /// An answer was rated while its caller waited.
    pub fn judged(&mut self, entered: &Entered, version: &Version, stage: Stage, pass: bool, last: bool) {
        self.book.record_rating(entered.cell, version, stage, pass);
        if last {
            self.book.record_final_rating(entered.cell, entered.pending, pass);
        }
        self.observe(entered, version, pass);
    }

    /// Ratings that came later, our own answers' and other instances'.
    ///
    /// Only our own close an account and count for the guard: evidence is
    /// summed over instances, and a rating counted by each of them would weigh
    /// as many times too much. Of the others' it is not said whether they gave
    /// the first answer or one after another had failed; those are the harder
    /// requests and would make a dear version look worse than it is. So only
    /// the first tier's teach, which is never escalated to.
    ///
    /// An answer lapses when one given long after it has been rated: the
    /// service has passed it by, and would keep its account waiting for ever.
    pub fn ratings(&mut self, ratings: Vec<Rating>, catalog: &Catalog) {
        for rating in ratings {
            let Some((at, given)) = self.given.remove(&rating.id) else {
                if is_first_tier(catalog, &rating.version) {
                    let cell = Cell::new(&rating.customer, &rating.class);
                    self.book.record_rating(cell, &rating.version, Stage::First, rating.pass);
                }
                continue;
            };
            self.judged(&given.entered, &given.version, given.stage, rating.pass, true);
            while self.order.front().is_some_and(|(oldest, _)| at.since(*oldest) > LAPSE_MS) {
                self.lapse_oldest();
            }
        }
    }

    fn observe(&self, entered: &Entered, version: &Version, pass: bool) {
        let (customer, rated) = (entered.customer.to_string(), version.to_string());
        let outcome = if pass { "pass" } else { "fail" };
        metrics::counter!("entry_ratings_total", "customer" => customer, "version" => rated, "outcome" => outcome)
            .increment(1);
        self.control.observe(Observation {
            customer: entered.customer.clone(),
            unit: entered.unit,
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
