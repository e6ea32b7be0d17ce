//! Documentation that must match the code: lists of tests, links, CI commands and exit codes.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use pistachiolug::exit::Exit;

/// Returns the root folder of the repository.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns file and name of the tests that a text cites in backquotes as `crates/x/tests/y.rs::name`.
fn cited_tests(text: &str) -> Vec<(String, String)> {
    let quoted = text.split('`').skip(1).step_by(2);
    let citations = quoted.filter_map(|quoted| quoted.split_once("::"));
    let is_source = |file: &str| {
        Path::new(file)
            .extension()
            .is_some_and(|extension| extension == "rs")
    };
    citations
        .filter(|(file, _)| file.starts_with("crates/") && is_source(file))
        .map(|(file, name)| (file.to_owned(), name.to_owned()))
        .collect()
}

/// A test that is renamed or deleted must not leave a stale citation in docs/proofs.
#[test]
fn tests_cited_in_the_proofs_exist() {
    let mut missing = Vec::new();
    let mut count = 0;
    for page in fs::read_dir(root().join("docs/proofs")).expect("docs/proofs is readable") {
        let page = page.expect("docs/proofs is readable").path();
        for (file, name) in cited_tests(&read(&page)) {
            count += 1;
            let source = fs::read_to_string(root().join(&file)).unwrap_or_default();
            if !source.contains(&format!("fn {name}(")) {
                missing.push(format!("{}: {file}::{name}", page.display()));
            }
        }
    }
    assert_eq!(missing, Vec::<String>::new());
    assert!(count > 0, "the proofs cite no tests");
}

/// Guards the check above: only names of test functions count, not files or names of other code.
#[test]
fn citations_are_found_in_backquotes() {
    let text =
        "| point | `crates/a/tests/b.rs::c_d` and `crates/a/src/b.rs`, `x::y` | `cargo test` |";

    let cited = cited_tests(text);

    assert_eq!(
        cited,
        [("crates/a/tests/b.rs".to_owned(), "c_d".to_owned())]
    );
}

/// A malformed entry in KNOWN-RED.txt would make CI pass over the wrong test.
#[test]
fn known_failures_are_well_formed() {
    let output = Command::new(root().join(".ci/known-red")).output();

    let output = output.expect("script runs");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{errors}");
}

/// Instructions that CI does not run would become wrong without notice.
#[test]
fn the_readme_names_the_commands_that_ci_runs() {
    let readme = read(&root().join("README.md"));
    let run = read(&root().join(".ci/run"));

    assert!(readme.contains("target/release/pistachiolug demo"));
    assert!(readme.contains("\n    .ci/test\n"));
    assert!(run.contains("\n.ci/test\n"));
}

/// A file that is moved or deleted must not leave a dead link in the documentation.
#[test]
fn links_lead_to_existing_files() {
    let pages = [
        "README.md",
        "CONTRIBUTING.md",
        "docs/OPERATIONS.md",
        "docs/GLOSSARY.md",
    ];
    for page in pages {
        let path = root().join(page);
        let folder = path.parent().expect("page is in a folder").to_owned();
        let text = read(&path);
        let targets = text.split("](").skip(1);
        for target in targets.filter_map(|rest| rest.split(')').next()) {
            let file = target.split('#').next().unwrap_or_default();
            let is_external = target.starts_with("http");
            assert!(
                is_external || folder.join(file).exists(),
                "{page}: {target}"
            );
        }
    }
}

/// Scripts depend on the exit codes, so each must be in docs/OPERATIONS.md with its number and name.
#[test]
fn exit_codes_are_documented() {
    let page = read(&root().join("docs/OPERATIONS.md"));
    for exit in [
        Exit::Done,
        Exit::Findings,
        Exit::Usage,
        Exit::Unavailable,
        Exit::Failed,
        Exit::Conflict,
        Exit::TimedOut,
        Exit::Broken,
    ] {
        let row = format!("| {} | `{exit:?}` |", exit as u8);
        assert!(page.contains(&row), "docs/OPERATIONS.md lacks `{row}`");
    }
}
