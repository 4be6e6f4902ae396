//! Chores of the workspace: `cargo run -p xtask -- <chore>`.

mod codegen;
mod days;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("codegen", chore)) => codegen::run(&root(), chore.get_flag("check")).map_err(|error| error.to_string()),
        Some(("days", chore)) => days::run(
            &root(),
            &days::Plan {
                bench: chore.get_one::<PathBuf>("bench").cloned().unwrap_or_default(),
                site: chore.get_one::<PathBuf>("site").cloned().unwrap_or_default(),
                jobs: chore.get_one::<usize>("jobs").copied().unwrap_or(1),
                why: chore.get_one::<String>("why").cloned().unwrap_or_default(),
            },
        ),
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
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("PATH").required(true).value_parser(value_parser!(PathBuf)).help(help)
    };
    let days = Command::new("days")
        .about("Play every day of deploy/days on a site and print one table")
        .arg(path("bench", "The bench's program"))
        .arg(path("site", "The site's file"))
        .arg(Arg::new("jobs").long("jobs").default_value("4").value_parser(value_parser!(usize)).help("Days at a time"))
        .arg(Arg::new("why").long("why").default_value("every kind of trouble on its own").help("For the journal"));
    Command::new("xtask")
        .about("Chores of the workspace")
        .subcommand_required(true)
        .subcommand(Command::new("codegen").about("Generate crates/*/src/generated.rs from crates/*/proto").arg(check))
        .subcommand(days)
}
