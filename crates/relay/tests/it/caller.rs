//! An HTTP/1.1 client on a plain TCP socket.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::site::{HOST, KEY};

/// A response as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status; 0 when the connection ended without one.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// Body, with its chunks joined.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
}

/// Formats a request with the valid host and key; each line of `headers` ends with CRLF.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request: r1\r\nX-Key: {KEY}\r\n\
         Content-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Sends a request with the valid host and key and reads the response.
pub async fn call(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> Response {
    send(address, &request(method, path, headers, body)).await
}

/// Sends bytes and reads one response.
pub async fn send(address: SocketAddr, bytes: &str) -> Response {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    read(&mut stream).await
}

/// Reads one response to its end, or to the end of the connection.
pub async fn read(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(response) = parse(&bytes).filter(|response| response.complete) {
            return response;
        }
        let read = tokio::time::timeout(Duration::from_secs(30), stream.read(&mut buffer)).await;
        match read.expect("the relay should respond or close the connection") {
            Ok(0) | Err(_) => {
                let none = Response { status: 0, head: String::new(), body: String::new(), complete: false };
                return parse(&bytes).unwrap_or(none);
            }
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Response> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let rest = String::from_utf8_lossy(&bytes[end + 4..]).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let (body, complete) = match length {
        Some(length) => (rest.clone(), rest.len() >= length),
        None => unchunk(&rest),
    };
    Some(Response { status, head, body, complete })
}

fn unchunk(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
        if size == 0 {
            return (body, rest.starts_with("\r\n"));
        }
        let Some(chunk) = rest.get(..size) else { return (body, false) };
        body.push_str(chunk);
        text = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

impl Response {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}
