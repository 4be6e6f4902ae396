//! Stand-ins and clients for the scripts of the second review, in one program without dependencies.
//!
//! It starts one instance with the command of the deploy file, on loopback addresses, and plays around
//! it: the platform's store, a server, and consumers. Usage: `rig CASE FOLDER`, in the repository's root.
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod grace;
mod growth;
mod http;
mod instance;
mod server;
mod settings;
mod store;
mod template;
mod uploads;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2).map(PathBuf::from)) else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "grace" => grace::play(&folder, has_trouble),
        "growth" => growth::play(&folder),
        "settings" => settings::play(&folder, has_trouble),
        "uploads" => uploads::play(&folder, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            exit(2);
        }
    }
}
