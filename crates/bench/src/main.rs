//! Benchmarks over whole instances: ratios in one run, and slopes.
//!
//! One subcommand per question; each prints one table and compares what it
//! measures with a baseline of the same run. Nothing here runs in CI.

mod fleet;
mod journal;
mod path;
#[expect(clippy::cast_precision_loss, reason = "figures for a table")]
mod peers;
mod relay;
mod usage;

use clap::Command;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// One question: its name, what it answers, and how it is run.
struct Question {
    name: &'static str,
    about: &'static str,
    run: fn(),
}

impl Question {
    const fn new(name: &'static str, about: &'static str, run: fn()) -> Self {
        Self { name, about, run }
    }
}

/// Every question; a module adds its line here.
const QUESTIONS: &[Question] = &[
    Question::new("journal", "Claims and bills a second, and their latency", journal::run),
    Question::new("budgets", "How much of a budget lies idle at seven instances", journal::run_budgets),
    Question::new("fleet", "What a relaying instance's own work costs, by the size of the fleet", fleet::run),
    Question::new("path", "What an instance adds between a caller and its engine", path::run),
    Question::new("peers", "What links between instances cost, by the number of instances", peers::run),
    Question::new("relay", "What a relaying instance adds to a call and to a stream", relay::run),
    Question::new("streams", "Memory per open stream", path::run_streams),
];

fn main() {
    let command = Command::new("bench").about("Measures arbutuslug on this machine").subcommand_required(true);
    let command = QUESTIONS.iter().fold(command, |c, q| c.subcommand(Command::new(q.name).about(q.about)));
    let matches = command.get_matches();
    let chosen = matches.subcommand_name();
    if let Some(question) = QUESTIONS.iter().find(|q| Some(q.name) == chosen) {
        (question.run)();
    }
}
