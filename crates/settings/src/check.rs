//! From the file's form to checked settings; collects every fault.

use std::{net::SocketAddr, ops::RangeInclusive, str::FromStr};

use world::{domain::Domain, instance};

use crate::{
    Keys, Limits, Listener, Listeners, Peers, Platform, Retries, Settings, Timeline, Timing,
    error::Fault,
    file::{self, Field, File, Source},
    secret::{MIN_SECRET_LEN, Secret},
};

/// Filter of log lines when the file gives none.
pub(crate) const DEFAULT_LOG: &str = "info";

const BYTES: &str = "bytes";
const MILLIS: &str = "milliseconds";
const EVENTS: &str = "events";
const CALLS: &str = "calls a second";

/// A seventh of what the platform takes, with room to spare: several hundred
/// writes and about two thousand reads a second over all instances.
pub(crate) fn default_platform(address: SocketAddr) -> Platform {
    Platform { address, reads_per_s: 200, writes_per_s: 40, timeout_ms: 2_000 }
}

/// Checks a file.
pub(crate) fn check(file: File) -> Result<Settings, Vec<Fault>> {
    let mut check = Check { faults: Vec::new() };
    let settings = check.settings(file);
    check.faults.sort_by_key(Fault::line);
    match settings {
        Some(settings) if check.faults.is_empty() => Ok(settings),
        _ => Err(check.faults),
    }
}

/// Faults found so far.
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    /// Reads every part before giving up on any, so that one run of `--check`
    /// names all faults.
    fn settings(&mut self, file: File) -> Option<Settings> {
        let instance = self.parsed::<instance::Id>("instance", &file.instance);
        let domain = self.parsed::<Domain>("domain", &file.domain);
        let domains = self.domains(domain.as_ref(), &file.domains);
        let listeners = self.listeners(&file.listeners);
        let platform = self.platform(&file.platform);
        let peers = self.peers(&file.peers);
        let operators = self.secret("operators.key", &file.operators.key);
        let sessions = self.secret("sessions.key", &file.sessions.key);
        let ratings = file.ratings.map(|ratings| self.address("ratings.address", &ratings.address));
        let limits = self.limits(&file.limits);
        let timing = self.timing(&file.timing);
        let retries = self.retries(&file.retries);
        let timeline = self.timeline(&file.timeline);
        let log = self.log(file.log.as_ref());
        Some(Settings {
            instance: instance?,
            domain: domain?,
            domains: domains?,
            listeners: listeners?,
            platform: platform?,
            peers: peers?,
            keys: Keys { operators: operators?, sessions: sessions? },
            ratings: match ratings {
                Some(address) => Some(address?),
                None => None,
            },
            limits,
            timing,
            retries,
            timeline,
            log,
        })
    }

    /// The site's failure domains; the own one alone when none are listed.
    fn domains(&mut self, own: Option<&Domain>, file: &[file::Field<String>]) -> Option<Vec<Domain>> {
        let domains: Vec<_> = file.iter().map(|domain| self.parsed::<Domain>("domains", domain)).collect();
        let domains: Vec<Domain> = domains.into_iter().collect::<Option<_>>()?;
        let own = own?;
        let (Some(first), false) = (file.first(), domains.contains(own)) else {
            return Some(if domains.is_empty() { vec![own.clone()] } else { domains });
        };
        self.value("domains", first, "leaves out this instance's own `domain`; list every failure domain of the site");
        None
    }

    fn listeners(&mut self, file: &file::Listeners) -> Option<Listeners> {
        let callers = self.listener("listeners.callers.bind", "listeners.callers.advertise", &file.callers);
        let peers = self.listener("listeners.peers.bind", "listeners.peers.advertise", &file.peers);
        let operators = self.listener("listeners.operators.bind", "listeners.operators.advertise", &file.operators);
        let listeners = Listeners { callers: callers?, peers: peers?, operators: operators? };
        self.overlap(("callers", &file.callers, listeners.callers), ("peers", &file.peers, listeners.peers));
        self.overlap(
            ("callers", &file.callers, listeners.callers),
            ("operators", &file.operators, listeners.operators),
        );
        self.overlap(("peers", &file.peers, listeners.peers), ("operators", &file.operators, listeners.operators));
        Some(listeners)
    }

    fn listener(
        &mut self,
        bind_field: &'static str,
        advertise_field: &'static str,
        file: &file::Listener,
    ) -> Option<Listener> {
        let bind = self.parsed::<SocketAddr>(bind_field, &file.bind);
        let advertise = file.advertise.as_ref().map(|text| self.address(advertise_field, text));
        let advertise = match advertise {
            Some(address) => Some(address?),
            None => None,
        };
        let bind = bind?;
        if bind.ip().is_unspecified() && advertise.is_none() {
            self.value(
                bind_field,
                &file.bind,
                "binds every address; add `advertise: IP:PORT` for others to connect to",
            );
            return None;
        }
        Some(Listener { bind, advertise })
    }

    /// Two listeners on one port: the second bind would fail after the first
    /// listener already took callers.
    fn overlap(
        &mut self,
        first: (&'static str, &file::Listener, Listener),
        second: (&'static str, &file::Listener, Listener),
    ) {
        let (a, b) = (first.2.bind, second.2.bind);
        let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
        if a.port() == 0 || a.port() != b.port() || !same_ip {
            return;
        }
        let line = second.1.bind.referenced.line();
        self.faults.push(Fault::Overlap { line, first: first.0, second: second.0, address: b });
    }

    fn platform(&mut self, file: &file::Platform) -> Option<Platform> {
        let address = self.address("platform.address", &file.address);
        let defaults = default_platform(SocketAddr::from(([0, 0, 0, 0], 0)));
        let rate = 1..=100_000;
        let reads = self.number("platform.reads_per_s", file.reads_per_s.as_ref(), rate.clone(), CALLS);
        let writes = self.number("platform.writes_per_s", file.writes_per_s.as_ref(), rate, CALLS);
        let timeout = self.number("platform.timeout_ms", file.timeout_ms.as_ref(), 50..=60_000, MILLIS);
        Some(Platform {
            address: address?,
            reads_per_s: reads.map_or(defaults.reads_per_s, clamp_u32),
            writes_per_s: writes.map_or(defaults.writes_per_s, clamp_u32),
            timeout_ms: timeout.unwrap_or(defaults.timeout_ms),
        })
    }

    fn peers(&mut self, file: &file::Peers) -> Option<Peers> {
        let seeds: Vec<_> = file.seeds.iter().map(|seed| self.address("peers.seeds", seed)).collect();
        let key = self.secret("peers.key", &file.key);
        Some(Peers { seeds: seeds.into_iter().collect::<Option<_>>()?, key: key? })
    }

    fn limits(&mut self, file: &file::Limits) -> Limits {
        let d = Limits::default();
        let body = self.number("limits.body_bytes", file.body_bytes.as_ref(), 1_024..=64 << 20, BYTES);
        let header = self.number("limits.header_bytes", file.header_bytes.as_ref(), 1_024..=256 << 10, BYTES);
        let connections = self.number("limits.connections", file.connections.as_ref(), 16..=1_000_000, "connections");
        Limits {
            body_bytes: body.map_or(d.body_bytes, clamp_usize),
            header_bytes: header.map_or(d.header_bytes, clamp_usize),
            connections: connections.map_or(d.connections, clamp_usize),
        }
    }

    fn timing(&mut self, file: &file::Timing) -> Timing {
        let d = Timing::default();
        let freshness = self.number("timing.freshness_ms", file.freshness_ms.as_ref(), 1_000..=600_000, MILLIS);
        let keep = self.number("timing.keep_ms", file.keep_ms.as_ref(), 100..=600_000, MILLIS);
        let drain = self.number("timing.drain_ms", file.drain_ms.as_ref(), 0..=3_600_000, MILLIS);
        Timing {
            freshness_ms: freshness.unwrap_or(d.freshness_ms),
            keep_ms: keep.unwrap_or(d.keep_ms),
            drain_ms: drain.unwrap_or(d.drain_ms),
        }
    }

    fn retries(&mut self, file: &file::Retries) -> Retries {
        let d = Retries::default();
        let attempts = self.number("retries.attempts", file.attempts.as_ref(), 1..=10, "attempts");
        let share = file.share.as_ref().map(|field| self.share("retries.share", field));
        Retries { share: share.unwrap_or(d.share), attempts: attempts.map_or(d.attempts, clamp_u32) }
    }

    fn timeline(&mut self, file: &file::Timeline) -> Timeline {
        let d = Timeline::default();
        let range = 100..=1_000_000;
        let requests = self.number("timeline.requests", file.requests.as_ref(), range.clone(), EVENTS);
        let others = self.number("timeline.others", file.others.as_ref(), range, EVENTS);
        Timeline { requests: requests.map_or(d.requests, clamp_usize), others: others.map_or(d.others, clamp_usize) }
    }

    fn log(&mut self, given: Option<&Field<String>>) -> String {
        let Some(given) = given else { return DEFAULT_LOG.into() };
        if tracing_subscriber::EnvFilter::try_new(&given.value).is_err() {
            self.value("log", given, "is no filter; write a level, or `info,timeline=warn` say");
        }
        given.value.clone()
    }

    fn number(
        &mut self,
        field: &'static str,
        given: Option<&Field<u64>>,
        range: RangeInclusive<u64>,
        unit: &'static str,
    ) -> Option<u64> {
        let given = given?;
        if range.contains(&given.value) {
            return Some(given.value);
        }
        self.faults.push(Fault::Range {
            line: given.referenced.line(),
            field,
            value: given.value.to_string(),
            least: range.start().to_string(),
            most: range.end().to_string(),
            unit,
        });
        None
    }

    fn share(&mut self, field: &'static str, given: &Field<f64>) -> f64 {
        if !(0.0..=1.0).contains(&given.value) {
            self.faults.push(Fault::Range {
                line: given.referenced.line(),
                field,
                value: given.value.to_string(),
                least: "0".into(),
                most: "1".into(),
                unit: "(a share)",
            });
        }
        given.value
    }

    fn parsed<T: FromStr>(&mut self, field: &'static str, text: &Field<String>) -> Option<T> {
        let parsed = text.value.parse().ok();
        if parsed.is_none() {
            self.value(field, text, expectation::<T>());
        }
        parsed
    }

    /// An address that others connect to: it needs a host and a port.
    fn address(&mut self, field: &'static str, text: &Field<String>) -> Option<SocketAddr> {
        let address: SocketAddr = self.parsed(field, text)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            self.value(field, text, "nobody can connect there; give an address and a port other than 0");
            return None;
        }
        Some(address)
    }

    fn value(&mut self, field: &'static str, text: &Field<String>, expectation: &str) {
        let shown: String = text.value.chars().take(80).collect();
        let message = format!("`{}` {expectation}", shown.escape_debug());
        self.faults.push(Fault::Value { line: text.referenced.line(), field, message });
    }

    fn secret(&mut self, field: &'static str, source: &Field<Source>) -> Option<Secret> {
        match read_secret(&source.value) {
            Ok(secret) => Some(secret),
            Err(message) => {
                self.faults.push(Fault::Secret { line: source.referenced.line(), field, message });
                None
            }
        }
    }
}

/// What a text of this type must look like, for people.
fn expectation<T>() -> &'static str {
    if std::any::type_name::<T>().ends_with("SocketAddr") {
        "is no address; write IP:PORT, 10.0.1.5:8080 or [fd00::5]:8080 say"
    } else {
        "is no name; use 1 to 128 of a-z, A-Z, 0-9, `.`, `_`, `-`, and start with a letter or digit"
    }
}

fn read_secret(source: &Source) -> Result<Secret, String> {
    let (bytes, place) = match source {
        Source::File(path) => {
            let bytes = std::fs::read(path).map_err(|error| {
                format!("cannot read file {path} ({error}); create it, readable by the daemon alone")
            })?;
            (bytes, format!("file {path}"))
        }
        Source::Env(name) => {
            let value = std::env::var(name)
                .map_err(|_| format!("environment variable {name} is not set; set it, or use `file: PATH`"))?;
            (value.into_bytes(), format!("environment variable {name}"))
        }
    };
    // Keys travel in headers, which take no other bytes.
    let secret = bytes.trim_ascii();
    let text = str::from_utf8(secret).ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_graphic()));
    let Some(text) = text else {
        return Err(format!("{place} holds bytes that are not printable ASCII; use hex or base64"));
    };
    if text.len() < MIN_SECRET_LEN {
        return Err(format!("{place} holds fewer than {MIN_SECRET_LEN} bytes; use a longer random secret"));
    }
    Ok(Secret::new(text))
}

fn clamp_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn clamp_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
