//! A well-behaved caller: asks for addresses, keeps them as long as it may,
//! repeats under the same key, comes back when it is told to, and takes no
//! short answer for a whole one.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use serde::Deserialize;
use serde_json::json;
use standin::answer::{self, Message};
use tokio::time::Instant;
use world::{Millis, Timestamp};

use crate::{
    client::{Client, Problem, Ran, Reply},
    plan::{Ask, Kind},
};

/// Longest time a caller goes on with one request.
const PATIENCE: Duration = Duration::from_mins(1);
/// Pause after a broken connection.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest pause it lets itself be told.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// One caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client,
    /// Instances it knows from the start.
    known: Vec<SocketAddr>,
    key: String,
    addresses: Vec<SocketAddr>,
    kept_until: Instant,
    /// Place in the list of addresses to use next.
    place: usize,
}

/// What became of a request in its caller's eyes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// It has the whole answer.
    Whole(Whole),
    /// Refused for good, with nothing run.
    Refused(Problem),
    /// Told that it ran, or may have run; not to be repeated.
    Told(Ran),
    /// None of these: a broken promise.
    Lost(String),
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Whole {
    /// `model@version`; empty for a plain service.
    pub(crate) version: String,
    /// The session's handle.
    pub(crate) session: Option<String>,
    /// The version that the session was moved off, if the answer told of a move.
    pub(crate) moved_off: Option<String>,
    pub(crate) text: String,
}

/// One request with all its tries.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) tag: String,
    pub(crate) key: String,
    pub(crate) end: End,
    /// When it was told that nothing had been run under its key.
    pub(crate) not_run: Vec<NotRun>,
    /// What it was told last of a run that was or may have been, in words.
    pub(crate) may_have_run: Option<String>,
    pub(crate) tries: u32,
    /// When it came to its end.
    pub(crate) ended: Timestamp,
    pub(crate) took: Duration,
}

/// A promise that nothing had been run under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NotRun {
    pub(crate) told: Timestamp,
    /// The refusal's words.
    pub(crate) detail: String,
}

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<Address>,
    keep_ms: Millis,
}

#[derive(Deserialize)]
struct Address {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Outcome {
    outcome: String,
}

/// What to do after one try.
enum Next {
    End(End),
    Again(Duration),
}

impl Caller {
    pub(crate) fn new(client: Client, known: Vec<SocketAddr>, key: String) -> Self {
        Self { client, known, key, addresses: Vec::new(), kept_until: Instant::now(), place: 0 }
    }

    /// The same caller, who goes to another instance first.
    pub(crate) fn elsewhere(&self) -> Self {
        Self { place: self.place + 1, ..self.clone() }
    }

    /// The same caller, who starts at this place of the address list.
    pub(crate) fn starting_at(&self, place: usize) -> Self {
        Self { place, ..self.clone() }
    }

    /// Sends a request until it has an end.
    pub(crate) async fn ask(&mut self, ask: &Ask, key: &str, session: Option<&str>) -> Sent {
        let start = Instant::now();
        let mut sent = Sent {
            tag: ask.tag.clone(),
            key: key.into(),
            end: End::Lost("no end in time".into()),
            not_run: Vec::new(),
            may_have_run: None,
            tries: 0,
            ended: Timestamp(0),
            took: Duration::ZERO,
        };
        while start.elapsed() < PATIENCE {
            sent.tries += 1;
            let address = self.address().await;
            let reply = self.send(address, ask, key, session).await;
            match self.judge(reply, ask, &mut sent).await {
                Next::End(end) => {
                    sent.end = end;
                    break;
                }
                Next::Again(pause) => {
                    self.place += 1;
                    tokio::time::sleep(pause).await;
                }
            }
        }
        sent.ended = now();
        sent.took = start.elapsed();
        sent
    }

    /// The address to use next, from a list that may still be kept.
    async fn address(&mut self) -> SocketAddr {
        if Instant::now() >= self.kept_until {
            self.refresh().await;
        }
        let list = if self.addresses.is_empty() { &self.known } else { &self.addresses };
        list[self.place % list.len()]
    }

    /// Asks the instances for addresses, one after the other.
    async fn refresh(&mut self) {
        let authorization = format!("Bearer {}", self.key);
        let headers = [("authorization", authorization.as_str())];
        for place in 0..self.known.len() {
            let address = self.known[(self.place + place) % self.known.len()];
            let reply = self.client.send(address, "GET", "/v1/addresses", &headers, String::new()).await;
            let Some(list) = reply.filter(|reply| reply.status == 200).and_then(|reply| parse::<Addresses>(&reply))
            else {
                continue;
            };
            self.addresses = list.addresses.into_iter().map(|entry| entry.address).collect();
            self.kept_until = Instant::now() + Duration::from_millis(list.keep_ms);
            return;
        }
    }

    async fn send(&self, address: SocketAddr, ask: &Ask, key: &str, session: Option<&str>) -> Option<Reply> {
        let authorization = format!("Bearer {}", self.key);
        let mut headers = vec![
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
            ("idempotency-key", key),
        ];
        headers.extend(session.map(|session| ("arbutuslug-session", session)));
        match &ask.kind {
            Kind::Chat { class, once, .. } => {
                headers.push(("arbutuslug-request-class", class));
                if *once {
                    headers.push(("arbutuslug-idempotent", "false"));
                }
                self.client.send(address, "POST", "/v1/chat/completions", &headers, body(ask)).await
            }
            Kind::Call { service, path } => {
                let path = format!("/v1/services/{service}{path}");
                self.client.send(address, "POST", &path, &headers, body(ask)).await
            }
        }
    }

    async fn judge(&mut self, reply: Option<Reply>, ask: &Ask, sent: &mut Sent) -> Next {
        let Some(reply) = reply else {
            // The instance may be gone: the kept addresses are worth nothing.
            self.kept_until = Instant::now();
            return Next::Again(PAUSE);
        };
        let Some(problem) = reply.problem() else {
            return whole(&reply, ask, &sent.key).map_or(Next::Again(PAUSE), Next::End);
        };
        let pause = problem.retry_after_ms.map(|ms| Duration::from_millis(ms).min(MAX_PAUSE));
        if problem.ran == Ran::No {
            sent.not_run.push(NotRun { told: now(), detail: problem.detail.clone() });
            sent.end = End::Refused(problem.clone());
            return pause.map_or(Next::End(End::Refused(problem)), Next::Again);
        }
        sent.end = End::Told(problem.ran);
        sent.may_have_run = Some(format!("{}: {}", problem.kind, problem.detail));
        if problem.is_answered_before() {
            return Next::End(End::Told(problem.ran));
        }
        if !ask.runs_once() {
            return Next::Again(pause.unwrap_or(PAUSE));
        }
        self.outcome(&sent.key, &problem, sent.tries).await
    }

    /// Asks what became of a request that must not run twice.
    async fn outcome(&mut self, key: &str, problem: &Problem, tries: u32) -> Next {
        let address = self.address().await;
        let authorization = format!("Bearer {}", self.key);
        let headers = [("authorization", authorization.as_str())];
        let path = format!("/v1/requests/{key}");
        let reply = self.client.send(address, "GET", &path, &headers, String::new()).await;
        let outcome = reply.and_then(|reply| parse::<Outcome>(&reply)).map(|outcome| outcome.outcome);
        match outcome.as_deref() {
            // A first repeat may still be given the kept answer.
            Some("answered") if tries < 2 => Next::Again(PAUSE),
            Some("answered") => Next::End(End::Told(Ran::Yes)),
            Some("unknown") => Next::End(End::Told(problem.ran)),
            _ => Next::Again(PAUSE * 5),
        }
    }
}

fn body(ask: &Ask) -> String {
    match &ask.kind {
        Kind::Chat { model, stream, max_tokens, .. } => {
            let mut body = json!({ "model": model, "messages": messages(ask), "stream": stream });
            if let Some(max) = max_tokens {
                body["max_tokens"] = json!(max);
            }
            body.to_string()
        }
        Kind::Call { .. } => json!({ "tag": ask.tag, "amount": 1 }).to_string(),
    }
}

fn messages(ask: &Ask) -> [Message; 2] {
    let system = "You keep the records of this team complete and counted once.";
    [Message { role: "system".into(), content: system.into() }, Message { role: "user".into(), content: ask.content() }]
}

/// The end that an answer without refusal makes; nothing for a cut stream.
fn whole(reply: &Reply, ask: &Ask, key: &str) -> Option<End> {
    match &ask.kind {
        Kind::Chat { stream, max_tokens, .. } => {
            if *stream && !reply.is_done() {
                return None;
            }
            let text = if *stream { streamed(reply) } else { plain(reply) };
            let version = reply.header("arbutuslug-version").unwrap_or_default();
            let expected = answer::text(version, &answer::prompt(&messages(ask)), *max_tokens);
            if text != expected {
                return Some(End::Lost(format!("`{version}` answers `{expected}`, the caller got `{text}`")));
            }
            Some(End::Whole(Whole {
                version: version.into(),
                session: reply.header("arbutuslug-session").map(Into::into),
                moved_off: reply.header("arbutuslug-session-moved").map(Into::into),
                text,
            }))
        }
        Kind::Call { .. } => {
            let answer = reply.json().unwrap_or_default();
            if answer["key"] != key {
                return Some(End::Lost(format!("the service's answer is another's: {}", reply.body)));
            }
            Some(End::Whole(Whole { version: String::new(), session: None, moved_off: None, text: reply.body.clone() }))
        }
    }
}

fn streamed(reply: &Reply) -> String {
    reply.events().filter_map(|event| Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned())).collect()
}

fn plain(reply: &Reply) -> String {
    let answer = reply.json().unwrap_or_default();
    answer["choices"][0]["message"]["content"].as_str().unwrap_or_default().into()
}

fn parse<'a, T: Deserialize<'a>>(reply: &'a Reply) -> Option<T> {
    serde_json::from_str(&reply.body).ok()
}

/// The wall clock, as the engines' records have it.
pub(crate) fn now() -> Timestamp {
    SystemTime::now().into()
}
