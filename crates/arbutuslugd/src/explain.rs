//! The command `explain`: asks a running relay where it would send a request now, and why.
//!
//! Exit status 0: it would be sent or queued; 1: it would be refused; 2: the input is not valid; 3: the
//! instance cannot be reached, has not started yet or is too old.

mod client;
mod text;

use std::{fs, io, io::Read, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use relay::explain::{Decision, Explanation};
use serde_json::{Map, Value, json};

use self::client::Failure;

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;

/// Returns the command's arguments.
#[must_use]
pub fn command() -> Command {
    let value = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("explain")
        .about("Shows where a running relay would send a request now, and why, without sending it")
        .arg(value("at", "HOST:PORT", "Operators' address of the instance (`metrics` in its settings)").required(true))
        .arg(value("method", "METHOD", "Method of the request").default_value("GET"))
        .arg(value("host", "HOST", "Host of the request").required(true))
        .arg(value("path", "PATH", "Path and query of the request").required(true))
        .arg(value("team", "NAME", "Team that sends the request"))
        .arg(
            value("key-file", "FILE", "File that holds the caller's access key; `-` for standard input")
                .value_parser(value_parser!(PathBuf)),
        )
        .group(ArgGroup::new("caller").args(["team", "key-file"]))
        .arg(value("header", "NAME:VALUE", "Header of the request, except the key's").action(ArgAction::Append))
        .arg(value("part", "ID:TOKENS", "Part of the prompt; repeat it in order").action(ArgAction::Append))
        .arg(value("tokens", "PROMPT,OUTPUT", "Tokens in the prompt and maximum number to generate"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the explanation as JSON"))
}

/// Runs the command and returns its exit status.
///
/// # Panics
///
/// Panics if the arguments are not those of [`command`].
#[must_use]
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let query = match query(arguments) {
        Ok(query) => query,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}; raise the process's limits");
            return ExitCode::from(EXIT_UNREACHABLE);
        }
    };
    let at = arguments.get_one::<String>("at").expect("the argument is required");
    let explanation = match runtime.block_on(client::ask(at, &query)) {
        Ok(explanation) => explanation,
        Err(failure) => {
            eprintln!("{at}: {failure}");
            return ExitCode::from(match failure {
                Failure::Invalid { .. } => EXIT_USAGE,
                Failure::Unreachable(_) | Failure::Starting | Failure::TooOld => EXIT_UNREACHABLE,
            });
        }
    };
    if arguments.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&explanation).unwrap_or_default());
    } else {
        print!("{}", text::render(&explanation));
    }
    exit_code(&explanation)
}

fn exit_code(explanation: &Explanation) -> ExitCode {
    match explanation.decision {
        Decision::Sent(_) | Decision::Queued(_) => ExitCode::SUCCESS,
        Decision::Refused(_) => ExitCode::from(EXIT_REFUSED),
    }
}

/// Returns the query's body.
fn query(arguments: &ArgMatches) -> Result<Value, String> {
    let text = |name| arguments.get_one::<String>(name).cloned();
    let all = |name| arguments.get_many::<String>(name).into_iter().flatten();
    let mut query = Map::new();
    for name in ["method", "host", "path", "team"] {
        query.extend(text(name).map(|value| (name.to_owned(), Value::from(value))));
    }
    if let Some(file) = arguments.get_one::<PathBuf>("key-file") {
        let key = read_key(file).map_err(|error| format!("--key-file: {error}"))?;
        query.insert("key".into(), key.trim().into());
    }
    let mut headers = Map::new();
    for header in all("header") {
        // The value may be a key, so it is not repeated.
        let (name, value) = header.split_once(':').ok_or("--header: not `NAME:VALUE`")?;
        if headers.insert(name.trim().to_ascii_lowercase(), value.trim().into()).is_some() {
            return Err("--header: a name is repeated".into());
        }
    }
    query.insert("headers".into(), headers.into());
    let part = |part: &String| {
        let (id, tokens) = part.rsplit_once(':')?;
        Some(json!({ "id": id, "tokens": tokens.trim().parse::<u32>().ok()? }))
    };
    let parts: Option<Vec<Value>> = all("part").map(part).collect();
    query.insert("parts".into(), parts.ok_or("--part: not `ID:TOKENS`")?.into());
    if let Some(tokens) = text("tokens") {
        let counts = tokens.split_once(',').and_then(|(prompt, output)| {
            Some(json!({ "prompt": prompt.trim().parse::<u32>().ok()?, "output": output.trim().parse::<u32>().ok()? }))
        });
        query.insert("tokens".into(), counts.ok_or("--tokens: not `PROMPT,OUTPUT`")?);
    }
    Ok(query.into())
}

fn read_key(file: &PathBuf) -> io::Result<String> {
    if file.as_os_str() != "-" {
        return fs::read_to_string(file);
    }
    let mut key = String::new();
    io::stdin().read_to_string(&mut key)?;
    Ok(key)
}
