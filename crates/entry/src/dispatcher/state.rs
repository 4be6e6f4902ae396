//! State and message loop of the task that serves routing decisions.

use std::{collections::HashMap, sync::Arc, time::Duration};

use endpoint::report::{CacheChange, CacheEvent, Load};
use rand::{SeedableRng, rngs::SmallRng};
use route::{
    admission::{Queue, Refusal, Ticket as QueueTicket},
    endpoint::{self as route_endpoint, Event, Fleet, Key, Peer, Report, Rule, Target},
    model::{self, Choice, Inputs},
    quality::Cell,
    retry,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};
use world::{Catalog, Millis, Timestamp, contract::Customer, endpoint::Id, model::Version};

use super::{
    Admission, AdmissionRequest, ChoiceRecord, Ending, EndpointQuery, Handle, Message, QueueKey, Reservation,
    VersionQuery, learn::Learner,
};
use crate::clock;

/// Interval at which requests that can no longer meet their deadline are removed
/// from the queues.
const SHED_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of customers with a retry budget. All budgets are reset when it
/// is reached.
const MAX_RETRY_BUDGETS: usize = 16_384;

type Reply = oneshot::Sender<Result<Admission, Refusal>>;

/// The state owned by the task.
pub(super) struct State {
    fleet: Fleet,
    catalog: Arc<Catalog>,
    queues: HashMap<QueueKey, WaitQueue>,
    policy: retry::Policy,
    budgets: HashMap<Customer, retry::Budget>,
    learner: Learner,
    leaving: Vec<Id>,
    random: SmallRng,
    /// Sender to this task's own channel, for the guards that the task hands out.
    inbox: mpsc::WeakSender<Message>,
}

/// An admission queue and the reply channels of its waiting requests.
struct WaitQueue {
    queue: Queue,
    replies: HashMap<route::admission::Key, Reply>,
}

impl State {
    pub fn new(local: Peer, policy: retry::Policy, control: control::Handle, inbox: mpsc::WeakSender<Message>) -> Self {
        Self {
            fleet: Fleet::new(local),
            catalog: Arc::default(),
            queues: HashMap::new(),
            policy,
            budgets: HashMap::new(),
            learner: Learner::new(control),
            leaving: Vec::new(),
            random: SmallRng::from_os_rng(),
            inbox,
        }
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut shed = tokio::time::interval(SHED_INTERVAL);
        shed.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = shed.tick() => self.shed(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = clock::now();
        match message {
            Message::Admit(request, reply) => self.admit(&request, reply, now),
            Message::Release(queue_key) => self.release_slot(&queue_key, now),
            Message::Choose(query, reply) => drop(reply.send(self.choose(&query, now))),
            Message::ReserveEndpoint(query, reply) => self.reserve_endpoint(&query, reply, now),
            Message::Ended(key, target, cell, ending) => self.record_ending(key, &target, cell, ending, now),
            Message::Retry(customer, request, failure, reply) => {
                let _ = reply.send(self.retry(&customer, &request, failure, now));
            }
            Message::Discard(record) => self.learner.discard(&record),
            Message::Expire(record) => self.learner.expire(&record),
            Message::Escalate(record, rate, reply) => drop(reply.send(self.learner.escalate(record, rate))),
            Message::AwaitRating(answer) => self.learner.await_rating(answer, now),
            Message::Rated { record, version, stage, pass, is_final } => {
                self.learner.record_rating(&record, &version, stage, pass, is_final);
            }
            Message::RaterDown => self.learner.mark_rater_unavailable(now),
            Message::LateRatings(ratings) => self.learner.record_late_ratings(ratings, &self.catalog),
            Message::SetLoad(endpoint, load) => self.set_load(&endpoint, &load, now),
            Message::CacheEvents(endpoint, events) => self.apply_cache_events(&endpoint, &events, now),
            Message::SetLeaving(endpoints) => self.update_leaving(endpoints, now),
            Message::SetCatalog(catalog, instances) => self.set_catalog(catalog, &instances, now),
            Message::Endpoints(reply) => {
                drop(reply.send(self.fleet.endpoints().map(|(_, endpoint)| endpoint.clone()).collect()));
            }
        }
    }

    fn admit(&mut self, request: &AdmissionRequest, reply: Reply, now: Timestamp) {
        let run_ms = self.min_run_ms(&request.queue_key, now);
        let limit = self.concurrency_limit(&request.queue_key, now);
        let waiting = self.queues.entry(request.queue_key.clone()).or_insert_with(WaitQueue::new);
        waiting.queue.set_limit(limit);
        let criteria = QueueTicket {
            customer: &request.customer,
            weight: request.weight,
            deadline: request.deadline,
            run_ms,
            draw: request.draw,
        };
        match waiting.queue.offer(&criteria, now) {
            Ok(key) => drop(waiting.replies.insert(key, reply)),
            Err(refusal) => drop(reply.send(Err(refusal))),
        }
        waiting.grant(&request.queue_key, &self.inbox, now);
        let budgets = &mut self.budgets;
        if budgets.len() >= MAX_RETRY_BUDGETS && !budgets.contains_key(&request.customer) {
            budgets.clear();
        }
        budgets
            .entry(request.customer.clone())
            .or_insert_with(|| retry::Budget::new(&self.policy))
            .add_first_attempt(&self.policy);
    }

    fn release_slot(&mut self, queue_key: &QueueKey, now: Timestamp) {
        if let Some(waiting) = self.queues.get_mut(queue_key) {
            waiting.queue.record_finish(now);
        }
        let limit = self.concurrency_limit(queue_key, now);
        if let Some(waiting) = self.queues.get_mut(queue_key) {
            waiting.queue.set_limit(limit);
            waiting.grant(queue_key, &self.inbox, now);
        }
    }

    /// Refuses requests that can no longer complete in time without waiting for their
    /// deadline, and admits others as endpoints report free capacity.
    fn shed(&mut self) {
        let now = clock::now();
        let queue_keys: Vec<_> = self.queues.keys().cloned().collect();
        for queue_key in queue_keys {
            let limit = self.concurrency_limit(&queue_key, now);
            let Some(waiting) = self.queues.get_mut(&queue_key) else { continue };
            waiting.queue.set_limit(limit);
            waiting.shed(now);
            waiting.grant(&queue_key, &self.inbox, now);
            metrics::gauge!("entry_queue_waiting", "line" => queue_key.label())
                .set(f64::from(u32::try_from(waiting.queue.waiting()).unwrap_or(u32::MAX)));
        }
    }

    /// Returns the maximum number of concurrent runs.
    fn concurrency_limit(&self, queue_key: &QueueKey, now: Timestamp) -> u32 {
        self.fleet.run_limit(&self.targets(queue_key), now)
    }

    fn targets(&self, queue_key: &QueueKey) -> Vec<Target> {
        match queue_key {
            QueueKey::Service(id) => vec![Target::Service(id.clone())],
            QueueKey::Model(id) => {
                let releases = self.catalog.model(id).map_or(&[][..], |model| &model.versions);
                let version = |number: &world::model::Number| Version { model: id.clone(), number: number.clone() };
                releases.iter().map(|release| Target::Version(version(&release.version))).collect()
            }
        }
    }

    /// Returns a lower estimate of the fastest version's run time, in milliseconds.
    fn min_run_ms(&self, queue_key: &QueueKey, now: Timestamp) -> Millis {
        let least = self.targets(queue_key).into_iter().filter_map(|target| match target {
            Target::Version(version) => Some(self.learner.quality.speed(Cell::ANY, &version, now).plausible_min_ms()),
            Target::Service(_) => None,
        });
        to_millis(least.fold(f64::INFINITY, f64::min)).max(1)
    }

    fn choose(&mut self, query: &VersionQuery, now: Timestamp) -> Result<(Choice, ChoiceRecord), model::Refusal> {
        let inputs = Inputs {
            catalog: &query.catalog,
            customer: &query.customer,
            model: &query.model,
            class: &query.class,
            session: query.session.as_ref(),
            unit: query.unit,
            stops: &query.stops,
            repeat: query.repeat,
            prompt_tokens: query.prompt_tokens,
            max_tokens: query.max_tokens,
            now,
            left_ms: query.left_ms,
            ceiling: query.ceiling,
            rater: self.learner.rater(now),
            quality: &self.learner.quality,
        };
        let choice = model::choose(&inputs)?;
        let cell = Cell::new(&query.customer, &query.class);
        let pending = self.learner.quality.add_pending(cell, choice.expected_pass_rate(0), choice.reason().target);
        Ok((choice, ChoiceRecord { customer: query.customer.clone(), unit: query.unit, cell, pending }))
    }

    fn reserve_endpoint(
        &mut self,
        query: &EndpointQuery,
        reply: oneshot::Sender<Result<Reservation, route_endpoint::Refusal>>,
        now: Timestamp,
    ) {
        let criteria = route_endpoint::RunRequest {
            target: &query.target,
            prefix: query.prefix,
            excluded: &query.avoid,
            draw: query.draw,
        };
        let placed = self.fleet.choose(&criteria, now).and_then(|choice| {
            let refused = route_endpoint::Refusal::NoneLeft;
            let endpoint = self.fleet.endpoint(choice.key).ok_or(refused)?;
            Ok(Reservation {
                endpoint: endpoint.id.clone(),
                address: endpoint.address,
                reason: reason(&choice),
                expected_ms: self.expected_ms(&query.target, query.cell, now),
                key: choice.key,
                target: query.target.clone(),
                cell: query.cell,
                dispatcher: Handle { inbox: self.inbox.upgrade().ok_or(refused)? },
                ended: false,
            })
        });
        if let Ok(reservation) = &placed {
            self.fleet.handle(Event::Dispatched(reservation.key), now);
        }
        drop(reply.send(placed));
    }

    fn expected_ms(&self, target: &Target, cell: Cell, now: Timestamp) -> Millis {
        match target {
            Target::Version(version) => to_millis(self.learner.quality.speed(cell, version, now).plausible_min_ms()),
            Target::Service(_) => 0,
        }
    }

    fn record_ending(&mut self, key: Key, target: &Target, cell: Cell, ending: Ending, now: Timestamp) {
        match ending {
            Ending::Whole { millis, tokens } => {
                if let Target::Version(version) = target {
                    self.learner.quality.record_run(cell, version, millis, tokens, now);
                }
                self.fleet.handle(Event::Finished { key, target, millis, tokens }, now);
            }
            Ending::Failed(failure) => self.fleet.handle(Event::Failed { key, target, failure }, now),
            Ending::Cancelled => self.fleet.handle(Event::Cancelled(key), now),
        }
    }

    fn retry(
        &mut self,
        customer: &Customer,
        request: &retry::Request,
        failure: retry::Failure,
        now: Timestamp,
    ) -> retry::Decision {
        let budget = self.budgets.entry(customer.clone()).or_insert_with(|| retry::Budget::new(&self.policy));
        retry::decide(&self.policy, budget, request, failure, now, &mut self.random)
    }

    fn set_load(&mut self, endpoint: &Id, load: &Load, now: Timestamp) {
        let report = Report {
            as_of: load.as_of_ms,
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            loaded: Some(&load.versions),
        };
        self.fleet.handle(Event::Load { endpoint, report }, now);
    }

    fn apply_cache_events(&mut self, endpoint: &Id, events: &[CacheEvent], now: Timestamp) {
        for event in events {
            let prefix = event.prefix;
            self.fleet.handle(
                match event.kind {
                    CacheChange::Stored => Event::Stored { endpoint, prefix },
                    CacheChange::Evicted => Event::Evicted { endpoint, prefix },
                },
                now,
            );
        }
    }

    fn update_leaving(&mut self, endpoints: Vec<Id>, now: Timestamp) {
        let returned: Vec<_> = self.leaving.iter().filter(|id| !endpoints.contains(id)).cloned().collect();
        for endpoint in &returned {
            self.fleet.handle(Event::Leaving { endpoint, leaving: false }, now);
        }
        self.leaving = endpoints;
        self.mark_leaving(now);
    }

    fn mark_leaving(&mut self, now: Timestamp) {
        for endpoint in &self.leaving {
            self.fleet.handle(Event::Leaving { endpoint, leaving: true }, now);
        }
    }

    fn set_catalog(&mut self, catalog: Arc<Catalog>, instances: &[Peer], now: Timestamp) {
        self.fleet.apply(&catalog, instances);
        self.catalog = catalog;
        // An endpoint that is new in the catalog may already be leaving.
        self.mark_leaving(now);
    }
}

impl WaitQueue {
    fn new() -> Self {
        Self { queue: Queue::new(1), replies: HashMap::new() }
    }

    /// Admits waiting requests while slots are free.
    ///
    /// If the caller hung up while it waited, dropping the guard frees the slot again.
    fn grant(&mut self, queue_key: &QueueKey, inbox: &mpsc::WeakSender<Message>, now: Timestamp) {
        while let Some(admitted) = self.queue.next(now) {
            let Some(inbox) = inbox.upgrade() else { return };
            let admission = Admission {
                priority: admitted.priority,
                waited_ms: admitted.waited_ms,
                queue_key: queue_key.clone(),
                dispatcher: Handle { inbox },
            };
            let Some(reply) = self.replies.remove(&admitted.key) else { continue };
            drop(reply.send(Ok(admission)));
        }
    }

    fn shed(&mut self, now: Timestamp) {
        for (key, refusal) in self.queue.shed(now) {
            if let Some(reply) = self.replies.remove(&key) {
                drop(reply.send(Err(refusal)));
            }
        }
        let abandoned: Vec<_> =
            self.replies.iter().filter(|(_, reply)| reply.is_closed()).map(|(key, _)| *key).collect();
        for key in abandoned {
            self.queue.cancel(key);
            self.replies.remove(&key);
        }
    }
}

impl QueueKey {
    /// Returns the value of the metric label. Models and services are few, so
    /// cardinality is low.
    fn label(&self) -> String {
        match self {
            Self::Model(id) => id.to_string(),
            Self::Service(id) => id.to_string(),
        }
    }
}

fn reason(choice: &route_endpoint::Choice) -> String {
    let rule = match choice.rule {
        Rule::Holder => "holds the prompt's prefix",
        Rule::Preferred => "preferred for the prompt's prefix",
        Rule::LessLoaded => "less loaded of two drawn",
        Rule::Only => "the only one left",
    };
    format!("{rule}; load {:.2}, mean {:.2}, {} weighed", choice.load, choice.mean, choice.considered)
}

fn to_millis(millis: f64) -> Millis {
    if !millis.is_finite() {
        return 0;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "finite and clamped")]
    let rounded = millis.clamp(0.0, 1e15) as Millis;
    rounded
}
