//! Open-loop load: calls start at their time, whatever became of the others.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::{INSTANCES, fleet::Fleet};

/// Calls a second for a span.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub offered: f64,
    pub span: Duration,
}

/// What became of a load.
#[derive(Debug)]
pub struct Outcome {
    latency_us: Histogram<u64>,
    failed: u64,
    took: Duration,
}

impl Load {
    /// Starts `call` with the number of an instance and of the call; it says
    /// whether it was done.
    pub async fn run<F, C>(self, call: C) -> Outcome
    where
        C: Fn(usize, u64) -> F,
        F: Future<Output = bool> + Send + 'static,
    {
        let started = Instant::now();
        let mut calls = JoinSet::new();
        let mut number = 0_u64;
        while started.elapsed() < self.span {
            let due = started.elapsed().as_secs_f64() * self.offered;
            while float(number) < due {
                let instance = usize::try_from(number).unwrap_or_default() % INSTANCES;
                let one = call(instance, number);
                calls.spawn(async move {
                    let began = Instant::now();
                    let done = one.await;
                    (done, began.elapsed())
                });
                number += 1;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut latency_us = Histogram::new(3).expect("three digits are valid");
        let mut failed = 0;
        while let Some(one) = calls.join_next().await {
            let (done, latency) = one.expect("no call panics");
            if done {
                let latency = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                latency_us.record(latency).expect("it grows as needed");
            } else {
                failed += 1;
            }
        }
        Outcome { latency_us, failed, took: started.elapsed() }
    }
}

impl Outcome {
    pub const HEADER: &str = "what                    offered/s   done/s  failed   p50 ms   p99 ms  writes/s  reads/s";

    /// Calls done.
    pub fn done(&self) -> u64 {
        self.latency_us.len()
    }

    /// Longest latency, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        float(self.latency_us.max()) / 1_000.0
    }

    /// Prints one line.
    pub fn print(&self, what: &str, offered: f64, fleet: &Fleet) {
        let seconds = self.took.as_secs_f64();
        let ms = |quantile| float(self.latency_us.value_at_quantile(quantile)) / 1_000.0;
        let calls = fleet.calls();
        println!(
            "{what:<24}{offered:>9.0}{:>9.0}{:>8}{:>9.1}{:>9.1}{:>10.0}{:>9.0}",
            float(self.done()) / seconds,
            self.failed,
            ms(0.5),
            ms(0.99),
            float(calls.writes) / seconds,
            float(calls.reads) / seconds,
        );
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub fn float(n: u64) -> f64 {
    n as f64
}
