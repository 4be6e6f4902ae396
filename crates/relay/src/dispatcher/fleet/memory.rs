//! Memory of engines and the tokens of runs in it.

use route::relay::engine_memory::{Demand, Memory};

use super::{Job, Key, Server};
use crate::{
    dispatcher::{Dispatcher, State},
    settings::Capacity,
};

/// Checks whether engines have room for a job's tokens.
pub(super) struct MemoryCheck<'a> {
    job: &'a Job<'a>,
    /// Number of tokens that fit into an engine's memory.
    capacity: u64,
    /// Mean number of tokens of a run of the service.
    mean_run: f64,
    /// Hashes of the endpoints that cache the shared part.
    holders: &'a [u32],
    /// Hashes of the endpoints that cache the whole prompt.
    holders_of_whole: &'a [u32],
}

impl MemoryCheck<'_> {
    /// Removes the engines without room, unless none has room. Returns those removed that cache
    /// the shared part: another engine can still copy it from there.
    pub(super) fn retain_with_room<'s>(&self, engines: &mut Vec<(Key, &'s Server)>) -> Vec<&'s Server> {
        if !engines.iter().any(|(_, server)| self.has_room(server)) {
            return Vec::new();
        }
        let without_room = engines.extract_if(.., |(_, server)| !self.has_room(server)).map(|(_, server)| server);
        without_room.filter(|server| self.holders.contains(&server.hash)).collect()
    }

    /// Returns what the job needs of an engine's memory.
    pub(super) fn demand(&self, server: &Server) -> Demand {
        let prompt = self.job.prompt_tokens();
        let cached = if self.holders_of_whole.contains(&server.hash) {
            prompt
        } else if self.holders.contains(&server.hash) {
            self.job.shared_tokens
        } else {
            0
        };
        Demand { prompt, cached, output: self.job.output_tokens }.within(self.capacity)
    }

    fn has_room(&self, server: &Server) -> bool {
        let memory = Memory {
            capacity: self.capacity,
            own: server.memory_tokens,
            other_runs: server.peer_load.runs,
            mean_run: self.mean_run,
        };
        memory.fits(self.demand(server))
    }
}

impl Job<'_> {
    fn prompt_tokens(&self) -> u32 {
        self.shared_tokens.saturating_add(self.own_tokens)
    }
}

impl State {
    /// Adds a job's tokens to the service's mean, if engines' memory is limited.
    pub(super) fn observe_tokens(&mut self, job: &Job<'_>, tokens: u64) {
        if let Some(capacity) = self.memory_capacity(job) {
            self.fleet.mean_runs.entry(job.service.to_owned()).or_default().observe(tokens, capacity);
        }
    }

    /// Returns a check of engines' memory for a job, or `None` if the memory is not limited or
    /// capacity is not learned.
    pub(super) fn memory_check<'a>(
        &self,
        job: &'a Job<'a>,
        holders: &'a [u32],
        holders_of_whole: &'a [u32],
    ) -> Option<MemoryCheck<'a>> {
        let capacity = self.memory_capacity(job)?;
        let mean_run = self.fleet.mean_runs.get(job.service).copied().unwrap_or_default().tokens();
        Some(MemoryCheck { job, capacity, mean_run, holders, holders_of_whole })
    }

    /// Returns the number of tokens that fit into the memory of an engine that may run a job.
    fn memory_capacity(&self, job: &Job<'_>) -> Option<u64> {
        job.model.filter(|_| self.fleet.learns_capacity())?;
        self.catalog.as_ref()?.services.get(job.service)?.memory_tokens
    }
}

impl Dispatcher {
    /// Whether no engine can ever run a job, since its prompt does not fit into an engine's
    /// memory.
    #[must_use]
    pub fn exceeds_memory(&self, job: &Job<'_>) -> bool {
        if self.settings.policies.capacity != Capacity::Learned {
            return false;
        }
        let demand = Demand { prompt: job.prompt_tokens(), cached: 0, output: job.output_tokens };
        self.lock().memory_capacity(job).is_some_and(|capacity| demand.exceeds(capacity))
    }
}
