//! What would become of a request, without sending it.
//!
//! It runs the steps of [`Exchange::run`] up to the first send, on a copy of the state
//! ([`Dispatcher::scratch`]) that is thrown away.

use std::{
    pin::{Pin, pin},
    sync::LazyLock,
    task::{Context, Poll},
    time::Duration,
};

use http::request::Parts;
use metrics::NoopRecorder;
use tracing::{
    Dispatch, Event, Metadata, Subscriber,
    level_filters::LevelFilter,
    span::{Attributes, Id, Record},
    subscriber::Interest,
};

use super::{
    admit::{self, Admission},
    hop::Hop,
    plan::{Expected, Start},
    tries::Exchange,
};
use crate::{
    admission::Preview,
    answer::Refusal,
    clock,
    dispatcher::{Dispatcher, fleet::Survey},
    request_params::RequestParams,
};

/// What would become of a request.
#[derive(Debug)]
pub(crate) struct Outlook {
    /// Version of the catalog that decides; `None` before there is one.
    pub catalog: Option<u64>,
    /// Era of the store; `None` before its first answer.
    pub era: Option<u64>,
    /// The check against the catalog; `None` if it failed.
    pub admission: Option<Admission>,
    /// Rank of the request.
    pub rank: u8,
    /// Service selected from the route's targets; empty if none was.
    pub service: String,
    /// The model to ask first, and why.
    pub start: Option<Start>,
    /// What is expected of the models of the ladder.
    pub models: Vec<Expected>,
    /// Decision of admission control; `None` if that is off or not reached.
    pub preview: Option<Preview>,
    /// Endpoints of the service.
    pub survey: Survey,
    /// Where the request would be sent, or why it would be refused.
    pub result: Result<Destination, Refusal>,
    /// Time that the request would wait for an endpoint before that.
    pub waited: Duration,
}

/// Where a request would be sent.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Destination {
    /// To an endpoint.
    Endpoint {
        /// Name of the endpoint.
        id: String,
        /// Expected wait there, in milliseconds.
        wait_ms: f64,
        /// Expected time to the first byte, in milliseconds.
        first_byte_ms: f64,
        /// Whether it was chosen since it holds the prompt or a shared part, or by the part's hash.
        is_preferred: bool,
        /// Whether the shared part would be copied from another endpoint.
        is_copied: bool,
    },
    /// To another instance, since this one may not reach the endpoints or send to them.
    Instance,
}

/// Returns what would become of a request whose body has not been read. `draw` from 0 to 1 selects
/// the route's target.
pub(crate) async fn explain(dispatcher: &Dispatcher, head: Parts, params: RequestParams, draw: f64) -> Outlook {
    let scratch = dispatcher.scratch();
    quietly(async move {
        let catalog = scratch.catalog().map(|catalog| catalog.version);
        let mut outlook = Outlook { catalog, era: scratch.era().number, ..Outlook::default() };
        outlook.result = match admit::exchange_without_body(&scratch, head, params) {
            Ok(exchange) => Exchange { target_draw: draw, ..exchange }.foresee(&mut outlook).await,
            Err(refusal) => Err(refusal),
        };
        outlook
    })
    .await
}

impl Exchange {
    /// Takes the steps up to the first send and notes each in `outlook`.
    async fn foresee(mut self, outlook: &mut Outlook) -> Result<Destination, Refusal> {
        outlook.admission = Some(self.admission.clone());
        outlook.rank = self.rank();
        outlook.models = self.expected_models();
        let start = self.start();
        let model = start.model;
        outlook.start = Some(start);
        let selected = self.select_service(model);
        outlook.service.clone_from(&self.service);
        let before = self.dispatcher.scratch();
        let hop = match selected {
            Ok(()) => self.foresee_hop(model, outlook).await,
            Err(refusal) => Err(refusal),
        };
        // The moment decides the random draw, so that both come to the same selection.
        let placed_at = match &hop {
            Ok(Hop::Endpoint(run)) => run.started(),
            Ok(Hop::Instance(_)) | Err(_) => clock::now(),
        };
        outlook.survey = before.considered_endpoints(&self.job(model), placed_at);
        match hop? {
            Hop::Instance(_) => Ok(Destination::Instance),
            Hop::Endpoint(run) => Ok(Destination::Endpoint {
                id: run.endpoint.id.clone(),
                wait_ms: run.choice.wait_ms,
                first_byte_ms: run.expected_ms(),
                is_preferred: run.choice.preferred,
                is_copied: run.source.is_some(),
            }),
        }
    }

    /// Asks admission control and chooses the first hop.
    async fn foresee_hop(&mut self, model: Option<usize>, outlook: &mut Outlook) -> Result<Hop, Refusal> {
        if let Some(gate) = self.dispatcher.gate.clone() {
            let preview = gate.preview(&self.entry(model), || self.dispatcher.supply(&self.service));
            outlook.preview = Some(preview);
            if let Preview::Refuse(refused) = preview {
                return Err(refused.into());
            }
        }
        let started = clock::now();
        let hop = self.next_hop(model).await;
        outlook.waited = clock::now().saturating_sub(started);
        hop
    }
}

impl Default for Outlook {
    fn default() -> Self {
        Self {
            catalog: None,
            era: None,
            admission: None,
            rank: 0,
            service: String::new(),
            start: None,
            models: Vec::new(),
            preview: None,
            survey: Survey::default(),
            result: Err(Refusal::NotStarted),
            waited: Duration::ZERO,
        }
    }
}

/// Subscriber for log lines of decisions that are not made. It is registered once, since each
/// registration asks all subscribers about all lines again.
static QUIET: LazyLock<Dispatch> = LazyLock::new(|| Dispatch::new(Quiet));

/// Runs a future without its metrics and log lines, which would tell of decisions that were not made.
async fn quietly<T>(future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    std::future::poll_fn(move |context| poll_quietly(future.as_mut(), context)).await
}

fn poll_quietly<T>(future: Pin<&mut impl Future<Output = T>>, context: &mut Context<'_>) -> Poll<T> {
    let poll = || metrics::with_local_recorder(&NoopRecorder, || future.poll(context));
    tracing::dispatcher::with_default(&QUIET, poll)
}

/// Drops all log lines, and has each asked about again at its next use.
///
/// `Dispatch::none` answers that it never wants a line. That answer is kept for the process if the line
/// is first reached under it, so that real requests would not log it either.
struct Quiet;

impl Subscriber for Quiet {
    fn register_callsite(&self, _: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }

    fn enabled(&self, _: &Metadata<'_>) -> bool {
        false
    }

    /// The most verbose level of all subscribers holds for the process, so this one has none.
    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::OFF)
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, _: &Event<'_>) {}

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}
