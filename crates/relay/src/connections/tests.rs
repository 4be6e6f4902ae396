//! Who gives way, and that nothing stays charged.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

use super::{Connections, Handle, Opened, Peer, entry::FIRST_BYTE_TIME};
use crate::{
    clock,
    memory::{Account, Bounds},
    settings,
    uploads::Uploads,
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Longer than any time after which a connection counts as stalled.
const LONG: Duration = Duration::from_secs(2);

fn connections(max: usize, memory: usize) -> Arc<Connections> {
    let account = Arc::new(Account::new(Bounds { total: memory, bodies: memory }));
    let limits = settings::Connections { max, ..settings::Connections::default() };
    Connections::new(account, &limits)
}

fn roomy(max: usize) -> Arc<Connections> {
    connections(max, 1 << 30)
}

fn open(connections: &Arc<Connections>) -> Handle {
    match connections.open(IP, Peer::Caller) {
        Opened::Registered(handle) => handle,
        other => panic!("{other:?}"),
    }
}

/// Has a connection have been in its phase for a time.
fn age(connections: &Connections, handle: &Handle, age: Duration) {
    let then = clock::now().saturating_sub(age);
    connections.lock().get_mut(handle.0.id).unwrap().since = then;
}

fn idle(connections: &Arc<Connections>) -> Handle {
    let handle = open(connections);
    age(connections, &handle, LONG);
    handle
}

/// Returns a connection on which a request was served, which has been idle for longest.
fn kept(connections: &Arc<Connections>) -> Handle {
    let handle = open(connections);
    handle.received(100);
    handle.start_request(100);
    assert!(handle.charge_request());
    handle.end_request();
    age(connections, &handle, LONG * 10);
    handle
}

fn in_head(connections: &Arc<Connections>) -> Handle {
    let handle = open(connections);
    handle.received(100);
    handle
}

fn stalled(connections: &Arc<Connections>) -> Handle {
    let handle = in_head(connections);
    age(connections, &handle, LONG);
    handle
}

fn busy(connections: &Arc<Connections>) -> Handle {
    let handle = in_head(connections);
    handle.start_request(100);
    assert!(handle.charge_request());
    age(connections, &handle, LONG * 10);
    handle
}

type Make = fn(&Arc<Connections>) -> Handle;

/// Checks that connections give way in an order, and that the last one does not.
fn check(order: &[Make]) {
    let connections = roomy(100);
    // Opened the other way round: the order must not be that of their opening.
    let mut handles: Vec<Handle> = order.iter().rev().map(|make| make(&connections)).collect();
    while let Some(next) = handles.pop() {
        let is_last = handles.is_empty();
        assert_eq!(connections.displace(), !is_last);
        assert_eq!(next.is_open(), is_last);
        assert!(handles.iter().all(Handle::is_open));
    }
}

macro_rules! orders {
    ($($name:ident: $($make:expr),*;)*) => {$(
        #[test]
        fn $name() {
            check(&[$($make),*]);
        }
    )*};
}

// Ordinary callers would be closed for clients that stop within a request or only connect.
orders! {
    those_that_stand_still_give_way_first: stalled, idle, in_head, kept, busy;
    kept_channels_give_way_after_new_connections: idle, open, kept, busy;
    request_that_has_arrived_never_gives_way: busy;
}

/// A crowd that comes back at once would close callers before their first byte has arrived.
#[test]
fn new_connection_waits_while_all_others_are_new() {
    let connections = roomy(2);
    let (first, second) = (open(&connections), open(&connections));
    assert!(matches!(connections.open(IP, Peer::Caller), Opened::After(wait) if wait <= FIRST_BYTE_TIME));
    age(&connections, &first, FIRST_BYTE_TIME);
    assert!(matches!(connections.open(IP, Peer::Caller), Opened::Registered(_)));
    assert!(!first.is_open() && second.is_open());
}

/// Where all have requests in progress, nobody is closed for a new connection of a caller; the platform and
/// other instances still get one.
#[test]
fn infrastructure_has_places_of_its_own() {
    let connections = roomy(1);
    let _busy = busy(&connections);
    assert!(matches!(connections.open(IP, Peer::Caller), Opened::NoPlace));
    assert!(matches!(connections.open(IP, Peer::Infrastructure), Opened::Registered(_)));
}

/// Its caller may send the request again only if it is told that it has not run.
#[test]
fn body_that_gives_way_is_refused_before_its_connection_closes() {
    let connections = roomy(100);
    let handle = in_head(&connections);
    let upload = Arc::<Uploads>::default().add();
    handle.start_request(100);
    handle.await_body(&upload);
    assert!(!connections.displace(), "it goes on");
    age(&connections, &handle, LONG);
    assert!(connections.displace());
    assert!(upload.is_given_up() && !handle.is_open() && !handle.charge_request());
    assert!(!handle.0.closer.is_closed.load(std::sync::atomic::Ordering::Relaxed), "the refusal closes it");
}

/// A head held its buffer, and trailers theirs, and nobody counted them.
#[test]
fn charge_follows_what_is_held() {
    let connections = roomy(100);
    let held = || connections.account.connections();
    let handle = open(&connections);
    let idle = held();
    handle.received(10_000);
    assert!(held() >= idle + 20_000, "the buffer of a head doubles");
    handle.start_request(8_000);
    handle.charge_params(5_000);
    assert!(held() >= idle + 3 * 8_000 + 5_000 + 2_000, "it is kept, with what follows it");
    handle.await_body(&Arc::<Uploads>::default().add());
    let awaited = held();
    handle.received(3_000);
    assert!(held() >= awaited + 3_000);
    handle.took_data();
    assert!(held() <= awaited);
    assert!(handle.charge_request());
    handle.end_request();
    assert_eq!(held(), idle);
    drop(handle);
    assert_eq!(held(), 0);
}

/// A head that takes the last memory gives way itself, and not what was there before.
#[test]
fn head_beyond_the_bound_gives_way() {
    let connections = connections(100, 100_000);
    let kept = kept(&connections);
    let head = open(&connections);
    head.received(100_000);
    assert!(kept.is_open() && !head.is_open());
}
