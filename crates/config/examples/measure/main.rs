//! Measures the configuration log: `cargo run --release -p config --example
//! measure -- <question>`.
//!
//! - `force`: time until a change is in force at every instance, calls and
//!   bytes when idle and under change, over the stand-in platform and real
//!   peer links;
//! - `layout`: bytes and calls per change of the log and of an alternative layout.

mod fleet;
mod force;
mod layout;
mod objects;

use clap::{Arg, ArgAction, Command, value_parser};

fn main() {
    let instances = Arg::new("instances").long("instances").value_parser(value_parser!(usize)).default_value("7");
    let seconds = Arg::new("seconds").long("seconds").value_parser(value_parser!(u64)).default_value("20");
    let rate = Arg::new("rate").long("rate").value_parser(value_parser!(f64)).default_value("5");
    let customers = Arg::new("customers").long("customers").value_parser(value_parser!(usize)).default_value("10");
    let idle = Arg::new("idle").long("idle").action(ArgAction::SetTrue).help("makes no changes");
    let claims = Arg::new("claims")
        .long("claims")
        .value_parser(value_parser!(usize))
        .default_value("0")
        .help("claims that each instance has under way at all times");
    let force = Command::new("force").args([instances, seconds, rate, customers, claims, idle]);
    let matches =
        Command::new("measure").subcommand_required(true).subcommands([force, Command::new("layout")]).get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.expect("a runtime");
    match matches.subcommand() {
        Some(("force", args)) => runtime.block_on(force::run(force::Plan {
            instances: *args.get_one("instances").expect("has a default"),
            seconds: *args.get_one("seconds").expect("has a default"),
            rate: *args.get_one("rate").expect("has a default"),
            customers: *args.get_one("customers").expect("has a default"),
            claims: *args.get_one("claims").expect("has a default"),
            idle: args.get_flag("idle"),
        })),
        _ => runtime.block_on(layout::run()),
    }
}
