//! Problem documents: the response when a request has no complete answer.
//!
//! The format is RFC 9457 with the members `ran`, `remedy`, `retry_after_ms` and
//! `addresses`. `ran: no` is a guarantee that the request did not run:
//! [`Problem::new`] must be given `ran` only from the request's state machine.

use std::net::SocketAddr;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use timeline::Ran;
use world::{Millis, instance, request};

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";
/// Prefix of every problem's `type`.
const TYPE_PREFIX: &str = "urn:arbutuslug:problem:";

/// The type of a problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A header, the query or the body cannot be read.
    Malformed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// No call exists at this path.
    NoSuchCall,
    /// The call requires another HTTP method.
    WrongMethod,
    /// The API key is missing or belongs to no contract.
    WrongKey,
    /// The model does not exist.
    UnknownModel,
    /// The contract does not allow the model.
    ModelNotAllowed,
    /// The plain service does not exist.
    UnknownService,
    /// The contract does not allow the service.
    ServiceNotAllowed,
    /// No request has this key, or it belongs to another customer.
    UnknownRequest,
    /// The session handle is not signed by this deployment or belongs to another
    /// customer.
    BadSession,
    /// The idempotency key is older than the period for which keys are stored.
    KeyExpired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The remaining budget is too small.
    BudgetSpent,
    /// Every allowed version is withdrawn or not yet released to this request.
    NoVersion,
    /// No endpoint accepts the request now.
    NoEndpoint,
    /// Too many requests are waiting.
    Busy,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// This instance is leaving and accepts no new work.
    Leaving,
    /// This instance's configuration is too old to start new work.
    StaleConfiguration,
    /// The platform is unreachable and the request needs it.
    PlatformDown,
    /// The endpoint failed.
    EndpointFailed,
    /// The answer's stream broke and could not be resumed.
    BrokenStream,
    /// The bill could not be stored durably, so the end of the answer is not sent.
    BillNotHeld,
    /// The request with this key ran before, and its answer is no longer stored.
    AnsweredBefore,
    /// The request with this key is still running.
    StillRunning,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// An internal error.
    Internal,
}

impl Kind {
    /// Returns the kind as it appears in `type`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body-too-large",
            Self::HeadersTooLarge => "headers-too-large",
            Self::SlowBody => "slow-body",
            Self::NoSuchCall => "no-such-call",
            Self::WrongMethod => "wrong-method",
            Self::WrongKey => "wrong-key",
            Self::UnknownModel => "unknown-model",
            Self::ModelNotAllowed => "model-not-allowed",
            Self::UnknownService => "unknown-service",
            Self::ServiceNotAllowed => "service-not-allowed",
            Self::UnknownRequest => "unknown-request",
            Self::BadSession => "bad-session",
            Self::KeyExpired => "key-expired",
            Self::KeyReused => "key-reused",
            Self::BudgetSpent => "budget-spent",
            Self::NoVersion => "no-version",
            Self::NoEndpoint => "no-endpoint",
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::StaleConfiguration => "stale-configuration",
            Self::PlatformDown => "platform-down",
            Self::EndpointFailed => "endpoint-failed",
            Self::BrokenStream => "broken-stream",
            Self::BillNotHeld => "bill-not-held",
            Self::AnsweredBefore => "answered-before",
            Self::StillRunning => "still-running",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::Internal => "internal",
        }
    }

    /// Returns the HTTP status of the kind.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BadSession => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoSuchCall | Self::UnknownModel | Self::UnknownService | Self::UnknownRequest => {
                StatusCode::NOT_FOUND
            }
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::WrongKey => StatusCode::UNAUTHORIZED,
            Self::ModelNotAllowed | Self::ServiceNotAllowed => StatusCode::FORBIDDEN,
            Self::KeyExpired | Self::AnsweredBefore | Self::StillRunning => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NoVersion
            | Self::NoEndpoint
            | Self::Busy
            | Self::Leaving
            | Self::StaleConfiguration
            | Self::PlatformDown
            | Self::BillNotHeld => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::EndpointFailed | Self::BrokenStream | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns a short title.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::Malformed => "The request cannot be read",
            Self::BodyTooLarge => "The body is too large",
            Self::HeadersTooLarge => "The headers are too large",
            Self::SlowBody => "The body did not arrive in time",
            Self::NoSuchCall => "No such call",
            Self::WrongMethod => "The call wants another method",
            Self::WrongKey => "No contract has this key",
            Self::UnknownModel => "No such model",
            Self::ModelNotAllowed => "The contract does not allow this model",
            Self::UnknownService => "No such service",
            Self::ServiceNotAllowed => "The contract does not allow this service",
            Self::UnknownRequest => "No such request",
            Self::BadSession => "The session handle is not valid",
            Self::KeyExpired => "The idempotency key is too old",
            Self::KeyReused => "The idempotency key belongs to another request",
            Self::BudgetSpent => "The budget has too little left",
            Self::NoVersion => "No version may run",
            Self::NoEndpoint => "No endpoint takes the work now",
            Self::Busy => "Too much work waits",
            Self::Deadline => "The deadline cannot be met",
            Self::Leaving => "This instance is leaving",
            Self::StaleConfiguration => "This instance's configuration is too old",
            Self::PlatformDown => "The platform cannot be reached",
            Self::EndpointFailed => "The endpoint failed",
            Self::BrokenStream => "The answer broke off",
            Self::BillNotHeld => "The bill could not be made safe",
            Self::AnsweredBefore => "The request was answered before",
            Self::StillRunning => "The request is running",
            Self::OutcomeUnknown => "The request may have run",
            Self::Internal => "A fault of ours",
        }
    }

    /// Returns what the caller can do about the problem.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "correct the part that `detail` names and send it again",
            Self::BodyTooLarge => "shorten the body to the limit that `detail` names",
            Self::HeadersTooLarge => "shorten the headers to the limit that `detail` names",
            Self::SlowBody => "send the whole body without a pause",
            Self::NoSuchCall => "check the path; calls start with /v1/",
            Self::WrongMethod => "use the method that `detail` names",
            Self::WrongKey => "send `Authorization: Bearer KEY` with a key that the contract lists",
            Self::UnknownModel => "name a model that your contract lists",
            Self::ModelNotAllowed => "name a model that your contract lists, or have this one added to it",
            Self::UnknownService => "name a service that your contract lists",
            Self::ServiceNotAllowed => "name a service that your contract lists, or have this one added to it",
            Self::UnknownRequest => "check the key; requests are kept for a day and shown to their own customer only",
            Self::BadSession => "leave the session header out to start a new session",
            Self::KeyExpired => "ask the receiving system whether it ran, then send it with a new key",
            Self::KeyReused => "use a new key for a new request",
            Self::BudgetSpent => "ask for fewer tokens, wait for the next period, or have the budget raised",
            Self::NoVersion => "have a serving version added to the contract",
            Self::NoEndpoint | Self::Busy => "come back after `retry_after_ms`",
            Self::Deadline => "allow more time or ask for fewer tokens",
            Self::Leaving => "use one of `addresses`, or ask any instance for /v1/addresses",
            Self::StaleConfiguration => "use another instance, or come back after `retry_after_ms`",
            Self::PlatformDown => "come back after `retry_after_ms`; idempotent requests may go on meanwhile",
            Self::EndpointFailed => "send it again, with the same idempotency key",
            Self::BrokenStream => "drop the part received and send it again, with the same idempotency key",
            Self::BillNotHeld => "send it again with the same idempotency key; it is billed once",
            Self::AnsweredBefore => "do not send it again; GET /v1/requests/{key} tells its outcome",
            Self::StillRunning => "ask GET /v1/requests/{key} for its outcome; it will not run twice",
            Self::OutcomeUnknown => "ask GET /v1/requests/{key} and the receiving system; a repeat never runs again",
            Self::Internal => "tell the operator the request's key",
        }
    }
}

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The type of the problem.
    pub kind: Kind,
    /// Whether the request ran. `No` is a guarantee.
    pub ran: Ran,
    /// Description of this occurrence, for people.
    pub detail: String,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<Millis>,
    /// Other instances that the caller can use.
    pub addresses: Vec<Address>,
    /// Key of the request, if it is known.
    pub request: Option<request::Key>,
}

/// Address on which an instance serves callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: world::domain::Domain,
}

impl From<&instance::Instance> for Address {
    fn from(instance: &instance::Instance) -> Self {
        Self { address: instance.callers, domain: instance.domain.clone() }
    }
}

impl Problem {
    /// Creates a problem for a request that ran as `ran` says.
    #[must_use]
    pub fn new(kind: Kind, ran: Ran, detail: impl Into<String>) -> Self {
        Self { kind, ran, detail: detail.into(), retry_after_ms: None, addresses: Vec::new(), request: None }
    }

    /// Creates a problem that was found before anything could have run.
    #[must_use]
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self::new(kind, Ran::No, detail)
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets other instances that the caller can use.
    #[must_use]
    pub fn with_addresses(mut self, addresses: Vec<Address>) -> Self {
        self.addresses = addresses;
        self
    }

    /// Sets the key of the request.
    #[must_use]
    pub fn with_request(mut self, key: &request::Key) -> Self {
        self.request = Some(key.clone());
        self
    }

    /// Returns the document as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&Document::from(self)).unwrap_or_default()
    }
}

/// The serialized form of a problem.
#[derive(Debug, Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    ran: Ran,
    remedy: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
    #[serde(skip_serializing_if = "<[Address]>::is_empty")]
    addresses: &'a [Address],
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a request::Key>,
}

impl<'a> From<&'a Problem> for Document<'a> {
    fn from(problem: &'a Problem) -> Self {
        Self {
            r#type: format!("{TYPE_PREFIX}{}", problem.kind.as_str()),
            title: problem.kind.title(),
            status: problem.kind.status().as_u16(),
            detail: &problem.detail,
            ran: problem.ran,
            remedy: problem.kind.remedy(),
            retry_after_ms: problem.retry_after_ms,
            addresses: &problem.addresses,
            request: problem.request.as_ref(),
        }
    }
}
