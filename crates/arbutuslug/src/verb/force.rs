//! `wait GENERATION`, and the wait that ends each change.

use std::time::Duration;

use operator::{Error, Member, Progress};
use tokio::time::Instant;
use world::instance::State;

use crate::{console::Console, exit::Failure, fleet::Fleet};

/// Pause before another instance is asked.
const PAUSE: Duration = Duration::from_millis(250);

/// `wait GENERATION`
pub(crate) async fn run(
    fleet: Fleet<'_>,
    generation: u64,
    longest: Duration,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    until(fleet, generation, longest, console).await?;
    console.print(&format!("generation {generation} is in force at every instance"))
}

/// Waits until a generation is in force everywhere, with progress on standard
/// error; no time does not wait.
pub(crate) async fn until(
    fleet: Fleet<'_>,
    generation: u64,
    longest: Duration,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    if longest.is_zero() {
        return Ok(());
    }
    let deadline = Instant::now() + longest;
    let mut last = Watch::default();
    while Instant::now() < deadline {
        let watched = tokio::time::timeout_at(deadline, last.watch(fleet, generation, deadline, console)).await;
        match watched {
            Ok(Ok(true)) => return Ok(()),
            Ok(Err(error @ (Error::Refused { .. } | Error::Malformed(_)))) => return Err(error.into()),
            // Its instance is gone or its bound is over: ask another.
            Ok(Ok(false) | Err(_)) => tokio::time::sleep(PAUSE).await,
            Err(_) => break,
        }
    }
    Err(last.lagging(generation))
}

/// What was seen last.
#[derive(Default)]
struct Watch {
    progress: Option<Progress>,
    told: String,
}

impl Watch {
    /// Follows one instance's view; whether the generation came into force.
    async fn watch(
        &mut self,
        fleet: Fleet<'_>,
        generation: u64,
        deadline: Instant,
        console: &mut Console<'_>,
    ) -> Result<bool, Error> {
        let mut client = fleet.connect().await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let mut messages = client.wait(generation, left).await?;
        while let Some(progress) = messages.next().await? {
            self.tell(&progress, console);
            let done = progress.done;
            self.progress = Some(progress);
            if done {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Tells progress when there is any.
    fn tell(&mut self, progress: &Progress, console: &mut Console<'_>) {
        let counted = progress.instances.iter().filter(|member| member.state != State::Gone).count();
        let lagging = names(progress);
        let reached = counted - lagging.len();
        let mut line = format!("generation {}: in force at {reached} of {counted}", progress.generation);
        if !lagging.is_empty() {
            line = format!("{line}, waiting for {}", lagging.join(", "));
        }
        if line != self.told {
            console.note(&line);
            self.told = line;
        }
    }

    fn lagging(&self, generation: u64) -> Failure {
        let lagging = match &self.progress {
            Some(progress) => names(progress).join(", "),
            None => "every instance, none answered".into(),
        };
        Failure::Unknown(format!(
            "generation {generation} is accepted and not yet in force at: {lagging}; \
             see `arbutuslug status`, and wait on with `arbutuslug wait {generation}`"
        ))
    }
}

fn names(progress: &Progress) -> Vec<String> {
    progress.instances.iter().filter(|member| member.lags(progress.generation)).map(lag).collect()
}

fn lag(member: &Member) -> String {
    match (&member.silent, member.generation) {
        (Some(cause), _) => format!("{} (does not answer: {cause})", member.id),
        (None, Some(generation)) => format!("{} (generation {generation})", member.id),
        (None, None) => format!("{} (does not answer)", member.id),
    }
}
