//! The operators' service over the daemon's handles.

use std::{pin::Pin, time::Duration};

use futures::Stream;
use operator::{Account, Bill, Change, Edit, Outcome, Revision, Stored, wire};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status};
use world::{
    contract::Customer,
    object::{Key, Kind},
    request,
};

use super::{Handles, edits, fleet, follow};

/// Most changes of one object that a history shows.
const HISTORY: u32 = 200;

/// Longest wait for a key's home.
const JOURNAL: Duration = Duration::from_secs(5);

/// Answers operators.
#[derive(Debug, Clone)]
pub(super) struct Service {
    handles: Handles,
    stop: CancellationToken,
}

impl Service {
    pub(super) fn new(handles: Handles, stop: CancellationToken) -> Self {
        Self { handles, stop }
    }
}

type Answers<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;
type Reply<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl wire::operator_server::Operator for Service {
    type WaitStream = Answers<wire::WaitProgress>;
    type DrainStream = Answers<wire::DrainProgress>;
    type BillsStream = Answers<wire::Bill>;
    type TimelineStream = Answers<wire::Page>;

    async fn check(&self, request: Request<wire::CheckRequest>) -> Reply<wire::CheckReply> {
        let edits = request.into_inner().edits.into_iter().map(Edit::try_from);
        let edits = edits.collect::<Result<Vec<_>, _>>().map_err(|e| malformed(&e))?;
        let config = &self.handles.config;
        let catalog = config.current();
        let checked = edits::check(&catalog, |key| config.revision(key), edits);
        Ok(Response::new(wire::CheckReply {
            faults: checked.faults.iter().map(Into::into).collect(),
            generation: catalog.generation(),
            changed: checked.changed.iter().map(Into::into).collect(),
        }))
    }

    async fn apply(&self, request: Request<wire::ApplyRequest>) -> Reply<wire::ApplyReply> {
        let change = Change::try_from(request.into_inner()).map_err(|e| malformed(&e))?;
        let edits = change.edits.into_iter().map(edits::to_config).collect();
        self.make(&change.author, &change.id, edits).await
    }

    async fn get(&self, request: Request<wire::GetRequest>) -> Reply<wire::GetReply> {
        let wire::GetRequest { kind, name } = request.into_inner();
        let kind = (!kind.is_empty()).then(|| kind.parse::<Kind>()).transpose();
        let kind = kind.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let config = &self.handles.config;
        let catalog = config.current();
        let wanted = |key: &Key| kind.is_none_or(|kind| kind == key.kind) && (name.is_empty() || name == key.name);
        let stored = catalog.objects().filter(|object| wanted(&object.key())).map(|object| {
            let generation = config.revision(&object.key()).map_or(0, |revision| revision.generation);
            wire::Stored::from(&Stored { object, generation })
        });
        Ok(Response::new(wire::GetReply { objects: stored.collect(), generation: catalog.generation() }))
    }

    async fn history(&self, request: Request<wire::HistoryRequest>) -> Reply<wire::HistoryReply> {
        let wire::HistoryRequest { key, limit } = request.into_inner();
        let key = key.ok_or_else(|| Status::invalid_argument("no object named; give kind and name"))?;
        let key = Key::try_from(key).map_err(|e| malformed(&e))?;
        let limit = if limit == 0 { HISTORY } else { limit.min(HISTORY) };
        let past = self.handles.config.history(&key, limit as usize).await.map_err(|e| refused(&e))?;
        let revisions = past.into_iter().map(|past| {
            wire::Revision::from(&Revision {
                generation: past.revision.generation,
                change: past.revision.change,
                author: past.revision.author,
                at: past.revision.at,
                object: past.object,
            })
        });
        Ok(Response::new(wire::HistoryReply { revisions: revisions.collect() }))
    }

    async fn rollout(&self, request: Request<wire::RolloutRequest>) -> Reply<wire::ApplyReply> {
        let (name, action, change) = request.into_inner().into_parts().map_err(|e| malformed(&e))?;
        let config = &self.handles.config;
        let revision = config.revision(&Key { kind: Kind::Rollout, name: name.to_string() });
        match edits::rollout(&config.current(), revision.as_ref(), &name, &action) {
            Ok(edit) => self.make(&change.author, &change.id, vec![edit]).await,
            Err(fault) => Ok(Response::new((&Outcome::Refused(vec![fault])).into())),
        }
    }

    async fn status(&self, _: Request<wire::StatusRequest>) -> Reply<wire::StatusReply> {
        Ok(Response::new((&fleet::status(&self.handles).await).into()))
    }

    async fn wait(&self, request: Request<wire::WaitRequest>) -> Reply<Self::WaitStream> {
        let wire::WaitRequest { generation, timeout_ms } = request.into_inner();
        let longest = match timeout_ms {
            0 => follow::LONGEST_WAIT,
            given => Duration::from_millis(given).min(follow::LONGEST_WAIT),
        };
        let stream = follow::progress(self.handles.clone(), generation, longest, self.stop.clone());
        Ok(Response::new(Box::pin(stream)))
    }

    async fn drain(&self, request: Request<wire::DrainRequest>) -> Reply<Self::DrainStream> {
        let own = &self.handles.recorder.source().instance;
        let wanted = request.into_inner().instance;
        if wanted != own.as_str() {
            let message = format!("this is {own}, not {}; ask that instance itself", wanted.escape_debug());
            return Err(Status::failed_precondition(message));
        }
        self.handles.leave.cancel();
        Ok(Response::new(Box::pin(follow::draining(&self.handles))))
    }

    async fn bills(&self, request: Request<wire::BillsRequest>) -> Reply<Self::BillsStream> {
        let customer = request.into_inner().customer;
        let customer = Customer::parse(&customer).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let mut bills = self.handles.journal.bills(&customer).await.map_err(|e| refused(&e))?;
        if bills.is_empty() && self.handles.config.current().contract(&customer).is_none() {
            let message = format!("no contract {customer} and no bill of it; `arbutuslug get contract` lists them");
            return Err(Status::not_found(message));
        }
        bills.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        let bills = bills.into_iter().map(|bill| Ok((&to_operator(bill)).into()));
        Ok(Response::new(Box::pin(futures::stream::iter(bills))))
    }

    async fn explain(&self, request: Request<wire::ExplainRequest>) -> Reply<wire::ExplainReply> {
        let request = request.into_inner();
        let with_bill = request.with_bill;
        let id = request::Id::try_from(request).map_err(|e| malformed(&e))?;
        let journal = &self.handles.journal;
        let bill = if with_bill {
            let bills = journal.bills(&id.customer).await.map_err(|e| refused(&e))?;
            bills.into_iter().find(|bill| bill.id == id).map(to_operator)
        } else {
            None
        };
        let outcome = journal.outcome(&id, Instant::now() + JOURNAL).await.map_err(|e| refused(&e))?;
        // A bill outlives the key it was made under.
        let outcome = outcome.or(bill.as_ref().map(|_| request::Outcome::Answered));
        let Some(outcome) = outcome else {
            return Err(Status::not_found(format!("the journal has no record of {id}; keys are remembered for a day")));
        };
        Ok(Response::new((&Account { outcome, bill }).into()))
    }

    async fn timeline(&self, request: Request<wire::TimelineRequest>) -> Reply<Self::TimelineStream> {
        let request = request.into_inner();
        let incarnation = self.handles.recorder.source().incarnation;
        let filter = request.filter(incarnation).map_err(|e| malformed(&e))?;
        let stream = follow::events(self.handles.clone(), filter, request.follow, self.stop.clone());
        Ok(Response::new(Box::pin(stream)))
    }
}

impl Service {
    async fn make(&self, author: &str, id: &str, edits: Vec<config::Edit>) -> Reply<wire::ApplyReply> {
        let changed = edits.iter().map(config::Edit::key).collect();
        let result = self.handles.config.apply_as(author, id, edits).await;
        let outcome = edits::outcome(result, changed).map_err(|e| refused(&e))?;
        Ok(Response::new((&outcome).into()))
    }
}

fn to_operator(bill: journal::Bill) -> Bill {
    let version = match bill.item {
        journal::bill::Item::Version(version) => Some(version),
        journal::bill::Item::Service(_) => None,
    };
    Bill { request: bill.id, version, cost: bill.amount, currency: bill.currency, attempts: bill.attempts, at: bill.at }
}

fn malformed(malformed: &operator::Malformed) -> Status {
    Status::invalid_argument(format!("{malformed}; use a tool of the instances' version"))
}

/// A refusal: the tool takes this code for "nothing was done".
fn refused(error: &dyn std::fmt::Display) -> Status {
    Status::failed_precondition(error.to_string())
}
