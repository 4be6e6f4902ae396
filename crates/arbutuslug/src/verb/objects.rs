//! Files of objects.

use std::{io::Read, path::Path};

use world::object::{Key, Object};

use crate::exit::Failure;

/// Start of the line by which `get -o yaml` tells when it read.
pub(crate) const READ_AT: &str = "# read at generation:";

/// A file's objects.
#[derive(Debug)]
pub(crate) struct File {
    pub(crate) objects: Vec<Object>,
    /// The generation they were read at, where the file tells.
    pub(crate) read_at: Option<u64>,
}

/// Reads a file; `-` is standard input.
pub(crate) fn read(path: &Path) -> Result<File, Failure> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    let text = text.map_err(|error| Failure::Refused(format!("cannot read {}: {error}", path.display())))?;
    let objects =
        Object::parse_file(&text).map_err(|error| Failure::Refused(format!("{}: {error}", path.display())))?;
    if objects.is_empty() {
        return Err(Failure::Refused(format!("{} holds no object; write `kind`, `name` and `spec`", path.display())));
    }
    if let Some(key) = repeated(&objects) {
        return Err(Failure::Refused(format!("{} holds {key} twice; keep one", path.display())));
    }
    Ok(File { objects, read_at: read_at(&text)? })
}

fn read_at(text: &str) -> Result<Option<u64>, Failure> {
    let Some(number) = text.lines().find_map(|line| line.trim().strip_prefix(READ_AT)) else {
        return Ok(None);
    };
    let generation = number.trim().parse();
    generation.map(Some).map_err(|_| Failure::Refused(format!("`{READ_AT}` must end with a number, or go")))
}

fn repeated(objects: &[Object]) -> Option<Key> {
    let mut keys: Vec<_> = objects.iter().map(Object::key).collect();
    keys.sort();
    keys.windows(2).find(|pair| pair[0] == pair[1]).map(|pair| pair[0].clone())
}
