//! Seeded replay of the decisions against baselines.
//!
//! `replay cost --seed 1` prints one table per question; the same seed gives
//! the same tables. One loop over a seeded list of events: requests of both
//! users, engines and ratings that answer from a table, no networks and no
//! instances run.

mod balance;
mod cost;
mod exposure;
mod fairness;
mod load;
mod site;
mod table;
#[cfg(test)]
mod tests;
mod trace;

use clap::{Arg, ArgMatches, Command, value_parser};
use table::Table;

/// A question with the tables that answer it.
struct Question {
    name: &'static str,
    about: &'static str,
    tables: fn(u64) -> Vec<Table>,
}

const QUESTIONS: &[Question] = &[
    Question { name: "balance", about: "Even load by loads that are out of date", tables: balance::tables },
    Question { name: "cost", about: "Cost at the quality target, against baselines", tables: cost::tables },
    Question { name: "load", about: "Latency and load by endpoint choice", tables: load::tables },
    Question { name: "fairness", about: "A small customer beside a flood", tables: fairness::tables },
    Question { name: "exposure", about: "Exposure to a worse version until it is stopped", tables: exposure::tables },
];

/// Asks every question.
const ALL: &str = "all";

fn main() {
    let matches = command().get_matches();
    let Some((name, arguments)) = matches.subcommand() else { return };
    for question in QUESTIONS.iter().filter(|question| name == ALL || question.name == name) {
        for table in (question.tables)(seed(arguments)) {
            println!("{table}");
        }
    }
}

fn command() -> Command {
    let seed =
        Arg::new("seed").long("seed").value_parser(value_parser!(u64)).default_value("1").help("Seed of the run");
    let questions = QUESTIONS.iter().map(|question| Command::new(question.name).about(question.about));
    Command::new("replay")
        .about("Replays seeded requests through the decisions and prints one table per question")
        .subcommand_required(true)
        .subcommands(questions.map(|question| question.arg(seed.clone())))
        .subcommand(Command::new(ALL).about("Every question").arg(seed.clone()))
}

fn seed(arguments: &ArgMatches) -> u64 {
    arguments.get_one("seed").copied().expect("the seed has a default")
}
