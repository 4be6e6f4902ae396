//! Events in words.

use std::time::{Duration, UNIX_EPOCH};

use timeline::{Event, Found, GrantMove, OutageStep, Phase, Ran, Step, Wanted, merge::Gap};
use world::{Timestamp, model::Version};

/// A time for people, UTC.
pub(crate) fn time(at: Timestamp) -> String {
    // Times past humantime's last year would panic there.
    const LATEST_MS: u64 = 253_402_300_799_000;
    let at = UNIX_EPOCH + Duration::from_millis(at.0.min(LATEST_MS));
    humantime::format_rfc3339_millis(at).to_string()
}

/// An event in one line.
pub(crate) fn event(event: &Event) -> String {
    match event {
        Event::Request { request, step } => format!("{request} {}", self::step(step)),
        Event::Configuration { generation } => format!("generation {generation} in force"),
        Event::Edit { generation, objects } => {
            let objects: Vec<_> = objects.iter().map(ToString::to_string).collect();
            format!("generation {generation} made: {}", objects.join(", "))
        }
        Event::Rollout { rollout, version, phase, reason } => {
            format!("{rollout} of {version} {}: {reason}", self::phase(*phase))
        }
        Event::Order { endpoint, version, wanted, epoch, outcome } => {
            let verb = match wanted {
                Wanted::Loaded => "load",
                Wanted::Dropped => "drop",
            };
            format!("ordered {endpoint} to {verb} {version} under epoch {epoch}: {outcome}")
        }
        Event::Stop { version, by, reason } => format!("{version} stopped by {by}: {reason}"),
        Event::TakeOver { holding, epoch, from } => match from {
            Some(from) => format!("took {holding} over from {from}, epoch {epoch}"),
            None => format!("took {holding}, epoch {epoch}"),
        },
        Event::HandOver { holding, epoch, reason } => format!("lost {holding} to epoch {epoch}: {reason}"),
        Event::Membership { instance, incarnation, state } => {
            format!("{instance} (run {incarnation}) is {}", format!("{state:?}").to_lowercase())
        }
        Event::Grant { customer, action, amount, currency } => {
            format!("{customer}: grant {} {amount} {currency}", grant(*action))
        }
        Event::Outage { step: OutageStep::Begun } => "platform silent".into(),
        Event::Outage { step: OutageStep::Ended { lasted_ms } } => format!("platform back after {lasted_ms} ms"),
        Event::Freshness { fresh: true, .. } => "configuration fresh, new work may start".into(),
        Event::Freshness { fresh: false, age_ms } => {
            format!("configuration {age_ms} ms old, too old for new work")
        }
        Event::Lifecycle { state, in_flight } => {
            format!("this instance is {} with {in_flight} requests in flight", format!("{state:?}").to_lowercase())
        }
        Event::ClockSkew { ahead_ms } => format!("a peer's clock is {ahead_ms} ms ahead; set the instances' clocks"),
    }
}

/// What is missing, and where it may still be found.
pub(crate) fn gap(gap: &Gap) -> String {
    match gap {
        Gap::Overflow { source, before } => {
            let before = time(before.timestamp());
            format!(
                "{}: records up to {before} may be missing, its ring overflowed; look in its log lines",
                source.instance
            )
        }
        Gap::Limited { source, before } => {
            let before = time(before.timestamp());
            format!("{}: records up to {before} are left out; raise --limit or filter", source.instance)
        }
        Gap::Silent { instance, cause } => {
            format!("{instance}: no records, it did not answer ({cause}); look in its log lines")
        }
    }
}

fn found(found: Found) -> &'static str {
    match found {
        Found::Nothing => "its key was not used before",
        Found::Ended => "its key was used before, and may have run",
        Found::Running => "it runs at another instance",
        Found::Recorded => "it was answered or claimed before",
        Found::NoAnswer => "the key's home did not answer, so it runs without its word",
    }
}

/// A request's step in words.
pub(crate) fn step(step: &Step) -> String {
    match step {
        Step::Received { model, service, .. } => match (model, service) {
            (Some(model), _) => format!("received for model {model}"),
            (None, Some(service)) => format!("received for service {service}"),
            (None, None) => "received".into(),
        },
        Step::Admitted { queued_ms } => format!("admitted after {queued_ms} ms in the queue"),
        Step::Claimed { home } => format!("claimed at {home}"),
        Step::Registered { found } => format!("registered: {}", self::found(*found)),
        Step::Joined { home } => format!("joined the same request running at {home}"),
        Step::Chosen { version, tier, reason } => format!("chose {version}, tier {tier}: {reason}"),
        Step::Dispatched { attempt, version, endpoint, reason } => {
            format!("attempt {attempt}{} sent to {endpoint}: {reason}", of(version.as_ref()))
        }
        Step::Broken { attempt, frames, cause } => format!("attempt {attempt} broke after {frames} frames: {cause}"),
        Step::Resumed { attempt, frames } => format!("attempt {attempt} resumed after {frames} frames"),
        Step::Failed { attempt, ran, cause } => format!("attempt {attempt} failed, {}: {cause}", self::ran(*ran)),
        Step::SessionMoved { from, to } => format!("session moved from {from} to {to}"),
        Step::Rated { version, score } => format!("answer of {version} rated {score}"),
        Step::Escalated { from, to, reason } => format!("escalated from {from} to {to}: {reason}"),
        Step::Billed { version, cost, currency, attempts } => {
            format!("billed {cost} {currency}{} over {attempts} attempts", of(version.as_ref()))
        }
        Step::Finished { frames, took_ms } => format!("last frame of {frames} after {took_ms} ms"),
        Step::Refused { ran, problem, detail } => format!("refused, {}: {problem}: {detail}", self::ran(*ran)),
        Step::Abandoned { frames } => format!("caller gone after {frames} frames"),
    }
}

fn of(version: Option<&Version>) -> String {
    version.map(|version| format!(" of {version}")).unwrap_or_default()
}

fn ran(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "not run",
        Ran::Yes => "run",
        Ran::Unknown => "may have run",
    }
}

fn phase(phase: Phase) -> String {
    match phase {
        Phase::Loading => "loading".into(),
        Phase::Exposing { share } => format!("exposed to {share} of sessions"),
        Phase::Paused => "paused".into(),
        Phase::Promoted => "promoted".into(),
        Phase::Withdrawn => "withdrawn".into(),
    }
}

fn grant(action: GrantMove) -> &'static str {
    match action {
        GrantMove::Taken => "taken",
        GrantMove::Returned => "returned",
        GrantMove::Settled => "settled, spent",
        GrantMove::Exhausted => "refused, left in the budget",
    }
}
