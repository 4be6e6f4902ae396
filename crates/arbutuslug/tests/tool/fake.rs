//! A scripted instance: one service object, and answers lost on order.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arbutuslug::{Console, Environment, Exit};
use operator::{
    Applied, Bill, Change, Conflict, Draining, Edit, Events, Member, Outcome, Progress, Revision, Status, Stored, What,
    wire,
};
use tokio::{net::TcpListener, sync::oneshot};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status as Code};
use world::{Timestamp, instance, object::Object};

pub const KEY: &str = "operators-key-of-the-scripted-instance";

/// What happens to one change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// Made and answered.
    Make,
    /// Made; the answer is lost.
    MakeAndLose,
    /// Not made; the answer is lost.
    Lose,
    /// Made; the instance says that it does not know.
    MakeAndDoubt,
    /// Another's change is made first, then this one is tried.
    Outrun,
}

/// What the instance knows.
#[derive(Debug, Default)]
pub struct State {
    pub acts: VecDeque<Act>,
    pub revisions: Vec<Revision>,
    /// Reads of the history that fail.
    pub blind: u32,
    pub members: Vec<Member>,
    pub bills: Vec<Bill>,
    /// What each question for the time line gets; the last one stays.
    pub streams: VecDeque<Stream>,
}

/// Pages of the time line.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    pub events: Vec<Events>,
    /// Whether a followed stream stays open after the last page.
    pub open: bool,
}

/// A scripted instance; ends when dropped.
pub struct Fake {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    _stop: oneshot::Sender<()>,
}

impl Fake {
    pub async fn start(state: State) -> Self {
        Self::join(Arc::new(Mutex::new(state))).await
    }

    /// Another instance over the same state.
    pub async fn join(state: Arc<Mutex<State>>) -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let service = wire::operator_server::OperatorServer::new(Service(state.clone()));
        let server = tonic::transport::Server::builder().add_service(service);
        let until = async move { drop(stopped.await) };
        tokio::spawn(server.serve_with_incoming_shutdown(TcpListenerStream::new(socket), until));
        Self { address, state, _stop: stop }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

pub struct Ran {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// Runs the tool.
pub async fn run(addresses: &[SocketAddr], args: &[&str]) -> Ran {
    let mut out = Vec::new();
    let (exit, err) = run_into(addresses, args, &mut out).await;
    Ran { exit, out: String::from_utf8(out).expect("UTF-8"), err }
}

/// Runs the tool with another standard output.
pub async fn run_into(addresses: &[SocketAddr], args: &[&str], out: &mut dyn std::io::Write) -> (Exit, String) {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    let environment = Environment {
        address: Some(addresses.join(",")),
        key: Some(KEY.into()),
        author: Some("mari".into()),
        ..Environment::default()
    };
    let mut err = Vec::new();
    let args = std::iter::once("arbutuslug").chain(args.iter().copied()).map(Into::into);
    let exit = arbutuslug::run(args, &environment, &mut Console::new(out, &mut err)).await;
    (exit, String::from_utf8(err).expect("UTF-8"))
}

pub fn member(name: &str, generation: u64, operators: SocketAddr) -> Member {
    Member {
        id: name.parse().unwrap(),
        incarnation: instance::Incarnation(1),
        domain: "tartu-a".parse().unwrap(),
        state: instance::State::Live,
        generation: Some(generation),
        fresh: true,
        age_ms: 20,
        in_flight: 3,
        operators,
        silent: None,
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn generation(&self) -> u64 {
        self.revisions.first().map_or(0, |revision| revision.generation)
    }

    fn put(&mut self, change: &str, author: &str, object: Option<Object>) {
        let generation = self.generation() + 1;
        let at = Timestamp(1_700_000_000_000 + generation);
        let revision = Revision { generation, change: change.into(), author: author.into(), at, object };
        self.revisions.insert(0, revision);
    }

    fn make(&mut self, change: &Change) -> Outcome {
        let [Edit { expected, what }] = change.edits.as_slice() else { panic!("one edit at a time") };
        let found = self.generation();
        if expected.is_some_and(|expected| expected != found) {
            let revision = &self.revisions[0];
            return Outcome::Conflict(Conflict {
                object: change.edits[0].key(),
                expected: expected.unwrap_or(0),
                found,
                author: revision.author.clone(),
                at: revision.at,
            });
        }
        let object = match what {
            What::Put(object) => Some(object.clone()),
            What::Delete(_) => None,
        };
        self.put(&change.id, &change.author, object);
        Outcome::Applied(Applied { generation: self.generation(), changed: vec![change.edits[0].key()] })
    }
}

struct Service(Arc<Mutex<State>>);

type Answers<T> = Pin<Box<dyn tokio_stream::Stream<Item = Result<T, Code>> + Send>>;
type Reply<T> = Result<Response<T>, Code>;

fn lost() -> Code {
    Code::unavailable("connection reset")
}

#[tonic::async_trait]
impl wire::operator_server::Operator for Service {
    type WaitStream = Answers<wire::WaitProgress>;
    type DrainStream = Answers<wire::DrainProgress>;
    type BillsStream = Answers<wire::Bill>;
    type TimelineStream = Answers<wire::Page>;

    async fn check(&self, _: Request<wire::CheckRequest>) -> Reply<wire::CheckReply> {
        Ok(Response::new(wire::CheckReply::default()))
    }

    async fn apply(&self, request: Request<wire::ApplyRequest>) -> Reply<wire::ApplyReply> {
        let change = Change::try_from(request.into_inner()).expect("the tool's own change");
        let mut state = lock(&self.0);
        let outcome = match state.acts.pop_front().unwrap_or(Act::Make) {
            Act::Make => state.make(&change),
            Act::MakeAndLose => {
                state.make(&change);
                return Err(lost());
            }
            Act::Lose => return Err(lost()),
            Act::MakeAndDoubt => {
                state.make(&change);
                Outcome::Unknown { message: "the platform is silent".into() }
            }
            Act::Outrun => {
                let object = state.revisions.first().and_then(|revision| revision.object.clone());
                state.put("another", "jaan", object);
                state.make(&change)
            }
        };
        Ok(Response::new((&outcome).into()))
    }

    async fn get(&self, _: Request<wire::GetRequest>) -> Reply<wire::GetReply> {
        let state = lock(&self.0);
        let generation = state.generation();
        let object = state.revisions.first().and_then(|revision| revision.object.clone());
        let objects = object.iter().map(|object| (&Stored { object: object.clone(), generation }).into()).collect();
        Ok(Response::new(wire::GetReply { objects, generation }))
    }

    async fn history(&self, _: Request<wire::HistoryRequest>) -> Reply<wire::HistoryReply> {
        let mut state = lock(&self.0);
        if state.blind > 0 {
            state.blind -= 1;
            return Err(lost());
        }
        let revisions = state.revisions.iter().map(Into::into).collect();
        Ok(Response::new(wire::HistoryReply { revisions }))
    }

    async fn rollout(&self, _: Request<wire::RolloutRequest>) -> Reply<wire::ApplyReply> {
        Err(Code::failed_precondition("no roll-out here; start one"))
    }

    async fn status(&self, _: Request<wire::StatusRequest>) -> Reply<wire::StatusReply> {
        let state = lock(&self.0);
        let generation = state.members.iter().filter_map(|member| member.generation).max().unwrap_or(0);
        let answered_by = "tartu-a-1".parse().unwrap();
        let status = Status { generation, answered_by, instances: state.members.clone() };
        Ok(Response::new((&status).into()))
    }

    async fn wait(&self, request: Request<wire::WaitRequest>) -> Reply<Self::WaitStream> {
        let generation = request.into_inner().generation;
        let progress = Progress { generation, instances: lock(&self.0).members.clone(), done: true };
        Ok(Response::new(Box::pin(tokio_stream::once(Ok((&progress).into())))))
    }

    async fn drain(&self, request: Request<wire::DrainRequest>) -> Reply<Self::DrainStream> {
        let instance = request.into_inner().instance.parse().expect("a name");
        let draining = Draining { instance, in_flight: 0, done: true };
        Ok(Response::new(Box::pin(tokio_stream::once(Ok((&draining).into())))))
    }

    async fn bills(&self, _: Request<wire::BillsRequest>) -> Reply<Self::BillsStream> {
        let bills: Vec<_> = lock(&self.0).bills.iter().map(|bill| Ok(bill.into())).collect();
        Ok(Response::new(Box::pin(tokio_stream::iter(bills))))
    }

    async fn explain(&self, _: Request<wire::ExplainRequest>) -> Reply<wire::ExplainReply> {
        Err(Code::not_found("the journal has no record of it"))
    }

    async fn timeline(&self, request: Request<wire::TimelineRequest>) -> Reply<Self::TimelineStream> {
        let request = request.into_inner();
        let follow = request.follow;
        let Stream { mut events, open } = {
            let mut state = lock(&self.0);
            let last = state.streams.len() < 2;
            let stream = if last { state.streams.front().cloned() } else { state.streams.pop_front() };
            stream.unwrap_or_default()
        };
        for Events { page, .. } in &mut events {
            let filter = request.filter(page.source.incarnation).expect("the tool's own filter");
            page.records.retain(|record| filter.wants(record));
        }
        Ok(Response::new(Box::pin(async_stream::stream! {
            for page in &events {
                yield Ok(page.into());
            }
            if follow && open {
                std::future::pending::<()>().await;
            }
        })))
    }
}
