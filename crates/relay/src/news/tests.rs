//! Datagrams of other builds.

use std::{net::SocketAddr, time::Duration};

use super::{
    decode, encode,
    wire::{NewsMessage, Packet, Phase, Reply},
};
use crate::{
    dispatcher::{evacuations, synchronization},
    source::Revision,
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

/// Replies of earlier builds end before the age of the store's era. If they could not be decoded, each
/// instance would watch the store by itself during an upgrade.
#[test]
fn reply_without_the_age_of_the_era_is_decoded() {
    let reply = synchronization::Reply {
        catalog: 3,
        proof_age: Duration::from_millis(100),
        silence: Duration::from_millis(100),
        revision: Revision { era: 1, number: 5 },
        gap: false,
        changes: Vec::new(),
        orders_revision: Revision::default(),
        orders: Vec::new(),
        evacuations: evacuations::Snapshot { revision: Revision::default(), domains: Vec::new() },
        era_age: None,
    };
    let datagram = encode(&Packet::Reply(Reply::new(7, reply)));
    let earlier = &datagram[..datagram.len() - 1];
    let mut buffer = vec![0xff; 512];
    buffer[..earlier.len()].copy_from_slice(earlier);
    let decoded = decode(&mut buffer, earlier.len());
    assert!(matches!(decoded, Ok(Packet::Reply(Reply { number: 7, era_age_ms: None, .. }))), "{decoded:?}");
}
