//! A deployment that keeps running, to be tried by hand.

use std::collections::BTreeMap;

use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    command::Command,
    fleet::Fleet,
    site::{Error, Secrets, Site},
};

/// Starts a site, prints where it is and waits for the interrupt.
pub(crate) async fn run(command: &Command, name: &str) -> Result<(), Error> {
    let secrets = Secrets::create().map_err(|error| Error::File(std::env::temp_dir(), error))?;
    let site = Site::open(&command.examples, name, &secrets, command.seed).await?;
    let mut fleet = Fleet::spawn(&site).await?;
    let operators: Vec<_> = fleet.operators().iter().map(ToString::to_string).collect();
    let variables = format!(
        "export ARBUTUSLUG_ADDRESS={}\nexport ARBUTUSLUG_KEY_FILE={}\n",
        operators.join(","),
        secrets.operators().display()
    );
    let settings = secrets.directory.join("arbutuslug.env");
    std::fs::write(&settings, variables).map_err(|error| Error::File(settings.clone(), error))?;
    let keys: BTreeMap<_, _> =
        site.catalog.contracts().keys().map(|customer| (customer.to_string(), Site::key(customer))).collect();
    let engines: BTreeMap<_, _> = site.engines.iter().map(|(id, handle)| (id.to_string(), handle.addr())).collect();
    let services: BTreeMap<_, _> = site.services.iter().map(|(id, handle)| (id.to_string(), handle.addr())).collect();
    let line = json!({
        "site": site.name,
        "callers": fleet.callers,
        "operators": operators,
        "keys": keys,
        "settings": settings,
        "standins": {
            "objects": site.objects.addr(),
            "rating": site.rating.addr(),
            "engines": engines,
            "services": services,
        },
    });
    println!("{line}");
    interrupted().await;
    fleet.shutdown().await;
    Ok(())
}

/// Waits for the interrupt or for the order to end.
async fn interrupted() {
    let Ok(mut ended) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = ended.recv() => {}
    }
}
