//! What a home does with the answers of the platform.

use rand::Rng;
use store::Write;
use tokio::time::Instant;

use super::{Event, Phase, Proof, REOPEN, Task, active::Opening, reply};
use crate::{
    Reason,
    load::{self, Failure},
    op::Reply,
};

impl Task {
    pub(super) fn on_event(&mut self, event: Event) {
        match event {
            Event::Opened(Ok(mut active)) => {
                active.state.open_at(self.setting.config.clock.now());
                self.note(|holding| timeline::Event::TakeOver { holding, epoch: active.last.0, from: None });
                self.phase = Phase::Home(active);
            }
            Event::Opened(Err(opening)) => {
                tracing::info!(shard = self.shard.0, %opening, "shard not opened, will try again");
                self.stalled = matches!(opening, Opening::Failed(Failure::Platform(_)));
                for message in self.queue.drain(..) {
                    reply(message, Reply::NotHome);
                }
                self.away();
            }
            Event::Written { token, result } => self.on_written(token, result),
            Event::Covered { token, done } => {
                if let Phase::Home(active) = &mut self.phase {
                    active.on_covered(token, done);
                }
            }
            Event::Proved { token, proof } => self.on_proved(token, proof),
        }
    }

    fn on_written(&mut self, token: u64, result: Result<Write, store::Error>) {
        let Phase::Home(active) = &mut self.phase else {
            return;
        };
        if active.flight.as_ref().is_none_or(|flight| flight.token != token) {
            return;
        }
        match result {
            Ok(Write::Done(item)) => active.on_durable(load::bare(item)),
            Ok(Write::Lost { .. }) => self.replaced(),
            Err(error) => {
                // The segment cannot be written as it is; nothing of it counts.
                tracing::error!(%error, shard = self.shard.0, "segment refused by the platform");
                self.replaced();
            }
        }
    }

    /// Another home has opened the shard: this state counts no more.
    fn replaced(&mut self) {
        metrics::counter!("journal_homes_replaced_total").increment(1);
        tracing::info!(shard = self.shard.0, "replaced as the home of a shard");
        let Phase::Home(active) = std::mem::replace(&mut self.phase, Phase::Away { until: Instant::now() }) else {
            return;
        };
        self.note(|holding| {
            let reason = "another instance opened the shard".into();
            // Whoever opened it took the number after our last.
            timeline::Event::HandOver { holding, epoch: active.last.0 + 1, reason }
        });
        // A lost race means "not recorded" nearly always, but a segment that
        // arrived late and was then overwritten looks the same. Asking the new
        // home again is safe either way: nonces make repeats harmless.
        for (message, _) in active.flight.into_iter().flat_map(|flight| flight.waiting) {
            reply(message, Reply::Unknown);
        }
        self.away();
    }

    fn note(&self, event: impl FnOnce(timeline::Holding) -> timeline::Event) {
        if let Some(recorder) = &self.setting.config.recorder {
            let holding = timeline::Holding::Shard { journal: "journal".into(), shard: u32::from(self.shard.0) };
            recorder.record(event(holding));
        }
    }

    fn away(&mut self) {
        let wait = REOPEN.mul_f64(self.rng.random_range(0.5..1.5));
        self.phase = Phase::Away { until: Instant::now() + wait };
    }

    fn on_proved(&mut self, token: u64, proof: Proof) {
        let Phase::Home(active) = &mut self.phase else {
            return;
        };
        let Some((_, promises)) = active.proving.take_if(|(asked, _)| *asked == token) else {
            return;
        };
        for (sender, answer) in promises {
            let answer = match proof {
                Proof::Home => answer,
                Proof::Replaced => Reply::NotHome,
                Proof::Unproved => Reply::Refused(Reason::Unproved),
            };
            let _ = sender.send(answer);
        }
        if proof == Proof::Replaced && active.flight.is_none() {
            self.replaced();
        }
    }
}
