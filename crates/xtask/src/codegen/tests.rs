//! The chore on a small workspace of its own.

use std::{
    fs,
    path::{Path, PathBuf},
};

use super::{Error, run};

const PROTO: &str = "syntax = \"proto3\";\npackage a.v1;\nmessage Word { string text = 1; }\n";

/// Removed at the end of the test.
struct Workspace(PathBuf);

impl Workspace {
    fn new(name: &str) -> Self {
        let root = std::env::temp_dir().join(format!("arbutuslug-xtask-{}-{name}", std::process::id()));
        fs::create_dir_all(root.join("crates/a/proto")).unwrap();
        fs::create_dir_all(root.join("crates/a/src")).unwrap();
        fs::create_dir_all(root.join("crates/without")).unwrap();
        let workspace = Self(root);
        workspace.write("crates/a/proto/a.proto", PROTO);
        workspace
    }

    fn write(&self, path: &str, text: &str) {
        fs::write(self.0.join(path), text).unwrap();
    }

    fn generated(&self) -> String {
        fs::read_to_string(self.0.join("crates/a/src/generated.rs")).unwrap()
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        // A test that failed has said so already.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn is_stale(root: &Path) -> bool {
    matches!(run(root, true), Err(Error::Stale(paths)) if paths.len() == 1)
}

#[test]
fn the_check_fails_until_the_output_is_committed() {
    let workspace = Workspace::new("check");
    assert!(is_stale(&workspace.0), "nothing was generated yet");
    run(&workspace.0, false).unwrap();
    assert!(workspace.generated().contains("pub struct Word"));
    run(&workspace.0, true).unwrap();

    workspace.write("crates/a/proto/a.proto", &PROTO.replace("Word", "Phrase"));
    assert!(is_stale(&workspace.0), "the interface changed");
    assert!(workspace.generated().contains("pub struct Word"), "the check writes nothing");
    run(&workspace.0, false).unwrap();

    workspace.write("crates/a/src/generated.rs", &workspace.generated().replace("Phrase", "Sentence"));
    assert!(is_stale(&workspace.0), "the output was edited");
}

#[test]
fn two_packages_in_one_crate_are_refused() {
    let workspace = Workspace::new("packages");
    workspace.write("crates/a/proto/b.proto", &PROTO.replace("a.v1", "b.v1"));
    assert!(matches!(run(&workspace.0, false), Err(Error::Packages(_))));
}

#[test]
fn a_wrong_interface_is_named() {
    let workspace = Workspace::new("wrong");
    workspace.write("crates/a/proto/a.proto", "syntax = \"proto3\";\nmessage {");
    let error = run(&workspace.0, false).unwrap_err();
    assert!(error.to_string().contains("a.proto"), "{error}");
}
