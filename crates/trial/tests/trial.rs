//! The trial as a person starts it, short: it ends by itself, says that every
//! promise held, and its exit status says the same.

use std::process::{Command, Output};

const REQUESTS: &str = "150";

fn trial(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trial"));
    command.args(["--requests", REQUESTS]).args(arguments).output().expect("the trial starts")
}

fn check(arguments: &[&str]) {
    let output = trial(arguments);
    let summary = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{summary}{}", String::from_utf8_lossy(&output.stderr));
    assert!(summary.ends_with("every promise held\n"), "{summary}");
}

macro_rules! holds {
    ($($name:ident: [$($argument:literal),*];)*) => {
        $(#[test] fn $name() { check(&[$($argument),*]); })*
    };
}

holds! {
    both_deployments: ["--site", "both"];
    withdrawn_version: ["--site", "tousuvool", "--withdraw"];
    killed_and_leaving_instance: ["--site", "tubig", "--kill", "--leave"];
    faults_at_every_standin: ["--site", "tousuvool", "--faults"];
}

#[test]
fn missing_examples_are_named() {
    let output = trial(&["--examples", "no-such-directory"]);
    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("no-such-directory") && message.contains("--examples"), "{message}");
}
