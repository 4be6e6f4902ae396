//! Connections to endpoints, with a limit on what they receive besides data.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use futures::{FutureExt, future::BoxFuture};
use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::{
    client::legacy::connect::{Connected, HttpConnector},
    rt::TokioIo,
};
use overhead::{Limited, Overhead};
use tower_service::Service;

/// Opens connections for the shared client.
#[derive(Debug, Clone)]
pub(crate) struct Connector(HttpConnector);

impl Connector {
    pub(crate) fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = Connection;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Connection, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        let limited = async move {
            let stream = Limited::new(connecting.await?.into_inner());
            Ok(Connection { overhead: stream.overhead(), stream: TokioIo::new(stream) })
        };
        limited.boxed()
    }
}

/// A connection whose responses carry its [`Overhead`] in their extensions.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TokioIo<Limited>,
    overhead: Overhead,
}

impl hyper_util::client::legacy::connect::Connection for Connection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.overhead.clone())
    }
}

impl Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<(), io::Error>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize, io::Error>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), io::Error>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), io::Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize, io::Error>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
