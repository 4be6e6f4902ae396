//! Datagrams of other builds.

use std::net::SocketAddr;

use super::{
    decode, encode,
    wire::{NewsMessage, Packet, Phase},
};

fn message(unreachable: Vec<u32>) -> NewsMessage {
    NewsMessage {
        name: "instance-1".into(),
        run: 1,
        front: SocketAddr::from(([127, 0, 0, 1], 80)),
        phase: Phase::Ready,
        fresh: true,
        in_touch: true,
        narrow: false,
        centicores: 25,
        domain: "tartu-a".into(),
        pause_ms: 250,
        named: Vec::new(),
        sightings: Vec::new(),
        loads: Vec::new(),
        sessions: Vec::new(),
        orders: Vec::new(),
        catalog: 3,
        unreachable,
        rejection_limits: Vec::new(),
    }
}

/// Decodes a datagram in a buffer that holds bytes of an earlier one.
fn unreachable_in(datagram: &[u8]) -> Vec<u32> {
    let mut buffer = vec![0xff; 512];
    buffer[..datagram.len()].copy_from_slice(datagram);
    match decode(&mut buffer, datagram.len()) {
        Ok(Packet::News(message)) => message.unreachable,
        other => panic!("{other:?}"),
    }
}

#[test]
fn unreachable_services_are_decoded() {
    assert_eq!(unreachable_in(&encode(&Packet::News(message(vec![7, 8])))), [7, 8]);
}

/// During an upgrade, instances of an earlier build send fewer lists. If their news could not be
/// decoded, they would count as gone.
fn check_earlier_build(missing_lists: usize) {
    let datagram = encode(&Packet::News(message(Vec::new())));
    let earlier = &datagram[..datagram.len() - missing_lists];
    assert!(unreachable_in(earlier).is_empty());
}

macro_rules! earlier_builds {
    ($($name:ident: $missing_lists:expr;)*) => {$(
        #[test]
        fn $name() {
            check_earlier_build($missing_lists);
        }
    )*};
}

earlier_builds! {
    news_without_unreachable_services_are_decoded: 2;
    news_without_rejection_limits_are_decoded: 1;
}
