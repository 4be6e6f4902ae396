//! Settings of an instance that passes requests through unchanged.
//!
//! Spans are in milliseconds or seconds and sizes in bytes or MiB, as the fields' names
//! say. Unknown fields are errors, as in the daemon's other settings.
//!
//! Numbers that a platform decides may be whole, a fraction, or absent where they do not apply.

mod numbers;

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use relay::settings::{
    Admission, AnswerLength, Capacity, Connections, Cores, Ladder, Listeners, Placement, Policies, Settings,
};
use serde::Deserialize;

use self::numbers::{Numbers, floor};
use crate::{Error, Fault, scalar::Scalar};

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
    exposure_slack: Scalar,
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

impl File {
    /// Returns the settings, or everything that is wrong with them.
    fn check(self) -> Result<Relay, Vec<Fault>> {
        let mut faults = Vec::new();
        let numbers = Numbers::read(&self, &mut faults);
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
        if faults.is_empty() { Ok(self.settings(&numbers)) } else { Err(faults) }
    }

    /// Returns the limit on connections of callers, which leaves descriptors to other connections.
    fn max_connections(&self, numbers: &Numbers) -> usize {
        let descriptors = numbers.descriptors.or_else(descriptor_limit).unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS);
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^53 descriptors")]
        let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let most = floor(free * CALLERS_OF_DESCRIPTORS) as u64;
        let connections = self.limits.connections.unwrap_or(most).min(most).max(MIN_CONNECTIONS);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    fn settings(self, numbers: &Numbers) -> Relay {
        let millis = Duration::from_millis;
        let max_connections = self.max_connections(numbers);
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
                revocation_bound: numbers.revocation_bound,
                replacement_bound: numbers.replacement_bound,
                evacuation_bound: numbers.evacuation_bound,
                warmup_excess: numbers.warmup_excess,
                allowance: numbers.allowance,
                max_exposure: numbers.max_exposure,
                max_session_pause: numbers.max_session_pause,
                grace: numbers.grace,
                max_address_cache_time: numbers.max_address_cache_time,
                cores: Cores::new(numbers.cores),
                body_memory: share(numbers.memory, self.limits.body_share),
                connections: Connections {
                    memory: share(numbers.memory, self.limits.held_share),
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

/// Returns the number of descriptors that this process may have, if the system tells it.
fn descriptor_limit() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
