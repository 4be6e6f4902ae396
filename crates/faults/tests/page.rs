//! The page and the tests hold together, and the reader refuses what it should.

use std::{collections::BTreeSet, fs, path::Path};

use faults::{
    Fault, Step,
    page::{self, Content},
    sources,
};

/// Pairs of faults the page must have at the least.
const LEAST_PAIRS: usize = 20;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn whole_page() -> String {
    fs::read_to_string(root().join("docs/FAULTS.md")).expect("the page is in the repository")
}

fn cells() -> Vec<page::Cell> {
    page::parse(&whole_page()).unwrap_or_else(|errors| {
        let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
        panic!("docs/FAULTS.md:\n{}", lines.join("\n"))
    })
}

fn named(cells: &[page::Cell]) -> BTreeSet<String> {
    let tests = cells.iter().filter_map(|cell| match &cell.content {
        Content::Tests(tests) => Some(tests.iter().cloned()),
        Content::Cannot(_) => None,
    });
    tests.flatten().collect()
}

#[test]
fn every_named_test_exists() {
    let tests = sources::tests(&root().join("crates")).expect("the sources are readable");
    let missing: Vec<_> = named(&cells()).into_iter().filter(|name| !tests.contains(name)).collect();
    assert!(missing.is_empty(), "docs/FAULTS.md names tests that do not exist: {missing:#?}");
}

#[test]
fn every_test_of_the_matrix_names_a_cell() {
    let tests = sources::tests(&root().join("crates")).expect("the sources are readable");
    let named = named(&cells());
    let own = tests.iter().filter(|name| name.starts_with("matrix::"));
    let stray: Vec<_> = own.filter(|name| !named.contains(*name)).collect();
    assert!(stray.is_empty(), "tests of the matrix that no cell names: {stray:#?}");
}

#[test]
fn enough_pairs_of_faults_are_tested() {
    let pairs = cells().into_iter().filter(|cell| cell.faults.len() == 2);
    let tested = pairs.filter(|cell| matches!(cell.content, Content::Tests(_))).count();
    assert!(tested >= LEAST_PAIRS, "{tested} pairs are tested, {LEAST_PAIRS} are asked for");
}

/// A complete page whose cells all say why, to break in one place each.
fn sound_page() -> String {
    let row = |step: &Step| format!("| {} | cannot: nothing of it is there |\n", step.as_str());
    let rows: String = Step::ALL.iter().map(row).collect();
    let section = |fault: &Fault| format!("\n## {}\n\n| step | tests |\n|---|---|\n{rows}", fault.as_str());
    Fault::ALL.iter().map(section).collect()
}

fn check_refused(broken: &str, expected: &str) {
    let errors = page::parse(broken).expect_err("the page is broken");
    assert!(errors.iter().any(|e| e.to_string().contains(expected)), "{expected} is not in {errors:?}");
}

macro_rules! refused {
    ($($name:ident: $from:expr => $to:expr, $expected:expr;)*) => {
        $(#[test] fn $name() { check_refused(&sound_page().replacen($from, $to, 1), $expected); })*
    };
}

refused! {
    missing_cell_is_found: "| addresses | cannot: nothing of it is there |\n" => "", "is missing";
    empty_cell_is_no_content: "cannot: nothing of it is there" => "", "cannot read";
    short_reason_is_no_reason: "cannot: nothing of it is there" => "cannot: no", "cannot read";
    unknown_fault_is_refused: "## pool_full" => "## pool_empty", "is no fault";
    unknown_step_is_refused: "| addresses |" => "| adresses |", "cannot read";
    cell_stands_once: "| admit |" => "| addresses |", "stands twice";
}

#[test]
fn sound_page_is_read_whole() {
    let cells = page::parse(&sound_page()).expect("the page is sound");
    assert_eq!(cells.len(), Fault::ALL.len() * Step::ALL.len());
}

#[test]
fn tests_are_found_in_both_forms() {
    let text = "#[test]\nfn plain() {}\nfn helper() {}\ncases! {\n    by_macro: 1 => 2;\n}\n#[tokio::test]\nasync fn slow() {}\n";
    assert_eq!(sources::names_in(text), ["plain", "by_macro", "slow"]);
}
