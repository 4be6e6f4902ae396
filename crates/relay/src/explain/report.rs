//! The explanation as it is sent to operators. It holds names and numbers of the instance's state,
//! and never a header or key of the request.

use std::time::Duration;

use route::admission::Position;
use serde::{Deserialize, Serialize};

use crate::{
    admission::Preview,
    answer::Refusal,
    clock,
    dispatcher::fleet::{Considered, Exclusion, Standing, Survey},
    exchange::explain::{Destination, Outlook},
    exchange::plan::{Basis, Expected, Start},
    settings::{Placement, Settings},
};

/// What would become of a request, and why. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the instance that decides.
    pub instance: String,
    /// Version of its catalog; `None` before it has one.
    pub catalog: Option<u64>,
    /// Era of the store; `None` before its first answer.
    pub era: Option<u64>,
    /// Name of the route; `None` if the request is refused before.
    pub route: Option<String>,
    /// Name of the team; `None` if the request needs no key or is refused before.
    pub team: Option<String>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Name of the service.
    pub service: Option<String>,
    /// Name of the model that is asked first, if the instance chooses it.
    pub model: Option<String>,
    /// Why that model.
    pub model_reason: Option<String>,
    /// What is expected of the models of the route.
    pub models: Vec<Estimate>,
    /// What would become of the request.
    pub decision: Decision,
    /// Whether a random draw affects the result, of which this is one.
    pub is_drawn: bool,
    /// Endpoints of the service.
    pub endpoints: Vec<Endpoint>,
}

/// What would become of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It would be sent at once, or after a wait for an endpoint.
    Sent(Sent),
    /// It would wait for admission, and be sent as stated if that were now.
    Queued(Queued),
    /// It would be refused.
    Refused(Refused),
}

/// Where a request would be sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sent {
    /// Name of the endpoint; `None` if another instance would choose it.
    pub endpoint: Option<String>,
    /// Why there.
    pub reason: String,
    /// Time that the request waits here until an endpoint takes it.
    pub held_ms: f64,
    /// Expected wait at the endpoint.
    pub wait_ms: Option<f64>,
    /// Expected time to the first byte.
    pub first_byte_ms: Option<f64>,
    /// Priority for engines, if it is not the rank.
    pub priority: Option<u8>,
}

/// A request that would wait for admission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queued {
    /// Place in the order in which the requests that wait now would be sent, from 1.
    pub position: Option<usize>,
    /// Number of turns after which its place is, if that is too far back to be counted.
    pub position_after: Option<usize>,
    /// Number of requests that would wait, this one included.
    pub waiting: usize,
    /// Expected time in the queue.
    pub wait_ms: f64,
    /// Where it would be sent now; `None` if it would be refused.
    pub then: Option<Sent>,
    /// Why it would be refused now if its turn came; `None` if it would be sent.
    pub then_refused: Option<Refused>,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Name of the reason, as in the line `request refused`.
    pub reason: String,
    /// What the caller is told.
    pub message: String,
    /// HTTP status.
    pub status: u16,
    /// `Retry-After` before the jitter; `None` if there is none.
    pub retry_after_ms: Option<f64>,
    /// Longest jitter.
    pub spread_ms: Option<f64>,
    /// Expected time in the queue, if that is why.
    pub wait_ms: Option<f64>,
    /// Time in which the request had to end, if that is why.
    pub left_ms: Option<f64>,
    /// Age of the oldest demands of another instance that were used, if that is why.
    pub oldest_news_ms: Option<f64>,
}

/// What is expected of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Name.
    pub name: String,
    /// Price relative to that of the largest model.
    pub price: f64,
    /// Expected time to the first event now; `None` if no endpoint takes the request.
    pub now_ms: Option<f64>,
    /// Expected time to the first event at an idle endpoint.
    pub idle_ms: f64,
}

/// An endpoint, what is known of it and what became of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Version.
    pub version: String,
    /// Declared number of runs at a time.
    pub slots: u32,
    /// Number of runs up to which more do not make all of them slower.
    pub room: u32,
    /// Learned time of a run relative to other endpoints; `None` if they are alike.
    pub pace: Option<f64>,
    /// Number of this instance's runs there.
    pub own_runs: u32,
    /// Number of runs that other instances have reported.
    pub reported_runs: f64,
    /// Mean age of these reports; `None` if there are none.
    pub report_age_ms: Option<f64>,
    /// Outstanding prompt processing.
    pub backlog_ms: f64,
    /// Whether it is assumed to hold the shared part of the prompt.
    pub holds_part: bool,
    /// Whether it is assumed to hold the whole prompt.
    pub holds_prompt: bool,
    /// Time until it is warm; `None` if it is.
    pub warm_in_ms: Option<f64>,
    /// Wait by which endpoints are compared; `None` if it was no candidate.
    pub cost_ms: Option<f64>,
    /// Whether it is the selected one.
    pub is_selected: bool,
    /// Why it is excluded, or how it took part.
    pub standing: String,
}

impl Explanation {
    pub(super) fn new(settings: &Settings, outlook: Outlook) -> Self {
        let Outlook { catalog, era, admission, rank, service, start, models, preview, survey, result, waited } =
            outlook;
        let Survey { endpoints, is_sampled } = survey;
        let is_balanced = settings.policies.placement == Placement::Balanced;
        let sent = result.as_ref().ok().map(|destination| Sent::new(destination, is_balanced, waited));
        let candidate_count = endpoints.iter().filter(|c| matches!(c.standing, Standing::Candidate { .. })).count();
        let targets = admission
            .as_ref()
            .map_or(0, |admission| admission.route.targets.iter().filter(|target| target.weight > 0).count());
        let is_drawn = targets > 1 || (result.is_ok() && (is_sampled || (!is_balanced && candidate_count > 1)));
        let decision = match (preview, result) {
            (Some(Preview::Wait { position, waiting, wait, priority }), result) => {
                let (position, position_after) = match position {
                    Some(Position::Turn(turn)) => (Some(turn), None),
                    Some(Position::After(turns)) => (None, Some(turns)),
                    None => (None, None),
                };
                let wait_ms = clock::millis(wait);
                let then = sent.map(|sent| Sent { priority, ..sent });
                let then_refused = result.err().map(|refusal| Refused::from(&refusal));
                Decision::Queued(Queued { position, position_after, waiting, wait_ms, then, then_refused })
            }
            (_, Err(refusal)) => Decision::Refused(Refused::from(&refusal)),
            (preview, Ok(_)) => {
                let priority = match preview {
                    Some(Preview::Pass { priority }) => priority,
                    _ => None,
                };
                let sent = sent.expect("the result is a destination");
                Decision::Sent(Sent { priority, ..sent })
            }
        };
        let selected = match &decision {
            Decision::Sent(sent) => sent.endpoint.clone(),
            Decision::Queued(queued) => queued.then.as_ref().and_then(|sent| sent.endpoint.clone()),
            Decision::Refused(_) => None,
        };
        let ladder = admission.as_ref().map(|admission| &admission.route.models);
        let selected_model = start.and_then(|start| ladder?.get(start.model?));
        Self {
            instance: settings.instance.clone(),
            catalog,
            era,
            route: admission.as_ref().map(|admission| admission.route.name.clone()),
            team: admission.as_ref().and_then(|a| a.customer.as_ref()).map(|customer| customer.name.clone()),
            rank: admission.as_ref().map(|_| rank),
            service: Some(service).filter(|service| !service.is_empty()),
            model: selected_model.map(|model| model.name.clone()),
            model_reason: start.map(model_reason),
            models: models.into_iter().map(Estimate::from).collect(),
            decision,
            is_drawn,
            endpoints: endpoints.iter().map(|considered| Endpoint::new(considered, selected.as_deref())).collect(),
        }
    }
}

impl Sent {
    fn new(destination: &Destination, is_balanced: bool, waited: Duration) -> Self {
        let held_ms = clock::millis(waited);
        match destination {
            Destination::Instance => Self {
                endpoint: None,
                reason: "this instance may not reach the endpoints or send to them; another one does".into(),
                held_ms,
                wait_ms: None,
                first_byte_ms: None,
                priority: None,
            },
            Destination::Endpoint { id, wait_ms, first_byte_ms, is_preferred, is_copied } => {
                let reason = match (is_preferred, is_copied, is_balanced) {
                    (true, ..) => "it holds the prompt or its shared part, or is selected by the part's hash",
                    (false, true, _) => "the holder of the shared part is busy; this one copies the part from it",
                    (false, false, true) => "its turn in the rotation",
                    (false, false, false) => "the shortest wait of those drawn",
                };
                Self {
                    endpoint: Some(id.clone()),
                    reason: reason.into(),
                    held_ms,
                    wait_ms: Some(*wait_ms),
                    first_byte_ms: Some(*first_byte_ms),
                    priority: None,
                }
            }
        }
    }
}

impl From<&Refusal> for Refused {
    fn from(refusal: &Refusal) -> Self {
        let debug = format!("{refusal:?}");
        let after = refusal.retry_after();
        let (wait, left, oldest_news) = match refusal {
            Refusal::Overloaded { wait, left, oldest_news, .. } => (Some(*wait), Some(*left), Some(*oldest_news)),
            _ => (None, None, None),
        };
        Self {
            reason: debug.split(' ').next().unwrap_or_default().to_owned(),
            message: refusal.to_string(),
            status: refusal.status().as_u16(),
            retry_after_ms: after.map(clock::millis),
            spread_ms: after.map(|after| clock::millis(refusal.retry_spread(after))),
            wait_ms: wait.map(clock::millis),
            left_ms: left.map(clock::millis),
            oldest_news_ms: oldest_news.map(clock::millis),
        }
    }
}

impl From<Expected> for Estimate {
    fn from(Expected { name, price, now_ms, idle_ms }: Expected) -> Self {
        Self { name, price, now_ms, idle_ms }
    }
}

impl Endpoint {
    fn new(considered: &Considered, selected: Option<&str>) -> Self {
        let endpoint = &considered.endpoint;
        let cost_ms = match considered.standing {
            Standing::Candidate { cost_ms, .. } => Some(cost_ms),
            _ => None,
        };
        Self {
            id: endpoint.id.clone(),
            domain: endpoint.domain.clone(),
            version: endpoint.version.clone(),
            slots: endpoint.slots,
            room: considered.room,
            pace: considered.pace,
            own_runs: considered.own_runs,
            reported_runs: considered.reported_runs,
            report_age_ms: considered.report_age.map(clock::millis),
            backlog_ms: considered.backlog_ms,
            holds_part: considered.holds_part,
            holds_prompt: considered.holds_prompt,
            warm_in_ms: considered.warm_in.map(clock::millis),
            cost_ms,
            is_selected: selected == Some(endpoint.id.as_str()),
            standing: standing(considered.standing),
        }
    }
}

fn standing(standing: Standing) -> String {
    let text = match standing {
        Standing::Excluded(Exclusion::Leaving) => "excluded: it is leaving",
        Standing::Excluded(Exclusion::Evacuated) => "excluded: its failure domain is evacuated",
        Standing::Excluded(Exclusion::Paused) => "excluded: it has asked for a pause",
        Standing::Excluded(Exclusion::RateLimited) => "excluded: the share of its rate limit is used up",
        Standing::Excluded(Exclusion::FewRejections) => "excluded: it survives few rejections and might reject this",
        Standing::Excluded(Exclusion::Warming) => "excluded: it warms up, and the share of its rate is used up",
        Standing::InBackoff(left) => {
            return format!("excluded: connections failed, in backoff for {:.0} ms", clock::millis(left));
        }
        Standing::OtherVersion => "excluded: the request is assigned to another version",
        Standing::NoMemory => "excluded: its memory has no room, and another one's has",
        Standing::NotSampled => "not drawn from the many endpoints",
        Standing::Candidate { is_compared: true, .. } => "compared",
        Standing::Candidate { is_compared: false, .. } => "not drawn for the comparison",
    };
    text.into()
}

fn model_reason(start: Start) -> String {
    let reason = match start.basis {
        Basis::NoLadder => "the route has no models to choose from".into(),
        Basis::Caller => "the caller names the model".into(),
        Basis::Resumption => "it has processed the prompt of the stream that is resumed".into(),
        Basis::Suspect => "the request may have crashed an endpoint, so no smaller model is tried before".into(),
        Basis::Times { may_escalate } => format!("expected times and the target time; {}", extra_run(may_escalate)),
        Basis::Values { right_answer, pressure, may_escalate } => format!(
            "a right answer is worth {right_answer} runs of the largest model; pressure {pressure:.2}; {}",
            extra_run(may_escalate)
        ),
    };
    if start.is_limited { reason + "; the expected length excludes models that would end too late" } else { reason }
}

fn extra_run(may_escalate: bool) -> &'static str {
    if may_escalate { "a second run is allowed" } else { "no second run is allowed" }
}
