//! Names of the users' platform stand in its folder and nowhere else.

use std::{fs, path::Path};

/// Names that only `platform/` may know, as they stand in the sources.
const NAMES: [&str; 13] = [
    "arbutuslug-request-id",
    "arbutuslug-server-seal",
    "arbutuslug-expect-instance",
    "arbutuslug-tenant",
    "arbutuslug-token-count",
    "arbutuslug_node_file",
    "/api/objects",
    "/api/resolve",
    "/api/readyz",
    "store-revision",
    "path-prefix",
    "cold-left-ms",
    "api-keys",
];

#[test]
fn names_of_the_platform_stand_in_its_folder_only() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    walk(&crates, &mut |path, text| {
        let text = text.to_ascii_lowercase();
        let here = path.ends_with("xtask/tests/names.rs");
        let named = NAMES.iter().filter(|name| !here && text.contains(**name));
        found.extend(named.map(|name| format!("{}: {name}", path.display())));
    });
    assert!(found.is_empty(), "move to platform/: {found:#?}");
}

fn walk(folder: &Path, visit: &mut impl FnMut(&Path, &str)) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            walk(&path, visit);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            visit(&path, &fs::read_to_string(&path).unwrap());
        }
    }
}
