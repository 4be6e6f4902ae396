//! Memory of a relaying process, which runs on instances with less than 100 MiB.

use std::{
    env, fs,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// Settings with free ports and a store that nobody listens at.
const SETTINGS: &str = r#"
instance: here
domain: tartu-a
listeners: { front: "127.0.0.1:0", ready: "127.0.0.1:0", directory: "127.0.0.1:0", news: "127.0.0.1:0" }
store: "127.0.0.1:9"
metrics: "127.0.0.1:0"
log: "off"
retries: { ratio: 0.9, reserve: 54, window_ms: 10000 }
exposure_share: 0.15
grace_ms: 1000
memory_mib: 88
"#;

/// Longest time until the process has started and allocated memory.
const MAX_STARTUP: Duration = Duration::from_secs(20);

/// A process, which is killed at the end of the test, and its settings file.
struct Relay {
    process: Child,
    settings: PathBuf,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
        fs::remove_file(&self.settings).ok();
    }
}

impl Relay {
    fn start() -> Self {
        let settings = env::temp_dir().join(format!("arbutuslugd-memory-{}.yaml", std::process::id()));
        fs::write(&settings, SETTINGS).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_arbutuslugd"))
            .args(["relay", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self { process, settings }
    }

    /// Returns a field of the process's memory statistics, in KiB.
    fn memory_kib(&self, field: &str) -> Option<u64> {
        let statistics = fs::read_to_string(format!("/proc/{}/smaps_rollup", self.process.id())).ok()?;
        let line = statistics.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    }

    /// Whether the process listens for connections.
    fn listens(&self) -> bool {
        let Ok(descriptors) = fs::read_dir(format!("/proc/{}/fd", self.process.id())) else { return false };
        let links = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        links.filter(|link| link.to_string_lossy().starts_with("socket:")).count() >= 5
    }
}

/// The allocator backs its first blocks with huge pages: an idle process then occupies 8 MiB
/// more than it uses, and a busy one 15 MiB.
#[test]
fn relay_uses_no_huge_pages() {
    let relay = Relay::start();
    let started = Instant::now();
    while !relay.listens() {
        assert!(started.elapsed() < MAX_STARTUP, "the process should listen");
        sleep(Duration::from_millis(20));
    }
    assert_eq!(relay.memory_kib("AnonHugePages"), Some(0));
}
