//! Counts the tokens of runs against the memory of engines.
//!
//! An engine keeps the tokens of a run, read and generated, in memory until the run ends.
//! If it runs out of memory, it interrupts runs and reads their prompts again later.

/// Weight of a run in the mean number of tokens.
const MEAN_WEIGHT: f64 = 0.05;

/// Largest number of tokens for which a run counts in the mean, as a multiple of the mean. A caller
/// may state any maximum output; one request then raises the mean by less than a sixth.
const MAX_MEAN_FACTOR: f64 = 4.0;

/// Largest number of tokens for which the first run counts, as a share of an engine's memory.
const MAX_FIRST_SHARE: f64 = 0.05;

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

    /// Returns the demand with the output limited to what an engine with room for `capacity` tokens
    /// can hold beside the prompt. No run ever takes more.
    #[must_use]
    pub fn within(self, capacity: u64) -> Self {
        let left = capacity.saturating_sub(u64::from(self.prompt));
        Self { output: self.output.min(u32::try_from(left).unwrap_or(u32::MAX)), ..self }
    }

    /// Whether an engine with room for `capacity` tokens can never run the request: its prompt
    /// and one generated token do not fit. The output may be shorter than expected.
    #[must_use]
    pub fn exceeds(&self, capacity: u64) -> bool {
        u64::from(self.prompt) >= capacity
    }
}

/// Mean number of tokens that a run of a service adds to an engine's memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanRun(Option<f64>);

impl MeanRun {
    /// Adds a run of `tokens` tokens at an engine with room for `capacity`. Runs that add nothing,
    /// since their prompt is cached and no output is stated, do not count.
    #[expect(clippy::cast_precision_loss, reason = "tokens of an engine are far fewer than 2^53")]
    pub fn observe(&mut self, tokens: u64, capacity: u64) {
        if tokens == 0 {
            return;
        }
        let tokens = tokens as f64;
        self.0 = Some(match self.0 {
            None => tokens.min(MAX_FIRST_SHARE * capacity as f64),
            Some(mean) => mean + MEAN_WEIGHT * (tokens.min(MAX_MEAN_FACTOR * mean) - mean),
        });
    }

    /// Returns the mean, or 0 before the first run.
    #[must_use]
    pub fn tokens(self) -> f64 {
        self.0.unwrap_or(0.0)
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
