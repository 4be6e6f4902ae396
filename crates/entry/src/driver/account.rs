//! Steps after an answer is complete: rating, escalation, billing and recording the
//! outcome.

use std::time::Duration;

use control::observation::{Observation, Outcome as Observed};
use endpoint::rating::Sample;
use journal::{Bill, Error, Reason, Receipt, bill::Item};
use route::quality::Stage;
use timeline::{Ran, Step};
use tokio::time::{Instant, sleep};
use world::{money::Amount, request::Outcome};

use super::Driver;
use crate::{
    clock,
    dispatcher::UnratedAnswer,
    machine::Event,
    problem::{Kind, Problem},
    request::Work,
};

/// Longest wait for a rating that holds back the answer.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time allowed for storing a bill, even past the request's deadline, and
/// the time after which a failing store is no longer retried.
const MIN_BILLING_TIME: Duration = Duration::from_secs(5);
/// Pause before storing a bill is retried.
const BILL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of bills created for one answer. A new bill is needed when another
/// instance has closed the budget grant of the previous one.
const MAX_BILLS: usize = 2;
/// Longest wait for an outcome to be recorded; after it the journal delivers the
/// outcome later.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    /// Rates the complete answer of a cascade step before any of it is sent.
    pub(super) async fn rate(&mut self) -> Event {
        let Some(sample) = self.rating_sample(self.answer.unrated_text.clone()) else {
            return Event::Fault;
        };
        let limit = RATING_TIMEOUT.min(self.request.deadline.saturating_duration_since(Instant::now()) / 2);
        let pass = match self.shared.links.endpoint.rate(&sample, limit).await {
            Ok(pass) => pass,
            // Without a rating the cheap answer is not known to be good, so the
            // more expensive version answers, and no cascade starts for a while.
            Err(error) => {
                tracing::debug!(request = %self.request.id(), %error, "no rating received, escalating");
                self.shared.dispatcher.mark_rater_unavailable();
                return self.escalate("no rating could be had").await;
            }
        };
        self.shared.record_step(
            self.request.id(),
            Step::Rated { version: sample.version.clone(), score: f64::from(u8::from(pass)) },
        );
        if let Some(chosen) = &self.chosen {
            let stage = stage(chosen.step);
            self.shared.dispatcher.record_rating(chosen.record.clone(), sample.version, stage, pass, pass);
        }
        if !pass {
            return self.escalate("its answer failed its rating").await;
        }
        // Part of the text may be in the answer buffer already, copied from an instance
        // that was lost before the last frame. Writing it again would duplicate
        // that part in the caller's answer.
        let text = std::mem::take(&mut self.answer.unrated_text);
        let new = self.unsent(&text).map(str::to_owned).ok().filter(|_| self.answer.matched_bytes >= self.buffer.len());
        let Some(new) = new else {
            return self.escalate("its answer does not go on from the part that was sent").await;
        };
        self.answer.is_rated = true;
        self.write_head();
        self.buffer.write_text(&new).await;
        Event::Kept
    }

    /// Moves on to the next step of the cascade.
    async fn escalate(&mut self, reason: &str) -> Event {
        self.answer.unrated_text.clear();
        self.answer.last_frame = None;
        self.excluded_endpoints.clear();
        let Some(from) = self.version() else { return Event::Fault };
        if let Some(chosen) = &mut self.chosen {
            chosen.step += 1;
            let rate = chosen.choice.expected_pass_rate(chosen.step);
            if let Ok(record) = self.shared.dispatcher.escalate(chosen.record.clone(), rate).await {
                chosen.record = record;
            }
        }
        if let Some(to) = self.version() {
            self.shared.record_step(self.request.id(), Step::Escalated { from, to, reason: reason.into() });
        }
        Event::Rejected
    }

    /// Stores the request's bill.
    pub(super) async fn bill(&mut self) -> Event {
        let deadline = self.request.deadline.max(Instant::now() + MIN_BILLING_TIME);
        match self.store_bill(deadline).await {
            Ok((bill, receipt)) => {
                self.end_budget_reservation(Some(receipt));
                self.record_bill(&bill, receipt);
                Event::Billed
            }
            Err(cause) => {
                self.cause = Some(Problem::not_run(Kind::BillNotHeld, cause));
                Event::Unbilled
            }
        }
    }

    /// Stores the bill on the platform or at a second instance, retrying for a
    /// limited time.
    pub(super) async fn store_bill(&mut self, deadline: Instant) -> Result<(Bill, Receipt), String> {
        let give_up = Instant::now() + MIN_BILLING_TIME;
        let mut renewed = 0;
        while renewed < MAX_BILLS {
            // Every retry sends the same bill: an earlier one may have been
            // recorded, and a different bill would count as another run's.
            let bill = match &self.bill {
                Some(bill) => bill.clone(),
                None => self.bill.insert(self.make_bill().ok_or("the contract is gone")?).clone(),
            };
            match self.shared.links.journal.bill(&bill, deadline).await {
                Ok(receipt) => return Ok((bill, receipt)),
                // Another instance considered this one lost and closed its budget grant.
                Err(Error::NotRecorded(Reason::GrantClosed)) => {
                    renewed += 1;
                    self.bill = None;
                    self.renew_budget_reservation(bill.amount, deadline).await?;
                }
                Err(error) if Instant::now() + BILL_RETRY_PAUSE >= give_up => return Err(error.to_string()),
                // Neither the platform nor a second instance has stored the bill.
                // The answer is complete and the caller waits only for this, so a
                // short outage is retried and a longer one reported.
                Err(_) => sleep(BILL_RETRY_PAUSE).await,
            }
        }
        Err("its budget grant keeps being settled elsewhere".into())
    }

    /// Replaces a budget reservation whose grant was closed with one from a new grant.
    async fn renew_budget_reservation(&mut self, actual: Amount, deadline: Instant) -> Result<(), String> {
        let catalog = self.shared.catalog();
        let contract = catalog.contract(self.request.customer()).ok_or("the contract is gone")?;
        let Some(old) = self.budget_reservation.take() else {
            return Err("a bill without a grant was refused for its grant".into());
        };
        let renewed = self.shared.links.budget.renew(old, &contract.budget, actual, deadline).await;
        self.budget_reservation = Some(renewed.map_err(|error| error.to_string())?);
        Ok(())
    }

    /// Commits or releases the budget reservation.
    ///
    /// Without a receipt it is unknown whether the bill was recorded, so its
    /// amount is committed.
    pub(super) fn end_budget_reservation(&mut self, receipt: Option<Receipt>) {
        let Some(budget_reservation) = self.budget_reservation.take() else { return };
        let budget = &self.shared.links.budget;
        match receipt {
            Some(Receipt::Already) => budget.release(budget_reservation),
            Some(Receipt::Durable | Receipt::Held) | None => {
                let actual = self.make_bill().map_or(budget_reservation.ceiling(), |bill| bill.amount);
                budget.commit(budget_reservation, actual);
            }
        }
    }

    /// Creates the bill for the answer so far; `None` if the contract no longer exists.
    fn make_bill(&self) -> Option<Bill> {
        let catalog = self.shared.catalog();
        let contract = catalog.contract(self.request.customer())?;
        let (item, amount, currency) = match &self.request.work {
            Work::Chat(_) => {
                let chosen = self.chosen.as_ref()?;
                let permit = &chosen.choice.steps()[chosen.step];
                (Item::Version(permit.version().clone()), self.answer.cost, permit.price().currency)
            }
            Work::Call(call) => {
                let price = catalog.service(&call.service).and_then(|service| service.price);
                let amount = price.map_or(Amount::ZERO, |price| price.call);
                let currency = price.map_or(contract.budget.currency, |price| price.currency);
                (Item::Service(call.service.clone()), amount, currency)
            }
        };
        Some(Bill {
            id: self.request.id().clone(),
            at: clock::now(),
            amount,
            currency,
            item,
            input_tokens: self.answer.input_tokens,
            output_tokens: self.answer.output_tokens,
            attempts: self.dispatches,
            grant: self.budget_reservation.as_ref().map(|budget_reservation| budget_reservation.grant().clone()),
        })
    }

    /// Records a stored bill in the timeline and the metrics, records the request's
    /// outcome and submits its answer for rating.
    pub(super) fn record_bill(&mut self, bill: &Bill, receipt: Receipt) {
        let version = self.version();
        let step = Step::Billed { version, cost: bill.amount, currency: bill.currency, attempts: bill.attempts };
        self.shared.record_step(self.request.id(), step);
        if receipt != Receipt::Already {
            let version = self.version().map_or_else(|| "none".into(), |version| version.to_string());
            metrics::counter!(
                "entry_cost_nanos_total",
                "customer" => self.request.customer().to_string(),
                "version" => version,
                "currency" => bill.currency.to_string(),
            )
            .increment(bill.amount.0);
        }
        self.settle_answered();
        self.submit_for_rating();
    }

    /// Records in the background that a registered request was answered.
    ///
    /// The bill itself records the outcome of a claim, but not that of a registration.
    fn settle_answered(&self) {
        if !self.request.terms.has_caller_key {
            return;
        }
        let (journal, id) = (self.shared.links.journal.clone(), self.request.id().clone());
        tokio::spawn(async move {
            let deadline = Instant::now() + SETTLE_TIMEOUT;
            let _ = journal.settle(&id, Outcome::Answered, deadline).await;
        });
    }

    /// Records the outcome of a request that ended without a complete answer.
    pub(super) async fn settle_unanswered(&mut self, ran: Ran) {
        if ran != Ran::No {
            self.report_to_guard(Observed::Failed);
        }
        if let Some(chosen) = &self.chosen {
            self.shared.dispatcher.discard(chosen.record.clone());
        }
        let outcome = if ran == Ran::No { Outcome::NotRun } else { Outcome::Unknown };
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        if let Err(error) = self.shared.links.journal.settle(self.request.id(), outcome, deadline).await {
            tracing::debug!(request = %self.request.id(), %error, "outcome will be recorded later");
        }
    }

    /// Submits the answer to be rated after it was delivered.
    fn submit_for_rating(&mut self) {
        let Some(chosen) = &self.chosen else { return };
        if self.answer.is_rated {
            return;
        }
        if !self.shared.settings.has_rating_service {
            self.shared.dispatcher.expire(chosen.record.clone());
            return;
        }
        let stage = stage(chosen.step);
        let record = chosen.record.clone();
        let Some(sample) = self.rating_sample(self.buffer.written_text()) else { return };
        let answer =
            UnratedAnswer { id: sample.id.clone(), version: sample.version.clone(), stage, record: record.clone() };
        self.shared.dispatcher.await_rating(answer);
        let endpoint = self.shared.links.endpoint.clone();
        tokio::spawn(async move {
            if let Err(error) = endpoint.submit(&sample).await {
                tracing::debug!(id = sample.id, %error, "could not submit the answer for rating");
            }
        });
    }

    /// Returns the sample that the rating service needs to rate an answer.
    fn rating_sample(&self, answer: String) -> Option<Sample> {
        let step = self.chosen.as_ref()?.step;
        Some(Sample {
            id: format!("{}/{step}", self.request.id()),
            customer: self.request.customer().clone(),
            class: self.request.terms.class.clone(),
            version: self.version()?,
            answer,
        })
    }

    /// Reports to the version guard how the current version performed.
    pub(super) fn report_to_guard(&self, outcome: Observed) {
        let Some(version) = self.version() else { return };
        self.shared.links.control.observe(Observation {
            customer: self.request.customer().clone(),
            unit: self.request.rollout_unit(),
            version,
            outcome,
        });
    }
}

/// Maps a cascade step's index to its stage in the quality estimates.
fn stage(step: usize) -> Stage {
    if step == 0 { Stage::First } else { Stage::Escalated }
}
