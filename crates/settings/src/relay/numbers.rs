//! Numbers of a relaying instance's settings: their ranges, and what holds where one is absent.

use std::time::Duration;

use route::relay::{allowance, canary};

use super::{File, FileRetries, MAX_DESCRIPTORS};
use crate::{
    Fault,
    scalar::{self, Field, MAX_SPAN_S, Scalar},
};

/// Limit on retries where the operator sets none: a fifth of the first tries, as is usual, and some on top for
/// services with few requests.
const DEFAULT_ALLOWANCE: allowance::Policy =
    allowance::Policy { ratio: 0.2, reserve: 50.0, window: Duration::from_secs(10) };

/// Share of a service's requests that a bad version may get where the operator sets none.
const DEFAULT_MAX_EXPOSURE: f64 = 0.1;

/// Longest pause in a session where the operator sets none.
const DEFAULT_SESSION_PAUSE: Duration = Duration::from_secs(10);

/// Grace period where the operator sets none: it outlasts the addresses that callers keep.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);

/// Time for which callers that are told nothing else keep addresses.
const DEFAULT_ADDRESS_CACHE_TIME: Duration = Duration::from_secs(5);

/// Where nothing else is allowed, warming endpoints get no more than they tolerate.
const DEFAULT_WARMUP_EXCESS: f64 = 1.0;

/// Instances that are told nothing else count as alike.
const DEFAULT_CORES: f64 = 1.0;

/// Most retries on top.
const MAX_RESERVE: f64 = 1e9;

/// Bytes of a MiB.
const MIB: f64 = 1_048_576.0;

/// Largest machine, in MiB.
const MAX_MEMORY_MIB: f64 = 16.0 * 1_024.0 * 1_024.0;

/// Numbers of a file, checked and with defaults for the absent ones.
pub(super) struct Numbers {
    pub revocation_bound: Option<Duration>,
    pub replacement_bound: Option<Duration>,
    pub evacuation_bound: Option<Duration>,
    pub warmup_excess: f64,
    pub allowance: allowance::Policy,
    pub max_exposure: canary::Bound,
    pub max_session_pause: Duration,
    pub grace: Duration,
    pub max_address_cache_time: Duration,
    pub cores: f64,
    pub memory: usize,
    pub descriptors: Option<u64>,
}

impl Numbers {
    /// Reads the numbers of a file and adds those that are refused to `faults`.
    pub fn read(file: &File, faults: &mut Vec<Fault>) -> Self {
        let number =
            |name, range, unit, scalar, faults: &mut Vec<Fault>| Field { name, range, unit }.check(scalar, faults);
        let memory = number("memory_mib", 16.0..=MAX_MEMORY_MIB, "MiB", &file.memory_mib, faults);
        if file.memory_mib == Scalar::Absent {
            faults.push(Fault::MissingField { line: 0, field: "memory_mib" });
        }
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^53 descriptors")]
        let max_descriptors = MAX_DESCRIPTORS as f64;
        let descriptors = number("descriptors", 64.0..=max_descriptors, "descriptors", &file.descriptors, faults);
        Self {
            revocation_bound: scalar::millis("revoke_ms", 2_000.0, &file.revoke_ms, faults),
            replacement_bound: scalar::millis("replace_ms", 1_000.0, &file.replace_ms, faults),
            evacuation_bound: scalar::millis("evacuate_ms", 2_000.0, &file.evacuate_ms, faults),
            warmup_excess: number("warmup_excess", 1.0..=10.0, "times the rate", &file.warmup_excess, faults)
                .unwrap_or(DEFAULT_WARMUP_EXCESS),
            allowance: file.retries.allowance(faults),
            max_exposure: canary::Bound {
                share: number("exposure_share", 0.0..=1.0, "of all requests", &file.exposure_share, faults)
                    .unwrap_or(DEFAULT_MAX_EXPOSURE),
                slack: number("exposure_slack", 0.0..=MAX_RESERVE, "requests", &file.exposure_slack, faults)
                    .unwrap_or_default(),
            },
            max_session_pause: scalar::seconds("session_s", 0.0..=3_600.0, &file.session_s, faults)
                .unwrap_or(DEFAULT_SESSION_PAUSE),
            grace: Span { name_s: "grace_s", name_ms: "grace_ms", least_ms: 1_000.0 }
                .check(&file.grace_s, &file.grace_ms, faults)
                .unwrap_or(DEFAULT_GRACE),
            max_address_cache_time: Span { name_s: "keep_addresses_s", name_ms: "keep_addresses_ms", least_ms: 0.0 }
                .check(&file.keep_addresses_s, &file.keep_addresses_ms, faults)
                .unwrap_or(DEFAULT_ADDRESS_CACHE_TIME),
            cores: number("cores", 0.01..=1_024.0, "cores", &file.cores, faults).unwrap_or(DEFAULT_CORES),
            memory: floor(memory.unwrap_or_default() * MIB),
            descriptors: descriptors.map(|descriptors| floor(descriptors) as u64),
        }
    }
}

impl FileRetries {
    fn allowance(&self, faults: &mut Vec<Fault>) -> allowance::Policy {
        let ratio = Field { name: "retries.ratio", range: 0.0..=10.0, unit: "retries per first try" };
        let reserve = Field { name: "retries.reserve", range: 0.0..=MAX_RESERVE, unit: "retries" };
        let window = Span { name_s: "retries.window_s", name_ms: "retries.window_ms", least_ms: 1.0 };
        allowance::Policy {
            ratio: ratio.check(&self.ratio, faults).unwrap_or(DEFAULT_ALLOWANCE.ratio),
            reserve: reserve.check(&self.reserve, faults).unwrap_or(DEFAULT_ALLOWANCE.reserve),
            window: window.check(&self.window_s, &self.window_ms, faults).unwrap_or(DEFAULT_ALLOWANCE.window),
        }
    }
}

/// A span that operators give either in seconds or in milliseconds.
struct Span {
    name_s: &'static str,
    name_ms: &'static str,
    least_ms: f64,
}

impl Span {
    fn check(&self, seconds: &Scalar, millis: &Scalar, faults: &mut Vec<Fault>) -> Option<Duration> {
        if *seconds != Scalar::Absent && *millis != Scalar::Absent {
            let message = format!("given together with `{}`; leave one of them out", self.name_ms);
            faults.push(Fault::Value { line: 0, field: self.name_s, message });
        }
        let by_seconds = scalar::seconds(self.name_s, self.least_ms / 1_000.0..=MAX_SPAN_S, seconds, faults);
        by_seconds.or(scalar::millis(self.name_ms, self.least_ms, millis, faults))
    }
}

/// Returns the whole part of a number from 0 on.
pub(super) fn floor(number: f64) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "ranges are far below 2^53")]
    let whole = number as usize;
    whole
}
