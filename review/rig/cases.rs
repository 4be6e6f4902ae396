//! The cases.

mod restored;
mod uploads;

use std::{io, path::Path};

use crate::Verdict;

pub fn run(case: &str, scratch: &Path, trouble: bool) -> io::Result<Verdict> {
    match case {
        "restored" => restored::run(scratch, trouble),
        "uploads" => uploads::run(scratch, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
