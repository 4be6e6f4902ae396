//! A version withdrawn under load, as an operator would.

use std::time::{Duration, Instant};

use operator::{Action, Change, Client, Outcome, Target};
use world::{
    Timestamp,
    object::{Kind, Object},
    rollout::{self, State},
};

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
    let generation = withdrawn_in(&mut operator, &name).await?;
    let mut progress = operator.wait(generation, LONGEST).await.map_err(Error::Operator)?;
    while let Some(progress) = progress.next().await.map_err(Error::Operator)? {
        if progress.done {
            return Ok(Withdrawal { version, since: caller::now(), took: start.elapsed() });
        }
    }
    Err(Error::Apply(format!("the withdrawal was not in force everywhere within {LONGEST:?}")))
}

/// The generation that has the withdrawal: the operator's, or that of the
/// guard, which may have been faster where the version is bad.
async fn withdrawn_in(operator: &mut Client, name: &rollout::Id) -> Result<u64, Error> {
    let action = Action::Withdraw { reason: "the trial withdraws it".into() };
    let change = Change { id: uuid::Uuid::new_v4().to_string(), author: "trial".into(), edits: Vec::new() };
    let outcome = operator.rollout(name, &action, &change).await;
    if let Ok(Outcome::Applied(applied)) = outcome {
        return Ok(applied.generation);
    }
    let stored = operator.get(Some(Kind::Rollout), Some(name.as_str())).await.map_err(Error::Operator)?;
    let is_withdrawn = |object: &Object| matches!(object, Object::Rollout(_, r) if r.state == State::Withdrawn);
    if !stored.iter().any(|stored| is_withdrawn(&stored.object)) {
        return Err(Error::Apply(format!("{outcome:?}")));
    }
    Ok(operator.status().await.map_err(Error::Operator)?.generation)
}
