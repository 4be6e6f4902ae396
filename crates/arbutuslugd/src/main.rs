//! The daemon's program: arguments, logs, signals.

use std::{path::PathBuf, process::ExitCode};

use arbutuslugd::{Daemon, explain, relaying};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use settings::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit status for settings that are not valid.
const EXIT_USAGE: u8 = 2;

fn command() -> Command {
    Command::new("arbutuslugd")
        .about("Routes requests to model versions and plain services")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of this instance, YAML"),
        )
        .subcommand_negates_reqs(true)
        .subcommand(
            Command::new("relay").about("Passes requests through by host and path, on a platform of objects").arg(
                Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("Settings of this instance, YAML; the file the platform names if not given"),
            ),
        )
        .subcommand(explain::command())
        .arg(Arg::new("check").long("check").action(ArgAction::SetTrue).help("Check the settings and exit"))
}

fn main() -> ExitCode {
    let arguments = command().get_matches();
    if let Some(("relay", arguments)) = arguments.subcommand() {
        return relaying::run(arguments.get_one::<PathBuf>("settings").cloned());
    }
    if let Some(("explain", arguments)) = arguments.subcommand() {
        return explain::run(arguments);
    }
    daemon(&arguments)
}

#[tokio::main]
async fn daemon(arguments: &ArgMatches) -> ExitCode {
    let path: &PathBuf = arguments.get_one("settings").expect("the argument is required");
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.get_flag("check") {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    log_json(&settings.log);
    run(settings).await
}

/// Runs until a signal, then leaves in order.
async fn run(settings: Settings) -> ExitCode {
    let daemon = match Daemon::spawn(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            tracing::error!(%error, "not started");
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    tracing::info!(callers = %daemon.callers(), peers = %daemon.peers(), operators = %daemon.operators(), "started");
    tokio::select! {
        () = terminated() => tracing::info!("leaving on a signal"),
        () = daemon.drained() => tracing::info!("leaving on an operator's word"),
    }
    daemon.shutdown().await;
    tracing::info!("left");
    ExitCode::SUCCESS
}

async fn terminated() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be watched");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn log_json(filter: &str) {
    // The settings' check has parsed the filter already; an odd one that
    // slipped through must not keep the daemon from starting.
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
}
