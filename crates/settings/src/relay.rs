//! Settings of an instance that passes requests through unchanged.
//!
//! Spans are in milliseconds and sizes in bytes or MiB, as the fields' names
//! say. Unknown fields are errors, as in the daemon's other settings.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use relay::settings::{
    Admission, AnswerLength, Capacity, Connections, Cores, Ladder, Listeners, Placement, Policies, Settings,
};
use route::relay::allowance;
use serde::Deserialize;

use crate::{Error, Fault};

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
    revoke_ms: Option<u64>,
    #[serde(default)]
    replace_ms: Option<u64>,
    #[serde(default)]
    evacuate_ms: Option<u64>,
    #[serde(default = "default_warmup_excess")]
    warmup_excess: f64,
    retries: FileRetries,
    exposure_share: f64,
    #[serde(default = "default_session_s")]
    session_s: f64,
    grace_ms: u64,
    #[serde(default = "default_keep_ms")]
    keep_addresses_ms: u64,
    #[serde(default = "default_cores")]
    cores: f64,
    memory_mib: usize,
    #[serde(default)]
    descriptors: Option<u64>,
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

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileRetries {
    ratio: f64,
    reserve: f64,
    window_ms: u64,
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

/// Sessions whose pauses nobody bounds are taken to pause this long.
fn default_session_s() -> f64 {
    10.0
}

/// Callers that are told nothing else keep addresses this long.
fn default_keep_ms() -> u64 {
    5_000
}

/// Where nothing else is allowed, warming endpoints get no more than they tolerate.
fn default_warmup_excess() -> f64 {
    1.0
}

/// Instances that are told nothing else count as alike.
fn default_cores() -> f64 {
    1.0
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
        let faults = file.faults();
        if !faults.is_empty() {
            return Err(Error::Invalid { faults });
        }
        Ok(file.settings())
    }
}

impl File {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut check = |field: &'static str, good: bool, remedy: &'static str| {
            if !good {
                faults.push(Fault::Value { line: 0, field, message: remedy.to_owned() });
            }
        };
        check("instance", !self.instance.is_empty(), "name the instance");
        check("retries.ratio", (0.0..=10.0).contains(&self.retries.ratio), "write a number from 0 to 10");
        check("retries.reserve", self.retries.reserve >= 0.0, "write a number from 0 on");
        check("retries.window_ms", self.retries.window_ms > 0, "write milliseconds above 0");
        check("exposure_share", (0.0..=1.0).contains(&self.exposure_share), "write a share from 0 to 1");
        check("session_s", (0.0..=3_600.0).contains(&self.session_s), "write seconds from 0 to 3600");
        check("cores", (0.01..=1_024.0).contains(&self.cores), "write cores from 0.01 to 1024");
        check("memory_mib", self.memory_mib >= 16, "write at least 16");
        check(
            "descriptors",
            self.descriptors.is_none_or(|descriptors| (64..=MAX_DESCRIPTORS).contains(&descriptors)),
            "write descriptors from 64 to 1048576, or leave it out",
        );
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
        check("grace_ms", self.grace_ms >= 1_000, "write at least 1000");
        check("replace_ms", self.replace_ms.is_none_or(|bound| bound >= 1_000), "write at least 1000, or leave it out");
        check(
            "policies.ladder_values",
            self.policies
                .ladder_values
                .as_ref()
                .is_none_or(|values| !values.is_empty() && values.iter().all(|value| (0.0..=1_000.0).contains(value))),
            "write one number from 0 to 1000 for each rank, or leave it out",
        );
        check("warmup_excess", (1.0..=10.0).contains(&self.warmup_excess), "write a number from 1 to 10");
        check(
            "evacuate_ms",
            self.evacuate_ms.is_none_or(|bound| bound >= 2_000),
            "write at least 2000, or leave it out",
        );
        check("revoke_ms", self.revoke_ms.is_none_or(|bound| bound >= 2_000), "write at least 2000, or leave it out");
        faults
    }

    /// Returns the limit on connections of callers, which leaves descriptors to other connections.
    fn max_connections(&self) -> usize {
        let descriptors = self.descriptors.or_else(descriptor_limit).unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS);
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^53 descriptors")]
        let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a part of a small number")]
        let most = (free * CALLERS_OF_DESCRIPTORS) as u64;
        let connections = self.limits.connections.unwrap_or(most).min(most).max(MIN_CONNECTIONS);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    fn settings(self) -> Relay {
        let millis = Duration::from_millis;
        let max_connections = self.max_connections();
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
                revocation_bound: self.revoke_ms.map(millis),
                replacement_bound: self.replace_ms.map(millis),
                evacuation_bound: self.evacuate_ms.map(millis),
                warmup_excess: self.warmup_excess,
                allowance: allowance::Policy {
                    ratio: self.retries.ratio,
                    reserve: self.retries.reserve,
                    window: millis(self.retries.window_ms),
                },
                max_exposure: self.exposure_share,
                max_session_pause: Duration::from_secs_f64(self.session_s),
                grace: millis(self.grace_ms),
                max_address_cache_time: millis(self.keep_addresses_ms),
                cores: Cores::new(self.cores),
                body_memory: share(self.memory_mib << 20, self.limits.body_share),
                connections: Connections {
                    memory: share(self.memory_mib << 20, self.limits.held_share),
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
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "shares are below 1, and memory is far below 2^53 bytes"
    )]
    let bytes = (bytes as f64 * share) as usize;
    bytes
}

/// Returns the number of descriptors that this process may have, if the system tells it.
fn descriptor_limit() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
