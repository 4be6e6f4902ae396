//! Counts the tokens of runs against the memory of engines.
//!
//! An engine keeps the tokens of a run, read and generated, in memory until the run ends.
//! If it runs out of memory, it interrupts runs and reads their prompts again later.

/// Tokens of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that the engine holds in its cache already.
    pub cached: u32,
    /// Expected number of generated tokens.
    pub output: u32,
}

/// Memory of an engine and its use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Memory {
    /// Number of tokens that fit into it.
    pub capacity: u64,
    /// Tokens of this instance's runs.
    pub own: u64,
    /// Number of runs of other instances.
    pub other_runs: f64,
    /// Mean number of tokens of a run.
    pub mean_run: f64,
}

impl Demand {
    /// Returns the number of tokens that the run adds to the engine's memory.
    #[must_use]
    pub fn added(&self) -> u64 {
        u64::from(self.prompt.saturating_sub(self.cached)) + u64::from(self.output)
    }

    /// Whether an engine with room for `capacity` tokens can never run the request: its prompt
    /// and one generated token do not fit. The output may be shorter than expected.
    #[must_use]
    pub fn exceeds(&self, capacity: u64) -> bool {
        u64::from(self.prompt) >= capacity
    }
}

impl Memory {
    /// Whether a run fits into the free memory. Only the number is known of the runs of other
    /// instances, so they count as average ones.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "tokens of an engine are far fewer than 2^53")]
    pub fn fits(&self, demand: Demand) -> bool {
        let used = self.own as f64 + self.other_runs.max(0.0) * self.mean_run.max(0.0);
        used + demand.added() as f64 <= self.capacity as f64
    }
}
