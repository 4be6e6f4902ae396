//! Command lines that make no sense, and those that need no instance.

use arbutuslug::{Console, Environment, Exit};

use crate::fake::{Fake, State, run};

async fn alone(args: &[&str], environment: &Environment) -> (Exit, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = std::iter::once("arbutuslug").chain(args.iter().copied()).map(Into::into);
    let exit = arbutuslug::run(args, environment, &mut Console::new(&mut out, &mut err)).await;
    (exit, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

/// Runs without any instance and expects a usage error that says this.
async fn check(args: &[&str], expected: &str) {
    let environment = Environment { key: Some("k".into()), ..Environment::default() };
    let (exit, out, err) = alone(args, &environment).await;
    assert_eq!(exit, Exit::Usage, "{args:?}: {err}");
    assert!(out.is_empty(), "{out}");
    assert!(err.contains(expected), "`{expected}` is missing from: {err}");
}

macro_rules! refuses {
    ($($name:ident: [$($arg:expr),*] => $expected:expr;)*) => {
        $(#[tokio::test] async fn $name() { check(&[$($arg),*], $expected).await; })*
    };
}

refuses! {
    no_verb: [] => "Usage";
    unknown_verb: ["statsu"] => "status";
    unknown_kind: ["get", "tenant"] => "contract, model, rollout, pool, service";
    no_instance_named: ["status"] => "ARBUTUSLUG_ADDRESS";
    address_without_port: ["status", "--address", "10.0.1.5"] => "`10.0.1.5` is no address";
    address_by_host_name: ["status", "--address", "tartu-a-1:7102"] => "is no address";
    key_file_that_is_not_there: ["status", "--address", "127.0.0.1:1", "--key-file", "/no/such/key"] => "/no/such/key";
    name_that_is_none: ["history", "contract", "../x", "--address", "127.0.0.1:1"] => "is not a name";
    generation_that_is_no_number: ["wait", "latest"] => "latest";
    wait_that_is_negative: ["wait", "1", "--wait=-1"] => "0 to 86400 seconds";
    wait_that_is_no_number: ["wait", "1", "--wait", "soon"] => "0 to 86400 seconds";
    version_without_model: ["rollout", "start", "r", "--version", "4", "--predecessor", "3"] => "MODEL@VERSION";
    start_without_predecessor: ["rollout", "start", "r", "--version", "a@4"] => "--predecessor";
    rollout_without_action: ["rollout"] => "Usage";
    unknown_event_kind: ["timeline", "--kind", "sessions"] => "take_over";
    request_with_two_slashes: ["explain", "a/b/c", "--address", "127.0.0.1:1"] => "is not a name";
    unknown_format: ["status", "-o", "xml"] => "json";
    unknown_shell: ["completions", "cmd"] => "bash";
}

#[tokio::test]
async fn key_is_asked_for() {
    let (exit, _, err) = alone(&["status", "--address", "127.0.0.1:1"], &Environment::default()).await;
    assert_eq!(exit, Exit::Usage);
    assert!(err.contains("--key-file FILE or set ARBUTUSLUG_KEY"), "{err}");
}

#[tokio::test]
async fn help_and_completions_need_no_instance() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let (exit, out, _) = alone(&["completions", shell], &Environment::default()).await;
        assert_eq!(exit, Exit::Done);
        assert!(out.contains("rollout"), "{shell}");
    }
    let (exit, out, _) = alone(&["--help"], &Environment::default()).await;
    assert_eq!(exit, Exit::Done);
    assert!(out.contains("Exit status"));
}

#[tokio::test]
async fn file_is_checked_without_an_instance() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/tousuvool/objects.yaml");
    let (exit, out, err) = alone(&["check", path], &Environment::default()).await;
    assert_eq!(exit, Exit::Done, "{err}");
    assert!(out.contains("no fault"), "{out}");
    let (exit, _, err) = alone(&["check", "/no/such/file.yaml"], &Environment::default()).await;
    assert_eq!(exit, Exit::Refused);
    assert!(err.contains("/no/such/file.yaml"), "{err}");
}

/// The first address has nobody; the tool asks the next one.
#[tokio::test]
async fn next_address_is_asked() {
    let fake = Fake::start(State::default()).await;
    let nobody = "127.0.0.1:1".parse().unwrap();
    assert_eq!(run(&[nobody, fake.address], &["status"]).await.exit, Exit::Done);
    let ran = run(&[nobody], &["status"]).await;
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("cannot reach 127.0.0.1:1"), "{}", ran.err);
}
