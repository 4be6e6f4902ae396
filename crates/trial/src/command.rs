//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, builder::PossibleValuesParser, value_parser};
use tracing_subscriber::EnvFilter;

use crate::site;

/// Names both sites.
const BOTH: &str = "both";

/// What to do.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "one for each flag")]
pub(crate) struct Command {
    pub(crate) sites: Vec<String>,
    /// For each site.
    pub(crate) requests: usize,
    pub(crate) seed: u64,
    pub(crate) kill: bool,
    pub(crate) leave: bool,
    pub(crate) withdraw: bool,
    pub(crate) faults: bool,
    pub(crate) examples: PathBuf,
    serve: bool,
    log: String,
}

impl Command {
    pub(crate) fn read() -> Self {
        let matches = command().get_matches();
        let text = |name: &str| matches.get_one::<String>(name).expect("has a default").clone();
        let site = text("site");
        let sites = if site == BOTH { site::NAMES.map(Into::into).to_vec() } else { vec![site] };
        Self {
            sites,
            requests: *matches.get_one("requests").expect("has a default"),
            seed: *matches.get_one("seed").expect("has a default"),
            kill: matches.get_flag("kill"),
            leave: matches.get_flag("leave"),
            withdraw: matches.get_flag("withdraw"),
            faults: matches.get_flag("faults"),
            examples: matches.get_one::<PathBuf>("examples").expect("has a default").clone(),
            serve: matches.get_flag("serve"),
            log: text("log"),
        }
    }

    /// The site to keep running, if that is asked for.
    pub(crate) fn serves(&self) -> Option<&str> {
        self.serve.then(|| self.sites[0].as_str())
    }

    /// Starts JSON lines on standard error.
    pub(crate) fn log(&self) {
        let filter = EnvFilter::new(&self.log);
        tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
    }
}

fn command() -> clap::Command {
    let flag = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help).action(ArgAction::SetTrue);
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    clap::Command::new("trial")
        .about("Runs the example deployments with stand-ins and checks every promise against their records")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("site")
                .long("site")
                .help("Whose deployment; --serve takes the first of both")
                .default_value(BOTH)
                .value_parser(PossibleValuesParser::new([site::NAMES[0], site::NAMES[1], BOTH])),
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .help("Requests for each site, repeats counted")
                .default_value("2000")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Of traffic and faults")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(flag("kill", "Drop an instance amid the traffic, without its shutdown path"))
        .arg(flag("leave", "Shut an instance down amid the traffic"))
        .arg(flag("withdraw", "Withdraw the version under roll-out amid the traffic"))
        .arg(flag("faults", "Break streams, lose answers and refuse calls at the stand-ins"))
        .arg(flag("serve", "Keep the deployment running and print where it is, as one JSON line"))
        .arg(
            Arg::new("examples")
                .long("examples")
                .help("Directory of the examples")
                .default_value(examples)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(Arg::new("log").long("log").help("Filter of log lines on standard error").default_value("error"))
}
