//! Reading an answer: writing its frames to the answer buffer and resuming or reporting
//! broken streams.

use endpoint::{Broken, Frame};
use route::{endpoint::Failure, retry};
use timeline::{Ran, Step};
use tokio::time::Instant;

use super::{Attempt, Driver};
use crate::{
    clock,
    dispatcher::Ending,
    machine::Event,
    problem::{Kind, Problem},
};

/// Error: another endpoint's text does not begin with the text already sent.
pub(super) struct Diverged;

impl Driver {
    /// Reads until the first frame; after it, until the end or a break.
    pub(super) async fn read(&mut self) -> Event {
        if self.answer.reply.is_some() {
            self.write_head();
            return Event::Whole;
        }
        loop {
            let Some(run) = self.attempt.as_mut().and_then(|attempt| attempt.run.as_mut()) else {
                return Event::Fault;
            };
            match run.next().await {
                Some(Ok(Frame::Token { text, .. })) => {
                    let first = self.count_frame();
                    if self.accept_text(&text).await.is_err() {
                        return self.fail_diverged();
                    }
                    if first {
                        return Event::Frame;
                    }
                }
                Some(Ok(Frame::Finish { reason, usage, .. })) => {
                    self.answer.last_frame = Some((reason, usage));
                    return self.complete_attempt();
                }
                Some(Err(broken)) => return self.record_break(broken),
                None => return self.record_break(Broken::Cut),
            }
        }
    }

    /// Counts a frame; returns whether it is the attempt's first.
    fn count_frame(&mut self) -> bool {
        self.answer.frames += 1;
        let Some(attempt) = &mut self.attempt else {
            return false;
        };
        let first = attempt.first_frame.is_none();
        if first {
            attempt.first_frame = Some(Instant::now());
        }
        first
    }

    /// Writes text to the answer buffer, or keeps it back if the step is rated first.
    async fn accept_text(&mut self, text: &str) -> Result<(), Diverged> {
        if self.machine.may_escalate() {
            self.answer.unrated_text.push_str(text);
            return Ok(());
        }
        if self.buffer.is_empty() {
            self.write_head();
        }
        let new = self.unsent(text)?;
        if !new.is_empty() {
            self.buffer.write_text(new).await;
        }
        Ok(())
    }

    /// Returns the part of `text` that was not sent to the caller yet.
    ///
    /// After a restart at another endpoint the answer arrives from its beginning
    /// again. Sending it again would duplicate a part; continuing after a different
    /// beginning would join two halves that do not belong together.
    pub(super) fn unsent<'a>(&mut self, text: &'a str) -> Result<&'a str, Diverged> {
        let written = self.buffer.len();
        if self.answer.matched_bytes >= written {
            self.answer.matched_bytes = written + text.len();
            return Ok(text);
        }
        let sent = self.buffer.written_text();
        let rest = &sent[self.answer.matched_bytes..];
        if rest.starts_with(text) {
            self.answer.matched_bytes += text.len();
            return Ok("");
        }
        let new = text.strip_prefix(rest).ok_or(Diverged)?;
        self.answer.matched_bytes = written + new.len();
        Ok(new)
    }

    /// Fails the request because its restarted answer differs from the text sent.
    fn fail_diverged(&mut self) -> Event {
        self.drop_attempt();
        let detail = "another endpoint's answer does not go on from the part that was sent";
        self.cause = Some(Problem::not_run(Kind::BrokenStream, detail));
        Event::Diverged
    }

    /// Completes an attempt whose last frame arrived.
    fn complete_attempt(&mut self) -> Event {
        // A restarted answer that is shorter than the text already sent does not
        // continue it.
        if !self.machine.may_escalate() && self.answer.matched_bytes < self.buffer.len() {
            return self.fail_diverged();
        }
        if let Some(attempt) = self.attempt.take() {
            self.record_usage(attempt);
        }
        if !self.machine.may_escalate() && self.buffer.is_empty() {
            self.write_head();
        }
        Event::Whole
    }

    /// Records the duration, tokens and cost of a complete answer.
    fn record_usage(&mut self, attempt: Attempt) {
        let usage = self.answer.last_frame.as_ref().map(|(_, usage)| *usage).unwrap_or_default();
        let tokens = u32::try_from(usage.completion_tokens).unwrap_or(u32::MAX).max(1);
        let first_frame = attempt.first_frame.unwrap_or_else(Instant::now);
        let first = first_frame - attempt.started;
        attempt.reservation.end(Ending::Whole { millis: clock::millis(attempt.started.elapsed()), tokens });
        if let Some(chosen) = &self.chosen {
            let price = chosen.choice.steps()[chosen.step].price();
            let cost = price.cost(usage.prompt_tokens, usage.completion_tokens);
            self.answer.cost = self.answer.cost.saturating_add(cost);
        }
        self.answer.input_tokens += usage.prompt_tokens;
        self.answer.output_tokens += usage.completion_tokens;
        if let Some(version) = self.version() {
            let (customer, version) = (self.request.customer().to_string(), version.to_string());
            metrics::histogram!("entry_first_token_seconds", "customer" => customer, "version" => version)
                .record((first_frame - self.request.received).as_secs_f64());
        }
        self.report_to_guard(control::observation::Outcome::Answered { latency_ms: clock::millis(first) });
    }

    /// Records a broken stream.
    fn record_break(&mut self, broken: Broken) -> Event {
        if broken == Broken::Deadline {
            return Event::TimeUp;
        }
        let step = Step::Broken { attempt: self.dispatches, frames: self.answer.frames, cause: broken.to_string() };
        self.shared.record_step(self.request.id(), step);
        metrics::counter!("entry_broken_streams_total").increment(1);
        self.cause = Some(Problem::not_run(Kind::BrokenStream, broken.to_string()));
        Event::Broke
    }

    /// Resumes a broken stream at its engine, from the next frame on.
    pub(super) async fn resume(&mut self) -> Event {
        let Some(mut attempt) = self.attempt.take() else {
            return Event::Fault;
        };
        let from = attempt.run.as_ref().map_or(0, endpoint::Run::next_index);
        match self.shared.links.endpoint.resume(&attempt.dispatch, from).await {
            Ok(run) => {
                attempt.run = Some(run);
                self.attempt = Some(attempt);
                self.shared.record_step(
                    self.request.id(),
                    Step::Resumed { attempt: self.dispatches, frames: self.answer.frames },
                );
                Event::Resumed
            }
            Err(error) => {
                let cause = error.to_string();
                self.shared.record_step(
                    self.request.id(),
                    Step::Failed { attempt: self.dispatches, ran: Ran::Unknown, cause },
                );
                self.failure = retry::Failure::MayHaveRun;
                self.answer.unrated_text.clear();
                self.excluded_endpoints.push(attempt.reservation.key());
                attempt.reservation.end(Ending::Failed(Failure::Broken));
                Event::Gone
            }
        }
    }
}
