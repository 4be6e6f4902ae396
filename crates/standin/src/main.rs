//! `standin`: one stand-in as a process, until it is interrupted.

use std::{collections::BTreeSet, io, net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standin::{
    engine::{self, Engine},
    objects::{Limits, Objects},
    rating::{self, Rating},
    service::Service,
};

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot listen: {error}; name a free address with --listen");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .help("Address to listen on; port 0 takes a free one")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .global(true);
    let seed = number("seed", "Seed of faults by chance", "0").global(true);
    Command::new("standin")
        .about("A stand-in for one outside system; prints its address")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .args([listen, seed])
        .subcommand(Command::new("objects").about("The platform's object API").args([
            number("writes-per-s", "Writes taken a second", "400"),
            number("reads-per-s", "Reads taken a second", "2000"),
        ]))
        .subcommand(
            Command::new("engine").about("A model engine").args([
                Arg::new("version")
                    .long("version")
                    .help("model@number it has")
                    .action(ArgAction::Append)
                    .required(true),
                Arg::new("ignores-fence")
                    .long("ignores-fence")
                    .help("Follows orders with an old fencing number")
                    .action(ArgAction::SetTrue),
                number("slots", "Runs batched at a time", "16"),
                number("first-token-ms", "To the first token", "20"),
                number("per-token-ms", "Between tokens", "2"),
                number("load-ms", "To load a version", "0"),
                number("lag-ms", "Age of reports", "500"),
            ]),
        )
        .subcommand(Command::new("service").about("A plain service"))
        .subcommand(Command::new("rating").about("The service that rates answers").arg(number(
            "delay-ms",
            "From a submission to its rating",
            "500",
        )))
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(u32))
}

async fn run(matches: &ArgMatches) -> io::Result<()> {
    let (kind, flags) = matches.subcommand().expect("clap asks for one");
    let listen = *flags.get_one::<SocketAddr>("listen").expect("has a default");
    let seed = u64::from(get(flags, "seed"));
    // Each arm holds its handle until the interrupt: the stand-in ends with it.
    match kind {
        "objects" => {
            let limits = Limits {
                writes_per_s: f64::from(get(flags, "writes-per-s")),
                reads_per_s: f64::from(get(flags, "reads-per-s")),
                seed,
            };
            let handle = Objects::bind(listen, limits).await?;
            until_interrupted(handle.addr()).await
        }
        "engine" => {
            let handle = Engine::bind(listen, engine_options(flags, seed)).await?;
            until_interrupted(handle.addr()).await
        }
        "service" => {
            let handle = Service::bind(listen, seed).await?;
            until_interrupted(handle.addr()).await
        }
        _ => {
            let delay_ms = get(flags, "delay-ms").into();
            let handle = Rating::bind(listen, rating::Options { delay_ms, seed, ..rating::Options::default() }).await?;
            until_interrupted(handle.addr()).await
        }
    }
}

fn engine_options(flags: &ArgMatches, seed: u64) -> engine::Options {
    let versions: BTreeSet<_> = flags.get_many::<String>("version").into_iter().flatten().cloned().collect();
    engine::Options {
        versions,
        slots: get(flags, "slots") as usize,
        first_token_ms: get(flags, "first-token-ms").into(),
        per_token_ms: get(flags, "per-token-ms").into(),
        load_ms: get(flags, "load-ms").into(),
        lag_ms: get(flags, "lag-ms").into(),
        checks_fence: !flags.get_flag("ignores-fence"),
        seed,
        ..engine::Options::default()
    }
}

fn get(flags: &ArgMatches, name: &str) -> u32 {
    *flags.get_one(name).expect("has a default")
}

async fn until_interrupted(addr: SocketAddr) -> io::Result<()> {
    println!("{addr}");
    tokio::signal::ctrl_c().await
}
