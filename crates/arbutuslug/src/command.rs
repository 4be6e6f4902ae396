//! The command line's grammar.

use clap::{Arg, ArgAction, Command, builder::PossibleValuesParser, value_parser};
use clap_complete::Shell;
use world::object::Kind;

const AFTER: &str = "\
Exit status: 0 done, 1 refused (nothing was done), 2 usage, 3 outcome unknown or not yet in force everywhere.
Environment: ARBUTUSLUG_ADDRESS, ARBUTUSLUG_KEY or ARBUTUSLUG_KEY_FILE, ARBUTUSLUG_AUTHOR.";

/// Seconds for one call. Longer than an instance tries the platform for one
/// change (10 s): else the tool gives up just before it would be told.
const TIMEOUT_S: &str = "15";

/// Seconds a change is waited for until it is in force everywhere.
const WAIT_S: &str = "30";

/// The tool's command line.
#[must_use]
pub fn command() -> Command {
    Command::new("arbutuslug")
        .about("Drives a fleet of arbutuslugd: contracts, models, roll-outs, and what became of requests")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection())
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .global(true)
                .value_parser(["table", "json", "yaml"])
                .default_value("table")
                .help("Form of the output"),
        )
        .subcommands(objects())
        .subcommands(fleet())
        .subcommands(requests())
        .subcommand(
            Command::new("completions")
                .about("Print a shell's completion script")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn connection() -> [Arg; 4] {
    let address = Arg::new("address")
        .long("address")
        .global(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_name("IP:PORT")
        .help("Operators' listener of an instance; several are tried in turn");
    let key_file = Arg::new("key-file")
        .long("key-file")
        .global(true)
        .value_name("FILE")
        .help("File that holds the operators' key");
    let timeout = Arg::new("timeout")
        .long("timeout")
        .global(true)
        .value_name("SECONDS")
        .value_parser(seconds)
        .default_value(TIMEOUT_S)
        .help("Time limit of one call");
    let author = Arg::new("author")
        .long("author")
        .global(true)
        .value_name("NAME")
        .help("Who changes, for the history [default: $USER]");
    [address, key_file, timeout, author]
}

fn objects() -> [Command; 6] {
    let check =
        Command::new("check").about("Check a file of objects, against the fleet where one is named").arg(file());
    let apply = Command::new("apply")
        .about("Create or replace the objects of a file, all or none")
        .arg(file())
        .arg(Arg::new("read-at").long("read-at").value_name("GENERATION").value_parser(value_parser!(u64)).help(
            "Refuse if an object changed after this generation [default: the file's `# read at generation:` line]",
        ))
        .arg(wait());
    let get = Command::new("get")
        .about("Show objects as they are in force")
        .arg(kind())
        .arg(Arg::new("name").help("One object's name"));
    let delete =
        Command::new("delete").about("Delete an object").arg(kind()).arg(name("The object's name")).arg(wait());
    let history = Command::new("history")
        .about("Show an object's changes, latest first")
        .arg(kind())
        .arg(name("The object's name"))
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u32))
                .default_value("20")
                .help("At most this many; 0 for as many as the instance shows"),
        );
    let rollout = Command::new("rollout")
        .about("Move a version's roll-out")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(rollouts());
    [check, apply, get, delete, history, rollout]
}

fn rollouts() -> [Command; 5] {
    let step = |verb: &'static str, about: &'static str| {
        Command::new(verb).about(about).arg(name("The roll-out's name")).arg(wait())
    };
    let reason = || Arg::new("reason").long("reason").value_name("TEXT").help("Why, for people");
    let start = step("start", "Start rolling a version out")
        .arg(Arg::new("version").long("version").required(true).value_name("MODEL@VERSION").help("The new version"))
        .arg(
            Arg::new("predecessor")
                .long("predecessor")
                .required(true)
                .value_name("VERSION")
                .help("The version it replaces"),
        )
        .arg(
            Arg::new("steps")
                .long("steps")
                .value_delimiter(',')
                .value_parser(value_parser!(f64))
                .value_name("SHARES")
                .help("Shares of sessions, rising to 1"),
        )
        .arg(
            Arg::new("step-s")
                .long("step-s")
                .value_parser(seconds)
                .value_name("SECONDS")
                .help("Least time at one step"),
        );
    [
        start,
        step("pause", "Keep its sessions, take no new ones").arg(reason()),
        step("resume", "Go on after a pause"),
        step("promote", "Replace the predecessor at once"),
        step("withdraw", "Stop the version for good").arg(reason()),
    ]
}

fn fleet() -> [Command; 3] {
    let generation =
        Arg::new("generation").required(true).value_parser(value_parser!(u64)).help("The generation to wait for");
    [
        Command::new("status").about("Show what every instance has in force, and which are behind"),
        Command::new("wait").about("Wait until a generation is in force everywhere").arg(generation).arg(wait()),
        Command::new("drain")
            .about("Make an instance finish its work and leave")
            .arg(Arg::new("instance").required(true).help("The instance's name")),
    ]
}

fn requests() -> [Command; 3] {
    let request = Arg::new("request").required(true).value_name("REQUEST").help("Its key, or CUSTOMER/KEY");
    let timeline = Command::new("timeline")
        .about("Show events of all instances in one causal order")
        .arg(Arg::new("request").long("request").value_name("REQUEST").help("Only this request: KEY or CUSTOMER/KEY"))
        .arg(Arg::new("version").long("version").value_name("MODEL@VERSION").help("Only events about this version"))
        .arg(
            Arg::new("kind")
                .long("kind")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(PossibleValuesParser::new(timeline::Kind::ALL.map(timeline::Kind::as_str)))
                .help("Only events of this kind; may be given several times"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u32))
                .default_value("1000")
                .help("At most this many of each instance, the latest; 0 for all"),
        )
        .arg(Arg::new("follow").long("follow").short('f').action(ArgAction::SetTrue).help("Go on with events to come"));
    [
        Command::new("bills")
            .about("Show a customer's bills")
            .arg(Arg::new("customer").required(true).help("The contract's name")),
        Command::new("explain").about("Tell why a request went where it went and what it cost").arg(request),
        timeline,
    ]
}

fn file() -> Arg {
    Arg::new("file").required(true).value_name("FILE").help("YAML objects; `-` reads standard input")
}

fn kind() -> Arg {
    let kinds = Kind::ALL.map(Kind::as_str);
    Arg::new("kind").required(true).value_parser(PossibleValuesParser::new(kinds)).help("Kind of object")
}

fn name(help: &'static str) -> Arg {
    Arg::new("name").required(true).help(help)
}

fn wait() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .value_parser(seconds)
        .default_value(WAIT_S)
        .help("Longest wait until it is in force everywhere; 0 does not wait")
}

/// A span in seconds, with decimals.
fn seconds(text: &str) -> Result<std::time::Duration, String> {
    const LONGEST_S: f64 = 86_400.0;
    match text.parse::<f64>() {
        Ok(seconds) if (0.0..=LONGEST_S).contains(&seconds) => Ok(std::time::Duration::from_secs_f64(seconds)),
        _ => Err(format!("give 0 to {LONGEST_S} seconds")),
    }
}
