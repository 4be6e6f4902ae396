//! One command line, read and checked.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{ArgMatches, error::ErrorKind};
use clap_complete::Shell;
use operator::{Action, Target};
use timeline::{Filter, Subject};
use world::{
    contract::Customer,
    instance,
    model::{Number, Version},
    object::{Key, Kind},
    rollout,
    time::millis,
};

use crate::{
    command::command,
    console::{Console, Format},
    environment::Environment,
    exit::{Exit, Failure},
};

/// One command line, read and checked.
#[derive(Debug)]
pub struct Invocation {
    /// What to do.
    pub verb: Verb,
    /// Whom to ask; empty when no instance is named.
    pub targets: Vec<Target>,
    /// Who asks, for the history.
    pub author: String,
    /// Form of the output.
    pub format: Format,
}

/// What to do.
#[derive(Debug, PartialEq)]
pub enum Verb {
    /// Check a file of objects.
    Check(PathBuf),
    /// Apply a file of objects.
    Apply {
        /// The file.
        file: PathBuf,
        /// Generation that its objects were read at.
        read_at: Option<u64>,
        /// Longest wait until in force.
        wait: Duration,
    },
    /// Show objects.
    Get {
        /// Their kind.
        kind: Kind,
        /// One of them.
        name: Option<String>,
    },
    /// Delete an object.
    Delete {
        /// Which one.
        key: Key,
        /// Longest wait until in force.
        wait: Duration,
    },
    /// Show an object's changes.
    History {
        /// Which object.
        key: Key,
        /// At most this many.
        limit: u32,
    },
    /// Move a roll-out.
    Rollout {
        /// Which one.
        name: rollout::Id,
        /// How.
        action: Action,
        /// Longest wait until in force.
        wait: Duration,
    },
    /// Show the fleet.
    Status,
    /// Wait for a generation.
    Wait {
        /// Which one.
        generation: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Make an instance leave.
    Drain(instance::Id),
    /// Show a customer's bills.
    Bills(Customer),
    /// Explain a request.
    Explain(Subject),
    /// Show events.
    Timeline {
        /// Which ones.
        filter: Filter,
        /// Go on with events to come.
        follow: bool,
    },
    /// Print a completion script.
    Completions(Shell),
}

/// Why a command line is not run.
#[derive(Debug)]
pub enum Stop {
    /// Clap's help, version or usage error.
    Clap(clap::Error),
    /// A value that makes no sense.
    Failure(Failure),
}

impl Stop {
    /// Tells, on standard output where help was asked for.
    pub(crate) fn report(self, console: &mut Console<'_>) -> Exit {
        match self {
            Self::Clap(error) if matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) => {
                match console.print(&error.to_string()) {
                    Ok(()) | Err(_) => Exit::Done,
                }
            }
            Self::Clap(error) => {
                console.note(&error.to_string());
                Exit::Usage
            }
            Self::Failure(failure) => failure.report(console),
        }
    }
}

impl From<Failure> for Stop {
    fn from(failure: Failure) -> Self {
        Self::Failure(failure)
    }
}

impl Invocation {
    /// Reads a command line, program name included.
    ///
    /// # Errors
    ///
    /// [`Stop`] when there is nothing to run.
    ///
    /// # Panics
    ///
    /// Never: clap has refused what this does not expect.
    pub fn parse(args: impl IntoIterator<Item = OsString>, environment: &Environment) -> Result<Self, Stop> {
        let matches = command().try_get_matches_from(args).map_err(Stop::Clap)?;
        let (name, of_verb) = matches.subcommand().expect("clap asks for a verb");
        let verb = verb(name, of_verb)?;
        let targets = targets(of_verb, environment)?;
        let needs_fleet = !matches!(verb, Verb::Check(_) | Verb::Completions(_));
        if targets.is_empty() && needs_fleet {
            return Err(usage("no instance is named; give --address IP:PORT or set ARBUTUSLUG_ADDRESS").into());
        }
        let format = match text(of_verb, "output").as_str() {
            "json" => Format::Json,
            "yaml" => Format::Yaml,
            _ => Format::Table,
        };
        let author = of_verb.get_one::<String>("author").or(environment.author.as_ref());
        Ok(Self { verb, targets, author: author.cloned().unwrap_or_else(|| "unnamed".into()), format })
    }
}

fn verb(name: &str, matches: &ArgMatches) -> Result<Verb, Failure> {
    Ok(match name {
        "check" => Verb::Check(text(matches, "file").into()),
        "apply" => Verb::Apply {
            file: text(matches, "file").into(),
            read_at: matches.get_one("read-at").copied(),
            wait: span(matches, "wait"),
        },
        "get" => Verb::Get { kind: kind(matches), name: matches.get_one("name").cloned() },
        "delete" => Verb::Delete { key: key(matches)?, wait: span(matches, "wait") },
        "history" => Verb::History { key: key(matches)?, limit: limit(matches) },
        "rollout" => rollout_verb(matches)?,
        "status" => Verb::Status,
        "wait" => {
            Verb::Wait { generation: *matches.get_one("generation").expect("required"), wait: span(matches, "wait") }
        }
        "drain" => Verb::Drain(named(matches, "instance")?),
        "bills" => Verb::Bills(named(matches, "customer")?),
        "explain" => Verb::Explain(named(matches, "request")?),
        "timeline" => timeline_verb(matches)?,
        "completions" => Verb::Completions(*matches.get_one("shell").expect("required")),
        other => unreachable!("clap knows no verb `{other}`"),
    })
}

fn rollout_verb(matches: &ArgMatches) -> Result<Verb, Failure> {
    let (action, matches) = matches.subcommand().expect("clap asks for an action");
    let reason = || matches.get_one::<String>("reason").cloned();
    let action = match action {
        "start" => Action::Start {
            version: version(&text(matches, "version"))?,
            predecessor: named::<Number>(matches, "predecessor")?,
            steps: matches.get_many("steps").unwrap_or_default().copied().collect(),
            step_ms: matches.get_one::<Duration>("step-s").map(|span| millis(*span)),
        },
        "pause" => Action::Pause { reason: reason().unwrap_or_else(|| "paused by an operator".into()) },
        "resume" => Action::Resume,
        "promote" => Action::Promote,
        "withdraw" => Action::Withdraw { reason: reason().unwrap_or_else(|| "withdrawn by an operator".into()) },
        other => unreachable!("clap knows no action `{other}`"),
    };
    Ok(Verb::Rollout { name: named(matches, "name")?, action, wait: span(matches, "wait") })
}

fn timeline_verb(matches: &ArgMatches) -> Result<Verb, Failure> {
    let request = matches.get_one::<String>("request").map(|text| text.parse::<Subject>());
    let version = matches.get_one::<String>("version").map(|text| version(text));
    let kinds = matches.get_many::<String>("kind").unwrap_or_default().map(|kind| kind.parse::<timeline::Kind>());
    let filter = Filter {
        request: request.transpose().map_err(|e| usage(&e.to_string()))?,
        version: version.transpose()?,
        kinds: kinds.collect::<Result<_, _>>().map_err(|e: timeline::UnknownKind| usage(&e.to_string()))?,
        after: 0,
        limit: limit(matches) as usize,
    };
    Ok(Verb::Timeline { filter, follow: matches.get_flag("follow") })
}

fn targets(matches: &ArgMatches, environment: &Environment) -> Result<Vec<Target>, Failure> {
    let from_environment = environment.address.as_deref().unwrap_or_default().split(',').map(str::trim);
    let addresses: Vec<&str> = match matches.get_many::<String>("address") {
        Some(given) => given.map(|address| address.trim()).collect(),
        None => from_environment.filter(|address| !address.is_empty()).collect(),
    };
    if addresses.is_empty() {
        return Ok(Vec::new());
    }
    let key = operators_key(matches, environment)?;
    let timeout = span(matches, "timeout");
    let target = |text: &str| {
        let address: SocketAddr = text.parse().map_err(|_| {
            usage(&format!("`{}` is no address; write IP:PORT, 10.0.1.5:7102 say", text.escape_debug()))
        })?;
        Ok(Target { address, key: key.clone(), timeout })
    };
    addresses.into_iter().map(target).collect()
}

/// The key comes from a file or the environment, never from an argument that
/// every user of the machine could read.
fn operators_key(matches: &ArgMatches, environment: &Environment) -> Result<String, Failure> {
    let file = matches.get_one::<String>("key-file").or(environment.key_file.as_ref());
    let key = match (file, &environment.key) {
        (Some(path), _) => std::fs::read_to_string(path)
            .map_err(|error| usage(&format!("cannot read the operators' key from {path}: {error}")))?,
        (None, Some(key)) => key.clone(),
        (None, None) => {
            return Err(usage("no operators' key; give --key-file FILE or set ARBUTUSLUG_KEY"));
        }
    };
    Ok(key.trim().into())
}

fn kind(matches: &ArgMatches) -> Kind {
    text(matches, "kind").parse().expect("clap knows the kinds")
}

fn key(matches: &ArgMatches) -> Result<Key, Failure> {
    let name = text(matches, "name");
    // Every kind's names share one alphabet.
    Customer::parse(&name).map_err(|e| usage(&e.to_string()))?;
    Ok(Key { kind: kind(matches), name })
}

fn version(text: &str) -> Result<Version, Failure> {
    Version::parse(text).map_err(|_| usage(&format!("`{}` is no version; write MODEL@VERSION", text.escape_debug())))
}

fn named<T: std::str::FromStr<Err = world::Invalid>>(matches: &ArgMatches, id: &str) -> Result<T, Failure> {
    text(matches, id).parse().map_err(|invalid: world::Invalid| usage(&invalid.to_string()))
}

fn text(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}

fn limit(matches: &ArgMatches) -> u32 {
    *matches.get_one("limit").expect("has a default")
}

fn span(matches: &ArgMatches, id: &str) -> Duration {
    matches.get_one::<Duration>(id).copied().unwrap_or_default()
}

fn usage(message: &str) -> Failure {
    Failure::Usage(message.into())
}
