//! Checks whether a refusal may state that a request has not run.
//!
//! A caller whose first call broke off sends the request again with the same key to
//! another instance. A refusal there concerns the key, not only the second call: on
//! "not run" the caller sends the request with a new key, and the work of the first
//! call is done twice. So before an instance states "not run" for a key that may have
//! been used elsewhere, it asks the key's home instance, which holds the key's record.
//! State that an instance held only in memory is lost with it, so a request whose key
//! was made before the last loss of an instance may have run there.
//!
//! An idempotent request runs without its home's response if the home does not
//! answer in time. So neither the home nor an instance that was the first to register
//! the key can rule out a run, and "not run" is never stated for the key of an
//! idempotent request. This costs its caller nothing, since a repeat under the same
//! key is safe whether the request has run or not.

use std::{sync::atomic::Ordering, time::Duration};

use journal::{Error, Reason};
use timeline::Ran;
use tokio::time::Instant;
use world::{
    Timestamp,
    request::{KEY_SKEW, Key, Outcome, Repeat},
};

use crate::{
    clock,
    parsing::Terms,
    problem::{Kind, Problem},
    shared::Shared,
};

/// Longest wait for the home instance's response, which delays the refusal.
const HOME_TIMEOUT: Duration = Duration::from_millis(300);

impl Shared {
    /// Records that an instance was lost now.
    pub fn record_instance_loss(&self) {
        self.last_loss_ms.store(clock::now().0, Ordering::Release);
    }

    /// Returns whether an instance was lost since a key was made, and with it what it
    /// held in memory about the key.
    ///
    /// The key's timestamp is from the caller's clock, which may run ahead. A key
    /// without a timestamp may be of any age.
    pub fn instance_lost_since(&self, key: &Key) -> bool {
        let lost = Timestamp(self.last_loss_ms.load(Ordering::Acquire));
        if lost.0 == 0 {
            return false;
        }
        key.made_at().is_none_or(|made_at| made_at <= lost.plus(KEY_SKEW))
    }

    /// Corrects a refusal's "not run" so that it holds for the key, not only for this
    /// call.
    pub async fn correct_ran(&self, mut problem: Problem, terms: &Terms, repeat: Repeat) -> Problem {
        // A reused key with another body is another request, which has not run,
        // whatever the outcome of the request that used the key before.
        let about_key = terms.has_caller_key && problem.kind != Kind::KeyReused;
        if problem.ran == Ran::No && about_key {
            problem.ran = self.ran_elsewhere(terms, repeat).await;
        }
        problem
    }

    /// Returns whether the request has run in another call with this key.
    async fn ran_elsewhere(&self, terms: &Terms, repeat: Repeat) -> Ran {
        if repeat == Repeat::Idempotent {
            return Ran::Unknown;
        }
        let lost = self.instance_lost_since(&terms.id.key);
        let known = self.links.journal.outcome(&terms.id, Instant::now() + HOME_TIMEOUT).await;
        tracing::debug!(request = %terms.id, ?known, lost, "asked the home instance whether a refused request has run");
        match known {
            Ok(Some(Outcome::Answered)) => Ran::Yes,
            // The home has proved that it is the home, so a claim that it does not
            // have was never made.
            Ok(None | Some(Outcome::NotRun)) => Ran::No,
            Err(Error::NotRecorded(Reason::Unproved)) if !lost => Ran::No,
            // The home was not reached, has no state yet, or was lost with its state,
            // so the outcome is unknown.
            Ok(_) | Err(_) => Ran::Unknown,
        }
    }
}
