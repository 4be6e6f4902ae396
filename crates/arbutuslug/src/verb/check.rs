//! `check FILE`

use std::path::Path;

use operator::{Edit, What};
use world::Catalog;

use crate::{console::Console, exit::Failure, fleet::Fleet, verb::objects};

/// Checks against the configuration in force where an instance is named, and
/// the file for itself where none is.
pub(crate) async fn run(fleet: Fleet<'_>, path: &Path, console: &mut Console<'_>) -> Result<(), Failure> {
    let file = objects::read(path)?;
    let count = file.objects.len();
    if fleet.is_empty() {
        Catalog::build(0, file.objects).map_err(|faults| of_catalog(&faults))?;
        console.note("checked for itself alone; name an instance with --address to check against what is in force");
        return console.print(&format!("{count} objects, no fault"));
    }
    let edits: Vec<_> =
        file.objects.into_iter().map(|object| Edit { expected: None, what: What::Put(object) }).collect();
    let (faults, changed) = fleet.read(async |client| client.check(&edits).await).await?;
    if !faults.is_empty() {
        return Err(Failure::of_faults(&faults));
    }
    console.show(&changed, |changed| {
        let lines = changed.iter().map(|key| format!("would change {key}\n"));
        format!("{}{count} objects, no fault", lines.collect::<String>())
    })
}

fn of_catalog(faults: &[world::catalog::Fault]) -> Failure {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    Failure::Refused(lines.join("\n"))
}
