//! Plain HTTP towards instances, with what the answer's members mean.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use serde_json::Value;

/// Longest wait for one whole answer.
const TIMEOUT: Duration = Duration::from_secs(40);

/// An HTTP client that keeps its connections.
#[derive(Debug, Clone)]
pub(crate) struct Client(Pool<HttpConnector, Full<Bytes>>);

/// An answer read to its end.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

/// What a refusal says.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct Problem {
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) title: String,
    pub(crate) detail: String,
    pub(crate) ran: Ran,
    pub(crate) retry_after_ms: Option<u64>,
}

/// Whether a refused request ran, as the refusal says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ran {
    No,
    Yes,
    #[default]
    Unknown,
}

impl Client {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self(Pool::builder(TokioExecutor::new()).build(connector))
    }

    /// Sends a request; nothing when the connection broke before its end.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Reply> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).expect("the trial's own headers are well formed");
        let read = async {
            let (head, body) = self.0.request(request).await.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            let body = String::from_utf8(body.to_vec()).ok()?;
            Some(Reply { status: head.status.as_u16(), headers: head.headers, body })
        };
        tokio::time::timeout(TIMEOUT, read).await.ok().flatten()
    }
}

impl Problem {
    /// It was answered, and the answer is no longer held.
    pub(crate) fn is_answered_before(&self) -> bool {
        self.kind.ends_with("answered-before")
    }
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub(crate) fn json(&self) -> Option<Value> {
        serde_json::from_str(&self.body).ok()
    }

    /// The refusal of an answer that is none, or of a stream's last frame.
    pub(crate) fn problem(&self) -> Option<Problem> {
        if self.status >= 400 {
            return Some(serde_json::from_str(&self.body).unwrap_or_default());
        }
        let (_, error) = self.body.split_once("event: error\ndata: ")?;
        Some(serde_json::from_str(error.lines().next()?).unwrap_or_default())
    }

    /// Chunks of a stream.
    pub(crate) fn events(&self) -> impl Iterator<Item = Value> + '_ {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str(data).ok())
    }

    /// Whether a stream ended as whole streams do.
    pub(crate) fn is_done(&self) -> bool {
        self.body.lines().any(|line| line == "data: [DONE]")
    }
}
