//! Writes an answer as a stream of events, a single document or a problem.

use bytes::Bytes;
use endpoint::frame::{Reason, Usage};
use futures::Stream;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use salvo::{Response, http::ResBody};
use serde::Serialize;
use world::model::Version;

use crate::{
    buffer::{End, Head, Item, Reader, Reply},
    clock, parsing,
    problem::{self, Problem},
};

const REQUEST: HeaderName = HeaderName::from_static("arbutuslug-request");
const VERSION: HeaderName = HeaderName::from_static("arbutuslug-version");
const SESSION_MOVED: HeaderName = HeaderName::from_static("arbutuslug-session-moved");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Writes a JSON document.
pub(super) fn write_json<T: Serialize>(response: &mut Response, status: StatusCode, value: &T) {
    response.status_code(status);
    set_header(response, header::CONTENT_TYPE, "application/json");
    response.replace_body(ResBody::Once(serde_json::to_vec(value).unwrap_or_default().into()));
}

/// Writes a problem document.
pub(super) fn write_problem(response: &mut Response, problem: &Problem) {
    response.status_code(problem.kind.status());
    set_header(response, header::CONTENT_TYPE, problem::MEDIA_TYPE);
    if let Some(key) = &problem.request {
        set_header(response, REQUEST, key.as_str());
    }
    if let Some(after) = problem.retry_after_ms {
        set_header(response, RETRY_AFTER_MS, &after.to_string());
        set_header(response, header::RETRY_AFTER, &after.div_ceil(1_000).to_string());
    }
    response.replace_body(ResBody::Once(problem.to_json().into()));
}

/// Writes the answer that a reader yields, as a stream of events or as one
/// document.
pub(super) async fn write(response: &mut Response, mut reader: Reader, stream: bool) -> Result<(), Problem> {
    let head = match reader.next().await {
        Some(Item::Head(head)) => head,
        Some(Item::End(End::Failed(failed))) => return Err((*failed).clone()),
        other => return Err(internal_problem(&format!("an answer began with {other:?}"))),
    };
    if stream {
        set_head(response, &head);
        set_header(response, header::CONTENT_TYPE, "text/event-stream");
        set_header(response, header::CACHE_CONTROL, "no-store");
        response.stream(events(head, reader));
        return Ok(());
    }
    write_document(response, &head, reader).await
}

async fn write_document(response: &mut Response, head: &Head, mut reader: Reader) -> Result<(), Problem> {
    let mut text = String::new();
    loop {
        match reader.next().await {
            Some(Item::Head(_)) => {}
            Some(Item::Text(more)) => text.push_str(&more),
            Some(Item::End(End::Failed(failed))) => return Err((*failed).clone()),
            Some(Item::End(End::Whole { reason, usage })) => {
                set_head(response, head);
                write_json(response, StatusCode::OK, &Completion::new(head, &text, &reason, usage));
                return Ok(());
            }
            Some(Item::End(End::Reply(reply))) => {
                set_head(response, head);
                write_reply(response, &reply);
                return Ok(());
            }
            None => return Err(internal_problem("an answer stopped without an end")),
        }
    }
}

fn write_reply(response: &mut Response, reply: &Reply) {
    response.status_code(reply.status);
    for (name, value) in &reply.headers {
        response.headers_mut().insert(name, value.clone());
    }
    response.replace_body(ResBody::Once(reply.body.clone()));
}

/// Returns the events of a streamed answer.
///
/// After the first text the HTTP status can no longer change. A failure is then
/// sent as an `error` event with the problem, and `[DONE]` is omitted, so that a
/// partial answer is never taken for a complete one.
fn events(head: Head, mut reader: Reader) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    async_stream::stream! {
        let chunk_header = ChunkHeader::new(&head);
        while let Some(item) = reader.next().await {
            match item {
                Item::Head(_) => {}
                Item::Text(text) => yield Ok(data_event(&chunk_header.chunk(Some(&text), None, None))),
                Item::End(End::Whole { reason, usage }) => {
                    yield Ok(data_event(&chunk_header.chunk(None, Some(&reason), Some(usage))));
                    yield Ok(Bytes::from_static(b"data: [DONE]\n\n"));
                }
                Item::End(End::Failed(failed)) => yield Ok(error_event(&failed)),
                Item::End(End::Reply(_)) => {}
            }
        }
    }
}

fn data_event<T: Serialize>(value: &T) -> Bytes {
    let mut event = b"data: ".to_vec();
    event.extend(serde_json::to_vec(value).unwrap_or_default());
    event.extend(b"\n\n");
    event.into()
}

fn error_event(problem: &Problem) -> Bytes {
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend(problem.to_json());
    event.extend(b"\n\n");
    event.into()
}

fn set_head(response: &mut Response, head: &Head) {
    set_header(response, REQUEST, head.request.as_str());
    if let Some(version) = &head.version {
        set_header(response, VERSION, &version.to_string());
    }
    if let Some(session) = &head.session {
        set_header(response, parsing::SESSION_HEADER, session);
    }
    if !head.moved.is_empty() {
        let moved_from: Vec<String> = head.moved.iter().map(ToString::to_string).collect();
        set_header(response, SESSION_MOVED, &moved_from.join(", "));
    }
}

fn set_header(response: &mut Response, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let headers: &mut HeaderMap = response.headers_mut();
        headers.insert(name, value);
    }
}

fn internal_problem(detail: &str) -> Problem {
    Problem::new(problem::Kind::Internal, timeline::Ran::Unknown, detail)
}

/// Fields that are equal in all chunks of an answer.
struct ChunkHeader {
    id: String,
    created: u64,
    model: String,
}

impl ChunkHeader {
    fn new(head: &Head) -> Self {
        Self {
            id: head.request.to_string(),
            created: clock::now().0 / 1_000,
            model: head.version.as_ref().map(Version::to_string).unwrap_or_default(),
        }
    }

    fn chunk<'a>(&'a self, content: Option<&'a str>, reason: Option<&'a Reason>, usage: Option<Usage>) -> Chunk<'a> {
        let delta = Delta { content };
        Chunk {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices: [ChunkChoice { index: 0, delta, finish_reason: reason.map(Reason::as_str) }],
            usage: usage.map(Tokens::from),
        }
    }
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Tokens>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: String,
    choices: [Choice<'a>; 1],
    usage: Tokens,
}

impl<'a> Completion<'a> {
    fn new(head: &'a Head, text: &'a str, reason: &'a Reason, usage: Usage) -> Self {
        let message = Message { role: "assistant", content: text };
        Self {
            id: head.request.as_str(),
            object: "chat.completion",
            created: clock::now().0 / 1_000,
            model: head.version.as_ref().map(Version::to_string).unwrap_or_default(),
            choices: [Choice { index: 0, message, finish_reason: reason.as_str() }],
            usage: usage.into(),
        }
    }
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// Token counts in the format of the chat API.
#[derive(Serialize)]
#[expect(clippy::struct_field_names, reason = "field names of the chat API")]
struct Tokens {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl From<Usage> for Tokens {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}
