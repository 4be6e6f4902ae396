//! Counts the bytes on connections opened by peers.
//!
//! Every connection between instances is accepted by exactly one of them, so
//! the sum over all instances is their total traffic (TCP payload without
//! headers).

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Bytes transferred on accepted connections since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes received from peers.
    pub received: u64,
    /// Bytes sent to peers.
    pub sent: u64,
}

/// The counters behind [`Traffic`].
#[derive(Debug, Clone, Default)]
pub(crate) struct Meter {
    received: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl Meter {
    pub(crate) fn read(&self) -> Traffic {
        Traffic { received: self.received.load(Ordering::Relaxed), sent: self.sent.load(Ordering::Relaxed) }
    }

    pub(crate) fn count(&self, stream: TcpStream) -> CountedStream {
        CountedStream { stream, meter: self.clone() }
    }
}

/// An accepted connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    meter: Meter,
}

impl Connected for CountedStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.meter.received.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.meter.sent.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
