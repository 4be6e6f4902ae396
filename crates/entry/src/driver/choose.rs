//! Choosing versions, binding the session and reserving the budget before the
//! first dispatch.

use std::sync::Arc;

use route::{
    model::{Choice, Refusal},
    rollout::{Stop, Stops},
};
use timeline::Step;
use tokio::time::Instant;
use world::{
    Catalog,
    money::Amount,
    request::Repeat,
    session::{Id, Pin, Session},
};

use super::{Chosen, Driver, admission};
use crate::{
    clock,
    dispatcher::{ChoiceRecord, VersionQuery},
    machine::Event,
    problem::{Kind, Problem},
    request::Work,
    session::{self, Reference},
};

/// Longest wait for the journal to bind a caller-named session.
const BIND_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);
/// Maximum number of binding attempts while other requests move the same session.
const MAX_BIND_ATTEMPTS: usize = 3;
/// Retry delay, in milliseconds, for callers whose version, session or budget is
/// temporarily unavailable.
const CHOICE_RETRY_MS: u64 = 1_000;

impl Driver {
    /// Chooses the versions for a chat request and reserves the budget.
    pub(super) async fn choose(&mut self) -> Event {
        let steps = match self.request.work {
            Work::Call(_) => self.reserve_budget(self.call_price()).await.map(|()| 1),
            Work::Chat(_) => self.choose_versions().await,
        };
        match steps {
            Ok(steps) => Event::Chosen { steps },
            Err(problem) => self.decline(problem),
        }
    }

    /// Reserves the request's maximum cost from the customer's budget.
    ///
    /// This happens before the run: afterwards the budget may be spent, and
    /// nobody could be billed for the work.
    async fn reserve_budget(&mut self, ceiling: Amount) -> Result<(), Problem> {
        self.budget_reservation = None;
        let catalog = self.shared.catalog();
        let Some(contract) = catalog.contract(self.request.customer()) else {
            return Err(Problem::not_run(Kind::WrongKey, "the contract is gone"));
        };
        if ceiling == Amount::ZERO {
            return Ok(());
        }
        let customer = self.request.customer();
        let budget = &self.shared.links.budget;
        match budget.reserve(customer, &contract.budget, ceiling, self.request.deadline).await {
            Ok(budget_reservation) => {
                self.budget_reservation = Some(budget_reservation);
                Ok(())
            }
            Err(error) => Err(reservation_problem(&error)),
        }
    }

    /// Returns the price of a plain service's call; zero if it has none.
    fn call_price(&self) -> Amount {
        let Work::Call(call) = &self.request.work else {
            return Amount::ZERO;
        };
        let catalog = self.shared.catalog();
        let price = catalog.service(&call.service).and_then(|service| service.price);
        price.map_or(Amount::ZERO, |price| price.call)
    }

    /// Chooses the versions, binds the session to them and returns the number of
    /// cascade steps.
    pub(super) async fn choose_versions(&mut self) -> Result<u8, Problem> {
        let (choice, record, pins) = match self.request.session.clone() {
            Some(Reference::CallerNamed(id)) => self.choose_for_named_session(&id).await?,
            Some(Reference::Handle { session, .. }) => self.choose_with_known_pins(Some(session)).await?,
            None => self.choose_with_known_pins(None).await?,
        };
        if let Err(problem) = self.reserve_budget(choice.ceiling()).await {
            self.shared.dispatcher.discard(record);
            return Err(problem);
        }
        let start = choice.start();
        let moved = self.unreported_moves(&choice, &pins).await;
        let bound = matches!(self.request.session, Some(Reference::CallerNamed(_))).then(|| pins.clone());
        let session = self.session_identifier(pins);
        self.shared.record_step(
            self.request.id(),
            Step::Chosen { version: start.version().clone(), tier: start.tier(), reason: choice.reason().to_string() },
        );
        for from in &choice.reason().moved {
            let to = start.version().clone();
            self.shared.record_step(self.request.id(), Step::SessionMoved { from: from.clone(), to });
        }
        let steps = u8::try_from(choice.steps().len()).unwrap_or(u8::MAX);
        self.chosen = Some(Chosen { choice, step: 0, record, session, moved, bound });
        Ok(steps)
    }

    /// Chooses for a request without a session or with a session whose pins are
    /// known; returns the choice and the session's pins after it.
    async fn choose_with_known_pins(
        &mut self,
        session: Option<Session>,
    ) -> Result<(Choice, ChoiceRecord, Vec<Pin>), Problem> {
        let (choice, record) = self.request_choice(session.clone()).await?;
        let pins = choice.pins(session.as_ref());
        Ok((choice, record, pins))
    }

    /// Chooses for a session that the caller named.
    ///
    /// The pins are agreed through the journal, so that the session keeps its
    /// version no matter which instances its requests reach.
    async fn choose_for_named_session(&mut self, id: &Id) -> Result<(Choice, ChoiceRecord, Vec<Pin>), Problem> {
        let customer = self.request.customer().clone();
        let mut bound: Option<Vec<Pin>> = None;
        for _ in 0..MAX_BIND_ATTEMPTS {
            let session = bound.clone().map(|pins| Session { customer: customer.clone(), pins });
            let (choice, record) = self.request_choice(session.clone()).await?;
            let wanted = choice.pins(session.as_ref());
            let wanted = world::session::replace(wanted, bound.as_deref().unwrap_or_default(), &self.request.id().key);
            if bound.as_ref() == Some(&wanted) {
                return Ok((choice, record, wanted));
            }
            let deadline = self.request.deadline.min(Instant::now() + BIND_TIMEOUT);
            let journal = self.shared.links.journal.clone();
            let answer = journal.bind_session(&customer, id, &wanted, bound.as_deref(), deadline).await;
            let current = match answer {
                Ok(current) => current,
                Err(error) => {
                    self.shared.dispatcher.discard(record);
                    return Err(binding_problem(error));
                }
            };
            if current == wanted {
                return Ok((choice, record, wanted));
            }
            // The session was already bound, or another request moved it first.
            self.shared.dispatcher.discard(record);
            bound = Some(current);
        }
        let detail = "other requests keep moving this session";
        Err(Problem::not_run(Kind::Busy, detail).with_retry_after(CHOICE_RETRY_MS))
    }

    /// Requests a choice of versions from the routing state.
    async fn request_choice(&mut self, session: Option<Session>) -> Result<(Choice, ChoiceRecord), Problem> {
        let Work::Chat(chat) = &self.request.work else {
            return Err(Problem::not_run(Kind::Internal, "a plain service has no versions"));
        };
        let catalog = self.shared.catalog();
        let query = VersionQuery {
            stops: self.stops(),
            customer: self.request.customer().clone(),
            model: chat.model.clone(),
            class: self.request.terms.class.clone(),
            session,
            unit: self.request.rollout_unit(),
            repeat: self.effective_repeat(),
            prompt_tokens: chat.prompt_tokens,
            max_tokens: chat.max_tokens,
            left_ms: clock::remaining_ms(self.request.deadline),
            ceiling: self.contract_budget(&catalog),
            catalog,
        };
        match self.shared.dispatcher.choose(query).await {
            Ok(Ok(chosen)) => Ok(chosen),
            Ok(Err(refusal)) => Err(choice_problem(&refusal)),
            Err(_) => Err(Problem::not_run(Kind::Leaving, "this instance is stopping")),
        }
    }

    /// Returns the versions that this request must not use, whatever the catalog
    /// says: the stopped ones and those that failed this request.
    pub(super) fn stops(&self) -> Arc<Stops> {
        let stops = self.shared.links.control.stops();
        if self.excluded_versions.is_empty() {
            return stops;
        }
        let mut stops = (*stops).clone();
        for stop in &self.excluded_versions {
            stops.insert(stop.clone());
        }
        Arc::new(stops)
    }

    /// Excludes a version under roll-out that failed this request.
    ///
    /// Until the version guard has enough observations, a bad version fails every
    /// request on every endpoint, while its predecessor would answer. A session that is
    /// already pinned to the version keeps it.
    pub(super) fn exclude_failed_version(&mut self) {
        let named = matches!(self.request.session, Some(Reference::CallerNamed(_)));
        let Some(chosen) = self.chosen.as_ref().filter(|chosen| chosen.step == 0) else { return };
        let permit = chosen.choice.start();
        if named || permit.pinned() || permit.predecessor().is_none() || !self.buffer.is_empty() {
            return;
        }
        let version = permit.version().clone();
        let catalog = self.shared.catalog();
        let rollout = catalog.rollouts().iter().find(|(_, rollout)| rollout.version == version);
        if let Some((rollout, _)) = rollout {
            let reason = "it failed this request".into();
            self.excluded_versions.push(Stop { version, rollout: rollout.clone(), reason });
            self.excluded_endpoints.clear();
        }
    }

    /// Returns the repeat policy for choosing versions.
    ///
    /// A request that must not be repeated never cascades. Without a rating service
    /// no cascade can be decided, so every request is treated that way.
    fn effective_repeat(&self) -> Repeat {
        if self.shared.settings.has_rating_service { self.request.repeat } else { Repeat::Never }
    }

    /// Returns the budget amount of the customer's contract.
    fn contract_budget(&self, catalog: &Catalog) -> Amount {
        catalog.contract(self.request.customer()).map_or(Amount::ZERO, |contract| contract.budget.amount)
    }

    /// Returns the identifier by which the caller names the session from now on.
    fn session_identifier(&self, pins: Vec<Pin>) -> Option<String> {
        if let Some(Reference::CallerNamed(id)) = &self.request.session {
            return Some(id.to_string());
        }
        let id = self.request.session_id()?;
        let session = Session { customer: self.request.customer().clone(), pins };
        Some(session::sign_handle(&self.shared.settings.session_keys, &id, &session))
    }
}

/// Converts a failed budget reservation to a problem.
fn reservation_problem(error: &budget::Error) -> Problem {
    match error {
        budget::Error::Exhausted { until } => {
            let until = until.since(clock::now());
            Problem::not_run(Kind::BudgetSpent, error.to_string()).with_retry_after(until)
        }
        budget::Error::Unavailable => {
            Problem::not_run(Kind::PlatformDown, error.to_string()).with_retry_after(CHOICE_RETRY_MS)
        }
    }
}

/// Converts a failed session binding to a problem.
fn binding_problem(error: journal::Error) -> Problem {
    match error {
        journal::Error::NotRecorded(reason) => admission::journal_problem(reason),
        journal::Error::Unknown => {
            Problem::not_run(Kind::PlatformDown, "the session could not be bound to its version")
                .with_retry_after(CHOICE_RETRY_MS)
        }
    }
}

/// Converts a refused choice of versions to a problem.
fn choice_problem(refusal: &Refusal) -> Problem {
    let (kind, after) = match refusal {
        Refusal::NoContract => (Kind::WrongKey, None),
        Refusal::ModelNotAllowed => (Kind::ModelNotAllowed, None),
        Refusal::NoVersion => (Kind::NoVersion, Some(CHOICE_RETRY_MS)),
        Refusal::Deadline { .. } => (Kind::Deadline, None),
        Refusal::Budget { .. } => (Kind::BudgetSpent, None),
    };
    let problem = Problem::not_run(kind, refusal.to_string());
    match after {
        Some(after) => problem.with_retry_after(after),
        None => problem,
    }
}
