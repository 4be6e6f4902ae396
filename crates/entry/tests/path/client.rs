//! An HTTP/1.1 client that opens one connection for each call.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// A client of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    address: SocketAddr,
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
}

/// A response that is being streamed. Dropping it closes the connection.
pub struct Stream {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Incoming,
    read: String,
}

/// Headers of a call, as names and values.
pub type Headers<'a> = &'a [(&'a str, &'a str)];

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Makes a call and reads the complete response.
    pub async fn call(&self, method: Method, path: &str, headers: Headers<'_>, body: impl Into<Bytes>) -> Reply {
        let mut stream = self.open(method, path, headers, body).await;
        let text = stream.read_to_end().await;
        Reply { status: stream.status, headers: stream.headers.clone(), text }
    }

    /// Makes a call and reads the head of the response.
    pub async fn open(&self, method: Method, path: &str, headers: Headers<'_>, body: impl Into<Bytes>) -> Stream {
        let socket = TcpStream::connect(self.address).await.expect("the instance listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await.expect("HTTP");
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", "localhost");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("a request");
        let response = sender.send_request(request).await.expect("an answer");
        let (parts, body) = response.into_parts();
        Stream { status: parts.status, headers: parts.headers, body, read: String::new() }
    }

    pub async fn get(&self, path: &str, key: &str) -> Reply {
        self.call(Method::GET, path, &[("authorization", &format!("Bearer {key}"))], "").await
    }

    /// Sends a chat request that is not streamed.
    pub async fn chat(&self, key: &str, headers: Headers<'_>, content: &str) -> Reply {
        let bearer = format!("Bearer {key}");
        let headers: Vec<_> = [("authorization", bearer.as_str())].into_iter().chain(headers.iter().copied()).collect();
        self.call(Method::POST, "/v1/chat/completions", &headers, chat_body(content, false)).await
    }

    /// Sends a chat request whose answer is streamed.
    pub async fn stream(&self, key: &str, headers: Headers<'_>, content: &str) -> Stream {
        let bearer = format!("Bearer {key}");
        let headers: Vec<_> = [("authorization", bearer.as_str())].into_iter().chain(headers.iter().copied()).collect();
        self.open(Method::POST, "/v1/chat/completions", &headers, chat_body(content, true)).await
    }
}

/// Returns the body of a chat request.
pub fn chat_body(content: &str, stream: bool) -> String {
    json!({ "model": "summary", "messages": [{ "role": "user", "content": content }], "stream": stream }).to_string()
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|error| panic!("{error}: {}", self.text))
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("text"))
    }

    /// Returns the text of a complete chat answer.
    pub fn content(&self) -> String {
        assert_eq!(self.status, StatusCode::OK, "{}", self.text);
        self.json()["choices"][0]["message"]["content"].as_str().expect("content").to_owned()
    }

    /// Returns the status, kind and `ran` of a problem document.
    pub fn problem(&self) -> (u16, String, String) {
        assert_eq!(self.header("content-type"), "application/problem+json", "{} {}", self.status, self.text);
        let json = self.json();
        let kind = json["type"].as_str().expect("type").rsplit(':').next().expect("a kind").to_owned();
        assert!(json["remedy"].as_str().is_some_and(|remedy| !remedy.is_empty()), "no remedy: {json}");
        (self.status.as_u16(), kind, json["ran"].as_str().expect("ran").to_owned())
    }
}

/// The content of a streamed answer's events.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct StreamedAnswer {
    pub text: String,
    pub finish: Option<String>,
    pub done: bool,
    /// Kind and `ran` of the error event, if there was one.
    pub error: Option<(String, String)>,
}

impl Stream {
    /// Reads the next frame. Returns false at the end.
    pub async fn read_frame(&mut self) -> bool {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.read.push_str(std::str::from_utf8(data).expect("text"));
                }
                true
            }
            Some(Err(_)) | None => false,
        }
    }

    /// Reads to the end and returns the text of the body.
    pub async fn read_to_end(&mut self) -> String {
        while self.read_frame().await {}
        self.read.clone()
    }

    /// Reads to the end and parses the events.
    pub async fn collect_events(mut self) -> StreamedAnswer {
        let text = self.read_to_end().await;
        assert_eq!(self.status, StatusCode::OK, "{text}");
        parse_events(&self.read)
    }

    /// Parses the events received so far.
    pub fn received_so_far(&self) -> StreamedAnswer {
        parse_events(&self.read)
    }
}

fn parse_events(events: &str) -> StreamedAnswer {
    let mut answer = StreamedAnswer::default();
    for event in events.split_terminator("\n\n") {
        let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or_default();
        if data == "[DONE]" {
            answer.done = true;
            continue;
        }
        let Ok(json) = serde_json::from_str::<Value>(data) else { continue };
        if event.starts_with("event: error") {
            let kind = json["type"].as_str().unwrap_or_default().rsplit(':').next().unwrap_or_default();
            answer.error = Some((kind.into(), json["ran"].as_str().unwrap_or_default().into()));
            continue;
        }
        let choice = &json["choices"][0];
        answer.text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        if let Some(reason) = choice["finish_reason"].as_str() {
            answer.finish = Some(reason.into());
        }
    }
    answer
}
