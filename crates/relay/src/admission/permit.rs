//! The permission to run a request, which charges its cost and reports what its runs show.

use std::{sync::Arc, time::Duration};

use route::{admission::demand::Class, relay::content::Content};

use super::{Entry, Gate, service};
use crate::clock;

/// Multiple of the expected cost up to which a request's actual cost is charged. One run that
/// never ends must not keep its team from being served.
const MAX_COST_FACTOR: f64 = 4.0;

/// What is known of a request when it passes the gate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pass {
    pub class: Class,
    pub content: Content,
    /// Index of the model that is asked first.
    pub model: Option<usize>,
    /// Time that was left until its deadline when it arrived.
    pub left: Duration,
    /// When the request was counted as demand, unless it is the return of a refused one.
    pub counted_at: Option<Duration>,
    /// Hash of the kind of its runs.
    pub kind: u32,
    /// Priority for engines, if it is not the request's rank.
    pub priority: Option<u8>,
    /// Whether the request was charged to the token bucket.
    pub is_charged: bool,
    pub cost: f64,
    /// Cost of a millisecond in a slot.
    pub slot_cost: f64,
    /// Cost of the prompt.
    pub prompt_cost: f64,
    /// Expected time of the run, in milliseconds.
    pub run_ms: f64,
    pub first_byte_ms: f64,
    /// Usual wait at an endpoint of a service that is just busy.
    pub usual_wait_ms: f64,
    pub is_whole: bool,
}

impl Pass {
    /// Returns the pass of a request at a service whose capacity is not divided.
    pub fn unlimited(class: Class, entry: &Entry<'_>) -> Self {
        Self {
            class,
            content: entry.content,
            model: entry.model,
            left: entry.left,
            counted_at: None,
            kind: service::kind(entry),
            priority: None,
            is_charged: false,
            cost: 0.0,
            slot_cost: 0.0,
            prompt_cost: 0.0,
            run_ms: entry.first_byte_ms,
            first_byte_ms: entry.first_byte_ms,
            usual_wait_ms: entry.first_byte_ms,
            is_whole: entry.is_whole,
        }
    }
}

/// Permission to run a request, from when it passes the gate until its end.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    service: u32,
    pass: Pass,
    /// Cost charged so far.
    charged: f64,
    run: Option<Run>,
    /// Number of runs so far.
    runs: u32,
    /// Time in slots of the runs that have ended, in milliseconds.
    spent_ms: f64,
    /// Whether a full endpoint has rejected a run.
    is_rejected: bool,
    /// Whether a run was started while it was open how the one before would end. The next answer may
    /// be that of either, so it shows no times.
    has_overlap: bool,
}

/// A run in progress.
#[derive(Debug, Clone, Copy)]
struct Run {
    started: Duration,
    wait_ms: Option<f64>,
    /// Expected time to the first byte, if another model than the first one is asked.
    other_first_byte_ms: Option<f64>,
}

/// What a run that has ended showed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    pub kind: u32,
    pub took_ms: f64,
}

impl Permit {
    pub(super) fn new(gate: Arc<Gate>, service: u32, pass: Pass) -> Self {
        let charged = if pass.is_charged { pass.cost } else { 0.0 };
        Self { gate, service, pass, charged, run: None, runs: 0, spent_ms: 0.0, is_rejected: false, has_overlap: false }
    }

    /// Returns the priority for engines, if it is not the request's rank.
    #[must_use]
    pub fn priority(&self) -> Option<u8> {
        self.pass.priority
    }

    /// Returns the index of the model that the request was expected to ask.
    #[must_use]
    pub fn model(&self) -> Option<usize> {
        self.pass.model
    }

    /// Records that the request is sent to an endpoint; a further run is charged as well.
    /// `other_first_byte_ms` is the expected time to the first byte if the model is another one than
    /// [`Permit::model`].
    pub fn start_run(&mut self, other_first_byte_ms: Option<f64>) {
        self.has_overlap |= self.run.is_some();
        self.abandon_run();
        self.run = Some(Run { started: clock::now(), wait_ms: None, other_first_byte_ms });
        self.runs += 1;
        if self.runs > 1 && self.pass.is_charged {
            let cost = self.pass.cost;
            self.charged += cost;
            self.gate.with_service(self.service, |service| service.charge(cost));
        }
    }

    /// Records that the request was not run where it was sent, for another reason than a full endpoint.
    pub fn record_not_run(&mut self) {
        self.run = None;
    }

    /// Records the first byte of an answer.
    pub fn record_first_byte(&mut self) {
        let now = clock::now();
        let Some(run) = &mut self.run else { return };
        if self.has_overlap {
            return;
        }
        let took_ms = clock::millis(now.saturating_sub(run.started));
        let expected_ms = run.other_first_byte_ms.unwrap_or(self.pass.first_byte_ms);
        let wait_ms = (took_ms - expected_ms).max(0.0);
        run.wait_ms = Some(wait_ms);
        let usual_ms = self.pass.usual_wait_ms;
        self.gate.with_service(self.service, |service| service.record_wait(wait_ms, usual_ms, now));
    }

    /// Records that a full endpoint has rejected the run.
    pub fn record_rejection(&mut self) {
        self.run = None;
        self.is_rejected = true;
        let now = clock::now();
        self.gate.with_service(self.service, |service| service.record_rejection(now));
    }

    /// Records that the run's answer is complete.
    pub fn complete_run(&mut self) {
        let Some(run) = self.run.take() else { return };
        let took_ms = clock::millis(clock::now().saturating_sub(run.started));
        let in_slot_ms = (took_ms - run.wait_ms.unwrap_or_default()).max(0.0);
        self.spent_ms += in_slot_ms;
        if self.has_overlap || run.other_first_byte_ms.is_some() {
            return;
        }
        // A whole answer's wait is known only from the usual time of its run.
        let took_ms = if self.pass.is_whole { took_ms } else { in_slot_ms };
        let observation = Observation { kind: self.pass.kind, took_ms };
        self.gate.with_service(self.service, |service| service.record_run(observation));
    }

    /// Counts the time of a run that is given up.
    fn abandon_run(&mut self) {
        if let Some(run) = self.run.take() {
            let took_ms = clock::millis(clock::now().saturating_sub(run.started));
            self.spent_ms += (took_ms - run.wait_ms.unwrap_or_default()).max(0.0);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.abandon_run();
        if !self.pass.is_charged {
            return;
        }
        let prompt_cost = if self.spent_ms > 0.0 { self.pass.prompt_cost } else { 0.0 };
        let mut actual = (self.spent_ms * self.pass.slot_cost).max(prompt_cost);
        if self.is_rejected {
            // Given back, the cost would let the next request be sent to the full endpoints at once.
            actual = actual.max(self.charged);
        }
        let difference = actual.min(MAX_COST_FACTOR * self.charged) - self.charged;
        self.gate.with_service(self.service, |service| service.charge(difference));
    }
}
