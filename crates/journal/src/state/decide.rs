//! What a question to a home calls for.

use world::{
    request::{KEY_SKEW, KEY_WINDOW, Outcome},
    time::{Millis, Timestamp},
};

use super::{BINDING_WINDOW, Bounds, Running, State, bill_hash};
use crate::{
    Bill, Reason,
    op::{Known, Op, Register, Release, Reply},
    placement::Placement,
    record::{Bind, Claim, Digest, End, Record, Settle, Standing},
};

/// A binding used again later than this is recorded as used.
const TOUCH_AFTER: Millis = BINDING_WINDOW / 4;

/// What a question calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Reply now: a wrong home can do no harm with it.
    Answer(Reply),
    /// Reply once this instance has been shown to be the home still.
    Promise(Reply),
    /// Reply once the record is durable.
    Record(Record, Reply),
    /// The key has a record in the segment under way: ask again after it.
    Wait,
}

/// What a decision is made in.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The time now.
    pub now: Timestamp,
    /// Who is a member.
    pub placement: &'a Placement,
}

impl State {
    /// What `op` calls for.
    pub fn decide(&mut self, op: &Op, context: &Context<'_>, bounds: &Bounds) -> Decision {
        match op {
            Op::Claim(claim) => self.decide_claim(claim, context, bounds),
            Op::Register(register) => self.decide_register(register, context, bounds),
            Op::Release(release) => self.decide_release(release, context),
            Op::Settle(settle) => self.decide_settle(settle),
            Op::Bill(bill) => self.decide_bill(bill),
            Op::Bind(bind) => self.decide_bind(bind, bounds),
            Op::Outcome(digest) => self.decide_outcome(*digest, context),
            Op::Close(close) if self.closed.contains_key(&close.holder) => Decision::Answer(Reply::Done),
            Op::Close(close) => Decision::Record(Record::Close(close.clone()), Reply::Done),
        }
    }

    fn decide_claim(&self, claim: &Claim, context: &Context<'_>, bounds: &Bounds) -> Decision {
        if context.now.since(claim.made_at) > KEY_WINDOW {
            return Decision::Answer(Reply::Refused(Reason::KeyTooOld));
        }
        if claim.made_at > context.now.plus(KEY_SKEW) {
            return Decision::Answer(Reply::Refused(Reason::KeyTooNew));
        }
        let record = Decision::Record(Record::Claim(claim.clone()), Reply::Claimed);
        match self.marks.get(&claim.digest) {
            None if self.marks.len() >= bounds.keys => Decision::Answer(Reply::Refused(Reason::Full)),
            None => record,
            Some(entry) if entry.seq > self.durable => Decision::Wait,
            Some(entry) if entry.fingerprint != 0 && entry.fingerprint != claim.fingerprint => {
                Decision::Answer(Reply::Refused(Reason::OtherBody))
            }
            Some(entry) if entry.nonce == claim.nonce && matches!(entry.standing, Standing::Running(_)) => {
                Decision::Answer(Reply::Claimed)
            }
            Some(entry) if entry.is_dead(claim.nonce) => {
                Decision::Answer(Reply::Known(Known { outcome: Outcome::NotRun, at: None }))
            }
            Some(entry) if entry.standing == Standing::NotRun => record,
            Some(entry) => Decision::Answer(Reply::Known(entry.known(context.placement))),
        }
    }

    fn decide_register(&mut self, register: &Register, context: &Context<'_>, bounds: &Bounds) -> Decision {
        if register.made_at.is_some_and(|made_at| context.now.since(made_at) > KEY_WINDOW) {
            return Decision::Answer(Reply::Refused(Reason::KeyTooOld));
        }
        if let Some(entry) = self.marks.get(&register.digest).filter(|e| e.standing != Standing::NotRun) {
            return Decision::Answer(Reply::Known(entry.known(context.placement)));
        }
        // Registrations live in a home's memory. One that gave the shard up for
        // a moment has forgotten them, and took the second of two repeats for
        // the first: its refusal then said "not run" of a key that ran. Keys
        // that tell no time are not covered.
        let mut again = register.made_at.is_some_and(|made_at| made_at <= self.opened);
        match self.running.get(&register.digest) {
            Some(old) if old.nonce == register.nonce => again = old.again,
            Some(old) if old.is_under_way(context) => {
                if old.fingerprint != register.fingerprint {
                    return Decision::Answer(Reply::Refused(Reason::OtherBody));
                }
                return Decision::Answer(Reply::RunningAt(old.by.instance.clone()));
            }
            Some(old) if old.end == Some(End::Answered) => {
                if old.fingerprint != register.fingerprint {
                    return Decision::Answer(Reply::Refused(Reason::OtherBody));
                }
                let at = context.placement.knows(&old.by).then(|| old.by.instance.clone());
                return Decision::Answer(Reply::Known(Known { outcome: Outcome::Answered, at }));
            }
            // It ended without an answer, its instance is lost, or it is overdue.
            Some(_) => again = true,
            None if self.running.len() >= bounds.running => {
                return Decision::Answer(Reply::Refused(Reason::Full));
            }
            None => {}
        }
        let running = Running {
            nonce: register.nonce,
            by: register.by.clone(),
            fingerprint: register.fingerprint,
            until: context.now.plus(register.lasts_ms),
            again,
            end: None,
        };
        self.running.insert(register.digest, running);
        Decision::Answer(if again { Reply::Again } else { Reply::First })
    }

    /// An answered request is remembered here until its bill is recorded, which
    /// takes as long as the platform is slow or away. Forgotten at once, a repeat
    /// would be told "first": it would run anew, and a refusal of it would say
    /// "not run" of a key that has run.
    fn decide_release(&mut self, release: &Release, context: &Context<'_>) -> Decision {
        match self.running.get_mut(&release.digest) {
            Some(running) if running.nonce != release.nonce => {}
            Some(running) if release.end == End::NotRun && !running.again => {
                self.running.remove(&release.digest);
            }
            Some(running) => {
                running.end = Some(release.end);
                running.until = context.now;
            }
            None => {}
        }
        Decision::Answer(Reply::Done)
    }

    fn decide_settle(&self, settle: &Settle) -> Decision {
        let done = Decision::Answer(Reply::Done);
        match self.marks.get(&settle.digest) {
            Some(entry) if entry.seq > self.durable => Decision::Wait,
            Some(entry) if entry.nonce != settle.nonce => {
                let is_moot = settle.end != End::NotRun || entry.standing == Standing::Answered;
                if is_moot || entry.is_dead(settle.nonce) {
                    done
                } else {
                    Decision::Record(Record::Settle(*settle), Reply::Done)
                }
            }
            Some(entry) if !entry.open() => done,
            Some(entry) if entry.standing == Standing::Unknown && settle.end == End::Unknown => done,
            _ => Decision::Record(Record::Settle(*settle), Reply::Done),
        }
    }

    fn decide_bill(&self, bill: &Bill) -> Decision {
        let entry = self.marks.get(&Digest::request(&bill.id));
        match entry {
            Some(entry) if entry.seq > self.durable => return Decision::Wait,
            Some(entry) if entry.billed == bill_hash(bill) => return Decision::Answer(Reply::Done),
            Some(entry) if entry.billed != 0 => return Decision::Answer(Reply::Already),
            _ => {}
        }
        if bill.grant.as_ref().is_some_and(|grant| self.closed.contains_key(&grant.holder)) {
            return Decision::Answer(Reply::Refused(Reason::GrantClosed));
        }
        Decision::Record(Record::Bill(bill.clone()), Reply::Done)
    }

    fn decide_bind(&self, bind: &Bind, bounds: &Bounds) -> Decision {
        let record = Decision::Record(Record::Bind(bind.clone()), Reply::Bound(bind.pins.clone()));
        match self.bindings.get(&bind.digest) {
            None if self.bindings.len() >= bounds.bindings => Decision::Answer(Reply::Refused(Reason::Full)),
            None => record,
            Some(old) if old.seq > self.durable => Decision::Wait,
            Some(old) if old.pins == bind.pins && bind.at.since(old.at) > TOUCH_AFTER => record,
            Some(old) if old.pins != bind.pins && bind.replaces.as_ref() == Some(&old.pins) => record,
            Some(old) => Decision::Answer(Reply::Bound(old.pins.clone())),
        }
    }

    /// "Not run" and "no record" are promises: a home that has been replaced
    /// without noticing could give them about a request that runs elsewhere.
    /// The other outcomes stay true, or harmless, once they have been true.
    fn decide_outcome(&self, digest: Digest, context: &Context<'_>) -> Decision {
        let outcome = match self.marks.get(&digest) {
            Some(entry) if entry.seq > self.durable => return Decision::Wait,
            Some(entry) => Some(entry.known(context.placement).outcome),
            None => self.running.get(&digest).map(|running| running.outcome(context)),
        };
        match outcome {
            None | Some(Outcome::NotRun) => Decision::Promise(Reply::Outcome(outcome)),
            Some(_) => Decision::Answer(Reply::Outcome(outcome)),
        }
    }
}

impl Running {
    fn is_under_way(&self, context: &Context<'_>) -> bool {
        self.end.is_none() && self.until > context.now && context.placement.knows(&self.by)
    }

    fn outcome(&self, context: &Context<'_>) -> Outcome {
        match self.end {
            Some(End::Answered) => Outcome::Answered,
            None if self.is_under_way(context) => Outcome::Running,
            _ => Outcome::Unknown,
        }
    }
}
