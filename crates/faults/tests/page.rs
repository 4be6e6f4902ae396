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
        Content::Cannot(_) | Content::Open(_) => None,
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
    open_cell_says_what_is_missing: "cannot: nothing of it is there" => "open: yes", "cannot read";
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
fn open_cell_is_neither_tested_nor_impossible() {
    let page = sound_page().replacen("cannot: nothing of it is there", "open: no test pulls the plug", 1);
    let cells = page::parse(&page).expect("the page is sound");
    assert_eq!(cells[0].content, Content::Open("no test pulls the plug".into()));
}

/// The names found in a file of a package with no other file.
fn found(text: &str) -> Vec<String> {
    sources::names_in(text, &sources::case_macros(text))
}

const CASES: &str =
    "macro_rules! cases {\n    ($n:ident: $v:expr;) => {\n        #[test]\n        fn $n() {}\n    };\n}\n";

#[test]
fn tests_are_found_in_both_forms() {
    let text = "#[test]\nfn plain() {}\nfn helper() {}\ncases! {\n    by_macro: 1 => 2;\n}\n#[tokio::test]\nasync fn slow() {}\n";
    assert_eq!(found(&format!("{CASES}{text}")), ["plain", "by_macro", "slow"]);
}

/// A cell that names a helper, a field or a match arm names no test, however
/// much its line looks like a case.
#[test]
fn what_only_looks_like_a_test_is_none() {
    let after_definition = format!("{CASES}fn helper() {{}}\n");
    assert!(found(&after_definition).is_empty());
    let fields = "proptest! {\n    #[test]\n    fn real(book in 0..9) {\n        S {\n            book: 1,\n        };\n        _ => 2,\n    }\n    fn helper() {}\n}\n";
    assert_eq!(found(fields), ["real"]);
    let deeper =
        format!("{CASES}cases! {{\n    outer: S {{\n        field: 1,\n        arm => 2,\n    }};\n    _ => 3;\n}}\n");
    assert_eq!(found(&deeper), ["outer"]);
    assert!(found("helpers! {\n    no_test: 1;\n}\n").is_empty());
}

/// The page's head counts its cells; the counts are the page's own.
#[test]
fn head_counts_the_cells() {
    let cells = cells();
    let single: Vec<_> = cells.iter().filter(|cell| cell.faults.len() == 1).collect();
    let count = |wanted: fn(&Content) -> bool| single.iter().filter(|cell| wanted(&cell.content)).count();
    let tested = count(|content| matches!(content, Content::Tests(_)));
    let cannot = count(|content| matches!(content, Content::Cannot(_)));
    let open = count(|content| matches!(content, Content::Open(_)));
    let pairs = cells.len() - single.len();
    let line = format!("Cells: {tested} with tests, {cannot} cannot, {open} open; pairs: {pairs}.");
    assert!(whole_page().contains(&line), "docs/FAULTS.md must say `{line}`");
}
