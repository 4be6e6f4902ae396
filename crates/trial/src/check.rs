//! Holds what callers got against the stand-ins' own records.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, HashSet};

use standin::{answer, engine, service};
use world::{Catalog, Timestamp, contract::Customer, model::Version, request};

use crate::{
    books::Books,
    caller::{End, NotRun, Sent},
    plan::{Ask, Repeat, Script, Session},
    traffic::{Played, Traffic},
    withdraw::Withdrawal,
};

/// A promise that was broken, and by what.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Breach {
    /// No whole answer, no refusal, nothing told.
    Lost(String),
    /// Ran twice and must not.
    Doubled(String),
    /// A whole answer without a bill.
    BillMissing(String),
    /// More than one bill, or one for what was never run.
    BillDoubled(String),
    /// A bill over another amount than the engine's record makes.
    BillWrong(String),
    /// Told "not run", yet it ran.
    FalseNotRun(String),
    /// Ran on a version that the contract does not allow.
    Version(String),
    /// New work on a version after its withdrawal was in force everywhere.
    Withdrawn(String),
    /// A session changed its version and was not told.
    Session(String),
}

/// Breaches of every kind; empty when all promises held.
#[derive(Debug, Default)]
pub(crate) struct Findings(pub(crate) Vec<Breach>);

/// Where a request ran, by its tag.
#[derive(Debug, Default)]
struct Runs<'a> {
    chats: HashMap<&'a str, Vec<&'a engine::Record>>,
    calls: HashMap<String, Vec<&'a service::Effect>>,
}

/// Every breach.
pub(crate) fn check(catalog: &Catalog, traffic: &Traffic, books: &Books, withdrawal: Option<&Withdrawal>) -> Findings {
    let runs = Runs::of(books);
    let mut findings = Findings::default();
    let mut known = HashSet::new();
    for played in &traffic.played {
        for (ask, sent) in played.script.asks.iter().zip(&played.sent) {
            let id = request_id(&played.script.customer, &sent[0]);
            findings.check_ends(ask, sent);
            findings.check_runs(catalog, &played.script.customer, ask, sent, &runs);
            findings.check_bills(&id, sent, books);
            findings.check_amounts(catalog, &id, ask, sent, books, &runs);
            findings.check_withdrawal(ask, &runs, withdrawal);
            known.insert(id);
        }
        findings.check_session(catalog, played);
    }
    for id in books.bills.keys().filter(|id| !known.contains(*id)) {
        findings.0.push(Breach::BillDoubled(format!("{id} is billed and was never asked")));
    }
    findings
}

/// The unlike answers of one key.
pub(crate) fn answers(sent: &[Sent]) -> Vec<&str> {
    let mut answers = Vec::new();
    for request in sent {
        if let End::Whole(whole) = &request.end
            && !answers.contains(&whole.text.as_str())
        {
            answers.push(whole.text.as_str());
        }
    }
    answers
}

/// Idempotent asks with two runs at one time; a repeat should have joined.
pub(crate) fn beside(traffic: &Traffic, books: &Books) -> usize {
    let runs = Runs::of(books);
    let repeated = |ask: &&Ask| !ask.runs_once() && ask.repeat != Repeat::No;
    let asks = traffic.played.iter().flat_map(|played| &played.script.asks).filter(repeated);
    asks.filter(|ask| runs.chats.get(ask.tag.as_str()).is_some_and(|records| overlap(records))).count()
}

fn overlap(records: &[&engine::Record]) -> bool {
    let mut spans: Vec<_> = records.iter().map(|record| (record.received, record.ended)).collect();
    spans.sort_unstable_by_key(|(received, _)| *received);
    spans.windows(2).any(|pair| pair[0].1.is_none_or(|ended| ended > pair[1].0))
}

impl<'a> Runs<'a> {
    fn of(books: &'a Books) -> Self {
        let mut runs = Self::default();
        for record in &books.records {
            runs.chats.entry(tag_of_prompt(&record.prompt)).or_default().push(record);
        }
        for effect in &books.effects {
            runs.calls.entry(tag_of_body(&effect.body)).or_default().push(effect);
        }
        runs
    }
}

impl Findings {
    fn check_ends(&mut self, ask: &Ask, sent: &[Sent]) {
        for request in sent {
            if let End::Lost(why) = &request.end {
                self.0.push(Breach::Lost(format!("{}: {why}", request.tag)));
            }
        }
        // An idempotent request that is sent again after its end may run anew
        // and be answered by another version; one that runs once may not.
        if !ask.runs_once() {
            return;
        }
        if let [first, second] = answers(sent)[..] {
            self.0.push(Breach::Doubled(format!("{ask:?}: two answers, `{first}` and `{second}`")));
        }
    }

    fn check_runs(&mut self, catalog: &Catalog, customer: &Customer, ask: &Ask, sent: &[Sent], runs: &Runs<'_>) {
        let chats = runs.chats.get(ask.tag.as_str()).map_or(&[][..], Vec::as_slice);
        let calls = runs.calls.get(&ask.tag).map_or(&[][..], Vec::as_slice);
        if ask.runs_once() && chats.len() + calls.len() > 1 {
            let attempts: Vec<_> = chats.iter().map(|record| &record.attempt).collect();
            self.0.push(Breach::Doubled(format!("{}: {} effects, attempts {attempts:?}", ask.tag, calls.len())));
        }
        let started = chats.iter().map(|record| record.received).chain(calls.iter().map(|effect| effect.received));
        if let Some(first) = started.min()
            && let Some(not_run) = false_not_run(sent, first)
        {
            let late = not_run.told.since(first);
            self.0.push(Breach::FalseNotRun(format!("{ask:?}: ran {late} ms before, {}", not_run.detail)));
        }
        for record in chats.iter().filter(|record| !allowed(catalog, customer, &record.version)) {
            self.0.push(Breach::Version(format!("{}: {customer} on {}", ask.tag, record.version)));
        }
    }

    fn check_bills(&mut self, id: &request::Id, sent: &[Sent], books: &Books) {
        let count = books.bills.get(id).map_or(0, Vec::len);
        let whole = sent.iter().any(|request| matches!(request.end, End::Whole(_)));
        let refused = sent.iter().all(|request| matches!(request.end, End::Refused(_)));
        if whole && count == 0 {
            self.0.push(Breach::BillMissing(format!("{id} ({})", sent[0].tag)));
        }
        if count > 1 {
            let bills = &books.bills[id];
            self.0.push(Breach::BillDoubled(format!("{id} has unlike bills: {bills:?}")));
        }
        if refused && count > 0 {
            self.0.push(Breach::BillDoubled(format!("{id} was refused and has {count} bills")));
        }
    }

    /// A request that took one run costs what the engine counted.
    fn check_amounts(
        &mut self,
        catalog: &Catalog,
        id: &request::Id,
        ask: &Ask,
        sent: &[Sent],
        books: &Books,
        runs: &Runs<'_>,
    ) {
        let Some([record]) = runs.chats.get(ask.tag.as_str()).map(Vec::as_slice) else { return };
        let Some([bill]) = books.bills.get(id).map(Vec::as_slice) else { return };
        let release = Version::parse(&record.version).ok().and_then(|version| catalog.release(&version).cloned());
        let whole = sent.iter().any(|request| matches!(request.end, End::Whole(_)));
        let Some(release) = release.filter(|_| whole && record.end == Some(engine::End::Completed)) else { return };
        let due = release.price.cost(answer::prompt_tokens(&record.prompt), record.tokens);
        if bill.amount != due {
            self.0.push(Breach::BillWrong(format!("{id} is billed {} for {due}", bill.amount)));
        }
    }

    /// A withdrawn version gets no new work. A run that goes on after a break
    /// is none: its first start counts.
    fn check_withdrawal(&mut self, ask: &Ask, runs: &Runs<'_>, withdrawal: Option<&Withdrawal>) {
        let (Some(records), Some(withdrawal)) = (runs.chats.get(ask.tag.as_str()), withdrawal) else { return };
        let starts = records.iter().filter(|record| record.version == withdrawal.version);
        let Some(start) = starts.map(|record| record.received).min() else { return };
        if start > withdrawal.since {
            let late = start.since(withdrawal.since);
            self.0.push(Breach::Withdrawn(format!("{}: {} started {late} ms later", ask.tag, withdrawal.version)));
        }
    }

    fn check_session(&mut self, catalog: &Catalog, played: &Played) {
        let Script { session, .. } = &played.script;
        if *session == Session::None {
            return;
        }
        let mut pins: BTreeMap<u8, String> = BTreeMap::new();
        for sent in &played.sent {
            let mut ends: Vec<(usize, &Sent)> = sent.iter().enumerate().collect();
            ends.sort_by_key(|(_, sent)| sent.ended);
            for (place, sent) in ends {
                for left in told_moves(sent) {
                    pins.retain(|_, pinned| pinned != left);
                }
                let (0, End::Whole(whole)) = (place, &sent.end) else { continue };
                let Some(tier) = tier(catalog, &whole.version) else { continue };
                let before = pins.insert(tier, whole.version.clone());
                if let Some(before) = before.filter(|before| *before != whole.version) {
                    let text = format!("{}: {session:?} went from {before} to {}", sent.tag, whole.version);
                    self.0.push(Breach::Session(text));
                }
            }
        }
    }
}

/// The versions that a whole answer told its session to have left.
///
/// The word counts whichever tier answered: an answer that was escalated may
/// tell of a move in the tier below, where the session's next answer comes
/// from. And it counts on either of a caller's two connections with one key,
/// from when its answer was whole.
fn told_moves(sent: &Sent) -> impl Iterator<Item = &str> {
    let told = if let End::Whole(whole) = &sent.end { whole.moved_off.as_deref() } else { None };
    told.into_iter().flat_map(|versions| versions.split(", "))
}

/// A "not run" that was told after the first run began, to whichever of a key's
/// callers.
fn false_not_run(sent: &[Sent], first: Timestamp) -> Option<&NotRun> {
    sent.iter().flat_map(|request| &request.not_run).find(|not_run| not_run.told > first)
}

/// The request that a key of a customer names.
pub(crate) fn request_id(customer: &Customer, sent: &Sent) -> request::Id {
    let key = request::Key::parse(&sent.key).expect("a UUID is a name");
    request::Id { customer: customer.clone(), key }
}

fn allowed(catalog: &Catalog, customer: &Customer, version: &str) -> bool {
    let (Some(contract), Ok(version)) = (catalog.contract(customer), Version::parse(version)) else {
        return false;
    };
    contract.models.iter().any(|entry| entry.model == version.model && entry.versions.contains(&version.number))
}

fn tier(catalog: &Catalog, version: &str) -> Option<u8> {
    Some(catalog.release(&Version::parse(version).ok()?)?.tier)
}

/// The tag that starts the user's message.
fn tag_of_prompt(prompt: &str) -> &str {
    let message = prompt.rsplit("user: ").next().unwrap_or_default();
    message.split_whitespace().next().unwrap_or_default()
}

fn tag_of_body(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["tag"].as_str().unwrap_or_default().into()
}
