//! Lists the tests that the sources hold.
//!
//! A test is a function under a test attribute, or a case of one of the
//! macros that name cases (`name: …;` lines inside the macro's call in a test
//! file). Reading the sources keeps the check independent of how the tests
//! were built and needs no child process.

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
        for file in test_files(&folder)? {
            let text = fs::read_to_string(file)?;
            names.extend(names_in(&text).into_iter().map(|name| format!("{package}::{name}")));
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

/// The names of one file's tests.
#[must_use]
pub fn names_in(text: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut under_attribute = false;
    let mut in_cases = false;
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with("#[test") || trimmed.starts_with("#[tokio::test") {
            under_attribute = true;
        } else if let Some(name) = function_name(trimmed) {
            names.extend(under_attribute.then_some(name));
            under_attribute = false;
        } else if line.ends_with("! {") && !line.starts_with("macro_rules!") {
            in_cases = true;
        } else if line == "}" {
            in_cases = false;
        } else if in_cases {
            names.extend(case_name(trimmed));
        }
    }
    names
}

fn function_name(line: &str) -> Option<String> {
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let line = line.strip_prefix("async ").unwrap_or(line);
    identifier(line.strip_prefix("fn ")?, '(')
}

fn case_name(line: &str) -> Option<String> {
    identifier(line, ':').or_else(|| identifier(line, ' ').filter(|_| line.contains("=>")))
}

/// The lower-case identifier that `line` starts with, when `end` follows it.
fn identifier(line: &str, end: char) -> Option<String> {
    let (name, _) = line.split_once(end)?;
    let good = !name.is_empty() && name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
    good.then(|| name.into())
}
