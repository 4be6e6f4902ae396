//! Datagrams of other builds, and of demands.

use std::{net::SocketAddr, time::Duration};

use route::admission::demand::{Class, Summary};

use super::{
    decode, encode,
    wire::{Demands, NewsMessage, Packet, Phase},
};
use crate::admission::Report;

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

/// Returns what is received of a report.
fn received(report: &Report) -> (Vec<u8>, Report) {
    let datagram = encode(&Packet::Demands(Demands::new(9, report, Duration::from_millis(250))));
    let mut buffer = vec![0; 4096];
    buffer[..datagram.len()].copy_from_slice(&datagram);
    match decode(&mut buffer, datagram.len()) {
        Ok(Packet::Demands(demands)) => (datagram, demands.into()),
        other => panic!("{other:?}"),
    }
}

/// The demands of 32 teams at two ranks have to fit into a datagram that is not fragmented.
#[test]
fn demands_are_decoded_and_fit_into_a_packet() {
    let class = |team, rank| (Class { team: u32::MAX - team, rank }, 0.25);
    let classes = (0..32).flat_map(|team| [class(team, 0), class(team, 2)]).collect();
    let summary = Summary { classes, other_teams: 300, other_demand: 0.5 };
    let report = Report { service: 7, summary, run_times: vec![(u32::MAX, 30.5)] };
    let (datagram, decoded) = received(&report);
    assert_eq!(decoded, report);
    assert!(datagram.len() < 1_200, "{} bytes", datagram.len());
}

/// An invalid demand would end up in all sums, and no team would get a share any more.
#[test]
fn invalid_demands_are_not_believed() {
    let classes = vec![(Class { team: 1, rank: 0 }, f64::NAN), (Class { team: 2, rank: 0 }, -1.0)];
    let summary = Summary { classes, other_teams: 1, other_demand: f64::INFINITY };
    let (_, decoded) = received(&Report { service: 7, summary, run_times: vec![(1, f64::NAN)] });
    assert!(decoded.summary.classes.iter().all(|(_, demand)| *demand == 0.0), "{decoded:?}");
    assert_eq!((decoded.summary.other_demand, decoded.run_times.len()), (0.0, 0));
}
