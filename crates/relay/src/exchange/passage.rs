//! A request's passage through admission control, and what its runs report there.
//!
//! Nothing of this happens unless the operator has switched admission control on.

use std::sync::Arc;

use super::tries::Exchange;
use crate::{
    admission::{Entry, Permit},
    answer::Refusal,
    catalog::Kind,
    clock,
};

impl Exchange {
    /// Waits until admission control lets the request pass, or returns its refusal. A request
    /// that another instance has forwarded has passed there.
    pub(super) async fn pass_gate(&mut self, model: Option<usize>) -> Result<(), Refusal> {
        let Some(gate) = self.dispatcher.gate.clone() else { return Ok(()) };
        if self.is_forwarded {
            return Ok(());
        }
        self.select_service(model)?;
        let entry = self.entry(model);
        let dispatcher = Arc::clone(&self.dispatcher);
        let permit = gate.enter(&entry, || dispatcher.supply(entry.service)).await.map_err(Refusal::from)?;
        self.permit = Some(permit);
        Ok(())
    }

    /// Selects the service at whose gate the request asks, or returns why it would be refused after
    /// its wait.
    pub(super) fn select_service(&mut self, model: Option<usize>) -> Result<(), Refusal> {
        self.check_quarantine()?;
        self.admission.route.target(self.target_draw).ok_or(Refusal::NoRoute)?.clone_into(&mut self.service);
        if self.dispatcher.exceeds_memory(&self.job(model)) {
            return Err(Refusal::ExceedsMemory);
        }
        Ok(())
    }

    /// Describes the request for admission control.
    pub(super) fn entry(&self, model: Option<usize>) -> Entry<'_> {
        let job = self.job(model);
        let route = &self.admission.route;
        let passed = clock::now().saturating_sub(self.started);
        Entry {
            service: &self.service,
            team: self.admission.customer.as_ref().map_or("", |customer| customer.name.as_str()),
            rank: self.rank(),
            route: &route.name,
            content: self.work.request,
            left: self.left(),
            target_left: route.target_time.saturating_sub(passed),
            target_time: route.target_time,
            model: job.model,
            first_byte_ms: self.dispatcher.expected_idle_ms(&job),
            prompt_ms: self.dispatcher.expected_prompt_ms(&job),
            is_whole: !matches!(route.kind, Kind::Stream { .. }),
            is_resumption: self.params.last_event.is_some() && self.is_resumable(),
        }
    }

    /// Reports that the request is sent to an endpoint to ask a model.
    pub(super) fn start_run(&mut self, model: Option<usize>) {
        let Some(permit) = &self.permit else { return };
        let job = self.job(model);
        let other_first_byte_ms = (job.model != permit.model()).then(|| self.dispatcher.expected_idle_ms(&job));
        self.with_permit(|permit| permit.start_run(other_first_byte_ms));
    }

    /// Reports that the instance to which the request was forwarded has not run it.
    pub(super) fn record_not_run(&mut self) {
        self.with_permit(Permit::record_not_run);
    }

    /// Reports the first byte of an endpoint's answer.
    pub(super) fn record_first_byte(&mut self) {
        self.with_permit(Permit::record_first_byte);
    }

    /// Reports that a full endpoint has rejected the request.
    pub(super) fn record_rejection(&mut self) {
        self.with_permit(Permit::record_rejection);
    }

    /// Reports that an endpoint's answer is complete.
    pub(super) fn complete_run(&mut self) {
        self.with_permit(Permit::complete_run);
    }

    fn with_permit(&mut self, report: impl FnOnce(&mut Permit)) {
        if let Some(permit) = &mut self.permit {
            report(permit);
        }
    }
}
