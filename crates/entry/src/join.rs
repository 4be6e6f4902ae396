//! Joins a request that runs on another instance.
//!
//! The other instance streams its answer buffer over a peer link, from the beginning. This
//! instance writes the items to a local answer buffer, which its callers read. The link
//! applies back-pressure, and an answer ends with an explicit last item: a stream
//! that stops without one was cut.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use endpoint::frame::{Reason, Usage};
use futures::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use peer::Topic;
use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc, time::timeout};
use world::{instance, request::Id};

use crate::{
    answers::Answers,
    buffer::{Buffer, End, Head, Item, Reply},
    parsing::{decode_base64, encode_base64},
    problem::Problem,
};

/// A request for another instance's answer or status.
#[derive(Debug, Serialize, Deserialize)]
struct AnswerRequest {
    id: Id,
    fingerprint: u64,
    /// Asks only whether the request runs, not for its answer.
    #[serde(default)]
    status: bool,
}

/// An item of an answer as it is sent between instances.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireItem {
    /// The request does not run on the instance.
    Absent,
    /// The request runs on the instance. Sent only in response to a status query.
    Running,
    Head(Head),
    Text(String),
    Whole {
        reason: Reason,
        usage: Usage,
    },
    Reply {
        status: u16,
        headers: Vec<(String, String)>,
        body: String,
    },
    Failed(Problem),
}

impl From<Item> for WireItem {
    fn from(item: Item) -> Self {
        match item {
            Item::Head(head) => Self::Head(head),
            Item::Text(text) => Self::Text(text),
            Item::End(End::Whole { reason, usage }) => Self::Whole { reason, usage },
            Item::End(End::Failed(problem)) => Self::Failed((*problem).clone()),
            Item::End(End::Reply(reply)) => Self::Reply {
                status: reply.status.as_u16(),
                headers: header_pairs(&reply.headers),
                body: encode_base64(&reply.body),
            },
        }
    }
}

/// Copies an answer from the instance where it runs. Returns false if the answer
/// did not reach its end there, so that the request has to run on this instance.
pub(crate) async fn copy_answer(
    peer: &peer::Handle,
    at: &instance::Id,
    id: &Id,
    fingerprint: u64,
    buffer: &Buffer,
) -> bool {
    let request = serde_json::to_vec(&AnswerRequest { id: id.clone(), fingerprint, status: false }).unwrap_or_default();
    let Ok(mut items) = peer.stream(at, Topic::Request, request.into()).await else {
        return false;
    };
    while let Some(Ok(bytes)) = items.next().await {
        match serde_json::from_slice::<WireItem>(&bytes) {
            Ok(WireItem::Absent | WireItem::Running) | Err(_) => return false,
            Ok(WireItem::Head(head)) => buffer.write_head(head),
            Ok(WireItem::Text(text)) => buffer.write_text(&text).await,
            Ok(last) => return to_end(last).is_some_and(|end| write_end(buffer, end)),
        }
    }
    false
}

/// Returns whether an instance confirms that a request does not run there, or no
/// longer does.
pub(crate) async fn has_ended(peer: &peer::Handle, at: &instance::Id, id: &Id, within: Duration) -> bool {
    let request = AnswerRequest { id: id.clone(), fingerprint: 0, status: true };
    let request = serde_json::to_vec(&request).unwrap_or_default();
    let query = async {
        let mut items = peer.stream(at, Topic::Request, request.into()).await.ok()?;
        let bytes = items.next().await?.ok()?;
        serde_json::from_slice::<WireItem>(&bytes).ok()
    };
    matches!(timeout(within, query).await, Ok(Some(WireItem::Absent)))
}

fn write_end(buffer: &Buffer, end: End) -> bool {
    buffer.write_end(end);
    true
}

fn to_end(item: WireItem) -> Option<End> {
    match item {
        WireItem::Absent | WireItem::Running | WireItem::Head(_) | WireItem::Text(_) => None,
        WireItem::Whole { reason, usage } => Some(End::Whole { reason, usage }),
        WireItem::Failed(problem) => Some(End::Failed(Arc::new(problem))),
        WireItem::Reply { status, headers, body } => {
            let status = StatusCode::from_u16(status).ok()?;
            let body = Bytes::from(decode_base64(&body)?);
            Some(End::Reply(Arc::new(Reply { status, headers: header_map(headers), body })))
        }
    }
}

/// Streams an answer held by this instance to the instance that asked for it.
pub(crate) async fn serve(answers: &Answers, request: &[u8], sink: &mpsc::Sender<Bytes>) {
    let request = serde_json::from_slice::<AnswerRequest>(request).ok();
    if let Some(request) = request.as_ref().filter(|request| request.status) {
        let status = if answers.is_running(&request.id) { WireItem::Running } else { WireItem::Absent };
        drop(sink.send(encode_item(&status)).await);
        return;
    }
    let reader = request.and_then(|request| answers.reader(&request.id, request.fingerprint));
    let Some(mut reader) = reader else {
        drop(sink.send(encode_item(&WireItem::Absent)).await);
        return;
    };
    while let Some(item) = reader.next().await {
        if sink.send(encode_item(&WireItem::from(item))).await.is_err() {
            return;
        }
    }
}

fn encode_item(item: &WireItem) -> Bytes {
    serde_json::to_vec(item).unwrap_or_default().into()
}

fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    headers.iter().filter_map(|(name, value)| Some((name.to_string(), text(value)?))).collect()
}

fn header_map(header_pairs: Vec<(String, String)>) -> HeaderMap {
    let parse =
        |(name, value): (String, String)| Some((HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?));
    header_pairs.into_iter().filter_map(parse).collect()
}
