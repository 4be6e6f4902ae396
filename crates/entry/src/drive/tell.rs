//! Telling callers that their session left a version.
//!
//! A move is bound before it is told, and the answer that tells of it may be lost
//! with its instance, or on its way. The journal keeps with each pin which answer
//! has told; the rest here is about not trusting that note too far.

use std::{sync::Arc, time::Duration};

use journal::Error;
use route::model::{Choice, Permit};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};
use world::{
    model::Version,
    request,
    session::{Id, Left, Pin, Teller, untold},
};

use super::Driver;
use crate::{join, session::Named, shared::Shared};

/// Longest that an answer waits for a note of what it tells, or for the instance
/// that told before; after it the move is told once more.
const TELL_WITHIN: Duration = Duration::from_millis(200);
/// Longest that a refusal waits for the note that its first answer told nobody.
const UNTELL_WITHIN: Duration = Duration::from_secs(2);
/// Pause before such a note is tried again behind its refusal.
const UNTELL_PAUSE: Duration = Duration::from_millis(500);
/// How long such a note is tried: as long as a home remembers what became of a
/// request that it has no record of.
const UNTELL_FOR: Duration = Duration::from_mins(10);

impl Driver {
    /// The versions that the session left for those of a choice, now or before,
    /// as far as its caller may not have heard of that yet.
    pub(super) async fn moves(&self, choice: &Choice, pins: &[Pin]) -> Vec<Version> {
        let mut moved = choice.reason().moved.clone();
        let answering: Vec<_> = choice.steps().iter().map(Permit::version).collect();
        let mut lost = Vec::new();
        for told in tellers(pins, &answering) {
            if !self.has_told(told).await {
                lost.push(told);
            }
        }
        let lives = |told: &Teller| !lost.contains(&told);
        for version in untold(pins, &answering, &self.request.id().key, lives) {
            if !moved.contains(version) {
                moved.push(version.clone());
            }
        }
        moved
    }

    /// Whether an answer that told of a move has gone out whole, by the word of the
    /// instance that gave it.
    ///
    /// Members hold an instance to be live for seconds after it is lost. So it is
    /// asked, once for each answer.
    async fn has_told(&self, told: &Teller) -> bool {
        let links = &self.shared.links;
        if !links.journal.knows(&told.instance, told.incarnation) {
            return false;
        }
        let answer = request::Id { customer: self.request.customer().clone(), key: told.request.clone() };
        if told.instance == self.shared.settings.instance {
            return !self.shared.held.running(&answer);
        }
        if self.shared.is_confirmed(&answer) {
            return true;
        }
        let has_ended = join::has_ended(&links.peer, &told.instance, &answer, TELL_WITHIN).await;
        if has_ended {
            self.shared.confirm(answer);
        } else {
            let (request, instance) = (self.request.id(), &told.instance);
            tracing::info!(%request, %instance, "the answer that told of a move is not known to have ended; told again");
        }
        has_ended
    }

    /// Notes in the journal that this answer tells of a move, before it ends.
    ///
    /// Noted after the answer's head was written and before its end: a caller
    /// whose next request is served after this one is not told twice, and one
    /// that never saw the head repeats this request or is told by the next.
    pub(super) async fn note_told(&self) {
        let Some(Named::Caller(id)) = &self.request.session else { return };
        let Some(chosen) = self.chosen.as_ref().filter(|chosen| !chosen.moved.is_empty()) else { return };
        let Some(bound) = chosen.bound.as_deref() else { return };
        let mut told = bound.to_vec();
        let origin = &self.shared.links.journal.config().origin;
        let teller = Teller {
            request: self.request.id().key.clone(),
            instance: origin.instance.clone(),
            incarnation: origin.incarnation,
        };
        let is_told = |left: &&mut Left| left.versions.iter().all(|version| chosen.moved.contains(version));
        for left in told.iter_mut().filter_map(|pin| pin.left.as_mut()).filter(is_told) {
            left.told = Some(teller.clone());
        }
        if told == bound {
            return;
        }
        let deadline = self.request.deadline.min(Instant::now() + TELL_WITHIN);
        let journal = &self.shared.links.journal;
        if let Err(error) = journal.bind_session(self.request.customer(), id, &told, Some(bound), deadline).await {
            tracing::info!(request = %self.request.id(), ?error, "a session's move will be told again");
        }
    }

    /// Notes that nobody has heard of the moves that this request's answer told.
    ///
    /// The caller asks again with the key, and one that must not run twice is only
    /// told that it ran: the answer that would have told is lost for good, and the
    /// next one, with another key, would say nothing. So this comes before the
    /// refusal, and goes on behind it if it takes too long.
    pub(super) async fn note_untold(&self) {
        let Some(Named::Caller(session)) = &self.request.session else { return };
        let note = Untold { shared: self.shared.clone(), session: session.clone(), answer: self.request.id().clone() };
        let deadline = self.request.deadline.min(Instant::now() + UNTELL_WITHIN);
        let Ok(leave) = self.shared.late.clone().try_acquire_owned() else {
            if let Err(error) = note.write(deadline).await {
                tracing::warn!(request = %self.request.id(), %error, "a session's move may stay untold");
            }
            return;
        };
        let (done, noted) = oneshot::channel();
        // A task of its own: this request may end before the note is written.
        tokio::spawn(async move {
            note.deliver(done).await;
            drop(leave);
        });
        if timeout_at(deadline, noted).await.is_err() {
            tracing::info!(request = %self.request.id(), "that nobody heard of a session's move is noted later");
        }
    }
}

/// That an answer which told of a session's moves has reached nobody.
struct Untold {
    shared: Arc<Shared>,
    session: Id,
    answer: request::Id,
}

impl Untold {
    /// Takes the note back that the answer has told.
    async fn write(&self, deadline: Instant) -> Result<(), Error> {
        let (journal, customer) = (&self.shared.links.journal, &self.answer.customer);
        // A session that nobody has bound yet gets an empty binding, which the
        // next choice replaces.
        let mut bound = journal.bind_session(customer, &self.session, &[], None, deadline).await?;
        loop {
            let untold = self.without_note(&bound);
            if untold == bound {
                return Ok(());
            }
            let won = journal.bind_session(customer, &self.session, &untold, Some(&bound), deadline).await?;
            if won == untold {
                return Ok(());
            }
            bound = won;
        }
    }

    fn without_note(&self, bound: &[Pin]) -> Vec<Pin> {
        let mut pins = bound.to_vec();
        let is_by_this = |left: &&mut Left| left.told.as_ref().is_some_and(|told| told.request == self.answer.key);
        for left in pins.iter_mut().filter_map(|pin| pin.left.as_mut()).filter(is_by_this) {
            left.told = None;
        }
        pins
    }

    /// Goes on until it is noted.
    async fn deliver(self, done: oneshot::Sender<()>) {
        let give_up = Instant::now() + UNTELL_FOR;
        loop {
            match self.write(Instant::now() + UNTELL_WITHIN).await {
                Ok(()) => {
                    // Nobody may be waiting any more.
                    let _ = done.send(());
                    return;
                }
                Err(error) if Instant::now() >= give_up => {
                    let session = &self.session;
                    tracing::warn!(request = %self.answer, %session, %error, "a session's move may stay untold");
                    return;
                }
                Err(_) => sleep(UNTELL_PAUSE).await,
            }
        }
    }
}

/// Answers that told of moves to versions which may answer now.
fn tellers<'a>(pins: &'a [Pin], answering: &[&Version]) -> Vec<&'a Teller> {
    let answers = |pin: &&Pin| answering.contains(&&pin.version);
    pins.iter().filter(answers).filter_map(|pin| pin.left.as_ref()?.told.as_ref()).collect()
}
