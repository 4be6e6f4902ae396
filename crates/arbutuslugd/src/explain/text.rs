//! An explanation for people.

use std::fmt::{self, Write as _};

use relay::explain::{Decision, Endpoint, Explanation, Queued, Refused, Sent};

/// Returns the explanation as lines of text.
pub fn render(explanation: &Explanation) -> String {
    let mut text = String::new();
    write(&mut text, explanation).expect("a string takes any text");
    text
}

fn write(text: &mut String, explanation: &Explanation) -> fmt::Result {
    let Explanation { instance, catalog, era, route, team, rank, service, model, model_reason, .. } = explanation;
    let or_none = |value: Option<String>| value.unwrap_or_else(|| "none".into());
    writeln!(
        text,
        "instance {instance}, catalog {}, store era {}",
        or_none(catalog.map(|version| version.to_string())),
        or_none(era.map(|era| era.to_string()))
    )?;
    writeln!(
        text,
        "route {}, team {}, rank {}, service {}",
        or_none(route.clone()),
        or_none(team.clone()),
        or_none(rank.map(|rank| rank.to_string())),
        or_none(service.clone())
    )?;
    if let Some(reason) = model_reason {
        writeln!(text, "model {}: {reason}", model.as_deref().unwrap_or("not chosen here"))?;
    }
    for estimate in &explanation.models {
        let now = estimate.now_ms.map_or_else(|| "no endpoint now".into(), |now| format!("{now:.0} ms now"));
        let (name, price, idle) = (&estimate.name, estimate.price, estimate.idle_ms);
        writeln!(text, "  {name}: price {price:.2}, first event after {now}, {idle:.0} ms at an idle endpoint")?;
    }
    match &explanation.decision {
        Decision::Sent(sent) => write_sent(text, "sent", sent)?,
        Decision::Queued(queued) => write_queued(text, queued)?,
        Decision::Refused(refused) => write_refused(text, "refused", refused)?,
    }
    if explanation.is_drawn {
        writeln!(text, "a random draw takes part; this is one, and the next may differ")?;
    }
    if !explanation.endpoints.is_empty() {
        writeln!(text, "endpoints:")?;
    }
    explanation.endpoints.iter().try_for_each(|endpoint| write_endpoint(text, endpoint))
}

fn write_sent(text: &mut String, verb: &str, sent: &Sent) -> fmt::Result {
    let to = sent.endpoint.as_deref().unwrap_or("another instance");
    writeln!(text, "{verb} to {to}: {}", sent.reason)?;
    if let (Some(wait), Some(first_byte)) = (sent.wait_ms, sent.first_byte_ms) {
        writeln!(text, "  expected wait there {wait:.1} ms, first byte after {first_byte:.1} ms")?;
    }
    // Shorter times are those of the decision itself.
    if sent.held_ms >= 10.0 {
        writeln!(text, "  held here for {:.0} ms until an endpoint takes it", sent.held_ms)?;
    }
    if let Some(priority) = sent.priority {
        writeln!(text, "  priority {priority} at engines")?;
    }
    Ok(())
}

fn write_queued(text: &mut String, queued: &Queued) -> fmt::Result {
    let position = match (queued.position, queued.position_after) {
        (Some(position), _) => position.to_string(),
        (None, Some(turns)) => format!("after {turns}"),
        (None, None) => "unknown".into(),
    };
    let (waiting, wait) = (queued.waiting, queued.wait_ms);
    writeln!(text, "queued: position {position} of {waiting}, expected wait {wait:.0} ms")?;
    match (&queued.then, &queued.then_refused) {
        (Some(sent), _) => write_sent(text, "then, as of now, sent", sent),
        (None, Some(refused)) => write_refused(text, "then, as of now, refused", refused),
        (None, None) => writeln!(text, "no endpoint takes it now"),
    }
}

fn write_refused(text: &mut String, verb: &str, refused: &Refused) -> fmt::Result {
    writeln!(text, "{verb}: {} ({}), {}", refused.reason, refused.status, refused.message)?;
    if let Some(after) = refused.retry_after_ms {
        let spread = refused.spread_ms.unwrap_or_default();
        writeln!(text, "  Retry-After {after:.0} ms and up to {spread:.0} ms more")?;
    }
    if let (Some(wait), Some(left), Some(news)) = (refused.wait_ms, refused.left_ms, refused.oldest_news_ms) {
        writeln!(text, "  expected wait {wait:.0} ms, {left:.0} ms left, oldest demands used {news:.0} ms old")?;
    }
    Ok(())
}

fn write_endpoint(text: &mut String, endpoint: &Endpoint) -> fmt::Result {
    let Endpoint { id, domain, version, slots, room, own_runs, reported_runs, backlog_ms, standing, .. } = endpoint;
    let mark = if endpoint.is_selected { '>' } else { ' ' };
    write!(text, "{mark} {id} ({domain}, {version}): {own_runs} own and {reported_runs:.1} reported runs")?;
    if let Some(age) = endpoint.report_age_ms {
        write!(text, " {age:.0} ms old")?;
    }
    write!(text, ", {slots} slots, room {room}, backlog {backlog_ms:.0} ms")?;
    if let Some(pace) = endpoint.pace {
        write!(text, ", pace {pace:.2}")?;
    }
    if endpoint.holds_prompt {
        write!(text, ", holds the prompt")?;
    } else if endpoint.holds_part {
        write!(text, ", holds the part")?;
    }
    if let Some(left) = endpoint.warm_in_ms {
        write!(text, ", warm in {left:.0} ms")?;
    }
    if let Some(cost) = endpoint.cost_ms {
        write!(text, ", cost {cost:.1} ms")?;
    }
    writeln!(text, "; {}", if endpoint.is_selected { "selected" } else { standing })
}
