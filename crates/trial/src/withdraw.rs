//! A version withdrawn under load, as an operator would.

use std::time::{Duration, Instant};

use operator::{Action, Change, Client, Outcome, Target};
use world::{Timestamp, rollout};

use crate::{caller, site::Error};

/// Longest wait until the withdrawal is in force everywhere.
const LONGEST: Duration = Duration::from_secs(10);

/// A withdrawal that every instance has in force.
#[derive(Debug, Clone)]
pub(crate) struct Withdrawal {
    /// `model@version`.
    pub(crate) version: String,
    /// When the last instance had it.
    pub(crate) since: Timestamp,
    /// From the operator's call until then.
    pub(crate) took: Duration,
}

/// Withdraws a roll-out's version and waits until every instance knows.
pub(crate) async fn withdraw(target: Target, name: rollout::Id, version: String) -> Result<Withdrawal, Error> {
    let start = Instant::now();
    let mut operator = Client::connect(&target).await.map_err(Error::Operator)?;
    let action = Action::Withdraw { reason: "the trial withdraws it".into() };
    let change = Change { id: uuid::Uuid::new_v4().to_string(), author: "trial".into(), edits: Vec::new() };
    let outcome = operator.rollout(&name, &action, &change).await.map_err(Error::Operator)?;
    let Outcome::Applied(applied) = outcome else {
        return Err(Error::Apply(format!("{outcome:?}")));
    };
    let mut progress = operator.wait(applied.generation, LONGEST).await.map_err(Error::Operator)?;
    while let Some(progress) = progress.next().await.map_err(Error::Operator)? {
        if progress.done {
            return Ok(Withdrawal { version, since: caller::now(), took: start.elapsed() });
        }
    }
    Err(Error::Apply(format!("the withdrawal was not in force everywhere within {LONGEST:?}")))
}
