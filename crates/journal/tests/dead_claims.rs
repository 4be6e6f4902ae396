//! Claims whose asker gave up on them before their home decided them.

use journal::{
    Known, Member, Origin,
    op::{Op, Reply},
    placement::Placement,
    record::{Claim, Digest, End, Seq, Settle},
    state::{Bounds, Context, Decision, State},
};
use world::{
    domain::Domain,
    instance::{self, Incarnation},
    request::{self, Outcome},
    time::Timestamp,
};

const NOW: Timestamp = Timestamp(1_800_000_000_000);

/// A shard's state and the place of its next segment.
struct Shard {
    state: State,
    next: Seq,
    placement: Placement,
}

fn origin(name: &str) -> Origin {
    Origin { instance: instance::Id::parse(name).expect("a name"), incarnation: Incarnation(1) }
}

fn digest() -> Digest {
    let id = request::Id { customer: "club".parse().expect("a name"), key: request::Key::parse("k").expect("a name") };
    Digest::request(&id)
}

fn claim(nonce: u64) -> Op {
    Op::Claim(Claim { digest: digest(), nonce, by: origin("asker"), made_at: NOW, fingerprint: 7 })
}

fn not_run(nonce: u64) -> Op {
    Op::Settle(Settle { digest: digest(), nonce, made_at: NOW, end: End::NotRun })
}

impl Shard {
    fn open() -> Self {
        let member = Member {
            id: instance::Id::parse("asker").expect("a name"),
            incarnation: Incarnation(1),
            domain: Domain::parse("d").expect("a name"),
            live: true,
        };
        Self { state: State::default(), next: Seq(1), placement: Placement::new(vec![member], 1) }
    }

    /// Decides a question and makes its record durable, if it needs one.
    fn ask(&mut self, op: &Op) -> Reply {
        let context = Context { now: NOW, placement: &self.placement };
        match self.state.decide(op, &context, &Bounds::default()) {
            Decision::Answer(reply) | Decision::Promise(reply) => reply,
            Decision::Record(record, reply) => {
                self.state.apply(&record, self.next);
                self.state.settle_up_to(self.next);
                self.next = self.next.next();
                reply
            }
            Decision::Wait => panic!("every record is durable"),
        }
    }

    /// The state as a new home reads it from a snapshot.
    fn reopen(self) -> Self {
        let bytes = journal::wire::encode_records(&self.state.records());
        let mut state = State::default();
        for record in journal::wire::decode_records(&bytes).expect("records") {
            state.apply(&record, self.next);
        }
        state.settle_up_to(self.next);
        Self { state, next: self.next.next(), placement: self.placement }
    }
}

/// Two askers claim a key and give up, the second before its claim is decided: its
/// settlement overtakes it. Decided at last, the claim must not stand.
fn check(reopened: bool, settle_first: &[u64]) {
    let mut shard = Shard::open();
    assert_eq!(shard.ask(&claim(1)), Reply::Claimed);
    for nonce in settle_first {
        assert_eq!(shard.ask(&not_run(*nonce)), Reply::Done);
    }
    if reopened {
        shard = shard.reopen();
    }
    let late = shard.ask(&claim(2));
    assert_eq!(late, Reply::Known(Known { outcome: Outcome::NotRun, at: None }));
    assert_eq!(shard.ask(&claim(3)), Reply::Claimed, "the key is free for the next claim");
    assert_eq!(shard.ask(&not_run(3)), Reply::Done);
    // A repeated delivery of a claim that stood once and was settled.
    assert_eq!(shard.ask(&claim(1)), Reply::Known(Known { outcome: Outcome::NotRun, at: None }));
}

macro_rules! overtaken {
    ($($name:ident: $reopened:expr, $settled:expr;)*) => {
        $(#[test] fn $name() { check($reopened, $settled); })*
    };
}

overtaken! {
    claim_that_its_settlement_overtook_while_another_stood: false, &[2, 1];
    claim_that_its_settlement_overtook_after_another_was_settled: false, &[1, 2];
    claim_that_its_settlement_overtook_at_the_home_before: true, &[2, 1];
}

// A settlement of a claim that another asker's outlived is recorded once.
#[test]
fn repeated_settlement_of_an_overtaken_claim_needs_no_record() {
    let mut shard = Shard::open();
    shard.ask(&claim(1));
    shard.ask(&not_run(2));
    let before = shard.next;
    assert_eq!(shard.ask(&not_run(2)), Reply::Done);
    assert_eq!(shard.next, before);
}
