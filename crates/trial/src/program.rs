//! The program: each site from its start to its summary.

use std::{collections::BTreeSet, process::ExitCode};

use crate::{
    books, check,
    command::Command,
    fleet::Fleet,
    harm, plan, serve,
    site::{self, Error, Site},
    summary::Summary,
    trace, traffic,
};

/// Runs the program the command line asks for.
pub async fn run() -> ExitCode {
    let command = Command::read();
    command.log();
    if let Some(name) = command.serves() {
        return exit(serve::run(&command, name).await.map(|()| true));
    }
    let mut held = true;
    for name in &command.sites {
        match run_site(&command, name).await {
            Ok(summary) => {
                println!("{summary}");
                held &= summary.holds();
            }
            Err(error) => return exit(Err(error)),
        }
    }
    println!("{}", if held { "every promise held" } else { "a promise was broken" });
    exit(Ok(held))
}

fn exit(held: Result<bool, Error>) -> ExitCode {
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("trial: {error}");
            ExitCode::FAILURE
        }
    }
}

/// One site from its start to its summary.
async fn run_site(command: &Command, name: &str) -> Result<Summary, Error> {
    let secrets = site::Secrets::create().map_err(|error| Error::File(std::env::temp_dir(), error))?;
    let site = Site::open(&command.examples, name, &secrets, command.seed).await?;
    let mut fleet = Fleet::spawn(&site).await?;
    let scripts = plan::scripts(&site.catalog, command.requests, command.seed);
    let callers = fleet.callers(&site);
    if command.faults {
        harm::begin(&site);
    }
    let (withdraw_at, kill_at, leave_at) = (scripts.len() / 4, scripts.len() / 3, scripts.len() / 2);
    let mut withdrawing = None;
    let traffic = traffic::play(&callers, scripts, |through| {
        if command.withdraw && through == withdraw_at {
            withdrawing = fleet.withdraw(&site).map(tokio::spawn);
        }
        if command.kill && through == kill_at {
            fleet.kill_one();
        }
        if command.leave && through == leave_at {
            let name = fleet.leave_one();
            site.list(&BTreeSet::from([name]));
        }
    })
    .await;
    harm::end(&site);
    fleet.left().await;
    let books = books::settled(&site, &traffic).await?;
    let withdrawal = match withdrawing {
        Some(task) => Some(task.await.expect("a withdrawal does not panic")?),
        None => None,
    };
    let findings = check::check(&site.catalog, &traffic, &books, withdrawal.as_ref());
    if !findings.0.is_empty() {
        for line in trace::of(&fleet.targets(&site), &traffic, &findings.0).await {
            eprintln!("{line}");
        }
    }
    Ok(Summary::of(name, &traffic, &books, withdrawal, findings))
}
