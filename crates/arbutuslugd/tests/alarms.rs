//! The operators' page on metrics names those that the code has, no others.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const MACROS: [&str; 3] = ["counter!(", "gauge!(", "histogram!("];

/// Prefixes of our metrics' names, by which the page's are recognised.
const PREFIXES: [&str; 11] = [
    "budget_",
    "config_",
    "control_",
    "endpoint_",
    "entry_",
    "journal_",
    "operator_",
    "peer_",
    "platform_",
    "relay_",
    "timeline_",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Source files of a directory, tests aside.
fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("tests") {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Names given to the metrics macros.
fn in_code() -> BTreeSet<String> {
    let mut files = Vec::new();
    for entry in fs::read_dir(root().join("crates")).expect("crates") {
        let source = entry.expect("an entry").path().join("src");
        if source.is_dir() {
            sources(&source, &mut files);
        }
    }
    let mut names = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(file).expect("UTF-8");
        for start in MACROS {
            let calls = text.split(start).skip(1);
            names.extend(
                calls.filter_map(|call| call.trim_start().strip_prefix('"')?.split('"').next()).map(String::from),
            );
        }
    }
    names
}

/// Names in backticks on the page, labels aside.
fn on_page() -> BTreeSet<String> {
    let page = fs::read_to_string(root().join("docs/operators/alarms.md")).expect("the page");
    let quoted = page.split('`').skip(1).step_by(2);
    let names = quoted.filter_map(|text| text.split(['{', ' ']).next());
    names.filter(|name| PREFIXES.iter().any(|prefix| name.starts_with(prefix))).map(String::from).collect()
}

/// A metric is added, renamed or dropped, and the page stays as it was: the
/// operator's alarm would never fire, or nobody would know what to do.
#[test]
fn page_names_the_metrics_of_the_code() {
    let (code, page) = (in_code(), on_page());
    assert!(code.len() > 20, "the scan finds the metrics: {code:?}");
    let missing: Vec<_> = code.difference(&page).collect();
    let stale: Vec<_> = page.difference(&code).collect();
    assert!(missing.is_empty() && stale.is_empty(), "not on the page: {missing:?}; not in the code: {stale:?}");
}
