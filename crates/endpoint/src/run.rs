//! Attempts: one dispatch of a chat request to one engine.
//!
//! One task per attempt reads the engine's events, checks their order and
//! hands frames over through a short channel. A caller that reads slowly
//! fills the channel, the task stops reading, and TCP slows the engine down:
//! back-pressure from end to end. A [`Run`] that is dropped before its last
//! frame cancels the attempt at its engine.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Limited, combinators::UnsyncBoxBody};
use overhead::AnswerBody;
use sse_stream::{Sse, SseStream};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout, timeout_at},
};
use world::model::Version;

use crate::{
    client::{self, Handle},
    error::Error,
    frame::{Frame, Reason, Usage},
    held::{self, Event, Reservation},
    sequence::{Sequence, Verdict},
    wire,
};

/// Longest wait for the end of a body whose last frame has come, so that its
/// connection can be used again.
const DRAIN: Duration = Duration::from_millis(500);

/// Names one dispatch; unique, and never used twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(Arc<str>);

impl Attempt {
    /// The attempt with this name.
    ///
    /// # Errors
    ///
    /// The text, when it would not fit a header and a path.
    pub fn parse(text: &str) -> Result<Self, String> {
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if text.is_empty() || !text.chars().all(fits) {
            return Err(text.into());
        }
        Ok(Self(text.into()))
    }

    /// Its name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What to run, and where.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Names this dispatch.
    pub attempt: Attempt,
    /// The engine.
    pub address: SocketAddr,
    /// The version it is to run.
    pub version: Version,
    /// The chat request; names the version and asks for a stream.
    pub body: Bytes,
    /// Rank among the engine's waiting runs, 0 first, 9 last.
    pub priority: u8,
    /// When the answer must be whole.
    pub deadline: Instant,
}

/// Why a stream ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Broken {
    /// The connection ended before the last frame.
    Cut,
    /// A frame is missing.
    Gap,
    /// An event could not be read.
    Malformed,
    /// Nothing came for too long.
    Idle,
    /// The deadline passed.
    Deadline,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cut => "the stream was cut; resume it from the next frame",
            Self::Gap => "a frame is missing; resume the stream from it",
            Self::Malformed => "an event could not be read; check the engine's version",
            Self::Idle => "nothing came for too long; resume the stream or check the engine",
            Self::Deadline => "the deadline passed; allow more time or a shorter answer",
        })
    }
}

impl std::error::Error for Broken {}

/// A running attempt; dropping it before its last frame cancels it.
#[derive(Debug)]
pub struct Run {
    attempt: Attempt,
    frames: mpsc::Receiver<Result<Frame, Broken>>,
    next: u64,
}

impl Run {
    /// Its name.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Index of the frame that comes next; a resume starts here.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// The next frame; nothing after the last one or a break.
    ///
    /// # Errors
    ///
    /// [`Broken`] when the stream ended before its last frame.
    pub async fn next(&mut self) -> Option<Result<Frame, Broken>> {
        let frame = self.frames.recv().await?;
        if let Ok(frame) = &frame {
            self.next = frame.index() + 1;
        }
        Some(frame)
    }
}

impl Handle {
    /// Dispatches an attempt and waits until the engine has taken it.
    ///
    /// # Errors
    ///
    /// `Refused` when nothing was run; `Unknown` when it may have run.
    pub async fn run(&self, dispatch: Dispatch) -> Result<Run, Error> {
        let mut request =
            client::request(Method::POST, dispatch.address, "/v1/chat/completions", dispatch.body.clone());
        let headers = request.headers_mut();
        headers.insert(wire::ATTEMPT_HEADER, header(dispatch.attempt.as_str()));
        headers.insert(wire::PRIORITY_HEADER, HeaderValue::from(u16::from(dispatch.priority.min(9))));
        let mut guard = CancelGuard::new(self, dispatch.address, &dispatch.attempt);
        let sent = timeout_at(dispatch.deadline, self.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                guard.armed = !error.not_run();
                return Err(error);
            }
            Err(_) => return Err(Error::unknown("the deadline passed before the engine answered")),
        };
        if !response.status().is_success() {
            guard.armed = false;
            let error = client::refusal(response.status(), response.headers());
            let (_, body) = response.into_parts();
            drop(tokio::spawn(drain(body, self.memory.reserve())));
            return Err(error);
        }
        Ok(self.follow(&dispatch, response.into_body(), 0, guard))
    }

    /// Takes up a broken stream at its engine, from frame `from` on.
    ///
    /// # Errors
    ///
    /// `Refused` when the engine does not know the attempt; `Unknown` when it
    /// could not be asked. Neither says that nothing was run.
    pub async fn resume(&self, dispatch: &Dispatch, from: u64) -> Result<Run, Error> {
        let path = format!("/v1/streams/{}?from={from}", dispatch.attempt);
        let request = client::request(Method::GET, dispatch.address, &path, Bytes::new());
        let guard = CancelGuard::new(self, dispatch.address, &dispatch.attempt);
        let sent = timeout_at(dispatch.deadline, self.send(request)).await;
        let response =
            sent.unwrap_or_else(|_| Err(Error::unknown("the deadline passed before the engine answered")))?;
        if !response.status().is_success() {
            return Err(client::refusal(response.status(), response.headers()));
        }
        Ok(self.follow(dispatch, response.into_body(), from, guard))
    }

    /// Cancels an attempt; one that is unknown or done counts as cancelled.
    ///
    /// # Errors
    ///
    /// [`Error`] when the engine could not be told.
    pub async fn cancel(&self, address: SocketAddr, attempt: &Attempt) -> Result<(), Error> {
        let path = format!("/v1/streams/{attempt}");
        let response = self.short(Method::DELETE, address, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(client::refusal(status, response.headers())),
        }
    }

    fn follow(&self, dispatch: &Dispatch, body: AnswerBody, from: u64, guard: CancelGuard) -> Run {
        let (sender, frames) = mpsc::channel(self.settings.frame_buffer);
        let event = Event::new(self.memory.reserve());
        let body = Limited::new(body, self.settings.max_answer).map_err(io::Error::other);
        let body: Body = held::Stream::new(body, event.clone()).boxed_unsync();
        let source = Source {
            events: SseStream::new(body),
            event,
            sequence: Sequence::new(dispatch.attempt.clone(), from),
            idle: self.settings.idle_timeout,
            deadline: dispatch.deadline,
        };
        tokio::spawn(Reader { source, sender, guard }.read());
        Run { attempt: dispatch.attempt.clone(), frames, next: from }
    }
}

fn header(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}

async fn drain(body: AnswerBody, memory: Reservation) {
    drop(timeout(DRAIN, client::collect(body, 64 * 1024, memory)).await);
}

/// Cancels an attempt when dropped while armed.
///
/// Without it an engine would go on generating for a caller that is gone, and
/// its slot would be lost to others until the answer is whole.
#[derive(Debug)]
struct CancelGuard {
    handle: Handle,
    address: SocketAddr,
    attempt: Attempt,
    armed: bool,
}

impl CancelGuard {
    fn new(handle: &Handle, address: SocketAddr, attempt: &Attempt) -> Self {
        Self { handle: handle.clone(), address, attempt: attempt.clone(), armed: true }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (handle, address, attempt) = (self.handle.clone(), self.address, self.attempt.clone());
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        metrics::counter!("endpoint_attempts_cancelled_total").increment(1);
        runtime.spawn(async move {
            if let Err(error) = handle.cancel(address, &attempt).await {
                tracing::debug!(%attempt, %error, "cancel did not reach the engine");
            }
        });
    }
}

/// What an event amounts to.
enum Step {
    Frames(Vec<Frame>),
    Drop,
    Broken(Broken),
}

/// Reads one attempt's events and hands them over.
struct Reader {
    source: Source,
    sender: mpsc::Sender<Result<Frame, Broken>>,
    guard: CancelGuard,
}

impl Reader {
    async fn read(mut self) {
        loop {
            let step = tokio::select! {
                () = self.sender.closed() => return,
                step = self.source.step() => step,
            };
            match step {
                Step::Drop => {}
                Step::Broken(broken) => return self.end(broken).await,
                Step::Frames(frames) => {
                    if !self.hand_over(frames).await {
                        return;
                    }
                }
            }
        }
    }

    /// Hands frames over; false when the stream is over.
    async fn hand_over(&mut self, frames: Vec<Frame>) -> bool {
        for frame in frames {
            let last = matches!(frame, Frame::Finish { .. });
            // A caller that hangs up between two frames is found out here;
            // the guard then cancels the attempt.
            if self.sender.send(Ok(frame)).await.is_err() {
                return false;
            }
            if last {
                self.guard.armed = false;
                self.source.drain().await;
                return false;
            }
        }
        true
    }

    /// Reports an early end. The attempt is left alive at its engine, for a resume.
    async fn end(mut self, broken: Broken) {
        self.guard.armed = broken == Broken::Deadline;
        metrics::counter!("endpoint_streams_broken_total").increment(1);
        drop(self.sender.send(Err(broken)).await);
    }
}

/// A body whose errors are proper ones, of limited length.
type Body = UnsyncBoxBody<Bytes, io::Error>;

/// One attempt's connection.
struct Source {
    events: SseStream<Body>,
    /// Memory of the event that is being received.
    event: Event,
    sequence: Sequence,
    idle: Duration,
    deadline: Instant,
}

impl Source {
    async fn step(&mut self) -> Step {
        let limit = self.deadline.min(Instant::now() + self.idle);
        match timeout_at(limit, self.events.next()).await {
            Err(_) if limit == self.deadline => Step::Broken(Broken::Deadline),
            Err(_) => Step::Broken(Broken::Idle),
            Ok(None | Some(Err(sse_stream::Error::Body(_)))) => Step::Broken(Broken::Cut),
            Ok(Some(Err(_))) => Step::Broken(Broken::Malformed),
            Ok(Some(Ok(event))) => {
                self.event.end();
                self.judge(&event)
            }
        }
    }

    fn judge(&mut self, event: &Sse) -> Step {
        let Some(data) = event.data.as_deref() else {
            return Step::Drop;
        };
        // The end of the stream without a finish reason: the answer is not whole.
        if data == wire::DONE {
            return Step::Broken(Broken::Cut);
        }
        match self.sequence.accept(event.id.as_deref().unwrap_or_default()) {
            Verdict::Take(index) => parse(index, data),
            Verdict::Gap => Step::Broken(Broken::Gap),
            Verdict::Repeated | Verdict::Foreign => {
                metrics::counter!("endpoint_frames_dropped_total").increment(1);
                Step::Drop
            }
        }
    }

    /// Reads what follows the last frame, so that the connection is kept.
    async fn drain(&mut self) {
        let event = &self.event;
        let events = &mut self.events;
        let rest = async {
            while let Some(Ok(_)) = events.next().await {
                event.end();
            }
        };
        drop(timeout(DRAIN, rest).await);
    }
}

fn parse(index: u64, data: &str) -> Step {
    let Ok(chunk) = serde_json::from_str::<wire::Chunk>(data) else {
        return Step::Broken(Broken::Malformed);
    };
    let usage: Usage = chunk.usage.unwrap_or_default();
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Step::Frames(vec![Frame::Token { index, text: String::new() }]);
    };
    let mut frames = Vec::with_capacity(1);
    let text = choice.delta.content.unwrap_or_default();
    if !text.is_empty() || choice.finish_reason.is_none() {
        frames.push(Frame::Token { index, text });
    }
    if let Some(reason) = choice.finish_reason {
        frames.push(Frame::Finish { index, reason: Reason::from(reason), usage });
    }
    Step::Frames(frames)
}
