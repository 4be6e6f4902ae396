//! A caller with one connection, which measures its streams.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::Instant};

use super::rig;

/// Where a caller sends its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum To {
    /// The engine itself.
    Engine(SocketAddr),
    /// The instance; idempotent, without a key of the caller's.
    Instance(SocketAddr),
    /// The instance; must not be repeated, so claimed first.
    Claimed(SocketAddr),
}

impl To {
    fn address(self) -> SocketAddr {
        match self {
            Self::Engine(address) | Self::Instance(address) | Self::Claimed(address) => address,
        }
    }
}

/// A caller with its connection.
pub struct Caller {
    to: To,
    sender: SendRequest<Full<Bytes>>,
    body: Bytes,
}

impl Caller {
    /// Connects.
    pub async fn connect(to: To) -> Self {
        let stream = TcpStream::connect(to.address()).await.expect("the server listens");
        stream.set_nodelay(true).expect("a TCP socket");
        let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("the server speaks HTTP");
        tokio::spawn(connection);
        let model = if matches!(to, To::Engine(_)) { rig::VERSION } else { "summary" };
        let body = format!(
            r#"{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"Sum up the launches of Saturday."}}]}}"#
        );
        Self { to, sender, body: body.into() }
    }

    /// Runs one stream to its end and tells the time to its first event.
    ///
    /// # Panics
    ///
    /// When the answer is not whole: the benchmark then measures nothing.
    pub async fn stream(&mut self) -> Duration {
        self.sender.ready().await.expect("the connection stays");
        let start = Instant::now();
        let response = self.sender.send_request(self.request()).await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK, "{:?}", response.headers());
        let mut body = response.into_body();
        let mut first = None;
        let mut tail = Vec::new();
        while let Some(frame) = body.frame().await {
            let data = frame.expect("the stream goes on").into_data().unwrap_or_default();
            first.get_or_insert_with(|| start.elapsed());
            tail.extend_from_slice(&data);
            tail.drain(..tail.len().saturating_sub(32));
        }
        assert!(tail.trim_ascii_end().ends_with(b"[DONE]"), "the answer is not whole");
        first.expect("an event")
    }

    /// Opens a stream and reads its first event; the rest stays to come.
    pub async fn open(&mut self) -> hyper::body::Incoming {
        let response = self.sender.send_request(self.request()).await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let mut body = response.into_body();
        body.frame().await.expect("an event").expect("the stream goes on");
        body
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let unique = uuid::Uuid::now_v7();
        let request =
            Request::post("/v1/chat/completions").header("host", "bench").header("content-type", "application/json");
        let request = match self.to {
            To::Engine(_) => request.header("arbutuslug-attempt", unique.to_string()),
            To::Instance(_) => request.header("authorization", format!("Bearer {}", rig::KEY)),
            To::Claimed(_) => request
                .header("authorization", format!("Bearer {}", rig::KEY))
                .header("idempotency-key", unique.to_string())
                .header("arbutuslug-idempotent", "false"),
        };
        request.body(Full::new(self.body.clone())).expect("a request")
    }
}
