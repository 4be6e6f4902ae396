//! The settings of a relaying process, at its start and when they are read again.
//!
//! The platform writes the file out of its own figures, which are whole numbers, fractions, true or false, or absent. A
//! process that refused one of them would not start again.

#[path = "../../../platform/tests/template/fill.rs"]
mod fill;

use std::{
    env, fs,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Bounds that the template fills in, with a whole number and a fraction.
const BOUNDS: [(&str, u32, f64); 11] = [
    ("grace-s", 8, 7.5),
    ("budget-window-s", 10, 2.25),
    ("budget-ratio", 1, 0.9),
    ("budget-extra", 54, 53.5),
    ("expose-share", 1, 0.15),
    ("session-s", 5, 8.5),
    ("ttl_max_s", 5, 2.5),
    ("revoke-ms", 5_000, 2_500.5),
    ("config-ms", 3_000, 2_000.25),
    ("evac-ms", 5_000, 2_500.5),
    ("cold-excess", 2, 1.5),
];

/// Longest time until a process has logged what it is told.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// A process, which is killed at the end of the test, and its files.
struct Relay {
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
        fs::remove_file(&self.settings).ok();
        fs::remove_file(&self.log).ok();
    }
}

impl Relay {
    fn start(settings: &str) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("arbutuslugd-settings-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let (file, log) = (env::temp_dir().join(format!("{name}.yaml")), env::temp_dir().join(format!("{name}.log")));
        fs::write(&file, settings).unwrap();
        let output = fs::File::create(&log).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_arbutuslugd"))
            .arg("relay")
            .env(platform::SETTINGS_VARIABLE, &file)
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        Self { process, settings: file, log }
    }

    /// Writes the settings again and has them read.
    fn reload(&self, settings: &str) {
        fs::write(&self.settings, settings).unwrap();
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }

    fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }

    fn count(&self, text: &str) -> usize {
        self.log().matches(text).count()
    }

    /// Waits until a text stands in the log so many times.
    fn wait_for(&mut self, text: &str, count: usize) {
        let started = Instant::now();
        while self.count(text) < count {
            let ended = self.process.try_wait().unwrap();
            assert!(ended.is_none(), "ended with {ended:?}: {}", self.log());
            assert!(started.elapsed() < MAX_WAIT, "{count} times {text}: {}", self.log());
            sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the process has ended by itself, and returns its exit status.
    fn end(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status.code();
            }
            assert!(started.elapsed() < MAX_WAIT, "it still runs: {}", self.log());
            sleep(Duration::from_millis(5));
        }
    }
}

/// Returns the platform's fields for a process on free ports, with a store that nobody listens at.
fn fields() -> Value {
    let mut fields = fill::fields();
    for listener in ["front", "ready", "control", "directory"] {
        fields["listen"][listener] = json!("127.0.0.1:0");
    }
    fields["ip"] = json!("127.0.0.1");
    fields["seeds"] = json!([]);
    fields["platform"]["addr"] = json!("127.0.0.1:9");
    fields
}

/// Returns the settings with a figure for a bound, or with none.
fn settings(bound: &str, figure: Option<Value>) -> String {
    let mut fields = fields();
    let bounds = fields["bounds"].as_object_mut().unwrap();
    match figure {
        Some(figure) => bounds.insert(bound.to_owned(), figure),
        None => bounds.remove(bound),
    };
    // The metrics port of the template is the same for all processes of a machine.
    fill::fill_in(&fields).replace(":9464", ":0")
}

/// Returns the settings with each bound in each form that is allowed.
fn valid() -> Vec<String> {
    let forms = BOUNDS.iter().flat_map(|(bound, whole, fraction)| {
        let figures =
            [Some(json!(whole)), Some(json!(f64::from(*whole))), Some(json!(fraction)), Some(json!(false)), None];
        figures.into_iter().map(|figure| settings(bound, figure))
    });
    let strict = [Some(json!(false)), None].into_iter().map(|figure| settings("strict-revoke", figure));
    forms.chain(strict).collect()
}

#[test]
fn process_starts_with_each_form_of_each_bound() {
    for settings in valid() {
        Relay::start(&settings).wait_for("\"started\"", 1);
    }
}

#[test]
fn each_form_of_each_bound_is_read_again() {
    let valid = valid();
    let mut relay = Relay::start(&valid[0]);
    relay.wait_for("\"started\"", 1);
    for (number, settings) in valid.iter().enumerate() {
        relay.reload(settings);
        relay.wait_for("settings read again", number + 1);
    }
    assert_eq!(relay.count("settings are not valid"), 0);
}

/// Names of the bounds in the settings.
fn name(bound: &str) -> &'static str {
    match bound {
        "grace-s" => "grace_s",
        "budget-window-s" => "retries.window_s",
        "budget-ratio" => "retries.ratio",
        "budget-extra" => "retries.reserve",
        "expose-share" => "exposure_share",
        "session-s" => "session_s",
        "ttl_max_s" => "keep_addresses_s",
        "revoke-ms" => "revoke_ms",
        "config-ms" => "replace_ms",
        "evac-ms" => "evacuate_ms",
        "cold-excess" => "warmup_excess",
        other => panic!("{other}"),
    }
}

/// Operators have only the output of the process to find what the platform has written.
#[test]
fn start_with_a_wrong_figure_names_field_and_value() {
    for (bound, _, _) in BOUNDS {
        for (figure, shown) in [(json!(true), "true"), (json!(-3.5), "-3.5"), (json!("soon"), "\"soon\"")] {
            let mut relay = Relay::start(&settings(bound, Some(figure)));
            assert_eq!(relay.end(), Some(2), "{}", relay.log());
            let expected = format!("`{}` is {shown}; give ", name(bound));
            assert!(relay.log().contains(&expected), "{expected}: {}", relay.log());
        }
    }
}

/// A process that ended, or took a wrong figure, because of a change would lose requests.
#[test]
fn wrong_figure_is_named_when_it_is_read_again_and_the_earlier_stays() {
    let good = settings("grace-s", Some(json!(8)));
    let mut relay = Relay::start(&good);
    relay.wait_for("\"started\"", 1);
    for (number, (bound, _, _)) in BOUNDS.iter().enumerate() {
        relay.reload(&settings(bound, Some(json!(true))));
        relay.wait_for("settings are not valid; the earlier ones stay", number + 1);
        let expected = format!("`{}` is true; give ", name(bound));
        assert!(relay.log().contains(&expected), "{expected}: {}", relay.log());
    }
    relay.reload(&good);
    relay.wait_for("settings read again", 1);
}
