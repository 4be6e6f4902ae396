//! Tests the options of the sockets that serve callers.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};

/// Guards against tokens that arrive late after the first one. The instance writes
/// event after event; Nagle's algorithm holds the second back until the first is
/// acknowledged, and the caller's kernel delays that acknowledgement by 40 ms. This
/// limited one caller to 22 streams a second.
#[tokio::test]
async fn accepted_sockets_have_nagle_disabled() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.expect("a port is free");
    entry::no_delay(&listener).expect("a TCP socket");
    let address = listener.local_addr().expect("it is bound");
    let caller = TcpStream::connect(address).await.expect("it listens");
    let (accepted, _) = listener.accept().await.expect("a caller connects");
    assert!(accepted.nodelay().expect("a TCP socket"));
    drop(caller);
}
