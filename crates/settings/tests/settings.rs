//! Settings files, good and bad.

use proptest::{prelude::*, test_runner::RngSeed};
use settings::{Error, Settings};

/// Same cases at every run.
const SEED: u64 = 0x73_65_74;

/// Always set by cargo for tests and long enough for a secret.
const SECRET_ENV: &str = "CARGO_MANIFEST_DIR";

const GOOD: &str = "\
instance: tartu-a-1
domain: tartu-a
listeners:
  callers: { bind: '127.0.0.1:8080' }
  peers: { bind: '127.0.0.1:8081', advertise: '10.0.1.5:8081' }
  operators: { bind: '127.0.0.1:8082' }
platform:
  address: 127.0.0.1:9000
  reads_per_s: 150
peers:
  seeds: ['127.0.0.1:8181']
  key: { env: CARGO_MANIFEST_DIR }
operators:
  key: { env: CARGO_MANIFEST_DIR }
sessions:
  key: { env: CARGO_MANIFEST_DIR }
limits:
  body_bytes: 1048576
timing:
  freshness_ms: 5000
retries:
  share: 0.2
";

#[test]
fn good_file_is_read_and_defaults_filled_in() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.instance.as_str(), "tartu-a-1");
    assert_eq!(settings.listeners.peers.advertise, Some("10.0.1.5:8081".parse().unwrap()));
    assert_eq!(settings.platform.reads_per_s, 150);
    assert_eq!(settings.limits.body_bytes, 1_048_576);
    assert_eq!(settings.limits.header_bytes, settings::Limits::default().header_bytes);
    assert_eq!(settings.timing.freshness_ms, 5_000);
    assert!(settings.peers.key.matches(std::env::var(SECRET_ENV).unwrap().as_bytes()));
}

#[test]
fn secrets_do_not_show() {
    let settings = Settings::parse(GOOD).unwrap();
    let shown = format!("{settings:?}");
    assert!(!shown.contains(&std::env::var(SECRET_ENV).unwrap()));
}

/// Replaces one text of the good file and expects these texts in the error.
fn check(from: &str, to: &str, expected: &[&str]) {
    assert!(GOOD.contains(from), "the good file has no `{from}`");
    let error = Settings::parse(&GOOD.replacen(from, to, 1)).expect_err("must be refused").to_string();
    for text in expected {
        assert!(error.contains(text), "`{text}` is missing from: {error}");
    }
}

macro_rules! refuses {
    ($($name:ident: $from:expr => $to:expr, [$($expected:expr),*];)*) => {
        $(#[test] fn $name() { check($from, $to, &[$($expected),*]); })*
    };
}

refuses! {
    unknown_field_at_the_top: "retries:" => "retrys:", ["line 21", "`retrys`", "did you mean `retries`"];
    unknown_field_inside: "body_bytes" => "body_byte", ["line 18", "`body_byte`", "did you mean `body_bytes`"];
    unknown_field_of_a_listener: "bind: '127.0.0.1:8080'" => "bound: '127.0.0.1:8080'",
        ["line 4", "`bound`", "did you mean `bind`"];
    unknown_field_like_nothing: "freshness_ms" => "zzz", ["line 20", "`zzz`", "Known here", "freshness_ms"];
    missing_field: "instance: tartu-a-1\n" => "", ["`instance`", "missing"];
    missing_listener: "  operators: { bind: '127.0.0.1:8082' }\n" => "", ["`operators`", "missing"];
    missing_key: "  key: { env: CARGO_MANIFEST_DIR }\n" => "", ["`key`", "missing"];
    field_twice: "domain: tartu-a" => "domain: tartu-a\ndomain: voru", ["line 3", "domain"];
    name_with_a_blank: "tartu-a-1" => "tartu a 1", ["line 1", "`instance`", "is no name"];
    name_that_is_empty: "domain: tartu-a" => "domain: ''", ["line 2", "`domain`", "is no name"];
    address_without_port: "127.0.0.1:9000" => "127.0.0.1", ["line 8", "`platform.address`", "IP:PORT"];
    address_by_host_name: "127.0.0.1:9000" => "platform:9000", ["line 8", "`platform.address`", "IP:PORT"];
    address_with_port_zero: "127.0.0.1:9000" => "127.0.0.1:0", ["line 8", "other than 0"];
    address_of_everywhere: "127.0.0.1:9000" => "0.0.0.0:9000", ["line 8", "nobody can connect"];
    port_too_high: "127.0.0.1:8080" => "127.0.0.1:80800", ["line 4", "`listeners.callers.bind`"];
    seed_that_is_no_address: "127.0.0.1:8181" => "tartu-b-1", ["line 11", "`peers.seeds`"];
    unspecified_bind_without_advertise: "127.0.0.1:8080" => "0.0.0.0:8080", ["line 4", "add `advertise"];
    listeners_on_one_port: "127.0.0.1:8082" => "127.0.0.1:8080", ["line 6", "`operators` and `callers`", "its own port"];
    unspecified_bind_overlaps: "'127.0.0.1:8082'" => "'0.0.0.0:8080', advertise: '10.0.1.5:8080'",
        ["line 6", "`operators` and `callers`"];
    number_too_small: "1048576" => "10", ["line 18", "`limits.body_bytes` is 10", "1024 to 67108864 bytes"];
    number_too_large: "freshness_ms: 5000" => "freshness_ms: 5000000", ["line 20", "1000 to 600000 milliseconds"];
    number_negative: "freshness_ms: 5000" => "freshness_ms: -1", ["line 20"];
    number_with_a_unit: "1048576" => "1MiB", ["line 18"];
    rate_of_zero: "reads_per_s: 150" => "reads_per_s: 0", ["line 9", "1 to 100000 calls a second"];
    share_above_one: "share: 0.2" => "share: 20", ["line 22", "`retries.share` is 20", "0 to 1"];
    share_that_is_no_number: "share: 0.2" => "share: .nan", ["line 22"];
    attempts_too_many: "  share: 0.2" => "  attempts: 11", ["line 22", "1 to 10 attempts"];
    secret_in_the_file_itself: "{ env: CARGO_MANIFEST_DIR }" => "hunter2-hunter2-hunter2", ["line 12", "never in the settings"];
    secret_variable_not_set: "CARGO_MANIFEST_DIR" => "NO_SUCH_VARIABLE", ["line 12", "`peers.key`", "not set"];
    secret_file_not_there: "{ env: CARGO_MANIFEST_DIR }" => "{ file: /no/such/file }", ["line 12", "cannot read file"];
    secret_too_short: "CARGO_MANIFEST_DIR" => "CARGO_PKG_VERSION", ["line 12", "fewer than 16 bytes"];
    secret_with_blanks_inside: "CARGO_MANIFEST_DIR" => "CARGO_PKG_DESCRIPTION", ["line 12", "printable ASCII"];
    secret_source_unknown: "{ env: CARGO_MANIFEST_DIR }" => "{ vault: x }", ["line 12", "`{ file: PATH }`"];
    log_level_that_is_none: "retries:" => "log: timeline=loud\nretries:", ["line 21", "`log`", "is no filter"];
    own_domain_not_listed: "domain: tartu-a" => "domain: tartu-a\ndomains: [voru]", ["line 3", "`domains`"];
    connections_too_few: "body_bytes: 1048576" => "connections: 1", ["line 18", "16 to 1000000 connections"];
    not_yaml: "listeners:" => "listeners: {", ["line"];
    a_list_in_place_of_a_mapping: "retries:\n  share: 0.2" => "retries: [1]", ["line 21"];
    two_documents: "retries:" => "---\nretries:", ["line"];
}

/// A secret is written where its source belongs. The error says where it
/// belongs and does not repeat it, because errors end in log lines.
#[test]
fn refused_secret_does_not_show() {
    let text = GOOD.replacen("{ env: CARGO_MANIFEST_DIR }", "hunter2-hunter2-hunter2", 1);
    let error = Settings::parse(&text).expect_err("must be refused");
    assert!(!format!("{error} {error:?}").contains("hunter2"));
}

#[test]
fn all_faults_are_named_in_one_run() {
    let text = GOOD.replace("1048576", "10").replace("127.0.0.1:9000", "nowhere").replace("0.2", "7");
    let Err(Error::Invalid { faults }) = Settings::parse(&text) else { panic!("must be refused") };
    let lines: Vec<_> = faults.iter().map(settings::Fault::line).collect();
    assert_eq!(lines, [8, 18, 22]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever stands in the file, the answer is settings or faults.
    #[test]
    fn any_text_is_read_or_refused(text in ".{0,300}") {
        prop_assert!(Settings::parse(&text).is_err());
    }

    /// The same for the good file with one byte changed.
    #[test]
    fn a_changed_byte_is_read_or_refused(place in 0..GOOD.len(), byte in 0_u8..128) {
        let mut bytes = GOOD.as_bytes().to_vec();
        bytes[place] = byte;
        let text = String::from_utf8(bytes).expect("ASCII");
        if let Err(error) = Settings::parse(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}

#[test]
fn empty_file_is_refused() {
    let error = Settings::parse("").expect_err("must be refused");
    assert!(matches!(error, Error::Invalid { .. }));
}

#[test]
fn file_that_is_not_there_is_named() {
    let error = Settings::load(std::path::Path::new("/no/such/settings.yaml")).expect_err("must be refused");
    assert!(error.to_string().contains("/no/such/settings.yaml"));
}

#[test]
fn local_settings_share_their_keys() {
    let platform = "127.0.0.1:9000".parse().unwrap();
    let local = |name: &str| Settings::local(name.parse().unwrap(), "tartu-a".parse().unwrap(), platform);
    let (a, b) = (local("a"), local("b"));
    assert!(a.peers.key.matches(b.peers.key.expose().as_bytes()));
    assert!(!a.peers.key.matches(a.keys.operators.expose().as_bytes()));
}
