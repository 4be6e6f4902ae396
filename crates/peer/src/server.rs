//! The tonic server that handles links, probes, calls and streams of peers.

use std::{pin::Pin, sync::Arc};

use futures::{Stream, StreamExt, stream};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    time::timeout,
};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_util::sync::CancellationToken;
use tonic::{
    Code, Request, Response, Status, Streaming, metadata::MetadataValue, service::interceptor::InterceptedService,
    transport::Server,
};
use world::instance::{Id, State};

use crate::{
    error::NOT_RUN,
    event::Event,
    generated::{
        CallReply, CallRequest, Caller, Chunk, Frame, ProbeReply, ProbeRequest,
        peer_server::{Peer, PeerServer},
    },
    inbound::Inbound,
    link,
    member::{Member, Members},
    pool::Pool,
    settings::{Key, Settings},
    topic::Topic,
    traffic::Meter,
    wire::{KEY_METADATA, MAX_OVERHEAD},
};

/// Implementation of the peer service. Whatever needs the links is forwarded
/// to the task as an event.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) settings: Arc<Settings>,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) inbound: mpsc::Sender<Inbound>,
    pub(crate) members: watch::Receiver<Arc<Members>>,
    pub(crate) pool: Arc<Pool>,
}

/// Serves peers until cancelled.
pub(crate) async fn serve(service: Service, listener: TcpListener, meter: Meter, cancel: CancellationToken) {
    let settings = service.settings.clone();
    let key = settings.key.clone();
    let max_size = settings.limits.body + MAX_OVERHEAD;
    let peer = PeerServer::new(service).max_decoding_message_size(max_size).max_encoding_message_size(max_size);
    let authenticated = InterceptedService::new(peer, move |request| check_key(&key, request));
    let incoming = TcpListenerStream::new(listener).map(move |stream| {
        let stream = stream?;
        // Nagle's algorithm would delay heartbeats.
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(meter.count(stream))
    });
    let mut builder = Server::builder().http2_keepalive_interval(Some(settings.timing.heartbeat_interval() * 10));
    let server = builder.add_service(authenticated).serve_with_incoming_shutdown(incoming, cancel.cancelled_owned());
    if let Err(error) = server.await {
        tracing::error!(%error, "peer listener ended");
    }
}

fn check_key(key: &Key, request: Request<()>) -> Result<Request<()>, Status> {
    let offered = request.metadata().get_bin(KEY_METADATA).and_then(|value| value.to_bytes().ok());
    if offered.is_some_and(|offered| key.matches(&offered)) {
        return Ok(request);
    }
    metrics::counter!("peer_refused_total", "why" => "key").increment(1);
    Err(not_run(Code::Unauthenticated, "wrong key; give all instances the same one"))
}

/// Returns a status that says that the call never reached the topic owner.
fn not_run(code: Code, why: &str) -> Status {
    let mut status = Status::new(code, why);
    status.metadata_mut().insert(NOT_RUN, MetadataValue::from_static("1"));
    status
}

type Frames = stream::Map<ReceiverStream<Frame>, fn(Frame) -> Result<Frame, Status>>;

#[tonic::async_trait]
impl Peer for Service {
    type LinkStream = Frames;
    type StreamStream = Pin<Box<dyn Stream<Item = Result<Chunk, Status>> + Send>>;

    async fn link(&self, request: Request<Streaming<Frame>>) -> Result<Response<Frames>, Status> {
        let mut incoming = request.into_inner();
        let first = timeout(self.settings.timing.dial_timeout(), link::read_greeting(&mut incoming)).await;
        let greeting = first.ok().flatten();
        let greeting = greeting.ok_or_else(|| not_run(Code::FailedPrecondition, "no greeting of a known version"))?;
        let (reply, answer) = oneshot::channel();
        self.send_event(Event::Accept { greeting, incoming, reply }).await?;
        match answer.await {
            Ok(Ok(frames)) => Ok(Response::new(ReceiverStream::new(frames).map(Ok as fn(_) -> _))),
            Ok(Err(refusal)) => Err(not_run(refusal.code(), refusal.message())),
            Err(_) => Err(shutting_down()),
        }
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let target = request.into_inner().target.ok_or_else(|| not_run(Code::InvalidArgument, "no target"))?;
        let target = Member::try_from(target.clone()).map_err(|e| not_run(Code::InvalidArgument, e.0))?;
        if target.instance.id == self.settings.me.id {
            let (reply, answer) = oneshot::channel();
            self.send_event(Event::Asked(target, reply)).await?;
            let entry = answer.await.map_err(|_| shutting_down())?;
            return Ok(Response::new(ProbeReply { member: Some((&entry).into()) }));
        }
        let member = timeout(self.settings.timing.dial_timeout(), probe(&self.pool, &target)).await.ok().flatten();
        Ok(Response::new(ProbeReply { member: member.as_ref().map(Into::into) }))
    }

    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        let call = request.into_inner();
        let (from, topic) = self.validate(&call)?;
        let (reply, answer) = oneshot::channel();
        self.deliver(Inbound::Call { from, topic, body: call.body, reply })?;
        let body = answer.await.map_err(|_| Status::aborted("the owner gave no answer"))?;
        Ok(Response::new(CallReply { body, stamp: self.pool.hybrid_clock().stamp() }))
    }

    async fn stream(&self, request: Request<CallRequest>) -> Result<Response<Self::StreamStream>, Status> {
        let call = request.into_inner();
        let (from, topic) = self.validate(&call)?;
        let (sink, chunks) = mpsc::channel(self.settings.limits.chunks);
        let hybrid_clock = self.pool.hybrid_clock().clone();
        self.deliver(Inbound::Stream { from, topic, body: call.body, sink })?;
        let chunks = ReceiverStream::new(chunks).map(move |body| Ok(Chunk { body, stamp: hybrid_clock.stamp() }));
        Ok(Response::new(Box::pin(chunks)))
    }
}

impl Service {
    async fn send_event(&self, event: Event) -> Result<(), Status> {
        self.events.send(event).await.map_err(|_| shutting_down())
    }

    /// Validates the caller, the intended run and the topic of a call, and advances
    /// the hybrid logical clock past the caller's stamp.
    fn validate(&self, call: &CallRequest) -> Result<(Id, Topic), Status> {
        let (from, incarnation) = parse_caller(call.caller.as_ref())?;
        let members = self.members.borrow();
        let me = &members.me;
        if me.state == State::Gone {
            return Err(shutting_down());
        }
        if call.wanted != 0 && call.wanted != me.incarnation.0 {
            // The caller means an earlier run, whose in-memory state is lost.
            return Err(not_run(Code::FailedPrecondition, "this instance was started anew since"));
        }
        if members.get(&from).is_some_and(|known| known.incarnation.0 > incarnation) {
            // The caller is a superseded run, which must make no more calls.
            return Err(not_run(Code::FailedPrecondition, "the caller was started anew since"));
        }
        let topic = Topic::try_from(call.topic);
        let topic = topic.map_err(|_| not_run(Code::Unimplemented, "this build does not know the topic"))?;
        self.pool.hybrid_clock().observe(call.caller.as_ref().map_or(0, |caller| caller.stamp));
        Ok((from, topic))
    }

    /// Hands a message to the topic owners without waiting. Failing at once with
    /// a definite "not run" when the queue is full serves the caller better than
    /// an unknown outcome at its deadline.
    fn deliver(&self, message: Inbound) -> Result<(), Status> {
        self.inbound.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => not_run(Code::ResourceExhausted, "too many messages wait here"),
            mpsc::error::TrySendError::Closed(_) => shutting_down(),
        })
    }
}

fn parse_caller(caller: Option<&Caller>) -> Result<(Id, u64), Status> {
    let caller = caller.ok_or_else(|| not_run(Code::InvalidArgument, "no caller"))?;
    let id = Id::parse(&caller.id).map_err(|_| not_run(Code::InvalidArgument, "the caller's name is no name"))?;
    Ok((id, caller.incarnation))
}

fn shutting_down() -> Status {
    not_run(Code::FailedPrecondition, "this instance is shutting down")
}

/// Asks a member for its own entry over a new connection.
pub(crate) async fn probe(pool: &Pool, target: &Member) -> Option<Member> {
    let client = pool.connect_new(target.instance.peers).await.ok()?;
    request_entry(client, pool, target).await
}

/// Sends a peer a probe request for the entry of `target`, which may be the
/// peer itself.
pub(crate) async fn request_entry(
    mut client: crate::generated::peer_client::PeerClient<tonic::transport::Channel>,
    pool: &Pool,
    target: &Member,
) -> Option<Member> {
    let request = ProbeRequest { caller: Some(pool.caller()), target: Some(target.into()) };
    let reply = client.probe(pool.request(request)).await.ok()?;
    let entry = Member::try_from(reply.into_inner().member?).ok()?;
    (entry.instance.id == target.instance.id).then_some(entry)
}
