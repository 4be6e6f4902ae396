//! Settings of an instance that passes requests through unchanged.
//!
//! Spans are in milliseconds or seconds and sizes in bytes or MiB, as the fields' names
//! say. Unknown fields are errors, as in the daemon's other settings.
//!
//! Numbers that a platform decides may be whole, a fraction, or absent where they do not apply.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use relay::settings::{
    Admission, AnswerLength, Capacity, Connections, Cores, Ladder, Listeners, Placement, Policies, Settings,
};
use route::relay::allowance;
use serde::Deserialize;

use crate::{
    Error, Fault,
    scalar::{self, Field, MAX_SPAN_S, Scalar},
};

/// Everything such an instance is told at its start.
#[derive(Debug, Clone)]
pub struct Relay {
    /// The relay's own settings.
    pub relay: Settings,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Connections of operators there at a time.
    pub operator_connections: usize,
    /// Filter of log lines, `info` or `info,relay=debug` say.
    pub log: String,
}

/// Most descriptors that a process has.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// Descriptors that are not connections: files, timers, pipes.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Part of the other descriptors that callers' connections may take by default. The rest is left to
/// connections to endpoints, other instances and the store.
const CALLERS_OF_DESCRIPTORS: f64 = 0.75;

/// Fewest connections of callers.
const MIN_CONNECTIONS: u64 = 16;

/// The file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    instance: String,
    domain: String,
    listeners: FileListeners,
    store: SocketAddr,
    metrics: SocketAddr,
    #[serde(default = "default_log")]
    log: String,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    revoke_ms: Scalar,
    #[serde(default)]
    replace_ms: Scalar,
    #[serde(default)]
    evacuate_ms: Scalar,
    #[serde(default)]
    warmup_excess: Scalar,
    #[serde(default)]
    retries: FileRetries,
    #[serde(default)]
    exposure_share: Scalar,
    #[serde(default)]
    session_s: Scalar,
    #[serde(default)]
    grace_s: Scalar,
    #[serde(default)]
    grace_ms: Scalar,
    #[serde(default)]
    keep_addresses_s: Scalar,
    #[serde(default)]
    keep_addresses_ms: Scalar,
    #[serde(default)]
    cores: Scalar,
    #[serde(default)]
    memory_mib: Scalar,
    #[serde(default)]
    descriptors: Scalar,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    policies: FilePolicies,
}

/// Limits on what connections hold, as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileLimits {
    /// Part of the memory that connections, requests and bodies may take.
    held_share: f64,
    /// Part of the memory that bodies may take.
    body_share: f64,
    connections: Option<u64>,
    body_pause_ms: Option<u64>,
    discard_ms: u64,
    operator_connections: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        Self {
            held_share: 0.5,
            body_share: 0.25,
            connections: None,
            body_pause_ms: None,
            discard_ms: 30_000,
            operator_connections: 24,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileListeners {
    front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    news: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileRetries {
    ratio: Scalar,
    reserve: Scalar,
    window_s: Scalar,
    window_ms: Scalar,
}

/// Optional decisions under load, as written.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FilePolicies {
    #[serde(default)]
    admission: FileAdmission,
    #[serde(default)]
    capacity: FileCapacity,
    #[serde(default)]
    placement: FilePlacement,
    /// Value of a right answer as a multiple of the largest model's price, by rank.
    #[serde(default)]
    ladder_values: Option<Vec<f64>>,
    #[serde(default)]
    answer_length: FileAnswerLength,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FileAdmission {
    #[default]
    Unordered,
    Fair,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FileCapacity {
    #[default]
    Declared,
    Learned,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FilePlacement {
    #[default]
    Reported,
    Balanced,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FileAnswerLength {
    #[default]
    Ignored,
    Expected,
}

impl From<FilePolicies> for Policies {
    fn from(file: FilePolicies) -> Self {
        Self {
            admission: match file.admission {
                FileAdmission::Unordered => Admission::Unordered,
                FileAdmission::Fair => Admission::Fair,
            },
            capacity: match file.capacity {
                FileCapacity::Declared => Capacity::Declared,
                FileCapacity::Learned => Capacity::Learned,
            },
            placement: match file.placement {
                FilePlacement::Reported => Placement::Reported,
                FilePlacement::Balanced => Placement::Balanced,
            },
            ladder: file.ladder_values.map_or(Ladder::Fixed, |values| Ladder::ExpectedValue { values }),
            answer_length: match file.answer_length {
                FileAnswerLength::Ignored => AnswerLength::Ignored,
                FileAnswerLength::Expected => AnswerLength::Expected,
            },
        }
    }
}

fn default_log() -> String {
    crate::check::DEFAULT_LOG.into()
}

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

impl Relay {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] when the file cannot be read or is not valid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::Unreadable { path: path.to_owned(), cause: error.to_string() })?;
        Self::parse(&text)
    }

    /// Reads settings from YAML.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every fault found.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let file: File = serde_saphyr::from_str(text)
            .map_err(|error| Error::Invalid { faults: vec![Fault::Syntax { line: 0, message: error.to_string() }] })?;
        file.check().map_err(|faults| Error::Invalid { faults })
    }
}

/// Numbers of a file, checked and with defaults for the absent ones.
struct Figures {
    revocation_bound: Option<Duration>,
    replacement_bound: Option<Duration>,
    evacuation_bound: Option<Duration>,
    warmup_excess: f64,
    allowance: allowance::Policy,
    max_exposure: f64,
    max_session_pause: Duration,
    grace: Duration,
    max_address_cache_time: Duration,
    cores: f64,
    memory: usize,
    descriptors: Option<u64>,
}

impl Figures {
    /// Reads the numbers of a file and adds those that are refused to `faults`.
    fn read(file: &File, faults: &mut Vec<Fault>) -> Self {
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
            max_exposure: number("exposure_share", 0.0..=1.0, "of all requests", &file.exposure_share, faults)
                .unwrap_or(DEFAULT_MAX_EXPOSURE),
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

impl File {
    /// Returns the settings, or everything that is wrong with them.
    fn check(self) -> Result<Relay, Vec<Fault>> {
        let mut faults = Vec::new();
        let figures = Figures::read(&self, &mut faults);
        let mut check = |field: &'static str, good: bool, remedy: &'static str| {
            if !good {
                faults.push(Fault::Value { line: 0, field, message: remedy.to_owned() });
            }
        };
        check("instance", !self.instance.is_empty(), "name the instance");
        check("limits.held_share", (0.1..=0.75).contains(&self.limits.held_share), "write a share from 0.1 to 0.75");
        check(
            "limits.body_share",
            (0.05..=self.limits.held_share).contains(&self.limits.body_share),
            "write a share from 0.05 to `limits.held_share`",
        );
        check(
            "limits.connections",
            self.limits.connections.is_none_or(|connections| (MIN_CONNECTIONS..=1_000_000).contains(&connections)),
            "write connections from 16 to 1000000, or leave it out",
        );
        check(
            "limits.body_pause_ms",
            self.limits.body_pause_ms.is_none_or(|pause| (1_000..=600_000).contains(&pause)),
            "write milliseconds from 1000 to 600000, or leave it out",
        );
        check(
            "limits.discard_ms",
            (500..=60_000).contains(&self.limits.discard_ms),
            "write milliseconds from 500 to 60000",
        );
        check(
            "limits.operator_connections",
            (4..=1_024).contains(&self.limits.operator_connections),
            "write connections from 4 to 1024",
        );
        check(
            "policies.ladder_values",
            self.policies
                .ladder_values
                .as_ref()
                .is_none_or(|values| !values.is_empty() && values.iter().all(|value| (0.0..=1_000.0).contains(value))),
            "write one number from 0 to 1000 for each rank, or leave it out",
        );
        if faults.is_empty() { Ok(self.settings(&figures)) } else { Err(faults) }
    }

    /// Returns the limit on connections of callers, which leaves descriptors to other connections.
    fn max_connections(&self, figures: &Figures) -> usize {
        let descriptors = figures.descriptors.or_else(descriptor_limit).unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS);
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^53 descriptors")]
        let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let most = floor(free * CALLERS_OF_DESCRIPTORS) as u64;
        let connections = self.limits.connections.unwrap_or(most).min(most).max(MIN_CONNECTIONS);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    fn settings(self, figures: &Figures) -> Relay {
        let millis = Duration::from_millis;
        let max_connections = self.max_connections(figures);
        Relay {
            relay: Settings {
                instance: self.instance,
                domain: self.domain,
                listeners: Listeners {
                    front: self.listeners.front,
                    ready: self.listeners.ready,
                    directory: self.listeners.directory,
                    news: self.listeners.news,
                },
                seeds: self.seeds,
                revocation_bound: figures.revocation_bound,
                replacement_bound: figures.replacement_bound,
                evacuation_bound: figures.evacuation_bound,
                warmup_excess: figures.warmup_excess,
                allowance: figures.allowance,
                max_exposure: figures.max_exposure,
                max_session_pause: figures.max_session_pause,
                grace: figures.grace,
                max_address_cache_time: figures.max_address_cache_time,
                cores: Cores::new(figures.cores),
                body_memory: share(figures.memory, self.limits.body_share),
                connections: Connections {
                    memory: share(figures.memory, self.limits.held_share),
                    max: max_connections,
                    max_body_pause: self.limits.body_pause_ms.map(millis),
                    max_discard: millis(self.limits.discard_ms),
                },
                policies: self.policies.into(),
                network: Arc::new(relay::network::Tcp),
            },
            store: self.store,
            metrics: self.metrics,
            operator_connections: self.limits.operator_connections,
            log: self.log,
        }
    }
}

/// Returns a part of an amount of memory.
fn share(bytes: usize, share: f64) -> usize {
    #[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 bytes")]
    let bytes = bytes as f64;
    floor(bytes * share)
}

/// Returns the whole part of a number from 0 on.
fn floor(number: f64) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "ranges are far below 2^53")]
    let whole = number as usize;
    whole
}

/// Returns the number of descriptors that this process may have, if the system tells it.
fn descriptor_limit() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
