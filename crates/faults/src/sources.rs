//! Lists the tests that the sources hold.
//!
//! A test is a function under a test attribute (in a `proptest!` block too),
//! or a case of a macro that names cases: a macro of the same package whose
//! definition holds a test attribute, called at the start of a line, each case
//! a `name: …` or `name … => …` line one step in. Reading the sources keeps
//! the check independent of how the tests were built and needs no child
//! process.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

/// A test, as `crate::name`.
pub type Name = String;

/// Every test of the crates below `crates`.
///
/// # Errors
///
/// The I/O error of an unreadable folder or file.
pub fn tests(crates: &Path) -> io::Result<BTreeSet<Name>> {
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(crates)? {
        let folder = entry?.path();
        let package = folder.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let texts: Vec<_> = test_files(&folder)?.into_iter().map(fs::read_to_string).collect::<Result<_, _>>()?;
        let macros: BTreeSet<_> = texts.iter().flat_map(|text| case_macros(text)).collect();
        for text in &texts {
            names.extend(names_in(text, &macros).into_iter().map(|name| format!("{package}::{name}")));
        }
    }
    Ok(names)
}

/// Files below `tests/`, and files below `src/` named or placed as tests.
fn test_files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for part in ["tests", "src"] {
        let part = folder.join(part);
        if part.is_dir() {
            walk(&part, &mut files)?;
        }
    }
    files.retain(|file| {
        let path = file.strip_prefix(folder).unwrap_or(file).to_string_lossy();
        path.ends_with(".rs") && path.contains("test")
    });
    Ok(files)
}

fn walk(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            walk(&path, files)?;
        } else {
            files.push(path);
        }
    }
    Ok(())
}

/// Where a line stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Among items, or inside one that defines no tests.
    Items,
    /// In a macro's definition, whose attributes belong to its cases.
    Definition,
    /// In the call of a macro that names cases.
    Cases,
}

/// The names of one file's tests; `macros` are those that name cases.
#[must_use]
pub fn names_in(text: &str, macros: &BTreeSet<String>) -> Vec<String> {
    let mut names = Vec::new();
    let mut under_attribute = false;
    let mut place = Place::Items;
    for line in text.lines() {
        let trimmed = line.trim();
        if line.starts_with("macro_rules!") {
            place = Place::Definition;
        } else if called(line).is_some_and(|name| macros.contains(name)) {
            place = Place::Cases;
        } else if line == "}" {
            place = Place::Items;
        } else if place == Place::Cases {
            names.extend(case_name(line));
        } else if place == Place::Items && is_test_attribute(trimmed) {
            under_attribute = true;
        } else if let Some(name) = function_name(trimmed).filter(|_| place == Place::Items) {
            names.extend(under_attribute.then_some(name));
            under_attribute = false;
        }
    }
    names
}

/// The macros of a file that put a test attribute on what they are given.
#[must_use]
pub fn case_macros(text: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut defined = None;
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("macro_rules! ") {
            defined = identifier(rest, ' ');
        } else if line == "}" {
            defined = None;
        } else if line.contains("#[test]") || line.contains("#[tokio::test") {
            names.extend(defined.clone());
        }
    }
    names
}

fn is_test_attribute(line: &str) -> bool {
    line.starts_with("#[test]") || line.starts_with("#[tokio::test")
}

/// The macro that a line at the margin calls with a block.
fn called(line: &str) -> Option<&str> {
    line.strip_suffix("! {").filter(|name| !name.starts_with(' '))
}

fn function_name(line: &str) -> Option<String> {
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let line = line.strip_prefix("async ").unwrap_or(line);
    identifier(line.strip_prefix("fn ")?, '(')
}

/// The case that a line one step in begins; deeper ones belong to a case.
fn case_name(line: &str) -> Option<String> {
    let line = line.strip_prefix("    ")?;
    identifier(line, ':').or_else(|| identifier(line, ' ').filter(|_| line.contains("=>")))
}

/// The lower-case identifier that `line` starts with, when `end` follows it.
fn identifier(line: &str, end: char) -> Option<String> {
    let (name, _) = line.split_once(end)?;
    let good = name.starts_with(|c: char| c.is_ascii_lowercase())
        && name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
    good.then(|| name.into())
}
