//! Compatibility with messages of earlier and later builds.

use prost::Message;
use world::instance::State;

use super::{Greeting, Invalid, frame};
use crate::{
    generated as pb,
    member::{Doubt, Member},
    outbox::Heartbeat,
};

/// A member as written by other builds: without `refutation` and `doubt`, as by
/// the first build, and optionally with a field added by a later one.
#[derive(Clone, PartialEq, Message)]
struct OtherBuildMember {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(int32, tag = "4")]
    state: i32,
    #[prost(string, tag = "5")]
    domain: String,
    #[prost(string, tag = "6")]
    callers: String,
    #[prost(string, tag = "7")]
    peers: String,
    #[prost(string, tag = "8")]
    operators: String,
    /// Field added by a later build.
    #[prost(string, optional, tag = "100")]
    colour: Option<String>,
}

fn member() -> OtherBuildMember {
    OtherBuildMember {
        id: "i1".into(),
        incarnation: 3,
        state: pb::State::Live.into(),
        domain: "d1".into(),
        callers: "127.0.0.1:1".into(),
        peers: "127.0.0.1:2".into(),
        operators: "127.0.0.1:3".into(),
        colour: None,
    }
}

/// Decodes a member and compares its state or error.
fn check(wire: &OtherBuildMember, expected: &Result<State, Invalid>) {
    let read = pb::Member::decode(wire.encode_to_vec().as_slice()).unwrap();
    let member = Member::try_from(read);
    assert_eq!(&member.as_ref().map(Member::state).map_err(Clone::clone), expected);
    if let Ok(member) = member {
        assert_eq!((member.refutation, member.doubt), (0, Doubt::None));
    }
}

macro_rules! members {
    ($($name:ident: $wire:expr => $expected:expr;)*) => { $(#[test] fn $name() { check(&$wire, &$expected); })* };
}

members! {
    member_of_an_earlier_build: member() => Ok(State::Live);
    member_with_a_field_of_a_later_build: OtherBuildMember { colour: Some("blue".into()), ..member() } => Ok(State::Live);
    // A member with an unknown state may not accept work, so it gets none.
    member_with_a_state_of_a_later_build: OtherBuildMember { state: 77, ..member() } => Ok(State::Leaving);
    member_without_a_state: OtherBuildMember { state: 0, ..member() } => Ok(State::Leaving);
    member_without_a_name: OtherBuildMember { id: String::new(), ..member() } => Err(Invalid("id"));
    member_with_a_host_name: OtherBuildMember { peers: "host:1".into(), ..member() } => Err(Invalid("peers"));
}

/// Checks whether a greeting of these versions is accepted.
fn check_version(version: u32, oldest: u32, expected: bool) {
    let sender = pb::Member::decode(member().encode_to_vec().as_slice()).unwrap();
    let greeting = pb::Greeting { version, oldest, sender: Some(sender), full: false };
    assert_eq!(Greeting::try_from(greeting).is_ok(), expected);
}

macro_rules! versions {
    ($($name:ident: $version:expr, $oldest:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check_version($version, $oldest, $expected); })*
    };
}

versions! {
    greeting_of_this_version: 1, 1 => true;
    greeting_of_a_later_compatible_version: 9, 1 => true;
    greeting_of_a_later_incompatible_version: 9, 2 => false;
    greeting_without_a_version: 0, 0 => false;
}

#[test]
fn only_the_invalid_entry_is_skipped() {
    let good = pb::Member::decode(member().encode_to_vec().as_slice()).unwrap();
    let broken = pb::Member { domain: "no domain".into(), ..good.clone() };
    let heartbeat = Heartbeat::from(pb::Heartbeat { members: vec![broken, good], ..pb::Heartbeat::default() });
    assert_eq!(heartbeat.members.len(), 1);
}

#[test]
fn a_heartbeat_survives_a_round_trip() {
    let read = pb::Member::decode(member().encode_to_vec().as_slice()).unwrap();
    let member = Member { refutation: 4, doubt: Doubt::Gone, ..Member::try_from(read).unwrap() };
    let heartbeat = Heartbeat { members: vec![member], digests: vec![(1, "17".into())], view: 5, want_all: true };
    let bytes = frame(heartbeat.clone()).encode_to_vec();
    let Some(pb::frame::Kind::Heartbeat(read)) = pb::Frame::decode(bytes.as_slice()).unwrap().kind else {
        panic!("not a heartbeat");
    };
    assert_eq!(Heartbeat::from(read), heartbeat);
}
