//! Whether "not run" may be said of a key.
//!
//! A caller whose first try broke off repeats its key at another instance. A
//! refusal there is about the key, not only about the second try: told "not
//! run", the caller files the request anew under another key, and what the
//! first try did is done twice. So before an instance says "not run" of a key
//! that somebody else may have used, it asks the key's home. What only the
//! memory of an instance held is gone with it; a key made before the last loss
//! of an instance may have run there.
//!
//! An idempotent request runs without its home's word where the home does not
//! answer in time. So the home cannot rule out a run of such a key, and neither
//! can an instance that was the first to register it: "not run" is never said
//! of the key of an idempotent request. Its caller loses nothing by that, since
//! a repeat under the same key is safe whether it has run or not.

use std::{sync::atomic::Ordering, time::Duration};

use journal::{Error, Reason};
use timeline::Ran;
use tokio::time::Instant;
use world::{
    Timestamp,
    request::{KEY_SKEW, Key, Outcome, Repeat},
};

use crate::{
    ask::Terms,
    clock,
    problem::{Kind, Problem},
    shared::Shared,
};

/// Longest wait for the home's word; a refusal is not held back for more.
const ASK_WITHIN: Duration = Duration::from_millis(300);

impl Shared {
    /// Notes that an instance was lost now.
    pub fn note_loss(&self) {
        self.lost.store(clock::now().0, Ordering::Release);
    }

    /// Whether an instance was lost since a key was made, so that what it
    /// held in memory about the key is gone.
    ///
    /// The key's time is by the caller's clock, which may run ahead; a key
    /// that does not tell its time may be of any age.
    pub fn lost_since(&self, key: &Key) -> bool {
        let lost = Timestamp(self.lost.load(Ordering::Acquire));
        if lost.0 == 0 {
            return false;
        }
        key.made_at().is_none_or(|made_at| made_at <= lost.plus(KEY_SKEW))
    }

    /// Makes a refusal's "not run" true of its key, not only of this try.
    pub async fn truthful(&self, mut problem: Problem, terms: &Terms, repeat: Repeat) -> Problem {
        // With another body it is another request: nothing of it has run,
        // whatever became of the one that had the key before.
        let about_key = terms.keyed && problem.kind != Kind::KeyReused;
        if problem.ran == Ran::No && about_key {
            problem.ran = self.ran_elsewhere(terms, repeat).await;
        }
        problem
    }

    /// Whether another try under this key has run.
    async fn ran_elsewhere(&self, terms: &Terms, repeat: Repeat) -> Ran {
        if repeat == Repeat::Idempotent {
            return Ran::Unknown;
        }
        let lost = self.lost_since(&terms.id.key);
        let known = self.links.journal.outcome(&terms.id, Instant::now() + ASK_WITHIN).await;
        tracing::debug!(request = %terms.id, ?known, lost, "whether a refused key has run");
        match known {
            Ok(Some(Outcome::Answered)) => Ran::Yes,
            // The home has proved that it is the home: a claim that is not
            // there was never made.
            Ok(None | Some(Outcome::NotRun)) => Ran::No,
            Err(Error::NotRecorded(Reason::Unproved)) if !lost => Ran::No,
            // The home was not reached, has no state yet, or went with what it
            // knew: nobody can tell.
            Ok(_) | Err(_) => Ran::Unknown,
        }
    }
}
