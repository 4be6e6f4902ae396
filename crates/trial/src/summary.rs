//! The summary a person reads.

use std::{fmt, time::Duration};

use crate::{
    books::Books,
    caller::{End, Sent},
    check::{self, Breach, Findings},
    plan::{Ask, Kind, Repeat, Session},
    traffic::Traffic,
    withdraw::Withdrawal,
};

/// Breaches shown in full.
const SHOWN: usize = 10;

/// One site's run in figures.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    site: String,
    requests: usize,
    streams: usize,
    in_sessions: usize,
    once: usize,
    repeats: usize,
    whole: usize,
    refused: usize,
    told: usize,
    retries: u32,
    took: Duration,
    latencies: Vec<Duration>,
    /// Keys told that they ran or may have run, with no answer to any caller.
    unanswered: usize,
    /// Idempotent repeats with another answer than the first.
    anew: usize,
    /// Idempotent repeats with two runs at a time.
    beside: usize,
    attempts: usize,
    effects: usize,
    bills: usize,
    withdrawal: Option<Withdrawal>,
    breaches: Vec<Breach>,
}

impl Summary {
    pub(crate) fn of(
        site: &str,
        traffic: &Traffic,
        books: &Books,
        withdrawal: Option<Withdrawal>,
        findings: Findings,
    ) -> Self {
        let mut summary = Self {
            site: site.into(),
            took: traffic.took,
            attempts: books.records.len(),
            effects: books.effects.len(),
            bills: books.bills.len(),
            beside: check::beside(traffic, books),
            withdrawal,
            breaches: findings.0,
            ..Self::default()
        };
        for played in &traffic.played {
            let in_session = played.script.session != Session::None;
            for (ask, sent) in played.script.asks.iter().zip(&played.sent) {
                summary.count_ask(ask, in_session, sent.len());
                let answered = !check::answers(sent).is_empty();
                let told = sent.iter().any(|request| matches!(request.end, End::Told(_)));
                summary.unanswered += usize::from(told && !answered);
                summary.anew += usize::from(check::answers(sent).len() > 1);
                for request in sent {
                    summary.count_request(request);
                }
            }
        }
        summary.breaches.sort();
        summary.latencies.sort();
        summary
    }

    /// Whether every promise held.
    pub(crate) fn holds(&self) -> bool {
        self.breaches.is_empty()
    }

    fn count_ask(&mut self, ask: &Ask, in_session: bool, requests: usize) {
        self.requests += requests;
        self.streams += if matches!(ask.kind, Kind::Chat { stream: true, .. }) { requests } else { 0 };
        self.in_sessions += if in_session { requests } else { 0 };
        self.once += if ask.runs_once() { requests } else { 0 };
        self.repeats += usize::from(ask.repeat != Repeat::No);
    }

    fn count_request(&mut self, request: &Sent) {
        match request.end {
            End::Whole(_) => self.whole += 1,
            End::Refused(_) => self.refused += 1,
            End::Told(_) => self.told += 1,
            End::Lost(_) => {}
        }
        self.retries += request.tries - 1;
        self.latencies.push(request.took);
    }

    fn latency(&self, share: usize) -> Duration {
        let place = self.latencies.len() * share / 100;
        self.latencies.get(place.min(self.latencies.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    fn count(&self, kind: fn(&Breach) -> bool) -> usize {
        self.breaches.iter().filter(|breach| kind(breach)).count()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.site)?;
        self.show_callers(f)?;
        self.show_records(f)?;
        self.show_promises(f)?;
        self.show_breaches(f)
    }
}

impl Summary {
    /// What callers sent and got.
    fn show_callers(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  sent       {} requests: {} streams, {} in sessions, {} that must not run twice, {} repeats elsewhere",
            self.requests, self.streams, self.in_sessions, self.once, self.repeats
        )?;
        writeln!(
            f,
            "  ended      {} whole answers, {} refused as not run, {} told that they ran or may have run ({} of these with no answer to any caller)",
            self.whole, self.refused, self.told, self.unanswered
        )?;
        writeln!(
            f,
            "  time       {:.1} s in all, {:?} for half of them, {:?} for 99 of 100, {} retries by callers",
            self.took.as_secs_f64(),
            self.latency(50),
            self.latency(99),
            self.retries
        )
    }

    /// What the stand-ins saw.
    fn show_records(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  records    {} attempts at engines, {} effects at services, {} bills in the object API",
            self.attempts, self.effects, self.bills
        )?;
        writeln!(
            f,
            "  repeats    {} of idempotent requests were answered anew, {} ran beside the first",
            self.anew, self.beside
        )?;
        if let Some(withdrawal) = &self.withdrawal {
            writeln!(f, "  withdrawn  {} in force everywhere after {:?}", withdrawal.version, withdrawal.took)?;
        }
        Ok(())
    }

    /// How often each promise was broken.
    fn show_promises(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  promises   {} lost, {} doubled, {} bills missing, {} bills doubled, {} bills wrong, {} false \"not run\", {} on other versions, {} on a withdrawn version, {} sessions moved unsaid",
            self.count(|breach| matches!(breach, Breach::Lost(_))),
            self.count(|breach| matches!(breach, Breach::Doubled(_))),
            self.count(|breach| matches!(breach, Breach::BillMissing(_))),
            self.count(|breach| matches!(breach, Breach::BillDoubled(_))),
            self.count(|breach| matches!(breach, Breach::BillWrong(_))),
            self.count(|breach| matches!(breach, Breach::FalseNotRun(_))),
            self.count(|breach| matches!(breach, Breach::Version(_))),
            self.count(|breach| matches!(breach, Breach::Withdrawn(_))),
            self.count(|breach| matches!(breach, Breach::Session(_))),
        )
    }

    fn show_breaches(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for breach in self.breaches.iter().take(SHOWN) {
            writeln!(f, "    {breach:?}")?;
        }
        if self.breaches.len() > SHOWN {
            writeln!(f, "    and {} more", self.breaches.len() - SHOWN)?;
        }
        Ok(())
    }
}
