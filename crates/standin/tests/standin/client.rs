//! One call on one connection, so that a broken one is seen as such.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Client(SocketAddr);

#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) text: String,
    /// The connection ended amid the body.
    pub(crate) broken: bool,
}

impl Client {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self(addr)
    }

    pub(crate) async fn get(&self, path: &str) -> Reply {
        self.call("GET", path, &[], None).await.expect("an answer")
    }

    /// Nothing when the connection broke before an answer.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Value>,
    ) -> Option<Reply> {
        let socket = TcpStream::connect(self.0).await.expect("the stand-in listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await.expect("a handshake");
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", "standin");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = body.map(|body| body.to_string()).unwrap_or_default();
        let request = request.body(Full::new(Bytes::from(body))).expect("a request");
        let (head, mut body) = sender.send_request(request).await.ok()?.into_parts();
        let mut bytes = Vec::new();
        let mut broken = false;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
                Err(_) => broken = true,
            }
        }
        let text = String::from_utf8(bytes).expect("text");
        Some(Reply { status: head.status.as_u16(), headers: head.headers, text, broken })
    }
}

impl Reply {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON")
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The chunks of a stream.
    pub(crate) fn events(&self) -> Vec<Value> {
        let data = self.text.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter(|data| *data != "[DONE]").map(|data| serde_json::from_str(data).expect("a chunk")).collect()
    }

    /// The text of a stream's chunks.
    pub(crate) fn content(&self) -> String {
        self.events().iter().filter_map(|event| event["choices"][0]["delta"]["content"].as_str()).collect()
    }
}
