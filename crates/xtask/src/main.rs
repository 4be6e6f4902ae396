//! Chores of the workspace: `cargo run -p xtask -- <chore>`.

mod codegen;

use std::{path::Path, process::ExitCode};

use clap::{Arg, ArgAction, Command};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("codegen", chore)) => codegen::run(&root(), chore.get_flag("check")),
        _ => unreachable!("clap asks for a chore"),
    };
    if let Err(error) = outcome {
        eprintln!("xtask: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// The workspace, wherever the chore is started.
fn root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Write nothing; fail when the committed files differ");
    Command::new("xtask")
        .about("Chores of the workspace")
        .subcommand_required(true)
        .subcommand(Command::new("codegen").about("Generate crates/*/src/generated.rs from crates/*/proto").arg(check))
}
