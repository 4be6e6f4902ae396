//! Endpoints that have crashed or been replaced while the store still lists them.

use std::{net::SocketAddr, time::Duration};

use relay::catalog::Kind;
use tokio::net::TcpListener;

use crate::{
    caller,
    server::{Action, Server, ok_response},
    site::{Site, StoreContents, catalog, endpoint, route},
};

/// Starts a relay in front of endpoints, of which only the last is in another failure domain.
async fn start(kind: Kind, addresses: &[SocketAddr]) -> Site {
    let mut endpoints: Vec<_> = addresses.iter().enumerate().map(|(n, at)| endpoint(&format!("e{n}"), *at)).collect();
    endpoints.last_mut().expect("at least one endpoint").domain = "voru".into();
    let catalog = catalog(1, vec![route("/a/", kind)]);
    Site::start_with(StoreContents { catalog: Some(catalog), endpoints, ..StoreContents::default() }, |_| {}).await
}

/// Returns an address at which nothing listens.
async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Nearly half of a service's servers crash at once and stay listed until their leases expire.
/// Several attempts of a request may be refused a connection, each within a millisecond. The
/// request must not fail while the remaining servers can run it.
#[tokio::test]
async fn request_succeeds_despite_many_closed_endpoints() {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let mut addresses = Vec::new();
    for _ in 0..8 {
        addresses.push(closed_address().await);
    }
    addresses.push(server.address);
    let site = start(Kind::NonIdempotent, &addresses).await;
    let response = caller::call(site.front(), "POST", "/a/x", "", "sheet").await;
    assert_eq!((response.status, response.body.as_str()), (200, "ok"), "{response:?}");
}

/// A server crashes and restarts at its address under a new name, while the store lists the old
/// one for seconds. It rejects requests that name the old one. The relay has to back off as
/// from an endpoint that cannot be reached. If it took the server for a full one, every request
/// would try it again and use up its attempts.
#[tokio::test]
async fn replaced_endpoint_is_in_backoff() {
    let moved = "HTTP/1.1 421 X\r\nx-request: {id}\r\ncontent-length: 0\r\n\r\n";
    let replaced = Server::start(vec![Action::Write(moved.into())]).await;
    let healthy = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let site = start(Kind::NonIdempotent, &[replaced.address, healthy.address]).await;
    for _ in 0..6 {
        let response = caller::call(site.front(), "POST", "/a/x", "", "sheet").await;
        assert_eq!(response.status, 200, "{response:?}");
        // Longer than a server counts as full after it has refused a request.
        tokio::time::sleep(Duration::from_millis(180)).await;
    }
    let attempts = replaced.requests().len();
    assert!(attempts <= 3, "{attempts} attempts within about a second");
}
